#include "decide/shutdown.hpp"

#include <algorithm>

namespace ivyfield::decide {

namespace {

// PROTOCOL, "Figures": the kill comes so long after the longest deadline, of which so much counts at most; a
// request that came within this time of SIGTERM is to be answered.
constexpr Time kAfterDeadline = 700, kDeadlineCounts = 3000;
// PROTOCOL, "Viewers to directors": what crosses a close within this time is sent again. Silence for so long
// is the end of what comes, and answers that leave so long before the kill arrive.
constexpr Time kCrossing = 50;

}  // namespace

Shutdown::Shutdown(const Settings& settings, Time asked) : asked_(asked), killed_(asked + kAfterDeadline) {
    Time longest = 0;
    for (const ClassSettings& cls : settings.classes) longest = std::max(longest, cls.patience);
    killed_ += std::min(longest, kDeadlineCounts);
}

Time Shutdown::take_until() const { return asked_ + kAfterDeadline + kCrossing; }

Time Shutdown::answer_by() const { return killed_ - 2 * kCrossing; }

bool Shutdown::leaves(Time now, const Unfinished& left) const {
    if (now >= killed_ - kCrossing) return true;
    return now >= take_until() && left.owed == 0 && !left.unsent && now - left.heard >= kCrossing;
}

}  // namespace ivyfield::decide
