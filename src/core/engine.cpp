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
    State state = State::queued;
    bool may_have_run = false;          // an attempt ended without proof that it never ran
    bool terminated_by_viewer = false;  // its viewer ended it
    bool moving = false;                // leaving its node; its player asks for a new session
    int rung = 0, rung_sent = 0;
    int attempt = -1;  // the pending or established one; -1: none
    Media media;
    std::vector<AnswerHandler*> handlers;
    io::Timer deadline_timer, attempt_timer;
    Time sent_at = 0;  // when the last attempt was sent
    std::deque<std::string> history;
};

Engine::Engine(io::Loop& loop, const Settings& settings, std::uint64_t seed, NodePort& nodes,
               ServerListPort* list, const EngineLimits& limits)
    : loop_(loop),
      settings_(settings),
      nodes_(nodes),
      server_list_(list),
      limits_(limits),
      director_(settings, seed),
      // Session ids of two incarnations of a director must not collide at a node, so the top 20 bits are
      // drawn at each start. Ids have 52 bits in all, which JSON numbers represent exactly.
      id_base_((seed & 0xfffffull) << 32),
      last_id_(id_base_) {}
Engine::~Engine() = default;

// ---- Invariant violations and history ----

void Engine::record_history(Session& session, std::string what) {
    if (session.history.size() >= limits_.max_history_entries) session.history.pop_front();
    session.history.push_back(std::to_string(loop_.now() - session.record.received_at) +
                              " ms: " + std::move(what));
}

void Engine::throw_violation(const Session& session, const std::string& what) const {
    std::string text = "session " + std::to_string(session.record.id) + " (sid \"" +
                       session.record.request.sid + "\"): " + what;
    for (const std::string& line : session.history) text += "\n  " + line;
    throw InvariantViolation(session.record.id, text);
}

Engine::Session& Engine::require_session(SessionId id, const char* action) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end())
        throw InvariantViolation(id, std::string("action ") + action + " names session " +
                                         std::to_string(id) + ", which is not open");
    return *it->second;
}

// Runs one step for one session. An invariant violation is rethrown or fails that session alone, as
// EngineLimits::throw_on_violation says.
template <typename Step>
void Engine::contain_violations(const Step& step) {
    try {
        step();
    } catch (const InvariantViolation& violation) {
        if (limits_.throw_on_violation) throw;
        handle_violation(violation);
    }
}

void Engine::handle_violation(const InvariantViolation& violation) {
    counts_.invariant_violations += 1;
    if (on_invariant_violation) on_invariant_violation(violation.what());
    fail_session(violation.session());
}

// Ends a session after an invariant violation: answers its client if it has no answer yet, cancels its
// attempt at the node, and removes it from the engine and the decision module.
void Engine::fail_session(SessionId id) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end()) return;
    Session& session = *it->second;
    const bool established = session.record.answered && session.record.answer == Answer::established;
    if (!session.record.answered) deliver_answer(session, Answer::failed);
    session.attempt_timer.stop();
    AttemptEnded over;
    over.id = id;
    over.attempt = session.attempt;
    over.outcome = Outcome::cancelled;
    over.session_ended = true;
    if (session.attempt >= 0) {
        over.server = session.record.attempt_records.back().server;
        session.record.attempt_records.back().outcome = name(Outcome::cancelled);
        adjust_attempt_counts(session, -1);
        if (session.state == State::established) established_count_ -= 1;
        nodes_.cancel(over.server, id, session.attempt);
    }
    if (established && on_session_terminated)
        on_session_terminated(id, !session.terminated_by_viewer && !session.moving, false);
    finish_session(id, "director");
    if (over.attempt >= 0) dispatch_event(over);
    else dispatch_event(SessionAbandoned{id});
}

// ---- Requests ----

// The key under which requests join one session. Fields are separated by a byte that a sid cannot contain,
// so that different requests never share a key.
std::string Engine::make_request_key(const ViewerRequest& request) const {
    if (request.preassigned_id) return std::to_string(*request.preassigned_id);
    return request.sid + '\n' + std::to_string(request.tenant) + '\n' + std::to_string(request.cls) + '\n' +
           request.title_name;
}

