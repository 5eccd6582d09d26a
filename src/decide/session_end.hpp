// Decides who is told when a session ends and which messages may have crossed. No I/O, no clock.
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

// How an established session ended.
struct SessionEnd {
    Outcome outcome = Outcome::ended;
    bool reported_established = false;  // its viewer has been told that it is established
    bool terminated_by_viewer = false;  // its viewer has ended it at this director
    bool moved = false;                 // its viewer has been told to come again
};
// Whether its viewer must be told that it is over.
bool must_notify_viewer(const SessionEnd& end);

// Whether the end of a session may be reported on a client connection other than its own: on one that has
// carried a set-up or, once the report has waited for a while, on one that has answered a ping. A
// connection on which nothing has been received has nobody to notify.
bool can_carry_end_notice(bool has_carried_setup, bool has_answered_ping, Time waited);

// Whether what we sent `elapsed` ms ago may have crossed a message or a close that the other side sent
// before it received it.
bool can_have_crossed(Time elapsed);
// The earliest time at which an end may be reported on another connection than the one that carried its
// answer at `answered`: sooner, the client might read the end before the answer.
Time earliest_end_notice_elsewhere(Time answered);

}  // namespace ivyfield::decide
