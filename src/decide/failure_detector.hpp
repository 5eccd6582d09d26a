// Failure detector for a media node's machine, based on connections alone: health probes cost money, dials
// do not. A process that only hangs still has its connections accepted by its operating system and is not
// taken for a vanished machine. One detector per node; no I/O, no clock.
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

// Tracks one node. Times are on the caller's clock, in ms.
class FailureDetector {
  public:
    // Bytes arrived, or a connection was established.
    void record_activity(Time now);
    // A dial that started at `started` has failed. `refused`: the machine answered, but no process listens
    // on the port. True: the node is gone, and so are all its sessions.
    bool record_dial_failure(Time started, Time now, bool refused);
    // It has been checked whether a node with sessions must be dialled.
    void record_check(Time now) { last_check_ = now; }
    // When to check next, not before `now`. The time depends on the node and on earlier checks alone, so a
    // caller that schedules the check again puts nothing off.
    Time next_check_at(Time now) const;
    // Whether a node with sessions must be dialled.
    bool is_silent(Time now) const;

  private:
    Time last_activity_ = 0, last_failure_ = 0, last_check_ = 0;
    int dial_failures_ = 0;
};

}  // namespace ivyfield::decide
