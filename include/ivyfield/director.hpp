// The interface of ivyfield: settings, events and actions of one director, and the class that turns the
// one into the other. All decisions are in src/rules.cpp; nothing here has a default that decides anything.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ivyfield {

using Time = double;             // milliseconds of the director's clock
using ServerId = std::uint64_t;  // opaque; can be ordered, tells nothing
using SessionId = std::uint64_t;
using TitleId = std::uint64_t;

// What a repeated set-up of a session does.
enum class Idempotency {
    idempotent,     // may be sent again at any time
    keyed,          // may be sent again within its group and window after an attempt that may have run
    non_idempotent  // may be sent again or refused only when every earlier attempt provably never ran
};
// Where a keyed session may be sent again.
enum class RetryScope { anywhere, same_zone, same_cell };

struct ClassSettings {
    std::string name;
    double worth = 0;         // of one second at a rung of worth 1
    Time startup_target = 0;  // wanted playing within
    Time patience = 0;        // the viewer waits so long
    Idempotency idempotency = Idempotency::idempotent;
    RetryScope retry_scope = RetryScope::anywhere;
    Time retry_window = 0;
    int min_rung = 0;        // lowest rung that may be set
    int max_rung = 0;        // highest rung
    double rate_factor = 0;  // its rates over those of the ladder
    int seats = 0;           // sessions of one title that a director may hold; 0: no cap
    bool live = false;
};
struct TenantSettings {
    std::string name;
    double quota_per_s = 0;  // requests a second inside its share, over all directors; 0: not stated
    double share = 0;
};
struct RetryBudgetSettings {  // further attempts allowed in any window
    double retries_per_request = 0;
    double free_retries = 0;
    Time window = 0;
};
enum class ReportField {
    streams,
    queue,
    link_capped,
    setup_ms,
    setups_per_s,
    errors_per_s,
    link,
    uplink,
    other
};

struct Settings {
    int directors = 1, self_index = 0, zone = 0;
    bool list_on_request = false;
    bool can_probe = false, can_cancel = false, use_weights = false;
    int max_attempts = 0;
    Time max_retry_after = 0;  // 0: viewers are not told when to come back
    Time connect_timeout = 0, answer_slack = 0;
    Time drain_stop_within = 0, max_list_poll_interval = 0;
    double initial_warmth = 1, overload_multiple = 0;  // fall_multiple 0: no such rule
    Time warmup_time = 0, overload_window = 0;
    std::optional<RetryBudgetSettings> retry_budget;
    int cells = 0, racks = 0;
    std::vector<double> max_streams_by_kind;
    double fleet_kb = 0, rack_kb = 0, link_kb = 0;  // kB a second
    double full_utilization = 0;  // share of a link at which servers answer "full"; 0: never
    double join_rate_factor = 1;  // what a further viewer of a live title adds to its stream
    std::vector<double> rung_kb, rung_worth;
    double shortfall_penalty = 0;  // points of worth lost for each point of rate missing
    Time note_delay = 0, link_note_interval = 0;
    double switch_cost_s = 0;  // a change of rung costs so many seconds of worth
    double over_share_worth = 1;
    double cross_zone_price = 0, probe_price = 0, move_price = 0;
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    std::vector<ReportField> report_fields;
};

using LoadReport = std::vector<float>;  // ordered as Settings::report_fields; empty: none

// Events.
enum class ServerState { gone, ready, draining };
struct ServerEntry {
    ServerId id = 0;
    int position = 0;
    double weight = 0;
    Time last_start = 0;  // 0: long ago
    int zone = 0, kind = 0;
    ServerState state = ServerState::ready;
};
enum class ListKind { changes, full, saved, failed };
struct ServerList {
    ListKind kind = ListKind::full;
    std::vector<ServerEntry> entries;
};
struct SessionRequest {
    SessionId id = 0;
    int cls = 0, tenant = 0;
    std::uint64_t viewer = 0;
    TitleId title = 0;
    Time deadline = 0;
    std::optional<Time> length_hint;
    int first_cell = 0, cell_count = 0, top_rung = 0;
    bool moved = false, returning = false;
};
struct SessionAdopted {
    SessionRequest request;
    ServerId server = 0;
};
struct SessionEstablished {
    SessionId id = 0;
    int attempt = 0;
    ServerId server = 0;
    Time elapsed = 0;
};
enum class Outcome { ended, error, full, timed_out, not_connected, reset, cancelled, not_sent };
struct AttemptEnded {
    SessionId id = 0;
    int attempt = 0;
    ServerId server = 0;
    Outcome outcome = Outcome::ended;
    Time elapsed = 0;
    bool session_ended = false;
    LoadReport report;
};
enum class NoteKind { delivered_share, rung, link, uplink, other };
struct SessionNote {
    SessionId id = 0;
    int attempt = 0;
    ServerId server = 0;
    NoteKind kind = NoteKind::other;
    double value = 0;
};
struct SessionAbandoned {
    SessionId id = 0;
};
struct TimerExpired {
    std::uint64_t timer_id = 0;
};
struct ProbeCompleted {
    ServerId server = 0;
    Outcome outcome = Outcome::ended;
    Time elapsed = 0;
    LoadReport report;
};
using Event = std::variant<ServerList, SessionRequest, SessionAdopted, SessionEstablished, AttemptEnded,
                           SessionNote, SessionAbandoned, TimerExpired, ProbeCompleted>;

// Actions.
struct SendSetup {
    SessionId id;
    ServerId server;
    Time expires;
};
struct Reject {
    SessionId id;
    Time retry_after;
};
struct Fail {
    SessionId id;
};
struct Cancel {
    SessionId id;
    int attempt;
};
struct SetRung {
    SessionId id;
    int rung;
};
struct Move {
    SessionId id;
};
struct Probe {
    ServerId server;
};
struct SetTimer {
    std::uint64_t timer_id;
    Time at;
};
struct SubscribeServerList {
    bool enabled;
};
struct FetchServerList {};
struct Log {
    std::string text;
};
using Action = std::variant<SendSetup, Reject, Fail, Cancel, SetRung, Move, Probe, SetTimer,
                            SubscribeServerList, FetchServerList, Log>;

class Director {
  public:
    Director(const Settings& settings, std::uint64_t seed);
    ~Director();
    Director(Director&&) noexcept;
    Director& operator=(Director&&) noexcept;

    // Takes one event and appends what is to be done. The clock never goes back.
    void handle(Time now, const Event& event, std::vector<Action>& actions);

  private:
    class Rules;
    std::unique_ptr<Rules> rules_;
};

}  // namespace ivyfield
