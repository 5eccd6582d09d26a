// The director's configuration: one JSON file, checked against config/schema.json (compiled in) and then for
// what a schema can't say. All faults are found at once, each with its JSON path.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "io/loop.hpp"
#include "ivyfield/director.hpp"

namespace ivyfield::config {

struct ConfigError {
    std::string path;  // JSON pointer, like /classes/0/aim_ms; empty: the whole file
    std::string message;
};

struct Config {
    std::string name;
    io::Address listen;
    std::optional<std::uint64_t> seed;
    std::string log_path = "-", log_level = "info";
    io::Address consul;
    std::string service;
    double max_list_wait_ms = 30000, max_staleness_ms = 60000;
    bool allow_stale_list = true;
    std::size_t max_connections_per_node = 64, max_player_connections = 20000;
    double node_silence_timeout_ms = 3000, player_idle_timeout_ms = 60000;
    std::vector<std::string> kinds;  // names, by number
    int copies = 0;
    Settings settings;
};

const char* schema_text();

// Faults of a parsed document against a schema; empty when it fits.
std::vector<ConfigError> check_schema(const std::string& schema, const nlohmann::json& document);

struct LoadResult {
    Config config;
    std::vector<ConfigError> errors;  // not empty: config is of no use
};
LoadResult load(const std::string& text);
// Reads the file; a file that can't be read is a fault too.
LoadResult load_file(const std::string& path);
std::string read_file(const std::string& path);  // throws std::runtime_error

}  // namespace ivyfield::config
