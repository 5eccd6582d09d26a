// The set-ups that all directors together send to one cold server. The directors (20, 30 or 300) do not
// communicate, learn of the server's start late and at different times, and seven in ten of them restart
// meanwhile; several classes, viewers that join live streams and retries go to the server at once. In each
// window it can take N set-ups (streams / warm-up time * warmth * overload multiple * window); random
// variation may add up to 2 * sqrt(N) + 2.
#include <algorithm>
#include <random>

#include "director_harness.hpp"

using namespace ivyfield;
using namespace ivyfield::testing;

namespace {

constexpr ServerId kColdServer = 7;
constexpr Time kStart = 5000;        // of the cold server
constexpr Time kAllInformed = 4000;  // this long after kStart all directors know of it

struct ColdServerLoad {
    std::vector<Time> setup_times;  // of set-ups sent to the cold server, in order
};

double max_cold_setups(const Settings& settings, Time when) {
    const double age = std::clamp((when - kStart) / settings.warmup_time, 0.0, 1.0);
    const double warmth = settings.initial_warmth + (1 - settings.initial_warmth) * age * age;
    return settings.max_streams_by_kind[0] / settings.warmup_time * warmth * settings.overload_multiple *
           settings.overload_window;
}

class DirectorInstance {
  public:
    DirectorInstance(const Settings& settings, std::uint64_t seed, ColdServerLoad& load)
        : settings_(settings), director_(settings, seed), random_(static_cast<unsigned>(seed)), load_(load) {}

    void send_list(Time now, ListKind kind, Time start) {
        ServerList list;
        list.kind = kind;
        // The other servers drain, so all sessions go to the cold one.
        for (ServerId id = 1; id <= 6; ++id)
            list.entries.push_back(make_entry(id, static_cast<int>(id), ServerState::draining));
        list.entries.push_back(make_entry(kColdServer, 0, ServerState::ready, start));
        handle(now, list);
    }
    void request_session(Time now, SessionId id) {
        SessionRequest request;
        request.id = id;
        request.cls = static_cast<int>(random_() % settings_.classes.size());
        request.title = request.cls == 2 ? 1 : 1 + random_() % 50;
        request.deadline = now + settings_.classes[static_cast<std::size_t>(request.cls)].patience;
        request.cell_count = settings_.cells;
        request.top_rung = static_cast<int>(settings_.rung_kb.size()) - 1;
        handle(now, request);
    }
    Time next_timer() const { return timers_.empty() ? 1e18 : *timers_.begin(); }
    void advance(Time now) {
        while (!timers_.empty() && *timers_.begin() <= now) {
            timers_.erase(timers_.begin());
            handle(now, TimerExpired{0});
        }
        while (!pending_setups_.empty() && pending_setups_.begin()->first <= now) {
            const SendSetup send = pending_setups_.begin()->second;
            pending_setups_.erase(pending_setups_.begin());
            const int attempt = attempts_[send.id] - 1;
            if (random_() % 8 == 0) {
                AttemptEnded event{send.id, attempt, send.server, Outcome::error, 5, false, {}};
                handle(now, event);
                continue;
            }
            handle(now, SessionEstablished{send.id, attempt, send.server, 40});
            if (random_() % 2)
                handle(now, AttemptEnded{send.id, attempt, send.server, Outcome::ended, 45, true, {}});
        }
    }

  private:
    void handle(Time now, const Event& event) {
        std::vector<Action> actions;
        director_.handle(now, event, actions);
        for (const Action& a : actions) {
            if (const auto* timer = std::get_if<SetTimer>(&a)) timers_.insert(timer->at);
            if (const auto* probe = std::get_if<Probe>(&a))
                handle(now, ProbeCompleted{probe->server, Outcome::ended, 1, {0, 0, 0}});
            if (const auto* send = std::get_if<SendSetup>(&a)) {
                if (send->server == kColdServer) load_.setup_times.push_back(now);
                attempts_[send->id] += 1;
                pending_setups_.emplace(now + 40, *send);
            }
        }
    }

