// Viewers over the platform's JSON lines. One connection carries many sessions; a session that stands belongs
// to none. Each set-up is answered once, on the connection that it came by; what can't be read, or asks for
// what the settings do not have, is answered with a release or the end of its connection. Nothing is decided
// here: which set-up is placed, refused or held is the module's word.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>

#include "core/engine.hpp"
#include "decide/admission.hpp"
#include "decide/shutdown.hpp"
#include "io/loop.hpp"
#include "relay/message.hpp"

namespace ivyfield::fronts {

struct RelayFrontLimits {
    decide::AdmissionLimits intake{256, 256};
    std::size_t unread_output = 256 * 1024;    // of one connection
    std::size_t pending_notifications = 4096;  // that wait for a connection
    io::Time linger = 500;  // a closed connection is still read, so that its last word arrives
    io::Time idle = 10000;  // without a session
};

// Why a client connection ended; the first reason found counts.
enum class CloseReason {
    client_end,       // its client closed it
    client_reset,     // it broke
    drained,          // graceful shutdown, nothing open on it
    hard_deadline,    // graceful shutdown, no time left
    idle,             // without a session for long
    evicted,          // made room for a new one
    unreadable,       // what came is no message
    unusable,         // a message that only a faulty client sends
    repeated_number,  // two requests under one number
    unread_output     // its client does not read
};
constexpr std::size_t kCloseReasons = static_cast<std::size_t>(CloseReason::unread_output) + 1;
const char* name(CloseReason reason);

// A connection that ended while something was at stake on it.
struct ClosedConnection {
    std::uint64_t number = 0;  // in the order of acceptance, from 1
    CloseReason reason = CloseReason::client_end;
    std::size_t open = 0;                  // set-ups without an answer
    std::optional<io::Time> since_answer;  // the last one written on it
};

struct RelayFrontCounts {
    std::array<std::uint64_t, kCloseReasons> closed{};  // by reason
    std::uint64_t connections = 0, set_ups = 0, unreadable = 0, bad = 0, repeated = 0, gave_up = 0, tests = 0,
                  adopted = 0, hung_up = 0, releases = 0, unknown_releases = 0, shed = 0, turned_away = 0;
};

struct RelayNames {
    std::vector<std::string> classes, tenants;
};

class RelayFront {
  public:
    // Throws std::runtime_error when the address can't be had.
    RelayFront(io::Loop& loop, const io::Address& listen, const Settings& settings, const RelayNames& names,
               const RelayFrontLimits& limits, core::Engine& engine);
    ~RelayFront();
    RelayFront(const RelayFront&) = delete;
    RelayFront& operator=(const RelayFront&) = delete;

    // The media node of that name, where the list has it.
    std::function<std::optional<ServerId>(const std::string& uid)> node_named;
    // A session that plays already is handed over: to the engine, and to the node's link.
    std::function<bool(const core::ViewerRequest& ask, ServerId server)> adopt;
    // A set-up that can't be used, and why.
    std::function<void(const std::string& why, const relay::ViewerMessage& m)> on_bad;
    // A connection ends with a set-up open on it, or so soon after an answer that the two may have crossed.
    std::function<void(const ClosedConnection&)> on_closed;
    // Before the first set-up is passed on.
    std::function<void()> first_set_up;

    // A session that stood has ended or is moved; its viewer is told where that is owed.
    void gone(SessionId id, bool owed, bool moved);
    // Graceful shutdown: set-ups that come after its time are refused, and connections are ended one by one.
    // New ones are taken to the last: closing the listener would reset those that the system has accepted and
    // nobody has read yet, and what crosses an end is sent again on a new connection.
    void begin_shutdown(const decide::GracefulShutdown& shutdown);
    // Ends the connections whose turn it is; to be called now and then during a shutdown.
    void end_drained_connections();
    // When bytes or a connection last came; before it leaves a director has read all that did.
    io::Time heard_at() const { return heard_at_; }
    // The hard deadline: our end follows what is written. Reset, an answer on its way would be lost.
    void end_all();
    io::Address address() const { return listener_->address(); }  // with its port, where 0 was asked for
    std::size_t connections() const { return connections_.size(); }
    std::size_t open() const { return requests_.size(); }
    bool drained() const;
    const RelayFrontCounts& counts() const { return counts_; }

  private:
    struct Connection;
    struct Request;
    // The end of a session, for its client.
    struct Notification {
        SessionId id = 0;
        bool moved = false;
        io::Time since = 0, answered = 0;
    };

    void accepted(std::unique_ptr<io::Stream> stream);
    void heard(Connection& c, std::string_view bytes);
    void take(Connection& c, const std::string& line);
    void take_set_up(Connection& c, const relay::ViewerMessage& m);
    void take_release(Connection& c, const relay::ViewerMessage& m);
    std::string read_ask(const relay::ViewerMessage& m, core::ViewerRequest& ask, std::string& at) const;
    void send(Connection& c, const relay::ViewerMessage& m);
    void release(Connection& c, const std::string& id, int cause, Time wait = 0);
    void answered(SessionId id);
    void leave_all(Connection& c);
    void close(Connection& c, CloseReason reason);
    void account_for_close(Connection& c, CloseReason reason);
    void closed_by_client(Connection& c, CloseReason reason);
    void evict(Connection& c);
    void end_idle(Connection& c);
    void close_if_done(Connection& c);
    bool is_drained(const Connection& c) const;
    void drop(Connection& c, CloseReason reason);
    bool make_room();
    void sweep();
    Connection* connection_to_notify(io::Time waited) const;
    void notify(Connection& c, const Notification& end);
    void notify_elsewhere(const Notification& end);
    void notify_pending();

    io::Loop& loop_;
    Settings settings_;
    RelayNames names_;
    RelayFrontLimits limits_;
    core::Engine& engine_;
    bool began_ = false;
    io::Time heard_at_ = 0;
    std::optional<decide::GracefulShutdown> shutdown_;
    bool ending_drained_ = false;                         // end_drained_connections() is posted
    std::list<std::unique_ptr<Connection>> connections_;  // oldest first
    std::map<SessionId, std::unique_ptr<Request>> requests_;
    struct Established {
        Connection* connection = nullptr;  // that of its set-up, while it lasts
        io::Time answered = 0;             // by us; lowest for one that was handed over
    };
    std::map<SessionId, Established> standing_;
    std::deque<Notification>
        pending_notifications_;  // for want of a connection, or not to overtake an answer
    io::Timer notification_timer_;
    std::vector<std::unique_ptr<Connection>> dead_;
    std::vector<std::unique_ptr<Request>> over_;
    bool burying_ = false;
    RelayFrontCounts counts_;
    io::Timer sweep_;
    std::unique_ptr<io::Listener> listener_;
};

}  // namespace ivyfield::fronts
