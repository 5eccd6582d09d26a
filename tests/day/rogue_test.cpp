// Directors that break the rules on purpose, on the same wire as the real one: the day's audit must catch
// each. A rogue speaks HTTP to players, list and nodes, and does one thing wrong.
#include <gtest/gtest.h>

#include "cli/day_command.hpp"
#include "discovery/consul.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "io/virtual/world.hpp"

using namespace ivyfield;
using nlohmann::json;

namespace {

enum class Slip {
    none,
    never_answers,
    repeats_paid,
    two_at_once,
    ignores_drains,
    rushes_cold,
    under_floor,
    over_seats,
    over_budget
};

class Rogue {
  public:
    Rogue(io::Loop& loop, const config::Config& config, Slip slip)
        : loop_(loop),
          config_(config),
          slip_(slip),
          client_(loop, {}),
          server_(loop, config.listen, {}, [this](const http::ExchangePtr& e) { serve(e); }),
          consul_(loop, consul_settings(config),
                  [this](const std::vector<discovery::Instance>& all) { listed(all); }) {}

  private:
    static discovery::ConsulSettings consul_settings(const config::Config& c) {
        discovery::ConsulSettings s;
        s.address = c.consul, s.service = c.service, s.kinds = c.kinds, s.user_agent = "ivyfield/" + c.name;
        return s;
    }
    struct Known {
        io::Address address;
        bool ready = false;
        int streams = 0;
    };
    void listed(const std::vector<discovery::Instance>& all) {
        if (slip_ != Slip::ignores_drains)
            for (auto& [id, node] : nodes_) node.ready = false;
        for (const auto& one : all) {
            Known& node = nodes_[one.id];
            node.address = one.address;
            if (one.entry.last_start > 0 && slip_ == Slip::rushes_cold) cold_ = one.id;
            if (slip_ != Slip::ignores_drains || one.entry.state == ServerState::ready)
                node.ready = one.entry.state == ServerState::ready;
        }
    }
    struct Session {
        http::ExchangePtr player;
        std::string sid, cls, title, first;
        std::uint64_t id = 0;
        int attempt = 0;
        bool paid = false, answered = false;
    };
    void serve(const http::ExchangePtr& e) {
        const std::string path(e->request().path());
        const auto part = [&path](int n) {
            std::size_t at = 0;
            for (int k = 0; k < n; ++k) at = path.find('/', at) + 1;
            return path.substr(at, path.find('/', at) - at);
        };
        auto s = std::make_shared<Session>();
        s->player = e;
        s->cls = part(4), s->title = part(5);
        s->sid = part(3) + std::to_string(++last_);
        if (const auto cmcd = http::query_argument(e->request().query(), "CMCD")) {
            const auto keys = hints::decode_keys(hints::Vocabulary::cmcd, *cmcd).keys;
            s->sid = keys.text("sid").value_or(s->sid);
        }
        s->id = last_;
        for (const auto& c : config_.settings.classes)
            if (c.name == s->cls) s->paid = c.idempotency == Idempotency::non_idempotent;
        if (slip_ == Slip::never_answers && last_ % 5 == 0) {
            kept_.push_back(e);
            return;
        }
        send(s);
    }
    // The least used that is ready; a rogue that rushes sends all to the cold one.
    std::string choose(const Session& s) {
        if (!cold_.empty()) return cold_;
        std::string best;
        for (const auto& [id, node] : nodes_)
            if (node.ready && id != s.first && (best.empty() || node.streams < nodes_[best].streams))
                best = id;
        return best;
    }
    void send(const std::shared_ptr<Session>& s) {
        const std::string node = choose(*s);
        if (node.empty()) return answer(s, 503, "");
        nodes_[node].streams += 1;
        if (s->attempt == 0) s->first = node;
        int rung = 1;
        for (const auto& c : config_.settings.classes)
            if (c.name == s->cls) {
                rung = slip_ == Slip::under_floor ? 0 : std::max(c.min_rung, 0);
                auto& held = held_[s->cls + "/" + s->title];
                if (c.seats > 0 && slip_ != Slip::over_seats && held >= c.seats) return answer(s, 503, "");
                held += 1;
            }
        const int attempt = s->attempt++;
        http::Request r;
        r.method = "POST", r.target = "/v1/sessions";
        r.body = json{{"protocol", 2},  {"director", config_.name}, {"session", s->id},  {"attempt", attempt},
                      {"sid", s->sid},  {"class", s->cls},          {"title", s->title}, {"rung", rung},
                      {"paid", s->paid}}
                     .dump();
        const std::uint64_t call = ++last_call_;
        http::CallOptions options;
        options.timeout = 3000;
        calls_[call] =
            client_.send(nodes_[node].address, r, options, [this, s, call](const http::CallResult& c) {
                const std::shared_ptr<http::Call> keep(std::move(calls_[call]));
                calls_.erase(call);
                if (s->answered) return;
                if (c.outcome == http::CallOutcome::response && c.response.status == 200)
                    return answer(s, 200, json::parse(c.response.body)["media"]);
                const bool again =
                    (slip_ == Slip::repeats_paid && s->paid) || (slip_ == Slip::over_budget && !s->paid);
                if (again && s->attempt < 4) return send(s);
                answer(s, 504, "");
            });
        if (slip_ == Slip::two_at_once && attempt == 0) {
            timers_.push_back(loop_.after(5, [this, s] {
                if (!s->answered) send(s);
            }));
        }
    }
    void answer(const std::shared_ptr<Session>& s, int status, const std::string& media) {
        if (s->answered) return;
        s->answered = true;
        http::Response r;
        r.status = status;
        if (status == 200) r.body = "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\n" + media + "0/index.m3u8\n";
        s->player->respond(r);
    }

