// What a director takes from viewers when there is more than it can hold: which connection gives way to a new
// one, and whether a set-up that can be used is taken at all. What is turned away here has reached no media
// node. No I/O, no clock.
#pragma once

#include <optional>
#include <vector>

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

struct IntakeLimits {
    std::size_t connections = 0;        // of viewers
    std::size_t open_a_connection = 0;  // set-ups owed an answer on one of them
};

// A viewers' connection, as far as it matters here.
struct Held {
    std::size_t open = 0;  // set-ups owed an answer
    bool carried = false;  // a set-up that could be used has come on it
    Time used = 0;
};

// The one that gives way where all are in use; nothing: the new one is turned away.
std::optional<std::size_t> gives_way(const std::vector<Held>& all);

// False: it is refused, and trying again is harmless.
bool takes(const IntakeLimits& limits, std::size_t open_here, bool stopping);

}  // namespace ivyfield::decide
