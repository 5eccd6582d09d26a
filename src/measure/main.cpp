// What one director costs, against the same HTTP layer answering a constant; run by scripts/measure.sh. The
// director and the constant server are child processes, so that their CPU and memory are theirs alone; load
// and nodes are here. Figures of two sizes of one run are compared as ratios: the machine's own speed
// cancels.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "config/config.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "io/ev/child.hpp"
#include "io/ev/ev_loop.hpp"
#include "standins/list.hpp"

namespace {

using namespace ivyfield;
using nlohmann::json;

// A node that does nothing but answer: set-ups at once (or never), ends after a while (or never).
class FastNode {
  public:
    FastNode(io::Loop& loop, io::Time plays) : loop_(loop), plays_(plays) {
        http::ServerLimits limits;
        limits.idle_timeout = 600000;
        server_ = std::make_unique<http::Server>(loop, io::Address{}, limits,
                                                 [this](const http::ExchangePtr& e) { serve(e); });
    }
    io::Address address() const { return server_->address(); }
    bool silent = false;
    io::Time plays_for() const { return plays_; }
    void plays(io::Time time) { plays_ = time; }

  private:
    void serve(const http::ExchangePtr& e) {
        const http::Request& r = e->request();
        if (r.path() == "/v1/events") {
            e->start(200, {});
            e->write(
                "{\"event\":\"hello\",\"node\":\"f\",\"boot\":\"1\",\"protocol\":2,\"whole\":true,\"age_ms\":"
                "1e9}\n"
                "{\"event\":\"account\",\"boot\":\"1\",\"seq\":0}\n");
            stream_ = e;
            if (!ticking_) tick();
            return;
        }
        if (r.path() == "/v1/load")
            return e->respond({200, {}, "{\"streams\":1,\"link\":0.01,\"uplink\":0.01}"});
        if (r.method != "POST") return e->respond({204, {}, ""});
        if (r.path() != "/v1/sessions") return e->respond({200, {}, "{}"});  // a release
        if (silent) {
            held_.push_back(e);
            return;
        }
        const json body = json::parse(r.body);
        const std::uint64_t begun = ++seq_;
        const std::string end = json{{"event", "end"},
                                     {"boot", "1"},
                                     {"seq", ++seq_},
                                     {"session", body["session"]},
                                     {"attempt", body["attempt"]},
                                     {"how", "ended"}}
                                    .dump() +
                                "\n";
        e->respond(
            {200,
             {},
             "{\"media\":\"http://127.0.0.1:9/m/\",\"boot\":\"1\",\"seq\":" + std::to_string(begun) + "}"});
        if (plays_ > 0) ends_.emplace_back(loop_.now() + plays_, end);
        if (!ending_ && !ends_.empty()) wait();
    }
    void wait() {
        ending_ = true;
        timer_ = loop_.at(ends_.front().first, [this] {
            ending_ = false;
            std::string lines;
            while (!ends_.empty() && ends_.front().first <= loop_.now() + 5) {
                lines += ends_.front().second;
                ends_.pop_front();
            }
            if (stream_) stream_->write(lines);
            if (!ends_.empty()) wait();
        });
    }
    void tick() {
        ticking_ = true;
        tick_ = loop_.after(1000, [this] {
            if (stream_) stream_->write("{\"event\":\"tick\"}\n");
            tick();
        });
    }
    io::Loop& loop_;
    io::Time plays_;
    std::unique_ptr<http::Server> server_;
    http::ExchangePtr stream_;
    std::vector<http::ExchangePtr> held_;
    std::deque<std::pair<io::Time, std::string>> ends_;
    io::Timer timer_, tick_;
    std::uint64_t seq_ = 0;
    bool ending_ = false, ticking_ = false;
};

// Requests at a steady rate, or so many at once always; waits are of whole answers.
class Load {
  public:
    Load(io::Loop& loop, io::Address to, std::string path)
        : loop_(loop), to_(std::move(to)), path_(std::move(path)), client_(loop, [] {
              http::ClientLimits limits;
              limits.max_connections_per_address = 20000;
              limits.idle_timeout = 600000;
              return limits;
          }()) {}
    void send() {
        const std::uint64_t id = ++last_;
        http::Request r;
        r.target = path_ + "?CMCD=sid%3D%22s" + std::to_string(base_ + id) + "%22%2Csf%3Dh%2Csu";
        http::CallOptions options;
        options.timeout = 0;
        const io::Time began = loop_.now();
        calls_[id] =
            client_.send(to_, std::move(r), std::move(options), [this, id, began](const http::CallResult& c) {
                done += 1;
                good += c.outcome == http::CallOutcome::response && c.response.status == 200;
                waits.push_back(loop_.now() - began);
                const std::shared_ptr<http::Call> keep(std::move(calls_[id]));
                calls_.erase(id);
                if (again_) send();
            });
    }
    void keep(int at_once) {
        again_ = true;
        for (int k = 0; k < at_once; ++k) send();
    }
    void stop() { again_ = false, steady_.stop(); }
    void steady(double per_s) {
        const io::Time began = loop_.now();
        auto sent = std::make_shared<double>(0);
        turn_ = [this, began, sent, per_s] {
            for (const double due = (loop_.now() - began) * per_s / 1000; *sent < due; *sent += 1) send();
            steady_ = loop_.after(1, turn_);
        };
        turn_();
    }
    std::size_t out() const { return calls_.size(); }
    std::size_t connections() const { return client_.open_connections(); }
    double wait_at(double part) {
        if (waits.empty()) return 0;
        std::sort(waits.begin(), waits.end());
        return waits[static_cast<std::size_t>(part * static_cast<double>(waits.size() - 1))];
    }
    void forget() { waits.clear(), done = good = 0, base_ += 1000000; }
    std::uint64_t done = 0, good = 0;
    std::vector<double> waits;

