// The session engine: owns a Director (the decision module) and the table of sessions and attempts, turns
// what the ports tell into events and the module's actions into calls on the ports. It decides nothing: which
// server, rung, wait, refusal or retry is the module's word.
//
// A session lives from open() to its end:
//   held      owed an answer, no attempt out
//   out       owed an answer, one attempt out
//   playing   answered; its attempt plays
//   left      nobody waits any more (abandoned), its attempt is still out
// An attempt that ended without proof that the node holds nothing of it goes on in the module's books under
// an id of its own (an adopted session that nobody waits for) until the node port says that it is released:
// no seat, stream or link room is given twice on a guess.
// A slip of our own (an action for a session that never was, a second attempt while one is out, an answer
// twice, a paid set-up repeated without proof) throws Slip with the session's history. In service it fails
// that session alone, which is counted and told with its history; built with IVYFIELD_CHECKS it reaches the
// caller.
#pragma once

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <stdexcept>
#include <vector>

#include "core/ports.hpp"
#include "io/loop.hpp"

namespace ivyfield::core {

class InvariantViolation : public std::logic_error {
  public:
    InvariantViolation(SessionId session, const std::string& what)
        : std::logic_error(what), session_(session) {}
    SessionId session() const { return session_; }

  private:
    SessionId session_;
};

#ifdef IVYFIELD_CHECKS
constexpr bool kThrowOnViolation = true;
#else
constexpr bool kThrowOnViolation = false;
#endif

// One attempt: where, how it ended, and how long after its own sending.
struct AttemptRecord {
    ServerId server = 0;
    std::string outcome = "out";
    Time elapsed = 0;
};

// All of one session, for its line in the log when it ends. Times on the loop's clock; 0: never came to it.
struct SessionRecord {
    SessionId id = 0;
    ViewerRequest request;
    Answer answer = Answer::abandoned;
    bool answered = false, returning = false, moved = false;
    bool end_crossed_answer = false;  // its client ended it at the node while our answer was on its way
    bool reclaimed =
        false;  // set up by an earlier life of this director; its phases begin at the taking back
    Time received_at = 0, first_sent_at = 0, answered_at = 0, ended_at = 0, deadline = 0, retry_after = 0;
    int attempts = 0, rung = 0, rung_changes = 0, joined_requests = 0;
    ServerId server = 0;
    std::vector<AttemptRecord> attempt_records;
    std::string ended_by;  // "node", "player", "director"
};

struct EngineCounts {
    std::uint64_t accepted = 0, joined = 0, established = 0, rejected = 0, failed = 0, abandoned = 0;
    std::uint64_t attempts = 0, retries = 0, missed_deadlines = 0, ended = 0, reset = 0;
    std::uint64_t reclaimed = 0, not_reclaimed = 0;
    std::uint64_t ends_crossing_answers = 0;
    std::uint64_t invariant_violations = 0;  // sessions failed for a broken invariant
};

struct EngineLimits {
    std::size_t max_remembered_sids = 100000;     // sids of ended sessions, to know who returns
    Time sid_retention = 10 * 60 * 1000;          // and for how long
    std::size_t max_history_entries = 32;         // entries of a session's history, the last ones
    bool throw_on_violation = kThrowOnViolation;  // false: a broken invariant fails its session alone
};

class Engine : public NodeEvents {
  public:
    Engine(io::Loop& loop, const Settings& settings, std::uint64_t seed, NodePort& nodes,
           ServerListPort* list, const EngineLimits& limits = {});
    ~Engine() override;
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    std::function<void(const SessionRecord&)> on_session_record;  // each session, once, when it is over
    std::function<void(const std::string&)> on_director_log;      // the module's own log lines

    // A broken invariant, with its session's history; what it belongs to has failed.
    std::function<void(const std::string&)> on_invariant_violation;

    // A session that stood is over or is moved. `owed`: its viewer is to be told, since it has not ended it
    // itself and has not been told that it is moved.
    std::function<void(SessionId, bool owed, bool moved)> on_session_terminated;

