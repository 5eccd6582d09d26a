// A soak of real director processes on loopback: clients that use open connections to the end, media nodes
// that misbehave, and signals in series, drawn from a seed. What the processes do in time is not repeatable
// to the millisecond; what is asked of them is.
//
// By hand:  IVYFIELD_SOAK_SEEDS=100-149 soak_tests
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>

#include "io/ev/ev_loop.hpp"
#include "tests/soak/client.hpp"
#include "tests/soak/director.hpp"
#include "tests/soak/media_node.hpp"

namespace ivyfield::soak {
namespace {

struct Scenario {
    std::uint64_t seed = 1;
    int directors = 3;
    int nodes = 3;
    bool crowd = false;
    Time length = 5000;  // then no more requests, and all must come to an end
};

class Fleet {
  public:
    explicit Fleet(const Scenario& scenario)
        : scenario_(scenario),
          random_(scenario.seed),
          loop_(scenario.seed),
          folder_(io::create_temporary_folder()) {
        for (int k = 0; k < scenario.nodes; ++k) {
            nodes_.push_back(std::make_unique<MediaNode>(loop_, "s-" + std::to_string(k), scenario.directors,
                                                         random_(), ledger_));
        }
        for (int k = 0; k < scenario.directors; ++k) {
            seats_.emplace_back();
            Seat& seat = seats_.back();
            for (const auto& node : nodes_) seat.listed.push_back({node->name(), node->address(k)});
            for (int n = 0; n < 2; ++n)
                seat.names.push_back(std::make_unique<relaytest::NameServer>(
                    loop_, io::Address{"127.0.0.1", 0}, 3, seat.listed));
            seat.director = std::make_unique<DirectorProcess>(loop_, k, folder_, free_address(), ledger_);
            ClientSettings settings;
            if (scenario.crowd && k == 0) settings.connections = 40;
            seat.clients = std::make_unique<ClientPool>(loop_, *seat.director, random_(), ledger_, settings,
                                                        [this] { return lateness_; });
        }
    }
    ~Fleet() {
        if (std::getenv("IVYFIELD_SOAK_KEEP")) std::cout << "logs are kept in " << folder_ << "\n";
        else io::remove_folder(folder_);
    }
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    void run() {
        beat();
        for (Seat& seat : seats_) start(seat);
        keep(loop_.after(scenario_.length, [this] { wind_down(); }));
        for (Seat& seat : seats_) plan_signals(seat);
        plan_node_faults();
        loop_.run();
        ledger_.close(loop_.now());
    }
    const Ledger& ledger() const { return ledger_; }
    std::string summary() const {
        std::ostringstream text;
        text << "seed " << scenario_.seed << (scenario_.crowd ? " (crowd)" : "") << ": " << ledger_.requests()
             << " requests, " << ledger_.count(Reply::established) << " established, "
             << ledger_.count(Reply::rejected) << " rejected, " << ledger_.count(Reply::failed) << " failed, "
             << ledger_.resent() << " sent again, " << terms_ << " SIGTERM, " << kills_
             << " killed, latest beat " << worst_ << " ms, " << ledger_.faults().size() << " faults";
        return text.str();
    }