SessionId Engine::open_session(const ViewerRequest& request, AnswerHandler* handler) {
    const std::string key = make_request_key(request);
    if (const auto it = session_by_key_.find(key); it != session_by_key_.end()) {
        Session& session = *sessions_.at(it->second);
        session.record.joined_requests += 1;
        counts_.joined += 1;
        record_history(session, "joined by a repeated request");
        if (session.state == State::established) {
            handler->on_established(
                {session.record.id, session.attempt, session.record.server, session.rung, session.media});
        } else {
            session.handlers.push_back(handler);
        }
        return session.record.id;
    }
    const SessionId id = request.preassigned_id.value_or(last_id_ + 1);
    if (request.preassigned_id && !repeated_setups_.may_run(id, loop_.now())) {
        counts_.repeated += 1;
        handler->on_failed();
        return id;
    }
    if (!request.preassigned_id) last_id_ = id;
    auto owned = std::make_unique<Session>();
    Session& session = *owned;
    session.record.id = id;
    session.record.request = request;
    session.record.received_at = loop_.now();
    const ClassSettings& cls = settings_.classes.at(static_cast<std::size_t>(request.cls));
    session.record.deadline =
        std::min(request.preassigned_id ? request.deadline : loop_.now() + cls.patience, answer_deadline_);
    session.record.returning = request.returning;
    session.rung = cls.min_rung;
    session.handlers.push_back(handler);
    if (const auto it = remembered_sids_.find(key);
        it != remembered_sids_.end() && it->second.expires_at > loop_.now()) {
        session.record.returning = true;
        session.record.moved = it->second.moved;
    }
    record_history(session, "request accepted");
    counts_.accepted += 1;
    unanswered_count_ += 1;
    sessions_.emplace(id, std::move(owned));
    session_by_key_.emplace(key, id);
    session.deadline_timer =
        loop_.at(std::min(session.record.deadline + settings_.answer_slack / 2, answer_deadline_),
                 [this, id] { handle_deadline(id); });
    dispatch_event(make_session_request(session));
    return id;
}

void Engine::set_answer_deadline(Time deadline) {
    answer_deadline_ = std::min(answer_deadline_, deadline);
    for (const auto& [id, session] : sessions_) {
        if (session->record.answered || session->record.deadline <= answer_deadline_) continue;
        session->deadline_timer = loop_.at(answer_deadline_, [this, id = id] { handle_deadline(id); });
    }
}

SessionRequest Engine::make_session_request(const Session& session) const {
    const ViewerRequest& viewer_request = session.record.request;
    SessionRequest request;
    request.id = session.record.id;
    request.cls = viewer_request.cls;
    request.tenant = viewer_request.tenant;
    request.viewer = viewer_request.preassigned_id
                         ? viewer_request.viewer
                         : XXH64(viewer_request.sid.data(), viewer_request.sid.size(), 0);
    request.title = viewer_request.title;
    request.deadline = session.record.deadline;
    request.first_cell = viewer_request.first_cell;
    request.cell_count = viewer_request.cell_count;
    request.top_rung = viewer_request.top_rung;
    request.moved = session.record.moved;
    request.returning = session.record.returning;
    return request;
}

void Engine::withdraw_request(SessionId id, AnswerHandler* handler) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end()) return;
    Session& session = *it->second;
    auto& handlers = session.handlers;
    const auto found = std::find(handlers.begin(), handlers.end(), handler);
    if (found == handlers.end()) return;
    handlers.erase(found);
    if (!handlers.empty() || session.record.answered) return;
    record_history(session, "abandoned: the last waiting request was withdrawn");
    deliver_answer(session, Answer::abandoned);
    if (session.state == State::queued) finish_session(id, "player");
    else session.state = State::detached;
    abandon_session(id);
}