    // A request for a session. The waiter hears its answer, possibly within this call, unless it leaves
    // first. The same sid for the same title joins the session it has: no second set-up, and the same answer.
    SessionId open_session(const ViewerRequest& ask, AnswerHandler* waiter);
    // The waiter's connection is gone; it hears nothing any more.
    void withdraw_request(SessionId id, AnswerHandler* waiter);
    // A session that plays already and is handed over at the start; false: there is one of that number.
    bool adopt_session(const ViewerRequest& ask, ServerId server);
    // Its viewer has ended a session that stands; false: none of that number does.
    bool terminate_by_viewer(SessionId id);
    bool has_session(SessionId id) const { return sessions_.count(id) != 0; }
    // The process ends: whoever is owed an answer, now or later, has it by that time.
    void set_answer_deadline(Time last);
    // Sessions that are owed an answer.
    std::size_t unanswered_sessions() const { return owed_; }
    void update_server_list(const ServerList& list);

    // NodeEvents
    void on_attempt_started(SessionId session, int attempt, const Media& media) override;
    void on_attempt_ended(SessionId session, int attempt, Outcome outcome, const LoadReport& report) override;
    void on_attempt_lost(SessionId session, int attempt, Outcome outcome) override;
    void on_attempt_released(SessionId session, int attempt) override;
    void on_session_note(SessionId session, int attempt, ServerId server, NoteKind kind,
                         double value) override;
    bool reclaim_session(const OrphanedSession& one) override;
    void on_node_incarnation(ServerId server, Time started) override;
    void on_probe_result(ServerId server, Outcome outcome, Time waited, const LoadReport& report) override;

    const EngineCounts& counts() const { return counts_; }
    const Settings& settings() const { return settings_; }
    std::size_t open_sessions() const { return sessions_.size(); }
    std::size_t established_sessions() const { return playing_; }
    std::size_t unreleased_attempts() const { return doubts_.size(); }

  private:
    enum class State { held, out, playing, left };
    struct Session;
    struct Doubt {  // under which id, and where, the module counts it
        SessionId id;
        ServerId server;
        std::pair<TitleId, int> seat;
    };
    struct Remembered {
        Time until;
        bool moved;
    };

    void feed(Event event);
    void carry(const Send& a);
    void carry(const Refuse& a);
    void carry(const Fail& a);
    void carry(const Cancel& a);
    void carry(const SetRung& a);
    void carry(const Move& a);
    void carry(const Probe& a);
    void carry(const SetAlarm& a);
    void carry(const FollowList& a);
    void carry(const FetchList& a);
    void carry(const Log& a);

    template <typename Step>
    void contain_slips(const Step& step);
    void contain(const InvariantViolation& slip);
    void fail_broken(SessionId id);
    void attempt_started(Session& s, const Media& media);
    Session& known(SessionId id, const char* action);
    [[noreturn]] void slip(const Session& s, const std::string& what) const;
    void remark(Session& s, std::string what);
    void answer(Session& s, Answer answer);
    void attempt_over(Session& s, Outcome outcome, const LoadReport& report, bool doubtful);
    void keep_counting(const Session& s);
    void seat(const Session& s, int by);
    SessionRequest request_of(const Session& s) const;
    void deadline_passed(SessionId id);
    void nobody_waits(SessionId id);
    void finish(SessionId id, const char* by);
    std::string key(const ViewerRequest& ask) const;
    Session& take_over(SessionId id, const ViewerRequest& ask, ServerId server, int attempt, int rung);
    void remember(const Session& s);

    io::Loop& loop_;
    Settings settings_;
    NodePort& nodes_;
    ServerListPort* list_;
    EngineLimits limits_;
    Director director_;
    EngineCounts counts_;
    const SessionId first_id_;
    SessionId last_id_;
    std::size_t playing_ = 0, owed_ = 0;
    Time answer_by_ = std::numeric_limits<Time>::infinity();
    std::map<SessionId, std::unique_ptr<Session>> sessions_;
    std::map<std::pair<SessionId, int>, Doubt> doubts_;
    std::map<std::pair<TitleId, int>, int> held_;  // by title and class: attempts that count, doubtful too
    std::map<ServerId, ServerEntry> listed_;       // as the module was told last
    std::map<std::string, SessionId> by_key_;
    std::map<std::string, Remembered> remembered_;
    std::deque<std::pair<Time, std::string>> remembered_order_;
    std::deque<Event> events_;
    bool feeding_ = false;
    std::map<std::uint64_t, io::Timer> alarms_;
    std::uint64_t last_alarm_ = 0;
};

}  // namespace ivyfield::core
