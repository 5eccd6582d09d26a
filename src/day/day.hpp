// Plays a scenario from a file against real directors. The server list, nodes and players are emulators on
// one loop; the directors run wherever a DirectorHost puts them (processes on sockets, or loops of a
// simulated world). Times are milliseconds.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "audit/audit.hpp"
#include "config/config.hpp"
#include "fleet/fleet.hpp"
#include "http/client.hpp"
#include "standins/list.hpp"
#include "standins/node.hpp"
#include "standins/player.hpp"

namespace ivyfield::day {

// One injected fault of a scenario; which of the fields count depends on its kind.
struct FaultSpec {
    std::string kind, tenant;
    io::Time start = 0, duration = 0;
    std::vector<int> nodes, directors;
    int rack = 0;
    double value = 0;
};
// Nodes with the same properties.
struct NodeGroup {
    int count = 1, rack = 0;
    std::string kind;
    double weight = 1;
    bool cold = false, up = true;
};
// Players of one class and tenant that arrive at a mean rate.
struct ArrivalSpec {
    std::string cls, tenant;
    double rate_per_s = 0;
    io::Time min_duration = 0, max_duration = 0;
    int title_count = 20;
};
// The contents of a scenario file; see config/day.schema.json.
struct Scenario {
    std::string name;
    std::uint64_t seed = 1;
    io::Time duration = 0;
    int director_count = 1;
    nlohmann::json director_config;  // the parts of a director's configuration that all directors share
    std::vector<NodeGroup> node_groups;
    std::vector<double> racks_kb;
    io::Time min_setup_time = 30, max_setup_time = 120, list_delay = 0, report_interval = 500;
    std::vector<ArrivalSpec> arrivals;
    double return_probability = 0.85, min_return_delay = 1600, max_return_delay = 2900;
    std::map<std::string, double> hint_probabilities;
    double duplicate_probability = 0, leave_probability = 0;
    std::vector<FaultSpec> faults;
};
// The JSON schema of scenario files.
const char* scenario_schema_text();
// The scenario is complete only if there are no errors.
struct LoadedScenario {
    Scenario scenario;
    std::vector<config::ConfigError> errors;
};
// Parses and checks a scenario file; problems are returned in `errors`, not thrown.
LoadedScenario load_scenario(const std::string& text);

// Runs the directors of a scenario, which are identified by their number.
class DirectorHost {
  public:
    virtual ~DirectorHost() = default;
    // Returns an address at which the director may listen during the whole scenario.
    virtual io::Address reserve_address(int number) = 0;
    virtual void start(int number, const std::string& config) = 0;
    virtual void kill(int number) = 0;
    virtual void set_stalled(int number, bool on) = 0;
    virtual bool is_running(int number) = 0;
    // Delay that sockets, scheduling and the place of recording may add to a time
    // (audit::RuleLimits::network_tolerance).
    virtual io::Time timing_tolerance() const = 0;
};

// Totals over the players of a class, of a tenant or of all.
struct SessionTotals {
    int viewers = 0, started = 0, in_time = 0, rejected = 0, failed = 0, errors = 0, abandoned = 0, tries = 0;
    double offered_worth = 0, earned_worth = 0;
};
// The result of a scenario.
struct Report {
    std::string name;
    std::uint64_t seed = 0;
    std::map<std::string, SessionTotals> by_class, by_tenant;
    SessionTotals all;
    int setups = 0, further_attempts = 0, completed_setups = 0, duplicate_requests = 0;
    std::map<std::string, int> fault_counts;
    std::vector<std::string> exited_directors;  // directors that exited without being told to
    audit::AuditResult audit_result;
    bool has_passed() const { return audit_result.violations.empty() && exited_directors.empty(); }
    std::string format_table() const;
    nlohmann::json to_json() const;
};

// Plays one scenario on `loop` and calls `on_finished` once with the report.
class ScenarioRunner {
  public:
    // `ready_after`: how long the directors get to start and fetch the server list before the first viewer.
    ScenarioRunner(io::Loop& loop, Scenario file, std::uint64_t seed, DirectorHost& host,
                   io::Time ready_after, std::function<void(const Report&)> on_finished);
    ~ScenarioRunner();
    const std::vector<standins::SocketEvent>& events() const { return events_; }

  private:
    struct ListedNode {
        std::unique_ptr<standins::NodeEmulator> emulator;
        standins::ListedServer entry;  // the node's entry in the server list
        bool up = false;
    };
    void start_scenario();
    void schedule_arrival(std::size_t index);
    void start_player(const ArrivalSpec& arrival);
    std::pair<std::string, io::Address> pick_director();
    void inject_fault(const FaultSpec& fault);
    void schedule(io::Time wait, std::function<void()> task);
    void start_director(int number);
    void kill_director(int number);
    std::string make_director_config(int number) const;
    std::string director_name(int number) const { return "d" + std::to_string(number); }
    void check_progress();
    void finish();

    io::Loop& loop_;
    Scenario scenario_;
    std::uint64_t seed_;
    DirectorHost& host_;
    std::function<void(const Report&)> on_finished_;
    std::mt19937_64 random_;
    std::vector<standins::SocketEvent> events_;
    std::vector<audit::Outage> outages_;
    std::map<int, std::size_t> open_outages_;  // by director: index of its unfinished outage
    std::unique_ptr<fleet::Fleet> fleet_;
    std::unique_ptr<standins::ServerListEmulator> server_list_;
    std::vector<ListedNode> nodes_;
    std::vector<io::Address> director_addresses_;
    http::Client client_;
    std::map<std::uint64_t, std::unique_ptr<standins::PlayerEmulator>> players_;
    std::uint64_t last_player_id_ = 0;
    std::map<std::uint64_t, io::Timer> tasks_;
    std::uint64_t last_task_id_ = 0;
    io::Timer check_timer_;
    std::vector<io::Timer> arrival_timers_;
    double arrival_factor_ = 1;
    std::map<std::string, double> tenant_factors_;
    io::Time started_at_ = 0;
    Report report_;
    bool finished_ = false;
};

}  // namespace ivyfield::day