void Engine::abandon_session(SessionId id) {
    dispatch_event(SessionAbandoned{id});
    // Nobody waits for the set-up any more, so it is cancelled where a cancel is final at the node.
    if (!nodes_.is_cancel_final()) return;
    const auto still = sessions_.find(id);
    if (still == sessions_.end() || still->second->state != State::detached) return;
    Session& session = *still->second;
    nodes_.cancel(session.record.attempt_records.back().server, id, session.attempt);
    handle_attempt_end(session, Outcome::cancelled, {}, false);
}

// The viewer's deadline passed before the decision module answered. This does not happen on a director that
// keeps up with its load; it is counted as a missed deadline and answered as a failure, so that no
// connection hangs.
void Engine::handle_deadline(SessionId id) {
    Session& session = *sessions_.at(id);
    if (session.record.answered) return;
    counts_.missed_deadlines += 1;
    record_history(session, "deadline passed without an answer");
    deliver_answer(session, Answer::failed);
    if (session.state == State::queued) finish_session(id, "director");
    else session.state = State::detached;
    abandon_session(id);
}

void Engine::deliver_answer(Session& session, Answer answer) {
    if (session.record.answered)
        throw_violation(session, std::string("answered a second time: ") + name(answer));
    unanswered_count_ -= 1;
    session.record.answered = true;
    session.record.answer = answer;
    session.record.answered_at = loop_.now();
    session.deadline_timer.stop();
    record_history(session, std::string("answered: ") + name(answer));
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
    std::string().swap(session.record.request.description);  // nothing more is sent
    const auto handlers = std::move(session.handlers);
    session.handlers.clear();
    const Placement placement{session.record.id, session.attempt, session.record.server, session.rung,
                              session.media};
    const Time retry_after = session.record.retry_after;
    for (AnswerHandler* handler : handlers) {
        if (answer == Answer::established) handler->on_established(placement);
        else if (answer == Answer::rejected) handler->on_rejected(retry_after);
        else if (answer == Answer::failed) handler->on_failed();
    }
    // Only requests that join the session later are given it again.
    if (session.record.request.preassigned_id) std::string().swap(session.media.description);
}

void Engine::remember_sid(const Session& session) {
    if (session.record.request.preassigned_id) return;  // such a request itself says whether it returns
    const std::string key = make_request_key(session.record.request);
    const Time now = loop_.now();
    while (!sid_expiry_queue_.empty() && (sid_expiry_queue_.front().first <= now ||
                                          sid_expiry_queue_.size() >= limits_.max_remembered_sids)) {
        const auto it = remembered_sids_.find(sid_expiry_queue_.front().second);
        if (it != remembered_sids_.end() && it->second.expires_at <= sid_expiry_queue_.front().first)
            remembered_sids_.erase(it);
        sid_expiry_queue_.pop_front();
    }
    const Time expires_at = now + limits_.sid_retention;
    remembered_sids_[key] = {expires_at, session.moving};
    sid_expiry_queue_.emplace_back(expires_at, key);
}

void Engine::finish_session(SessionId id, const char* ended_by) {
    const auto it = sessions_.find(id);
    const std::unique_ptr<Session> owned = std::move(it->second);
    sessions_.erase(it);
    Session& session = *owned;
    if (!session.record.answered) throw_violation(session, "finished without an answer");
    session_by_key_.erase(make_request_key(session.record.request));
    remember_sid(session);
    if (session.record.request.preassigned_id) {
        const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(session.record.request.cls)];
        // An attempt that is still pending here is cancelled, which proves nothing.
        const bool may_have_run = session.may_have_run || session.attempt >= 0;
        repeated_setups_.record({id, cls.idempotency, may_have_run}, loop_.now());
    }
    session.record.ended_at = loop_.now();
    session.record.ended_by = ended_by;
    session.record.rung = session.rung;
    counts_.ended += 1;
    if (on_session_record) on_session_record(session.record);
}

void Engine::update_server_list(const ServerList& list) {
    if (list.kind == ListKind::full || list.kind == ListKind::saved) listed_servers_.clear();
    for (const ServerEntry& entry : list.entries)
        if (list.kind != ListKind::failed) listed_servers_[entry.id] = entry;
    dispatch_event(list);
}

