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

// Causes of our own releases: the first tells that trying again is harmless, the others are failures.
constexpr int kRefused = relay::kCauseFull, kFailed = relay::kCauseError, kUnusable = 100, kOver = 16;
constexpr io::Time kSweep = 250;

std::optional<int> whole(const std::string& text, int least, int most) {
    const auto value = relay::parse_number(text);
    if (!value || *value != std::floor(*value) || *value < least || *value > most) return std::nullopt;
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

struct RelayFront::Connection : io::StreamHandler {
    RelayFront& owner;
    std::unique_ptr<io::Stream> stream;
    relay::LineDecoder decoder;
    std::set<SessionId> open;      // set-ups owed an answer on it
    std::set<SessionId> standing;  // sessions that were set up on it and stand
    bool carried = false;          // a set-up that could be used has come on it
    bool tested = false;           // it has passed a test
    bool ending = false;           // only drained and closed from here on
    bool distrusted = false;       // takes no set-up any more; closed when those open on it are answered
    bool unread = false;           // its viewer does not read what it is sent
    struct Told {
        io::Time when;
        Notification end;
    };
    std::deque<Told> told;  // ends told on it a moment ago: they may have crossed its close
    bool gone = false;
    bool accounted = false;  // the reason of its close has been counted
    std::uint64_t number = 0;
    std::optional<io::Time> answered;  // when the last answer was written on it
    bool requested = false;            // a message has come on it
    io::Time accepted = 0, used = 0, ended = 0;

    explicit Connection(RelayFront& o) : owner(o) {}
    void on_data(std::string_view bytes) override { owner.heard(*this, bytes); }
    // Viewers close as a whole: one that sends no more waits for nothing more.
    void on_end() override { owner.closed_by_client(*this, CloseReason::client_end); }
    void on_flushed() override {}
    void on_closed(io::CloseStatus) override { owner.closed_by_client(*this, CloseReason::client_reset); }
};

struct RelayFront::Request : core::AnswerHandler {
    RelayFront& owner;
    SessionId session;
    std::string id;  // as the viewer wrote it
    Connection* connection;

    Request(RelayFront& o, SessionId s, std::string text, Connection* c)
        : owner(o), session(s), id(std::move(text)), connection(c) {}
    void on_established(const core::Placement& where) override {
        ViewerMessage m;
        m.type = MessageType::answer, m.id = id, m.sdp = where.media.description;
        Connection* c = connection;
        owner.answered(session);
        owner.standing_[session] = {c, owner.loop_.now()};
        c->standing.insert(session);
        c->answered = owner.loop_.now();
        owner.send(*c, m);
        owner.close_if_done(*c);
    }
    void on_rejected(Time retry_after) override {
        Connection* c = connection;
        const std::string text = id;
        owner.answered(session);
        owner.release(*c, text, kRefused, retry_after);
        owner.close_if_done(*c);
    }
    void on_failed() override {
        Connection* c = connection;
        const std::string text = id;
        owner.answered(session);
        owner.release(*c, text, kFailed);
        owner.close_if_done(*c);
    }
};

RelayFront::RelayFront(io::Loop& loop, const io::Address& listen, const Settings& settings,
                       const RelayNames& names, const RelayFrontLimits& limits, core::Engine& engine)
    : loop_(loop), settings_(settings), names_(names), limits_(limits), engine_(engine) {
    listener_ = loop.listen(listen, [this](auto stream) { accepted(std::move(stream)); });
    sweep_ = loop_.after(kSweep, [this] { sweep(); });
}
RelayFront::~RelayFront() {
    // One that leaves may have others answered.
    while (!requests_.empty()) {
        const SessionId id = requests_.begin()->first;
        engine_.withdraw_request(id, requests_.begin()->second.get());
        answered(id);
    }
}

// ---- Connections ----

void RelayFront::accepted(std::unique_ptr<io::Stream> stream) {
    heard_at_ = loop_.now();
    if (!make_room()) {  // closed with nothing sent on it: nothing has been taken by it
        counts_.turned_away += 1;
        return;
    }
    counts_.connections += 1;
    auto owned = std::make_unique<Connection>(*this);
    owned->stream = std::move(stream);
    owned->number = counts_.connections;
    owned->accepted = owned->used = loop_.now();
    owned->stream->set_handler(owned.get());
    connections_.push_back(std::move(owned));
}

bool RelayFront::make_room() {
    while (connections_.size() >= limits_.intake.max_connections) {
        std::vector<Connection*> connections;
        std::vector<decide::ConnectionLoad> held;
        for (const auto& c : connections_) {
            connections.push_back(c.get());
            held.push_back({c->open.size(), c->carried, c->used});
        }
        const auto candidate = decide::select_eviction(held);
        if (!candidate) return false;
        evict(*connections[*candidate]);
    }
    return true;
}

// A request that has arrived is taken first; the connection stays then. What was written still leaves: a
// stream that has been ended is not reset when it is destroyed.
void RelayFront::evict(Connection& c) {
    c.stream->read_available();
    if (c.gone || !c.open.empty()) return;
    c.stream->end();
    counts_.shed += 1;
    drop(c, CloseReason::evicted);
}

// To be called before what is open on the connection is given up.
void RelayFront::account_for_close(Connection& c, CloseReason reason) {
    if (std::exchange(c.accounted, true)) return;
    counts_.closed[static_cast<std::size_t>(reason)] += 1;
    ClosedConnection closed{c.number, reason, c.open.size(), std::nullopt};
    if (c.answered) closed.since_answer = loop_.now() - *c.answered;
    const bool crosses_answer = closed.since_answer && decide::can_have_crossed(*closed.since_answer);
    if (on_closed && (closed.open > 0 || crosses_answer)) on_closed(closed);
}

void RelayFront::closed_by_client(Connection& c, CloseReason reason) {
    account_for_close(c, reason);
    leave_all(c);
    drop(c, reason);
}

void RelayFront::drop(Connection& c, CloseReason reason) {
    if (c.gone) return;
    account_for_close(c, reason);
    c.gone = true;
    for (const SessionId id : c.standing)
        if (const auto it = standing_.find(id); it != standing_.end()) it->second.connection = nullptr;
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [&](const auto& one) { return one.get() == &c; });
    // Its descriptor is free at once: in a burst of connections those that give way are not to hold theirs
    // until the end of the turn.
    c.stream.reset();
    const auto told = std::move(c.told);
    dead_.push_back(std::move(*it));
    connections_.erase(it);
    for (const auto& one : told)
        if (decide::can_have_crossed(loop_.now() - one.when)) notify_elsewhere(one.end);
    if (burying_) return;
    burying_ = true;
    loop_.post([this] {
        burying_ = false;
        dead_.clear();
        over_.clear();
    });
}

