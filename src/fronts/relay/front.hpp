// The client side of a director on the platform: accepts connections that carry JSON lines
// (relay/message.hpp) and passes set-ups to the engine. A connection carries many sessions; an established
// session is not bound to any connection. Each set-up is answered once, on the connection that it came by. A
// message that can't be parsed, or that names what the settings do not have, is answered with a release or by
// closing its connection. The decision module decides whether a set-up is placed, rejected or queued.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>

#include "core/engine.hpp"
#include "decide/admission.hpp"
#include "decide/memory_budget.hpp"
#include "decide/shutdown.hpp"
#include "io/loop.hpp"
#include "relay/message.hpp"

namespace ivyfield::fronts {

// Limits of a RelayFront. Times in ms, sizes in bytes.
struct RelayFrontLimits {
    decide::AdmissionLimits admission{256, 256};
    // Of the whole process; see decide::MemoryBudget.
    std::size_t memory = 256 * 1024 * 1024;
    // Output kept for one connection; beyond it the connection is dropped.
    std::size_t max_unsent_output = 256 * 1024;
    // End notices that wait for a connection; beyond it the oldest is dropped.
    std::size_t max_pending_end_notices = 4096;
    // How long input is still read after our end, so that our last message arrives.
    io::Time linger = 500;
    // Connections without a session are closed after this time.
    io::Time idle_timeout = 10000;
};

// Why a client connection was closed; the first reason found counts.
enum class CloseReason {
    client_end,       // closed by the client
    client_reset,     // the connection broke
    drained,          // graceful shutdown, no set-up pending on it
    hard_deadline,    // graceful shutdown, no time left
    idle,             // without a session for too long
    evicted,          // closed to make room for a new connection
    unreadable,       // input that can't be parsed as a message
    unusable,         // a message that only a faulty client sends
    repeated_number,  // two set-ups with the same session number
    unread_output     // the client does not read what it is sent
};
constexpr std::size_t kCloseReasons = static_cast<std::size_t>(CloseReason::unread_output) + 1;
// The name used in logs and reports.
const char* name(CloseReason reason);

// A closed connection that had pending set-ups, or that was answered so shortly before that the answer may
// have crossed the close.
struct ClosedConnection {
    std::uint64_t number = 0;  // in the order of acceptance, from 1
    CloseReason reason = CloseReason::client_end;
    std::size_t pending_setups = 0;             // set-ups not yet answered
    std::optional<io::Time> since_last_answer;  // ms; nothing if no answer was written
};

// Counters of a RelayFront since its start. Connections: accepted (connections), evicted (shed), closed by
// reason. Set-ups: received (setups), invalid (bad), with a session number in use (repeated), cancelled or
// abandoned by their client (gave_up), of these read only after their client had left (left_unread). Lines
// that can't be parsed (unreadable); pings; sessions taken over (adopted) and ended by their viewer
// (hung_up); end notices sent (releases); releases of unknown sessions; connections and set-ups turned away
// for lack of room or during a shutdown, and of these set-ups and sessions those for which there was no
// memory (over_memory).
struct RelayFrontCounts {
    std::array<std::uint64_t, kCloseReasons> closed{};  // connections by CloseReason
    std::uint64_t connections = 0, setups = 0, unreadable = 0, bad = 0, repeated = 0, gave_up = 0,
                  left_unread = 0, pings = 0, adopted = 0, hung_up = 0, releases = 0, unknown_releases = 0,
                  shed = 0, turned_away = 0, over_memory = 0;
};

// Names of classes and tenants in the order of the settings.
struct RelayNames {
    std::vector<std::string> classes, tenants;
};

// Serves client connections. The engine must outlive the front.
class RelayFront {
  public:
    // Throws std::runtime_error if it can't listen on the address.
    RelayFront(io::Loop& loop, const io::Address& listen, const Settings& settings, const RelayNames& names,
               const RelayFrontLimits& limits, core::Engine& engine);
    ~RelayFront();
    RelayFront(const RelayFront&) = delete;
    RelayFront& operator=(const RelayFront&) = delete;

    // Returns the listed media node with that name, if there is one.
    std::function<std::optional<ServerId>(const std::string& uid)> find_node;
    // Takes over a session that already plays, in the engine and in the link to its node.
    std::function<bool(const core::ViewerRequest& request, ServerId server)> adopt_session;
    // Called for a set-up that is malformed or names something unknown, with the reason.
    std::function<void(const std::string& why, const relay::ViewerMessage& message)> on_invalid_setup;
    // Called when a connection is closed with set-ups pending on it, or so soon after an answer that the two
    // may have crossed.
    std::function<void(const ClosedConnection&)> on_connection_closed;
    // Called before the first set-up is passed on.
    std::function<void()> on_first_setup;
    // Returns the memory that other parts hold in messages of peers, in bytes.
    std::function<std::size_t()> buffered_elsewhere;

