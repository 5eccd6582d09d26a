#include "core/engine.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "core/outcomes.hpp"
#include "decide/reclaim.hpp"
#include "decide/session_end.hpp"

namespace ivyfield::core {

TitleId compute_title_id(const std::string& title_name) {
    return XXH64(title_name.data(), title_name.size(), 0);
}

const char* name(Answer answer) {
    switch (answer) {
        case Answer::established:
            return "plays";
        case Answer::rejected:
            return "refused";
        case Answer::failed:
            return "failed";
        case Answer::abandoned:
            return "abandoned";
    }
    return "?";
}
const char* name(Outcome outcome) {
    switch (outcome) {
        case Outcome::ended:
            return "ended";
        case Outcome::error:
            return "error";
        case Outcome::full:
            return "full";
        case Outcome::timed_out:
            return "timed out";
        case Outcome::not_connected:
            return "not connected";
        case Outcome::reset:
            return "reset";
        case Outcome::cancelled:
            return "cancelled";
        case Outcome::not_sent:
            return "not sent";
    }
    return "?";
}

struct Engine::Session {
    SessionRecord record;
    State state = State::held;
    bool may_have_run = false;  // an attempt ended without proof that it never ran
    bool hung_up = false;       // its viewer has ended it
    bool moving = false;        // the module moves it: its player comes back for a new session
    int rung = 0, rung_sent = 0;
    int attempt = -1;  // the one out or playing
    Media media;
    std::vector<AnswerHandler*> waiters;
    io::Timer deadline, expiry;
    Time sent = 0;  // its last attempt
    std::deque<std::string> history;
};

Engine::Engine(io::Loop& loop, const Settings& settings, std::uint64_t seed, NodePort& nodes,
               ServerListPort* list, const EngineLimits& limits)
    : loop_(loop),
      settings_(settings),
      nodes_(nodes),
      list_(list),
      limits_(limits),
      director_(settings, seed),
      // Ids of two lives of a director must not meet at a node: 20 bits of them are drawn at
      // each start; 52 in all, so that JSON numbers hold them.
      first_id_((seed & 0xfffffull) << 32),
      last_id_(first_id_) {}
Engine::~Engine() = default;

// ---- Slips and history ----

void Engine::remark(Session& s, std::string what) {
    if (s.history.size() >= limits_.max_history_entries) s.history.pop_front();
    s.history.push_back(std::to_string(loop_.now() - s.record.received_at) + " ms: " + std::move(what));
}
void Engine::slip(const Session& s, const std::string& what) const {
    std::string text =
        "session " + std::to_string(s.record.id) + " (sid \"" + s.record.request.sid + "\"): " + what;
    for (const std::string& line : s.history) text += "\n  " + line;
    throw InvariantViolation(s.record.id, text);
}
Engine::Session& Engine::known(SessionId id, const char* action) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end())
        throw InvariantViolation(id, std::string("the module's ") + action + " names session " +
                                         std::to_string(id) + ", which is not open");
    return *it->second;
}

// Runs one step of one session's life.
template <typename Step>
void Engine::contain_slips(const Step& step) {
    try {
        step();
    } catch (const InvariantViolation& slip) {
        if (limits_.throw_on_violation) throw;
        contain(slip);
    }
}

void Engine::contain(const InvariantViolation& slip) {
    counts_.invariant_violations += 1;
    if (on_invariant_violation) on_invariant_violation(slip.what());
    fail_broken(slip.session());
}

// Its client has one answer, its node is told, module and tables forget it.
void Engine::fail_broken(SessionId id) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end()) return;
    Session& s = *it->second;
    const bool established = s.record.answered && s.record.answer == Answer::established;
    if (!s.record.answered) answer(s, Answer::failed);
    s.expiry.stop();
    AttemptOver over;
    over.id = id;
    over.attempt = s.attempt;
    over.outcome = Outcome::cancelled;
    over.session_over = true;
    if (s.attempt >= 0) {
        over.server = s.record.attempt_records.back().server;
        s.record.attempt_records.back().outcome = name(Outcome::cancelled);
        seat(s, -1);
        if (s.state == State::playing) playing_ -= 1;
        nodes_.cancel(over.server, id, s.attempt);
    }
    if (established && on_session_terminated) on_session_terminated(id, !s.hung_up && !s.moving, false);
    finish(id, "director");
    if (over.attempt >= 0) feed(over);
    else feed(SessionAbandoned{id});
}

