// Decides how often the name server is queried for the list, and which answers are current. The platform's
// protocol counts an event as reported 1.5 s after it happened, whether or not it was received, so that
// several answers may be lost within that time. A server that does not answer is queried less often: every
// one of hundreds of directors queries it, and more queries do not bring it back sooner. No I/O, no clock.
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

// The query interval for one name server.
class PollSchedule {
  public:
    explicit PollSchedule(Time now) : last_answer_(now) {}
    // An answer of the server arrived.
    void record_answer(Time now) { last_answer_ = now; }
    // How long after the query of `now` the next one is sent, ms.
    Time next_interval(Time now) const;
    // Whether an answer that arrives at `now` to a query sent at `queried` describes the current state: one
    // that was long on its way does not show that nothing has happened since.
    static bool is_fresh(Time queried, Time now);

  private:
    Time last_answer_;
};

}  // namespace ivyfield::decide
