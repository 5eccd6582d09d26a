#include "decide/session_end.hpp"

namespace ivyfield::decide {

namespace {

// PROTOCOL: a message sent within this time of the other side's close may cross it.
constexpr Time kCrossingWindow = 50;
// PROTOCOL: an end that could not be reported at once is reported within 8 s. A quarter of that is reserved
// for connections that have carried a set-up.
constexpr Time kNotifyWithin = 8000, kPreferredOnlyFor = kNotifyWithin / 4;

}  // namespace

// The outcome "cancelled" is a node's report that the viewer ended the session, so the viewer knows. (If
// the viewer left before our answer reached it, no notification counts either: five approaches were tried,
// see docs/results/fleet.md.)
bool must_notify_viewer(const SessionEnd& end) {
    return end.reported_established && !end.terminated_by_viewer && !end.moved &&
           end.outcome != Outcome::cancelled;
}

bool can_carry_end_notice(bool has_carried_setup, bool has_answered_ping, Time waited) {
    return has_carried_setup || (has_answered_ping && waited >= kPreferredOnlyFor);
}

bool can_have_crossed(Time elapsed) { return elapsed <= kCrossingWindow; }

Time earliest_end_notice_elsewhere(Time answered) { return answered + kCrossingWindow; }

}  // namespace ivyfield::decide
