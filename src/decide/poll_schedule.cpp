#include "decide/poll_schedule.hpp"

#include <algorithm>

namespace ivyfield::decide {

namespace {

constexpr Time kTold = 1500;  // PROTOCOL, "The name server"
constexpr Time kOften = kTold / 6, kSeldom = kTold / 2;

}  // namespace

// Once it has been silent for as long as events take to count, the gap grows with the silence.
Time PollSchedule::next_interval(Time now) const {
    const Time silent = now - heard_;
    if (silent <= kTold) return kOften;
    return std::clamp(silent / 6, kOften, kSeldom);
}

bool PollSchedule::is_fresh(Time asked, Time now) { return now - asked <= kTold; }

}  // namespace ivyfield::decide
