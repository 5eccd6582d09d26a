// What each outcome of an attempt proves about it, the same for every module (the bench's WIRE,
// "Outcome codes").
//
//   ended          it played and is over             it ran
//   error          the node answered with an error   it may have run
//   full           the node rejected it unread       proves that it never ran
//   timed_out      no answer in time                 it may have run, or still run
//   not_connected  no connection was made            proves that it never ran
//   reset          the connection broke              it may have run
//   cancelled      it was cancelled                  it may have run
//   not_sent       it never left this process        proves that it never ran
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::core {

// Whether the outcome proves that the attempt never ran, so that even a non-idempotent set-up may be
// sent again.
constexpr bool proves_never_ran(Outcome outcome) {
    return outcome == Outcome::full || outcome == Outcome::not_connected || outcome == Outcome::not_sent;
}
const char* name(Outcome outcome);  // as it is written to the log

}  // namespace ivyfield::core