Engine::Session& Engine::insert_established_session(SessionId id, const ViewerRequest& request,
                                                    ServerId server, int attempt, int rung) {
    auto owned = std::make_unique<Session>();
    Session& session = *owned;
    session.record.id = id;
    session.record.request = request;
    std::string().swap(session.record.request.description);
    session.record.received_at = session.record.answered_at = loop_.now();
    session.record.answered = true;
    session.record.answer = Answer::established;
    session.record.reclaimed = true;
    session.record.returning = request.returning;
    session.record.deadline = request.preassigned_id ? request.deadline : 0;
    session.record.attempts = attempt + 1;
    session.record.server = server;
    session.record.attempt_records.push_back({server});
    session.state = State::established;
    session.rung = session.rung_sent = rung;
    session.attempt = attempt;
    record_history(session, "reclaimed from an earlier incarnation of this director");
    established_count_ += 1;
    adjust_attempt_counts(session, 1);
    sessions_.emplace(id, std::move(owned));
    return session;
}

// As in the simulator, the session is handed over as attempt 0, at its class's min_rung until the node
// reports its rung.
bool Engine::adopt_session(const ViewerRequest& request, ServerId server) {
    if (sessions_.count(*request.preassigned_id)) return false;
    const ClassSettings& cls = settings_.classes.at(static_cast<std::size_t>(request.cls));
    const auto listed = listed_servers_.find(server);
    const auto attempts = attempts_by_server_.find(server);
    if (listed != listed_servers_.end() && attempts != attempts_by_server_.end() &&
        !decide::is_plausible_handover(settings_, cls, listed->second, attempts->second)) {
        counts_.not_reclaimed += 1;
        return false;
    }
    counts_.reclaimed += 1;
    Session& session = insert_established_session(*request.preassigned_id, request, server, 0, cls.min_rung);
    SessionAdopted adopted;
    adopted.request = make_session_request(session);
    adopted.server = server;
    dispatch_event(adopted);
    return true;
}

bool Engine::terminate_by_viewer(SessionId id) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || it->second->state != State::established) return false;
    Session& session = *it->second;
    record_history(session, "terminated by its viewer");
    session.terminated_by_viewer = true;
    nodes_.cancel(session.record.server, id, session.attempt);
    return true;
}

bool Engine::reclaim_session(const OrphanedSession& orphan) {
    const ViewerRequest& request = orphan.request;
    const std::string key = make_request_key(request);
    decide::ReclaimCandidate candidate;
    candidate.cls = request.cls, candidate.tenant = request.tenant, candidate.rung = orphan.rung;
    candidate.from_this_incarnation =
        orphan.session >> 32 == id_base_ >> 32 || sessions_.count(orphan.session) != 0;
    candidate.superseded = session_by_key_.count(key) != 0;
    if (const auto it = seat_counts_.find({request.title, request.cls}); it != seat_counts_.end())
        candidate.held_sessions = it->second;
    if (decide::evaluate_reclaim(settings_, candidate) != decide::ReclaimVerdict::reclaim) {
        counts_.not_reclaimed += 1;
        return false;
    }
    counts_.reclaimed += 1;
    Session& session =
        insert_established_session(orphan.session, request, orphan.server, orphan.attempt, orphan.rung);
    session.media = orphan.media;
    session_by_key_.emplace(key, orphan.session);
    SessionAdopted adopted;
    adopted.request = make_session_request(session);
    adopted.server = orphan.server;
    dispatch_event(adopted);
    dispatch_event(SessionNote{orphan.session, orphan.attempt, orphan.server, NoteKind::rung,
                               static_cast<double>(orphan.rung)});
    return true;
}

// The server list shows a start seconds late and misses a process that died and restarted between two
// polls; the node itself reports it at once.
void Engine::on_node_incarnation(ServerId server, Time started) {
    const auto it = listed_servers_.find(server);
    if (it == listed_servers_.end() || it->second.state == ServerState::gone ||
        started <= it->second.last_start)
        return;
    it->second.last_start = started;
    dispatch_event(ServerList{ListKind::changes, {it->second}});
}

// ---- Events from nodes ----