// Sends what is written, then our end; what still comes is read and thrown away for a while: closing with
// input unread would reset the connection and take the last answer away.
void RelayFront::close(Connection& c, CloseReason reason) {
    if (c.gone || c.ending) return;
    account_for_close(c, reason);
    leave_all(c);
    c.ending = true;
    c.ended = loop_.now();
    c.stream->end();
}

void RelayFront::leave_all(Connection& c) {
    const auto open = std::move(c.open);
    c.open.clear();
    for (const SessionId id : open) {
        const auto it = requests_.find(id);
        if (it == requests_.end()) continue;  // answered because one of the others left
        counts_.gave_up += 1;
        engine_.withdraw_request(id, it->second.get());
        answered(id);
    }
}

void RelayFront::sweep() {
    notify_pending();
    std::vector<Connection*> old;
    for (const auto& c : connections_) {
        if (c->ending ? loop_.now() - c->ended > limits_.linger
                      : c->open.empty() && c->standing.empty() && loop_.now() - c->used > limits_.idle)
            old.push_back(c.get());
    }
    for (Connection* c : old) {
        if (c->gone) continue;
        if (c->ending) drop(*c, CloseReason::idle);
        else end_idle(*c);
    }
    sweep_ = loop_.after(kSweep, [this] { sweep(); });
}

void RelayFront::end_idle(Connection& c) {
    c.stream->read_available();
    if (!c.gone && c.open.empty()) close(c, CloseReason::idle);
}

void RelayFront::close_if_done(Connection& c) {
    if (!c.gone && c.distrusted && c.open.empty()) return close(c, CloseReason::repeated_number);
    if (!shutdown_ || ending_drained_ || !is_drained(c)) return;
    // Not within this call, which may be the module's turn: more is read of the connection first.
    ending_drained_ = true;
    loop_.post([this] {
        ending_drained_ = false;
        end_drained_connections();
    });
}

