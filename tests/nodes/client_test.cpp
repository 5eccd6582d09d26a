// NodeClient with 300 nodes on simulated time: all streams lost at once, a flapping server list, nodes that
// restart in a loop, a director process that was stalled, a node of an earlier protocol version. The cost is
// counted in streams and hellos, not in time.
#include "nodes/client.hpp"

#include <gtest/gtest.h>

#include "http/server.hpp"
#include "io/virtual/world.hpp"
#include "standins/node.hpp"

using namespace ivyfield;

namespace {

struct RecordingEvents : core::NodeEvents {
    int started_count = 0, ended_count = 0, lost_count = 0, released_count = 0, incarnations = 0;
    std::map<Outcome, int> outcomes;
    void on_attempt_started(SessionId, int, const core::Media&) override { started_count += 1; }
    void on_attempt_ended(SessionId, int, Outcome outcome, const LoadReport&) override {
        ended_count += 1, outcomes[outcome] += 1;
    }
    void on_attempt_lost(SessionId, int, Outcome) override { lost_count += 1; }
    void on_attempt_released(SessionId, int) override { released_count += 1; }
    void on_session_note(SessionId, int, ServerId, NoteKind, double) override {}
    bool reclaim_session(const core::OrphanedSession&) override { return false; }
    void on_node_incarnation(ServerId, Time) override { incarnations += 1; }
    void on_probe_result(ServerId, Outcome, Time, const LoadReport&) override {}
};

struct ManyNodes : testing::Test {
    static constexpr int kNodes = 300, kSessionsPerNode = 33;
    io::World world{5};
    io::VirtualLoop& node_loop = world.start("rig");
    io::VirtualLoop& director_loop = world.start("director");
    fleet::Fleet fleet{[] {
        fleet::FleetSpec s;
        s.rack_kb.assign(kNodes, 1e9);
        return s;
    }()};
    std::vector<std::unique_ptr<standins::NodeEmulator>> nodes;
    std::map<ServerId, io::Address> listed;
    Settings settings;
    RecordingEvents events;
    std::unique_ptr<nodes::NodeClient> client;
    SessionId last_session = 0;

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
                node_loop, fleet, fleet.add_node({k, 1e6, 1000}), s, standins::EventSink{}));
            nodes.back()->start(true);
            listed[static_cast<ServerId>(k)] = nodes.back()->address();
        }
        client = std::make_unique<nodes::NodeClient>(director_loop, "d", settings, nodes::NodeClientLimits{});
        client->attach(&events);
        client->set_nodes(listed);
        run(1000);
        for (int k = 0; k < kNodes; ++k)
            for (int n = 0; n < kSessionsPerNode; ++n) set_up(static_cast<ServerId>(k));
        run(1000);
        ASSERT_EQ(events.started_count, kNodes * kSessionsPerNode);
        ASSERT_EQ(synced_count(), std::size_t(kNodes));
    }
    void TearDown() override {
        world.kill(director_loop);
        client.reset();
    }
    void set_up(ServerId server) {
        core::SetupRequest request;
        request.session = ++last_session, request.server = server;
        request.request.sid = "s" + std::to_string(last_session), request.request.title_name = "t";
        client->set_up(request);
    }
    void run(double ms) { world.run_until(world.now() + ms); }
    std::size_t synced_count() const {
        const auto states = client->count_streams();
        const auto it = states.find(nodes::StreamState::synced);
        return it == states.end() ? 0 : it->second;
    }
};

