// The session engine. It owns a Director (the decision module) and the table of sessions and attempts,
// translates what the ports report into events, and carries out the module's actions as calls on the ports.
// It makes no decisions itself: server, rung, wait, rejection and retry are the decision module's.
//
// States of a session, from open_session() to its end:
//   queued       not answered yet, no attempt pending
//   pending      not answered yet, one attempt pending
//   established  answered; its attempt plays
//   detached     answered without being established (its requests withdrawn, or failed), its attempt is still
//                pending
//
// An attempt that ended without proof that the node holds nothing of it is unreleased: the decision module
// goes on counting it under an id of its own, as an adopted session that nobody waits for, until the node
// port reports it released. So no seat, stream or link capacity is assigned twice on an assumption.
//
// A violated invariant (an action for a session that does not exist, a second attempt while one is pending,
// a second answer, a non-idempotent set-up repeated without proof that it never ran) throws
// InvariantViolation with the session's history. In production it fails that session alone, which is
// counted and reported with its history; in a build with IVYFIELD_CHECKS it reaches the caller.
#pragma once

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <stdexcept>
#include <vector>

#include "core/ports.hpp"
#include "decide/repeated_setup.hpp"
#include "io/loop.hpp"

namespace ivyfield::core {

// A programming error in the engine or the decision module, attributed to one session; what() contains the
// session's history.
class InvariantViolation : public std::logic_error {
  public:
    InvariantViolation(SessionId session, const std::string& what)
        : std::logic_error(what), session_(session) {}
    SessionId session() const { return session_; }

  private:
    SessionId session_;
};

// Default of EngineLimits::throw_on_violation.
#ifdef IVYFIELD_CHECKS
constexpr bool kThrowOnViolation = true;
#else
constexpr bool kThrowOnViolation = false;
#endif

// One attempt of a session, for the log.
struct AttemptRecord {
    ServerId server = 0;
    std::string outcome = "out";  // how it ended, as name(Outcome); "out" until then
    Time elapsed = 0;             // from its sending to its end, ms
};

// The course of one session, for its line in the log when it ends. Times are on the loop's clock; 0: the
// session never got that far.
struct SessionRecord {
    SessionId id = 0;
    ViewerRequest request;
    Answer answer = Answer::abandoned;
    // returning: its viewer had a session here before; moved: and was told to leave that one's node.
    bool answered = false, returning = false, moved = false;
    // Its client ended it at the node while this director's answer was on its way.
    bool end_crossed_answer = false;
    // Set up by an earlier incarnation of this director; its times begin when it was reclaimed.
    bool reclaimed = false;
    Time received_at = 0, first_sent_at = 0, answered_at = 0, ended_at = 0, deadline = 0, retry_after = 0;
    int attempts = 0, rung = 0, rung_changes = 0, joined_requests = 0;
    ServerId server = 0;
    std::vector<AttemptRecord> attempt_records;
    std::string ended_by;  // "node", "player" or "director"
};

// Totals since the start.
struct EngineCounts {
    std::uint64_t accepted = 0, joined = 0, established = 0, rejected = 0, failed = 0, abandoned = 0;
    std::uint64_t attempts = 0, retries = 0, missed_deadlines = 0, ended = 0, reset = 0;
    std::uint64_t reclaimed = 0, not_reclaimed = 0;
    std::uint64_t repeated = 0;  // requests that came again and must not run twice; answered as failed
    std::uint64_t ends_crossing_answers = 0;  // sessions with SessionRecord::end_crossed_answer
    std::uint64_t invariant_violations = 0;   // each fails its session
};

// Bounds on what the engine remembers, and how it treats violations.
struct EngineLimits {
    std::size_t max_remembered_sids = 100000;     // ended sessions kept to recognize returning viewers
    Time sid_retention = 10 * 60 * 1000;          // how long each is kept, ms
    std::size_t max_history_entries = 32;         // most recent entries kept of a session's history
    bool throw_on_violation = kThrowOnViolation;  // false: a violation fails its session alone
};

// Sessions of one director, from request to end. Single-threaded, on the given loop; `loop`, `nodes` and
// `list` must outlive it. `list` may be null where server lists are pushed.
class Engine : public NodeEvents {
  public:
    Engine(io::Loop& loop, const Settings& settings, std::uint64_t seed, NodePort& nodes,
           ServerListPort* list, const EngineLimits& limits = {});
    ~Engine() override;
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    // Called once for each session, when it ends.
    std::function<void(const SessionRecord&)> on_session_record;

    // Called with each log line of the decision module.
    std::function<void(const std::string&)> on_director_log;

    // Called with a violated invariant and its session's history; the session is failed next.
    std::function<void(const std::string&)> on_invariant_violation;

    // Called when an established session has ended or is being moved. `notify_viewer`: its viewer must be
    // told, because it neither ended the session itself nor has been told that it is moved.
    std::function<void(SessionId, bool notify_viewer, bool moved)> on_session_terminated;