void RelayFront::begin_shutdown(const decide::GracefulShutdown& shutdown) { shutdown_ = shutdown; }

bool RelayFront::is_drained(const Connection& c) const {
    if (c.gone || c.ending) return false;
    return shutdown_->should_close_connection(loop_.now(), {c.open.size(), c.requested, c.accepted});
}

void RelayFront::end_drained_connections() {
    std::vector<Connection*> drained;
    for (const auto& c : connections_)
        if (is_drained(*c)) drained.push_back(c.get());
    for (Connection* c : drained) {
        if (c->gone) continue;
        c->stream->read_available();  // a request in its buffer has not crossed our end: it is answered
        if (is_drained(*c)) close(*c, CloseReason::drained);
    }
}

void RelayFront::end_all() {
    for (const auto& c : connections_) {
        if (c->ending) continue;
        account_for_close(*c, CloseReason::hard_deadline);
        c->ending = true;
        c->ended = loop_.now();
        c->stream->end();
    }
}

bool RelayFront::drained() const {
    return std::all_of(connections_.begin(), connections_.end(),
                       [](const auto& c) { return c->stream->pending() == 0; });
}

void RelayFront::send(Connection& c, const ViewerMessage& m) {
    if (c.gone) return;
    c.used = loop_.now();
    if (c.unread) return;
    c.stream->write(relay::encode_line(m));
    if (c.stream->pending() <= limits_.unread_output) return;
    // Not within this call: it may be the module's refusal of one set-up, with the sending of another of the
    // same connection still to be carried out.
    c.unread = true;
    // It may be dropped and buried before: it is looked for, not kept.
    loop_.post([this, at = &c] {
        for (const auto& one : connections_) {
            if (one.get() != at || !one->unread) continue;
            account_for_close(*at, CloseReason::unread_output);
            leave_all(*at);
            return drop(*at, CloseReason::unread_output);
        }
    });
}
void RelayFront::release(Connection& c, const std::string& id, int cause, Time wait) {
    ViewerMessage m;
    m.type = MessageType::release, m.id = id, m.cause = cause;
    if (wait >= 1) m.fields["wait"] = std::to_string(std::llround(wait));
    send(c, m);
}

// ---- What viewers say ----

void RelayFront::heard(Connection& c, std::string_view bytes) {
    heard_at_ = loop_.now();
    if (c.ending) return;
    c.used = loop_.now();
    while (!c.gone && !c.ending && !bytes.empty()) {
        c.requested = true;
        const auto line = c.decoder.next(bytes);
        if (c.decoder.is_too_long()) {
            counts_.unreadable += 1;
            return close(c, CloseReason::unreadable);
        }
        if (!line) return;
        take(c, *line);
    }
}

void RelayFront::take(Connection& c, const std::string& line) {
    const relay::ParsedLine read = relay::parse_line(line);
    if (const auto* fault = std::get_if<relay::ParseError>(&read)) {
        counts_.unreadable += 1;
        // One that names a session is told; what it belongs to is not known otherwise.
        if (const auto number = relay::parse_hex(fault->id); number && !requests_.count(*number))
            return release(c, fault->id, kUnusable);
        return close(c, CloseReason::unreadable);
    }
    const auto& m = std::get<ViewerMessage>(read);
    switch (m.type) {
        case MessageType::setup:
            return take_set_up(c, m);
        case MessageType::release:
            return take_release(c, m);
        case MessageType::ping: {
            counts_.tests += 1;
            c.tested = true;
            ViewerMessage pong;
            pong.type = MessageType::pong, pong.id = m.id, pong.cause = relay::kPongPassed;
            return send(c, pong);
        }
        case MessageType::released:
        case MessageType::progress:
            return;
        default:
            counts_.bad += 1;
            return close(c, CloseReason::unusable);
    }
}

