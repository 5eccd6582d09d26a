// The configuration of a director: one JSON file, validated against config/schema.json (compiled in) and then
// for rules that a schema can't express. Each error is reported with its JSON path; the rules beyond the
// schema are only checked once the document fits the schema.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "io/loop.hpp"
#include "ivyfield/director.hpp"

namespace ivyfield::config {

// One error in a configuration.
struct ConfigError {
    std::string path;  // JSON pointer such as /classes/0/aim_ms; empty for the whole file
    std::string message;
};

// The settings of one director: those of the process and of its connections, and the decision module's.
struct Config {
    std::string name;
    io::Address listen;
    std::optional<std::uint64_t> seed;
    std::string log_path = "-", log_level = "info";  // "-": standard error
    io::Address consul;                              // the Consul agent that is asked for the server list
    std::string service;                             // name under which the media nodes are registered
    double max_list_wait_ms = 30000, max_staleness_ms = 60000;
    bool allow_stale_list = true;
    std::size_t max_connections_per_node = 64, max_player_connections = 20000;
    std::size_t memory_mb = 128;  // of the process; half of it for what players hold
    double node_silence_timeout_ms = 3000, player_idle_timeout_ms = 60000;
    std::vector<std::string> kinds;  // names of the kinds of media nodes, by index
    int copies = 0;                  // number of cells that hold a title
    Settings settings;
};

// Text of config/schema.json.
const char* schema_text();

// Validates a parsed document against a schema; returns no error if it fits.
std::vector<ConfigError> check_schema(const std::string& schema, const nlohmann::json& document);

// A configuration or the errors found in it.
struct LoadResult {
    Config config;
    std::vector<ConfigError> errors;  // if not empty, `config` is incomplete
};
// Parses and validates a configuration.
LoadResult load(const std::string& text);
// Loads a configuration file; a file that can't be read is reported as an error too.
LoadResult load_file(const std::string& path);
// Returns the whole content of a file. Throws std::runtime_error if it can't be read.
std::string read_file(const std::string& path);

}  // namespace ivyfield::config
