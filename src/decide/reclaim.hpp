// Whether a director takes back a session that a node plays for an earlier life of it. Settings and what is
// known in, a verdict out: no I/O, no clock. What is not taken back is ended at the node: it would hold seats
// and link that nobody counts, and its viewer is better served by a session that somebody keeps.
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

struct ReclaimCandidate {
    int cls = -1, tenant = -1;  // indices into the settings; -1: no such class or tenant any more
    int rung = 0;
    bool superseded = false;             // its viewer has come again meanwhile and has another session here
    bool from_this_incarnation = false;  // this life has set it up and given it up
    int held_sessions = 0;  // sessions of its title and class that this director holds, set-ups included
};
enum class ReclaimVerdict {
    reclaim,
    unknown_class,
    unknown_tenant,
    rung_not_allowed,  // under the class's floor, or not on the ladder
    already_given_up,
    superseded,
    no_free_seat
};
const char* name(ReclaimVerdict claim);

ReclaimVerdict evaluate_reclaim(const Settings& settings, const ReclaimCandidate& found);

}  // namespace ivyfield::decide
