#include "decide/endings.hpp"

namespace ivyfield::decide {

namespace {

// PROTOCOL: what is sent within this time of the other's close may cross it.
constexpr Time kCrossing = 50;

}  // namespace

// "Cancelled" is a node's word for an end by its viewer, who knows. (Where the viewer left before our answer
// was there nothing that we could say counts either: docs/results/fleet.md, five ways tried.)
bool owes_release(const Ended& ended) {
    return ended.told && !ended.hung_up && !ended.moved && ended.outcome != Outcome::cancelled;
}

bool may_have_crossed(Time ago) { return ago <= kCrossing; }

}  // namespace ivyfield::decide
