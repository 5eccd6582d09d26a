#include "fronts/relay/front.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

#include "decide/session_end.hpp"

namespace ivyfield::fronts {

using relay::MessageType;
using relay::ViewerMessage;

namespace {

// Causes of the releases that the director sends. kCauseRejected tells the client that a retry is safe; the
// others report a failure.
constexpr int kCauseRejected = relay::kCauseFull, kPongFailed = relay::kCauseError, kCauseUnusable = 100,
              kCauseSessionOver = 16;
constexpr io::Time kSweepInterval = 250;  // ms
// How much is read of a connection before it is closed, in bytes. An evicted one is not known to be idle, and
// others wait meanwhile: one message is enough to tell.
constexpr std::size_t kReadBeforeEviction = relay::kMaxMessageSize, kReadBeforeClose = 64 * 1024;

// Parses a whole number in [min, max]; nothing if the text is anything else.
std::optional<int> parse_integer(const std::string& text, int min, int max) {
    const auto value = relay::parse_number(text);
    if (!value || *value != std::floor(*value) || *value < min || *value > max) return std::nullopt;
    return static_cast<int>(*value);
}

}  // namespace

const char* name(CloseReason reason) {
    switch (reason) {
        case CloseReason::client_end:
            return "client_end";
        case CloseReason::client_reset:
            return "client_reset";
        case CloseReason::drained:
            return "drained";
        case CloseReason::hard_deadline:
            return "hard_deadline";
        case CloseReason::idle:
            return "idle";
        case CloseReason::evicted:
            return "evicted";
        case CloseReason::unreadable:
            return "unreadable";
        case CloseReason::unusable:
            return "unusable";
        case CloseReason::repeated_number:
            return "repeated_number";
        case CloseReason::unread_output:
            return "unread_output";
    }
    return "?";
}

// One client connection. It outlives its removal until the event loop's next turn, because it may be in a
// callback when it is removed.
struct RelayFront::Connection : io::StreamHandler {
    RelayFront& owner;
    std::unique_ptr<io::Stream> stream;
    relay::LineDecoder decoder;
    std::set<SessionId> pending_setups;   // set-ups to be answered on it
    std::set<SessionId> established;      // sessions set up on it and not yet ended
    std::size_t pending_setup_bytes = 0;  // their estimated memory
    bool has_carried_setup = false;       // a well-formed set-up has been received on it
    bool has_answered_ping = false;       // a ping has been received and answered on it
    bool closing = false;                 // our end has been sent; input is discarded
    // Set after a repeated session number; the connection is closed once nothing is pending on it.
    bool rejects_setups = false;
    bool output_overflowed = false;  // the client does not read; about to be dropped
    struct SentEndNotice {
        io::Time sent_at;
        EndNotice notice;
    };
    // Sent so recently that they may cross the close of this connection; sent again elsewhere in that case.
    std::deque<SentEndNotice> recent_end_notices;
    bool removed = false;
    bool close_counted = false;
    std::uint64_t number = 0;  // in the order of acceptance, from 1
    // Estimated memory that is held for the client.
    std::size_t held_bytes() const {
        return pending_setup_bytes + decoder.buffered_bytes() + stream->pending();
    }
    std::optional<io::Time> last_answered_at;
    bool has_received_message = false;
    io::Time accepted_at = 0, last_used = 0, closing_since = 0;

    explicit Connection(RelayFront& front) : owner(front) {}
    void on_data(std::string_view bytes) override { owner.handle_data(*this, bytes); }
    // Clients never half-close: one that has ended its side no longer waits for answers.
    void on_end() override { owner.handle_client_close(*this, CloseReason::client_end); }
    void on_flushed() override {}
    void on_closed(io::CloseStatus) override { owner.handle_client_close(*this, CloseReason::client_reset); }
};

// A set-up that waits for its answer.
struct RelayFront::Request : core::AnswerHandler {
    RelayFront& owner;
    SessionId session;
    std::string id_text;  // the session number as the client wrote it
    Connection* connection;
    std::size_t bytes;  // estimated memory

