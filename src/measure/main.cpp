// Measures the CPU time and the memory of one director, compared with a server on the same HTTP layer whose
// answer is constant; run by scripts/measure.sh. The director and the constant server are child processes, so
// that their CPU time and memory can be measured on their own; the load and the media nodes run in this
// process. Figures of two sizes of one run are compared as ratios, in which the speed of the machine cancels
// out.
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

// A media node that only answers: set-ups at once (or never), and the end of each session after a fixed time
// (or never).
class FastNode {
  public:
    FastNode(io::Loop& loop, io::Time play_time) : loop_(loop), play_time_(play_time) {
        http::ServerLimits limits;
        limits.idle_timeout = 600000;
        server_ = std::make_unique<http::Server>(loop, io::Address{}, limits,
                                                 [this](const http::ExchangePtr& e) { serve(e); });
    }
    io::Address address() const { return server_->address(); }
    bool unresponsive = false;
    io::Time play_time() const { return play_time_; }
    void set_play_time(io::Time time) { play_time_ = time; }

  private:
    void serve(const http::ExchangePtr& e) {
        const http::Request& r = e->request();
        if (r.path() == "/v1/events") {
            e->start(200, {});
            e->write(
                "{\"event\":\"hello\",\"node\":\"f\",\"boot\":\"1\",\"protocol\":2,\"whole\":true,\"age_ms\":"
                "1e9}\n"
                "{\"event\":\"account\",\"boot\":\"1\",\"seq\":0}\n");
            event_stream_ = e;
            if (!tick_timer_set_) schedule_tick();
            return;
        }
        if (r.path() == "/v1/load")
            return e->respond({200, {}, "{\"streams\":1,\"link\":0.01,\"uplink\":0.01}"});
        if (r.method != "POST") return e->respond({204, {}, ""});
        if (r.path() != "/v1/sessions") return e->respond({200, {}, "{}"});  // a release
        if (unresponsive) {
            held_requests_.push_back(e);
            return;
        }
        const json body = json::parse(r.body);
        const std::uint64_t start_seq = ++seq_;
        const std::string end = json{{"event", "end"},
                                     {"boot", "1"},
                                     {"seq", ++seq_},
                                     {"session", body["session"]},
                                     {"attempt", body["attempt"]},
                                     {"how", "ended"}}
                                    .dump() +
                                "\n";
        e->respond({200,
                    {},
                    "{\"media\":\"http://127.0.0.1:9/m/\",\"boot\":\"1\",\"seq\":" +
                        std::to_string(start_seq) + "}"});
        if (play_time_ > 0) pending_end_events_.emplace_back(loop_.now() + play_time_, end);
        if (!end_timer_set_ && !pending_end_events_.empty()) schedule_end_events();
    }
    void schedule_end_events() {
        end_timer_set_ = true;
        end_timer_ = loop_.at(pending_end_events_.front().first, [this] {
            end_timer_set_ = false;
            std::string lines;
            while (!pending_end_events_.empty() && pending_end_events_.front().first <= loop_.now() + 5) {
                lines += pending_end_events_.front().second;
                pending_end_events_.pop_front();
            }
            if (event_stream_) event_stream_->write(lines);
            if (!pending_end_events_.empty()) schedule_end_events();
        });
    }
    void schedule_tick() {
        tick_timer_set_ = true;
        tick_timer_ = loop_.after(1000, [this] {
            if (event_stream_) event_stream_->write("{\"event\":\"tick\"}\n");
            schedule_tick();
        });
    }
    io::Loop& loop_;
    io::Time play_time_;
    std::unique_ptr<http::Server> server_;
    http::ExchangePtr event_stream_;
    std::vector<http::ExchangePtr> held_requests_;
    std::deque<std::pair<io::Time, std::string>> pending_end_events_;
    io::Timer end_timer_, tick_timer_;
    std::uint64_t seq_ = 0;
    bool end_timer_set_ = false, tick_timer_set_ = false;
};

