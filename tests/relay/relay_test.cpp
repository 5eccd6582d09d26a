// End-to-end tests of the platform's director in the virtual world, with viewers, nodes and a name server
// that fail in various ways.
#include <fstream>
#include <numeric>

#include "rig.hpp"

namespace ivyfield::relaytest {
namespace {

// Records what a RelayNodes reports, without engine and module.
struct EventRecorder : core::NodeEvents {
    std::vector<std::pair<SessionId, Outcome>> ends;
    int starts = 0;
    void on_attempt_started(SessionId, int, const core::Media&) override { starts += 1; }
    void on_attempt_ended(SessionId id, int, Outcome outcome, const LoadReport&) override {
        ends.emplace_back(id, outcome);
    }
    void on_attempt_lost(SessionId, int, Outcome) override {}
    void on_attempt_released(SessionId, int) override {}
    void on_session_note(SessionId, int, ServerId, NoteKind, double) override {}
    bool reclaim_session(const core::OrphanedSession&) override { return false; }
    void on_node_incarnation(ServerId, Time) override {}
    void on_probe_result(ServerId, Outcome, Time, const LoadReport&) override {}
};

TEST(Relay, ServesASessionFromSetUpToItsEnd) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    v.send_line(R"({"type":"ping","id":"0000000000000001","fields":{},"cause":0})");
    v.send_line(make_setup_line(0xabc, "paid"));
    rig.run_for(200);
    ASSERT_EQ(v.received_of(MessageType::pong).size(), 1u);
    EXPECT_EQ(v.received_of(MessageType::pong)[0].cause, 1);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
    EXPECT_EQ(v.received_of(MessageType::answer)[0].id, "0000000000000abc");
    EXPECT_EQ(*v.received_of(MessageType::answer)[0].sdp, "answer to offer 0000000000000abc");
    const auto sent = rig.nodes[0]->received_of(MessageType::setup);
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].session, 0xabcu);
    EXPECT_EQ(*sent[0].find(ParameterCode::cls), "paid");
    EXPECT_EQ(*sent[0].find(ParameterCode::title), "7f3a9c21e0b4d655");
    EXPECT_EQ(*sent[0].find(ParameterCode::sdp), "offer 0000000000000abc");
    ASSERT_TRUE(sent[0].find(ParameterCode::rung));
    EXPECT_LE(std::stoi(*sent[0].find(ParameterCode::wait)), 4000);
    // The node sends the session's end twice; the viewer is sent one release.
    rig.nodes[0]->links.back().send(MessageType::release, 0xabc, 16);
    rig.nodes[0]->links.back().send(MessageType::release, 0xabc, 16);
    rig.run_for(200);
    ASSERT_EQ(v.received_of(MessageType::release).size(), 1u);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
}

TEST(Relay, PingsAskForALoadReport) {
    Rig rig;
    rig.connect_viewer().send_line(make_setup_line(1, "paid"));
    rig.run_for(200);
    const auto tests = rig.nodes[0]->received_of(MessageType::ping);
    ASSERT_FALSE(tests.empty());
    EXPECT_EQ(tests[0].cause, 1);
}

TEST(Relay, HandedOverSessionsHaveNoBoundOnTheirWaitAndAreKept) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(5, "paid", 4294967, "home:0;copies:12;top:1;viewer:00000000b4d65521;at:s-0"));
    v.send_line(make_setup_line(5, "paid", 4294967, "home:0;copies:12;top:1;viewer:00000000b4d65521;at:s-0"));
    v.send_line(make_setup_line(6, "paid", 4294967, "home:0;copies:12;top:1;viewer:00000000b4d65521;at:s-9"));
    v.send_line(make_setup_line(7, "paid", 4294967));
    rig.run_for(300);
    EXPECT_EQ(rig.director->engine().established_sessions(), 1u);
    // Rejected: a session at an unlisted node, and an unbounded wait for a session that does not play yet.
    ASSERT_EQ(v.received_of(MessageType::release).size(), 2u);
    EXPECT_GE(rig.nodes[0]->count_open_links(), 1u) << "a connection is kept to nodes with sessions";
    rig.nodes[0]->links.back().send(MessageType::release, 5, 41);
    rig.run_for(300);
    EXPECT_EQ(v.received_of(MessageType::release).size(), 3u);
}

TEST(Relay, AViewerCancelsASetUpAndEndsASession) {
    Rig rig;
    rig.nodes[0]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    rig.run_for(200);
    v.send_line(make_release_line(1, 16));
    rig.run_for(200);
    EXPECT_TRUE(v.received.empty()) << "no answer to a cancelled set-up";
    EXPECT_LT(rig.nodes[0]->count_open_links(), rig.nodes[0]->links.size())
        << "cancelled at the node by closing the connection";
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
    // An established session is ended from another connection.
    rig.nodes[0]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::setup) link.send(MessageType::answer, m.session, -1, {{63, "x"}});
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    v.send_line(make_setup_line(2, "free one"));
    rig.run_for(200);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
    Viewer& other = rig.connect_viewer();
    other.send_line(make_release_line(2, 31));
    rig.run_for(200);
    EXPECT_EQ(other.received_of(MessageType::released).size(), 1u);
    EXPECT_EQ(v.received_of(MessageType::release).size(), 0u);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
    ASSERT_FALSE(rig.nodes[0]->received_of(MessageType::release).empty());
    EXPECT_EQ(rig.nodes[0]->received_of(MessageType::release).back().session, 2u);
}

TEST(Relay, ASetUpIsAbandonedWhenItsViewerCloses) {
    Rig rig;
    rig.nodes[0]->on_message = nullptr;
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "free one"));
    rig.run_for(120);
    v.stream.reset();
    rig.run_for(100);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
    EXPECT_EQ(rig.director->front().pending_setups(), 0u);
}

// Guards against a paid set-up that runs twice because it comes again after its client's connection broke.
TEST(Relay, APaidSetUpThatComesAgainAfterItsClientLeftIsNotRunTwice) {
    for (const bool paid : {true, false}) {
        Rig rig(2);
        for (auto& node : rig.nodes)
            node->on_message = [](auto& link, const auto& m) {
                if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
            };
        Viewer& first = rig.connect_viewer();
        first.send_line(make_setup_line(1, paid ? "paid" : "free one"));
        rig.run_for(50);
        const auto count_setups = [&] {
            return rig.nodes[0]->received_of(MessageType::setup).size() +
                   rig.nodes[1]->received_of(MessageType::setup).size();
        };
        ASSERT_EQ(count_setups(), 1u);
        first.stream.reset();
        rig.run_for(15);
        Viewer& again = rig.connect_viewer();
        again.send_line(make_setup_line(1, paid ? "paid" : "free one"));
        rig.run_for(50);
        EXPECT_EQ(count_setups(), paid ? 1u : 2u);
        if (!paid) continue;
        ASSERT_EQ(again.received_of(MessageType::release).size(), 1u);
        EXPECT_EQ(again.received_of(MessageType::release)[0].cause, 47) << "failed, not refused";
    }
}

