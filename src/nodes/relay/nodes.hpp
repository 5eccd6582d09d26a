// Media nodes over the platform's binary protocol: a core::NodePort. One open set-up a connection, so that a
// spoilt answer or a close takes down that one alone, and shared only when there is no room for more; idle
// connections are used again. What an ended
// connection means:
//
//   never came up                          not_connected: nothing left this process
//   broke after the set-up was written     reset: it might have run
//   given up here (time, viewer)           the set-up is given up on it and the connection closed: it is over
//
// A session that stands belongs to no connection; what concerns it may come on any connection of its node.
// Wherever sessions stand a connection is kept open, since that is how their ends come. A refused dial tells
// that the process is gone and its sessions with it. A machine that vanishes gives no sign: decide::Presence
// says when a silent node is dialled, and when it is gone.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <set>

#include "core/ports.hpp"
#include "decide/presence.hpp"
#include "io/loop.hpp"
#include "relay/message.hpp"

namespace ivyfield::nodes {

struct RelayLimits {
    io::Time connect_timeout = 250;          // from the settings
    io::Time idle_timeout = 15000;           // nodes close idle connections after this
    std::size_t max_connections = 256;       // to all nodes together
    std::vector<std::string> report_fields;  // fields of a report, in the module's order
};

struct RelayCounts {
    std::uint64_t dials = 0, set_ups = 0, probes = 0, malformed = 0, resets = 0, unexpected = 0,
                  unreachable = 0, shared_connections = 0;
};

struct RelayNode {
    std::string uid;
    io::Address address;
    bool ready = false;  // false: draining
};

class RelayNodes : public core::NodePort {
  public:
    RelayNodes(io::Loop& loop, const RelayLimits& limits);
    ~RelayNodes() override;
    void attach(core::NodeEvents* events) { events_ = events; }
    // The whole list. A node that is not on it any more is gone: its sessions end.
    void set_nodes(const std::map<ServerId, RelayNode>& nodes);
    // A session that stands there already.
    void adopt_session(ServerId server, SessionId session, int attempt);

    void set_up(const core::SetUp& what) override;
    void set_rung(ServerId server, SessionId session, int attempt, int rung) override;
    void move(ServerId server, SessionId session, int attempt) override;
    void cancel(ServerId server, SessionId session, int attempt) override;
    void probe(ServerId server) override;
    bool cancel_is_final() const override { return true; }

    // All that is written has left, and no node has yet to hear of an end.
    bool is_drained() const;
    // Nothing more is said; what is written still leaves.
    void end_connections();
    const RelayCounts& counts() const { return counts_; }
    std::size_t connection_count() const { return connections_; }
    std::function<void(const std::string&)> on_warning;

  private:
    struct Connection;
    struct Node;
    struct Standing {
        int attempt = 0;
    };

    Node* find(ServerId id);
    Connection& dial(Node& node);
    Connection* idle(Node& node, bool open_only);
    void write(Connection& c, const relay::NodeMessage& message);
    Connection* usable(Node& node);
    void tell(Node& node, const relay::NodeMessage& message);
    void tell_end(Node& node, relay::MessageType type, SessionId session);
    void opened(Connection& c);
    void heard(Connection& c, std::string_view bytes);
    void take(Connection& c, const relay::NodeMessage& message);
    bool begins(Connection& c, const relay::NodeMessage& message);
    void closed(Connection& c, bool came_up, io::Closing why);
    void drop(Connection& c);
    void retire(Connection& c);
    void lose(Connection& c);
    void set_up_over(Connection& c, SessionId session, Outcome outcome, const LoadReport& report);
    bool room();
    void test_over(Connection& c, Outcome outcome, const LoadReport& report);
    void stands_no_more(Node& node, SessionId session, Outcome outcome, const LoadReport& report);
    void lose_all(Node& node, const char* why);
    void keep_up(Node& node);
    void watch(Node& node);
    void write_set_up(Connection& c, SessionId session);
    LoadReport report_of(const relay::NodeMessage& message) const;
    void sweep();

    io::Loop& loop_;
    RelayLimits limits_;
    core::NodeEvents* events_ = nullptr;
    std::map<ServerId, std::unique_ptr<Node>> nodes_;
    std::size_t connections_ = 0;
    std::uint64_t last_test_ = 0;
    RelayCounts counts_;
    io::Timer sweep_;
    std::vector<std::unique_ptr<Connection>> dead_;  // until their callbacks have returned
    bool burying_ = false;
};

}  // namespace ivyfield::nodes
