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

struct Fault {
    std::string path;  // JSON pointer, like /classes/0/aim_ms; empty: the whole file
    std::string why;
};

struct Config {
    std::string name;
    io::Address listen;
    std::optional<std::uint64_t> seed;
    std::string log_path = "-", log_level = "info";
    io::Address consul;
    std::string service;
    double list_wait_ms = 30000, longest_stale_ms = 60000;
    bool list_stale = true;
    std::size_t node_connections = 64, player_connections = 20000;
    double node_silent_ms = 3000, player_idle_ms = 60000;
    std::vector<std::string> kinds;  // names, by number
    int copies = 0;
    Settings settings;
};

const char* schema_text();

// Faults of a parsed document against a schema; empty when it fits.
std::vector<Fault> check_schema(const std::string& schema, const nlohmann::json& document);

struct Loaded {
    Config config;
    std::vector<Fault> faults;  // not empty: config is of no use
};
Loaded load(const std::string& text);
// Reads the file; a file that can't be read is a fault too.
Loaded load_file(const std::string& path);
std::string read_file(const std::string& path);  // throws std::runtime_error

}  // namespace ivyfield::config