  private:
    struct Seat {
        std::unique_ptr<DirectorProcess> director;
        std::unique_ptr<ClientPool> clients;
        std::vector<relaytest::ListedNode> listed;  // the media nodes, at the addresses set aside for it
        std::vector<std::unique_ptr<relaytest::NameServer>> names;
        std::size_t asked_names = 0;  // which of them it is told to ask
        io::Timer watch, ready;
        std::unique_ptr<io::Stream> test;
        bool restarting = false, down = true;
        std::optional<Time> ready_since;
    };

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    Time between(Time least, Time most) { return std::uniform_real_distribution<Time>(least, most)(random_); }
    void keep(io::Timer timer) { timers_.push_back(std::move(timer)); }
    void later(Time delay, io::Loop::Task task) { keep(loop_.after(delay, std::move(task))); }
    // Below the ports that the system gives to connections: one that is free stays free while its director is
    // down.
    io::Address free_address() {
        for (;;) {
            const int port = kFirstPort + (::getpid() * kPortsARun + next_port_++) % kPorts;
            const io::Address address{"127.0.0.1", static_cast<std::uint16_t>(port)};
            try {
                loop_.listen(address, [](auto) {});
                return address;
            } catch (const std::runtime_error&) {
                continue;
            }
        }
    }
    static std::string config(const Seat& seat) {
        std::string text = relaytest::make_director_config(
            seat.listed, seat.names[seat.asked_names]->socket->address().text());
        // Room for more sessions than the other tests need.
        const auto set = [&](const std::string& from, const std::string& to) {
            text.replace(text.find(from), from.size(), to);
        };
        set("\"weight_kb\":1000.0", "\"weight_kb\":20000.0");
        set("\"fleet_kb\":8000.0", "\"fleet_kb\":160000.0");
        set("\"kind_slots\":[50]", "\"kind_slots\":[600]");
        return text;
    }

    // How late the harness itself runs: what it sees may have happened so much earlier.
    void beat() {
        const Time due = loop_.now() + kBeat;
        beat_ = loop_.at(due, [this, due] {
            const Time late = loop_.now() - due;
            lateness_ = std::max(late, lateness_ * 0.9);
            worst_ = std::max(worst_, late);
            beat();
        });
    }

    // ---- Directors ----

    void start(Seat& seat) {
        seat.down = false;
        seat.ready_since.reset();
        seat.director->start(config(seat));
        await_ready(seat);
    }
    // A connection that comes up is the sign that it listens.
    struct Probe : io::StreamHandler {
        std::function<void(bool)> done;
        void on_open() override { done(true); }
        void on_data(std::string_view) override {}
        void on_end() override {}
        void on_closed(io::CloseStatus) override { done(false); }
    };
    void await_ready(Seat& seat) {
        auto probe = std::make_shared<Probe>();
        Seat* at = &seat;
        probe->done = [this, at, probe](bool up) {
            if (!at->test) return;
            loop_.post([this, at, up, test = std::shared_ptr<io::Stream>(std::move(at->test)), probe] {
                probe->done = nullptr;
                if (up) return taken_in(*at);
                at->ready = loop_.after(kReadyRetry, [this, at] { await_ready(*at); });
            });
        };
        seat.test = loop_.dial(seat.director->address(), kReadyTimeout, probe.get());
    }
    void taken_in(Seat& seat) {
        if (winding_down_) return;
        seat.ready_since = loop_.now();
        seat.clients->begin();
    }

    void terminate(Seat& seat) {
        if (!seat.director->running()) return;
        terms_ += 1;
        seat.director->term();
        later(between(200, 400), [at = &seat] { at->clients->no_new_connections(); });
        watch(seat);
    }
    void watch(Seat& seat) {
        seat.watch = loop_.after(kWatch, [this, at = &seat] {
            if (!at->director->gone()) return watch(*at);
            // What the process's end did to its connections is heard before they are forgotten.
            later(kSettle, [this, at] {
                at->clients->forget_connections();
                ledger_.incarnation_over(at->director->index(), at->director->incarnation(), loop_.now());
                at->restarting = false;
                at->down = true;
                if (winding_down_) return seat_over();
                later(between(20, 200), [this, at] {
                    if (!winding_down_) start(*at);
                });
            });
        });
    }
    void plan_signals(Seat& seat) {
        for (Time when = between(400, 1200); when < scenario_.length - 200; when += between(300, 1500))
            later(when, [this, at = &seat] { act(*at); });
    }
    void act(Seat& seat) {
        DirectorProcess& director = *seat.director;
        if (winding_down_ || seat.restarting || !seat.ready_since || !director.running()) return;
        const double drawn = chance();
        if (drawn < 0.25) return reload(seat);
        if (drawn < 0.4) return stall(seat);
        seat.restarting = true;
        if (drawn < 0.5) {
            kills_ += 1;
            director.kill_outright();
            seat.clients->no_new_connections();
            return watch(seat);
        }
        if (drawn < 0.6) reload(seat);
        if (drawn < 0.7) stall(seat);
        terminate(seat);
        if (drawn < 0.8) director.term();
        if (drawn > 0.9)
            later(between(0, 900), [at = &seat] {
                if (at->director->running()) at->director->term();
            });
    }
    void stall(Seat& seat) {
        seat.director->stall(true);
        later(between(10, 120), [at = &seat] { at->director->stall(false); });
    }
    void reload(Seat& seat) {
        // The platform sends none in the first second of a director that is ready.
        if (loop_.now() < *seat.ready_since + kFirstReload) return;
        seat.asked_names = 1 - seat.asked_names;
        seat.director->reload(config(seat));
    }

