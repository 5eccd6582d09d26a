#include "decide/repeated_setup.hpp"

namespace ivyfield::decide {

namespace {

// Longer than any client waits for an answer.
constexpr Time kRetention = 30000;
constexpr std::size_t kMaxEntries = 8192;

}  // namespace

void RepeatedSetups::record(const FinishedSetup& setup, Time now) {
    if (!setup.may_have_run || setup.idempotency == Idempotency::idempotent) return;
    forget_old(now);
    if (!sessions_.insert(setup.session).second) return;
    entries_.push_back({now, setup.session});
}

bool RepeatedSetups::may_run(SessionId session, Time now) {
    forget_old(now);
    return sessions_.count(session) == 0;
}

void RepeatedSetups::forget_old(Time now) {
    while (!entries_.empty() &&
           (entries_.front().recorded_at < now - kRetention || entries_.size() >= kMaxEntries)) {
        sessions_.erase(entries_.front().session);
        entries_.pop_front();
    }
}

}  // namespace ivyfield::decide