    Request(RelayFront& front, SessionId number, std::string text, Connection* from,
            std::size_t description_bytes)
        : owner(front),
          session(number),
          id_text(std::move(text)),
          connection(from),
          bytes(decide::setup_cost(description_bytes)) {}
    void on_established(const core::Placement& placement) override {
        ViewerMessage message;
        message.type = MessageType::answer, message.id = id_text, message.sdp = placement.media.description;
        Connection* client = connection;
        owner.finish_request(session);
        owner.established_[session] = {client, owner.loop_.now()};
        client->established.insert(session);
        client->last_answered_at = owner.loop_.now();
        owner.send_message(*client, message);
        owner.close_if_done(*client);
    }
    void on_rejected(Time retry_after) override {
        Connection* client = connection;
        const std::string text = id_text;
        owner.finish_request(session);
        owner.send_release(*client, text, kCauseRejected, retry_after);
        owner.close_if_done(*client);
    }
    void on_failed() override {
        Connection* client = connection;
        const std::string text = id_text;
        owner.finish_request(session);
        owner.send_release(*client, text, kPongFailed);
        owner.close_if_done(*client);
    }
};

RelayFront::RelayFront(io::Loop& loop, const io::Address& listen, const Settings& settings,
                       const RelayNames& names, const RelayFrontLimits& limits, core::Engine& engine)
    : loop_(loop),
      settings_(settings),
      names_(names),
      limits_(limits),
      memory_budget_(limits.memory),
      engine_(engine) {
    listener_ = loop.listen(listen, [this](auto stream) { accept_connection(std::move(stream)); });
    sweep_timer_ = loop_.after(kSweepInterval, [this] { sweep(); });
}
RelayFront::~RelayFront() {
    // Abandoning one request may cause the engine to answer others, so the map is read anew each time.
    while (!requests_.empty()) {
        const SessionId id = requests_.begin()->first;
        engine_.withdraw_request(id, requests_.begin()->second.get());
        finish_request(id);
    }
}

// ---- Connections ----

void RelayFront::accept_connection(std::unique_ptr<io::Stream> stream) {
    last_received_ = loop_.now();
    if (!make_room()) {
        // Closed without sending anything: the client knows that nothing was accepted.
        counts_.turned_away += 1;
        return;
    }
    counts_.connections += 1;
    auto owned = std::make_unique<Connection>(*this);
    owned->stream = std::move(stream);
    owned->number = counts_.connections;
    owned->accepted_at = owned->last_used = loop_.now();
    owned->stream->set_handler(owned.get());
    connections_.push_back(std::move(owned));
}

bool RelayFront::make_room() {
    while (connections_.size() >= limits_.admission.max_connections) {
        std::vector<Connection*> connections;
        std::vector<decide::ConnectionLoad> states;
        for (const auto& connection : connections_) {
            connections.push_back(connection.get());
            states.push_back(
                {connection->pending_setups.size(), connection->has_carried_setup, connection->last_used});
        }
        const auto index = decide::select_eviction(states);
        if (!index) return false;
        evict(*connections[*index]);
    }
    return true;
}

// Reads what has already arrived first; if that includes a set-up, the connection stays. Output already
// written is still sent: a stream that has been ended is not reset when it is destroyed.
void RelayFront::evict(Connection& connection) {
    connection.stream->read_available(kReadBeforeEviction);
    if (connection.removed || !connection.pending_setups.empty()) return;
    connection.stream->end();
    counts_.shed += 1;
    remove_connection(connection, CloseReason::evicted);
}

// Counts and reports the close, once per connection. Must be called before the pending set-ups are abandoned,
// since it reports how many there are.
void RelayFront::record_close(Connection& connection, CloseReason reason) {
    if (std::exchange(connection.close_counted, true)) return;
    counts_.closed[static_cast<std::size_t>(reason)] += 1;
    ClosedConnection closed{connection.number, reason, connection.pending_setups.size(), std::nullopt};
    if (connection.last_answered_at) closed.since_last_answer = loop_.now() - *connection.last_answered_at;
    const bool crosses_answer =
        closed.since_last_answer && decide::can_have_crossed(*closed.since_last_answer);
    if (on_connection_closed && (closed.pending_setups > 0 || crosses_answer)) on_connection_closed(closed);
}

void RelayFront::handle_client_close(Connection& connection, CloseReason reason) {
    record_close(connection, reason);
    abandon_pending_setups(connection);
    remove_connection(connection, reason);
}

void RelayFront::remove_connection(Connection& connection, CloseReason reason) {
    if (connection.removed) return;
    record_close(connection, reason);
    connection.removed = true;
    for (const SessionId id : connection.established)
        if (const auto it = established_.find(id); it != established_.end()) it->second.connection = nullptr;
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [&](const auto& one) { return one.get() == &connection; });
    // Free the descriptor now: in a burst of new connections, evicted ones must not keep theirs until the end
    // of the event loop's turn.
    connection.stream.reset();
    const auto recent = std::move(connection.recent_end_notices);
    removed_connections_.push_back(std::move(*it));
    connections_.erase(it);
    for (const auto& one : recent)
        if (decide::can_have_crossed(loop_.now() - one.sent_at)) queue_end_notice(one.notice);
    if (cleanup_posted_) return;
    cleanup_posted_ = true;
    loop_.post([this] {
        cleanup_posted_ = false;
        removed_connections_.clear();
        finished_requests_.clear();
    });
}

