// The public interface of ivyfield: the settings, events and actions of one director, and the class that
// turns events into actions. All decisions are made in src/rules.cpp; the defaults here only mark a value as
// absent and decide nothing.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ivyfield {

using Time = double;             // milliseconds of the director's clock
using ServerId = std::uint64_t;  // opaque: can be ordered, but has no meaning beyond that
using SessionId = std::uint64_t;
using TitleId = std::uint64_t;

// Whether the set-up of a session may be sent again.
enum class Idempotency {
    idempotent,     // may be sent again at any time
    keyed,          // after an attempt that may have run: only within its retry scope and retry window
    non_idempotent  // may be sent again or rejected only when every earlier attempt provably never ran
};
// Servers to which a keyed session may be sent again.
enum class RetryScope { anywhere, same_zone, same_cell };

// Settings of one class of sessions.
struct ClassSettings {
    std::string name;
    double worth = 0;         // of one second of play at a rung of worth 1
    Time startup_target = 0;  // a session should play within this time of its request
    Time patience = 0;        // the viewer gives up after this time
    Idempotency idempotency = Idempotency::idempotent;
    RetryScope retry_scope = RetryScope::anywhere;
    Time retry_window = 0;   // for keyed classes, since the last attempt was sent
    int min_rung = 0;        // lowest rung that may be set
    int max_rung = 0;        // highest rung that may be set
    double rate_factor = 0;  // rates of this class relative to those of the ladder (Settings::rung_kb)
    int seats = 0;           // maximum number of sessions of one title that a director may hold; 0: no limit
    bool live = false;
};
struct TenantSettings {
    std::string name;
    double quota_per_s = 0;  // requests a second inside its share, over all directors; 0: not stated
    double share = 0;        // as configured; src/rules.cpp does not use it
};
// Limit on attempts after the first of a session, in any period of length `window`.
struct RetryBudgetSettings {
    double retries_per_request = 0;  // retries earned by each request in the window
    double free_retries = 0;         // retries allowed on top of that
    Time window = 0;
};
// What a value of a load report measures. Links and uplinks are reported as a fraction of their capacity.
enum class ReportField {
    streams,
    queue,
    link_capped,  // like link, but never above 1
    setup_ms,
    setups_per_s,
    errors_per_s,
    link,
    uplink,
    other
};

// Settings of one director and of the fleet that it shares with others. Rates are in kB a second.
struct Settings {
    int directors = 1, self_index = 0, zone = 0;  // number of directors; index and zone of this one
    bool list_on_request = false;                 // the server list comes only when it is asked for
    // Servers can be probed; attempts can be cancelled; link capacity depends on ServerEntry::weight.
    bool can_probe = false, can_cancel = false, use_weights = false;
    int max_attempts = 0;      // per session
    Time max_retry_after = 0;  // 0: viewers are not told when to come back
    // Limit for connecting to a server; how long after its deadline a request must be answered at the latest.
    Time connect_timeout = 0, answer_slack = 0;
    // How long after a server is listed as draining or gone set-ups to it must have stopped; how often the
    // list must be asked for where it comes on request.
    Time drain_stop_within = 0, max_list_poll_interval = 0;
    // A server that has just started takes initial_warmth of a warm server's set-up rate, rising to all of it
    // in warmup_time. Until then it fails at more than overload_multiple times its rate within
    // overload_window; overload_multiple 0: there is no such limit.
    double initial_warmth = 1, overload_multiple = 0;
    Time warmup_time = 0, overload_window = 0;
    std::optional<RetryBudgetSettings> retry_budget;
    int cells = 0, racks = 0;                 // number in the fleet; see ServerEntry::position
    std::vector<double> max_streams_by_kind;  // capacity in streams, by ServerEntry::kind
    // Capacity of the fleet, of one rack's uplink, and of the link of a server of weight 1.
    double fleet_kb = 0, rack_kb = 0, link_kb = 0;
    double full_utilization = 0;  // link utilization from which servers answer "full"; 0: they never do
    double join_rate_factor = 1;  // part of its rate that a further viewer of a live title adds
    std::vector<double> rung_kb, rung_worth;  // the ladder: rate and worth of each rung
    double shortfall_penalty = 0;             // points of worth lost for each point of rate missing
    // Age of the state that a session note describes; time between the link notes of a session.
    Time note_delay = 0, link_note_interval = 0;
    double switch_cost_s = 0;     // a change of rung costs so many seconds of worth
    double over_share_worth = 1;  // factor on the worth of requests beyond their tenant's share
    double cross_zone_price = 0, probe_price = 0, move_price = 0;
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    std::vector<ReportField> report_fields;  // the fields of a load report, in order
};

using LoadReport = std::vector<float>;  // ordered as Settings::report_fields; empty: no report

// ---- Events ----

