#include "decide/failure_detector.hpp"

#include <algorithm>

namespace ivyfield::decide {

namespace {

// A node that has sent nothing for kSilenceLimit is dialled. Together with the dials below, each of which
// may take as long as the settings allow for connecting, a loss is reported well within the 8 s that
// viewers allow.
constexpr Time kSilenceLimit = 2000, kCheckInterval = 500;
// After this many consecutive failed dials the machine is considered gone.
constexpr int kMaxDialFailures = 3;

}  // namespace

void FailureDetector::record_activity(Time now) {
    last_activity_ = now;
    dial_failures_ = 0;
}

// Dials that began before the last failure was known count as the same failure, so that many set-ups that
// dial at the same bad moment do not end every session at the node.
bool FailureDetector::record_dial_failure(Time started, Time now, bool refused) {
    if (refused) return true;
    last_check_ = std::max(last_check_, started);
    if (started < last_activity_ || (dial_failures_ > 0 && started < last_failure_)) return false;
    last_failure_ = now;
    dial_failures_ += 1;
    return dial_failures_ >= kMaxDialFailures;
}

Time FailureDetector::next_check_at(Time now) const {
    return std::max({now, last_check_ + kCheckInterval, last_activity_ + kSilenceLimit});
}

bool FailureDetector::is_silent(Time now) const { return now >= last_activity_ + kSilenceLimit; }

}  // namespace ivyfield::decide
