#include "nodes/relay/nodes.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <utility>

#include "decide/endings.hpp"

namespace ivyfield::nodes {

using relay::MessageType;
using relay::NodeMessage;
using relay::ParameterCode;

namespace {

// After a connection that nodes with sessions need is lost, the next dial waits so long, doubling: long
// enough for the node to know that the old one is gone.
constexpr io::Time kRedial = 20, kLongestRedial = 1600;
// A connection that we end is read on for so long: what its node sent before it saw the end still counts.
constexpr io::Time kLinger = 1000;
// Idle connections are closed by us well before the node does: a set-up that crosses its close is lost.
constexpr double kIdlePart = 0.6;
// Ends that wait for a connection to one node; more than it has streams is a node that is gone.
constexpr std::size_t kOwedEnds = 1024;
constexpr io::Time kSweep = 1000;

}  // namespace

struct RelayNodes::Connection : io::StreamHandler {
    RelayNodes& owner;
    Node& node;
    std::unique_ptr<io::Stream> stream;
    relay::FrameDecoder decoder;
    bool up = false, gone = false;
    bool ending = false;  // nothing is sent on it any more; read until its node ends it too
    io::Timer linger;
    io::Time dialled = 0, used = 0;
    // One set-up, as long as there is room for more connections.
    struct Open {
        core::SetUp what;
        bool written = false;
    };
    std::map<SessionId, Open> open;
    bool testing = false;
    relay::SessionNumber test = 0;
    io::Time tested = 0;
    io::Timer test_timer;
    // Ends told on it a moment ago: they may have crossed its closing.
    std::deque<std::pair<io::Time, NodeMessage>> told;
    bool watching = false;  // dialled to see whether the machine is there
    bool watched = false;   // and came up