void Engine::on_attempt_started(SessionId id, int attempt, const Media& media) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || it->second->attempt != attempt) return;  // it has ended already
    contain_violations([&] { handle_attempt_started(*it->second, media); });
}

void Engine::handle_attempt_started(Session& session, const Media& media) {
    const SessionId id = session.record.id;
    const int attempt = session.attempt;
    if (session.state != State::pending && session.state != State::detached)
        throw_violation(session, "attempt started, but no attempt is pending");
    record_history(session, "attempt started");
    session.attempt_timer.stop();
    session.media = media;
    session.record.server = session.record.attempt_records.back().server;
    const bool has_waiting_request = session.state == State::pending;
    session.state = State::established;
    established_count_ += 1;
    const Time elapsed = loop_.now() - session.sent_at;
    if (session.rung_sent != session.rung) {
        session.rung_sent = session.rung;
        nodes_.set_rung(session.record.server, id, attempt, session.rung);
    }
    if (has_waiting_request) deliver_answer(session, Answer::established);
    const ServerId server = session.record.server;
    dispatch_event(SessionEstablished{id, attempt, server, elapsed});
    // The viewer has left and, in a protocol where a cancel is final, nobody else would end the session.
    if (!has_waiting_request && nodes_.is_cancel_final()) nodes_.cancel(server, id, attempt);
}

void Engine::on_attempt_ended(SessionId id, int attempt, Outcome outcome, const LoadReport& report) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || it->second->attempt != attempt) return;  // already handled as timed out
    contain_violations([&] { handle_attempt_end(*it->second, outcome, report, false); });
}

void Engine::on_attempt_lost(SessionId id, int attempt, Outcome outcome) {
    const auto it = sessions_.find(id);
    if (it == sessions_.end() || it->second->attempt != attempt) return;  // already given up
    contain_violations([&] { handle_attempt_end(*it->second, outcome, {}, !nodes_.is_cancel_final()); });
}

// Has the decision module count the attempt on, under an id of its own, before it learns that the attempt
// is over for its session: in between, the attempt's place would count as free.
void Engine::track_unreleased_attempt(const Session& session) {
    const UnreleasedAttempt unreleased{++last_id_,
                                       session.record.attempt_records.back().server,
                                       {session.record.request.title, session.record.request.cls}};
    if (!unreleased_attempts_.emplace(std::make_pair(session.record.id, session.attempt), unreleased).second)
        throw_violation(session, "attempt is already recorded as unreleased");
    SessionAdopted adopted;
    adopted.request = make_session_request(session);
    adopted.request.id = unreleased.id;
    adopted.server = unreleased.server;
    dispatch_event(adopted);
    dispatch_event(
        SessionNote{unreleased.id, 0, unreleased.server, NoteKind::rung, static_cast<double>(session.rung)});
    dispatch_event(SessionAbandoned{unreleased.id});
}

void Engine::adjust_attempt_counts(const Session& session, int delta) {
    const ViewerRequest& request = session.record.request;
    adjust_attempt_counts({request.title, request.cls}, session.record.attempt_records.back().server, delta);
}
void Engine::adjust_attempt_counts(const std::pair<TitleId, int>& seat, ServerId server, int delta) {
    if ((seat_counts_[seat] += delta) == 0) seat_counts_.erase(seat);
    if ((attempts_by_server_[server] += delta) == 0) attempts_by_server_.erase(server);
}

void Engine::on_attempt_released(SessionId session, int attempt) {
    const auto it = unreleased_attempts_.find({session, attempt});
    if (it == unreleased_attempts_.end()) return;
    AttemptEnded event;
    event.id = it->second.id;
    event.server = it->second.server;
    event.outcome = Outcome::ended;
    event.session_ended = true;
    adjust_attempt_counts(it->second.seat, it->second.server, -1);
    unreleased_attempts_.erase(it);
    dispatch_event(event);
}