// Sends the remaining output, then ends our side. Input is read and discarded until `linger` has passed:
// closing a socket with unread input resets the connection and would lose the last answer.
void RelayFront::close_gracefully(Connection& connection, CloseReason reason) {
    if (connection.removed || connection.closing) return;
    record_close(connection, reason);
    abandon_pending_setups(connection);
    connection.closing = true;
    connection.closing_since = loop_.now();
    connection.stream->end();
}

void RelayFront::abandon_pending_setups(Connection& connection) {
    const auto pending = std::move(connection.pending_setups);
    connection.pending_setups.clear();
    for (const SessionId id : pending) {
        const auto it = requests_.find(id);
        if (it == requests_.end()) continue;  // answered when another of them was abandoned
        counts_.gave_up += 1;
        engine_.withdraw_request(id, it->second.get());
        finish_request(id);
    }
}

void RelayFront::sweep() {
    send_pending_end_notices();
    std::vector<Connection*> expired;
    for (const auto& connection : connections_) {
        if (connection->closing ? loop_.now() - connection->closing_since > limits_.linger
                                : connection->pending_setups.empty() && connection->established.empty() &&
                                      loop_.now() - connection->last_used > limits_.idle_timeout)
            expired.push_back(connection.get());
    }
    for (Connection* connection : expired) {
        if (connection->removed) continue;
        if (connection->closing) remove_connection(*connection, CloseReason::idle);
        else close_if_idle(*connection);
    }
    sweep_timer_ = loop_.after(kSweepInterval, [this] { sweep(); });
}

void RelayFront::close_if_idle(Connection& connection) {
    connection.stream->read_available(kReadBeforeClose);
    if (!connection.removed && connection.pending_setups.empty())
        close_gracefully(connection, CloseReason::idle);
}

void RelayFront::close_if_done(Connection& connection) {
    if (!connection.removed && connection.rejects_setups && connection.pending_setups.empty())
        return close_gracefully(connection, CloseReason::repeated_number);
    if (!shutdown_ || drain_check_posted_ || !is_drained(connection)) return;
    // Deferred: this call may come from within a decision of the module, and the check reads more input.
    drain_check_posted_ = true;
    loop_.post([this] {
        drain_check_posted_ = false;
        end_drained_connections();
    });
}

void RelayFront::begin_shutdown(const decide::GracefulShutdown& shutdown) { shutdown_ = shutdown; }

bool RelayFront::is_drained(const Connection& connection) const {
    if (connection.removed || connection.closing) return false;
    return shutdown_->should_close_connection(
        loop_.now(),
        {connection.pending_setups.size(), connection.has_received_message, connection.accepted_at});
}