// ---- Requests ----

// Fields are cut with a byte that a sid cannot hold, so that no two asks share a key by accident.
std::string Engine::key(const ViewerRequest& ask) const {
    if (ask.preassigned_id) return std::to_string(*ask.preassigned_id);
    return ask.sid + '\n' + std::to_string(ask.tenant) + '\n' + std::to_string(ask.cls) + '\n' +
           ask.title_name;
}

SessionId Engine::open_session(const ViewerRequest& ask, AnswerHandler* waiter) {
    const std::string k = key(ask);
    if (const auto it = by_key_.find(k); it != by_key_.end()) {
        Session& s = *sessions_.at(it->second);
        s.record.joined_requests += 1;
        counts_.joined += 1;
        remark(s, "asked again");
        if (s.state == State::playing) {
            waiter->on_established({s.record.id, s.attempt, s.record.server, s.rung, s.media});
        } else {
            s.waiters.push_back(waiter);
        }
        return s.record.id;
    }
    const SessionId id = ask.preassigned_id.value_or(last_id_ + 1);
    if (!ask.preassigned_id) last_id_ = id;
    auto owned = std::make_unique<Session>();
    Session& s = *owned;
    s.record.id = id;
    s.record.request = ask;
    s.record.received_at = loop_.now();
    const ClassSettings& cls = settings_.classes.at(static_cast<std::size_t>(ask.cls));
    s.record.deadline = std::min(ask.preassigned_id ? ask.deadline : loop_.now() + cls.patience, answer_by_);
    s.record.returning = ask.returning;
    s.rung = cls.floor;
    s.waiters.push_back(waiter);
    if (const auto it = remembered_.find(k); it != remembered_.end() && it->second.until > loop_.now()) {
        s.record.returning = true;
        s.record.moved = it->second.moved;
    }
    remark(s, "taken");
    counts_.accepted += 1;
    owed_ += 1;
    sessions_.emplace(id, std::move(owned));
    by_key_.emplace(k, id);
    s.deadline = loop_.at(std::min(s.record.deadline + settings_.answer_slack / 2, answer_by_),
                          [this, id] { deadline_passed(id); });
    feed(request_of(s));
    return id;
}

void Engine::set_answer_deadline(Time last) {
    answer_by_ = std::min(answer_by_, last);
    for (const auto& [id, s] : sessions_) {
        if (s->record.answered || s->record.deadline <= answer_by_) continue;
        s->deadline = loop_.at(answer_by_, [this, id = id] { deadline_passed(id); });
    }
}

SessionRequest Engine::request_of(const Session& s) const {
    const ViewerRequest& ask = s.record.request;
    SessionRequest request;
    request.id = s.record.id;
    request.cls = ask.cls;
    request.tenant = ask.tenant;
    request.viewer = ask.preassigned_id ? ask.viewer : XXH64(ask.sid.data(), ask.sid.size(), 0);
    request.title = ask.title;
    request.deadline = s.record.deadline;
    request.first_cell = ask.first_cell;
    request.cell_count = ask.cell_count;
    request.top_rung = ask.top_rung;
    request.moved = s.record.moved;
    request.returning = s.record.returning;
    return request;
}

void Engine::withdraw_request(SessionId id, AnswerHandler* waiter) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end()) return;
    Session& s = *it->second;
    auto& w = s.waiters;
    const auto found = std::find(w.begin(), w.end(), waiter);
    if (found == w.end()) return;
    w.erase(found);
    if (!w.empty() || s.record.answered) return;
    remark(s, "the last who waited has left");
    answer(s, Answer::abandoned);
    if (s.state == State::held) finish(id, "player");
    else s.state = State::left;
    nobody_waits(id);
}

void Engine::nobody_waits(SessionId id) {
    feed(SessionAbandoned{id});
    // Where its node can be told, it is: the set-up is of no use to anyone now.
    if (!nodes_.is_cancel_final()) return;
    const auto still = sessions_.find(id);
    if (still == sessions_.end() || still->second->state != State::left) return;
    Session& out = *still->second;
    nodes_.cancel(out.record.attempt_records.back().server, id, out.attempt);
    attempt_over(out, Outcome::cancelled, {}, false);
}

