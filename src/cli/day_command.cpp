#include "cli/day_command.hpp"

#include <signal.h>

#include <fstream>
#include <stdexcept>

#include "cli/director.hpp"
#include "io/ev/child.hpp"
#include "io/ev/ev_loop.hpp"
#include "io/virtual/world.hpp"

namespace ivyfield::cli {

namespace {

// Runs each director as a child process of this program (`ivyfield serve`).
class ProcessHost : public day::DirectorHost {
  public:
    ProcessHost(io::EvLoop& loop, std::string log_folder) : loop_(loop), log_folder_(std::move(log_folder)) {
        temporary_folder_ = io::create_temporary_folder();
    }
    ~ProcessHost() override {
        children_.clear();
        io::remove_folder(temporary_folder_);
    }
    io::Address reserve_address(int) override {
        return loop_.listen({"127.0.0.1", 0}, [](auto) {})->address();
    }
    void start(int number, const std::string& config) override {
        const std::string name = "d" + std::to_string(number);
        auto doc = nlohmann::json::parse(config);
        if (!log_folder_.empty()) doc["log"] = {{"path", log_folder_ + "/" + name + ".log"}};
        const std::string path = temporary_folder_ + "/" + name + ".json";
        io::write_file(path, doc.dump(2));
        children_[number] = std::make_unique<io::Child>(
            std::vector<std::string>{io::executable_path(), "serve", "--config", path},
            log_folder_.empty() ? temporary_folder_ + "/" + name + ".out"
                                : log_folder_ + "/" + name + ".out");
    }
    void kill(int number) override { children_.at(number)->kill(); }
    void set_stalled(int number, bool on) override { children_.at(number)->stall(on); }
    bool is_running(int number) override { return children_.at(number)->running(); }
    io::Time timing_tolerance() const override { return 60; }

  private:
    io::EvLoop& loop_;
    std::string log_folder_, temporary_folder_;
    std::map<int, std::unique_ptr<io::Child>> children_;
};

// Runs the directors in this process, on loops of a simulated network.
class SimulatedHost : public day::DirectorHost {
  public:
    explicit SimulatedHost(io::World& world) : world_(world) {}
    ~SimulatedHost() override {
        for (auto& [number, director] : directors_) stop(director);
    }
    io::Address reserve_address(int number) override {
        return {"127.0.0.1", static_cast<std::uint16_t>(8001 + number)};
    }
    void start(int number, const std::string& config) override {
        const config::LoadResult loaded = config::load(config);
        if (!loaded.errors.empty()) throw std::runtime_error("the configuration of a director has errors");
        SimulatedDirector simulated;
        simulated.loop = &world_.start("d" + std::to_string(number));
        const std::uint64_t seed = simulated.loop->random()();
        simulated.director = std::make_unique<DirectorProcess>(*simulated.loop, loaded.config, seed);
        directors_[number] = std::move(simulated);
    }
    void kill(int number) override {
        stop(directors_.at(number));
        directors_.erase(number);
    }
    void set_stalled(int number, bool on) override { world_.stall(*directors_.at(number).loop, on); }
    bool is_running(int number) override { return directors_.count(number) != 0; }
    io::Time timing_tolerance() const override { return 5; }

  private:
    struct SimulatedDirector {
        io::VirtualLoop* loop = nullptr;
        std::unique_ptr<DirectorProcess> director;
    };
    void stop(SimulatedDirector& simulated) {
        world_.kill(*simulated.loop);
        simulated.director.reset();
    }
    io::World& world_;
    std::map<int, SimulatedDirector> directors_;
};

void write_outputs(const day::Report& report, const std::vector<standins::SocketEvent>& taps,
                   const DayOptions& options) {
    if (!options.report_path.empty()) io::write_file(options.report_path, report.to_json().dump(2) + "\n");
    if (options.tap_path.empty()) return;
    std::string lines;
    for (const standins::SocketEvent& tap : taps)
        lines += nlohmann::ordered_json{{"at", tap.at},           {"what", tap.type},
                                        {"where", tap.source},    {"director", tap.director},
                                        {"session", tap.session}, {"attempt", tap.attempt},
                                        {"sid", tap.sid},         {"class", tap.cls},
                                        {"title", tap.title},     {"rung", tap.rung},
                                        {"status", tap.status},   {"answer", tap.outcome},
                                        {"text", tap.details}}
                     .dump() +
                 "\n";
    io::write_file(options.tap_path, lines);
}

}  // namespace

day::Report play_day(const day::Scenario& file, std::uint64_t seed, const DayOptions& options) {
    io::EvLoop loop(seed);
    ProcessHost host(loop, options.log_folder);
    day::Report result;
    bool finished = false;
    day::ScenarioRunner day(loop, file, seed, host, 1500, [&](const day::Report& report) {
        result = report;
        finished = true;
        loop.stop();
    });
    // On a signal the loop ends and `host` goes out of scope, which ends the child processes too.
    for (const int number : {SIGINT, SIGTERM}) loop.on_signal(number, [&] { loop.stop(); });
    loop.run();
    if (!finished) throw std::runtime_error("the day was interrupted by a signal");
    write_outputs(result, day.events(), options);
    return result;
}

day::Report play_virtual_day(const day::Scenario& file, std::uint64_t seed, const DayOptions& options) {
    io::World world(seed);
    io::VirtualLoop& day_loop = world.start("rig");
    SimulatedHost host(world);
    day::Report result;
    bool finished = false;
    day::ScenarioRunner day(day_loop, file, seed, host, 1500, [&](const day::Report& report) {
        result = report;
        finished = true;
    });
    while (!finished && world.step()) {
    }
    if (!finished) throw std::runtime_error("the day has not ended, but no event is left in the simulation");
    write_outputs(result, day.events(), options);
    return result;
}

}  // namespace ivyfield::cli
