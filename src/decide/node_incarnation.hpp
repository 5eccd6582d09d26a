// Tells the processes of one media node apart. A process that starts at the address of one that has ended
// accepts connections and answers probes like its predecessor, but has none of its sessions. Neither an
// accepted dial nor an open connection proves which of them is there; the server list tells when the present
// one started. No I/O, no clock.
#pragma once

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

// The present process of one media node, as the server list describes it. Times are in ms on the caller's
// clock.
class NodeIncarnation {
  public:
    // `started`: as first listed; 0: long ago.
    explicit NodeIncarnation(Time started = 0) : started_(started) {}
    // The list gives `started` now. `moved`: it also gives another address, which the same process cannot
    // have. True: another process has taken the node's place.
    bool update(Time started, bool moved, Time now);
    // Whether what was last heard at `heard_at` came from an earlier process.
    bool precedes(Time heard_at) const { return heard_at < started_; }

  private:
    Time started_;
};

}  // namespace ivyfield::decide