TEST(Relay, ARepeatedSessionNumberDisturbsNeitherAnswer) {
    Rig rig;
    rig.nodes[0]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    Viewer &v = rig.connect_viewer(), &other = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    rig.run_for(200);
    other.send_line(make_setup_line(1, "paid"));
    other.send_line(make_release_line(1, 16));
    rig.run_for(100);
    EXPECT_EQ(other.received_of(MessageType::answer).size(), 0u);
    EXPECT_EQ(other.received_of(MessageType::release).size(), 1u);
    EXPECT_FALSE(other.open) << "it tried to cancel another connection's set-up";
    EXPECT_EQ(rig.director->front().pending_setups(), 1u);
    rig.nodes[0]->links.front().send(MessageType::answer, 1, -1, {{63, "y"}});
    rig.run_for(100);
    EXPECT_EQ(v.received_of(MessageType::answer).size(), 1u);
}

TEST(Relay, InvalidSetUpsAreRejectedAtOnce) {
    Rig rig;
    const std::string good = "home:0;copies:12;top:1;viewer:00000000b4d65521";
    const std::vector<std::string> lines = {
        make_setup_line(1, "gold"),
        make_setup_line(1, "paid", -5),
        make_setup_line(1, "paid", 999999),
        make_setup_line(1, "paid", 4000, "home:-1;copies:12;top:1;viewer:00000000b4d65521"),
        make_setup_line(1, "paid", 4000, "home:12;copies:12;top:1;viewer:00000000b4d65521"),
        make_setup_line(1, "paid", 4000, "home:0;copies:1e9;top:1;viewer:00000000b4d65521"),
        make_setup_line(1, "paid", 4000, "home:0;copies:12;top:7;viewer:00000000b4d65521"),
        make_setup_line(1, "paid", 4000, "home:0;copies:12;top:1;viewer:x"),
        make_setup_line(1, "paid", 4000, ";;"),
        make_setup_line(1, "paid", 4000, good, R"(,"tenant":"nobody")"),
        R"({"type":"setup","id":"0000000000000001","fields":{}})",
        R"({"type":"sing","id":"0000000000000001"})"};
    for (const std::string& line : lines) {
        Viewer& v = rig.connect_viewer();
        v.send_line(line);
        rig.run_for(50);
        ASSERT_EQ(v.received.size(), 1u) << line;
        EXPECT_EQ(v.received[0].type, MessageType::release) << line;
        EXPECT_NE(v.received[0].cause, 34) << line;
    }
    for (const std::string& line : {std::string("noise"), std::string("{}"), std::string("\xff\xfe"),
                                    std::string(20000, 'x'), std::string(R"({"type":"setup"})")}) {
        Viewer& v = rig.connect_viewer();
        v.send_line(line);
        rig.run_for(100);
        EXPECT_FALSE(v.open) << line.substr(0, 20);
    }
    EXPECT_TRUE(rig.nodes[0]->received_of(MessageType::setup).empty());
    EXPECT_EQ(rig.director->engine().counts().accepted, 0u);
}

TEST(Relay, HundredsOfSilentConnectionsLeaveRoomForOthers) {
    Rig rig(1, 64);
    for (int k = 0; k < 300; ++k) rig.connect_viewer();
    rig.run_for(50);
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    for (int k = 0; k < 50; ++k) rig.connect_viewer();
    rig.run_for(300);
    EXPECT_EQ(v.received_of(MessageType::answer).size(), 1u);
    EXPECT_LE(rig.director->front().connection_count(), 64u * 2 / 5);
}

TEST(Relay, AMalformedAnswerFailsOnlyItsOwnSetUp) {
    const std::vector<std::string> malformed = {std::string("\xff\xff garbage", 10),
                                                std::string("\0\x0d\x63\0\0\0\0\0\0\0\1=\0\1\1", 15),
                                                std::string("\0\x0c\x09\0\0\0\0\0\0\0\1?\0\5", 14)};
    for (const std::string& bytes : malformed) {
        Rig rig;
        std::vector<std::pair<Node::Link*, std::uint64_t>> waiting;
        rig.nodes[0]->on_message = [&](auto& link, const auto& m) {
            if (m.type == MessageType::ping) return link.send(MessageType::pong, m.session, 1);
            if (m.type == MessageType::setup) waiting.emplace_back(&link, m.session);
        };
        Viewer& v = rig.connect_viewer();
        v.send_line(make_setup_line(1, "paid"));
        rig.run_for(100);
        v.send_line(make_setup_line(2, "paid"));
        rig.run_for(100);
        ASSERT_EQ(waiting.size(), 2u);
        ASSERT_NE(waiting[0].first, waiting[1].first) << "one pending set-up per connection";
        waiting[0].first->stream->write(bytes);
        rig.run_for(100);
        // The set-up may have run: it is neither refused nor sent again.
        ASSERT_EQ(v.received_of(MessageType::release).size(), 1u);
        EXPECT_EQ(v.received_of(MessageType::release)[0].session, 1u);
        EXPECT_EQ(v.received_of(MessageType::release)[0].cause, 47);
        waiting[1].first->send(MessageType::answer, 2, -1, {{63, "x"}});
        rig.run_for(1000);
        EXPECT_EQ(v.received_of(MessageType::answer).size(), 1u);
        EXPECT_EQ(rig.nodes[0]->received_of(MessageType::setup).size(), 2u);
    }
}

TEST(Relay, ASessionDescriptionThatIsNotUtf8IsAMalformedAnswer) {
    Rig rig;
    rig.nodes[0]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
        if (m.type == MessageType::setup) link.send(MessageType::answer, m.session, -1, {{63, "\xff\xfe"}});
    };
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    rig.run_for(500);
    EXPECT_EQ(v.received_of(MessageType::answer).size(), 0u);
    EXPECT_EQ(v.received_of(MessageType::release).size(), 1u);
}

TEST(Relay, ExtraAnswersAffectNoOtherSetUp) {
    Rig rig;
    rig.nodes[0]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
        if (m.type != MessageType::setup) return;
        link.send(MessageType::answer, 0xdead, -1, {{63, "ahead"}});
        link.send(MessageType::answer, m.session, -1, {{63, "x"}});
        link.send(MessageType::answer, m.session, -1, {{63, "again"}});
    };
    Viewer& v = rig.connect_viewer();
    for (std::uint64_t id = 1; id <= 5; ++id) v.send_line(make_setup_line(id, "paid"));
    rig.run_for(1000);
    EXPECT_EQ(v.received.size(), 5u);
    EXPECT_EQ(v.received_of(MessageType::answer).size(), 5u);
}

TEST(Relay, ASessionThatEndsWithItsAnswerIsAnsweredAndReleased) {
    Rig rig(2);
    rig.nodes[0]->on_message = rig.nodes[1]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
        if (m.type == MessageType::setup) link.send(MessageType::release, m.session, 16, {{63, "short"}});
    };
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    rig.run_for(500);
    ASSERT_EQ(v.received.size(), 2u);
    EXPECT_EQ(v.received[0].type, MessageType::answer);
    EXPECT_EQ(*v.received[0].sdp, "short");
    EXPECT_EQ(v.received[1].type, MessageType::release);
    EXPECT_EQ(rig.nodes[0]->received_of(MessageType::setup).size() +
                  rig.nodes[1]->received_of(MessageType::setup).size(),
              1u);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
}

