#include "decide/session_end.hpp"

namespace ivyfield::decide {

namespace {

// PROTOCOL: what is sent within this time of the other's close may cross it.
constexpr Time kCrossing = 50;
// PROTOCOL: an end that could not be told is told within 8 s; a quarter of it is given to better connections.
constexpr Time kNotifiedWithin = 8000, kOwnWait = kNotifiedWithin / 4;

}  // namespace

// "Cancelled" is a node's word for an end by its viewer, who knows. (Where the viewer left before our answer
// was there nothing that we could say counts either: docs/results/fleet.md, five ways tried.)
bool must_notify_viewer(const SessionEnd& ended) {
    return ended.reported_established && !ended.terminated_by_viewer && !ended.moved &&
           ended.outcome != Outcome::cancelled;
}

bool can_carry_end_notice(bool carried, bool tested, Time waited) {
    return carried || (tested && waited >= kOwnWait);
}

bool can_have_crossed(Time ago) { return ago <= kCrossing; }

Time earliest_end_notice_elsewhere(Time answered) { return answered + kCrossing; }

}  // namespace ivyfield::decide
