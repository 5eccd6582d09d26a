// A day played from a file through real directors: list, nodes and players are stand-ins on one loop, the
// directors run wherever a DirectorHost puts them (processes on sockets, or a virtual world's loops).
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

struct FaultSpec {
    std::string kind, tenant;
    io::Time at = 0, length = 0;
    std::vector<int> nodes, directors;
    int rack = 0;
    double value = 0;
};
struct NodeGroup {
    int count = 1, rack = 0;
    std::string kind;
    double weight = 1;
    bool cold = false, up = true;
};
struct Arrivals {
    std::string cls, tenant;
    double per_s = 0;
    io::Time min_duration = 0, max_duration = 0;
    int titles = 20;
};
struct Scenario {
    std::string name;
    std::uint64_t seed = 1;
    io::Time length = 0;
    int directors = 1;
    nlohmann::json director;  // parts of a director's configuration
    std::vector<NodeGroup> nodes;
    std::vector<double> racks_kb;
    io::Time min_setup_time = 30, max_setup_time = 120, list_delay = 0, report_interval = 500;
    std::vector<Arrivals> arrivals;
    double come_again = 0.85, min_return_delay = 1600, max_return_delay = 2900;
    std::map<std::string, double> hints;
    double ask_twice = 0, leave_early = 0;
    std::vector<FaultSpec> faults;
};
const char* scenario_schema_text();
struct LoadedScenario {
    Scenario day;
    std::vector<config::ConfigError> faults;
};
LoadedScenario load_scenario(const std::string& text);

class DirectorHost {
  public:
    virtual ~DirectorHost() = default;
    // An address at which a director may listen, its own for the whole day.
    virtual io::Address reserve_address(int number) = 0;
    virtual void start(int number, const std::string& config) = 0;
    virtual void kill(int number) = 0;
    virtual void set_stalled(int number, bool on) = 0;
    virtual bool is_running(int number) = 0;
    // What sockets, scheduling and the taps' own place may add to a time
    // (audit::RuleLimits::network_tolerance).
    virtual io::Time timing_tolerance() const = 0;
};

struct SessionTotals {
    int viewers = 0, started = 0, in_time = 0, refused = 0, failed = 0, broke = 0, abandoned = 0, tries = 0;
    double offered = 0, earned = 0;
};
struct Report {
    std::string name;
    std::uint64_t seed = 0;
    std::map<std::string, SessionTotals> by_class, by_tenant;
    SessionTotals all;
    int setups = 0, further_attempts = 0, completed_setups = 0, duplicate_requests = 0;
    std::map<std::string, int> fault_counts;
    std::vector<std::string> exited_directors;  // directors that ended by themselves
    audit::AuditResult verdict;
    bool has_passed() const { return verdict.violations.empty() && exited_directors.empty(); }
    std::string table() const;
    nlohmann::json json() const;
};

class ScenarioRunner {
  public:
    // `ready_after`: what the directors need to start and hear of the list before the first viewer comes.
    ScenarioRunner(io::Loop& loop, Scenario file, std::uint64_t seed, DirectorHost& host,
                   io::Time ready_after, std::function<void(const Report&)> done);
    ~ScenarioRunner();
    const std::vector<standins::SocketEvent>& taps() const { return taps_; }

  private:
    struct Box {
        std::unique_ptr<standins::NodeEmulator> node;
        standins::ListedServer listed;
        bool up = false;
    };
    void begin();
    void next_arrival(std::size_t of);
    void arrive(const Arrivals& a);
    std::pair<std::string, io::Address> pick_director();
    void fault(const FaultSpec& f);
    void after(io::Time wait, std::function<void()> task);
    void start_director(int number);
    void kill_director(int number);
    std::string config_of(int number) const;
    std::string director_name(int number) const { return "d" + std::to_string(number); }
    void look();
    void finish();

    io::Loop& loop_;
    Scenario file_;
    std::uint64_t seed_;
    DirectorHost& host_;
    std::function<void(const Report&)> done_;
    std::mt19937_64 random_;
    std::vector<standins::SocketEvent> taps_;
    std::vector<audit::Outage> outages_;
    std::map<int, std::size_t> down_since_;  // director, its outage
    std::unique_ptr<fleet::Fleet> fleet_;
    std::unique_ptr<standins::ServerListEmulator> list_;
    std::vector<Box> boxes_;
    std::vector<io::Address> director_at_;
    http::Client client_;
    std::map<std::uint64_t, std::unique_ptr<standins::PlayerEmulator>> viewers_;
    std::uint64_t last_viewer_ = 0;
    std::map<std::uint64_t, io::Timer> tasks_;
    std::uint64_t last_task_ = 0;
    io::Timer look_;
    std::vector<io::Timer> arrivals_;
    double burst_ = 1;
    std::map<std::string, double> tenant_burst_;
    io::Time began_ = 0;
    Report report_;
    bool over_ = false;
};

}  // namespace ivyfield::day
