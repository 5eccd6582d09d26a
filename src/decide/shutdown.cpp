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

GracefulShutdown::GracefulShutdown(const Settings& settings, Time asked)
    : asked_(asked), killed_(asked + kAfterDeadline) {
    Time longest = 0;
    for (const ClassSettings& cls : settings.classes) longest = std::max(longest, cls.patience);
    killed_ += std::min(longest, kDeadlineCounts);
}

Time GracefulShutdown::accept_deadline() const { return asked_ + kAfterDeadline + kCrossing; }

Time GracefulShutdown::answer_deadline() const { return killed_ - 2 * kCrossing; }

// A new connection brings a request that crossed the end of another: it has its time to come.
bool GracefulShutdown::should_close_connection(Time now, const DrainingConnection& connection) const {
    if (now < accept_deadline() || connection.pending_setups > 0) return false;
    if (connection.has_received_message || connection.accepted_at < accept_deadline()) return true;
    return now - connection.accepted_at >= kQuiet;
}

bool GracefulShutdown::should_exit(Time now, const PendingWork& left) const {
    if (now >= killed_ - kCrossing) return true;
    if (now < accept_deadline() || left.unanswered_setups > 0 || left.has_unsent_output) return false;
    // All is answered or given up; the little time left is for the process to end.
    if (now >= answer_deadline()) return now - left.last_received >= kCrossing;
    return left.open_connections == 0 && now - left.last_received >= kQuiet;
}

}  // namespace ivyfield::decide
