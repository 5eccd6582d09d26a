#include "decide/endings.hpp"

namespace ivyfield::decide {

namespace {

// PROTOCOL: two messages that are sent within this time of each other may cross.
constexpr Time kCrossing = 50;

}  // namespace

// A node that tells "ended by its viewer" says that no release is owed. But where its viewer ended it before
// our answer was there, the answer comes to somebody who has left and hears of a session that stands, for
// good: the release that follows it says that it does not.
bool owes_release(const Ended& ended) {
    if (!ended.told || ended.hung_up || ended.moved) return false;
    return ended.outcome != Outcome::cancelled || may_have_crossed(ended.stood);
}

bool may_have_crossed(Time ago) { return ago <= kCrossing; }

}  // namespace ivyfield::decide