void RelayFront::end_drained_connections() {
    std::vector<Connection*> drained;
    for (const auto& connection : connections_)
        if (is_drained(*connection)) drained.push_back(connection.get());
    for (Connection* connection : drained) {
        if (connection->removed) continue;
        // A request already in the receive buffer was sent before our end and has to be answered.
        connection->stream->read_available(kReadBeforeClose);
        if (is_drained(*connection)) close_gracefully(*connection, CloseReason::drained);
    }
}

void RelayFront::end_all_connections() {
    for (const auto& connection : connections_) {
        if (connection->closing) continue;
        record_close(*connection, CloseReason::hard_deadline);
        connection->closing = true;
        connection->closing_since = loop_.now();
        connection->stream->end();
    }
}

bool RelayFront::has_sent_all_output() const {
    return std::all_of(connections_.begin(), connections_.end(),
                       [](const auto& connection) { return connection->stream->pending() == 0; });
}

void RelayFront::send_message(Connection& connection, const ViewerMessage& message) {
    if (connection.removed) return;
    connection.last_used = loop_.now();
    if (connection.output_overflowed) return;
    connection.stream->write(relay::encode_line(message));
    const std::size_t unsent = connection.stream->pending();
    if (unsent <= decide::kMinUnsentOutput) return;
    if (unsent <= limits_.max_unsent_output && memory_budget_.can_hold_output(unsent, memory_in_use()))
        return;
    // Deferred: this call may carry out the module's rejection of one set-up while the sending of another one
    // of the same connection is still to be carried out.
    connection.output_overflowed = true;
    // The connection may be removed and destroyed before, so it is looked up again.
    loop_.post([this, target = &connection] {
        for (const auto& candidate : connections_) {
            if (candidate.get() != target || !candidate->output_overflowed) continue;
            record_close(*target, CloseReason::unread_output);
            abandon_pending_setups(*target);
            return remove_connection(*target, CloseReason::unread_output);
        }
    });
}
void RelayFront::send_release(Connection& connection, const std::string& id, int cause, Time wait) {
    ViewerMessage message;
    message.type = MessageType::release, message.id = id, message.cause = cause;
    if (wait >= 1) message.fields["wait"] = std::to_string(std::llround(wait));
    send_message(connection, message);
}

// ---- Messages from clients ----

void RelayFront::handle_data(Connection& connection, std::string_view bytes) {
    last_received_ = loop_.now();
    if (connection.closing) return;
    connection.last_used = loop_.now();
    while (!connection.removed && !connection.closing && !bytes.empty()) {
        connection.has_received_message = true;
        const auto line = connection.decoder.next(bytes);
        if (connection.decoder.is_too_long()) {
            counts_.unreadable += 1;
            return close_gracefully(connection, CloseReason::unreadable);
        }
        if (!line) return;
        handle_line(connection, *line);
    }
}

void RelayFront::handle_line(Connection& connection, const std::string& line) {
    const relay::ParsedLine read = relay::parse_line(line);
    if (const auto* fault = std::get_if<relay::ParseError>(&read)) {
        counts_.unreadable += 1;
        // With a readable session number that has no pending set-up, only that session is released;
        // otherwise the connection is closed, since it is unknown what the message belongs to.
        if (const auto number = relay::parse_hex(fault->id); number && !requests_.count(*number))
            return send_release(connection, fault->id, kCauseUnusable);
        return close_gracefully(connection, CloseReason::unreadable);
    }
    const auto& message = std::get<ViewerMessage>(read);
    switch (message.type) {
        case MessageType::setup:
            return handle_setup(connection, message);
        case MessageType::release:
            return handle_release(connection, message);
        case MessageType::ping: {
            counts_.pings += 1;
            connection.has_answered_ping = true;
            ViewerMessage pong;
            pong.type = MessageType::pong, pong.id = message.id, pong.cause = relay::kPongPassed;
            return send_message(connection, pong);
        }
        case MessageType::released:
        case MessageType::progress:
            return;
        default:
            counts_.bad += 1;
            return close_gracefully(connection, CloseReason::unusable);
    }
}

