// Who is told when something ends, and what may have crossed it. No I/O, no clock.
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

// A session that stood has ended.
struct SessionEnd {
    Outcome outcome = Outcome::ended;
    bool reported_established = false;  // its viewer has been told that it stands
    bool terminated_by_viewer = false;  // its viewer has ended it here
    bool moved = false;                 // its viewer has been told to come again
};
// Whether its viewer is told that it is over.
bool must_notify_viewer(const SessionEnd& ended);

// Whether a session's end may be told on a client connection that is not its own: one that has carried a
// set-up, or, once the end has waited for a while, one that has passed a test. Who has said nothing is nobody
// to tell.
bool can_carry_end_notice(bool carried, bool tested, Time waited);

// Whether the other side may have sent a message, or closed, before it had what we sent it so long ago.
bool can_have_crossed(Time ago);
// From when on an end may be told on another connection than the answer of then: sooner, the client might
// read it before the answer.
Time earliest_end_notice_elsewhere(Time answered);

}  // namespace ivyfield::decide
