#include "decide/presence.hpp"

#include <algorithm>

namespace ivyfield::decide {

namespace {

// A node from which nothing has come for this long is dialled. Together with the dials below, each of which
// takes the time that the settings give a connection, a loss is told well within the 8 s that viewers allow.
constexpr Time kSilent = 2000, kNextLook = 500;
// So many dials one after the other that do not come up: the machine is gone.
constexpr int kFailures = 3;

}  // namespace

void Presence::heard(Time now) {
    heard_ = now;
    failures_ = 0;
}

// Dials that began before the last failure was known are the same failure: a crowd of set-ups that all dial
// in one bad moment must not end every session there.
bool Presence::dial_failed(Time began, Time now, bool refused) {
    if (refused) return true;
    if (began < heard_ || (failures_ > 0 && began < failed_)) return false;
    failed_ = now;
    failures_ += 1;
    return failures_ >= kFailures;
}

Time Presence::look_at(Time now) const { return std::max(now + kNextLook, heard_ + kSilent); }

bool Presence::silent(Time now) const { return now >= heard_ + kSilent; }

}  // namespace ivyfield::decide
