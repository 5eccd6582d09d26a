// Soak test of real director processes on loopback: clients that use open connections to the end, media nodes
// with faults, and series of signals, all drawn from a seed. The timing of the processes is not repeatable to
// the millisecond; the requests and faults are.
//
// Run by hand:  IVYFIELD_SOAK_SEEDS=100-149 soak_tests
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

// Parameters of one run.
struct Scenario {
    std::uint64_t seed = 1;
    int directors = 3;
    int nodes = 3;
    bool crowd = false;
    Time length = 5000;  // then no more requests, and all pending ones have to end
};

// The directors, their clients and name servers and the media nodes of one run, with its signals and faults.
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
            slots_.emplace_back();
            DirectorSlot& slot = slots_.back();
            for (const auto& node : nodes_) slot.listed_nodes.push_back({node->name(), node->address(k)});
            for (int n = 0; n < 2; ++n)
                slot.names.push_back(std::make_unique<relaytest::NameServer>(
                    loop_, io::Address{"127.0.0.1", 0}, 3, slot.listed_nodes));
            slot.director = std::make_unique<DirectorProcess>(loop_, k, folder_, free_address(), ledger_);
            ClientSettings settings;
            if (scenario.crowd && k == 0) settings.connections = 40;
            slot.clients = std::make_unique<ClientPool>(loop_, *slot.director, random_(), ledger_, settings,
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
        measure_lateness();
        for (DirectorSlot& slot : slots_) start(slot);
        keep_timer(loop_.after(scenario_.length, [this] { wind_down(); }));
        for (DirectorSlot& slot : slots_) plan_signals(slot);
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
             << " killed, max lateness " << max_lateness_ << " ms, " << ledger_.faults().size() << " faults";
        return text.str();
    }

  private:
    struct DirectorSlot {
        std::unique_ptr<DirectorProcess> director;
        std::unique_ptr<ClientPool> clients;
        std::vector<relaytest::ListedNode>
            listed_nodes;  // the media nodes, at their addresses for this director
        std::vector<std::unique_ptr<relaytest::NameServer>> names;
        std::size_t asked_names = 0;  // index of the name server in its configuration
        io::Timer watch, ready;
        std::unique_ptr<io::Stream> test;
        bool restarting = false, down = true;
        std::optional<Time> ready_since;
    };

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    Time between(Time least, Time most) { return std::uniform_real_distribution<Time>(least, most)(random_); }
    void keep_timer(io::Timer timer) { timers_.push_back(std::move(timer)); }
    void later(Time delay, io::Loop::Task task) { keep_timer(loop_.after(delay, std::move(task))); }
    // Below the range of ephemeral ports, so that a free port stays free while its director is down.
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
    static std::string config(const DirectorSlot& slot) {
        std::string text = relaytest::make_director_config(
            slot.listed_nodes, slot.names[slot.asked_names]->socket->address().text());
        // Capacity for more sessions than the other tests need.
        const auto set = [&](const std::string& from, const std::string& to) {
            text.replace(text.find(from), from.size(), to);
        };
        set("\"weight_kb\":1000.0", "\"weight_kb\":20000.0");
        set("\"fleet_kb\":8000.0", "\"fleet_kb\":160000.0");
        set("\"kind_slots\":[50]", "\"kind_slots\":[600]");
        return text;
    }

    // Measures how late the harness itself runs: what it sees may have happened that much earlier.
    void measure_lateness() {
        const Time due = loop_.now() + kBeat;
        lateness_timer_ = loop_.at(due, [this, due] {
            const Time late = loop_.now() - due;
            lateness_ = std::max(late, lateness_ * 0.9);
            max_lateness_ = std::max(max_lateness_, late);
            measure_lateness();
        });
    }

    // ---- Directors ----

    void start(DirectorSlot& slot) {
        slot.down = false;
        slot.ready_since.reset();
        slot.director->start(config(slot));
        await_ready(slot);
    }
    // A connection that opens shows that the director listens.
    struct Probe : io::StreamHandler {
        std::function<void(bool)> done;
        void on_open() override { done(true); }
        void on_data(std::string_view) override {}
        void on_end() override {}
        void on_closed(io::CloseStatus) override { done(false); }
    };
    void await_ready(DirectorSlot& slot) {
        auto probe = std::make_shared<Probe>();
        DirectorSlot* at = &slot;
        probe->done = [this, at, probe](bool up) {
            if (!at->test) return;
            loop_.post([this, at, up, test = std::shared_ptr<io::Stream>(std::move(at->test)), probe] {
                probe->done = nullptr;
                if (up) return put_in_service(*at);
                at->ready = loop_.after(kReadyRetry, [this, at] { await_ready(*at); });
            });
        };
        slot.test = loop_.dial(slot.director->address(), kReadyTimeout, probe.get());
    }
    void put_in_service(DirectorSlot& slot) {
        if (winding_down_) return;
        slot.ready_since = loop_.now();
        slot.clients->begin();
    }

    void terminate(DirectorSlot& slot) {
        if (!slot.director->running()) return;
        terms_ += 1;
        slot.director->term();
        later(between(200, 400), [at = &slot] { at->clients->no_new_connections(); });
        watch(slot);
    }
    void watch(DirectorSlot& slot) {
        slot.watch = loop_.after(kWatch, [this, at = &slot] {
            if (!at->director->gone()) return watch(*at);
            // The clients see the closed connections before these are dropped.
            later(kSettle, [this, at] {
                at->clients->forget_connections();
                ledger_.incarnation_over(at->director->index(), at->director->incarnation(), loop_.now());
                at->restarting = false;
                at->down = true;
                if (winding_down_) return finish_if_idle();
                later(between(20, 200), [this, at] {
                    if (!winding_down_) start(*at);
                });
            });
        });
    }
    void plan_signals(DirectorSlot& slot) {
        for (Time when = between(400, 1200); when < scenario_.length - 200; when += between(300, 1500))
            later(when, [this, at = &slot] { act(*at); });
    }
    void act(DirectorSlot& slot) {
        DirectorProcess& director = *slot.director;
        if (winding_down_ || slot.restarting || !slot.ready_since || !director.running()) return;
        const double drawn = chance();
        if (drawn < 0.25) return reload(slot);
        if (drawn < 0.4) return stall(slot);
        slot.restarting = true;
        if (drawn < 0.5) {
            kills_ += 1;
            director.kill_outright();
            slot.clients->no_new_connections();
            return watch(slot);
        }
        if (drawn < 0.6) reload(slot);
        if (drawn < 0.7) stall(slot);
        terminate(slot);
        if (drawn < 0.8) director.term();
        if (drawn > 0.9)
            later(between(0, 900), [at = &slot] {
                if (at->director->running()) at->director->term();
            });
    }
    void stall(DirectorSlot& slot) {
        slot.director->stall(true);
        later(between(10, 120), [at = &slot] { at->director->stall(false); });
    }
    void reload(DirectorSlot& slot) {
        // The platform sends no SIGHUP in the first second after a director is ready.
        if (loop_.now() < *slot.ready_since + kFirstReload) return;
        slot.asked_names = 1 - slot.asked_names;
        slot.director->reload(config(slot));
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
            all_terminated_ = true;
            for (DirectorSlot& slot : slots_) {
                slot.ready.stop();
                if (slot.restarting || slot.down) continue;
                slot.restarting = true;
                if (slot.director->running()) terminate(slot);
                else watch(slot);
            }
            finish_if_idle();
        });
        later(kLastTerm + 2 * kKillAfterTerm, [this] { loop_.stop(); });
    }
    void finish_if_idle() {
        if (!all_terminated_) return;
        for (const DirectorSlot& slot : slots_)
            if (slot.restarting) return;
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
    std::list<DirectorSlot> slots_;
    std::list<io::Timer> timers_;
    io::Timer lateness_timer_;
    Time lateness_ = 0, max_lateness_ = 0;
    int next_port_ = 0;
    int terms_ = 0, kills_ = 0;
    bool winding_down_ = false, all_terminated_ = false;  // stages of the end of the run
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