// Fills `request`, and `node_uid` with the node that already plays a session that is handed over (else
// empty). Returns what is wrong with the set-up, or an empty string.
std::string RelayFront::parse_setup(const ViewerMessage& message, core::ViewerRequest& request,
                                    std::string& node_uid) const {
    const auto field = [&](const char* name) {
        const auto it = message.fields.find(name);
        return it == message.fields.end() ? std::string() : it->second;
    };
    const auto find_index = [](const std::vector<std::string>& names, const std::string& name) {
        const auto it = std::find(names.begin(), names.end(), name);
        return it == names.end() ? -1 : static_cast<int>(it - names.begin());
    };
    request.preassigned_id = message.session;
    request.cls_name = field("class");
    request.cls = find_index(names_.classes, request.cls_name);
    if (request.cls < 0) return "no such class";
    if (!names_.tenants.empty()) {
        request.tenant = find_index(names_.tenants, field("tenant"));
        if (request.tenant < 0) return "no such tenant";
    }
    request.title_name = field("key");
    const auto title = relay::parse_hex(request.title_name);
    if (!title) return "key is not a title number";
    request.title = *title;
    if (!message.sdp || message.sdp->empty()) return "no session description";
    request.description = *message.sdp;
    const auto extras = relay::parse_pairs(field("extras"));
    if (!extras) return "extras is malformed";
    const auto extra = [&](const char* name) {
        const auto it = extras->find(name);
        return it == extras->end() ? std::string() : it->second;
    };
    // home, copies: where titles are not held by all nodes, the cells that hold this title.
    const auto home = parse_integer(extra("home"), 0, 65535),
               copies = parse_integer(extra("copies"), 0, 65535);
    const auto top = parse_integer(extra("top"), 0, static_cast<int>(settings_.rung_kb.size()) - 1);
    if (!home || !copies || !top) return "home, copies or top is missing or out of range";
    if (settings_.cells > 0 && (*home >= settings_.cells || *copies > settings_.cells))
        return "home or copies is out of range";
    request.first_cell = *home, request.cell_count = *copies, request.top_rung = *top;
    const auto viewer = relay::parse_hex(extra("viewer"));
    if (!viewer) return "viewer is not a hexadecimal number";
    request.viewer = *viewer;
    request.returning = extra("again") == "1";
    node_uid = extra("at");
    // A session that is handed over already plays and waits for nothing: its `left` is without bound.
    const Time patience = settings_.classes[static_cast<std::size_t>(request.cls)].patience;
    const auto time_left = relay::parse_number(field("left"));
    if (!time_left || *time_left <= 0 || (node_uid.empty() && *time_left > patience + 1))
        return "left is not a valid time to wait";
    request.deadline = loop_.now() + *time_left;
    return "";
}

// Two requests under one session number. On the same connection an answer to one would be taken for both, so
// neither is served, and no more set-ups are accepted on it: such a client may repeat this hundreds of times.
// Other set-ups pending on it are answered before it is closed. If the second request comes on another
// connection, only that one is rejected.
void RelayFront::handle_repeated_number(Connection& connection, Request& earlier,
                                        const ViewerMessage& message) {
    counts_.repeated += 1;
    if (earlier.connection == &connection) {
        const std::string first_id_text = earlier.id_text;
        connection.rejects_setups = true;
        engine_.withdraw_request(message.session, &earlier);
        finish_request(message.session);
        send_release(connection, first_id_text, kCauseUnusable);
    }
    send_release(connection, message.id, kCauseUnusable);
    return close_if_done(connection);
}

