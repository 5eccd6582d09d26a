// `ivyfield day`: a day file played on loopback with directors in processes of their own; and the same in a
// virtual world, for tests and for days that should take no time.
#pragma once

#include <string>

#include "day/day.hpp"

namespace ivyfield::cli {

struct DayOptions {
    std::string report;  // a file for the report as JSON
    std::string logs;    // a folder for the directors' logs; empty: none
    std::string taps;    // a file for what crossed the sockets, as JSON lines
};
// On sockets and wall time. Throws std::runtime_error.
day::Report play_day(const day::DayFile& file, std::uint64_t seed, const DayOptions& options);
// On simulated time, every director in this process. The same seed gives the same day.
day::Report play_virtual_day(const day::DayFile& file, std::uint64_t seed, const DayOptions& options);

}  // namespace ivyfield::cli
