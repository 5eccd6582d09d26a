#include "decide/shutdown.hpp"

#include <algorithm>

namespace ivyfield::decide {

namespace {

// PROTOCOL, "Figures": the process is killed kKillDelay after the longest deadline, of which at most
// kMaxCountedDeadline counts. A request that arrives within kKillDelay of SIGTERM must be answered.
constexpr Time kKillDelay = 700, kMaxCountedDeadline = 3000;
// PROTOCOL, "Viewers to directors": a message that crosses a close within this time is sent again. Answers
// sent this long before the kill arrive.
constexpr Time kCrossingWindow = 50;
// Time to wait after the last message from clients: by then, whatever crossed a close has been sent again
// on a new connection.
constexpr Time kQuietPeriod = 2 * kCrossingWindow;

}  // namespace

GracefulShutdown::GracefulShutdown(const Settings& settings, Time requested_at)
    : requested_at_(requested_at), kill_at_(requested_at + kKillDelay) {
    Time longest_patience = 0;
    for (const ClassSettings& cls : settings.classes)
        longest_patience = std::max(longest_patience, cls.patience);
    kill_at_ += std::min(longest_patience, kMaxCountedDeadline);
}

Time GracefulShutdown::accept_deadline() const { return requested_at_ + kKillDelay + kCrossingWindow; }

Time GracefulShutdown::answer_deadline() const { return kill_at_ - 2 * kCrossingWindow; }

// A new connection may carry a request that crossed the close of another, so it is given time to arrive.
bool GracefulShutdown::should_close_connection(Time now, const DrainingConnection& connection) const {
    if (now < accept_deadline() || connection.pending_setups > 0) return false;
    if (connection.has_received_message || connection.accepted_at < accept_deadline()) return true;
    return now - connection.accepted_at >= kQuietPeriod;
}

bool GracefulShutdown::should_exit(Time now, const PendingWork& work) const {
    if (now >= kill_at_ - kCrossingWindow) return true;
    if (now < accept_deadline() || work.unanswered_setups > 0 || work.has_unsent_output) return false;
    // Everything is answered or given up; the little remaining time is for the process to exit.
    if (now >= answer_deadline()) return now - work.last_received >= kCrossingWindow;
    return work.open_connections == 0 && now - work.last_received >= kQuietPeriod;
}

}  // namespace ivyfield::decide