void RelayFront::handle_setup(Connection& connection, const ViewerMessage& message) {
    counts_.setups += 1;
    if (connection.rejects_setups) return send_release(connection, message.id, kCauseUnusable);
    auto earlier = requests_.find(message.session);
    if (earlier != requests_.end() && earlier->second->connection != &connection &&
        earlier->second->connection->stream->has_peer_closed()) {
        // Its client has left and comes again; what it left behind is over before its end has been read.
        handle_client_close(*earlier->second->connection, CloseReason::client_end);
        earlier = requests_.find(message.session);
    }
    if (earlier != requests_.end()) return handle_repeated_number(connection, *earlier->second, message);
    core::ViewerRequest request;
    std::string node_uid;
    const std::string why = parse_setup(message, request, node_uid);
    if (!why.empty()) {
        counts_.bad += 1;
        if (on_invalid_setup) on_invalid_setup(why, message);
        return send_release(connection, message.id, kCauseUnusable);
    }
    if (on_first_setup && !received_setup_) on_first_setup();
    received_setup_ = true;
    connection.has_carried_setup = true;
    send_pending_end_notices();
    if (!node_uid.empty()) {
        const auto server = find_node ? find_node(node_uid) : std::nullopt;
        // The engine may know the session already.
        if (engine_.has_session(message.session)) return;
        if (!server) {
            counts_.bad += 1;
            return send_release(connection, message.id, kCauseUnusable);
        }
        if (!memory_budget_.can_take_over(engine_.open_sessions())) {
            counts_.over_memory += 1;
            return;
        }
        counts_.adopted += 1;
        established_[message.session] = {&connection, std::numeric_limits<io::Time>::lowest()};
        connection.established.insert(message.session);
        if (!adopt_session(request, *server)) {
            counts_.adopted -= 1;
            connection.established.erase(message.session);
            established_.erase(message.session);
        }
        return;
    }
    // Clients never half-close: nobody waits for an answer any more, although the set-up is read only now.
    if (connection.stream->has_peer_closed()) {
        counts_.left_unread += 1;
        return;
    }
    if (engine_.has_session(message.session)) {  // the number belongs to an established session
        counts_.repeated += 1;
        return send_release(connection, message.id, kCauseUnusable);
    }
    const bool stopping = shutdown_ && loop_.now() >= shutdown_->accept_deadline();
    const bool has_memory = has_memory_for(connection, request);
    if (!has_memory ||
        !decide::can_admit_setup(limits_.admission, connection.pending_setups.size(), stopping)) {
        counts_.turned_away += 1;
        counts_.over_memory += !has_memory;
        send_release(connection, message.id, kCauseRejected);
        return close_if_done(connection);
    }
    auto owned = std::make_unique<Request>(*this, message.session, message.id, &connection,
                                           request.description.size());
    Request* handler = owned.get();
    pending_setup_bytes_ += handler->bytes;
    connection.pending_setup_bytes += handler->bytes;
    requests_.emplace(message.session, std::move(owned));
    connection.pending_setups.insert(message.session);
    engine_.open_session(request, handler);
}

// Returns the estimated memory that is held for all peers and sessions.
std::size_t RelayFront::memory_in_use() const {
    std::size_t bytes = pending_setup_bytes_ + engine_.open_sessions() * decide::kSessionBytes;
    for (const auto& connection : connections_)
        bytes += connection->decoder.buffered_bytes() + connection->stream->pending();
    return bytes + (buffered_elsewhere ? buffered_elsewhere() : 0);
}
bool RelayFront::has_memory_for(const Connection& connection, const core::ViewerRequest& request) const {
    const std::size_t bytes = decide::setup_cost(request.description.size());
    return memory_budget_.can_hold(connection.held_bytes() + bytes, memory_in_use());
}

// Removes a request that has been answered or abandoned.
void RelayFront::finish_request(SessionId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    Connection& connection = *it->second->connection;
    connection.pending_setups.erase(id);
    connection.pending_setup_bytes -= it->second->bytes;
    pending_setup_bytes_ -= it->second->bytes;
    finished_requests_.push_back(std::move(it->second));  // it may be the caller
    requests_.erase(it);
    if (finished_requests_.size() == 1) loop_.post([this] { finished_requests_.clear(); });
}