enum class ServerState { gone, ready, draining };
// One server of the list.
struct ServerEntry {
    ServerId id = 0;
    int position = 0;     // modulo Settings::cells its cell, modulo Settings::racks its rack
    double weight = 0;    // link capacity relative to Settings::link_kb
    Time last_start = 0;  // 0: long ago
    int zone = 0, kind = 0;
    ServerState state = ServerState::ready;
};
enum class ListKind {
    changes,  // only the servers that changed
    full,     // the whole list
    saved,    // the whole list as saved earlier; it may be outdated
    failed    // the list could not be obtained; no entries
};
struct ServerList {
    ListKind kind = ListKind::full;
    std::vector<ServerEntry> entries;
};
// A viewer asks for a session. It is owed one answer: a placement, Reject or Fail.
struct SessionRequest {
    SessionId id = 0;
    int cls = 0, tenant = 0;  // indices into Settings::classes and Settings::tenants
    std::uint64_t viewer = 0;
    TitleId title = 0;
    Time deadline = 0;
    std::optional<Time> length_hint;  // expected time of play
    // The servers of cell_count cells, from first_cell on and cyclically, hold the title; top_rung is the
    // highest rung that the viewer can play.
    int first_cell = 0, cell_count = 0, top_rung = 0;
    bool moved = false, returning = false;  // comes after a move; was requested before
};
// A session that already plays at a server and counts for this director from now on.
struct SessionAdopted {
    SessionRequest request;
    ServerId server = 0;
};
// A server has answered a set-up: the session plays.
struct SessionEstablished {
    SessionId id = 0;
    int attempt = 0;
    ServerId server = 0;
    Time elapsed = 0;  // since the set-up was sent
};
// How an attempt or a probe ended. After full, not_connected and not_sent the set-up provably never ran.
enum class Outcome { ended, error, full, timed_out, not_connected, reset, cancelled, not_sent };
struct AttemptEnded {
    SessionId id = 0;
    int attempt = 0;
    ServerId server = 0;
    Outcome outcome = Outcome::ended;
    Time elapsed = 0;            // since the set-up was sent
    bool session_ended = false;  // the session ends with this attempt
    LoadReport report;
};
// What a note measures: the fraction of the requested rate that was delivered, the rung that is played, or
// the utilization of the server's link or of its rack's uplink.
enum class NoteKind { delivered_share, rung, link, uplink, other };
// What a server reports about a session that it plays.
struct SessionNote {
    SessionId id = 0;
    int attempt = 0;
    ServerId server = 0;
    NoteKind kind = NoteKind::other;
    double value = 0;
};
// The viewer has withdrawn its request; no answer is owed any more.
struct SessionAbandoned {
    SessionId id = 0;
};
struct TimerExpired {
    std::uint64_t timer_id = 0;
};
// A probe was answered (Outcome::ended) or failed.
struct ProbeCompleted {
    ServerId server = 0;
    Outcome outcome = Outcome::ended;
    Time elapsed = 0;  // since the probe was sent
    LoadReport report;
};
using Event = std::variant<ServerList, SessionRequest, SessionAdopted, SessionEstablished, AttemptEnded,
                           SessionNote, SessionAbandoned, TimerExpired, ProbeCompleted>;

// ---- Actions ----

// Starts an attempt. One that is not answered at `expires` ends as timed out.
struct SendSetup {
    SessionId id;
    ServerId server;
    Time expires;
};
// Answers the request with a rejection; the viewer may ask again after `retry_after` (0: no time is told).
struct Reject {
    SessionId id;
    Time retry_after;
};
// Answers the request with a failure: an attempt that must not be repeated may have run.
struct Fail {
    SessionId id;
};
struct Cancel {
    SessionId id;
    int attempt;
};
// Sets the rung of the session's next attempt or, where it plays, changes it.
struct SetRung {
    SessionId id;
    int rung;
};
// Takes a playing session off its server; its viewer is to ask again.
struct Move {
    SessionId id;
};
// Asks a server for a load report.
struct Probe {
    ServerId server;
};
// Asks for TimerExpired at `at`. Timers cannot be cancelled.
struct SetTimer {
    std::uint64_t timer_id;
    Time at;
};
// Turns on or off the delivery of changes of the server list.
struct SubscribeServerList {
    bool enabled;
};
// Asks for the server list once.
struct FetchServerList {};
struct Log {
    std::string text;
};
using Action = std::variant<SendSetup, Reject, Fail, Cancel, SetRung, Move, Probe, SetTimer,
                            SubscribeServerList, FetchServerList, Log>;

// Decides for one director. It is deterministic: the same settings, seed and events give the same actions.
class Director {
  public:
    Director(const Settings& settings, std::uint64_t seed);
    ~Director();
    Director(Director&&) noexcept;
    Director& operator=(Director&&) noexcept;

    // Handles one event and appends the resulting actions. `now` must not decrease between calls.
    void handle(Time now, const Event& event, std::vector<Action>& actions);

  private:
    class Rules;
    std::unique_ptr<Rules> rules_;
};

}  // namespace ivyfield
