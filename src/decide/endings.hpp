// Who is told when something ends, and what may have crossed it. No I/O, no clock.
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

// A session that stood has ended.
struct Ended {
    Outcome outcome = Outcome::ended;
    bool told = false;     // its viewer has been told that it stands
    bool hung_up = false;  // its viewer has ended it here
    bool moved = false;    // its viewer has been told to come again
};
// Whether its viewer is told that it is over.
bool owes_release(const Ended& ended);

// Whether a session's end may be told on a client connection that is not its own: one that has carried a
// set-up, or, once the end has waited for a while, one that has passed a test. Who has said nothing is nobody
// to tell.
bool tells_end_on(bool carried, bool tested, Time waited);

// Whether the other side may have sent a message, or closed, before it had what we sent it so long ago.
bool may_have_crossed(Time ago);
// From when on an end may be told on another connection than the answer of then: sooner, the client might
// read it before the answer.
Time may_follow_elsewhere(Time answered);

}  // namespace ivyfield::decide