void RelayFront::handle_release(Connection& connection, const ViewerMessage& message) {
    if (const auto it = requests_.find(message.session); it != requests_.end()) {
        // A pending set-up may be cancelled only on the connection that it came by.
        if (it->second->connection != &connection) return close_gracefully(connection, CloseReason::unusable);
        counts_.gave_up += 1;
        Request* request = it->second.get();
        engine_.withdraw_request(message.session, request);
        finish_request(message.session);
        return close_if_done(connection);
    }
    ViewerMessage reply;
    reply.type = MessageType::released, reply.id = message.id;
    if (engine_.terminate_by_viewer(message.session)) {
        counts_.hung_up += 1;
        if (const auto it = established_.find(message.session); it != established_.end()) {
            if (Connection* origin = it->second.connection) origin->established.erase(message.session);
            established_.erase(it);
        }
        return send_message(connection, reply);
    }
    // The release crossed our answer, or its session never existed. A connection that has carried no set-up
    // before has no other use then and is closed.
    counts_.unknown_releases += 1;
    send_message(connection, reply);
    if (!connection.removed && !connection.has_carried_setup)
        close_gracefully(connection, CloseReason::unusable);
}

// ---- Ends of sessions ----

void RelayFront::handle_session_end(SessionId id, bool notify_viewer, bool moved) {
    Established session{nullptr, std::numeric_limits<io::Time>::lowest()};
    if (const auto it = established_.find(id); it != established_.end()) {
        session = it->second;
        if (session.connection) session.connection->established.erase(id);
        established_.erase(it);
    }
    if (!notify_viewer) return;
    const EndNotice notice{id, moved, loop_.now(), session.answered_at};
    Connection* connection = session.connection;
    if (connection && !connection->removed && !connection->closing)
        return send_end_notice(*connection, notice);
    queue_end_notice(notice);
}

// The most recently used connection on which the end of another connection's session may be sent; connections
// that have carried a set-up are preferred.
RelayFront::Connection* RelayFront::find_connection_for_end_notice(io::Time waited) const {
    Connection* best = nullptr;
    for (const auto& connection : connections_) {
        if (connection->closing || !decide::can_carry_end_notice(connection->has_carried_setup,
                                                                 connection->has_answered_ping, waited))
            continue;
        if (!best || std::make_pair(connection->has_carried_setup, connection->last_used) >
                         std::make_pair(best->has_carried_setup, best->last_used))
            best = connection.get();
    }
    return best;
}

void RelayFront::send_end_notice(Connection& connection, const EndNotice& notice) {
    ViewerMessage message;
    message.type = notice.moved ? MessageType::move : MessageType::release;
    message.id = relay::to_hex(notice.session);
    if (!notice.moved) message.cause = kCauseSessionOver;
    counts_.releases += 1;
    while (!connection.recent_end_notices.empty() &&
           !decide::can_have_crossed(loop_.now() - connection.recent_end_notices.front().sent_at))
        connection.recent_end_notices.pop_front();
    connection.recent_end_notices.push_back({loop_.now(), notice});
    send_message(connection, message);
}

void RelayFront::queue_end_notice(const EndNotice& notice) {
    if (pending_end_notices_.size() >= limits_.max_pending_end_notices) pending_end_notices_.pop_front();
    pending_end_notices_.push_back(notice);
    send_pending_end_notices();
}

void RelayFront::send_pending_end_notices() {
    if (pending_end_notices_.empty()) return;
    const auto pending = std::move(pending_end_notices_);
    pending_end_notices_.clear();
    io::Time next_due = std::numeric_limits<io::Time>::infinity();
    for (const EndNotice& notice : pending) {
        const io::Time allowed_from = decide::earliest_end_notice_elsewhere(notice.answered_at);
        if (allowed_from > loop_.now()) {
            next_due = std::min(next_due, allowed_from);
        } else if (Connection* connection = find_connection_for_end_notice(loop_.now() - notice.ended_at)) {
            send_end_notice(*connection, notice);
            continue;
        }
        pending_end_notices_.push_back(notice);
    }
    if (std::isfinite(next_due))
        end_notice_timer_ = loop_.at(next_due, [this] { send_pending_end_notices(); });
}

}  // namespace ivyfield::fronts
