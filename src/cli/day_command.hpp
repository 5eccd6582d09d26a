// `ivyfield day`: plays a day file, either on loopback with each director in its own process, or on simulated
// time and network, for tests and for runs that should take little time.
#pragma once

#include <string>

#include "day/day.hpp"

namespace ivyfield::cli {

// Where a run writes its outputs. An empty path: not written.
struct DayOptions {
    std::string report_path;  // file for the report as JSON
    std::string log_folder;   // existing folder for the logs of the directors
    std::string tap_path;     // file for the recorded traffic, as JSON lines
};

// Plays a day on real sockets and wall time. Throws std::runtime_error if it is interrupted by a signal or an
// output can't be written.
day::Report play_day(const day::Scenario& file, std::uint64_t seed, const DayOptions& options);
// Plays a day on simulated time, with all directors in this process. The same seed gives the same run. Throws
// std::runtime_error if no event is left before the day's end or an output can't be written.
day::Report play_virtual_day(const day::Scenario& file, std::uint64_t seed, const DayOptions& options);

}  // namespace ivyfield::cli