// The saved list of the start may be old, so its nodes are paced as cold until the name server has confirmed
// the list at a later moment than the director's start. The module is given the confirmed list again and
// again.
TEST(Relay, AFreshFullListEndsTheColdPacingOfTheStart) {
    const auto served_after = [](double ms) {
        Rig rig(2, 256, 60000);
        Viewer& v = rig.connect_viewer();
        v.send_line(make_setup_line(1, "free one"));
        rig.run_for(ms);
        const auto before = v.received_of(MessageType::answer).size();
        for (std::uint64_t id = 2; id <= 13; ++id) v.send_line(make_setup_line(id, "free one"));
        rig.run_for(500);
        return v.received_of(MessageType::answer).size() - before;
    };
    EXPECT_LE(served_after(500), 3u);
    EXPECT_GE(served_after(5000), 10u);
}

TEST(Relay, APaidSetUpRefusedAsFullIsRetriedElsewhere) {
    Rig rig(2);
    const auto full = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
        if (m.type == MessageType::setup) link.send(MessageType::release, m.session, 34);
    };
    rig.nodes[0]->on_message = full;
    Viewer& v = rig.connect_viewer();
    for (std::uint64_t id = 1; id <= 6; ++id) v.send_line(make_setup_line(id, "paid"));
    rig.run_for(1500);
    EXPECT_EQ(v.received_of(MessageType::answer).size(), 6u);
}

TEST(Relay, ATimedOutSetUpIsCancelledAtItsNodeBeforeTheNextAttempt) {
    Rig rig(2);
    int silent = 0;
    const auto silent_once = [&silent](auto& link, const auto& m) {
        if (m.type == MessageType::ping) return link.send(MessageType::pong, m.session, 1);
        if (m.type != MessageType::setup) return;
        if (silent++ == 0) return;
        link.send(MessageType::answer, m.session, -1, {{63, "x"}});
    };
    rig.nodes[0]->on_message = rig.nodes[1]->on_message = silent_once;
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "free one"));
    rig.run_for(1500);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
    EXPECT_EQ(rig.nodes[0]->received_of(MessageType::release).size() +
                  rig.nodes[1]->received_of(MessageType::release).size(),
              1u);
}

TEST(Relay, ADeadNodeProcessEndsItsSessionsAndAConnectionResetDoesNot) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    rig.run_for(200);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
    // The node's connections are reset but its process lives: it is dialled again and no session ends.
    for (auto& link : rig.nodes[0]->links) link.stream.reset();
    rig.run_for(300);
    EXPECT_EQ(v.received_of(MessageType::release).size(), 0u);
    EXPECT_EQ(rig.director->engine().established_sessions(), 1u);
    // The node's process dies: nothing listens on its address.
    rig.nodes[0]->listener.reset();
    for (auto& link : rig.nodes[0]->links) link.stream.reset();
    rig.run_for(300);
    EXPECT_EQ(v.received_of(MessageType::release).size(), 1u);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
}

// A node's release is lost with a connection that breaks. The node sends it again on the next connection that
// is opened, so the director must open one even if it has others.
TEST(Relay, ABrokenNodeConnectionIsReplacedThoughOthersAreOpen) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    for (std::uint64_t id = 1; id <= 4; ++id) v.send_line(make_setup_line(id, "paid"));
    rig.run_for(500);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 4u);
    ASSERT_GE(rig.nodes[0]->count_open_links(), 2u);
    rig.nodes[0]->on_link_open = [](auto& link) { link.send(MessageType::release, 1, 16); };
    rig.nodes[0]->links.front().stream.reset();
    rig.run_for(200);
    ASSERT_EQ(v.received_of(MessageType::release).size(), 1u);
    EXPECT_EQ(v.received_of(MessageType::release)[0].session, 1u);
}

// What a node sends on a connection before it sees the director's end of it must be received.
TEST(Relay, ASessionEndThatCrossesTheCloseOfItsNodeConnectionIsReceived) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    rig.run_for(300);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
    // The viewer cancels another set-up, so the director ends that set-up's connection.
    rig.nodes[0]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    rig.nodes[0]->on_link_end = [](auto& link) { link.send(MessageType::release, 1, 16); };
    v.send_line(make_setup_line(2, "free one"));
    rig.run_for(200);
    v.send_line(make_release_line(2, 16));
    rig.run_for(200);
    ASSERT_EQ(v.received_of(MessageType::release).size(), 1u);
    EXPECT_EQ(v.received_of(MessageType::release)[0].session, 1u);
}

TEST(Relay, ANodeThatResetsEveryConnectionIsNotDialledEndlessly) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    rig.run_for(300);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
    const auto before = rig.nodes[0]->links.size();
    rig.nodes[0]->on_link_open = [&](auto& link) { rig.nodes_loop.post([&link] { link.stream.reset(); }); };
    rig.nodes[0]->links.front().stream.reset();
    for (auto& link : rig.nodes[0]->links) link.stream.reset();
    rig.run_for(5000);
    EXPECT_GE(rig.nodes[0]->links.size(), before + 4);
    EXPECT_LE(rig.nodes[0]->links.size(), before + 14);
}

// While a node sends messages, the director does not dial it to check whether its machine is there.
TEST(Relay, ANodeThatSendsMessagesIsNotDialledToCheckIt) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    rig.run_for(300);
    const auto dials = rig.director->nodes().counts().dials;
    for (int k = 0; k < 40; ++k) {
        rig.nodes[0]->links.back().send(MessageType::note, 1, -1, {{47, "share"}, {57, "0.99"}});
        rig.run_for(250);
    }
    EXPECT_EQ(rig.director->nodes().counts().dials, dials);
}

TEST(Relay, AVanishedMachineEndsItsSessionsAndAHungNodeDoesNot) {
    Rig rig;
    rig.nodes[0]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
        if (m.type == MessageType::setup) link.send(MessageType::answer, m.session, -1, {{63, "x"}});
    };
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    rig.run_for(200);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
    rig.nodes[0]->on_message = nullptr;  // the node hangs; connections are still established
    rig.run_for(20000);
    EXPECT_EQ(rig.director->engine().established_sessions(), 1u);
    EXPECT_LE(rig.nodes[0]->count_open_links(), 3u);
    rig.nodes[0]->listener->pause();  // no connection is established
    rig.run_for(7500);
    EXPECT_EQ(v.received_of(MessageType::release).size(), 1u);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
}

// Guards against a lost machine that is never dialled because its viewers go on ending their sessions.
TEST(Relay, AVanishedMachineIsNoticedWhileItsViewersHangUp) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    constexpr std::uint64_t kSessions = 20, kLeaving = 14;
    for (std::uint64_t id = 1; id <= kSessions; ++id) v.send_line(make_setup_line(id, "paid"));
    rig.run_for(1000);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), kSessions);
    rig.nodes[0]->on_message = nullptr;
    rig.nodes[0]->listener->pause();
    for (std::uint64_t id = 1; id <= kLeaving; ++id) {
        v.send_line(make_release_line(id, 16));
        rig.run_for(350);
    }
    std::set<std::uint64_t> told;
    for (const auto& m : v.received_of(MessageType::release)) told.insert(m.session);
    for (std::uint64_t id = kLeaving + 1; id <= kSessions; ++id) EXPECT_TRUE(told.count(id)) << id;
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
}

