// Admission control for viewers' requests when there are more than a director can hold: which connection is
// evicted for a new one, and whether a usable set-up is admitted at all. What is rejected here has reached
// no media node. No I/O, no clock.
#pragma once

#include <optional>
#include <vector>

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

// Upper bounds on what viewers may occupy.
struct AdmissionLimits {
    std::size_t max_connections = 0;             // viewers' connections
    std::size_t max_pending_per_connection = 0;  // pending set-ups on one connection
};

// The use of one viewers' connection.
struct ConnectionLoad {
    std::size_t pending_setups = 0;  // set-ups without an answer yet
    bool has_carried_setup = false;  // a usable set-up has arrived on it
    Time last_used = 0;              // when it last carried anything
};

// Returns the index of the connection to evict when all are in use; nothing: the new one is rejected.
std::optional<std::size_t> select_eviction(const std::vector<ConnectionLoad>& connections);

// Whether a set-up is admitted on a connection with `pending_on_connection` others. False: it is rejected,
// and trying again is harmless.
bool can_admit_setup(const AdmissionLimits& limits, std::size_t pending_on_connection, bool stopping);

}  // namespace ivyfield::decide