// The viewer's time is up and the module has not answered: nothing is owed any more. On a director that keeps
// up this does not happen; it is counted as late and answered as a failure so that no connection hangs.
void Engine::deadline_passed(SessionId id) {
    Session& s = *sessions_.at(id);
    if (s.record.answered) return;
    counts_.missed_deadlines += 1;
    remark(s, "time is up, unanswered");
    answer(s, Answer::failed);
    if (s.state == State::held) finish(id, "director");
    else s.state = State::left;
    nobody_waits(id);
}

void Engine::answer(Session& s, Answer answer) {
    if (s.record.answered) slip(s, std::string("a second answer: ") + name(answer));
    owed_ -= 1;
    s.record.answered = true;
    s.record.answer = answer;
    s.record.answered_at = loop_.now();
    s.deadline.stop();
    remark(s, std::string("answered: ") + name(answer));
    switch (answer) {
        case Answer::established:
            counts_.established += 1;
            break;
        case Answer::rejected:
            counts_.rejected += 1;
            break;
        case Answer::failed:
            counts_.failed += 1;
            break;
        case Answer::abandoned:
            counts_.abandoned += 1;
            break;
    }
    const auto waiters = std::move(s.waiters);
    s.waiters.clear();
    const Placement where{s.record.id, s.attempt, s.record.server, s.rung, s.media};
    const Time retry_after = s.record.retry_after;
    for (AnswerHandler* waiter : waiters) {
        if (answer == Answer::established) waiter->on_established(where);
        else if (answer == Answer::rejected) waiter->on_rejected(retry_after);
        else if (answer == Answer::failed) waiter->on_failed();
    }
}

void Engine::remember(const Session& s) {
    if (s.record.request.preassigned_id) return;  // its viewer says itself that it comes again
    const std::string k = key(s.record.request);
    const Time now = loop_.now();
    while (!remembered_order_.empty() && (remembered_order_.front().first <= now ||
                                          remembered_order_.size() >= limits_.max_remembered_sids)) {
        const auto it = remembered_.find(remembered_order_.front().second);
        if (it != remembered_.end() && it->second.until <= remembered_order_.front().first)
            remembered_.erase(it);
        remembered_order_.pop_front();
    }
    const Time until = now + limits_.sid_retention;
    remembered_[k] = {until, s.moving};
    remembered_order_.emplace_back(until, k);
}

void Engine::finish(SessionId id, const char* by) {
    const auto it = sessions_.find(id);
    const std::unique_ptr<Session> owned = std::move(it->second);
    sessions_.erase(it);
    Session& s = *owned;
    if (!s.record.answered) slip(s, "ends unanswered");
    by_key_.erase(key(s.record.request));
    remember(s);
    s.record.ended_at = loop_.now();
    s.record.ended_by = by;
    s.record.rung = s.rung;
    counts_.ended += 1;
    if (on_session_record) on_session_record(s.record);
}

void Engine::update_server_list(const ServerList& list) {
    if (list.kind == ListKind::full || list.kind == ListKind::saved) listed_.clear();
    for (const ServerEntry& entry : list.entries)
        if (list.kind != ListKind::failed) listed_[entry.id] = entry;
    feed(list);
}
Engine::Session& Engine::take_over(SessionId id, const ViewerRequest& ask, ServerId server, int attempt,
                                   int rung) {
    auto owned = std::make_unique<Session>();
    Session& s = *owned;
    s.record.id = id;
    s.record.request = ask;
    s.record.received_at = s.record.answered_at = loop_.now();
    s.record.answered = true;
    s.record.answer = Answer::established;
    s.record.reclaimed = true;
    s.record.returning = ask.returning;
    s.record.deadline = ask.preassigned_id ? ask.deadline : 0;
    s.record.attempts = attempt + 1;
    s.record.server = server;
    s.record.attempt_records.push_back({server});
    s.state = State::playing;
    s.rung = s.rung_sent = rung;
    s.attempt = attempt;
    remark(s, "taken back from an earlier life");
    playing_ += 1;
    seat(s, 1);
    sessions_.emplace(id, std::move(owned));
    return s;
}