TEST(Relay, SessionEndsAreSentOnAnotherConnectionOrOnTheNext) {
    Rig rig;
    Viewer &v = rig.connect_viewer(), &other = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    v.send_line(make_setup_line(2, "paid"));
    other.send_line(make_setup_line(3, "paid"));
    rig.run_for(500);
    v.stream.reset();
    rig.run_for(50);
    EXPECT_EQ(rig.director->engine().established_sessions(), 3u) << "sessions are not bound to a connection";
    rig.nodes[0]->links.back().send(MessageType::release, 1, 16);
    rig.run_for(100);
    ASSERT_EQ(other.received_of(MessageType::release).size(), 1u);
    EXPECT_EQ(other.received_of(MessageType::release)[0].session, 1u);
    other.stream.reset();
    rig.run_for(50);
    rig.nodes[0]->links.back().send(MessageType::release, 2, 16);
    rig.run_for(100);
    Viewer& next = rig.connect_viewer();
    next.send_line(make_setup_line(4, "paid"));
    rig.run_for(300);
    ASSERT_EQ(next.received_of(MessageType::release).size(), 1u);
    EXPECT_EQ(next.received_of(MessageType::release)[0].session, 2u);
}

TEST(Relay, SetUpsShareConnectionsOnceNoMoreMayBeOpened) {
    Rig rig(1, 16);
    rig.nodes[0]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    Viewer& v = rig.connect_viewer();
    for (std::uint64_t id = 1; id <= 30; ++id) v.send_line(make_setup_line(id, "free one"));
    rig.run_for(300);
    EXPECT_GT(rig.nodes[0]->received_of(MessageType::setup).size(), 8u);
    EXPECT_LE(rig.director->nodes().connection_count(), 8u);
    EXPECT_GT(rig.director->nodes().counts().shared_connections, 0u);
    rig.run_for(5000);
    EXPECT_EQ(v.received.size(), 30u) << "each is answered exactly once";
}

TEST(Relay, ADrainingNodeGetsNoNewSetUps) {
    Rig rig(2);
    rig.listed[0].state = "draining";
    rig.publish_list(rig.listed);
    Viewer& v = rig.connect_viewer();
    for (std::uint64_t id = 1; id <= 5; ++id) v.send_line(make_setup_line(id, "paid"));
    rig.run_for(1000);
    EXPECT_EQ(v.received_of(MessageType::answer).size(), 5u);
    EXPECT_TRUE(rig.nodes[0]->received_of(MessageType::setup).empty());
}

TEST(Relay, ARemovedNodeEndsItsSessionsAndItsSuccessorInheritsNone) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    rig.run_for(200);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
    rig.publish_list({{"s-new", rig.listed[0].address}});
    EXPECT_EQ(v.received_of(MessageType::release).size(), 1u);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
    v.send_line(make_setup_line(2, "paid"));
    rig.run_for(300);
    EXPECT_EQ(v.received_of(MessageType::answer).size(), 2u);
}

// Guards against the sessions of a dead process that are taken for those of its successor at the address.
TEST(Relay, ANodeThatStartsAgainEndsOnlyTheSessionsOfItsEarlierProcess) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    v.send_line(make_setup_line(2, "paid"));
    rig.run_for(300);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 2u);
    // The process dies and starts again; no dial is refused. A session is set up before the list tells.
    for (auto& link : rig.nodes[0]->links) link.stream.reset();
    const double started_unix_ms = rig.names_loop.wall_ms();
    rig.run_for(600);
    v.send_line(make_setup_line(3, "free one"));
    rig.run_for(600);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 3u);
    EXPECT_EQ(v.received_of(MessageType::release).size(), 0u);
    rig.listed[0].started_unix_ms = started_unix_ms;
    rig.publish_list(rig.listed);
    std::set<std::uint64_t> told;
    for (const auto& m : v.received_of(MessageType::release)) told.insert(m.session);
    EXPECT_EQ(told, (std::set<std::uint64_t>{1, 2}));
    EXPECT_EQ(rig.director->engine().established_sessions(), 1u);
}

// Guards against a silent connection to a machine that was lost being used for its next process.
TEST(RelayNodes, AConnectionToAnEarlierProcessOrAddressCarriesNoSetUp) {
    for (const bool moved : {false, true}) {
        io::World world(5);
        auto& there = world.start("node");
        auto& here = world.start("director");
        const io::Address at{"127.0.0.1", 9001}, elsewhere{"127.0.0.1", 9002};
        Node node(there, at), other(there, elsewhere);
        EventRecorder recorder;
        nodes::RelayNodes port(here, {});
        port.attach(&recorder);
        port.set_nodes({{1, {"s-0", at, true}}});
        core::SetupRequest setup;
        setup.session = 7, setup.server = 1, setup.expires = 1000;
        port.set_up(setup);
        world.run_until(500);
        ASSERT_EQ(recorder.starts, 1);
        port.set_nodes({{1, {"s-0", moved ? elsewhere : at, true, moved ? 0.0 : 600.0}}});
        world.run_until(700);
        EXPECT_EQ(recorder.ends, (std::vector<std::pair<SessionId, Outcome>>{{7, Outcome::reset}}));
        setup.session = 8, setup.expires = 2000;
        port.set_up(setup);
        world.run_until(1200);
        EXPECT_EQ(recorder.starts, 2);
        EXPECT_EQ(node.received_of(MessageType::setup).size(), moved ? 1u : 2u);
        EXPECT_EQ(other.received_of(MessageType::setup).size(), moved ? 1u : 0u);
        EXPECT_EQ(node.links.size(), moved ? 1u : 2u) << "on a new connection";
    }
}

TEST(Relay, InvalidDnsResponsesChangeNothing) {
    Rig rig(2);
    rig.run_for(300);
    const auto taken = [&] { return rig.director->status()["list"]["taken"].get<int>(); };
    ASSERT_EQ(taken(), 0);
    rig.name_server->nodes.pop_back();
    rig.name_server->serial = 4;
    const std::vector<std::function<std::string(std::string)>> faults = {
        [](std::string) { return ""; },                                          // lost
        [](std::string s) { return s[0] ^= 1, s; },                              // another id
        [](std::string s) { return s[2] = static_cast<char>(s[2] | 2), s; },     // truncated
        [](std::string s) { return s[3] = static_cast<char>(s[3] | 2), s; },     // error code
        [](std::string s) { return s[2] = static_cast<char>(s[2] & 0x7f), s; },  // not a response
        [](std::string s) { return s[13] ^= 2, s; },                             // another question
        [](std::string s) { return s.substr(0, s.size() / 2); },                 // first half only
        [](std::string s) { return s.substr(0, 12); }};
    for (const auto& fault : faults) {
        rig.name_server->corrupt = fault;
        rig.run_for(1000);
        EXPECT_EQ(taken(), 0);
    }
    rig.name_server->corrupt = nullptr;
    rig.name_server->serial = 2;  // older
    rig.run_for(1000);
    EXPECT_EQ(taken(), 0);
    rig.name_server->serial = 4;
    rig.run_for(600);
    EXPECT_EQ(taken(), 1);
    rig.run_for(1000);
    EXPECT_EQ(taken(), 1);
}