  private:
    io::Loop& loop_;
    io::Address to_;
    std::string path_;
    http::Client client_;
    std::map<std::uint64_t, std::unique_ptr<http::Call>> calls_;
    std::uint64_t last_ = 0, base_ = 0;
    bool again_ = false;
    std::function<void()> turn_;
    io::Timer steady_;
};

struct Rig {
    io::EvLoop loop{1};
    std::string folder = io::create_temporary_folder();
    std::vector<std::unique_ptr<FastNode>> nodes;
    std::unique_ptr<standins::List> list;
    std::unique_ptr<io::Child> director;
    io::Address address;

    Rig(const std::string& program, int count, io::Time plays) {
        list = std::make_unique<standins::List>(loop, io::Address{}, "media", standins::TapSink{});
        for (int k = 0; k < count; ++k) {
            nodes.push_back(std::make_unique<FastNode>(loop, plays));
            standins::Listed one;
            one.id = "f" + std::to_string(k), one.kind = "k", one.position = k;
            one.address = nodes.back()->address();
            list->set(one);
        }
        address = loop.listen({"127.0.0.1", 0}, [](auto) {})->address();
        // Room for all: what is measured is the program, not its refusals.
        const double link = 1e9 / count;
        const json config = {{"name", "m"},
                             {"listen", address.text()},
                             {"seed", 1},
                             {"log", {{"path", folder + "/log"}}},
                             {"players", {{"connections", 50000}, {"idle_ms", 600000}}},
                             {"nodes", {{"connections", 256}, {"silent_ms", 5000}}},
                             {"list", {{"consul", list->address().text()}, {"service", "media"}}},
                             {"fleet",
                              {{"directors", 1},
                               {"kinds", {{{"name", "k"}, {"streams", 1e6}}}},
                               {"rung_kb", {100, 200, 400}},
                               {"rung_worth", {0.3, 0.7, 1}},
                               {"link_kb", link},
                               {"racks", 1},
                               {"rack_kb", 2e9}}},
                             {"rules", {{"probes", true}, {"connect_timeout_ms", 1000}}},
                             {"classes",
                              {{{"name", "c"},
                                {"worth", 1},
                                {"aim_ms", 60000},
                                {"patience_ms", 600000},
                                {"repeat", "harmless"}}}},
                             {"tenants", {{{"name", "t"}}}}};
        io::write_file(folder + "/c.json", config.dump());
        director = std::make_unique<io::Child>(
            std::vector<std::string>{program, "serve", "--config", folder + "/c.json"}, folder + "/out");
        run(1500);
    }
    ~Rig() {
        director.reset();
        io::remove_folder(folder);
    }
    void run(io::Time ms) {
        const io::Timer timer = loop.after(ms, [this] { loop.stop(); });
        loop.run();
    }
};

struct Cost {
    double us = 0, per_s = 0, p50 = 0, p99 = 0;
    std::uint64_t good = 0, done = 0;
};
Cost cost_of(io::EvLoop& loop, io::Child& child, Load& load, io::Time ms) {
    load.forget();
    const double cpu = child.cpu_ms();
    const io::Time began = loop.now();
    const io::Timer timer = loop.after(ms, [&] { loop.stop(); });
    loop.run();
    Cost c;
    c.done = load.done, c.good = load.good;
    c.per_s = static_cast<double>(load.done) / (loop.now() - began) * 1000;
    c.us = (child.cpu_ms() - cpu) * 1000 / static_cast<double>(std::max<std::uint64_t>(1, load.done));
    c.p50 = load.wait_at(0.5), c.p99 = load.wait_at(0.99);
    return c;
}
void print(const char* what, const Cost& c) {
    std::printf("%-34s %8.0f /s %8.1f us CPU each   p50 %7.2f ms  p99 %7.2f ms   %llu of %llu good\n", what,
                c.per_s, c.us, c.p50, c.p99, static_cast<unsigned long long>(c.good),
                static_cast<unsigned long long>(c.done));
    std::fflush(stdout);
}

const std::string kPath = "/v1/watch/t/c/title/master.m3u8";

int constant_server(const std::string& listen) {
    io::raise_file_limit();
    io::EvLoop loop(1);
    http::ServerLimits limits;
    limits.max_connections = 50000;
    const http::Server server(loop, io::Address::parse(listen), limits, [](const http::ExchangePtr& e) {
        http::Response r;
        r.headers.add("Content-Type", "application/vnd.apple.mpegurl");
        r.headers.add("CMSD-Dynamic", "\"ivyfield-m\";mb=800;rd=1");
        r.body = std::string(400, '#');
        e->respond(r);
    });
    loop.run();
    return 0;
}

int measure(const std::string& self, const std::string& program, double seconds) {
    io::raise_file_limit();
    const io::Time span = seconds * 1000;
    Cost constant, full;
    {
        io::EvLoop loop(1);
        const io::Address at = loop.listen({"127.0.0.1", 0}, [](auto) {})->address();
        io::Child server({self, "--constant", at.text()}, "");
        const io::Timer up = loop.after(500, [&] { loop.stop(); });
        loop.run();
        Load load(loop, at, kPath);
        load.keep(64);
        constant = cost_of(loop, server, load, span);
        print("constant answer, 64 at once", constant);
    }
    double base = 0;
    for (const int count : {3, 30, 300}) {
        Rig rig(program, count, 500);
        Load load(rig.loop, rig.address, kPath);
        load.steady(400);
        cost_of(rig.loop, *rig.director, load, 1500);  // warm
        const Cost c = cost_of(rig.loop, *rig.director, load, span);
        print(("director, " + std::to_string(count) + " nodes, 400 a second").c_str(), c);
        if (count == 3) base = c.us;
        else std::printf("  CPU a session over that with 3 nodes: %.2f\n", c.us / base);
        load.stop();
    }
    // The module counts a server's sessions anew at each change there: with few servers and many sessions on
    // each that is what is measured, so both sizes are.
    for (const int count : {3, 30}) {
        Rig rig(program, count, 500);
        Load load(rig.loop, rig.address, kPath);
        load.keep(64);
        cost_of(rig.loop, *rig.director, load, 1000);
        full = cost_of(rig.loop, *rig.director, load, span);
        print(("director, " + std::to_string(count) + " nodes, 64 at once").c_str(), full);
        load.stop();
        std::printf(
            "  CPU of a constant answer over that of a session: %.3f; sessions over constant answers a "
            "second: %.3f\n",
            constant.us / full.us, full.per_s / constant.per_s);
        rig.run(1500);
        Load half(rig.loop, rig.address, kPath);
        half.steady(full.per_s / 2);
        print(("director, " + std::to_string(count) + " nodes, half of that").c_str(),
              cost_of(rig.loop, *rig.director, half, span));
    }
    constexpr int kMany = 10000;
    {
        Rig rig(program, 3, 0);
        const double before = rig.director->memory_kb();
        Load load(rig.loop, rig.address, kPath);
        load.steady(1000);
        cost_of(rig.loop, *rig.director, load, 10000);
        load.stop();
        rig.run(500);
        std::printf("%llu playing sessions: %.2f kB each\n", static_cast<unsigned long long>(load.good),
                    (rig.director->memory_kb() - before) / static_cast<double>(load.good));
        std::fflush(stdout);
    }
    {
        Rig rig(program, 3, 0);
        for (auto& node : rig.nodes) node->silent = true;
        Load load(rig.loop, rig.address, kPath);
        const double before = rig.director->memory_kb();
        load.steady(500);
        rig.run(1400);
        load.stop();
        rig.run(300);
        std::printf("%zu sessions that wait for an answer: %.2f kB each, with their connections\n",
                    load.out(), (rig.director->memory_kb() - before) / static_cast<double>(load.out()));
        std::fflush(stdout);
    }
    {
        Rig rig(program, 3, 0);
        const double before = rig.director->memory_kb();
        struct Quiet : io::StreamHandler {
            std::unique_ptr<io::Stream> stream;
            bool open = false;
            void on_open() override { open = true; }
            void on_data(std::string_view) override {}
            void on_end() override {}
            void on_closed(io::CloseStatus) override { open = false; }
        };
        std::vector<std::unique_ptr<Quiet>> all;
        for (int k = 0; k < kMany; ++k) {
            all.push_back(std::make_unique<Quiet>());
            all.back()->stream = rig.loop.dial(rig.address, 5000, all.back().get());
            if (k % 500 == 499) rig.run(50);
        }
        rig.run(1000);
        const double cpu = rig.director->cpu_ms();
        rig.run(3000);
        const auto open = std::count_if(all.begin(), all.end(), [](const auto& q) { return q->open; });
        std::printf("%ld idle connections: %.2f kB each, %.2f%% of a core\n", static_cast<long>(open),
                    (rig.director->memory_kb() - before) / static_cast<double>(open),
                    (rig.director->cpu_ms() - cpu) / 30);
        Load load(rig.loop, rig.address, kPath);
        load.steady(200);
        print("beside them, 200 a second", cost_of(rig.loop, *rig.director, load, 2000));
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    CLI::App app{"What one director costs; see docs/results/director.md"};
    std::string constant, program;
    double seconds = 5;
    app.add_option("--constant", constant, "only serve a constant answer at this address");
    app.add_option("--program", program, "the ivyfield program to measure");
    app.add_option("--seconds", seconds, "of each measurement")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try {
        if (!constant.empty()) return constant_server(constant);
        return measure(io::executable_path(), program, seconds);
    } catch (const std::exception& e) {
        std::cerr << "ivyfield_measure: " << e.what() << "\n";
        return 1;
    }
}
