#include "decide/endings.hpp"

namespace ivyfield::decide {

namespace {

// PROTOCOL: what is sent within this time of the other's close may cross it.
constexpr Time kCrossing = 50;
// PROTOCOL: an end that could not be told is told within 8 s; a quarter of it is given to better connections.
constexpr Time kNotifiedWithin = 8000, kOwnWait = kNotifiedWithin / 4;

}  // namespace

// "Cancelled" is a node's word for an end by its viewer, who knows. (Where the viewer left before our answer
// was there nothing that we could say counts either: docs/results/fleet.md, five ways tried.)
bool owes_release(const Ended& ended) {
    return ended.told && !ended.hung_up && !ended.moved && ended.outcome != Outcome::cancelled;
}

bool tells_end_on(bool carried, bool tested, Time waited) {
    return carried || (tested && waited >= kOwnWait);
}

bool may_have_crossed(Time ago) { return ago <= kCrossing; }

Time may_follow_elsewhere(Time answered) { return answered + kCrossing; }

}  // namespace ivyfield::decide