TEST(Relay, DamagedDnsResponsesAreAcceptedWholeOrNotAtAll) {
    const std::string query = discovery::build_srv_query("_api._tcp.svc.local", 77);
    std::vector<ListedNode> nodes;
    for (int k = 0; k < 5; ++k) nodes.push_back({"s-" + std::to_string(k), {"10.0.0.1", 5060}});
    const std::string good = make_dns_response(query, 9, nodes);
    std::string fault;
    const auto whole = discovery::parse_srv_response(good, "_api._tcp.svc.local", 77, fault);
    ASSERT_TRUE(whole) << fault;
    EXPECT_EQ(whole->serial, 9u);
    ASSERT_EQ(whole->members.size(), 5u);
    const discovery::Member& m = whole->members.at("s-3");
    EXPECT_EQ(m.zone, "room");
    EXPECT_EQ(m.weight, 4);
    EXPECT_EQ(m.cell, 2);
    EXPECT_EQ(m.kind, "std");
    for (std::size_t cut = 0; cut < good.size(); ++cut)
        EXPECT_FALSE(discovery::parse_srv_response(std::string_view(good).substr(0, cut),
                                                   "_api._tcp.svc.local", 77, fault));
    std::mt19937 random(3);
    for (int k = 0; k < 20000; ++k) {
        std::string bad = good;
        for (int n = 0; n < 3; ++n) bad[random() % bad.size()] = static_cast<char>(random());
        discovery::parse_srv_response(bad, "_api._tcp.svc.local", 77, fault);
    }
}

TEST(Relay, AReloadMovesToAnotherNameServerAndSerialsContinue) {
    Rig rig(2);
    rig.run_for(300);
    const io::Address other{"127.0.0.1", 5301};
    NameServer second(rig.names_loop, other, 4, {rig.listed[0]});
    rig.name_server->socket.reset();
    rig.director->reload(config::parse_relay_config(make_director_config(rig.listed, other.text())));
    rig.run_for(600);
    EXPECT_GT(second.query_count, 0);
    EXPECT_EQ(rig.director->status()["list"]["taken"].get<int>(), 1);
}

TEST(Relay, StopsWhenAllAcceptedSetUpsAreAnswered) {
    Rig rig;
    rig.nodes[0]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid", 2000));
    rig.run_for(100);
    bool done = false;
    rig.director->stop([&] { done = true; });
    rig.run_for(500);
    Viewer& late = rig.connect_viewer();
    late.send_line(make_setup_line(2, "free one", 2000));
    rig.run_for(400);
    EXPECT_FALSE(done);
    rig.run_for(3000);
    EXPECT_TRUE(done);
    EXPECT_EQ(v.received.size(), 1u);
    EXPECT_EQ(late.received.size(), 1u);
}

// A viewer ends its session at the node, shortly or long after the answer: it must not be sent a release.
TEST(Relay, NoReleaseIsSentWhenTheViewerEndedItsSessionAtTheNode) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    rig.nodes[0]->on_message = [&](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
        if (m.type != MessageType::setup) return;
        link.send(MessageType::answer, m.session, -1, {{63, "x"}});
        if (m.session == 1) link.send(MessageType::release, m.session, 31);
    };
    v.send_line(make_setup_line(1, "paid", 2000));
    v.send_line(make_setup_line(2, "paid", 2000));
    rig.run_for(500);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 2u);
    for (auto& link : rig.nodes[0]->links)
        if (link.open) link.send(MessageType::release, 2, 31);
    rig.run_for(500);
    EXPECT_EQ(v.received.size(), 2u);
    EXPECT_EQ(rig.director->engine().established_sessions(), 0u);
    EXPECT_EQ(rig.director->engine().counts().ends_crossing_answers, 1u)
        << "only the first one crossed its answer";
}

// A client ends its session while the node connection is lost and the next one is established only later: the
// director must not exit before the node has received the release.
TEST(Relay, ADirectorExitsOnceItsNodesHaveReceivedEveryRelease) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid", 2000));
    rig.run_for(300);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
    bool done = false;
    rig.director->stop([&] { done = true; });
    rig.run_for(400);
    rig.nodes[0]->listener->pause();
    for (auto& link : rig.nodes[0]->links)
        if (link.open) link.stream.reset();
    rig.run_for(50);
    v.send_line(make_release_line(1, 16));
    rig.run_for(480);
    EXPECT_FALSE(done) << "a node has not received a release, though nothing is owed to clients";
    rig.nodes[0]->listener->resume();
    rig.run_for(3000);
    EXPECT_TRUE(done);
    EXPECT_FALSE(rig.nodes[0]->received_of(MessageType::release).empty());
}

// A session ends while its client has no connection that has carried a set-up, only one that has sent a ping.
// The release must be sent on that one in time.
TEST(Relay, ASessionEndIsSentOnAPingedConnectionIfThereIsNoOther) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid", 2000));
    rig.run_for(300);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
    v.stream->end();
    Viewer& silent = rig.connect_viewer();
    Viewer& tested = rig.connect_viewer();
    tested.send_line(R"({"type":"ping","id":"00000000000000ff","fields":{},"cause":0})");
    rig.run_for(100);
    for (auto& link : rig.nodes[0]->links)
        if (link.open) link.send(MessageType::release, 1, 16);
    rig.run_for(4000);
    EXPECT_EQ(tested.received_of(MessageType::release).size(), 1u);
    EXPECT_TRUE(silent.received.empty()) << "not sent on a connection that has sent nothing";
}

// A node hangs while the director ends a connection to it and, without the node's end, drops it. When the
// node runs again, it sends a session's release on the dropped connection, where it is lost, and again on the
// next connection that is opened. So the director must open one when it hears from the node again.
TEST(Relay, ANodeHeardAgainAfterAnUnansweredCloseIsDialled) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    Node& node = *rig.nodes[0];
    v.send_line(make_setup_line(1, "paid", 2000));
    rig.run_for(300);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
    const auto default_handler = std::exchange(node.on_message, [](auto&, const auto&) {});
    v.send_line(make_setup_line(2, "paid", 2000));
    rig.run_for(100);
    const auto own = std::find_if(node.links.begin(), node.links.end(), [](const auto& l) { return l.open; });
    ASSERT_NE(own, node.links.end());
    for (auto& link : node.links) link.stream->pause();
    node.on_link_open = [](auto& link) { link.stream->pause(); };
    v.send_line(make_release_line(2, 16));
    rig.run_for(1500);
    const std::size_t dialled = node.links.size();
    node.on_message = default_handler;
    node.on_link_open = [](auto& link) { link.send(MessageType::release, 1, 16); };
    auto& other = node.links.back();
    ASSERT_TRUE(other.open);
    other.send(MessageType::note, 1, -1, {{47, "share"}, {57, "1"}});
    rig.run_for(400);
    EXPECT_GT(node.links.size(), dialled) << "the release is received on no other connection";
    EXPECT_EQ(v.received_of(MessageType::release).size(), 1u);
}

