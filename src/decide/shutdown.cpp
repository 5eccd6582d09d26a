#include "decide/shutdown.hpp"

#include <algorithm>

namespace ivyfield::decide {

namespace {

// PROTOCOL, "Figures": the kill comes so long after the longest deadline, of which so much counts at most; a
// request that came within this time of SIGTERM is to be answered.
constexpr Time kAfterDeadline = 700, kDeadlineCounts = 3000;
// PROTOCOL, "Viewers to directors": what crosses a close within this time is sent again. Answers that leave
// so long before the kill arrive.
constexpr Time kCrossing = 50;
// After the last word from clients: what crossed a close has been sent again by then, on a new connection.
constexpr Time kQuiet = 2 * kCrossing;

}  // namespace

Shutdown::Shutdown(const Settings& settings, Time asked) : asked_(asked), killed_(asked + kAfterDeadline) {
    Time longest = 0;
    for (const ClassSettings& cls : settings.classes) longest = std::max(longest, cls.patience);
    killed_ += std::min(longest, kDeadlineCounts);
}

Time Shutdown::take_until() const { return asked_ + kAfterDeadline + kCrossing; }

Time Shutdown::answer_by() const { return killed_ - 2 * kCrossing; }

// A new connection brings a request that crossed the end of another: it has its time to come.
bool Shutdown::ends_connection(Time now, const DrainingConnection& connection) const {
    if (now < take_until() || connection.open > 0) return false;
    if (connection.requested || connection.accepted < take_until()) return true;
    return now - connection.accepted >= kQuiet;
}

bool Shutdown::leaves(Time now, const Unfinished& left) const {
    if (now >= killed_ - kCrossing) return true;
    if (now < take_until() || left.owed > 0 || left.unsent) return false;
    // All is answered or given up; the little time left is for the process to end.
    if (now >= answer_by()) return now - left.heard >= kCrossing;
    return left.connections == 0 && now - left.heard >= kQuiet;
}

}  // namespace ivyfield::decide
