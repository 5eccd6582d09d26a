// What each way for an attempt to end says about it, once and for all rooms (the bench's WIRE, "Outcome
// codes").
//
//   ended          it played and is over             it ran
//   error          the node answered with an error   it might have run
//   full           the node turned it away unseen    proves that it never ran
//   timed_out      no answer in time                 it might have run, or run still
//   not_connected  no connection was made            proves that it never ran
//   reset          the connection broke              it might have run
//   cancelled      it was called off                 it might have run
//   not_sent       it never left this process        proves that it never ran
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::core {

constexpr bool proves_never_ran(Outcome outcome) {
    return outcome == Outcome::full || outcome == Outcome::not_connected || outcome == Outcome::not_sent;
}
const char* name(Outcome outcome);

}  // namespace ivyfield::core
