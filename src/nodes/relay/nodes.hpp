// The media nodes over the platform's binary protocol: a core::NodePort. Each pending set-up has a connection
// of its own, so that a malformed answer or a close affects that set-up alone; a connection is shared only
// when no more may be opened. Idle connections are reused. What the end of a connection means for a pending
// set-up:
//
//   never established                      not_connected: nothing was sent
//   broke after the set-up was written     reset: it might have run
//   cancelled here (timeout, viewer)       cancelled on it and the connection closed: the set-up is over
//
// An established session is not tied to a connection; messages about it may come on any connection of its
// node. A connection is kept open to each node with established sessions, since their ends are reported on
// it. A refused dial means that the process is gone and its sessions with it. A machine that vanishes gives
// no sign: decide::FailureDetector says when a silent node is dialled, and when it is gone.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <set>

#include "core/ports.hpp"
#include "decide/failure_detector.hpp"
#include "io/loop.hpp"
#include "relay/message.hpp"

namespace ivyfield::nodes {

// Times are in milliseconds.
struct RelayLimits {
    io::Time connect_timeout = 250;          // from the settings; also the timeout of a probe
    io::Time idle_timeout = 15000;           // nodes close idle connections after this; 0: never
    std::size_t max_connections = 256;       // to all nodes together
    std::vector<std::string> report_fields;  // names of the load report's fields, in the module's order
};

struct RelayCounts {
    // resets: established connections that ended. unexpected: messages that match nothing here. unreachable:
    // nodes with sessions that were given up because they could not be reached. restarts: nodes that the
    // server list showed to have started again. shared_connections: set-ups that shared a connection.
    std::uint64_t dials = 0, setups = 0, probes = 0, malformed = 0, resets = 0, unexpected = 0,
                  unreachable = 0, restarts = 0, shared_connections = 0;
};

// A node as the server list has it.
struct RelayNode {
    std::string uid;
    io::Address address;
    bool ready = false;    // false: draining
    io::Time started = 0;  // when its process started, on the loop's clock; 0: long ago
};

// Reports to the attached NodeEvents, which must be attached before the first call.
class RelayNodes : public core::NodePort {
  public:
    RelayNodes(io::Loop& loop, const RelayLimits& limits);
    ~RelayNodes() override;
    void attach(core::NodeEvents* events) { events_ = events; }
    // Sets the full server list. The sessions of a node that is no longer on it end, and so do those of an
    // earlier process of a node that has started again or has moved to another address.
    void set_nodes(const std::map<ServerId, RelayNode>& nodes);
    // Takes over a session that is already established at the node.
    void adopt_session(ServerId server, SessionId session, int attempt);

    void set_up(const core::SetupRequest& setup) override;
    void set_rung(ServerId server, SessionId session, int attempt, int rung) override;
    void move(ServerId server, SessionId session, int attempt) override;
    void cancel(ServerId server, SessionId session, int attempt) override;
    void probe(ServerId server) override;
    bool is_cancel_final() const override { return true; }

    // Whether all written data has left this process and no session's end remains to be sent.
    bool is_drained() const;
    // Closes all connections for writing; data already written is still sent.
    void end_connections();
    const RelayCounts& counts() const { return counts_; }
    std::size_t connection_count() const { return connection_count_; }
    // Memory held for messages that nodes have not read or not sent whole, in bytes.
    std::size_t buffered_bytes() const;
    std::function<void(const std::string&)> on_warning;  // a message for the operator about a node

  private:
    struct Connection;
    struct Node;
    struct EstablishedSession {
        int attempt = 0;
        io::Time established_at = 0;  // when the node's answer was received, or the session was taken over
    };

    Node* find(ServerId id);
    Connection& open_connection(Node& node);
    Connection* find_idle(Node& node, bool connected_only);
    void send(Connection& connection, const relay::NodeMessage& message);
    Connection* find_usable(Node& node);
    void send_to_node(Node& node, const relay::NodeMessage& message);
    void send_end(Node& node, relay::MessageType type, SessionId session);
    void handle_connected(Connection& connection);
    void handle_data(Connection& connection, std::string_view bytes);
    void handle_message(Connection& connection, const relay::NodeMessage& message);
    bool establish_session(Connection& connection, const relay::NodeMessage& message);
    void handle_closed(Connection& connection, bool was_connected, io::CloseStatus close_status);
    void remove_connection(Connection& connection);
    void close_gracefully(Connection& connection);
    void lose_connection(Connection& connection);
    void finish_setup(Connection& connection, SessionId session, Outcome outcome, const LoadReport& report);
    bool make_room();
    void finish_probe(Connection& connection, Outcome outcome, const LoadReport& report);
    void end_session(Node& node, SessionId session, Outcome outcome, const LoadReport& report);
    void end_all_sessions(Node& node, const char* reason);
    void end_sessions(Node& node, const std::map<SessionId, EstablishedSession>& ended, const char* reason);
    void end_earlier_incarnation(Node& node);
    void maintain_connection(Node& node);
    void schedule_reachability_check(Node& node);
    void send_setup(Connection& connection, SessionId session);
    LoadReport parse_load_report(const relay::NodeMessage& message) const;
    void close_idle_connections();

    io::Loop& loop_;
    RelayLimits limits_;
    core::NodeEvents* events_ = nullptr;
    std::map<ServerId, std::unique_ptr<Node>> nodes_;
    std::size_t connection_count_ = 0;
    std::uint64_t last_probe_ = 0;
    RelayCounts counts_;
    io::Timer sweep_timer_;
    // Kept until their callbacks have returned.
    std::vector<std::unique_ptr<Connection>> removed_connections_;
    bool cleanup_posted_ = false;
};

}  // namespace ivyfield::nodes
