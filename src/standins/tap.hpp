// Records of what crossed the sockets of the emulators, as seen there. The audit uses no other source.
#pragma once

#include <functional>
#include <string>

#include "io/loop.hpp"

namespace ivyfield::standins {

// One event at the socket of a node, list or player.
struct SocketEvent {
    // At nodes: "node_start", "node_down", "node_fell", "hang", "thaw", "setup" (a request arrived),
    // "setup_over" (answered, or its connection closed), "ran" (the work of the set-up was done), "rung",
    // "cancel", "end" (of a playing session). At the list: "list_sent". At players: "ask", "answer",
    // "gave_up", "left", and "ask_again", "answer_again", "gave_up_again" and "left_again" of a request that
    // was sent twice.
    std::string type;
    io::Time at = 0;
    std::string source;    // the node's, list's or player's name
    std::string director;  // the director that the event concerns
    std::string sid, cls, title, tenant, outcome;
    std::uint64_t session = 0;
    int attempt = 0, rung = 0, status = 0;
    bool non_idempotent = false;
    std::string details;  // list_sent: the states sent, like "n1=ready n2=draining"
};
using EventSink = std::function<void(const SocketEvent&)>;

}  // namespace ivyfield::standins