// What is wrong with the set-up, or nothing.
std::string RelayFront::read_ask(const ViewerMessage& m, core::ViewerRequest& ask, std::string& at) const {
    const auto field = [&](const char* name) {
        const auto it = m.fields.find(name);
        return it == m.fields.end() ? std::string() : it->second;
    };
    const auto index = [](const std::vector<std::string>& names, const std::string& name) {
        const auto it = std::find(names.begin(), names.end(), name);
        return it == names.end() ? -1 : static_cast<int>(it - names.begin());
    };
    ask.preassigned_id = m.session;
    ask.cls_name = field("class");
    ask.cls = index(names_.classes, ask.cls_name);
    if (ask.cls < 0) return "no such class";
    if (!names_.tenants.empty()) {
        ask.tenant = index(names_.tenants, field("tenant"));
        if (ask.tenant < 0) return "no such tenant";
    }
    ask.title_name = field("key");
    const auto title = relay::parse_hex(ask.title_name);
    if (!title) return "key is no title";
    ask.title = *title;
    if (!m.sdp || m.sdp->empty()) return "no description";
    ask.description = *m.sdp;
    const auto extras = relay::parse_pairs(field("extras"));
    if (!extras) return "extras can't be read";
    const auto extra = [&](const char* name) {
        const auto it = extras->find(name);
        return it == extras->end() ? std::string() : it->second;
    };
    // Where titles are not held by all nodes it must say which cells hold this one.
    const auto home = whole(extra("home"), 0, 65535), copies = whole(extra("copies"), 0, 65535);
    const auto top = whole(extra("top"), 0, static_cast<int>(settings_.rung_kb.size()) - 1);
    if (!home || !copies || !top) return "home, copies or top is no number in range";
    if (settings_.cells > 0 && (*home >= settings_.cells || *copies > settings_.cells))
        return "home or copies is out of range";
    ask.first_cell = *home, ask.cell_count = *copies, ask.top_rung = *top;
    const auto viewer = relay::parse_hex(extra("viewer"));
    if (!viewer) return "viewer can't be read";
    ask.viewer = *viewer;
    ask.returning = extra("again") == "1";
    at = extra("at");
    // One that plays already waits for nothing, and says so by a time without bound.
    const Time patience = settings_.classes[static_cast<std::size_t>(ask.cls)].patience;
    const auto left = relay::parse_number(field("left"));
    if (!left || *left <= 0 || (at.empty() && *left > patience + 1)) return "left is no time to wait";
    ask.deadline = loop_.now() + *left;
    return "";
}

void RelayFront::take_set_up(Connection& c, const ViewerMessage& m) {
    counts_.set_ups += 1;
    if (c.distrusted) return release(c, m.id, kUnusable);
    if (const auto it = requests_.find(m.session); it != requests_.end()) {
        // Two requests under one number. On one connection an answer to either would be taken for both:
        // neither is served, and nothing more is taken on it, since such a client may go on so by the
        // hundred. What else is open on it is answered before it is closed. From another connection the
        // second alone is turned away there.
        counts_.repeated += 1;
        if (it->second->connection == &c) {
            const std::string first = it->second->id;
            c.distrusted = true;
            engine_.withdraw_request(m.session, it->second.get());
            answered(m.session);
            release(c, first, kUnusable);
        }
        release(c, m.id, kUnusable);
        return close_if_done(c);
    }
    core::ViewerRequest ask;
    std::string at;
    const std::string why = read_ask(m, ask, at);
    if (!why.empty()) {
        counts_.bad += 1;
        if (on_bad) on_bad(why, m);
        return release(c, m.id, kUnusable);
    }
    if (first_set_up && !began_) first_set_up();
    began_ = true;
    c.carried = true;
    notify_pending();
    if (!at.empty()) {
        const auto server = node_named ? node_named(at) : std::nullopt;
        // It may name what we hold already.
        if (engine_.has_session(m.session)) return;
        if (!server) {
            counts_.bad += 1;
            return release(c, m.id, kUnusable);
        }
        counts_.adopted += 1;
        standing_[m.session] = {&c, std::numeric_limits<io::Time>::lowest()};
        c.standing.insert(m.session);
        adopt(ask, *server);
        return;
    }
    if (engine_.has_session(m.session)) {  // it stands: its number is taken
        counts_.repeated += 1;
        return release(c, m.id, kUnusable);
    }
    const bool stopping = shutdown_ && loop_.now() >= shutdown_->accept_deadline();
    if (!decide::can_admit_setup(limits_.intake, c.open.size(), stopping)) {
        counts_.turned_away += 1;
        release(c, m.id, kRefused);
        return close_if_done(c);
    }
    auto owned = std::make_unique<Request>(*this, m.session, m.id, &c);
    Request* request = owned.get();
    requests_.emplace(m.session, std::move(owned));
    c.open.insert(m.session);
    engine_.open_session(ask, request);
}