void Engine::handle_attempt_end(Session& session, Outcome outcome, const LoadReport& report,
                                bool unreleased) {
    if (unreleased) track_unreleased_attempt(session);
    else adjust_attempt_counts(session, -1);
    const SessionId id = session.record.id;
    const State previous_state = session.state;
    AttemptEnded event;
    event.id = id;
    event.attempt = session.attempt;
    event.server = session.record.attempt_records.back().server;
    event.outcome = outcome;
    event.elapsed = loop_.now() - session.sent_at;
    event.session_ended = session.record.answered;
    event.report = report;
    session.record.attempt_records.back().outcome = name(outcome);
    session.record.attempt_records.back().elapsed = event.elapsed;
    session.attempt_timer.stop();
    session.attempt = -1;
    session.may_have_run = session.may_have_run || !proves_never_ran(outcome);
    record_history(session, std::string("attempt ended: ") + name(outcome));
    if (previous_state == State::established) {
        established_count_ -= 1;
        counts_.reset += outcome == Outcome::reset;
        const bool ended_by_client =
            outcome == Outcome::cancelled && !session.terminated_by_viewer && !session.moving;
        if (ended_by_client && !session.record.reclaimed && session.record.answer == Answer::established &&
            decide::can_have_crossed(loop_.now() - session.record.answered_at)) {
            session.record.end_crossed_answer = true;
            counts_.ends_crossing_answers += 1;
        }
        const bool reported_established = session.record.answer == Answer::established;
        const bool notify_viewer = decide::must_notify_viewer(
            {outcome, reported_established, session.terminated_by_viewer, session.moving});
        if (on_session_terminated) on_session_terminated(id, notify_viewer, false);
    }
    if (session.record.answered)
        finish_session(id, session.moving                                                         ? "director"
                           : session.terminated_by_viewer || previous_state != State::established ? "player"
                                                                                                  : "node");
    else session.state = State::queued;
    dispatch_event(event);
}

void Engine::on_session_note(SessionId session, int attempt, ServerId server, NoteKind kind, double value) {
    dispatch_event(SessionNote{session, attempt, server, kind, value});
}

void Engine::on_probe_result(ServerId server, Outcome outcome, Time elapsed, const LoadReport& report) {
    dispatch_event(ProbeCompleted{server, outcome, elapsed, report});
}

// ---- Decision module ----

// Events that arrive while another is being handled are queued, because the decision module is
// not reentrant.
void Engine::dispatch_event(Event event) {
    pending_events_.push_back(std::move(event));
    if (dispatching_) return;
    dispatching_ = true;
    struct Guard {
        bool& flag;
        ~Guard() { flag = false; }
    } guard{dispatching_};
    while (!pending_events_.empty()) {
        const Event next = std::move(pending_events_.front());
        pending_events_.pop_front();
        std::vector<Action> actions;
        director_.handle(loop_.now(), next, actions);
        for (const Action& action : actions)
            contain_violations([&] { std::visit([this](const auto& chosen) { execute(chosen); }, action); });
    }
}

void Engine::execute(const SendSetup& action) {
    Session& session = require_session(action.id, "Send");
    if (session.record.answered) throw_violation(session, "sent after the request was answered");
    if (session.attempt >= 0) throw_violation(session, "sent while an attempt is pending");
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(session.record.request.cls)];
    if (session.may_have_run && cls.idempotency == Idempotency::non_idempotent)
        throw_violation(session, "non-idempotent set-up sent again, but an earlier attempt may have run");
    const Time expires =
        action.expires > 0 ? std::min(action.expires, session.record.deadline) : session.record.deadline;
    session.attempt = session.record.attempts++;
    session.state = State::pending;
    session.sent_at = loop_.now();
    session.record.attempt_records.push_back({action.server});
    adjust_attempt_counts(session, 1);
    session.rung_sent = session.rung;
    counts_.attempts += 1;
    if (session.attempt == 0) session.record.first_sent_at = loop_.now();
    else counts_.retries += 1;
    record_history(session, "sent to server " + std::to_string(action.server) + " at rung " +
                                std::to_string(session.rung));
    const SessionId id = action.id;
    const int attempt = session.attempt;
    if (expires <= loop_.now() || session.record.attempts > std::max(1, settings_.max_attempts)) {
        loop_.post([this, id, attempt] { on_attempt_ended(id, attempt, Outcome::not_sent, {}); });
        return;
    }
    session.attempt_timer = loop_.at(expires, [this, id, attempt, server = action.server] {
        nodes_.cancel(server, id, attempt);  // nobody waits for its result any more
        on_attempt_lost(id, attempt, Outcome::timed_out);
    });
    nodes_.set_up({id, attempt, action.server, session.rung, expires, session.record.request,
                   cls.idempotency == Idempotency::non_idempotent});
}

