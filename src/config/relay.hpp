// What the platform tells a director (RELAY_CONFIG): limits, the name server, the list of the start, and the
// settings, which are flattened into the lines that the bench's wire has and read by the same parser. A fault
// is a std::runtime_error that names its place in the file.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "discovery/srv/srv.hpp"
#include "io/loop.hpp"
#include "ivyfield/director.hpp"

namespace ivyfield::config {

struct RelayConfig {
    std::string name;
    io::Address listen, dns;
    std::uint64_t seed = 0;
    double cores = 0;
    std::size_t memory_mb = 0, sockets = 0;
    std::uint32_t last_event = 0;  // number of the last event in `members`
    discovery::Members members;
    Settings settings;
    // Names by number, as they stand in the file.
    std::vector<std::string> classes, tenants, zones, kinds, report_fields;
    io::Time idle_connection_timeout = 0;  // idle connections to nodes are closed after this
};

RelayConfig parse_relay_config(const std::string& text);

// Nested JSON as path=value lines: plain lists joined with commas, lists of objects as .count, .0, .1 ...
std::string flatten(const nlohmann::json& settings);

}  // namespace ivyfield::config