    Connection(RelayNodes& o, Node& n) : owner(o), node(n) {}
    bool usable() const { return up && !ending; }
    bool idle() const { return open.empty() && !testing && !ending; }
    void on_open() override { owner.opened(*this); }
    void on_data(std::string_view bytes) override { owner.heard(*this, bytes); }
    void on_end() override { owner.closed(*this, true, io::Closing::clean); }
    void on_closed(io::Closing why) override { owner.closed(*this, up, why); }
};

struct RelayNodes::Node {
    ServerId id = 0;
    RelayNode known;
    bool listed = true;
    std::list<std::unique_ptr<Connection>> connections;
    std::map<SessionId, Standing> standing;
    std::deque<NodeMessage> owed;  // ends of sessions that it has not been told, for want of a connection
    decide::Presence presence;
    // A connection that was up has been lost: what ended there meanwhile is told on the next one that is
    // opened.
    bool lost_one = false, redialling = false;
    // It has not answered the end of a connection: what it tells there once it runs again is lost.
    bool end_unanswered = false;
    io::Time lost_at = 0, redial_wait = kRedial;
    io::Timer redial, watch;
};

RelayNodes::RelayNodes(io::Loop& loop, const RelayLimits& limits) : loop_(loop), limits_(limits) {
    sweep_ = loop_.after(kSweep, [this] { sweep(); });
}
RelayNodes::~RelayNodes() = default;

RelayNodes::Node* RelayNodes::find(ServerId id) {
    const auto it = nodes_.find(id);
    return it == nodes_.end() ? nullptr : it->second.get();
}

void RelayNodes::set_nodes(const std::map<ServerId, RelayNode>& nodes) {
    for (const auto& [id, known] : nodes) {
        auto& node = nodes_[id];
        if (!node) node = std::make_unique<Node>();
        node->id = id;
        node->known = known;
        node->listed = true;
    }
    std::vector<ServerId> gone;
    for (const auto& [id, node] : nodes_)
        if (!nodes.count(id)) gone.push_back(id);
    for (const ServerId id : gone) {
        Node& node = *nodes_.at(id);
        node.listed = false;
        node.known.ready = false;
        lose_all(node, "gone from the list");
        // Set-ups still out end with their connections; the node is forgotten when none is left.
        std::vector<Connection*> idle;
        for (const auto& c : node.connections)
            if (c->idle()) idle.push_back(c.get());
        for (Connection* c : idle) drop(*c);
        if (node.connections.empty()) nodes_.erase(id);
    }
}

void RelayNodes::adopt_session(ServerId server, SessionId session, int attempt) {
    Node* node = find(server);
    if (!node) {
        loop_.post([this, session, attempt] { events_->over(session, attempt, Outcome::reset, {}); });
        return;
    }
    node->standing[session] = {attempt};
    keep_up(*node);
}

// ---- Connections ----

RelayNodes::Connection& RelayNodes::dial(Node& node) {
    auto owned = std::make_unique<Connection>(*this, node);
    Connection& c = *owned;
    c.dialled = c.used = loop_.now();
    node.connections.push_back(std::move(owned));
    connections_ += 1;
    counts_.dials += 1;
    c.stream = loop_.dial(node.known.address, limits_.connect_timeout, &c);
    return c;
}

RelayNodes::Connection* RelayNodes::idle(Node& node, bool open_only) {
    Connection* best = nullptr;
    for (const auto& c : node.connections) {
        if (!c->idle() || c->watching || (open_only && !c->up)) continue;
        if (limits_.idle_timeout > 0 && loop_.now() - c->used > limits_.idle_timeout * kIdlePart) continue;
        if (!best || c->used > best->used) best = c.get();
    }
    return best;
}

// Takes the connection out of the books; it is destroyed when its own callbacks have returned.
void RelayNodes::drop(Connection& c) {
    if (c.gone) return;
    c.gone = true;
    if (!c.ending) connections_ -= 1;
    c.linger.stop();
    c.stream->set_handler(nullptr);
    c.test_timer.stop();
    Node& node = c.node;
    const auto it = std::find_if(node.connections.begin(), node.connections.end(),
                                 [&](const auto& one) { return one.get() == &c; });
    dead_.push_back(std::move(*it));
    node.connections.erase(it);
    if (burying_) return;
    burying_ = true;
    loop_.post([this] {
        burying_ = false;
        dead_.clear();
        std::vector<ServerId> done;
        for (const auto& [id, one] : nodes_)
            if (!one->listed && one->connections.empty()) done.push_back(id);
        for (const ServerId id : done) nodes_.erase(id);
    });
}

// Ends an idle connection. Its node may be sending the end of a session on it that very moment: closed at
// once, the bytes on their way would be lost, and that session with them.
void RelayNodes::retire(Connection& c) {
    if (!c.up) return drop(c);
    c.ending = true;
    connections_ -= 1;
    c.stream->end();
    c.linger = loop_.after(kLinger, [this, &c] {
        Node& node = c.node;
        node.end_unanswered = true;
        lose(c);
        keep_up(node);
    });
}
// Closes a connection that was up, whatever is under way on it.
void RelayNodes::lose(Connection& c) {
    if (c.up) c.node.lost_one = true, c.node.lost_at = loop_.now();
    for (const auto& [when, message] : c.told)
        if (decide::may_have_crossed(loop_.now() - when)) c.node.owed.push_back(message);
    drop(c);
}

void RelayNodes::write(Connection& c, const NodeMessage& message) {
    c.used = loop_.now();
    c.stream->write(relay::encode_frame(message));
}
// Of the connections that are up the one used last; none may be.
RelayNodes::Connection* RelayNodes::usable(Node& node) {
    Connection* best = nullptr;
    for (const auto& c : node.connections)
        if (c->usable() && (!best || c->used > best->used)) best = c.get();
    return best;
}
void RelayNodes::tell(Node& node, const NodeMessage& message) {
    if (Connection* c = usable(node)) write(*c, message);
}
// The end of a session that stands: with no connection to tell it on it is told on the next one, which
// keep_up() dials. Untold, the session would play on for nobody.
void RelayNodes::tell_end(Node& node, MessageType type, SessionId session) {
    NodeMessage m;
    m.type = type, m.session = session;
    if (type == MessageType::release) m.cause = relay::kCauseGivenUp;
    Connection* best = usable(node);
    if (!best) {
        if (node.owed.size() < kOwedEnds) node.owed.push_back(m);
        return;
    }
    while (!best->told.empty() && !decide::may_have_crossed(loop_.now() - best->told.front().first))
        best->told.pop_front();
    best->told.emplace_back(loop_.now(), m);
    write(*best, m);
}

void RelayNodes::opened(Connection& c) {
    c.up = true;
    Node& node = c.node;
    if (std::exchange(c.watching, false)) {
        // It stays, since ends are told on the next connection too; the one that an earlier look left goes.
        Connection* old = nullptr;
        for (const auto& one : node.connections)
            if (one->watched && one->idle()) old = one.get();
        if (old) retire(*old);
        c.watched = true;
    }
    // One dialled in the same moment may be there before the node knows that the other is gone.
    if (c.dialled > node.lost_at) node.lost_one = false;
    node.presence.heard(loop_.now());
    std::vector<SessionId> waiting;
    for (const auto& [id, open] : c.open)
        if (!open.written) waiting.push_back(id);
    for (const NodeMessage& m : std::exchange(node.owed, {})) {
        c.told.emplace_back(loop_.now(), m);
        write(c, m);
    }
    for (const SessionId id : waiting) write_set_up(c, id);
    if (c.testing) {
        NodeMessage m;
        m.type = MessageType::ping, m.session = c.test, m.cause = relay::kPingWithReport;
        write(c, m);
    }
}

void RelayNodes::write_set_up(Connection& c, SessionId session) {
    Connection::Open& open = c.open.at(session);
    const core::SetUp& what = open.what;
    // The list may have changed while the connection came up: nothing new goes to a node that drains.
    if (!c.node.listed || !c.node.known.ready || what.expires <= loop_.now())
        return set_up_over(c, session, Outcome::not_sent, {});
    NodeMessage m;
    m.type = MessageType::setup;
    m.session = what.session;
    const auto put = [&](ParameterCode code, std::string text) {
        m.parameters[static_cast<int>(code)] = std::move(text);
    };
    put(ParameterCode::cls, what.ask.cls_name);
    put(ParameterCode::title, what.ask.title_name);
    put(ParameterCode::wait, std::to_string(std::max(1LL, std::llround(what.expires - loop_.now()))));
    put(ParameterCode::rung, std::to_string(what.rung));
    put(ParameterCode::sdp, what.ask.description);
    open.written = true;
    counts_.set_ups += 1;
    write(c, m);
}

// A dial that did not come up, or a connection that broke.
void RelayNodes::closed(Connection& c, bool came_up, io::Closing why) {
    if (c.gone) return;
    const bool refused = why == io::Closing::refused, no_room = why == io::Closing::no_resources;
    Node& node = c.node;
    if (c.ending && why == io::Closing::clean) return drop(c);  // its node has sent all and ended it too
    lose(c);  // owned by dead_ until this returns to the loop
    counts_.resets += came_up;
    // Our own want of descriptors tells nothing of the node.
    const bool lost = !came_up && !no_room && node.presence.dial_failed(c.dialled, loop_.now(), refused);
    while (!c.open.empty()) {
        const bool written = c.open.begin()->second.written;
        set_up_over(c, c.open.begin()->first,
                    written   ? Outcome::reset
                    : no_room ? Outcome::not_sent
                              : Outcome::not_connected,
                    {});
    }
    if (c.testing)
        test_over(c, came_up ? Outcome::reset : no_room ? Outcome::full : Outcome::not_connected, {});
    if (lost) {
        counts_.unreachable += !refused && !node.standing.empty();
        lose_all(node, refused ? "refuses connections" : "no connection comes up");
    }
    keep_up(node);
}

// Where sessions stand a connection stays, and the machine is looked for when nothing comes of it.
void RelayNodes::keep_up(Node& node) {
    if ((node.standing.empty() && node.owed.empty()) || !node.listed) {
        node.redial.stop();
        node.watch.stop();
        node.redialling = node.lost_one = false;
        return;
    }
    const auto any = [](const Node& n) {
        return std::any_of(n.connections.begin(), n.connections.end(),
                           [](const auto& c) { return !c->ending; });
    };
    if (!node.redialling && (node.lost_one || !any(node))) {
        const ServerId id = node.id;
        node.redialling = true;
        node.redial = loop_.after(node.redial_wait, [this, id, any] {
            Node* n = find(id);
            n->redialling = false;
            n->redial_wait = std::min(kLongestRedial, 2 * n->redial_wait);
            if (n->lost_one || !any(*n)) dial(*n);
        });
    }
    watch(node);
}
void RelayNodes::watch(Node& node) {
    const ServerId id = node.id;
    node.watch = loop_.at(node.presence.look_at(loop_.now()), [this, id] {
        Node* n = find(id);
        if (!n || n->standing.empty() || !n->listed) return;
        const bool dialling =
            std::any_of(n->connections.begin(), n->connections.end(), [](const auto& c) { return !c->up; });
        if (n->presence.silent(loop_.now()) && !dialling) dial(*n).watching = true;
        watch(*n);
    });
}

void RelayNodes::lose_all(Node& node, const char* why) {
    node.owed.clear();
    if (node.standing.empty()) return;
    if (on_warning)
        on_warning("node " + node.known.uid + " " + why + ": " + std::to_string(node.standing.size()) +
                   " sessions are over");
    const auto standing = std::move(node.standing);
    node.standing.clear();
    for (const auto& [session, one] : standing) {
        NodeMessage m;
        m.type = MessageType::release, m.session = session, m.cause = relay::kCauseGivenUp;
        tell(node, m);
        events_->over(session, one.attempt, Outcome::reset, {});
    }
}

void RelayNodes::sweep() {
    for (const auto& [id, node] : nodes_) {
        std::vector<Connection*> old;
        std::size_t up = 0;
        for (const auto& c : node->connections) up += c->usable();
        for (const auto& c : node->connections) {
            if (!c->idle() || !c->up || limits_.idle_timeout <= 0) continue;
            if (loop_.now() - c->used <= limits_.idle_timeout * kIdlePart) continue;
            if (up == 1 && !node->standing.empty()) continue;  // the one by which ends come
            up -= 1;
            old.push_back(c.get());
        }
        for (Connection* c : old) retire(*c);
    }
    sweep_ = loop_.after(kSweep, [this] { sweep(); });
}

// ---- The engine's calls ----

void RelayNodes::set_up(const core::SetUp& what) {
    Node* node = find(what.server);
    if (!node || !node->listed || !node->known.ready) {
        loop_.post([this, what] { events_->over(what.session, what.attempt, Outcome::not_sent, {}); });
        return;
    }
    Connection* c = idle(*node, true);
    if (!c && !room()) {
        // Out of room: shared, with the fewest others.
        for (const auto& one : node->connections)
            if (!one->testing && !one->ending && (!c || one->open.size() < c->open.size())) c = one.get();
        if (!c) {
            // Nothing has left, and the node is not to blame.
            loop_.post([this, what] { events_->over(what.session, what.attempt, Outcome::not_sent, {}); });
            return;
        }
        counts_.shared_connections += 1;
    }
    if (!c) c = &dial(*node);
    c->open[what.session] = {what, false};
    if (c->up) write_set_up(*c, what.session);
}

// Whether one more connection may be opened. An idle one of a node that can do without it makes room.
bool RelayNodes::room() {
    if (connections_ < limits_.max_connections) return true;
    Connection* oldest = nullptr;
    for (const auto& [id, node] : nodes_) {
        if (node->connections.size() == 1 && !node->standing.empty()) continue;
        for (const auto& c : node->connections)
            if (c->idle() && c->up && (!oldest || c->used < oldest->used)) oldest = c.get();
    }
    if (!oldest) return false;
    retire(*oldest);
    return true;
}

void RelayNodes::set_up_over(Connection& c, SessionId session, Outcome outcome, const LoadReport& report) {
    const core::SetUp what = std::move(c.open.at(session).what);
    c.open.erase(session);
    // Never from within a call of the engine's.
    loop_.post([this, session = what.session, attempt = what.attempt, outcome, report] {
        events_->over(session, attempt, outcome, report);
    });
}

bool RelayNodes::is_drained() const {
    for (const auto& [id, node] : nodes_) {
        if (!node->owed.empty()) return false;
        for (const auto& c : node->connections)
            if (c->up && c->stream->pending() > 0) return false;
    }
    return true;
}

void RelayNodes::end_connections() {
    for (const auto& [id, node] : nodes_)
        for (const auto& c : node->connections)
            if (c->up) c->stream->end();
}

void RelayNodes::set_rung(ServerId server, SessionId session, int, int rung) {
    Node* node = find(server);
    if (!node) return;
    NodeMessage m;
    m.type = MessageType::rate, m.session = session;
    m.parameters[static_cast<int>(ParameterCode::rung)] = std::to_string(rung);
    tell(*node, m);
}

void RelayNodes::move(ServerId server, SessionId session, int attempt) {
    Node* node = find(server);
    if (!node || !node->standing.erase(session)) return;
    tell_end(*node, MessageType::move, session);
    loop_.post([this, session, attempt] { events_->over(session, attempt, Outcome::cancelled, {}); });
    keep_up(*node);
}

void RelayNodes::cancel(ServerId server, SessionId session, int attempt) {
    Node* node = find(server);
    if (!node) return;
    NodeMessage m;
    m.type = MessageType::release, m.session = session, m.cause = relay::kCauseGivenUp;
    for (const auto& c : node->connections) {
        const auto it = c->open.find(session);
        if (it == c->open.end() || it->second.what.attempt != attempt) continue;
        // Given up in words and, where nothing else is open on it, by ending it: a process that hangs reads
        // neither in time, and an answer that comes all the same finds nobody.
        if (it->second.written) write(*c, m);
        c->open.erase(it);
        Connection& one = *c;
        if (one.open.empty()) retire(one);
        keep_up(*node);
        return;
    }
    if (!node->standing.erase(session)) return;
    tell_end(*node, MessageType::release, session);
    loop_.post([this, session, attempt] { events_->over(session, attempt, Outcome::cancelled, {}); });
    keep_up(*node);
}

void RelayNodes::probe(ServerId server) {
    Node* node = find(server);
    if (!node || !node->listed) {
        loop_.post([this, server] { events_->probed(server, Outcome::not_connected, 0, {}); });
        return;
    }
    Connection* c = idle(*node, true);
    const bool up = c != nullptr;
    if (!c && !room()) {  // no word of the node
        loop_.post([this, server] { events_->probed(server, Outcome::full, 0, {}); });
        return;
    }
    if (!c) c = &dial(*node);
    c->testing = true;
    c->test = ++last_test_;
    c->tested = loop_.now();
    counts_.probes += 1;
    c->test_timer = loop_.after(limits_.connect_timeout, [this, c] {
        Node& n = c->node;
        test_over(*c, Outcome::timed_out, {});
        retire(*c);
        keep_up(n);
    });
    if (!up) return;
    NodeMessage m;
    m.type = MessageType::ping, m.session = c->test, m.cause = relay::kPingWithReport;
    write(*c, m);
}

void RelayNodes::test_over(Connection& c, Outcome outcome, const LoadReport& report) {
    c.testing = false;
    c.test_timer.stop();
    loop_.post([this, server = c.node.id, outcome, waited = loop_.now() - c.tested, report] {
        events_->probed(server, outcome, waited, report);
    });
}

// ---- What nodes say ----

LoadReport RelayNodes::report_of(const NodeMessage& message) const {
    const std::string* text = message.find(ParameterCode::report);
    if (!text) return {};
    const auto pairs = relay::parse_pairs(*text);
    if (!pairs) return {};
    LoadReport report;
    for (const std::string& field : limits_.report_fields) {
        const auto it = pairs->find(field);
        const auto value = it == pairs->end() ? std::nullopt : relay::parse_number(it->second);
        // A field that is missing is no zero.
        report.push_back(value ? static_cast<float>(*value) : std::numeric_limits<float>::quiet_NaN());
    }
    return report;
}

void RelayNodes::heard(Connection& c, std::string_view bytes) {
    c.node.presence.heard(loop_.now());
    c.node.redial_wait = kRedial;  // a connection that only comes up is no sign that the next will last
    c.used = loop_.now();
    if (std::exchange(c.node.end_unanswered, false)) {
        c.node.lost_one = true;
        c.node.lost_at = loop_.now();
        keep_up(c.node);
    }
    while (!c.gone && !bytes.empty()) {
        const auto result = c.decoder.next(bytes);
        if (!result) return;
        if (const auto* fault = std::get_if<relay::ParseError>(&*result)) {
            counts_.malformed += 1;
            if (on_warning) on_warning("node " + c.node.known.uid + ": " + fault->reason);
            return closed(c, true, io::Closing::reset);
        }
        take(c, std::get<NodeMessage>(*result));
    }
}

void RelayNodes::stands_no_more(Node& node, SessionId session, Outcome outcome, const LoadReport& report) {
    const auto it = node.standing.find(session);
    if (it == node.standing.end()) return;
    const int attempt = it->second.attempt;
    node.standing.erase(it);
    keep_up(node);
    events_->over(session, attempt, outcome, report);
}

// The answer to a set-up that is open on the connection; false: it can't be used.
bool RelayNodes::begins(Connection& c, const NodeMessage& m) {
    const std::string* sdp = m.find(ParameterCode::sdp);
    if (!sdp || !relay::is_utf8(*sdp)) {
        counts_.malformed += 1;
        closed(c, true, io::Closing::reset);
        return false;
    }
    Node& node = c.node;
    const auto open = c.open.find(m.session);
    const core::SetUp what = std::move(open->second.what);
    c.open.erase(open);
    node.standing[what.session] = {what.attempt};
    keep_up(node);
    core::Media media;
    media.description = *sdp;
    events_->started(what.session, what.attempt, media);
    return true;
}

void RelayNodes::take(Connection& c, const NodeMessage& m) {
    Node& node = c.node;
    const auto open = c.open.find(m.session);
    const bool ours = open != c.open.end() && open->second.written;
    const auto standing = node.standing.find(m.session);
    switch (m.type) {
        case MessageType::answer: {
            if (!ours) {
                counts_.unexpected += 1;
                return;
            }
            begins(c, m);
            return;
        }
        case MessageType::release: {
            const int cause = m.cause.value_or(-1);
            const LoadReport report = report_of(m);
            // A session whose viewer wanted but a moment more has come to its end with its answer, in one
            // message: as a reset it blamed good nodes and was set up anew.
            if (ours && cause == relay::kCauseGivenUp && m.find(ParameterCode::sdp)) {
                if (!begins(c, m)) return;
                return stands_no_more(node, m.session, Outcome::ended, report);
            }
            if (ours) {
                const Outcome outcome = cause == relay::kCauseFull      ? Outcome::full
                                        : cause == relay::kCauseError   ? Outcome::error
                                        : cause == relay::kCauseNotSent ? Outcome::not_sent
                                                                        : Outcome::reset;
                return set_up_over(c, m.session, outcome, report);
            }
            NodeMessage heard;
            heard.type = MessageType::released, heard.session = m.session;
            write(c, heard);
            if (standing == node.standing.end()) {
                counts_.unexpected += 1;
                return;
            }
            return stands_no_more(node, m.session,
                                  cause == relay::kCauseGivenUp     ? Outcome::ended
                                  : cause == relay::kCauseCancelled ? Outcome::cancelled
                                                                    : Outcome::reset,
                                  report);
        }
        case MessageType::pong: {
            if (!c.testing || m.session != c.test) {
                counts_.unexpected += 1;
                return;
            }
            const bool passed = m.cause.value_or(relay::kPongFailed) == relay::kPongPassed;
            return test_over(c, passed ? Outcome::ended : Outcome::error, report_of(m));
        }
        case MessageType::note: {
            const std::string* what = m.find(ParameterCode::note);
            const std::string* figure = m.find(ParameterCode::note_value);
            const auto value = figure ? relay::parse_number(*figure) : std::nullopt;
            if (!what || !value || standing == node.standing.end()) {
                counts_.unexpected += 1;
                return;
            }
            const NoteKind kind = *what == "share"   ? NoteKind::delivered_share
                                  : *what == "step"  ? NoteKind::rung
                                  : *what == "asked" ? NoteKind::link
                                  : *what == "rack"  ? NoteKind::uplink
                                                     : NoteKind::other;
            return events_->note(m.session, standing->second.attempt, node.id, kind, *value);
        }
        case MessageType::progress:
        case MessageType::released:
            return;  // free, means nothing
        default:
            counts_.unexpected += 1;
            return;
    }
}

}  // namespace ivyfield::nodes