void Engine::execute(const Reject& action) {
    const auto it = sessions_.find(action.id);
    if (it == sessions_.end()) return;  // abandoned just now; its event was still queued
    Session& session = *it->second;
    if (session.record.answered) return;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(session.record.request.cls)];
    if (session.attempt >= 0) throw_violation(session, "rejected while an attempt is pending");
    if (session.may_have_run && cls.idempotency == Idempotency::non_idempotent)
        throw_violation(session, "non-idempotent set-up rejected, but an earlier attempt may have run");
    session.record.retry_after = action.retry_after;
    deliver_answer(session, Answer::rejected);
    finish_session(action.id, "director");
}

void Engine::execute(const Fail& action) {
    const auto it = sessions_.find(action.id);
    if (it == sessions_.end() || it->second->record.answered) return;
    Session& session = *it->second;
    deliver_answer(session, Answer::failed);
    if (session.attempt < 0) finish_session(action.id, "director");
    else session.state = State::detached;
}

void Engine::execute(const Cancel& action) {
    Session& session = require_session(action.id, "Cancel");
    if (action.attempt < 0 || action.attempt >= session.record.attempts)
        throw_violation(session, "cancel names an attempt that was never made");
    if (action.attempt != session.attempt) return;
    record_history(session, "attempt cancelled");
    // Posted to the loop rather than called from here, and before the port can report the attempt
    // as released.
    if (session.state == State::pending || session.state == State::detached)
        loop_.post([this, id = action.id, attempt = action.attempt] {
            on_attempt_lost(id, attempt, Outcome::cancelled);
        });
    nodes_.cancel(session.record.attempt_records.back().server, action.id, action.attempt);
}

void Engine::execute(const SetRung& action) {
    const auto it = sessions_.find(action.id);
    if (it == sessions_.end()) return;
    Session& session = *it->second;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(session.record.request.cls)];
    if (action.rung < cls.min_rung || action.rung >= static_cast<int>(settings_.rung_kb.size()))
        throw_violation(session, "rung " + std::to_string(action.rung) +
                                     " is below the class's min_rung or not on the ladder");
    session.rung = action.rung;
    if (session.state != State::established || session.rung_sent == session.rung) return;
    session.rung_sent = session.rung;
    session.record.rung_changes += 1;
    record_history(session, "set to rung " + std::to_string(action.rung));
    nodes_.set_rung(session.record.server, action.id, session.attempt, session.rung);
}

void Engine::execute(const Move& action) {
    Session& session = require_session(action.id, "Move");
    if (session.state != State::established)
        throw_violation(session, "moved, but the session is not established");
    session.moving = true;
    record_history(session, "moved");
    if (on_session_terminated) on_session_terminated(action.id, true, true);
    nodes_.move(session.record.server, action.id, session.attempt);
}

void Engine::execute(const Probe& action) { nodes_.probe(action.server); }

void Engine::execute(const SetTimer& action) {
    const std::uint64_t id = ++last_timer_;
    timers_[id] = loop_.at(action.at, [this, id, timer_id = action.timer_id] {
        timers_.erase(id);
        dispatch_event(TimerExpired{timer_id});
    });
}

void Engine::execute(const SubscribeServerList& action) {
    if (server_list_) server_list_->follow(action.enabled);
}

void Engine::execute(const FetchServerList&) {
    if (server_list_) server_list_->fetch();
}

void Engine::execute(const Log& action) {
    if (on_director_log) on_director_log(action.text);
}

}  // namespace ivyfield::core
