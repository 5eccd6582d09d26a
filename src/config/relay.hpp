// The configuration that the platform gives a director (the file of RELAY_CONFIG): limits, the name server,
// the server list at the start, and the settings. The settings are flattened into the lines of the
// benchmark's protocol and read by the same parser. An error is a std::runtime_error that names its place in
// the file.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "discovery/srv/srv.hpp"
#include "io/loop.hpp"
#include "ivyfield/director.hpp"

namespace ivyfield::config {

// One parsed configuration file.
struct RelayConfig {
    std::string name;
    io::Address listen, dns;
    std::uint64_t seed = 0;
    double cores = 0;
    std::size_t memory_mb = 0, sockets = 0;
    std::uint32_t last_event = 0;  // number of the last event in `members`
    discovery::Members members;
    Settings settings;
    // Names by index, as they stand in the file.
    std::vector<std::string> classes, tenants, zones, kinds, report_fields;
    io::Time idle_connection_timeout = 0;  // connections to nodes are closed after so long without use
};

// Parses and checks the text of a configuration file. Throws std::runtime_error.
RelayConfig parse_relay_config(const std::string& text);

// Writes nested JSON as path=value lines: a list of plain values is joined with commas, a list of objects
// becomes .count, .0, .1 and so on.
std::string flatten(const nlohmann::json& settings);

}  // namespace ivyfield::config