    // ---- Media nodes ----

    void plan_node_faults() {
        for (Time when = between(300, 900); when < scenario_.length; when += between(200, 900))
            later(when, [this] {
                MediaNode& node = *nodes_[random_() % nodes_.size()];
                if (chance() < 0.5) node.hang(between(50, 700));
                else node.reset_connections();
            });
    }

    // ---- The end ----

    void wind_down() {
        winding_down_ = true;
        later(kLastTerm, [this] {
            all_told_ = true;
            for (Seat& seat : seats_) {
                seat.ready.stop();
                if (seat.restarting || seat.down) continue;
                seat.restarting = true;
                if (seat.director->running()) terminate(seat);
                else watch(seat);
            }
            seat_over();
        });
        later(kLastTerm + 2 * kKillAfterTerm, [this] { loop_.stop(); });
    }
    void seat_over() {
        if (!all_told_) return;
        for (const Seat& seat : seats_)
            if (seat.restarting) return;
        loop_.stop();
    }

    static constexpr Time kBeat = 5, kWatch = 2, kSettle = 60, kLastTerm = 100;
    static constexpr int kFirstPort = 20000, kPorts = 12000, kPortsARun = 16;
    static constexpr Time kFirstReload = 1000;
    static constexpr Time kReadyRetry = 10, kReadyTimeout = 500;

    const Scenario scenario_;
    std::mt19937_64 random_;
    io::EvLoop loop_;
    const std::string folder_;
    Ledger ledger_;
    std::vector<std::unique_ptr<MediaNode>> nodes_;
    std::list<Seat> seats_;
    std::list<io::Timer> timers_;
    io::Timer beat_;
    Time lateness_ = 0, worst_ = 0;
    int next_port_ = 0;
    int terms_ = 0, kills_ = 0;
    bool winding_down_ = false, all_told_ = false;  // to leave, at the end
};

std::vector<std::uint64_t> seeds() {
    const char* text = std::getenv("IVYFIELD_SOAK_SEEDS");
    if (!text) return {1, 2, 3, 4, 5, 309};
    const std::string range = text;
    const auto dash = range.find('-');
    const std::uint64_t first = std::stoull(range);
    const std::uint64_t last = dash == std::string::npos ? first : std::stoull(range.substr(dash + 1));
    std::vector<std::uint64_t> out;
    for (std::uint64_t seed = first; seed <= last; ++seed) out.push_back(seed);
    return out;
}

class Soak : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Soak, EveryRequestTakenGetsOneAnswer) {
    ::signal(SIGPIPE, SIG_IGN);
    Scenario scenario;
    scenario.seed = GetParam();
    scenario.crowd = scenario.seed % 3 == 0;
    Fleet fleet(scenario);
    fleet.run();
    std::cout << fleet.summary() << "\n";
    EXPECT_GT(fleet.ledger().requests(), 500u) << "the soak did not take place";
    EXPECT_GT(fleet.ledger().count(Reply::established), 50u);
    std::string all;
    for (const std::string& fault : fleet.ledger().faults()) all += "\n  " + fault;
    EXPECT_TRUE(fleet.ledger().faults().empty()) << fleet.ledger().faults().size() << " faults" << all;
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, ::testing::ValuesIn(seeds()));

}  // namespace
}  // namespace ivyfield::soak
