// What all directors together send to one cold server: thirty instances that do not speak to each other, told
// of its start late and unevenly, seven in ten of them started anew meanwhile, with several classes, live
// joins and further attempts going there at once. Within each window N set-ups are bearable (streams over the
// time to warm, times warmth, multiple and window); beyond them 2 x root of N + 2 is chance.
#include <algorithm>
#include <random>

#include "bench_free.hpp"

using namespace ivyfield;
using namespace ivyfield::testing;

namespace {

constexpr ServerId kCold = 7;
constexpr Time kStart = 5000;  // of the cold server
constexpr Time kKnown = 4000;  // so long after it all directors know of it

struct Load {
    std::vector<Time> sent;  // to the cold server, in order
};

double bearable(const Settings& s, Time when) {
    const double age = std::clamp((when - kStart) / s.warmup_time, 0.0, 1.0);
    const double warmth = s.initial_warmth + (1 - s.initial_warmth) * age * age;
    return s.max_streams_by_kind[0] / s.warmup_time * warmth * s.overload_multiple * s.overload_window;
}

class Instance {
  public:
    Instance(const Settings& set, std::uint64_t seed, Load& load)
        : set_(set), director_(set, seed), random_(static_cast<unsigned>(seed)), load_(load) {}

    void list(Time now, ListKind kind, Time start) {
        ServerList all;
        all.kind = kind;
        // The others drain: what comes is for the cold one.
        for (ServerId id = 1; id <= 6; ++id)
            all.entries.push_back(entry(id, static_cast<int>(id), ServerState::draining));
        all.entries.push_back(entry(kCold, 0, ServerState::ready, start));
        feed(now, all);
    }
    void ask(Time now, SessionId id) {
        SessionRequest q;
        q.id = id;
        q.cls = static_cast<int>(random_() % set_.classes.size());
        q.title = q.cls == 2 ? 1 : 1 + random_() % 50;
        q.deadline = now + set_.classes[static_cast<std::size_t>(q.cls)].patience;
        q.cell_count = set_.cells;
        q.top_rung = static_cast<int>(set_.rung_kb.size()) - 1;
        feed(now, q);
    }
    Time next_alarm() const { return alarms_.empty() ? 1e18 : *alarms_.begin(); }
    void turn(Time now) {
        while (!alarms_.empty() && *alarms_.begin() <= now) {
            alarms_.erase(alarms_.begin());
            feed(now, TimerExpired{0});
        }
        while (!out_.empty() && out_.begin()->first <= now) {
            const SendSetup send = out_.begin()->second;
            out_.erase(out_.begin());
            const int attempt = attempts_[send.id] - 1;
            if (random_() % 8 == 0) {
                AttemptEnded over{send.id, attempt, send.server, Outcome::error, 5, false, {}};
                feed(now, over);
                continue;
            }
            feed(now, SessionEstablished{send.id, attempt, send.server, 40});
            if (random_() % 2)
                feed(now, AttemptEnded{send.id, attempt, send.server, Outcome::ended, 45, true, {}});
        }
    }

  private:
    void feed(Time now, const Event& event) {
        std::vector<Action> actions;
        director_.handle(now, event, actions);
        for (const Action& a : actions) {
            if (const auto* alarm = std::get_if<SetTimer>(&a)) alarms_.insert(alarm->at);
            if (const auto* probe = std::get_if<Probe>(&a))
                feed(now, ProbeCompleted{probe->server, Outcome::ended, 1, {0, 0, 0}});
            if (const auto* send = std::get_if<SendSetup>(&a)) {
                if (send->server == kCold) load_.sent.push_back(now);
                attempts_[send->id] += 1;
                out_.emplace(now + 40, *send);
            }
        }
    }