    const Settings& settings_;
    Director director_;
    std::mt19937 random_;
    ColdServerLoad& load_;
    std::multiset<Time> timers_;
    std::multimap<Time, SendSetup> pending_setups_;
    std::map<SessionId, int> attempts_;
};

Settings make_settings(int directors, double initial_warmth) {
    Settings settings = small_site_settings();
    settings.directors = directors;
    settings.initial_warmth = initial_warmth;
    settings.max_streams_by_kind = {60};
    settings.warmup_time = 8000;
    settings.overload_multiple = 4;
    settings.overload_window = 1000;
    settings.join_rate_factor = 0.2;
    settings.racks = 0;
    settings.link_kb = 1e7;
    ClassSettings live = settings.classes[1];
    live.live = true;
    settings.classes.push_back(live);
    return settings;
}

// Simulates the warm-up of the cold server once and returns its load.
ColdServerLoad run(const Settings& settings, unsigned seed) {
    ColdServerLoad load;
    std::mt19937 random(seed);
    const auto uniform = [&](double from, double to) {
        return std::uniform_real_distribution<>(from, to)(random);
    };
    struct Member {
        std::unique_ptr<DirectorInstance> instance;
        Time informed_at, restart_at, next_request;
    };
    std::vector<Member> members;
    SessionId last_id = 1000;
    for (int k = 0; k < settings.directors; ++k) {
        members.push_back({std::make_unique<DirectorInstance>(settings, random(), load),
                           kStart + uniform(0, 1500), random() % 10 < 7 ? kStart + uniform(1000, 4000) : 1e18,
                           0});
        members.back().instance->send_list(0, ListKind::full, 1);
    }
    // No director knows the server before it is informed of the start.
    // Short enough that a session is always queued when the pacing allows a set-up.
    const double mean_request_interval = 300;
    for (Time now = kStart; now < kStart + settings.warmup_time; now += 5) {
        for (Member& member : members) {
            if (now >= member.restart_at) {  // after a restart it knows only the saved list
                member.restart_at = 1e18;
                member.instance = std::make_unique<DirectorInstance>(settings, random(), load);
                member.instance->send_list(now, ListKind::saved, kStart);
                member.informed_at = 1e18;
            }
            if (now >= member.informed_at)
                member.informed_at = 1e18, member.instance->send_list(now, ListKind::changes, kStart);
            if (now < member.next_request) continue;
            if (member.next_request > 0 && member.informed_at == 1e18)
                member.instance->request_session(now, ++last_id);
            member.next_request = now + uniform(0.5, 1.5) * mean_request_interval;
        }
        for (Member& member : members) member.instance->advance(now);
    }
    return load;
}

// Parameters: number of directors, initial warmth of the server.
class ColdServerTotal : public ::testing::TestWithParam<std::tuple<int, double>> {};
TEST_P(ColdServerTotal, SetupsOfAllDirectorsStayWithinWhatAColdServerCanTake) {
    const auto [directors, initial_warmth] = GetParam();
    const Settings settings = make_settings(directors, initial_warmth);
    double capacity = 0, setups = 0;
    const unsigned seeds = directors > 100 ? 6 : 40;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const ColdServerLoad load = run(settings, seed);
        for (std::size_t first = 0, last = 0; last < load.setup_times.size(); ++last) {
            while (load.setup_times[first] <= load.setup_times[last] - settings.overload_window) ++first;
            const double expected = max_cold_setups(settings, load.setup_times[last]);
            ASSERT_LE(static_cast<double>(last - first + 1), expected + 2 * std::sqrt(expected) + 2)
                << "seed " << seed << " at " << load.setup_times[last];
        }
        // From the time when all directors are informed and all restarts are over.
        for (Time t = kStart + kAllInformed; t < kStart + settings.warmup_time; t += 10)
            capacity += max_cold_setups(settings, t) * 10 / settings.overload_window;
        for (const Time t : load.setup_times) setups += t >= kStart + kAllInformed;
    }
    // All directors always have more sessions than the server can take, so the set-ups show the pace itself:
    // half of what it can take, the rest is a reserve for random variation. (While warmth rises it is a
    // little less, since each interval is computed from the warmth at its start.) A pace 1.5 times as fast
    // fails here before it could overload a server.
    const double tolerance = 3 * std::sqrt(capacity / 2) / capacity;
    EXPECT_GT(setups / capacity, 0.25) << "too few set-ups to test the pace";
    EXPECT_LE(setups / capacity, 0.5 + tolerance);
    if (initial_warmth < 1) return;
    EXPECT_GE(setups / capacity, 0.5 - tolerance);
}
INSTANTIATE_TEST_SUITE_P(Directors, ColdServerTotal,
                         ::testing::Combine(::testing::Values(20, 30, 300), ::testing::Values(0.5, 1.0)));

}  // namespace
