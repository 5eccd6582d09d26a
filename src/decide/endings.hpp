// Whose viewer is told that a session is over, when one that stood has ended. No I/O, no clock.
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

struct Ended {
    Outcome outcome = Outcome::ended;
    bool told = false;     // its viewer has been told that it stands
    bool hung_up = false;  // its viewer has ended it here
    bool moved = false;    // its viewer has been told to come again
    Time stood = 0;        // how long since its answer was passed on
};

bool owes_release(const Ended& ended);

// Whether the other side may have sent a message, or closed, before it had what we sent it so long ago.
bool may_have_crossed(Time ago);

}  // namespace ivyfield::decide
