// The HTTP client of the node protocol (docs/node-protocol.md): sends set-ups and commands to media nodes and
// receives their events. One event stream is kept open to each listed node; set-ups use pooled connections,
// whose number is limited.
//
// How a set-up request ends and its outcome (core/outcomes.hpp says what each outcome proves):
//   no connection made in time                     not_connected
//   503 with X-Ivyfield-Unseen: 1                  full: the node guarantees that the set-up never ran
//   other answers than 200                         error
//   connection broke after the request may be out  reset
// AttemptTracker (attempt_tracker.hpp) works out what a node's messages and its silence prove about attempts.
// Attempts that may be left at a node are released by command, repeatedly until the node has answered.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>

#include "core/ports.hpp"
#include "http/client.hpp"
#include "io/loop.hpp"
#include "nodes/attempt_tracker.hpp"

namespace ivyfield::nodes {

// Times are in milliseconds, sizes in bytes.
struct NodeClientLimits {
    http::ClientLimits client;
    io::Time connect_timeout = 250;
    io::Time probe_timeout = 2000;    // also of commands and releases
    io::Time silence_timeout = 3000;  // a stream without any line for so long, not even a tick, is redialled
    io::Time sync_timeout = 10000;    // and so is one that has not been synced in this time
    // The delay before a lost stream is redialled doubles from minimum to maximum and is randomized by half
    // either way. The minimum is short: a node that has restarted is cold, and only its hello tells.
    io::Time min_redial_delay = 80;
    io::Time max_redial_delay = 4000;
    std::size_t max_concurrent_dials = 32;  // streams dialled at once; further ones are queued
    io::Time unreachable_timeout = 30000;  // without a stream or a refused dial: the node's sessions are lost
    io::Time unlisted_timeout = 60000;     // off the list and silent: nothing is presumed to be left there
    // First delay before an unanswered release is repeated; it doubles up to max_redial_delay.
    io::Time release_retry_delay = 500;
    std::size_t max_attempts_per_release = 256;
    std::size_t max_line_size = 16 * 1024;  // of one event
};

struct NodeClientCounts {
    std::uint64_t setups = 0, malformed_lines = 0, streams_lost = 0, hellos = 0, full_snapshots = 0;
    std::uint64_t restarts = 0;    // a hello named another incarnation than the previous one
    std::uint64_t reconciled = 0;  // attempts ended by a snapshot or a restart, not by an event of their own
    std::uint64_t release_requests = 0, released = 0, presumed_ended = 0, orphaned = 0, outdated_nodes = 0;
};

// State of a node's event stream (docs/design/nodes.md).
enum class StreamState {
    down,            // lost; redialled after a delay
    queued,          // to be dialled when fewer dials are in progress
    connecting,      // requested, no answer yet
    awaiting_hello,  // answered, no hello yet
    syncing,         // hello received, snapshot or missed ends not complete
    synced
};
const char* name(StreamState state);

// The media nodes, over HTTP. Reports to the attached NodeEvents, which must be attached before the first
// call.
class NodeClient : public core::NodePort {
  public:
    NodeClient(io::Loop& loop, std::string director, const Settings& settings,
               const NodeClientLimits& limits);
    ~NodeClient() override;
    void attach(core::NodeEvents* events) { events_ = events; }
    std::function<void(const std::string&)> on_warning;  // a message for the operator about a node

    // Sets the listed nodes. Others are kept while attempts of this director may be left there.
    void set_nodes(const std::map<ServerId, io::Address>& listed);

    void set_up(const core::SetupRequest& setup) override;
    void set_rung(ServerId server, SessionId session, int attempt, int rung) override;
    void move(ServerId server, SessionId session, int attempt) override;
    void cancel(ServerId server, SessionId session, int attempt) override;
    void probe(ServerId server) override;

    const NodeClientCounts& counts() const { return counts_; }
    std::size_t connection_count() const { return client_.open_connections(); }
    std::map<StreamState, std::size_t> count_streams() const;
    std::size_t attempt_count() const;  // tracked attempts of all nodes
    std::size_t unreleased_count() const;

    struct Node;

  private:
    void request_stream(Node& node);
    void open_stream(Node& node);
    void finish_dial(Node& node);
    void record_activity(Node& node);
    void handle_stream_loss(Node& node, bool refused);
    void handle_line(ServerId server, std::string_view text);
    void apply_changes(ServerId server, const AttemptTracker::Changes& changes,
                       const core::Media& media = {});
    void send_release(Node& node);
    void schedule_presumed_end(Node& node);
    void send_command(ServerId server, const char* method, const std::string& target,
                      const std::string& body);
    std::string session_path(SessionId session, int attempt) const;

    io::Loop& loop_;
    std::string director_;
    Settings settings_;
    NodeClientLimits limits_;
    http::Client client_;
    core::NodeEvents* events_ = nullptr;
    NodeClientCounts counts_;
    std::map<ServerId, std::unique_ptr<Node>> nodes_;
    std::deque<ServerId> dial_queue_;
    std::size_t dials_in_progress_ = 0;
    std::map<AttemptKey, std::unique_ptr<http::Call>> setup_calls_;
    std::uint64_t last_call_id_ = 0;
    std::map<std::uint64_t, std::unique_ptr<http::Call>> command_calls_;  // commands and probes, by id
};

}  // namespace ivyfield::nodes
