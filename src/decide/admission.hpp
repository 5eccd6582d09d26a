// What a director takes from viewers when there is more than it can hold: which connection gives way to a new
// one, and whether a set-up that can be used is taken at all. What is turned away here has reached no media
// node. No I/O, no clock.
#pragma once

#include <optional>
#include <vector>

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

struct AdmissionLimits {
    std::size_t max_connections = 0;             // of viewers
    std::size_t max_pending_per_connection = 0;  // set-ups owed an answer on one of them
};

// A viewers' connection, as far as it matters here.
struct ConnectionLoad {
    std::size_t pending_setups = 0;  // set-ups owed an answer
    bool has_carried_setup = false;  // a set-up that could be used has come on it
    Time last_used = 0;
};

// The one that gives way where all are in use; nothing: the new one is turned away.
std::optional<std::size_t> select_eviction(const std::vector<ConnectionLoad>& all);

// False: it is refused, and trying again is harmless.
bool can_admit_setup(const AdmissionLimits& limits, std::size_t open_here, bool stopping);

}  // namespace ivyfield::decide