// A connection is ended right after an answer, and the session's end is sent on another connection. If the
// client read that first, it would take it for the answer, and the answer for a second one.
TEST(Relay, ASessionEndSentOnAnotherConnectionDoesNotOvertakeItsAnswer) {
    Rig rig;
    Viewer& own = rig.connect_viewer();
    Viewer& other = rig.connect_viewer();
    rig.nodes[0]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    own.send_line(make_setup_line(1, "paid", 3000));
    other.send_line(make_setup_line(2, "paid", 3000));
    rig.run_for(100);
    rig.director->stop([] {});
    rig.run_for(900);
    const auto tell = [&](MessageType type, int cause, std::map<int, std::string> with) {
        for (auto& link : rig.nodes[0]->links)
            if (link.open) link.send(type, 1, cause, with);
    };
    tell(MessageType::answer, -1, {{63, "x"}});
    rig.run_for(10);
    ASSERT_EQ(own.received_of(MessageType::answer).size(), 1u);
    ASSERT_FALSE(own.open) << "drained";
    tell(MessageType::release, 16, {});
    rig.run_for(30);
    EXPECT_TRUE(other.received.empty()) << "the answer may not have arrived yet";
    rig.run_for(100);
    ASSERT_EQ(other.received.size(), 1u);
    EXPECT_EQ(other.received[0].session, 1u);
}

TEST(Relay, EachCloseOfAClientConnectionIsCountedOnceUnderItsReason) {
    Rig rig;
    rig.nodes[0]->on_message = [](auto&, const auto&) {};
    Viewer& closes = rig.connect_viewer();
    Viewer& sends_garbage = rig.connect_viewer();
    rig.connect_viewer();
    closes.send_line(make_setup_line(1, "paid", 2000));
    rig.run_for(100);
    closes.stream->end();
    sends_garbage.send_line("no message");
    rig.run_for(100);
    bool done = false;
    rig.director->stop([&] { done = true; });
    rig.run_for(3000);
    ASSERT_TRUE(done);
    const auto& closed = rig.director->front().counts().closed;
    const auto of = [&](fronts::CloseReason reason) { return closed[static_cast<std::size_t>(reason)]; };
    EXPECT_EQ(of(fronts::CloseReason::client_end), 1u);
    EXPECT_EQ(of(fronts::CloseReason::unreadable), 1u);
    EXPECT_EQ(of(fronts::CloseReason::drained), 1u);
    EXPECT_EQ(std::accumulate(closed.begin(), closed.end(), 0u), 3u);
}

// A session is ended by its viewer or moved by the module while there is no connection to its node, or on one
// that the node has just closed. The node must be told on the next connection, or it would go on playing for
// nobody.
TEST(Relay, ASessionEndReachesTheNodeOnTheNextConnection) {
    for (const bool crosses : {false, true}) {
        Rig rig;
        Viewer& v = rig.connect_viewer();
        v.send_line(make_setup_line(1, "paid", 2000));
        rig.run_for(300);
        ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
        for (auto& link : rig.nodes[0]->links) link.stream.reset();
        if (!crosses) rig.run_for(2);  // the director has seen the reset and will dial a little later
        v.send_line(make_release_line(1, 16));
        rig.run_for(1000);
        ASSERT_EQ(rig.nodes[0]->received_of(MessageType::release).size(), 1u) << crosses;
        EXPECT_EQ(rig.nodes[0]->received_of(MessageType::release)[0].session, 1u);
        EXPECT_EQ(rig.director->engine().established_sessions(), 0u);
    }
}

// A client's connection is closed at the moment when the end of its session is sent on it: the end must be
// sent again on another connection.
TEST(Relay, ASessionEndThatCrossesItsClientsCloseIsSentOnAnotherConnection) {
    Rig rig;
    Viewer &v = rig.connect_viewer(), &other = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid", 2000));
    other.send_line(make_setup_line(2, "paid", 2000));
    rig.run_for(300);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
    for (auto& link : rig.nodes[0]->links)
        if (link.open) {
            link.send(MessageType::release, 1, 16);
            break;
        }
    v.stream.reset();
    rig.run_for(300);
    ASSERT_EQ(other.received_of(MessageType::release).size(), 1u);
    EXPECT_EQ(other.received_of(MessageType::release)[0].session, 1u);
    // A connection that closes long after an end was sent on it causes no repetition.
    for (auto& link : rig.nodes[0]->links)
        if (link.open) {
            link.send(MessageType::release, 2, 16);
            break;
        }
    Viewer& third = rig.connect_viewer();
    third.send_line(make_setup_line(3, "paid", 2000));
    rig.run_for(300);
    ASSERT_EQ(other.received_of(MessageType::release).size(), 2u);
    other.stream.reset();
    rig.run_for(300);
    EXPECT_TRUE(third.received_of(MessageType::release).empty());
}

// Refusals overflow the output of a viewer that does not read, while another set-up of the same connection is
// being sent. That set-up ends with its connection, and the director goes on.
TEST(Relay, AViewerThatReadsNothingIsDroppedOutsideTheModulesCall) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    v.stream->pause();
    std::uint64_t id = 1;
    for (int k = 0; k < 40; ++k) {
        for (int n = 0; n < 100; ++n) v.send_line(make_setup_line(id++, "no such class", 2000));
        v.send_line(make_setup_line(id++, "paid", 2000));
        rig.run_for(20);
    }
    rig.run_for(3000);
    EXPECT_EQ(rig.director->engine().unanswered_sessions(), 0u);
    Viewer& next = rig.connect_viewer();
    next.send_line(make_setup_line(id, "paid", 2000));
    rig.run_for(500);
    EXPECT_EQ(next.received_of(MessageType::answer).size(), 1u);
}

// A response that is late by more than two seconds' worth of queries is accepted; a silent name server is
// queried less often.
TEST(Relay, LateDnsResponsesAreAcceptedAndASilentServerIsQueriedLess) {
    Rig rig(2);
    rig.name_server->response_delay = 5000;
    rig.name_server->nodes.pop_back();
    rig.name_server->serial += 1;
    rig.run_for(4000);
    EXPECT_EQ(rig.director->status()["list"]["taken"].get<int>(), 0);
    rig.run_for(1500);
    EXPECT_EQ(rig.director->status()["list"]["taken"].get<int>(), 1) << "accepted though 5 s late";
    rig.run_for(10000);
    EXPECT_EQ(rig.director->status()["list"]["bad"].get<int>(), 0);
    rig.name_server->response_delay = 0;
    rig.run_for(6000);
    const auto asked_in = [&](double ms) {
        const int before = rig.name_server->query_count;
        rig.run_for(ms);
        return rig.name_server->query_count - before;
    };
    const int usual = asked_in(4000);
    rig.name_server->response_delay = -1;
    rig.run_for(8000);
    EXPECT_LE(asked_in(4000), usual / 2);
    EXPECT_GE(asked_in(4000), 4);
    rig.name_server->response_delay = 0;
    rig.run_for(1500);
    EXPECT_GE(asked_in(4000), usual - 1);
}

