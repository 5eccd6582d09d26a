// How often the name server is asked for the list, and which answers tell of this moment. The platform's
// protocol counts an event as told 1.5 s after it happened, heard or not: several answers may be lost on the
// way to that. One that is silent is asked less often: each director of hundreds asks, and it is no sooner
// back for being asked more. No I/O, no clock.
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

class PollSchedule {
  public:
    explicit PollSchedule(Time now) : heard_(now) {}
    void record_answer(Time now) { heard_ = now; }
    // How long after this query the next one is sent.
    Time next_interval(Time now) const;
    // Whether an answer that came now, to a query of then, tells what holds now: one that was long on its way
    // is no sign that nothing has happened since.
    static bool is_fresh(Time asked, Time now);

  private:
    Time heard_;
};

}  // namespace ivyfield::decide