// As the simulator hands one over: as attempt 0, at its class's floor until the node tells its rung.
bool Engine::adopt_session(const ViewerRequest& ask, ServerId server) {
    if (sessions_.count(*ask.preassigned_id)) return false;
    counts_.reclaimed += 1;
    const ClassSettings& cls = settings_.classes.at(static_cast<std::size_t>(ask.cls));
    Session& s = take_over(*ask.preassigned_id, ask, server, 0, cls.floor);
    SessionAdopted as;
    as.request = request_of(s);
    as.server = server;
    feed(as);
    return true;
}

bool Engine::terminate_by_viewer(SessionId id) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || it->second->state != State::playing) return false;
    Session& s = *it->second;
    remark(s, "ended by its viewer");
    s.hung_up = true;
    nodes_.cancel(s.record.server, id, s.attempt);
    return true;
}

bool Engine::reclaim_session(const OrphanedSession& one) {
    const ViewerRequest& ask = one.request;
    const std::string k = key(ask);
    decide::ReclaimCandidate f;
    f.cls = ask.cls, f.tenant = ask.tenant, f.rung = one.rung;
    f.from_this_incarnation = one.session >> 32 == first_id_ >> 32 || sessions_.count(one.session) != 0;
    f.superseded = by_key_.count(k) != 0;
    if (const auto it = held_.find({ask.title, ask.cls}); it != held_.end()) f.held_sessions = it->second;
    if (decide::evaluate_reclaim(settings_, f) != decide::ReclaimVerdict::reclaim) {
        counts_.not_reclaimed += 1;
        return false;
    }
    counts_.reclaimed += 1;
    Session& s = take_over(one.session, ask, one.server, one.attempt, one.rung);
    s.media = one.media;
    by_key_.emplace(k, one.session);
    SessionAdopted as;
    as.request = request_of(s);
    as.server = one.server;
    feed(as);
    feed(SessionNote{one.session, one.attempt, one.server, NoteKind::rung, static_cast<double>(one.rung)});
    return true;
}

// The list knows of a start seconds late, and of a process that died and came back between two looks not at
// all; the node itself tells at once.
void Engine::on_node_incarnation(ServerId server, Time started) {
    const auto it = listed_.find(server);
    if (it == listed_.end() || it->second.state == ServerState::gone || started <= it->second.last_start)
        return;
    it->second.last_start = started;
    feed(ServerList{ListKind::changes, {it->second}});
}

// ---- What nodes tell ----

void Engine::on_attempt_started(SessionId id, int attempt, const Media& media) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || it->second->attempt != attempt) return;  // its end came first
    contain_slips([&] { attempt_started(*it->second, media); });
}

void Engine::attempt_started(Session& s, const Media& media) {
    const SessionId id = s.record.id;
    const int attempt = s.attempt;
    if (s.state != State::out && s.state != State::left) slip(s, "started, though no attempt is out");
    remark(s, "started");
    s.expiry.stop();
    s.media = media;
    s.record.server = s.record.attempt_records.back().server;
    const bool wanted = s.state == State::out;
    s.state = State::playing;
    playing_ += 1;
    const Time waited = loop_.now() - s.sent;
    if (s.rung_sent != s.rung) {
        s.rung_sent = s.rung;
        nodes_.set_rung(s.record.server, id, attempt, s.rung);
    }
    if (wanted) answer(s, Answer::established);
    const ServerId server = s.record.server;
    feed(SessionStarted{id, attempt, server, waited});
    // Nobody is there to end a session whose viewer has left and whose protocol gives it no other holder.
    if (!wanted && nodes_.is_cancel_final()) nodes_.cancel(server, id, attempt);
}

void Engine::on_attempt_ended(SessionId id, int attempt, Outcome outcome, const LoadReport& report) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || it->second->attempt != attempt) return;  // timed out before: told already
    contain_slips([&] { attempt_over(*it->second, outcome, report, false); });
}
void Engine::on_attempt_lost(SessionId id, int attempt, Outcome outcome) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || it->second->attempt != attempt) return;  // given up before
    contain_slips([&] { attempt_over(*it->second, outcome, {}, !nodes_.is_cancel_final()); });
}