// A director with deadlines of 5 s is killed 3.7 s after it was told to stop: accepted set-ups must be
// answered before.
TEST(Relay, ShutdownAnswersSetUpsWithLongerDeadlinesBeforeTheKill) {
    Rig rig;
    rig.nodes[0]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    Viewer &v = rig.connect_viewer(), &late = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid", 5000));
    rig.run_for(100);
    bool done = false;
    rig.director->stop([&] { done = true; });
    rig.run_for(500);
    late.send_line(make_setup_line(2, "paid", 5000));
    rig.run_for(2900);
    EXPECT_TRUE(v.received.empty()) << "the node still has time to answer";
    rig.run_for(290);
    for (const Viewer* one : {&v, &late}) {
        ASSERT_EQ(one->received.size(), 1u);
        EXPECT_EQ(one->received[0].type, MessageType::release);
        EXPECT_NE(one->received[0].cause, 34) << "not a refusal: it may have run";
    }
    EXPECT_EQ(rig.nodes[0]->received_of(MessageType::release).size(), 2u) << "cancelled at the node too";
    EXPECT_TRUE(done);
}

// A second attempt that is answered at once must not include the first one's wait in its own.
TEST(Relay, AttemptWaitsAreMeasuredFromTheirOwnSending) {
    Rig rig(2);
    int n = 0;
    rig.nodes[0]->on_message = rig.nodes[1]->on_message = [&n](auto& link, const auto& m) {
        if (m.type == MessageType::ping) return link.send(MessageType::pong, m.session, 1);
        if (m.type == MessageType::setup && n++ > 0) link.send(MessageType::release, m.session, 47);
    };
    Viewer& v = rig.connect_viewer();
    std::vector<core::SessionRecord> ends;
    rig.director->engine().on_session_record = [&](const core::SessionRecord& r) { ends.push_back(r); };
    v.send_line(make_setup_line(1, "free one"));
    rig.run_for(2000);
    ASSERT_EQ(ends.size(), 1u);
    ASSERT_GE(ends[0].attempt_records.size(), 2u);
    EXPECT_EQ(ends[0].attempt_records[0].outcome, "timed out");
    EXPECT_GE(ends[0].attempt_records[0].elapsed, 250);
    EXPECT_EQ(ends[0].attempt_records[1].outcome, "error");
    EXPECT_LT(ends[0].attempt_records[1].elapsed, 50);
}

TEST(Relay, TheSessionRecordNamesWhoEndedIt) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    std::vector<core::SessionRecord> ends;
    rig.director->engine().on_session_record = [&](const core::SessionRecord& r) { ends.push_back(r); };
    v.send_line(make_setup_line(1, "paid"));
    v.send_line(make_setup_line(2, "paid"));
    rig.run_for(500);
    v.send_line(make_release_line(1, 31));
    rig.run_for(100);
    rig.nodes[0]->links.back().send(MessageType::release, 2, 16);
    rig.run_for(100);
    ASSERT_EQ(ends.size(), 2u);
    EXPECT_EQ(ends[0].ended_by, "player");
    EXPECT_EQ(ends[1].ended_by, "node");
}

// Many set-ups dial while the node's accept queue is full for a moment. Their failures count as one, not as
// many in a row, so the node is not taken for vanished.
TEST(Relay, AnAcceptQueueFullForAMomentEndsNoSessions) {
    Rig rig;
    Viewer& v = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid"));
    rig.run_for(300);
    ASSERT_EQ(v.received_of(MessageType::answer).size(), 1u);
    rig.nodes[0]->listener->pause();
    for (std::uint64_t id = 2; id <= 9; ++id) v.send_line(make_setup_line(id, "paid"));
    rig.run_for(400);
    rig.nodes[0]->listener->resume();
    rig.run_for(3000);
    EXPECT_GT(rig.director->nodes().counts().dials, 5u);
    EXPECT_EQ(rig.director->nodes().counts().unreachable, 0u);
    for (const auto& m : v.received_of(MessageType::release)) EXPECT_NE(m.session, 1u);
}

// A node starts to drain or is removed while a connection to it is being established: nothing is sent on it.
TEST(RelayNodes, ASetUpStillDiallingIsNotSentToADrainingOrRemovedNode) {
    for (const bool gone : {false, true}) {
        io::World world(5);
        auto& there = world.start("node");
        auto& here = world.start("director");
        const io::Address at{"127.0.0.1", 9001};
        Node node(there, at);
        EventRecorder recorder;
        nodes::RelayNodes port(here, {});
        port.attach(&recorder);
        port.set_nodes({{1, {"s-0", at, true}}});
        core::SetupRequest setup;
        setup.session = 7, setup.server = 1, setup.expires = 1000;
        port.set_up(setup);
        if (gone) port.set_nodes({});
        else port.set_nodes({{1, {"s-0", at, false}}});
        world.run_until(500);
        EXPECT_TRUE(node.received.empty());
        ASSERT_EQ(recorder.ends.size(), 1u);
        EXPECT_EQ(recorder.ends[0].second, Outcome::not_sent);
    }
}

TEST(Relay, AConnectionWithAPendingSetUpIsNeverEvicted) {
    Rig rig(1, 32);
    rig.nodes[0]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    std::vector<Viewer*> all;
    for (std::uint64_t id = 1; id <= 12; ++id) {
        all.push_back(&rig.connect_viewer());
        all.back()->send_line(make_setup_line(id, "free one", 1500));
    }
    rig.run_for(100);
    for (int k = 0; k < 40; ++k) rig.connect_viewer();
    rig.run_for(3000);
    for (const Viewer* v : all) EXPECT_EQ(v->received.size(), 1u);
}

TEST(Relay, ShutdownRefusesLateSetUpsWithoutTakingThem) {
    Rig rig;
    rig.nodes[0]->on_message = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    Viewer &v = rig.connect_viewer(), &late = rig.connect_viewer();
    v.send_line(make_setup_line(1, "paid", 3000));
    rig.run_for(100);
    bool done = false;
    rig.director->stop([&] { done = true; });
    rig.run_for(700);
    late.send_line(make_setup_line(2, "paid", 3000));
    rig.run_for(20);
    EXPECT_EQ(rig.director->engine().counts().accepted, 2u) << "accepted for 0.75 s";
    rig.run_for(100);
    const auto before = late.received.size();
    late.send_line(make_setup_line(3, "paid", 3000));
    rig.run_for(20);
    EXPECT_EQ(rig.director->engine().counts().accepted, 2u);
    ASSERT_EQ(late.received.size(), before + 1);
    EXPECT_EQ(late.received.back().session, 3u);
    EXPECT_EQ(late.received.back().cause, 34);
    rig.run_for(3000);
    EXPECT_TRUE(done);
    EXPECT_EQ(v.received.size(), 1u);
}