    // An established session has ended or is moved. With `notify_viewer` its viewer is sent a release or
    // move, on any suitable connection.
    void handle_session_end(SessionId id, bool notify_viewer, bool moved);
    // Starts a graceful shutdown: set-ups that come after shutdown.accept_deadline() are rejected, and
    // connections are ended as they drain. New connections are accepted until the end: closing the listener
    // would reset those that the system has accepted and nobody has read yet, and clients resend on a new
    // connection what crosses the end of an old one.
    void begin_shutdown(const decide::GracefulShutdown& shutdown);
    // Ends the connections that are drained; to be called periodically during a shutdown.
    void end_drained_connections();
    // When data or a connection was last received. The director exits only after it has read everything.
    io::Time last_received() const { return last_received_; }
    // The hard deadline: ends every connection after its remaining output. A reset would lose answers that
    // are on their way.
    void end_all_connections();
    io::Address address() const { return listener_->address(); }  // with the port chosen, where 0 was given
    std::size_t connection_count() const { return connections_.size(); }
    std::size_t pending_setups() const { return requests_.size(); }
    bool has_sent_all_output() const;
    const RelayFrontCounts& counts() const { return counts_; }

  private:
    struct Connection;
    struct Request;
    // The end or move of a session, to be sent to its client.
    struct EndNotice {
        SessionId session = 0;
        bool moved = false;
        io::Time ended_at = 0, answered_at = 0;  // answered_at: see Established
    };

    void accept_connection(std::unique_ptr<io::Stream> stream);
    void handle_data(Connection& connection, std::string_view bytes);
    void handle_line(Connection& connection, const std::string& line);
    void handle_setup(Connection& connection, const relay::ViewerMessage& message);
    void handle_repeated_number(Connection& connection, Request& earlier,
                                const relay::ViewerMessage& message);
    void handle_release(Connection& connection, const relay::ViewerMessage& message);
    std::string parse_setup(const relay::ViewerMessage& message, core::ViewerRequest& request,
                            std::string& node_uid) const;
    void send_message(Connection& connection, const relay::ViewerMessage& message);
    void send_release(Connection& connection, const std::string& id, int cause, Time wait = 0);
    void finish_request(SessionId id);
    std::size_t memory_in_use() const;
    bool has_memory_for(const Connection& connection, const core::ViewerRequest& request) const;
    void abandon_pending_setups(Connection& connection);
    void close_gracefully(Connection& connection, CloseReason reason);
    void record_close(Connection& connection, CloseReason reason);
    void handle_client_close(Connection& connection, CloseReason reason);
    void evict(Connection& connection);
    void close_if_idle(Connection& connection);
    void close_if_done(Connection& connection);
    bool is_drained(const Connection& connection) const;
    void remove_connection(Connection& connection, CloseReason reason);
    bool make_room();
    void sweep();
    Connection* find_connection_for_end_notice(io::Time waited) const;
    void send_end_notice(Connection& connection, const EndNotice& notice);
    void queue_end_notice(const EndNotice& notice);
    void send_pending_end_notices();

    io::Loop& loop_;
    Settings settings_;
    RelayNames names_;
    RelayFrontLimits limits_;
    decide::MemoryBudget memory_budget_;
    core::Engine& engine_;
    bool received_setup_ = false;
    io::Time last_received_ = 0;
    std::optional<decide::GracefulShutdown> shutdown_;
    bool drain_check_posted_ = false;                     // a call of end_drained_connections() is posted
    std::list<std::unique_ptr<Connection>> connections_;  // oldest first
    std::map<SessionId, std::unique_ptr<Request>> requests_;
    std::size_t pending_setup_bytes_ = 0;  // estimated memory of the set-ups in requests_
    struct Established {
        Connection* connection = nullptr;  // the connection of its set-up; null once that is closed
        io::Time answered_at = 0;          // when its set-up was answered; lowest() if it was handed over
    };
    std::map<SessionId, Established> established_;
    // Waiting for a suitable connection, or so as not to overtake the answer; oldest first.
    std::deque<EndNotice> pending_end_notices_;
    io::Timer end_notice_timer_;
    // Destroyed in the event loop's next turn, because they may be in a callback.
    std::vector<std::unique_ptr<Connection>> removed_connections_;
    std::vector<std::unique_ptr<Request>> finished_requests_;
    bool cleanup_posted_ = false;
    RelayFrontCounts counts_;
    io::Timer sweep_timer_;
    std::unique_ptr<io::Listener> listener_;
};

}  // namespace ivyfield::fronts