    const Settings& set_;
    Director director_;
    std::mt19937 random_;
    Load& load_;
    std::multiset<Time> alarms_;
    std::multimap<Time, SendSetup> out_;
    std::map<SessionId, int> attempts_;
};

Settings site(int directors, double cold_from) {
    Settings s = small_site();
    s.directors = directors;
    s.initial_warmth = cold_from;
    s.max_streams_by_kind = {60};
    s.warmup_time = 8000;
    s.overload_multiple = 4;
    s.overload_window = 1000;
    s.join_rate_factor = 0.2;
    s.racks = 0;
    s.link_kb = 1e7;
    ClassSettings live = s.classes[1];
    live.live = true;
    s.classes.push_back(live);
    return s;
}

// One run; the load of the cold server while it warms.
Load run(const Settings& s, unsigned seed) {
    Load load;
    std::mt19937 random(seed);
    const auto uniform = [&](double from, double to) {
        return std::uniform_real_distribution<>(from, to)(random);
    };
    struct One {
        std::unique_ptr<Instance> instance;
        Time told, restart, next;
    };
    std::vector<One> all;
    SessionId id = 1000;
    for (int k = 0; k < s.directors; ++k) {
        all.push_back({std::make_unique<Instance>(s, random(), load), kStart + uniform(0, 1500),
                       random() % 10 < 7 ? kStart + uniform(1000, 4000) : 1e18, 0});
        all.back().instance->list(0, ListKind::full, 1);
    }
    // Until it started the server of that id was not there; each hears of it when it is told.
    const double gap = 300;  // somebody waits at each director whenever its pace lets one through
    for (Time now = kStart; now < kStart + s.warmup_time; now += 5) {
        for (One& one : all) {
            if (now >= one.restart) {  // it knows only what the list of its start says
                one.restart = 1e18;
                one.instance = std::make_unique<Instance>(s, random(), load);
                one.instance->list(now, ListKind::saved, kStart);
                one.told = 1e18;
            }
            if (now >= one.told) one.told = 1e18, one.instance->list(now, ListKind::changes, kStart);
            if (now < one.next) continue;
            if (one.next > 0 && one.told == 1e18) one.instance->ask(now, ++id);
            one.next = now + uniform(0.5, 1.5) * gap;
        }
        for (One& one : all) one.instance->turn(now);
    }
    return load;
}

// How many directors, and how warm the server starts.
class ColdSum : public ::testing::TestWithParam<std::tuple<int, double>> {};
TEST_P(ColdSum, AllDirectorsTogetherStayWithinTheBudgetAndItsChance) {
    const auto [directors, cold_from] = GetParam();
    const Settings s = site(directors, cold_from);
    double parts = 0, sum = 0;
    const unsigned seeds = directors > 100 ? 6 : 40;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        const Load load = run(s, seed);
        for (std::size_t first = 0, last = 0; last < load.sent.size(); ++last) {
            while (load.sent[first] <= load.sent[last] - s.overload_window) ++first;
            const double n = bearable(s, load.sent[last]);
            ASSERT_LE(static_cast<double>(last - first + 1), n + 2 * std::sqrt(n) + 2)
                << "seed " << seed << " at " << load.sent[last];
        }
        // Once all have been told and those that are to start anew have.
        for (Time t = kStart + kKnown; t < kStart + s.warmup_time; t += 10)
            parts += bearable(s, t) * 10 / s.overload_window;
        for (const Time t : load.sent) sum += t >= kStart + kKnown;
    }
    // All of them want more than it bears all the time, so what comes is the pace itself: half of what is
    // bearable, the rest being for chance. (Where warmth rises a little less, since each gap is of the warmth
    // at its beginning.) A pace half as fast again shows here before it does harm.
    const double chance = 3 * std::sqrt(parts / 2) / parts;
    EXPECT_GT(sum / parts, 0.25) << "nothing is tested";
    EXPECT_LE(sum / parts, 0.5 + chance);
    if (cold_from < 1) return;
    EXPECT_GE(sum / parts, 0.5 - chance);
}
INSTANTIATE_TEST_SUITE_P(Directors, ColdSum,
                         ::testing::Combine(::testing::Values(20, 30, 300), ::testing::Values(0.5, 1.0)));

}  // namespace