// Random faults at the same time, by seed: nodes that answer, refuse, send malformed or repeated answers,
// fall silent, reset or are replaced at their address; viewers that repeat numbers, cancel, release sessions
// of others, send noise and leave. The engine's own checks are enabled. In addition each set-up must have at
// most one answer, one in time if its viewer stays, and nothing may be owed or pending in the end.
class RelayRandomFaults : public ::testing::TestWithParam<int> {};
TEST_P(RelayRandomFaults, EachSetUpHasOneAnswerAndNothingIsLeft) {
    Rig rig(4, 48);
    std::mt19937 random(static_cast<unsigned>(GetParam()));
    const auto draw = [&](unsigned n) { return random() % n; };
    const auto noise = [&] {
        std::string text;
        for (unsigned n = 1 + draw(40); n > 0; --n) text.push_back(static_cast<char>(random()));
        return text;
    };
    for (auto& node : rig.nodes)
        node->on_message = [&](auto& link, const auto& m) {
            if (m.type == MessageType::ping)
                return draw(8)
                           ? link.send(MessageType::pong, m.session, 1, {{51, "inflight:3;x0:0.2;x1:bad"}})
                           : link.stream->write(noise());
            if (m.type != MessageType::setup) return;
            switch (draw(12)) {
                case 0:
                    return link.send(MessageType::release, m.session, 34);
                case 1:
                    return link.send(MessageType::release, m.session, 47);
                case 2:
                    return link.send(MessageType::release, m.session, 16, {{63, "short"}});
                case 3:
                    return link.stream->write(noise());
                case 4:
                    return;
                case 5:
                    return link.stream->end();
                default:
                    link.send(MessageType::answer, m.session, -1, {{63, "x"}});
                    if (draw(3) == 0) link.send(MessageType::answer, m.session, -1, {{63, "again"}});
                    if (draw(3) == 0)
                        link.send(MessageType::release, m.session, 16 + static_cast<int>(draw(30)));
                    if (draw(3) == 0)
                        link.send(MessageType::note, m.session, -1, {{47, "share"}, {57, "0.5"}});
            }
        };
    struct Asked {
        Viewer* viewer;
        double until;
        bool left = false;
    };
    std::map<std::uint64_t, Asked> asked;
    std::vector<Viewer*> open;
    std::uint64_t next = 1;
    for (int step = 0; step < 400; ++step) {
        open.erase(std::remove_if(open.begin(), open.end(), [](const Viewer* one) { return !one->open; }),
                   open.end());
        while (open.size() < 4) open.push_back(&rig.connect_viewer());
        Viewer& v = *open[draw(static_cast<unsigned>(open.size()))];
        const bool paid = draw(2) != 0;
        switch (draw(16)) {
            case 0:
                v.send_line(make_release_line(1 + draw(static_cast<unsigned>(next)),
                                              31));  // perhaps of another viewer
                for (auto& [id, one] : asked) one.left = one.left || one.viewer == &v;
                break;
            case 1: {
                Viewer& faulty = rig.connect_viewer();
                faulty.send_line(noise());
                faulty.send_line(make_setup_line(1 + draw(static_cast<unsigned>(next)), "paid"));
                break;
            }
            case 2:
                v.stream.reset();
                for (auto& [id, one] : asked) one.left = one.left || one.viewer == &v;
                open.erase(std::find(open.begin(), open.end(), &v));
                break;
            case 3: {
                auto& node = *rig.nodes[draw(4)];
                for (auto& link : node.links) link.stream.reset();
                break;
            }
            case 4:
                if (draw(4) == 0) {
                    rig.listed[draw(4)].uid = "s-new" + std::to_string(step);
                    rig.publish_list(rig.listed);
                }
                break;
            default:
                v.send_line(make_setup_line(next, paid ? "paid" : "free one", 2000));
                asked[next++] = {&v, rig.world.now() + 2100};
        }
        rig.run_for(draw(40));
    }
    rig.run_for(8000);
    for (const auto& [id, one] : asked) {
        int answers = 0, releases = 0;
        for (const auto& m : one.viewer->received) {
            if (m.session != id) continue;
            answers += m.type == MessageType::answer;
            releases += m.type == MessageType::release;
        }
        EXPECT_LE(answers, 1) << id;
        EXPECT_LE(releases, 1) << id;
        // A viewer that releases another connection's pending set-up has its connection closed.
        EXPECT_TRUE(one.left || !one.viewer->open || answers + releases > 0) << id << " was not answered";
    }
    EXPECT_EQ(rig.director->front().pending_setups(), 0u);
    EXPECT_EQ(rig.director->engine().unanswered_sessions(), 0u);
    EXPECT_LE(rig.director->nodes().connection_count(), 24u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RelayRandomFaults, ::testing::Range(1, 101));

TEST(RelayConfig, TheExampleConfigurationServes) {
    const auto read = [](const char* name) {
        std::ifstream in(std::string(IVYFIELD_SOURCE_DIR) + "/examples/" + name);
        return std::string(std::istreambuf_iterator<char>(in), {});
    };
    io::World world(3);
    cli::RelayProcess director(world.start("director"), config::parse_relay_config(read("relay.json")), "");
    Viewer v(world.start("viewer"), {"127.0.0.1", 5060});
    v.stream->write(read("relay-viewer.jsonl"));
    world.run_until(1000);
    ASSERT_EQ(v.received.size(), 2u);
    EXPECT_EQ(v.received[0].type, MessageType::pong);
    EXPECT_EQ(v.received[1].type, MessageType::release);
    EXPECT_EQ(v.received[1].cause, 34);
    EXPECT_EQ(v.received[1].fields.count("wait"), 1u);
}

TEST(RelayConfig, ErrorsNameTheirPlace) {
    const std::string good = make_director_config({{"s-0", {"127.0.0.1", 9001}}}, "127.0.0.1:5300");
    const config::RelayConfig c = config::parse_relay_config(good);
    EXPECT_EQ(c.classes[1], "free one");
    EXPECT_EQ(c.settings.classes[1].name, "free_one");
    EXPECT_EQ(c.settings.classes[0].patience, 5000);
    EXPECT_EQ(c.settings.rung_kb, (std::vector<double>{100, 200}));
    EXPECT_EQ(c.settings.tenants.size(), 1u);
    EXPECT_EQ(c.last_event, 3u);
    EXPECT_EQ(c.members.at("s-0").weight, 4);
    const auto fault = [&](const std::string& from, const std::string& to) {
        std::string text = good;
        text.replace(text.find(from), from.size(), to);
        try {
            config::parse_relay_config(text);
        } catch (const std::runtime_error& e) {
            return std::string(e.what());
        }
        return std::string("good");
    };
    EXPECT_EQ(fault("\"dns\":\"127.0.0.1:5300\"", "\"dns\":7"), "/dns: not a string");
    EXPECT_EQ(fault("\"8c1f30d27a5be964\"", "\"x\""), "/seed: not 16 hex digits");
    EXPECT_EQ(fault("\"sockets\":256", "\"sockets\":-1"), "/limits/sockets: out of range: -1");
    EXPECT_EQ(fault("\"pod_group\":2", "\"pod_group\":\"b\""),
              "/known/events/0/members/targets/0/pod_group: not a number");
    EXPECT_EQ(fault("side_effect", "odd"), "/settings: unknown effect of a class: odd");
    EXPECT_EQ(fault("{\"name\":\"n0\"", "{\"nume\":\"n0\""), "/name: missing");
    EXPECT_NE(fault("{\"name\":\"n0\"", "\"name\":\"n0\"").find("/: "), std::string::npos);
}

}  // namespace
}  // namespace ivyfield::relaytest