// The module counts the attempt on, before it hears that it is over for its session: in between the place
// would be free.
void Engine::keep_counting(const Session& s) {
    const Doubt doubt{
        ++last_id_, s.record.attempt_records.back().server, {s.record.request.title, s.record.request.cls}};
    if (!doubts_.emplace(std::make_pair(s.record.id, s.attempt), doubt).second)
        slip(s, "its attempt is doubtful twice");
    SessionAdopted as;
    as.request = request_of(s);
    as.request.id = doubt.id;
    as.server = doubt.server;
    feed(as);
    feed(SessionNote{doubt.id, 0, doubt.server, NoteKind::rung, static_cast<double>(s.rung)});
    feed(SessionAbandoned{doubt.id});
}
void Engine::seat(const Session& s, int by) {
    const std::pair<TitleId, int> key{s.record.request.title, s.record.request.cls};
    if ((held_[key] += by) == 0) held_.erase(key);
}
void Engine::on_attempt_released(SessionId session, int attempt) {
    const auto it = doubts_.find({session, attempt});
    if (it == doubts_.end()) return;
    AttemptOver e;
    e.id = it->second.id;
    e.server = it->second.server;
    e.outcome = Outcome::ended;
    e.session_over = true;
    if (--held_[it->second.seat] == 0) held_.erase(it->second.seat);
    doubts_.erase(it);
    feed(e);
}

void Engine::attempt_over(Session& s, Outcome outcome, const LoadReport& report, bool doubtful) {
    if (doubtful) keep_counting(s);
    else seat(s, -1);
    const SessionId id = s.record.id;
    const State was = s.state;
    AttemptOver e;
    e.id = id;
    e.attempt = s.attempt;
    e.server = s.record.attempt_records.back().server;
    e.outcome = outcome;
    e.waited = loop_.now() - s.sent;
    e.session_over = s.record.answered;
    e.report = report;
    s.record.attempt_records.back().outcome = name(outcome);
    s.record.attempt_records.back().elapsed = e.waited;
    s.expiry.stop();
    s.attempt = -1;
    s.may_have_run = s.may_have_run || !proves_never_ran(outcome);
    remark(s, std::string("attempt over: ") + name(outcome));
    if (was == State::playing) {
        playing_ -= 1;
        counts_.reset += outcome == Outcome::reset;
        const bool by_client = outcome == Outcome::cancelled && !s.hung_up && !s.moving;
        if (by_client && !s.record.reclaimed && s.record.answer == Answer::established &&
            decide::can_have_crossed(loop_.now() - s.record.answered_at)) {
            s.record.end_crossed_answer = true;
            counts_.ends_crossing_answers += 1;
        }
        const bool told = s.record.answer == Answer::established;
        const bool owed = decide::must_notify_viewer({outcome, told, s.hung_up, s.moving});
        if (on_session_terminated) on_session_terminated(id, owed, false);
    }
    if (s.record.answered)
        finish(id, s.moving ? "director" : s.hung_up || was != State::playing ? "player" : "node");
    else s.state = State::held;
    feed(e);
}

void Engine::on_session_note(SessionId session, int attempt, ServerId server, NoteKind kind, double value) {
    feed(SessionNote{session, attempt, server, kind, value});
}
void Engine::on_probe_result(ServerId server, Outcome outcome, Time waited, const LoadReport& report) {
    feed(ProbeAnswered{server, outcome, waited, report});
}

// ---- The module ----

// Events that come while one is handled wait their turn: the module is never entered twice.
void Engine::feed(Event event) {
    events_.push_back(std::move(event));
    if (feeding_) return;
    feeding_ = true;
    struct Guard {
        bool& flag;
        ~Guard() { flag = false; }
    } guard{feeding_};
    while (!events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        std::vector<Action> actions;
        director_.handle(loop_.now(), next, actions);
        for (const Action& action : actions)
            contain_slips([&] { std::visit([this](const auto& a) { carry(a); }, action); });
    }
}

