// What the director says to media nodes, and hears of them: the node protocol of docs/node-protocol.md over
// HTTP. One event stream is kept open to each listed node; set-ups go over pooled connections, capped.
//
// How the wire's endings become outcomes (core/outcomes.hpp says what each proves):
//   no connection made in time                     not_connected
//   503 with X-Ivyfield-Unseen: 1                  full: the node vouches that it never ran
//   other answers than 200                         error
//   connection broke after the request may be out  reset
// What the node's words and silences prove of attempts is worked out by NodeAccount (account.hpp); what may
// be left there is released by command, again and again until the node has answered.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>

#include "core/ports.hpp"
#include "http/client.hpp"
#include "io/loop.hpp"
#include "nodes/account.hpp"

namespace ivyfield::nodes {

struct NodeClientLimits {
    http::ClientLimits client;
    io::Time connect_timeout = 250;
    io::Time probe_timeout = 2000;
    io::Time silence_timeout = 3000;  // a stream without even a tick for so long is dialled anew
    io::Time sync_timeout = 10000;    // and one that has not told the whole account by then
    // After a loss, doubling up to `max_redial_delay`, spread by half either way. Short at first: a node that
    // comes back is cold, and only its hello tells.
    io::Time min_redial_delay = 80;
    io::Time max_redial_delay = 4000;
    std::size_t max_concurrent_dials = 32;  // streams dialled at once; further ones wait for their turn
    io::Time unreachable_timeout = 30000;   // no stream for so long, nor a refusal: what plays there is lost
    io::Time unlisted_timeout = 60000;  // off the list and without a word for so long: nothing is left there
    io::Time release_retry_delay =
        500;  // a release unanswered is sent again, doubling up to max_redial_delay
    std::size_t max_attempts_per_release = 256;  // attempts named in one release
    std::size_t max_line_size = 16 * 1024;       // an event's longest line
};

struct NodeClientCounts {
    std::uint64_t set_ups = 0, malformed_lines = 0, streams_lost = 0, hellos = 0, full_snapshots = 0;
    std::uint64_t restarts = 0;    // a node was found in a new life
    std::uint64_t reconciled = 0;  // sessions ended by an account or a new life, not by a word of their own
    std::uint64_t release_requests = 0, released = 0, presumed_ended = 0, orphaned = 0, outdated_nodes = 0;
};

// Where a node's stream of events stands (docs/design/nodes.md).
enum class StreamState {
    down,            // lost; to be dialled when its wait is over
    queued,          // wants to be dialled, too many others are
    connecting,      // asked for, no answer yet
    awaiting_hello,  // answered, no hello yet
    syncing,         // hello was told, its account not to the end
    synced
};
const char* name(StreamState state);

class NodeClient : public core::NodePort {
  public:
    NodeClient(io::Loop& loop, std::string director, const Settings& settings,
               const NodeClientLimits& limits);
    ~NodeClient() override;
    void attach(core::NodeEvents* events) { events_ = events; }
    std::function<void(const std::string&)> on_warning;  // what an operator should know of a node

    // The nodes there are. Others are kept while attempts of ours may be there.
    void set_nodes(const std::map<ServerId, io::Address>& listed);

    void set_up(const core::SetUp& what) override;
    void set_rung(ServerId server, SessionId session, int attempt, int rung) override;
    void move(ServerId server, SessionId session, int attempt) override;
    void cancel(ServerId server, SessionId session, int attempt) override;
    void probe(ServerId server) override;

    const NodeClientCounts& counts() const { return counts_; }
    std::size_t connection_count() const { return client_.open(); }
    std::map<StreamState, std::size_t> count_streams() const;
    std::size_t attempt_count() const;  // in the accounts of all nodes
    std::size_t in_doubt_count() const;

    struct Node;

  private:
    void want_stream(Node& node);
    void open_stream(Node& node);
    void dial_over(Node& node);
    void heard(Node& node);
    void stream_lost(Node& node, bool refused);
    void line(ServerId server, std::string_view text);
    void carry(ServerId server, const NodeAccount::Changes& changes, const core::Media& media = {});
    void release(Node& node);
    void consider_write_off(Node& node);
    void command(ServerId server, const char* method, const std::string& target, const std::string& body);
    std::string target(SessionId session, int attempt) const;

    io::Loop& loop_;
    std::string director_;
    Settings settings_;
    NodeClientLimits limits_;
    http::Client client_;
    core::NodeEvents* events_ = nullptr;
    NodeClientCounts counts_;
    std::map<ServerId, std::unique_ptr<Node>> nodes_;
    std::deque<ServerId> to_dial_;
    std::size_t dialling_ = 0;
    std::map<Key, std::unique_ptr<http::Call>> set_ups_;
    std::uint64_t last_command_ = 0;
    std::map<std::uint64_t, std::unique_ptr<http::Call>> commands_;
};

}  // namespace ivyfield::nodes
