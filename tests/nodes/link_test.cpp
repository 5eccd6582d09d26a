// Many nodes at once, on simulated time: all streams lost, a list that flaps, nodes that restart in a loop, a
// director that stood still, a node of an earlier protocol. What it costs is counted in streams and accounts,
// not in time.
#include "nodes/link.hpp"

#include <gtest/gtest.h>

#include "http/server.hpp"
#include "io/virtual/world.hpp"
#include "standins/node.hpp"

using namespace ivyfield;

namespace {

struct Heard : core::NodeEvents {
    int started_ = 0, over_ = 0, lost_ = 0, released_ = 0, lives = 0;
    std::map<Outcome, int> outcomes;
    void on_attempt_started(SessionId, int, const core::Media&) override { started_ += 1; }
    void on_attempt_ended(SessionId, int, Outcome outcome, const LoadReport&) override {
        over_ += 1, outcomes[outcome] += 1;
    }
    void on_attempt_lost(SessionId, int, Outcome) override { lost_ += 1; }
    void on_attempt_released(SessionId, int) override { released_ += 1; }
    void on_session_note(SessionId, int, ServerId, NoteKind, double) override {}
    bool reclaim_session(const core::OrphanedSession&) override { return false; }
    void on_node_incarnation(ServerId, Time) override { lives += 1; }
    void on_probe_result(ServerId, Outcome, Time, const LoadReport&) override {}
};

struct ManyNodes : testing::Test {
    static constexpr int kNodes = 300, kEach = 33;
    io::World world{5};
    io::VirtualLoop& rig = world.start("rig");
    io::VirtualLoop& there = world.start("director");
    fleet::Fleet fleet{[] {
        fleet::FleetSpec s;
        s.rack_kb.assign(kNodes, 1e9);
        return s;
    }()};
    std::vector<std::unique_ptr<standins::NodeEmulator>> nodes;
    std::map<ServerId, io::Address> all;
    Settings settings;
    Heard heard;
    std::unique_ptr<nodes::NodeLink> link;
    SessionId last = 0;