    // Requests a session. One with the preassigned id of an earlier request that may have run and must not
    // run twice fails at once. The handler is called once with the answer, possibly within this call, unless
    // the request is withdrawn first. A request with the same sid for the same title joins the existing
    // session: there is no second set-up, and it gets the same answer.
    SessionId open_session(const ViewerRequest& request, AnswerHandler* handler);
    // Withdraws a request whose connection is gone; its handler is not called any more.
    void withdraw_request(SessionId id, AnswerHandler* handler);
    // Takes over a session that already plays and is handed over at the start. False: its id is in use, or
    // its server cannot have so many.
    bool adopt_session(const ViewerRequest& request, ServerId server);
    // Ends an established session at its viewer's request. False: no session with that id is established.
    bool terminate_by_viewer(SessionId id);
    bool has_session(SessionId id) const { return sessions_.count(id) != 0; }
    // For graceful shutdown: every unanswered session, open now or later, is answered by that time.
    void set_answer_deadline(Time deadline);
    // Number of sessions that are not answered yet.
    std::size_t unanswered_sessions() const { return unanswered_count_; }
    // Forwards a server list, or changes to it, to the decision module.
    void update_server_list(const ServerList& list);

    // NodeEvents
    void on_attempt_started(SessionId session, int attempt, const Media& media) override;
    void on_attempt_ended(SessionId session, int attempt, Outcome outcome, const LoadReport& report) override;
    void on_attempt_lost(SessionId session, int attempt, Outcome outcome) override;
    void on_attempt_released(SessionId session, int attempt) override;
    void on_session_note(SessionId session, int attempt, ServerId server, NoteKind kind,
                         double value) override;
    bool reclaim_session(const OrphanedSession& orphan) override;
    void on_node_incarnation(ServerId server, Time started) override;
    void on_probe_result(ServerId server, Outcome outcome, Time elapsed, const LoadReport& report) override;

    const EngineCounts& counts() const { return counts_; }
    const Settings& settings() const { return settings_; }
    std::size_t open_sessions() const { return sessions_.size(); }
    std::size_t established_sessions() const { return established_count_; }
    std::size_t unreleased_attempts() const { return unreleased_attempts_.size(); }

  private:
    enum class State { queued, pending, established, detached };
    struct Session;
    // An unreleased attempt, as the decision module counts it: its substitute session id, server and seat.
    struct UnreleasedAttempt {
        SessionId id;
        ServerId server;
        std::pair<TitleId, int> seat;  // title and class
    };
    // An ended session by which a returning viewer is recognized; `moved`: it was told to come again.
    struct RememberedSid {
        Time expires_at;
        bool moved;
    };

    void dispatch_event(Event event);
    void execute(const SendSetup& action);
    void execute(const Reject& action);
    void execute(const Fail& action);
    void execute(const Cancel& action);
    void execute(const SetRung& action);
    void execute(const Move& action);
    void execute(const Probe& action);
    void execute(const SetTimer& action);
    void execute(const SubscribeServerList& action);
    void execute(const FetchServerList& action);
    void execute(const Log& action);

    template <typename Step>
    void contain_violations(const Step& step);
    void handle_violation(const InvariantViolation& violation);
    void fail_session(SessionId id);
    void handle_attempt_started(Session& session, const Media& media);
    Session& require_session(SessionId id, const char* action);
    [[noreturn]] void throw_violation(const Session& session, const std::string& what) const;
    void record_history(Session& session, std::string what);
    void deliver_answer(Session& session, Answer answer);
    void handle_attempt_end(Session& session, Outcome outcome, const LoadReport& report, bool unreleased);
    void track_unreleased_attempt(const Session& session);
    // Counts the session's last attempt, or no longer.
    void adjust_attempt_counts(const Session& session, int delta);
    void adjust_attempt_counts(const std::pair<TitleId, int>& seat, ServerId server, int delta);
    SessionRequest make_session_request(const Session& session) const;
    void handle_deadline(SessionId id);
    void abandon_session(SessionId id);
    void finish_session(SessionId id, const char* ended_by);
    std::string make_request_key(const ViewerRequest& request) const;
    Session& insert_established_session(SessionId id, const ViewerRequest& request, ServerId server,
                                        int attempt, int rung);
    void remember_sid(const Session& session);

    io::Loop& loop_;
    Settings settings_;
    NodePort& nodes_;
    ServerListPort* server_list_;
    EngineLimits limits_;
    Director director_;
    EngineCounts counts_;
    const SessionId id_base_;
    SessionId last_id_;
    std::size_t established_count_ = 0, unanswered_count_ = 0;
    Time answer_deadline_ = std::numeric_limits<Time>::infinity();
    std::map<SessionId, std::unique_ptr<Session>> sessions_;
    // By session and attempt.
    std::map<std::pair<SessionId, int>, UnreleasedAttempt> unreleased_attempts_;
    // Attempts by title and class, where they occupy a seat, and by server; unreleased ones included.
    std::map<std::pair<TitleId, int>, int> seat_counts_;
    std::map<ServerId, int> attempts_by_server_;
    std::map<ServerId, ServerEntry> listed_servers_;   // as last reported to the decision module
    std::map<std::string, SessionId> session_by_key_;  // keys by make_request_key()
    std::map<std::string, RememberedSid> remembered_sids_;
    std::deque<std::pair<Time, std::string>> sid_expiry_queue_;
    decide::RepeatedSetups repeated_setups_;  // requests with preassigned ids
    std::deque<Event> pending_events_;
    bool dispatching_ = false;
    std::map<std::uint64_t, io::Timer> timers_;
    std::uint64_t last_timer_ = 0;
};

}  // namespace ivyfield::core