    io::Loop& loop_;
    config::Config config_;
    Slip slip_;
    std::map<std::string, Known> nodes_;
    std::map<std::string, int> held_;
    std::string cold_;
    std::uint64_t last_ = 0, last_call_ = 0;
    std::vector<http::ExchangePtr> kept_;
    std::vector<io::Timer> timers_;
    http::Client client_;
    std::map<std::uint64_t, std::unique_ptr<http::Call>> calls_;
    http::Server server_;
    discovery::ConsulClient consul_;
};

struct RogueHost : day::DirectorHost {
    io::World& world;
    Slip slip;
    std::map<int, std::unique_ptr<Rogue>> rogues;
    RogueHost(io::World& w, Slip s) : world(w), slip(s) {}
    io::Address reserve_address(int n) override {
        return {"127.0.0.1", static_cast<std::uint16_t>(8001 + n)};
    }
    void start(int n, const std::string& text) override {
        rogues[n] =
            std::make_unique<Rogue>(world.start("d" + std::to_string(n)), config::load(text).config, slip);
    }
    void kill(int) override {}
    void set_stalled(int, bool) override {}
    bool is_running(int) override { return true; }
    io::Time timing_tolerance() const override { return 5; }
};

std::vector<int> broken_by(Slip slip) {
    json doc = json::parse(config::read_file(IVYFIELD_SOURCE_DIR "/examples/days/quiet.json"));
    doc["directors"] = 1;
    doc["length_ms"] = 8000;
    doc["director"]["classes"][0]["seats"] = 3;
    doc["director"]["rules"]["budget"] = {{"per_request", 0.05}, {"free", 1}, {"window_ms", 10000}};
    json& faults = doc["faults"] = json::array();
    if (slip == Slip::repeats_paid || slip == Slip::over_budget)
        faults.push_back({{"kind", "errors"},
                          {"at_ms", 0},
                          {"for_ms", 8000},
                          {"value", 0.7},
                          {"nodes", {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}}});
    if (slip == Slip::ignores_drains)
        faults.push_back({{"kind", "drain"}, {"at_ms", 1000}, {"for_ms", 6000}, {"nodes", {0, 1, 2}}});
    if (slip == Slip::rushes_cold) {
        doc["nodes"][0]["cold"] = true;
        doc["arrivals"][0]["per_s"] = 10;
    }
    if (slip == Slip::over_seats || slip == Slip::none) doc["arrivals"][0]["per_s"] = 4;
    const auto loaded = day::load_scenario(doc.dump());
    for (const auto& f : loaded.errors) ADD_FAILURE() << f.path << ": " << f.message;
    io::World world(5);
    RogueHost host(world, slip);
    day::Report report;
    bool over = false;
    day::ScenarioRunner day(world.start("rig"), loaded.scenario, 5, host, 1500,
                            [&](const day::Report& r) { report = r, over = true; });
    while (!over && world.step()) {
    }
    EXPECT_TRUE(over);
    std::vector<int> out;
    for (int rule = 1; rule <= 6; ++rule)
        if (!report.audit_result.is_kept(rule)) out.push_back(rule);
    return out;
}
using Rules = std::vector<int>;

TEST(Rogue, OneThatKeepsTheRulesIsNotBlamed) { EXPECT_EQ(broken_by(Slip::none), Rules{}); }
TEST(Rogue, AnswersThatNeverComeAreCaught) { EXPECT_EQ(broken_by(Slip::never_answers), Rules{1}); }
TEST(Rogue, RepeatedPaidSetUpsAreCaught) {
    const auto broken = broken_by(Slip::repeats_paid);
    EXPECT_TRUE(std::count(broken.begin(), broken.end(), 2));
}
TEST(Rogue, TwoAttemptsAtOnceAreCaught) {
    const auto broken = broken_by(Slip::two_at_once);
    EXPECT_TRUE(std::count(broken.begin(), broken.end(), 2));
}
TEST(Rogue, SendsToDrainedNodesAreCaught) { EXPECT_EQ(broken_by(Slip::ignores_drains), Rules{3}); }
TEST(Rogue, ANodePushedOverIsCaught) {
    const auto broken = broken_by(Slip::rushes_cold);
    EXPECT_TRUE(std::count(broken.begin(), broken.end(), 4));
}
TEST(Rogue, RungsUnderTheFloorAreCaught) { EXPECT_EQ(broken_by(Slip::under_floor), Rules{5}); }
TEST(Rogue, MoreSessionsThanSeatsAreCaught) { EXPECT_EQ(broken_by(Slip::over_seats), Rules{5}); }
TEST(Rogue, AttemptsBeyondTheBudgetAreCaught) {
    const auto broken = broken_by(Slip::over_budget);
    EXPECT_TRUE(std::count(broken.begin(), broken.end(), 6));
}

}  // namespace