// The request has had its answer, or nobody waits for it any more.
void RelayFront::answered(SessionId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    it->second->connection->open.erase(id);
    over_.push_back(std::move(it->second));  // it may be telling us this very moment
    requests_.erase(it);
    if (over_.size() == 1) loop_.post([this] { over_.clear(); });
}

void RelayFront::take_release(Connection& c, const ViewerMessage& m) {
    if (const auto it = requests_.find(m.session); it != requests_.end()) {
        // Only its own viewer gives a set-up up.
        if (it->second->connection != &c) return close(c, CloseReason::unusable);
        counts_.gave_up += 1;
        Request* request = it->second.get();
        engine_.withdraw_request(m.session, request);
        answered(m.session);
        return close_if_done(c);
    }
    ViewerMessage heard;
    heard.type = MessageType::released, heard.id = m.id;
    if (engine_.terminate_by_viewer(m.session)) {
        counts_.hung_up += 1;
        if (const auto it = standing_.find(m.session); it != standing_.end()) {
            if (Connection* own = it->second.connection) own->standing.erase(m.session);
            standing_.erase(it);
        }
        return send(c, heard);
    }
    // It crossed our answer, or names nothing that ever was: a connection that carried no session before has
    // no other use then.
    counts_.unknown_releases += 1;
    send(c, heard);
    if (!c.gone && !c.carried) close(c, CloseReason::unusable);
}

// ---- What ends ----

void RelayFront::gone(SessionId id, bool owed, bool moved) {
    Established session{nullptr, std::numeric_limits<io::Time>::lowest()};
    if (const auto it = standing_.find(id); it != standing_.end()) {
        session = it->second;
        if (session.connection) session.connection->standing.erase(id);
        standing_.erase(it);
    }
    if (!owed) return;
    const Notification end{id, moved, loop_.now(), session.answered};
    Connection* own = session.connection;
    if (own && !own->gone && !own->ending) return notify(*own, end);
    notify_elsewhere(end);
}

// The one heard last of those on which an end may be told; those that carried a set-up first.
RelayFront::Connection* RelayFront::connection_to_notify(io::Time waited) const {
    Connection* best = nullptr;
    for (const auto& c : connections_) {
        if (c->ending || !decide::can_carry_end_notice(c->carried, c->tested, waited)) continue;
        if (!best || std::make_pair(c->carried, c->used) > std::make_pair(best->carried, best->used))
            best = c.get();
    }
    return best;
}

void RelayFront::notify(Connection& c, const Notification& end) {
    ViewerMessage m;
    m.type = end.moved ? MessageType::move : MessageType::release;
    m.id = relay::to_hex(end.id);
    if (!end.moved) m.cause = kOver;
    counts_.releases += 1;
    while (!c.told.empty() && !decide::can_have_crossed(loop_.now() - c.told.front().when))
        c.told.pop_front();
    c.told.push_back({loop_.now(), end});
    send(c, m);
}

void RelayFront::notify_elsewhere(const Notification& end) {
    if (pending_notifications_.size() >= limits_.pending_notifications) pending_notifications_.pop_front();
    pending_notifications_.push_back(end);
    notify_pending();
}

void RelayFront::notify_pending() {
    if (pending_notifications_.empty()) return;
    const auto pending = std::move(pending_notifications_);
    pending_notifications_.clear();
    io::Time next = std::numeric_limits<io::Time>::infinity();
    for (const Notification& end : pending) {
        const io::Time earliest = decide::earliest_end_notice_elsewhere(end.answered);
        if (earliest > loop_.now()) {
            next = std::min(next, earliest);
        } else if (Connection* c = connection_to_notify(loop_.now() - end.since)) {
            notify(*c, end);
            continue;
        }
        pending_notifications_.push_back(end);
    }
    if (std::isfinite(next)) notification_timer_ = loop_.at(next, [this] { notify_pending(); });
}

}  // namespace ivyfield::fronts
