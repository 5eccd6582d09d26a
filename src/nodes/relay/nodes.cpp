#include "nodes/relay/nodes.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <utility>

#include "decide/node_incarnation.hpp"
#include "decide/session_end.hpp"

namespace ivyfield::nodes {

using relay::MessageType;
using relay::NodeMessage;
using relay::ParameterCode;

namespace {

// Delay before the connection to a node with sessions is redialled after a loss; it doubles up to the
// maximum. The minimum is long enough for the node to notice that the old connection is gone.
constexpr io::Time kMinRedialDelay = 20, kMaxRedialDelay = 1600;
// How long a connection closed by this side is still read: what the node sent before it saw the close still
// counts.
constexpr io::Time kLingerTime = 1000;
// Fraction of the node's idle timeout after which this side closes an idle connection. It must do so well
// before the node does: a set-up that crosses the node's close is lost.
constexpr double kIdleFraction = 0.6;
// Maximum number of ends that wait for a connection to one node. More ends than a node has streams mean that
// the node is gone.
constexpr std::size_t kMaxUnsentEnds = 1024;
constexpr io::Time kSweepInterval = 1000;

}  // namespace

struct RelayNodes::Connection : io::StreamHandler {
    RelayNodes& owner;
    Node& node;
    std::unique_ptr<io::Stream> stream;
    io::Address address;  // that was dialled
    relay::FrameDecoder decoder;
    bool connected = false, removed = false;
    bool closing = false;  // nothing more is sent on it; read until the node closes it too
    io::Timer linger_timer;
    io::Time dialled_at = 0, last_used = 0, last_received = 0;
    // At most one, unless the limit of connections forces set-ups to share one.
    struct PendingSetup {
        core::SetupRequest setup;
        bool sent = false;
    };
    std::map<SessionId, PendingSetup> pending_setups;
    bool probing = false;
    relay::SessionNumber probe_number = 0;
    io::Time probe_started_at = 0;
    io::Timer probe_timer;
    // Ends sent on it a moment ago, with their times: they may have crossed its close.
    std::deque<std::pair<io::Time, NodeMessage>> recent_ends;
    bool is_reachability_check = false;   // dialled to check the machine; not connected yet
    bool was_reachability_check = false;  // dialled for that purpose and connected

