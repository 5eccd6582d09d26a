// Recognizes set-ups that come again under the number of one whose client has left. A client whose connection
// ended before its answer sends the same set-up once more; the earlier one may have run by then, and one that
// must not run twice is not sent on again. No I/O, no clock.
#pragma once

#include <deque>
#include <unordered_set>

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

// How a set-up ended.
struct FinishedSetup {
    SessionId session = 0;
    Idempotency idempotency = Idempotency::idempotent;
    bool may_have_run = false;  // an attempt ended without proof that it never ran
};

// Remembers for a while which numbers must not run again. Times are in ms on the caller's clock.
class RepeatedSetups {
  public:
    void record(const FinishedSetup& setup, Time now);
    // Whether a set-up with that number may be sent to a node.
    bool may_run(SessionId session, Time now);

  private:
    struct Entry {
        Time recorded_at = 0;
        SessionId session = 0;
    };
    void forget_old(Time now);

    std::deque<Entry> entries_;  // oldest first
    std::unordered_set<SessionId> sessions_;
};

}  // namespace ivyfield::decide
