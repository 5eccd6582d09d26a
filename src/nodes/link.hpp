// What the director says to media nodes, and hears of them: the node protocol of docs/node-protocol.md over
// HTTP. One event stream is kept open to each listed node; set-ups go over pooled connections, capped.
//
// How the wire's endings become outcomes (core/outcomes.hpp says what each proves):
//   no connection made in time                     not_connected
//   503 with X-Ivyfield-Unseen: 1                  full: the node vouches that it never ran
//   other answers than 200                         error
//   connection broke after the request may be out  reset
//   the event stream is lost and stays lost        reset, of all that plays there
#pragma once

#include <map>
#include <memory>
#include <set>

#include "core/ports.hpp"
#include "http/client.hpp"
#include "io/loop.hpp"

namespace ivyfield::nodes {

struct LinkLimits {
    http::ClientLimits client;
    io::Time connect_timeout = 250;
    io::Time probe_timeout = 2000;
    io::Time silent = 3000;  // an event stream without even a tick for so long is dialled anew
    io::Time redial = 250;   // after a loss, doubling up to `redial_most`
    io::Time redial_most = 4000;
    io::Time lost_after = 2000;  // refused or broken, and no stream for so long: what played there is lost
    io::Time stalled_after = 30000;  // merely silent for so long: the same
    std::size_t line = 16 * 1024;    // an event's longest line
};

struct LinkCounts {
    std::uint64_t set_ups = 0, bad_lines = 0, streams_lost = 0;
};

class NodeLink : public core::NodePort {
  public:
    NodeLink(io::Loop& loop, std::string director, const Settings& settings, const LinkLimits& limits);
    ~NodeLink() override;
    void attach(core::NodeEvents* events) { events_ = events; }

    // The nodes there are; streams to others are kept while sessions of ours play there.
    void know(const std::map<ServerId, io::Address>& listed);

    void set_up(const core::SetUp& what) override;
    void set_rung(ServerId server, SessionId session, int attempt, int rung) override;
    void move(ServerId server, SessionId session, int attempt) override;
    void cancel(ServerId server, SessionId session, int attempt) override;
    void probe(ServerId server) override;

    const LinkCounts& counts() const { return counts_; }
    std::size_t connections() const { return client_.open(); }

    struct Node;

  private:
    using Key = std::pair<SessionId, int>;
    void open_stream(Node& node);
    void stream_lost(Node& node, bool stalled);
    void line(Node& node, std::string_view text);
    void command(ServerId server, const char* method, const std::string& target, const std::string& body);
    std::string target(SessionId session, int attempt) const;

    io::Loop& loop_;
    std::string director_;
    Settings settings_;
    LinkLimits limits_;
    http::Client client_;
    core::NodeEvents* events_ = nullptr;
    LinkCounts counts_;
    std::map<ServerId, std::unique_ptr<Node>> nodes_;
    std::map<Key, std::unique_ptr<http::Call>> set_ups_;
    std::uint64_t last_command_ = 0;
    std::map<std::uint64_t, std::unique_ptr<http::Call>> commands_;
};

}  // namespace ivyfield::nodes
