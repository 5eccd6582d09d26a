#include "decide/failure_detector.hpp"

#include <algorithm>

namespace ivyfield::decide {

namespace {

// A node from which nothing has come for this long is dialled. Together with the dials below, each of which
// takes the time that the settings give a connection, a loss is told well within the 8 s that viewers allow.
constexpr Time kSilent = 2000, kNextLook = 500;
// So many dials one after the other that do not come up: the machine is gone.
constexpr int kFailures = 3;

}  // namespace

void FailureDetector::record_activity(Time now) {
    heard_ = now;
    failures_ = 0;
}

// Dials that began before the last failure was known are the same failure: a crowd of set-ups that all dial
// in one bad moment must not end every session there.
bool FailureDetector::record_dial_failure(Time began, Time now, bool refused) {
    if (refused) return true;
    if (began < heard_ || (failures_ > 0 && began < failed_)) return false;
    failed_ = now;
    failures_ += 1;
    return failures_ >= kFailures;
}

Time FailureDetector::next_check_at(Time now) const { return std::max(now + kNextLook, heard_ + kSilent); }

bool FailureDetector::is_silent(Time now) const { return now >= heard_ + kSilent; }

}  // namespace ivyfield::decide