    Connection(RelayNodes& o, Node& n) : owner(o), node(n) {}
    bool is_usable() const { return connected && !closing; }
    bool is_idle() const { return pending_setups.empty() && !probing && !closing; }
    void on_open() override { owner.handle_connected(*this); }
    void on_data(std::string_view bytes) override { owner.handle_data(*this, bytes); }
    void on_end() override { owner.handle_closed(*this, true, io::CloseStatus::clean); }
    void on_closed(io::CloseStatus close_status) override {
        owner.handle_closed(*this, connected, close_status);
    }
};

struct RelayNodes::Node {
    ServerId id = 0;
    RelayNode info;
    bool listed = true;
    std::list<std::unique_ptr<Connection>> connections;
    std::map<SessionId, EstablishedSession> established;
    std::deque<NodeMessage> unsent_ends;  // ends of sessions that wait for a connection to the node
    decide::FailureDetector failure_detector;
    decide::NodeIncarnation incarnation;
    // connection_lost: an established connection was lost. The node reports what has ended since then on the
    // next connection that is opened.
    bool connection_lost = false, redial_pending = false;
    // The node has not answered the close of a connection: what it sends there once it runs again is lost.
    bool close_unacknowledged = false;
    io::Time connection_lost_at = 0, redial_delay = kMinRedialDelay;
    io::Timer redial_timer, reachability_timer;
};

RelayNodes::RelayNodes(io::Loop& loop, const RelayLimits& limits) : loop_(loop), limits_(limits) {
    sweep_timer_ = loop_.after(kSweepInterval, [this] { close_idle_connections(); });
}
RelayNodes::~RelayNodes() = default;

RelayNodes::Node* RelayNodes::find(ServerId id) {
    const auto it = nodes_.find(id);
    return it == nodes_.end() ? nullptr : it->second.get();
}

void RelayNodes::set_nodes(const std::map<ServerId, RelayNode>& nodes) {
    for (const auto& [id, info] : nodes) {
        auto& node = nodes_[id];
        if (!node) {
            node = std::make_unique<Node>();
            node->id = id;
            node->info = info;
            node->incarnation = decide::NodeIncarnation(info.started);
        }
        const bool moved = node->info.address != info.address;
        node->info = info;
        node->listed = true;
        if (node->incarnation.update(info.started, moved, loop_.now())) end_earlier_incarnation(*node);
    }
    std::vector<ServerId> unlisted;
    for (const auto& [id, node] : nodes_)
        if (!nodes.count(id)) unlisted.push_back(id);
    for (const ServerId id : unlisted) {
        Node& node = *nodes_.at(id);
        node.listed = false;
        node.info.ready = false;
        end_all_sessions(node, "was removed from the server list");
        // Pending set-ups end with their connections; the node is erased when no connection is left.
        std::vector<Connection*> idle_connections;
        for (const auto& connection : node.connections)
            if (connection->is_idle()) idle_connections.push_back(connection.get());
        for (Connection* connection : idle_connections) remove_connection(*connection);
        if (node.connections.empty()) nodes_.erase(id);
    }
}

void RelayNodes::adopt_session(ServerId server, SessionId session, int attempt) {
    Node* node = find(server);
    if (!node) {
        loop_.post(
            [this, session, attempt] { events_->on_attempt_ended(session, attempt, Outcome::reset, {}); });
        return;
    }
    node->established[session] = {attempt, loop_.now()};
    maintain_connection(*node);
}

// ---- Connections ----

RelayNodes::Connection& RelayNodes::open_connection(Node& node) {
    auto owned = std::make_unique<Connection>(*this, node);
    Connection& connection = *owned;
    connection.address = node.info.address;
    connection.dialled_at = connection.last_used = loop_.now();
    node.connections.push_back(std::move(owned));
    connection_count_ += 1;
    counts_.dials += 1;
    connection.stream = loop_.dial(node.info.address, limits_.connect_timeout, &connection);
    return connection;
}

RelayNodes::Connection* RelayNodes::find_idle(Node& node, bool connected_only) {
    Connection* most_recent = nullptr;
    for (const auto& connection : node.connections) {
        if (!connection->is_idle() || connection->is_reachability_check ||
            connection->address != node.info.address || (connected_only && !connection->connected))
            continue;
        if (limits_.idle_timeout > 0 &&
            loop_.now() - connection->last_used > limits_.idle_timeout * kIdleFraction)
            continue;
        if (!most_recent || connection->last_used > most_recent->last_used) most_recent = connection.get();
    }
    return most_recent;
}

// Removes the connection from its node. It is destroyed after its own callbacks have returned.
void RelayNodes::remove_connection(Connection& connection) {
    if (connection.removed) return;
    connection.removed = true;
    if (!connection.closing) connection_count_ -= 1;
    connection.linger_timer.stop();
    connection.stream->set_handler(nullptr);
    connection.probe_timer.stop();
    Node& node = connection.node;
    const auto it = std::find_if(node.connections.begin(), node.connections.end(),
                                 [&](const auto& candidate) { return candidate.get() == &connection; });
    removed_connections_.push_back(std::move(*it));
    node.connections.erase(it);
    if (cleanup_posted_) return;
    cleanup_posted_ = true;
    loop_.post([this] {
        cleanup_posted_ = false;
        removed_connections_.clear();
        std::vector<ServerId> unused;
        for (const auto& [id, remaining] : nodes_)
            if (!remaining->listed && remaining->connections.empty()) unused.push_back(id);
        for (const ServerId id : unused) nodes_.erase(id);
    });
}

// Closes an idle connection, but reads it until the node closes it too or kLingerTime is over. The node may
// be sending the end of a session on it at this moment; an immediate close would lose those bytes and with
// them the end of that session.
void RelayNodes::close_gracefully(Connection& connection) {
    if (!connection.connected) return remove_connection(connection);
    connection.closing = true;
    connection_count_ -= 1;
    connection.stream->end();
    connection.linger_timer = loop_.after(kLingerTime, [this, &connection] {
        Node& node = connection.node;
        node.close_unacknowledged = true;
        lose_connection(connection);
        maintain_connection(node);
    });
}
// Removes a connection that was lost, or never established. Ends that may have crossed the close are sent
// again on the next connection.
void RelayNodes::lose_connection(Connection& connection) {
    if (connection.connected)
        connection.node.connection_lost = true, connection.node.connection_lost_at = loop_.now();
    for (const auto& [when, message] : connection.recent_ends)
        if (decide::can_have_crossed(loop_.now() - when)) connection.node.unsent_ends.push_back(message);
    remove_connection(connection);
}

void RelayNodes::send(Connection& connection, const NodeMessage& message) {
    connection.last_used = loop_.now();
    connection.stream->write(relay::encode_frame(message));
}
// Returns the usable connection that was used last, or nullptr.
RelayNodes::Connection* RelayNodes::find_usable(Node& node) {
    Connection* most_recent = nullptr;
    for (const auto& connection : node.connections)
        if (connection->is_usable() && (!most_recent || connection->last_used > most_recent->last_used))
            most_recent = connection.get();
    return most_recent;
}
void RelayNodes::send_to_node(Node& node, const NodeMessage& message) {
    if (Connection* connection = find_usable(node)) send(*connection, message);
}
// Sends the end of an established session. Without a usable connection it is sent on the next one, which
// maintain_connection() dials: a session whose end is never sent would keep playing without a viewer.
void RelayNodes::send_end(Node& node, MessageType type, SessionId session) {
    NodeMessage message;
    message.type = type, message.session = session;
    if (type == MessageType::release) message.cause = relay::kCauseGivenUp;
    Connection* most_recent = find_usable(node);
    if (!most_recent) {
        if (node.unsent_ends.size() < kMaxUnsentEnds) node.unsent_ends.push_back(message);
        return;
    }
    while (!most_recent->recent_ends.empty() &&
           !decide::can_have_crossed(loop_.now() - most_recent->recent_ends.front().first))
        most_recent->recent_ends.pop_front();
    most_recent->recent_ends.emplace_back(loop_.now(), message);
    send(*most_recent, message);
}

void RelayNodes::handle_connected(Connection& connection) {
    connection.connected = true;
    Node& node = connection.node;
    if (std::exchange(connection.is_reachability_check, false)) {
        // The connection is kept, because ends are also reported on the next connection. The one kept from an
        // earlier check is closed.
        Connection* previous = nullptr;
        for (const auto& candidate : node.connections)
            if (candidate->was_reachability_check && candidate->is_idle()) previous = candidate.get();
        if (previous) close_gracefully(*previous);
        connection.was_reachability_check = true;
    }
    // A connection dialled at the moment of the loss does not count: it may be established before the node
    // knows that the lost one is gone.
    if (connection.dialled_at > node.connection_lost_at) node.connection_lost = false;
    node.failure_detector.record_activity(loop_.now());
    std::vector<SessionId> unsent;
    for (const auto& [id, pending] : connection.pending_setups)
        if (!pending.sent) unsent.push_back(id);
    for (const NodeMessage& message : std::exchange(node.unsent_ends, {})) {
        connection.recent_ends.emplace_back(loop_.now(), message);
        send(connection, message);
    }
    for (const SessionId id : unsent) send_setup(connection, id);
    if (connection.probing) {
        NodeMessage message;
        message.type = MessageType::ping, message.session = connection.probe_number,
        message.cause = relay::kPingWithReport;
        send(connection, message);
    }
}

void RelayNodes::send_setup(Connection& connection, SessionId session) {
    Connection::PendingSetup& pending = connection.pending_setups.at(session);
    const core::SetupRequest& setup = pending.setup;
    // The list may have changed while the connection was being established: a draining node gets no new
    // set-ups, and at its earlier address there may be another node.
    if (!connection.node.listed || !connection.node.info.ready || setup.expires <= loop_.now() ||
        connection.address != connection.node.info.address)
        return finish_setup(connection, session, Outcome::not_sent, {});
    NodeMessage message;
    message.type = MessageType::setup;
    message.session = setup.session;
    const auto put = [&](ParameterCode code, std::string text) {
        message.parameters[static_cast<int>(code)] = std::move(text);
    };
    put(ParameterCode::cls, setup.request.cls_name);
    put(ParameterCode::title, setup.request.title_name);
    put(ParameterCode::wait, std::to_string(std::max(1LL, std::llround(setup.expires - loop_.now()))));
    put(ParameterCode::rung, std::to_string(setup.rung));
    put(ParameterCode::sdp, std::exchange(pending.setup.request.description, {}));
    pending.sent = true;
    counts_.setups += 1;
    send(connection, message);
}

// Handles a dial that failed, or a connection that was closed or broke.
void RelayNodes::handle_closed(Connection& connection, bool was_connected, io::CloseStatus close_status) {
    if (connection.removed) return;
    const bool refused = close_status == io::CloseStatus::refused,
               no_descriptors = close_status == io::CloseStatus::no_resources;
    Node& node = connection.node;
    if (connection.closing && close_status == io::CloseStatus::clean)
        return remove_connection(connection);  // the node has sent everything and closed it too
    lose_connection(connection);               // owned by removed_connections_ until this returns to the loop
    counts_.resets += was_connected;
    // A lack of file descriptors in this process says nothing about the node.
    const bool lost = !was_connected && !no_descriptors &&
                      node.failure_detector.record_dial_failure(connection.dialled_at, loop_.now(), refused);
    while (!connection.pending_setups.empty()) {
        const bool sent = connection.pending_setups.begin()->second.sent;
        finish_setup(connection, connection.pending_setups.begin()->first,
                     sent             ? Outcome::reset
                     : no_descriptors ? Outcome::not_sent
                                      : Outcome::not_connected,
                     {});
    }
    if (connection.probing)
        finish_probe(connection,
                     was_connected    ? Outcome::reset
                     : no_descriptors ? Outcome::full
                                      : Outcome::not_connected,
                     {});
    if (lost) {
        counts_.unreachable += !refused && !node.established.empty();
        end_all_sessions(node, refused ? "refuses connections" : "cannot be reached");
    }
    maintain_connection(node);
}

// Keeps a connection to a node with established sessions or unsent ends, and schedules checks whether its
// machine can be reached when it is silent.
void RelayNodes::maintain_connection(Node& node) {
    if ((node.established.empty() && node.unsent_ends.empty()) || !node.listed) {
        node.redial_timer.stop();
        node.reachability_timer.stop();
        node.redial_pending = node.connection_lost = false;
        return;
    }
    const auto has_connection = [](const Node& candidate) {
        return std::any_of(candidate.connections.begin(), candidate.connections.end(),
                           [](const auto& connection) { return !connection->closing; });
    };
    if (!node.redial_pending && (node.connection_lost || !has_connection(node))) {
        const ServerId id = node.id;
        node.redial_pending = true;
        node.redial_timer = loop_.after(node.redial_delay, [this, id, has_connection] {
            Node* current = find(id);
            current->redial_pending = false;
            current->redial_delay = std::min(kMaxRedialDelay, 2 * current->redial_delay);
            if (current->connection_lost || !has_connection(*current)) open_connection(*current);
        });
    }
    schedule_reachability_check(node);
}
// Dials the node when it has been silent for too long, unless a dial is already in progress.
void RelayNodes::schedule_reachability_check(Node& node) {
    const ServerId id = node.id;
    node.reachability_timer = loop_.at(node.failure_detector.next_check_at(loop_.now()), [this, id] {
        Node* current = find(id);
        if (!current || current->established.empty() || !current->listed) return;
        current->failure_detector.record_check(loop_.now());
        const bool connecting = std::any_of(current->connections.begin(), current->connections.end(),
                                            [](const auto& connection) { return !connection->connected; });
        if (current->failure_detector.is_silent(loop_.now()) && !connecting)
            open_connection(*current).is_reachability_check = true;
        schedule_reachability_check(*current);
    });
}

void RelayNodes::end_all_sessions(Node& node, const char* reason) {
    node.unsent_ends.clear();
    const auto ended = std::move(node.established);
    node.established.clear();
    end_sessions(node, ended, reason);
}

// Reports sessions that are no longer among the node's as ended.
void RelayNodes::end_sessions(Node& node, const std::map<SessionId, EstablishedSession>& ended,
                              const char* reason) {
    if (ended.empty()) return;
    if (on_warning)
        on_warning("node " + node.info.uid + " " + reason + ": " + std::to_string(ended.size()) +
                   " sessions are over");
    for (const auto& [session, established] : ended) {
        NodeMessage message;
        message.type = MessageType::release, message.session = session, message.cause = relay::kCauseGivenUp;
        send_to_node(node, message);
        events_->on_attempt_ended(session, established.attempt, Outcome::reset, {});
    }
}

// Another process has taken the node's place: what the earlier one had is over. Connections on which nothing
// was received from the present one are lost, except that a pending set-up or probe waits for its own end.
void RelayNodes::end_earlier_incarnation(Node& node) {
    counts_.restarts += 1;
    std::vector<Connection*> earlier;
    for (const auto& connection : node.connections)
        if (connection->is_idle() &&
            node.incarnation.precedes(std::max(connection->dialled_at, connection->last_received)))
            earlier.push_back(connection.get());
    for (Connection* connection : earlier) remove_connection(*connection);
    std::map<SessionId, EstablishedSession> ended;
    for (auto it = node.established.begin(); it != node.established.end();) {
        const auto current = it++;
        if (node.incarnation.precedes(current->second.established_at))
            ended.insert(node.established.extract(current));
    }
    end_sessions(node, ended, "has started again");
    maintain_connection(node);
}

// Closes connections that have been idle for too long; repeated every kSweepInterval.
void RelayNodes::close_idle_connections() {
    for (const auto& [id, node] : nodes_) {
        std::vector<Connection*> expired;
        std::size_t usable = 0;
        for (const auto& connection : node->connections) usable += connection->is_usable();
        for (const auto& connection : node->connections) {
            if (!connection->is_idle() || !connection->connected || limits_.idle_timeout <= 0) continue;
            if (loop_.now() - connection->last_used <= limits_.idle_timeout * kIdleFraction) continue;
            if (usable == 1 && !node->established.empty())
                continue;  // needed: the ends of sessions come on it
            usable -= 1;
            expired.push_back(connection.get());
        }
        for (Connection* connection : expired) close_gracefully(*connection);
    }
    sweep_timer_ = loop_.after(kSweepInterval, [this] { close_idle_connections(); });
}

// ---- Calls of the engine ----

void RelayNodes::set_up(const core::SetupRequest& setup) {
    Node* node = find(setup.server);
    if (!node || !node->listed || !node->info.ready) {
        loop_.post([this, setup] {
            events_->on_attempt_ended(setup.session, setup.attempt, Outcome::not_sent, {});
        });
        return;
    }
    Connection* connection = find_idle(*node, true);
    if (!connection && !make_room()) {
        // At the limit: share the connection with the fewest pending set-ups.
        for (const auto& candidate : node->connections)
            if (!candidate->probing && !candidate->closing &&
                (!connection || candidate->pending_setups.size() < connection->pending_setups.size()))
                connection = candidate.get();
        if (!connection) {
            // Nothing was sent, and the node is not at fault.
            loop_.post([this, setup] {
                events_->on_attempt_ended(setup.session, setup.attempt, Outcome::not_sent, {});
            });
            return;
        }
        counts_.shared_connections += 1;
    }
    if (!connection) connection = &open_connection(*node);
    connection->pending_setups[setup.session] = {setup, false};
    if (connection->connected) send_setup(*connection, setup.session);
}

// Returns whether one more connection may be opened. At the limit it closes the idle connection that was used
// least recently, of a node that can do without it.
bool RelayNodes::make_room() {
    if (connection_count_ < limits_.max_connections) return true;
    Connection* oldest = nullptr;
    for (const auto& [id, node] : nodes_) {
        if (node->connections.size() == 1 && !node->established.empty()) continue;
        for (const auto& connection : node->connections)
            if (connection->is_idle() && connection->connected &&
                (!oldest || connection->last_used < oldest->last_used))
                oldest = connection.get();
    }
    if (!oldest) return false;
    close_gracefully(*oldest);
    return true;
}

void RelayNodes::finish_setup(Connection& connection, SessionId session, Outcome outcome,
                              const LoadReport& report) {
    const core::SetupRequest setup = std::move(connection.pending_setups.at(session).setup);
    connection.pending_setups.erase(session);
    // Posted: the engine must not be notified from within one of its own calls.
    loop_.post([this, session = setup.session, attempt = setup.attempt, outcome, report] {
        events_->on_attempt_ended(session, attempt, outcome, report);
    });
}

std::size_t RelayNodes::buffered_bytes() const {
    std::size_t bytes = 0;
    for (const auto& [id, node] : nodes_)
        for (const auto& connection : node->connections)
            bytes += connection->stream->pending() + connection->decoder.buffered_bytes();
    return bytes;
}

bool RelayNodes::is_drained() const {
    for (const auto& [id, node] : nodes_) {
        if (!node->unsent_ends.empty()) return false;
        for (const auto& connection : node->connections)
            if (connection->connected && connection->stream->pending() > 0) return false;
    }
    return true;
}

void RelayNodes::end_connections() {
    for (const auto& [id, node] : nodes_)
        for (const auto& connection : node->connections)
            if (connection->connected) connection->stream->end();
}

void RelayNodes::set_rung(ServerId server, SessionId session, int, int rung) {
    Node* node = find(server);
    if (!node) return;
    NodeMessage message;
    message.type = MessageType::rate, message.session = session;
    message.parameters[static_cast<int>(ParameterCode::rung)] = std::to_string(rung);
    send_to_node(*node, message);
}

void RelayNodes::move(ServerId server, SessionId session, int attempt) {
    Node* node = find(server);
    if (!node || !node->established.erase(session)) return;
    send_end(*node, MessageType::move, session);
    loop_.post(
        [this, session, attempt] { events_->on_attempt_ended(session, attempt, Outcome::cancelled, {}); });
    maintain_connection(*node);
}

void RelayNodes::cancel(ServerId server, SessionId session, int attempt) {
    Node* node = find(server);
    if (!node) return;
    NodeMessage message;
    message.type = MessageType::release, message.session = session, message.cause = relay::kCauseGivenUp;
    for (const auto& connection : node->connections) {
        const auto it = connection->pending_setups.find(session);
        if (it == connection->pending_setups.end() || it->second.setup.attempt != attempt) continue;
        // Cancelled by a release and, if no other set-up is pending on the connection, by closing it. A
        // process that hangs reads neither in time; its answer, if it comes, matches no pending set-up.
        if (it->second.sent) send(*connection, message);
        connection->pending_setups.erase(it);
        Connection& carrier = *connection;
        if (carrier.pending_setups.empty()) close_gracefully(carrier);
        maintain_connection(*node);
        return;
    }
    if (!node->established.erase(session)) return;
    send_end(*node, MessageType::release, session);
    loop_.post(
        [this, session, attempt] { events_->on_attempt_ended(session, attempt, Outcome::cancelled, {}); });
    maintain_connection(*node);
}

void RelayNodes::probe(ServerId server) {
    Node* node = find(server);
    if (!node || !node->listed) {
        loop_.post([this, server] { events_->on_probe_result(server, Outcome::not_connected, 0, {}); });
        return;
    }
    Connection* connection = find_idle(*node, true);
    const bool was_connected = connection != nullptr;
    if (!connection && !make_room()) {  // the outcome says nothing about the node
        loop_.post([this, server] { events_->on_probe_result(server, Outcome::full, 0, {}); });
        return;
    }
    if (!connection) connection = &open_connection(*node);
    connection->probing = true;
    connection->probe_number = ++last_probe_;
    connection->probe_started_at = loop_.now();
    counts_.probes += 1;
    connection->probe_timer = loop_.after(limits_.connect_timeout, [this, connection] {
        Node& probed_node = connection->node;
        finish_probe(*connection, Outcome::timed_out, {});
        close_gracefully(*connection);
        maintain_connection(probed_node);
    });
    if (!was_connected) return;
    NodeMessage message;
    message.type = MessageType::ping, message.session = connection->probe_number,
    message.cause = relay::kPingWithReport;
    send(*connection, message);
}

void RelayNodes::finish_probe(Connection& connection, Outcome outcome, const LoadReport& report) {
    connection.probing = false;
    connection.probe_timer.stop();
    loop_.post([this, server = connection.node.id, outcome,
                waited = loop_.now() - connection.probe_started_at,
                report] { events_->on_probe_result(server, outcome, waited, report); });
}

// ---- Messages of nodes ----

// Reads the report fields in the order of the limits.
LoadReport RelayNodes::parse_load_report(const NodeMessage& message) const {
    const std::string* text = message.find(ParameterCode::report);
    if (!text) return {};
    const auto pairs = relay::parse_pairs(*text);
    if (!pairs) return {};
    LoadReport report;
    for (const std::string& field : limits_.report_fields) {
        const auto it = pairs->find(field);
        const auto value = it == pairs->end() ? std::nullopt : relay::parse_number(it->second);
        // A missing field is NaN, since zero would be a value.
        report.push_back(value ? static_cast<float>(*value) : std::numeric_limits<float>::quiet_NaN());
    }
    return report;
}

void RelayNodes::handle_data(Connection& connection, std::string_view bytes) {
    connection.node.failure_detector.record_activity(loop_.now());
    connection.last_received = loop_.now();
    // Reset on data only: that a connection is established is no sign that the next one will last.
    connection.node.redial_delay = kMinRedialDelay;
    connection.last_used = loop_.now();
    if (std::exchange(connection.node.close_unacknowledged, false)) {
        connection.node.connection_lost = true;
        connection.node.connection_lost_at = loop_.now();
        maintain_connection(connection.node);
    }
    while (!connection.removed && !bytes.empty()) {
        const auto result = connection.decoder.next(bytes);
        if (!result) return;
        if (const auto* error = std::get_if<relay::ParseError>(&*result)) {
            counts_.malformed += 1;
            if (on_warning)
                on_warning("node " + connection.node.info.uid +
                           " sent a malformed message: " + error->reason);
            return handle_closed(connection, true, io::CloseStatus::reset);
        }
        handle_message(connection, std::get<NodeMessage>(*result));
    }
}

void RelayNodes::end_session(Node& node, SessionId session, Outcome outcome, const LoadReport& report) {
    const auto it = node.established.find(session);
    if (it == node.established.end()) return;
    const int attempt = it->second.attempt;
    node.established.erase(it);
    maintain_connection(node);
    events_->on_attempt_ended(session, attempt, outcome, report);
}

// Establishes the session of a set-up that is pending on the connection. Returns false if the answer is
// malformed; the connection is closed then.
bool RelayNodes::establish_session(Connection& connection, const NodeMessage& message) {
    const std::string* sdp = message.find(ParameterCode::sdp);
    if (!sdp || !relay::is_utf8(*sdp)) {
        counts_.malformed += 1;
        handle_closed(connection, true, io::CloseStatus::reset);
        return false;
    }
    Node& node = connection.node;
    const auto pending = connection.pending_setups.find(message.session);
    const core::SetupRequest setup = std::move(pending->second.setup);
    connection.pending_setups.erase(pending);
    node.established[setup.session] = {setup.attempt, loop_.now()};
    maintain_connection(node);
    core::Media media;
    media.description = *sdp;
    events_->on_attempt_started(setup.session, setup.attempt, media);
    return true;
}

void RelayNodes::handle_message(Connection& connection, const NodeMessage& message) {
    Node& node = connection.node;
    const auto pending = connection.pending_setups.find(message.session);
    const bool is_pending = pending != connection.pending_setups.end() && pending->second.sent;
    const auto established = node.established.find(message.session);
    switch (message.type) {
        case MessageType::answer: {
            if (!is_pending) {
                counts_.unexpected += 1;
                return;
            }
            establish_session(connection, message);
            return;
        }
        case MessageType::release: {
            const int cause = message.cause.value_or(-1);
            const LoadReport report = parse_load_report(message);
            // A release with an answer: the viewer wanted only a moment more, so the session starts and ends
            // in one message. Handled as a reset, it was blamed on healthy nodes and set up again.
            if (is_pending && cause == relay::kCauseGivenUp && message.find(ParameterCode::sdp)) {
                if (!establish_session(connection, message)) return;
                return end_session(node, message.session, Outcome::ended, report);
            }
            if (is_pending) {
                const Outcome outcome = cause == relay::kCauseFull      ? Outcome::full
                                        : cause == relay::kCauseError   ? Outcome::error
                                        : cause == relay::kCauseNotSent ? Outcome::not_sent
                                                                        : Outcome::reset;
                return finish_setup(connection, message.session, outcome, report);
            }
            NodeMessage acknowledgement;
            acknowledgement.type = MessageType::released, acknowledgement.session = message.session;
            send(connection, acknowledgement);
            if (established == node.established.end()) {
                counts_.unexpected += 1;
                return;
            }
            return end_session(node, message.session,
                               cause == relay::kCauseGivenUp     ? Outcome::ended
                               : cause == relay::kCauseCancelled ? Outcome::cancelled
                                                                 : Outcome::reset,
                               report);
        }
        case MessageType::pong: {
            if (!connection.probing || message.session != connection.probe_number) {
                counts_.unexpected += 1;
                return;
            }
            const bool passed = message.cause.value_or(relay::kPongFailed) == relay::kPongPassed;
            return finish_probe(connection, passed ? Outcome::ended : Outcome::error,
                                parse_load_report(message));
        }
        case MessageType::note: {
            const std::string* note_name = message.find(ParameterCode::note);
            const std::string* value_text = message.find(ParameterCode::note_value);
            const auto value = value_text ? relay::parse_number(*value_text) : std::nullopt;
            if (!note_name || !value || established == node.established.end()) {
                counts_.unexpected += 1;
                return;
            }
            const NoteKind kind = *note_name == "share"   ? NoteKind::delivered_share
                                  : *note_name == "step"  ? NoteKind::rung
                                  : *note_name == "asked" ? NoteKind::link
                                  : *note_name == "rack"  ? NoteKind::uplink
                                                          : NoteKind::other;
            return events_->on_session_note(message.session, established->second.attempt, node.id, kind,
                                            *value);
        }
        case MessageType::progress:
        case MessageType::released:
            return;  // nodes may send these; they carry no information
        default:
            counts_.unexpected += 1;
            return;
    }
}

}  // namespace ivyfield::nodes
