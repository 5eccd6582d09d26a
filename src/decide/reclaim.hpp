// Decides whether a director reclaims a session that a node plays for an earlier incarnation of it. A pure
// function of the settings and of what is known: no I/O, no clock. A session that is not reclaimed is ended
// at its node: it would occupy seats and link capacity that nobody counts, and its viewer is better served
// by a session that a director keeps.
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

// What is known of a session that a node reports as playing.
struct ReclaimCandidate {
    int cls = -1, tenant = -1;  // indices into the settings; -1: no longer in the settings
    int rung = 0;
    bool superseded = false;             // its viewer has asked again and has another session here
    bool from_this_incarnation = false;  // this incarnation set it up and has given it up
    // Sessions of its title and class that this director holds, pending set-ups included.
    int held_sessions = 0;
};

// Whether the session is reclaimed, or why not.
enum class ReclaimVerdict {
    reclaim,
    unknown_class,
    unknown_tenant,
    rung_not_allowed,  // below the class's min_rung, or not on the ladder
    already_given_up,
    superseded,
    no_free_seat
};
const char* name(ReclaimVerdict verdict);  // in words

// Whether a session that is handed over as playing at a node can be believed while this director counts
// `attempts_at_server` there: no more sessions of a class than the node has streams for, unless viewers of
// the class share streams.
bool is_plausible_handover(const Settings& settings, const ClassSettings& cls, const ServerEntry& server,
                           int attempts_at_server);

// Returns `reclaim`, or the first reason against it.
ReclaimVerdict evaluate_reclaim(const Settings& settings, const ReclaimCandidate& candidate);

}  // namespace ivyfield::decide
