// Graceful shutdown of a director (SIGTERM): until when it admits set-ups, by when it must have answered
// those it admitted, which client connections it closes, and when the process exits. The times come from
// the platform's protocol: the kill comes no earlier than the longest deadline (of which at most 3 s count)
// plus 0.7 s, and requests still arrive for 0.7 s.
//
// Closing a connection is not the end of the process: each connection is closed once nothing is pending on
// it, the listener stays open for requests that cross such a close and are sent again, and the process
// exits when every connection is closed by both sides and no more arrive. The hard deadline before the kill
// is the last resort. No I/O, no clock.
#pragma once

#include <cstddef>

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

// What a director that shuts down still has to do.
struct PendingWork {
    std::size_t unanswered_setups = 0;  // set-ups without an answer yet
    bool has_unsent_output = false;     // written output has not been sent yet
    std::size_t open_connections = 0;   // clients' connections not yet closed by both sides
    Time last_received = 0;             // when the last data arrived from clients
};

// One client connection during the shutdown.
struct DrainingConnection {
    std::size_t pending_setups = 0;     // set-ups without an answer yet
    bool has_received_message = false;  // a message has arrived on it
    Time accepted_at = 0;
};

// The schedule of one shutdown; times are on the caller's clock, in ms.
class GracefulShutdown {
  public:
    // `requested_at`: when SIGTERM was noticed.
    GracefulShutdown(const Settings& settings, Time requested_at);
    // Set-ups that arrive later are rejected; trying again elsewhere is harmless.
    Time accept_deadline() const;
    // Set-ups still unanswered at this time are given up, because nobody would answer them after the kill.
    Time answer_deadline() const;
    // Whether that connection is to be closed now.
    bool should_close_connection(Time now, const DrainingConnection& connection) const;
    // Whether the process exits now: nothing is left to do, or no time is left to do it.
    bool should_exit(Time now, const PendingWork& work) const;

  private:
    Time requested_at_, kill_at_;
};

}  // namespace ivyfield::decide
