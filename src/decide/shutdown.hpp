// Graceful shutdown of a director (SIGTERM): until when it takes set-ups, by when it has answered what it
// took, which client connections it ends, and when the process leaves. The figures are the platform's
// protocol's: the kill comes no earlier than the longest deadline (at most 3 s of it) and 0.7 s later, and
// until 0.7 s requests still come. No I/O, no clock.
//
// A connection's end is not the process's end: each connection is ended once nothing is open on it, the
// listener stays for requests that cross such an end and are sent again, and the process leaves when every
// connection is closed by both sides and no more come. The hard deadline is the last resort.
#pragma once

#include <cstddef>

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

// What a director that ends still has to do, as far as it matters here.
struct PendingWork {
    std::size_t unanswered_setups = 0;  // set-ups without an answer
    bool has_unsent_output = false;     // something written has not left yet
    std::size_t open_connections = 0;   // of clients, not yet closed by both sides
    Time last_received = 0;             // when something last came from clients
};

// One client connection during the shutdown.
struct DrainingConnection {
    std::size_t pending_setups = 0;     // set-ups without an answer
    bool has_received_message = false;  // a message has come on it
    Time accepted_at = 0;
};

class GracefulShutdown {
  public:
    // `asked`: when SIGTERM was found.
    GracefulShutdown(const Settings& settings, Time asked);
    // What comes later is refused; trying again elsewhere is harmless.
    Time accept_deadline() const;
    // What is still unanswered then is given up: nobody would answer it after the kill.
    Time answer_deadline() const;
    // Whether that connection is ended now.
    bool should_close_connection(Time now, const DrainingConnection& connection) const;
    // True: nothing is left to do, or no time to do it.
    bool should_exit(Time now, const PendingWork& left) const;

  private:
    Time asked_, killed_;
};

}  // namespace ivyfield::decide
