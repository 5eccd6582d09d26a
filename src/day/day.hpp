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
    io::Time length_least = 0, length_most = 0;
    int titles = 20;
};
struct DayFile {
    std::string name;
    std::uint64_t seed = 1;
    io::Time length = 0;
    int directors = 1;
    nlohmann::json director;  // parts of a director's configuration
    std::vector<NodeGroup> nodes;
    std::vector<double> racks_kb;
    io::Time setup_least = 30, setup_most = 120, list_late = 0, report_every = 500;
    std::vector<Arrivals> arrivals;
    double come_again = 0.85, again_least = 1600, again_most = 2900;
    std::map<std::string, double> hints;
    double ask_twice = 0, leave_early = 0;
    std::vector<FaultSpec> faults;
};
const char* day_schema_text();
struct LoadedDay {
    DayFile day;
    std::vector<config::ConfigError> faults;
};
LoadedDay load_day(const std::string& text);

class DirectorHost {
  public:
    virtual ~DirectorHost() = default;
    // An address at which a director may listen, its own for the whole day.
    virtual io::Address reserve(int number) = 0;
    virtual void start(int number, const std::string& config) = 0;
    virtual void kill(int number) = 0;
    virtual void stall(int number, bool on) = 0;
    virtual bool running(int number) = 0;
    // What sockets, scheduling and the taps' own place may add to a time (audit::Terms::network_slack).
    virtual io::Time slack() const = 0;
};

struct Row {
    int viewers = 0, started = 0, in_time = 0, refused = 0, failed = 0, broke = 0, abandoned = 0, tries = 0;
    double offered = 0, earned = 0;
};
struct Report {
    std::string name;
    std::uint64_t seed = 0;
    std::map<std::string, Row> by_class, by_tenant;
    Row all;
    int set_ups = 0, further = 0, ran = 0, duplicates_asked = 0;
    std::map<std::string, int> faults;
    std::vector<std::string> died;  // directors that ended by themselves
    audit::Verdict verdict;
    bool good() const { return verdict.breaches.empty() && died.empty(); }
    std::string table() const;
    nlohmann::json json() const;
};

class Day {
  public:
    // `ready_after`: what the directors need to start and hear of the list before the first viewer comes.
    Day(io::Loop& loop, DayFile file, std::uint64_t seed, DirectorHost& host, io::Time ready_after,
        std::function<void(const Report&)> done);
    ~Day();
    const std::vector<standins::Tap>& taps() const { return taps_; }

  private:
    struct Box {
        std::unique_ptr<standins::Node> node;
        standins::Listed listed;
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
    DayFile file_;
    std::uint64_t seed_;
    DirectorHost& host_;
    std::function<void(const Report&)> done_;
    std::mt19937_64 random_;
    std::vector<standins::Tap> taps_;
    std::vector<audit::Outage> outages_;
    std::map<int, std::size_t> down_since_;  // director, its outage
    std::unique_ptr<fleet::Fleet> fleet_;
    std::unique_ptr<standins::List> list_;
    std::vector<Box> boxes_;
    std::vector<io::Address> director_at_;
    http::Client client_;
    std::map<std::uint64_t, std::unique_ptr<standins::Viewer>> viewers_;
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
