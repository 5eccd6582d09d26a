// Whether a media node's machine is still there, judged by its connections alone: tests of health are paid
// for, a dial is not. A process that only hangs has its connections accepted by its system and is not taken
// for a machine that vanished. One such judge a node; no I/O, no clock.
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

class FailureDetector {
  public:
    // Bytes came, or a connection came up.
    void record_activity(Time now);
    // A dial that began then has not come up; `refused`: by a machine that is there, with no process at its
    // port. True: the node is gone, and with it all that stood there.
    bool record_dial_failure(Time began, Time now, bool refused);
    // When to ask again whether a node with sessions is to be dialled, and whether it is now.
    Time next_check_at(Time now) const;
    bool is_silent(Time now) const;

  private:
    Time heard_ = 0, failed_ = 0;
    int failures_ = 0;
};

}  // namespace ivyfield::decide