// Sends requests at a constant rate or with a constant number in flight. Latencies, in ms, are measured until
// the answer is complete.
class Load {
  public:
    Load(io::Loop& loop, io::Address server, std::string path)
        : loop_(loop), server_(std::move(server)), path_(std::move(path)), client_(loop, [] {
              http::ClientLimits limits;
              limits.max_connections_per_address = 20000;
              limits.idle_timeout = 600000;
              return limits;
          }()) {}
    void send() {
        const std::uint64_t id = ++last_id_;
        http::Request r;
        r.target = path_ + "?CMCD=sid%3D%22s" + std::to_string(id_offset_ + id) + "%22%2Csf%3Dh%2Csu";
        http::CallOptions options;
        options.timeout = 0;
        const io::Time started_at = loop_.now();
        pending_calls_[id] = client_.send(
            server_, std::move(r), std::move(options), [this, id, started_at](const http::CallResult& c) {
                answered += 1;
                succeeded += c.outcome == http::CallOutcome::response && c.response.status == 200;
                latencies.push_back(loop_.now() - started_at);
                const std::shared_ptr<http::Call> call(std::move(pending_calls_[id]));
                pending_calls_.erase(id);
                if (resend_on_answer_) send();
            });
    }
    void start_constant_concurrency(int concurrency) {
        resend_on_answer_ = true;
        for (int k = 0; k < concurrency; ++k) send();
    }
    void stop() { resend_on_answer_ = false, rate_timer_.stop(); }
    void start_constant_rate(double per_s) {
        const io::Time started_at = loop_.now();
        auto sent = std::make_shared<double>(0);
        send_due_ = [this, started_at, sent, per_s] {
            for (const double due = (loop_.now() - started_at) * per_s / 1000; *sent < due; *sent += 1)
                send();
            rate_timer_ = loop_.after(1, send_due_);
        };
        send_due_();
    }
    std::size_t pending_count() const { return pending_calls_.size(); }
    std::size_t connections() const { return client_.open_connections(); }
    double latency_percentile(double fraction) {
        if (latencies.empty()) return 0;
        std::sort(latencies.begin(), latencies.end());
        return latencies[static_cast<std::size_t>(fraction * static_cast<double>(latencies.size() - 1))];
    }
    void reset_counts() { latencies.clear(), answered = succeeded = 0, id_offset_ += 1000000; }
    std::uint64_t answered = 0, succeeded = 0;
    std::vector<double> latencies;

  private:
    io::Loop& loop_;
    io::Address server_;
    std::string path_;
    http::Client client_;
    std::map<std::uint64_t, std::unique_ptr<http::Call>> pending_calls_;
    std::uint64_t last_id_ = 0, id_offset_ = 0;
    bool resend_on_answer_ = false;
    std::function<void()> send_due_;
    io::Timer rate_timer_;
};

// A director as a child process, with its server list and `count` media nodes in this process.
struct DirectorRig {
    io::EvLoop loop{1};
    std::string folder = io::create_temporary_folder();
    std::vector<std::unique_ptr<FastNode>> nodes;
    std::unique_ptr<standins::ServerListEmulator> list;
    std::unique_ptr<io::Child> director;
    io::Address address;

