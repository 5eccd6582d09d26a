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

// Directors as child processes of this program.
class ProcessHost : public day::DirectorHost {
  public:
    ProcessHost(io::EvLoop& loop, std::string logs) : loop_(loop), logs_(std::move(logs)) {
        folder_ = io::create_temporary_folder();
    }
    ~ProcessHost() override {
        children_.clear();
        io::remove_folder(folder_);
    }
    io::Address reserve(int) override {
        return loop_.listen({"127.0.0.1", 0}, [](auto) {})->address();
    }
    void start(int number, const std::string& config) override {
        const std::string name = "d" + std::to_string(number);
        auto doc = nlohmann::json::parse(config);
        if (!logs_.empty()) doc["log"] = {{"path", logs_ + "/" + name + ".log"}};
        const std::string path = folder_ + "/" + name + ".json";
        io::write_file(path, doc.dump(2));
        children_[number] = std::make_unique<io::Child>(
            std::vector<std::string>{io::executable_path(), "serve", "--config", path},
            logs_.empty() ? folder_ + "/" + name + ".out" : logs_ + "/" + name + ".out");
    }
    void kill(int number) override { children_.at(number)->kill(); }
    void stall(int number, bool on) override { children_.at(number)->stall(on); }
    bool running(int number) override { return children_.at(number)->running(); }
    io::Time slack() const override { return 60; }

  private:
    io::EvLoop& loop_;
    std::string logs_, folder_;
    std::map<int, std::unique_ptr<io::Child>> children_;
};

// Directors as processes of a virtual world.
class WorldHost : public day::DirectorHost {
  public:
    explicit WorldHost(io::World& world) : world_(world) {}
    ~WorldHost() override {
        for (auto& [number, one] : running_) stop(one);
    }
    io::Address reserve(int number) override {
        return {"127.0.0.1", static_cast<std::uint16_t>(8001 + number)};
    }
    void start(int number, const std::string& config) override {
        const config::Loaded loaded = config::load(config);
        if (!loaded.faults.empty()) throw std::runtime_error("a director's configuration has faults");
        One one;
        one.loop = &world_.start("d" + std::to_string(number));
        const std::uint64_t seed = one.loop->random()();
        one.director = std::make_unique<DirectorProcess>(*one.loop, loaded.config, seed);
        running_[number] = std::move(one);
    }
    void kill(int number) override {
        stop(running_.at(number));
        running_.erase(number);
    }
    void stall(int number, bool on) override { world_.stall(*running_.at(number).loop, on); }
    bool running(int number) override { return running_.count(number) != 0; }
    io::Time slack() const override { return 5; }

  private:
    struct One {
        io::VirtualLoop* loop = nullptr;
        std::unique_ptr<DirectorProcess> director;
    };
    void stop(One& one) {
        world_.kill(*one.loop);
        one.director.reset();
    }
    io::World& world_;
    std::map<int, One> running_;
};

void write_out(const day::Report& report, const std::vector<standins::Tap>& taps, const DayOptions& options) {
    if (!options.report.empty()) io::write_file(options.report, report.json().dump(2) + "\n");
    if (options.taps.empty()) return;
    std::string lines;
    for (const standins::Tap& t : taps)
        lines += nlohmann::ordered_json{{"at", t.at},           {"what", t.what},
                                        {"where", t.where},     {"director", t.director},
                                        {"session", t.session}, {"attempt", t.attempt},
                                        {"sid", t.sid},         {"class", t.cls},
                                        {"title", t.title},     {"rung", t.rung},
                                        {"status", t.status},   {"answer", t.answer},
                                        {"text", t.text}}
                     .dump() +
                 "\n";
    io::write_file(options.taps, lines);
}

}  // namespace

day::Report play_day(const day::DayFile& file, std::uint64_t seed, const DayOptions& options) {
    io::EvLoop loop(seed);
    ProcessHost host(loop, options.logs);
    day::Report result;
    bool over = false;
    day::Day day(loop, file, seed, host, 1500, [&](const day::Report& report) {
        result = report;
        over = true;
        loop.stop();
    });
    // A day that is broken off takes its directors along.
    for (const int number : {SIGINT, SIGTERM}) loop.on_signal(number, [&] { loop.stop(); });
    loop.run();
    if (!over) throw std::runtime_error("the day was broken off");
    write_out(result, day.taps(), options);
    return result;
}

day::Report play_virtual_day(const day::DayFile& file, std::uint64_t seed, const DayOptions& options) {
    io::World world(seed);
    io::VirtualLoop& rig = world.start("rig");
    WorldHost host(world);
    day::Report result;
    bool over = false;
    day::Day day(rig, file, seed, host, 1500, [&](const day::Report& report) {
        result = report;
        over = true;
    });
    while (!over && world.step()) {
    }
    if (!over) throw std::runtime_error("the day stands still before its end");
    write_out(result, day.taps(), options);
    return result;
}

}  // namespace ivyfield::cli
