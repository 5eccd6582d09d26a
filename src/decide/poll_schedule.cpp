#include "decide/poll_schedule.hpp"

#include <algorithm>

namespace ivyfield::decide {

namespace {

constexpr Time kEventReportTime = 1500;  // PROTOCOL, "The name server"
constexpr Time kMinInterval = kEventReportTime / 6, kMaxInterval = kEventReportTime / 2;

}  // namespace

// Once the server has been silent for longer than events take to count as reported, the interval grows with
// the silence.
Time PollSchedule::next_interval(Time now) const {
    const Time silence = now - last_answer_;
    if (silence <= kEventReportTime) return kMinInterval;
    return std::clamp(silence / 6, kMinInterval, kMaxInterval);
}

bool PollSchedule::is_fresh(Time queried, Time now) { return now - queried <= kEventReportTime; }

}  // namespace ivyfield::decide