void Engine::carry(const Send& a) {
    Session& s = known(a.id, "Send");
    if (s.record.answered) slip(s, "sent after its answer");
    if (s.attempt >= 0) slip(s, "sent while an attempt is out");
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(s.record.request.cls)];
    if (s.may_have_run && cls.repeat == Repeat::paid)
        slip(s, "a paid set-up is sent again, though an earlier attempt may have run");
    const Time expires = a.expires > 0 ? std::min(a.expires, s.record.deadline) : s.record.deadline;
    s.attempt = s.record.attempts++;
    seat(s, 1);
    s.state = State::out;
    s.sent = loop_.now();
    s.record.attempt_records.push_back({a.server});
    s.rung_sent = s.rung;
    counts_.attempts += 1;
    if (s.attempt == 0) s.record.first_sent_at = loop_.now();
    else counts_.retries += 1;
    remark(s, "sent to server " + std::to_string(a.server) + " at rung " + std::to_string(s.rung));
    const SessionId id = a.id;
    const int attempt = s.attempt;
    if (expires <= loop_.now() || s.record.attempts > std::max(1, settings_.max_attempts)) {
        loop_.post([this, id, attempt] { on_attempt_ended(id, attempt, Outcome::not_sent, {}); });
        return;
    }
    s.expiry = loop_.at(expires, [this, id, attempt, server = a.server] {
        nodes_.cancel(server, id, attempt);  // its work is of no use to anyone now
        on_attempt_lost(id, attempt, Outcome::timed_out);
    });
    nodes_.set_up({id, attempt, a.server, s.rung, expires, s.record.request, cls.repeat == Repeat::paid});
}

void Engine::carry(const Refuse& a) {
    const auto it = sessions_.find(a.id);
    if (it == sessions_.end()) return;  // left a moment ago: its event was on the way
    Session& s = *it->second;
    if (s.record.answered) return;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(s.record.request.cls)];
    if (s.attempt >= 0) slip(s, "refused while an attempt is out");
    if (s.may_have_run && cls.repeat == Repeat::paid)
        slip(s, "a paid set-up is refused, though an earlier attempt may have run");
    s.record.retry_after = a.retry_after;
    answer(s, Answer::rejected);
    finish(a.id, "director");
}
void Engine::carry(const Fail& a) {
    const auto it = sessions_.find(a.id);
    if (it == sessions_.end() || it->second->record.answered) return;
    Session& s = *it->second;
    answer(s, Answer::failed);
    if (s.attempt < 0) finish(a.id, "director");
    else s.state = State::left;
}
void Engine::carry(const Cancel& a) {
    Session& s = known(a.id, "Cancel");
    if (a.attempt < 0 || a.attempt >= s.record.attempts) slip(s, "cancels an attempt that was never made");
    if (a.attempt != s.attempt) return;
    remark(s, "called off");
    // Told from the loop, and before the port can tell that it is released.
    if (s.state == State::out || s.state == State::left)
        loop_.post(
            [this, id = a.id, attempt = a.attempt] { on_attempt_lost(id, attempt, Outcome::cancelled); });
    nodes_.cancel(s.record.attempt_records.back().server, a.id, a.attempt);
}
void Engine::carry(const SetRung& a) {
    const auto it = sessions_.find(a.id);
    if (it == sessions_.end()) return;
    Session& s = *it->second;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(s.record.request.cls)];
    if (a.rung < cls.floor || a.rung >= static_cast<int>(settings_.rung_kb.size()))
        slip(s, "rung " + std::to_string(a.rung) + " is under the class's floor or not on the ladder");
    s.rung = a.rung;
    if (s.state != State::playing || s.rung_sent == s.rung) return;
    s.rung_sent = s.rung;
    s.record.rung_changes += 1;
    remark(s, "rung " + std::to_string(a.rung));
    nodes_.set_rung(s.record.server, a.id, s.attempt, s.rung);
}
void Engine::carry(const Move& a) {
    Session& s = known(a.id, "Move");
    if (s.state != State::playing) slip(s, "moved, though it does not play");
    s.moving = true;
    remark(s, "moved");
    if (on_session_terminated) on_session_terminated(a.id, true, true);
    nodes_.move(s.record.server, a.id, s.attempt);
}
void Engine::carry(const Probe& a) { nodes_.probe(a.server); }
void Engine::carry(const SetAlarm& a) {
    const std::uint64_t id = ++last_alarm_;
    alarms_[id] = loop_.at(a.at, [this, id, mark = a.mark] {
        alarms_.erase(id);
        feed(AlarmDue{mark});
    });
}
void Engine::carry(const FollowList& a) {
    if (list_) list_->follow(a.on);
}
void Engine::carry(const FetchList&) {
    if (list_) list_->fetch();
}
void Engine::carry(const Log& a) {
    if (on_director_log) on_director_log(a.text);
}

}  // namespace ivyfield::core