TEST_F(ManyNodes, StreamsLostAllAtOnceAreRedialledAFewAtATimeAndResumed) {
    const auto before = client->counts();
    world.network.reset_probability = 1;
    run(1200);
    world.network.reset_probability = 0;
    EXPECT_LT(synced_count(), 10u);
    const double start = world.now();
    std::size_t max_connecting = 0;
    while (synced_count() < std::size_t(kNodes) && world.now() < start + 20000) {
        run(1);
        const auto states = client->count_streams();
        const auto connecting = states.find(nodes::StreamState::connecting);
        if (connecting != states.end()) max_connecting = std::max(max_connecting, connecting->second);
    }
    RecordProperty("ms_until_synced", std::to_string(world.now() - start));
    std::printf("synced again after %.0f ms, %zu dialled at once at most, %llu hellos\n", world.now() - start,
                max_connecting, static_cast<unsigned long long>(client->counts().hellos - before.hellos));
    EXPECT_LE(max_connecting, 32u);
    EXPECT_LT(world.now() - start, 7000);
    EXPECT_EQ(client->counts().full_snapshots, before.full_snapshots)
        << "streams must resume where they broke";
    EXPECT_EQ(events.ended_count + events.lost_count, 0);
    EXPECT_EQ(client->attempt_count(), std::size_t(kNodes * kSessionsPerNode));
}
TEST_F(ManyNodes, AListThatDropsATenthOfTheNodesForHalfASecondChangesNothing) {
    const auto before = client->counts();
    for (int round = 0; round < 10; ++round) {
        auto partial_list = listed;
        for (int k = 0; k < 30; ++k) partial_list.erase(static_cast<ServerId>(round * 30 + k));
        client->set_nodes(partial_list);
        run(500);
        client->set_nodes(listed);
        run(500);
    }
    EXPECT_EQ(client->counts().hellos, before.hellos) << "streams must be kept to nodes where sessions play";
    EXPECT_EQ(events.ended_count + events.lost_count, 0);
    EXPECT_EQ(synced_count(), std::size_t(kNodes));
}
TEST_F(ManyNodes, NodesThatRestartInALoopEndOnlyTheirOwnSessions) {
    for (int round = 0; round < 5; ++round) {
        for (int k = 0; k < 10; ++k) nodes[static_cast<std::size_t>(k)]->crash();
        run(400);
        for (int k = 0; k < 10; ++k) nodes[static_cast<std::size_t>(k)]->start(true);
        run(600);
        // Set up in the new incarnation, before or after its stream is back: the session belongs to it.
        for (int k = 0; k < 10; ++k) set_up(static_cast<ServerId>(k));
        run(1500);
    }
    EXPECT_EQ(events.ended_count, 10 * kSessionsPerNode + 4 * 10);
    EXPECT_EQ(events.lost_count, 0);
    EXPECT_EQ(client->attempt_count(), std::size_t((kNodes - 10) * kSessionsPerNode + 10));
    EXPECT_EQ(synced_count(), std::size_t(kNodes));
    EXPECT_GE(events.incarnations, 50);
}
TEST_F(ManyNodes, AStalledDirectorDropsNoStream) {
    const auto before = client->counts();
    world.stall(director_loop, true);
    run(20000);  // far longer than the silence timeout
    world.stall(director_loop, false);
    run(100);
    EXPECT_EQ(client->counts().streams_lost, before.streams_lost);
    EXPECT_EQ(events.ended_count + events.lost_count, 0);
}
TEST_F(ManyNodes, SessionsOfASilentNodeAreUnreleasedUntilItAnswers) {
    nodes[0]->set_hung(true);
    run(60000);
    EXPECT_EQ(events.lost_count, kSessionsPerNode);
    EXPECT_EQ(client->unreleased_count(), std::size_t(kSessionsPerNode));
    EXPECT_EQ(events.released_count, 0);
    nodes[0]->set_hung(false);
    run(10000);
    EXPECT_EQ(events.released_count, kSessionsPerNode);
    EXPECT_EQ(client->unreleased_count(), 0u);
    EXPECT_EQ(nodes[0]->session_count(), 0u) << "they must end there: their viewers were told so";
}
TEST_F(ManyNodes, ANodeOfAnEarlierProtocolIsReportedAndGetsNoSetUps) {
    http::Server old(node_loop, {"127.0.0.1", 7000}, {}, [](const http::ExchangePtr& e) {
        static std::vector<http::ExchangePtr> streams;
        e->start(200, {});
        e->write("{\"event\":\"hello\",\"node\":\"o\",\"boot\":\"1\",\"protocol\":1}\n");
        streams.push_back(e);
        e->on_disconnect([] { streams.clear(); });
    });
    std::vector<std::string> warnings;
    client->on_warning = [&](const std::string& text) { warnings.push_back(text); };
    listed[9999] = {"127.0.0.1", 7000};
    client->set_nodes(listed);
    run(30000);
    ASSERT_EQ(warnings.size(), 1u);
    EXPECT_NE(warnings[0].find("speaks protocol 1; 2 is needed"), std::string::npos);
    set_up(9999);
    run(100);
    EXPECT_EQ(events.outcomes[Outcome::not_sent], 1);
    listed.erase(9999);
    client->set_nodes(listed);
    run(100);
}

}  // namespace
