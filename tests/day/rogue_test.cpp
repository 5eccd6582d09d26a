// Directors that break one rule on purpose, over the same protocols as the real one: the audit of a scenario
// has to detect each. The faulty director speaks HTTP to players, list and nodes.
#include <gtest/gtest.h>

#include "cli/day_command.hpp"
#include "discovery/consul.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "io/virtual/world.hpp"

using namespace ivyfield;
using nlohmann::json;

namespace {

enum class Defect {
    none,
    never_answers,
    retries_non_idempotent,
    parallel_attempts,
    sends_to_draining,
    overloads_cold_node,
    below_min_rung,
    exceeds_seats,
    exceeds_retry_budget
};

// A minimal director with one deliberate defect, on the HTTP interface and the node protocol.
class FaultyDirector {
  public:
    FaultyDirector(io::Loop& loop, const config::Config& config, Defect defect)
        : loop_(loop),
          config_(config),
          defect_(defect),
          client_(loop, {}),
          server_(loop, config.listen, {}, [this](const http::ExchangePtr& e) { serve(e); }),
          consul_(loop, consul_settings(config),
                  [this](const std::vector<discovery::Instance>& all) { update_nodes(all); }) {}

  private:
    static discovery::ConsulSettings consul_settings(const config::Config& c) {
        discovery::ConsulSettings s;
        s.address = c.consul, s.service = c.service, s.kinds = c.kinds, s.user_agent = "ivyfield/" + c.name;
        return s;
    }
    struct KnownNode {
        io::Address address;
        bool ready = false;
        int streams = 0;
    };
    void update_nodes(const std::vector<discovery::Instance>& all) {
        if (defect_ != Defect::sends_to_draining)
            for (auto& [id, node] : nodes_) node.ready = false;
        for (const auto& one : all) {
            KnownNode& node = nodes_[one.id];
            node.address = one.address;
            if (one.entry.last_start > 0 && defect_ == Defect::overloads_cold_node) cold_node_ = one.id;
            if (defect_ != Defect::sends_to_draining || one.entry.state == ServerState::ready)
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
    void serve(const http::ExchangePtr& exchange) {
        const std::string path(exchange->request().path());
        const auto part = [&path](int n) {
            std::size_t at = 0;
            for (int k = 0; k < n; ++k) at = path.find('/', at) + 1;
            return path.substr(at, path.find('/', at) - at);
        };
        auto session = std::make_shared<Session>();
        session->player = exchange;
        session->cls = part(4), session->title = part(5);
        session->sid = part(3) + std::to_string(++last_session_);
        if (const auto cmcd = http::query_argument(exchange->request().query(), "CMCD")) {
            const auto keys = hints::decode_keys(hints::Vocabulary::cmcd, *cmcd).keys;
            session->sid = keys.text("sid").value_or(session->sid);
        }
        session->id = last_session_;
        for (const auto& c : config_.settings.classes)
            if (c.name == session->cls) session->paid = c.idempotency == Idempotency::non_idempotent;
        if (defect_ == Defect::never_answers && last_session_ % 5 == 0) {
            unanswered_.push_back(exchange);
            return;
        }
        send(session);
    }
    // The least used ready node; the director that overloads a cold node sends everything to it.
    std::string choose(const Session& session) {
        if (!cold_node_.empty()) return cold_node_;
        std::string best;
        for (const auto& [id, node] : nodes_)
            if (node.ready && id != session.first && (best.empty() || node.streams < nodes_[best].streams))
                best = id;
        return best;
    }
    void send(const std::shared_ptr<Session>& session) {
        const std::string node = choose(*session);
        if (node.empty()) return answer(session, 503, "");
        nodes_[node].streams += 1;
        if (session->attempt == 0) session->first = node;
        int rung = 1;
        for (const auto& rules : config_.settings.classes)
            if (rules.name == session->cls) {
                rung = defect_ == Defect::below_min_rung ? 0 : std::max(rules.min_rung, 0);
                auto& session_count = session_counts_[session->cls + "/" + session->title];
                if (rules.seats > 0 && defect_ != Defect::exceeds_seats && session_count >= rules.seats)
                    return answer(session, 503, "");
                session_count += 1;
            }
        const int attempt = session->attempt++;
        http::Request request;
        request.method = "POST", request.target = "/v1/sessions";
        request.body = json{{"protocol", 2},           {"director", config_.name},
                            {"session", session->id},  {"attempt", attempt},
                            {"sid", session->sid},     {"class", session->cls},
                            {"title", session->title}, {"rung", rung},
                            {"paid", session->paid}}
                           .dump();
        const std::uint64_t call = ++last_call_;
        http::CallOptions options;
        options.timeout = 3000;
        calls_[call] = client_.send(
            nodes_[node].address, request, options, [this, session, call](const http::CallResult& result) {
                const std::shared_ptr<http::Call> finished_call(std::move(calls_[call]));
                calls_.erase(call);
                if (session->answered) return;
                if (result.outcome == http::CallOutcome::response && result.response.status == 200)
                    return answer(session, 200, json::parse(result.response.body)["media"]);
                const bool retries = (defect_ == Defect::retries_non_idempotent && session->paid) ||
                                     (defect_ == Defect::exceeds_retry_budget && !session->paid);
                if (retries && session->attempt < 4) return send(session);
                answer(session, 504, "");
            });
        if (defect_ == Defect::parallel_attempts && attempt == 0) {
            timers_.push_back(loop_.after(5, [this, session] {
                if (!session->answered) send(session);
            }));
        }
    }
    void answer(const std::shared_ptr<Session>& session, int status, const std::string& media) {
        if (session->answered) return;
        session->answered = true;
        http::Response response;
        response.status = status;
        if (status == 200)
            response.body = "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\n" + media + "0/index.m3u8\n";
        session->player->respond(response);
    }

    io::Loop& loop_;
    config::Config config_;
    Defect defect_;
    std::map<std::string, KnownNode> nodes_;
    std::map<std::string, int> session_counts_;
    std::string cold_node_;
    std::uint64_t last_session_ = 0, last_call_ = 0;
    std::vector<http::ExchangePtr> unanswered_;
    std::vector<io::Timer> timers_;
    http::Client client_;
    std::map<std::uint64_t, std::unique_ptr<http::Call>> calls_;
    http::Server server_;
    discovery::ConsulClient consul_;
};

// Runs faulty directors on loops of a simulated world.
struct FaultyDirectorHost : day::DirectorHost {
    io::World& world;
    Defect defect;
    std::map<int, std::unique_ptr<FaultyDirector>> directors;
    FaultyDirectorHost(io::World& w, Defect s) : world(w), defect(s) {}
    io::Address reserve_address(int number) override {
        return {"127.0.0.1", static_cast<std::uint16_t>(8001 + number)};
    }
    void start(int number, const std::string& text) override {
        directors[number] = std::make_unique<FaultyDirector>(world.start("d" + std::to_string(number)),
                                                             config::load(text).config, defect);
    }
    void kill(int) override {}
    void set_stalled(int, bool) override {}
    bool is_running(int) override { return true; }
    io::Time timing_tolerance() const override { return 5; }
};

// Runs a short scenario with a director that has the defect and returns the rules that the audit reports as
// broken.
std::vector<int> find_broken_rules(Defect defect) {
    json doc = json::parse(config::read_file(IVYFIELD_SOURCE_DIR "/examples/days/quiet.json"));
    doc["directors"] = 1;
    doc["length_ms"] = 8000;
    doc["director"]["classes"][0]["seats"] = 3;
    doc["director"]["rules"]["budget"] = {{"per_request", 0.05}, {"free", 1}, {"window_ms", 10000}};
    json& faults = doc["faults"] = json::array();
    if (defect == Defect::retries_non_idempotent || defect == Defect::exceeds_retry_budget)
        faults.push_back({{"kind", "errors"},
                          {"at_ms", 0},
                          {"for_ms", 8000},
                          {"value", 0.7},
                          {"nodes", {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}}});
    if (defect == Defect::sends_to_draining)
        faults.push_back({{"kind", "drain"}, {"at_ms", 1000}, {"for_ms", 6000}, {"nodes", {0, 1, 2}}});
    if (defect == Defect::overloads_cold_node) {
        doc["nodes"][0]["cold"] = true;
        doc["arrivals"][0]["per_s"] = 10;
    }
    if (defect == Defect::exceeds_seats || defect == Defect::none) doc["arrivals"][0]["per_s"] = 4;
    const auto loaded = day::load_scenario(doc.dump());
    for (const auto& f : loaded.errors) ADD_FAILURE() << f.path << ": " << f.message;
    io::World world(5);
    FaultyDirectorHost host(world, defect);
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

TEST(FaultyDirector, ACompliantDirectorBreaksNoRule) { EXPECT_EQ(find_broken_rules(Defect::none), Rules{}); }
TEST(FaultyDirector, MissingAnswersAreDetected) {
    EXPECT_EQ(find_broken_rules(Defect::never_answers), Rules{1});
}
TEST(FaultyDirector, RetriedNonIdempotentSetupsAreDetected) {
    const auto broken = find_broken_rules(Defect::retries_non_idempotent);
    EXPECT_TRUE(std::count(broken.begin(), broken.end(), 2));
}
TEST(FaultyDirector, ParallelAttemptsAreDetected) {
    const auto broken = find_broken_rules(Defect::parallel_attempts);
    EXPECT_TRUE(std::count(broken.begin(), broken.end(), 2));
}
TEST(FaultyDirector, SetupsToDrainingNodesAreDetected) {
    EXPECT_EQ(find_broken_rules(Defect::sends_to_draining), Rules{3});
}
TEST(FaultyDirector, AnOverloadedColdNodeIsDetected) {
    const auto broken = find_broken_rules(Defect::overloads_cold_node);
    EXPECT_TRUE(std::count(broken.begin(), broken.end(), 4));
}
TEST(FaultyDirector, RungsBelowTheMinimumAreDetected) {
    EXPECT_EQ(find_broken_rules(Defect::below_min_rung), Rules{5});
}
TEST(FaultyDirector, MoreSessionsThanSeatsAreDetected) {
    EXPECT_EQ(find_broken_rules(Defect::exceeds_seats), Rules{5});
}
TEST(FaultyDirector, AttemptsBeyondTheRetryBudgetAreDetected) {
    const auto broken = find_broken_rules(Defect::exceeds_retry_budget);
    EXPECT_TRUE(std::count(broken.begin(), broken.end(), 6));
}

}  // namespace
