// Whether a director takes back a session that a node plays for an earlier life of it. Settings and what is
// known in, a verdict out: no I/O, no clock. What is not taken back is ended at the node: it would hold seats
// and link that nobody counts, and its viewer is better served by a session that somebody keeps.
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

struct Found {
    int cls = -1, tenant = -1;  // indices into the settings; -1: no such class or tenant any more
    int rung = 0;
    bool asked_again = false;  // its viewer has come again meanwhile and has another session here
    bool own_life = false;     // this life has set it up and given it up
    int held = 0;              // sessions of its title and class that this director holds, set-ups included
};
enum class Claim {
    take,
    no_such_class,
    no_such_tenant,
    rung_not_allowed,  // under the class's floor, or not on the ladder
    given_up,
    asked_again,
    no_seat
};
const char* name(Claim claim);

Claim claim(const Settings& settings, const Found& found);

}  // namespace ivyfield::decide