    DirectorRig(const std::string& program, int count, io::Time play_time) {
        list = std::make_unique<standins::ServerListEmulator>(loop, io::Address{}, "media",
                                                              standins::EventSink{});
        for (int k = 0; k < count; ++k) {
            nodes.push_back(std::make_unique<FastNode>(loop, play_time));
            standins::ListedServer one;
            one.id = "f" + std::to_string(k), one.kind = "k", one.position = k;
            one.address = nodes.back()->address();
            list->set_server(one);
        }
        address = loop.listen({"127.0.0.1", 0}, [](auto) {})->address();
        // Enough capacity for all sessions, so that no request is rejected: rejections are not to be
        // measured.
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
    ~DirectorRig() {
        director.reset();
        io::remove_folder(folder);
    }
    void run(io::Time ms) {
        const io::Timer timer = loop.after(ms, [this] { loop.stop(); });
        loop.run();
    }
};

// CPU time per request in microseconds, requests per second, latency percentiles in ms.
struct Cost {
    double us = 0, per_s = 0, p50 = 0, p99 = 0;
    std::uint64_t succeeded = 0, answered = 0;
};
// Runs the loop for `ms` and measures the child process during that time.
Cost measure_cost(io::EvLoop& loop, io::Child& child, Load& load, io::Time ms) {
    load.reset_counts();
    const double cpu = child.cpu_ms();
    const io::Time started_at = loop.now();
    const io::Timer timer = loop.after(ms, [&] { loop.stop(); });
    loop.run();
    Cost c;
    c.answered = load.answered, c.succeeded = load.succeeded;
    c.per_s = static_cast<double>(load.answered) / (loop.now() - started_at) * 1000;
    c.us = (child.cpu_ms() - cpu) * 1000 / static_cast<double>(std::max<std::uint64_t>(1, load.answered));
    c.p50 = load.latency_percentile(0.5), c.p99 = load.latency_percentile(0.99);
    return c;
}
void print(const char* what, const Cost& c) {
    std::printf("%-34s %8.0f /s %8.1f us CPU each   p50 %7.2f ms  p99 %7.2f ms   %llu of %llu good\n", what,
                c.per_s, c.us, c.p50, c.p99, static_cast<unsigned long long>(c.succeeded),
                static_cast<unsigned long long>(c.answered));
    std::fflush(stdout);
}

const std::string kWatchPath = "/v1/watch/t/c/title/master.m3u8";

// Serves a constant answer until the process is killed.
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

// Runs all measurements and prints their figures.
int measure(const std::string& self, const std::string& program, double seconds) {
    io::raise_file_limit();
    const io::Time duration = seconds * 1000;
    Cost constant, full;
    {
        io::EvLoop loop(1);
        const io::Address at = loop.listen({"127.0.0.1", 0}, [](auto) {})->address();
        io::Child server({self, "--constant", at.text()}, "");
        const io::Timer up = loop.after(500, [&] { loop.stop(); });
        loop.run();
        Load load(loop, at, kWatchPath);
        load.start_constant_concurrency(64);
        constant = measure_cost(loop, server, load, duration);
        print("constant answer, 64 in flight", constant);
    }
    double base = 0;
    for (const int count : {3, 30, 300}) {
        DirectorRig rig(program, count, 500);
        Load load(rig.loop, rig.address, kWatchPath);
        load.start_constant_rate(400);
        measure_cost(rig.loop, *rig.director, load, 1500);  // warm-up
        const Cost c = measure_cost(rig.loop, *rig.director, load, duration);
        print(("director, " + std::to_string(count) + " nodes, 400 a second").c_str(), c);
        if (count == 3) base = c.us;
        else std::printf("  CPU per session, ratio to that with 3 nodes: %.2f\n", c.us / base);
        load.stop();
    }
    // The decision module counts a server's sessions again at each change there. With few servers and many
    // sessions on each that dominates the cost, so both sizes are measured.
    for (const int count : {3, 30}) {
        DirectorRig rig(program, count, 500);
        Load load(rig.loop, rig.address, kWatchPath);
        load.start_constant_concurrency(64);
        measure_cost(rig.loop, *rig.director, load, 1000);
        full = measure_cost(rig.loop, *rig.director, load, duration);
        print(("director, " + std::to_string(count) + " nodes, 64 in flight").c_str(), full);
        load.stop();
        std::printf(
            "  CPU of a constant answer per CPU of a session: %.3f; sessions per constant answer, by rate: "
            "%.3f\n",
            constant.us / full.us, full.per_s / constant.per_s);
        rig.run(1500);
        Load half(rig.loop, rig.address, kWatchPath);
        half.start_constant_rate(full.per_s / 2);
        print(("director, " + std::to_string(count) + " nodes, half that rate").c_str(),
              measure_cost(rig.loop, *rig.director, half, duration));
    }
    constexpr int kIdleConnections = 10000;
    {
        DirectorRig rig(program, 3, 0);
        const double before = rig.director->memory_kb();
        Load load(rig.loop, rig.address, kWatchPath);
        load.start_constant_rate(1000);
        measure_cost(rig.loop, *rig.director, load, 10000);
        load.stop();
        rig.run(500);
        std::printf("%llu playing sessions: %.2f kB each\n", static_cast<unsigned long long>(load.succeeded),
                    (rig.director->memory_kb() - before) / static_cast<double>(load.succeeded));
        std::fflush(stdout);
    }
    {
        DirectorRig rig(program, 3, 0);
        for (auto& node : rig.nodes) node->unresponsive = true;
        Load load(rig.loop, rig.address, kWatchPath);
        const double before = rig.director->memory_kb();
        load.start_constant_rate(500);
        rig.run(1400);
        load.stop();
        rig.run(300);
        std::printf("%zu sessions waiting for an answer: %.2f kB each, with their connections\n",
                    load.pending_count(),
                    (rig.director->memory_kb() - before) / static_cast<double>(load.pending_count()));
        std::fflush(stdout);
    }
    {
        DirectorRig rig(program, 3, 0);
        const double before = rig.director->memory_kb();
        struct IdleConnection : io::StreamHandler {
            std::unique_ptr<io::Stream> stream;
            bool open = false;
            void on_open() override { open = true; }
            void on_data(std::string_view) override {}
            void on_end() override {}
            void on_closed(io::CloseStatus) override { open = false; }
        };
        std::vector<std::unique_ptr<IdleConnection>> all;
        for (int k = 0; k < kIdleConnections; ++k) {
            all.push_back(std::make_unique<IdleConnection>());
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
        Load load(rig.loop, rig.address, kWatchPath);
        load.start_constant_rate(200);
        print("with them open, 200 a second", measure_cost(rig.loop, *rig.director, load, 2000));
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    CLI::App app{"Measures what one director costs; see docs/results/director.md"};
    std::string constant, program;
    double seconds = 5;
    app.add_option("--constant", constant, "only serve a constant answer at this address");
    app.add_option("--program", program, "the ivyfield program to measure");
    app.add_option("--seconds", seconds, "duration of each measurement")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try {
        if (!constant.empty()) return constant_server(constant);
        return measure(io::executable_path(), program, seconds);
    } catch (const std::exception& e) {
        std::cerr << "ivyfield_measure: " << e.what() << "\n";
        return 1;
    }
}