    void SetUp() override {
        settings.rung_kb = {100};
        ClassSettings c;
        c.name = "c", c.rate_factor = 1;
        settings.classes = {c};
        for (int k = 0; k < kNodes; ++k) {
            standins::NodeSettings s;
            s.name = "n" + std::to_string(k);
            s.rung_kb = {100};
            s.classes = {{"c", 1, false}};
            s.idle_timeout = 1e9;
            nodes.push_back(std::make_unique<standins::NodeEmulator>(
                rig, fleet, fleet.add_node({k, 1e6, 1000}), s, standins::EventSink{}));
            nodes.back()->start(true);
            all[static_cast<ServerId>(k)] = nodes.back()->address();
        }
        link = std::make_unique<nodes::NodeLink>(there, "d", settings, nodes::LinkLimits{});
        link->attach(&heard);
        link->know(all);
        run(1000);
        for (int k = 0; k < kNodes; ++k)
            for (int n = 0; n < kEach; ++n) set_up(static_cast<ServerId>(k));
        run(1000);
        ASSERT_EQ(heard.started_, kNodes * kEach);
        ASSERT_EQ(live(), std::size_t(kNodes));
    }
    void TearDown() override {
        world.kill(there);
        link.reset();
    }
    void set_up(ServerId server) {
        core::SetupRequest what;
        what.session = ++last, what.server = server;
        what.request.sid = "s" + std::to_string(last), what.request.title_name = "t";
        link->set_up(what);
    }
    void run(double ms) { world.run_until(world.now() + ms); }
    std::size_t live() const {
        const auto states = link->streams();
        const auto it = states.find(nodes::StreamState::live);
        return it == states.end() ? 0 : it->second;
    }
};

TEST_F(ManyNodes, AllStreamsLostAtOnceComeBackAFewAtATimeAndCostWhatChanged) {
    const auto before = link->counts();
    world.network.reset_probability = 1;
    run(1200);
    world.network.reset_probability = 0;
    EXPECT_LT(live(), 10u);
    const double from = world.now();
    std::size_t most = 0;
    while (live() < std::size_t(kNodes) && world.now() < from + 20000) {
        run(1);
        const auto states = link->streams();
        const auto dialling = states.find(nodes::StreamState::dialling);
        if (dialling != states.end()) most = std::max(most, dialling->second);
    }
    RecordProperty("ms_until_right", std::to_string(world.now() - from));
    std::printf("right again after %.0f ms, %zu dialled at once at most, %llu accounts\n", world.now() - from,
                most, static_cast<unsigned long long>(link->counts().accounts - before.accounts));
    EXPECT_LE(most, 32u);
    EXPECT_LT(world.now() - from, 7000);
    EXPECT_EQ(link->counts().whole_accounts, before.whole_accounts) << "taken up where they ended";
    EXPECT_EQ(heard.over_ + heard.lost_, 0);
    EXPECT_EQ(link->attempts(), std::size_t(kNodes * kEach));
}
TEST_F(ManyNodes, AListThatDropsAndReturnsATenthEachSecondChangesNothing) {
    const auto before = link->counts();
    for (int round = 0; round < 10; ++round) {
        auto some = all;
        for (int k = 0; k < 30; ++k) some.erase(static_cast<ServerId>(round * 30 + k));
        link->know(some);
        run(500);
        link->know(all);
        run(500);
    }
    EXPECT_EQ(link->counts().accounts, before.accounts) << "streams are kept where sessions play";
    EXPECT_EQ(heard.over_ + heard.lost_, 0);
    EXPECT_EQ(live(), std::size_t(kNodes));
}
TEST_F(ManyNodes, NodesThatRestartInALoopEndTheirOwnSessionsOnly) {
    for (int round = 0; round < 5; ++round) {
        for (int k = 0; k < 10; ++k) nodes[static_cast<std::size_t>(k)]->crash();
        run(400);
        for (int k = 0; k < 10; ++k) nodes[static_cast<std::size_t>(k)]->start(true);
        run(600);
        // Set up in the new life, before or after its stream is back: it is that life's.
        for (int k = 0; k < 10; ++k) set_up(static_cast<ServerId>(k));
        run(1500);
    }
    EXPECT_EQ(heard.over_, 10 * kEach + 4 * 10);
    EXPECT_EQ(heard.lost_, 0);
    EXPECT_EQ(link->attempts(), std::size_t((kNodes - 10) * kEach + 10));
    EXPECT_EQ(live(), std::size_t(kNodes));
    EXPECT_GE(heard.lives, 50);
}
TEST_F(ManyNodes, ADirectorThatStoodStillBlamesNoNode) {
    const auto before = link->counts();
    world.stall(there, true);
    run(20000);  // far beyond silence
    world.stall(there, false);
    run(100);
    EXPECT_EQ(link->counts().streams_lost, before.streams_lost);
    EXPECT_EQ(heard.over_ + heard.lost_, 0);
}
TEST_F(ManyNodes, ASilentNodesSessionsAreDoubtfulUntilItSpeaks) {
    nodes[0]->set_hung(true);
    run(60000);
    EXPECT_EQ(heard.lost_, kEach);
    EXPECT_EQ(link->doubtful(), std::size_t(kEach));
    EXPECT_EQ(heard.released_, 0);
    nodes[0]->set_hung(false);
    run(10000);
    EXPECT_EQ(heard.released_, kEach);
    EXPECT_EQ(link->doubtful(), 0u);
    EXPECT_EQ(nodes[0]->session_count(), 0u) << "they are ended there: their viewers were told so";
}
TEST_F(ManyNodes, ANodeOfAnEarlierProtocolIsToldAndGetsNothing) {
    http::Server old(rig, {"127.0.0.1", 7000}, {}, [](const http::ExchangePtr& e) {
        static std::vector<http::ExchangePtr> streams;
        e->start(200, {});
        e->write("{\"event\":\"hello\",\"node\":\"o\",\"boot\":\"1\",\"protocol\":1}\n");
        streams.push_back(e);
        e->on_disconnect([] { streams.clear(); });
    });
    std::vector<std::string> remarks;
    link->on_remark = [&](const std::string& text) { remarks.push_back(text); };
    all[9999] = {"127.0.0.1", 7000};
    link->know(all);
    run(30000);
    ASSERT_EQ(remarks.size(), 1u);
    EXPECT_NE(remarks[0].find("speaks protocol 1; 2 is needed"), std::string::npos);
    set_up(9999);
    run(100);
    EXPECT_EQ(heard.outcomes[Outcome::not_sent], 1);
    all.erase(9999);
    link->know(all);
    run(100);
}

}  // namespace
