// The director of the platform end to end on the virtual world: viewers, nodes and name server that fail.
#include <fstream>
#include <numeric>

#include "rig.hpp"

namespace ivyfield::relaytest {
namespace {

TEST(Relay, ServesASessionFromSetUpToItsEnd) {
    Rig rig;
    Viewer& v = rig.viewer();
    v.say(R"({"type":"ping","id":"0000000000000001","fields":{},"cause":0})");
    v.say(setup_line(0xabc, "paid"));
    rig.run(200);
    ASSERT_EQ(v.of(MessageType::pong).size(), 1u);
    EXPECT_EQ(v.of(MessageType::pong)[0].cause, 1);
    ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
    EXPECT_EQ(v.of(MessageType::answer)[0].id, "0000000000000abc");
    EXPECT_EQ(*v.of(MessageType::answer)[0].sdp, "answer to offer 0000000000000abc");
    const auto sent = rig.nodes[0]->of(MessageType::setup);
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].session, 0xabcu);
    EXPECT_EQ(*sent[0].find(ParameterCode::cls), "paid");
    EXPECT_EQ(*sent[0].find(ParameterCode::title), "7f3a9c21e0b4d655");
    EXPECT_EQ(*sent[0].find(ParameterCode::sdp), "offer 0000000000000abc");
    ASSERT_TRUE(sent[0].find(ParameterCode::rung));
    EXPECT_LE(std::stoi(*sent[0].find(ParameterCode::wait)), 4000);
    // Its end reaches the viewer, once.
    rig.nodes[0]->links.back().send(MessageType::release, 0xabc, 16);
    rig.nodes[0]->links.back().send(MessageType::release, 0xabc, 16);
    rig.run(200);
    ASSERT_EQ(v.of(MessageType::release).size(), 1u);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
}

TEST(Relay, TestsAskForAReport) {
    Rig rig;
    rig.viewer().say(setup_line(1, "paid"));
    rig.run(200);
    const auto tests = rig.nodes[0]->of(MessageType::ping);
    ASSERT_FALSE(tests.empty());
    EXPECT_EQ(tests[0].cause, 1);
}

TEST(Relay, SessionsHandedOverNameNoBoundToTheirWaitAndAreKept) {
    Rig rig;
    Viewer& v = rig.viewer();
    v.say(setup_line(5, "paid", 4294967, "home:0;copies:12;top:1;viewer:00000000b4d65521;at:s-0"));
    v.say(setup_line(5, "paid", 4294967, "home:0;copies:12;top:1;viewer:00000000b4d65521;at:s-0"));
    v.say(setup_line(6, "paid", 4294967, "home:0;copies:12;top:1;viewer:00000000b4d65521;at:s-9"));
    v.say(setup_line(7, "paid", 4294967));
    rig.run(300);
    EXPECT_EQ(rig.director->engine().established_sessions(), 1u);
    // A node that is not listed, and a wait without bound for one that does not play, are turned away.
    ASSERT_EQ(v.of(MessageType::release).size(), 2u);
    EXPECT_GE(rig.nodes[0]->open_links(), 1u) << "where sessions stand a connection is kept";
    rig.nodes[0]->links.back().send(MessageType::release, 5, 41);
    rig.run(300);
    EXPECT_EQ(v.of(MessageType::release).size(), 3u);
}

TEST(Relay, AViewerGivesUpAndEndsSessions) {
    Rig rig;
    rig.nodes[0]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid"));
    rig.run(200);
    v.say(release_line(1, 16));
    rig.run(200);
    EXPECT_TRUE(v.heard.empty()) << "no answer is owed";
    EXPECT_LT(rig.nodes[0]->open_links(), rig.nodes[0]->links.size()) << "given up at the node, by closing";
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
    // One that stands, from another connection.
    rig.nodes[0]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::setup) link.send(MessageType::answer, m.session, -1, {{63, "x"}});
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    v.say(setup_line(2, "free one"));
    rig.run(200);
    ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
    Viewer& other = rig.viewer();
    other.say(release_line(2, 31));
    rig.run(200);
    EXPECT_EQ(other.of(MessageType::released).size(), 1u);
    EXPECT_EQ(v.of(MessageType::release).size(), 0u);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
    ASSERT_FALSE(rig.nodes[0]->of(MessageType::release).empty());
    EXPECT_EQ(rig.nodes[0]->of(MessageType::release).back().session, 2u);
}

TEST(Relay, AViewerThatClosesIsOwedNothing) {
    Rig rig;
    rig.nodes[0]->react = nullptr;
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "free one"));
    rig.run(120);
    v.stream.reset();
    rig.run(100);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
    EXPECT_EQ(rig.director->front().open(), 0u);
}

TEST(Relay, ARepeatedNumberDisturbsNeitherAnswer) {
    Rig rig;
    rig.nodes[0]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    Viewer &v = rig.viewer(), &other = rig.viewer();
    v.say(setup_line(1, "paid"));
    rig.run(200);
    other.say(setup_line(1, "paid"));
    other.say(release_line(1, 16));
    rig.run(100);
    EXPECT_EQ(other.of(MessageType::answer).size(), 0u);
    EXPECT_EQ(other.of(MessageType::release).size(), 1u);
    EXPECT_FALSE(other.open) << "it would give up what is another's";
    EXPECT_EQ(rig.director->front().open(), 1u);
    rig.nodes[0]->links.front().send(MessageType::answer, 1, -1, {{63, "y"}});
    rig.run(100);
    EXPECT_EQ(v.of(MessageType::answer).size(), 1u);
}

TEST(Relay, BadSetUpsAreTurnedAwayAtOnce) {
    Rig rig;
    const std::string good = "home:0;copies:12;top:1;viewer:00000000b4d65521";
    const std::vector<std::string> lines = {
        setup_line(1, "gold"),
        setup_line(1, "paid", -5),
        setup_line(1, "paid", 999999),
        setup_line(1, "paid", 4000, "home:-1;copies:12;top:1;viewer:00000000b4d65521"),
        setup_line(1, "paid", 4000, "home:12;copies:12;top:1;viewer:00000000b4d65521"),
        setup_line(1, "paid", 4000, "home:0;copies:1e9;top:1;viewer:00000000b4d65521"),
        setup_line(1, "paid", 4000, "home:0;copies:12;top:7;viewer:00000000b4d65521"),
        setup_line(1, "paid", 4000, "home:0;copies:12;top:1;viewer:x"),
        setup_line(1, "paid", 4000, ";;"),
        setup_line(1, "paid", 4000, good, R"(,"tenant":"nobody")"),
        R"({"type":"setup","id":"0000000000000001","fields":{}})",
        R"({"type":"sing","id":"0000000000000001"})"};
    for (const std::string& line : lines) {
        Viewer& v = rig.viewer();
        v.say(line);
        rig.run(50);
        ASSERT_EQ(v.heard.size(), 1u) << line;
        EXPECT_EQ(v.heard[0].type, MessageType::release) << line;
        EXPECT_NE(v.heard[0].cause, 34) << line;
    }
    for (const std::string& line : {std::string("noise"), std::string("{}"), std::string("\xff\xfe"),
                                    std::string(20000, 'x'), std::string(R"({"type":"setup"})")}) {
        Viewer& v = rig.viewer();
        v.say(line);
        rig.run(100);
        EXPECT_FALSE(v.open) << line.substr(0, 20);
    }
    EXPECT_TRUE(rig.nodes[0]->of(MessageType::setup).empty());
    EXPECT_EQ(rig.director->engine().counts().accepted, 0u);
}

TEST(Relay, SilentConnectionsByTheHundredLeaveRoomForOthers) {
    Rig rig(1, 64);
    for (int k = 0; k < 300; ++k) rig.viewer();
    rig.run(50);
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid"));
    for (int k = 0; k < 50; ++k) rig.viewer();
    rig.run(300);
    EXPECT_EQ(v.of(MessageType::answer).size(), 1u);
    EXPECT_LE(rig.director->front().connections(), 64u * 2 / 5);
}

TEST(Relay, AnswersThatCanNotBeReadEndThatSetUpAlone) {
    const std::vector<std::string> spoilt = {std::string("\xff\xff garbage", 10),
                                             std::string("\0\x0d\x63\0\0\0\0\0\0\0\1=\0\1\1", 15),
                                             std::string("\0\x0c\x09\0\0\0\0\0\0\0\1?\0\5", 14)};
    for (const std::string& bytes : spoilt) {
        Rig rig;
        std::vector<std::pair<Node::Link*, std::uint64_t>> waiting;
        rig.nodes[0]->react = [&](auto& link, const auto& m) {
            if (m.type == MessageType::ping) return link.send(MessageType::pong, m.session, 1);
            if (m.type == MessageType::setup) waiting.emplace_back(&link, m.session);
        };
        Viewer& v = rig.viewer();
        v.say(setup_line(1, "paid"));
        rig.run(100);
        v.say(setup_line(2, "paid"));
        rig.run(100);
        ASSERT_EQ(waiting.size(), 2u);
        ASSERT_NE(waiting[0].first, waiting[1].first) << "one open set-up a connection";
        waiting[0].first->stream->write(bytes);
        rig.run(100);
        // It might have run: not refused, not sent again.
        ASSERT_EQ(v.of(MessageType::release).size(), 1u);
        EXPECT_EQ(v.of(MessageType::release)[0].session, 1u);
        EXPECT_EQ(v.of(MessageType::release)[0].cause, 47);
        waiting[1].first->send(MessageType::answer, 2, -1, {{63, "x"}});
        rig.run(1000);
        EXPECT_EQ(v.of(MessageType::answer).size(), 1u);
        EXPECT_EQ(rig.nodes[0]->of(MessageType::setup).size(), 2u);
    }
}

TEST(Relay, ADescriptionThatIsNoTextIsASpoiltAnswer) {
    Rig rig;
    rig.nodes[0]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
        if (m.type == MessageType::setup) link.send(MessageType::answer, m.session, -1, {{63, "\xff\xfe"}});
    };
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid"));
    rig.run(500);
    EXPECT_EQ(v.of(MessageType::answer).size(), 0u);
    EXPECT_EQ(v.of(MessageType::release).size(), 1u);
}

TEST(Relay, MoreThanBelongsToAnAnswerHurtsNobody) {
    Rig rig;
    rig.nodes[0]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
        if (m.type != MessageType::setup) return;
        link.send(MessageType::answer, 0xdead, -1, {{63, "ahead"}});
        link.send(MessageType::answer, m.session, -1, {{63, "x"}});
        link.send(MessageType::answer, m.session, -1, {{63, "again"}});
    };
    Viewer& v = rig.viewer();
    for (std::uint64_t id = 1; id <= 5; ++id) v.say(setup_line(id, "paid"));
    rig.run(1000);
    EXPECT_EQ(v.heard.size(), 5u);
    EXPECT_EQ(v.of(MessageType::answer).size(), 5u);
}

TEST(Relay, ASessionThatEndsWithItsAnswerIsAnsweredAndReleased) {
    Rig rig(2);
    rig.nodes[0]->react = rig.nodes[1]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
        if (m.type == MessageType::setup) link.send(MessageType::release, m.session, 16, {{63, "short"}});
    };
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid"));
    rig.run(500);
    ASSERT_EQ(v.heard.size(), 2u);
    EXPECT_EQ(v.heard[0].type, MessageType::answer);
    EXPECT_EQ(*v.heard[0].sdp, "short");
    EXPECT_EQ(v.heard[1].type, MessageType::release);
    EXPECT_EQ(rig.nodes[0]->of(MessageType::setup).size() + rig.nodes[1]->of(MessageType::setup).size(), 1u);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
}

// The list of the start may be old: its nodes are paced as cold until the name server's word, which the
// module hears again and again, is of a later moment than the director's own start.
TEST(Relay, AFreshWholeListEndsTheDoubtOfTheStart) {
    const auto served_after = [](double ms) {
        Rig rig(2, 256, 60000);
        Viewer& v = rig.viewer();
        v.say(setup_line(1, "free one"));
        rig.run(ms);
        const auto before = v.of(MessageType::answer).size();
        for (std::uint64_t id = 2; id <= 13; ++id) v.say(setup_line(id, "free one"));
        rig.run(500);
        return v.of(MessageType::answer).size() - before;
    };
    EXPECT_LE(served_after(500), 3u);
    EXPECT_GE(served_after(5000), 10u);
}

TEST(Relay, FullProvesThatItNeverRanAndAPaidSetUpGoesOnElsewhere) {
    Rig rig(2);
    const auto full = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
        if (m.type == MessageType::setup) link.send(MessageType::release, m.session, 34);
    };
    rig.nodes[0]->react = full;
    Viewer& v = rig.viewer();
    for (std::uint64_t id = 1; id <= 6; ++id) v.say(setup_line(id, "paid"));
    rig.run(1500);
    EXPECT_EQ(v.of(MessageType::answer).size(), 6u);
}

TEST(Relay, ASetUpThatTimesOutIsGivenUpAtItsNodeBeforeTheNextTry) {
    Rig rig(2);
    int silent = 0;
    const auto mute = [&silent](auto& link, const auto& m) {
        if (m.type == MessageType::ping) return link.send(MessageType::pong, m.session, 1);
        if (m.type != MessageType::setup) return;
        if (silent++ == 0) return;
        link.send(MessageType::answer, m.session, -1, {{63, "x"}});
    };
    rig.nodes[0]->react = rig.nodes[1]->react = mute;
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "free one"));
    rig.run(1500);
    ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
    EXPECT_EQ(rig.nodes[0]->of(MessageType::release).size() + rig.nodes[1]->of(MessageType::release).size(),
              1u);
}

TEST(Relay, ADeadProcessEndsItsSessionsAndAnUnusedResetDoesNot) {
    Rig rig;
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid"));
    rig.run(200);
    ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
    // Its connections are reset, but it goes on: dialled again, nothing is over.
    for (auto& link : rig.nodes[0]->links) link.stream.reset();
    rig.run(300);
    EXPECT_EQ(v.of(MessageType::release).size(), 0u);
    EXPECT_EQ(rig.director->engine().established_sessions(), 1u);
    // The process dies: nobody listens.
    rig.nodes[0]->listener.reset();
    for (auto& link : rig.nodes[0]->links) link.stream.reset();
    rig.run(300);
    EXPECT_EQ(v.of(MessageType::release).size(), 1u);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
}

// A release was on its way on a connection that broke; it comes again on the next one that is opened, and a
// director that has others open must open one all the same.
TEST(Relay, ALostConnectionIsFollowedByANewOneThoughOthersAreOpen) {
    Rig rig;
    Viewer& v = rig.viewer();
    for (std::uint64_t id = 1; id <= 4; ++id) v.say(setup_line(id, "paid"));
    rig.run(500);
    ASSERT_EQ(v.of(MessageType::answer).size(), 4u);
    ASSERT_GE(rig.nodes[0]->open_links(), 2u);
    rig.nodes[0]->at_open = [](auto& link) { link.send(MessageType::release, 1, 16); };
    rig.nodes[0]->links.front().stream.reset();
    rig.run(200);
    ASSERT_EQ(v.of(MessageType::release).size(), 1u);
    EXPECT_EQ(v.of(MessageType::release)[0].session, 1u);
}

// What a node sends on a connection before it sees that the director ends it is heard.
TEST(Relay, AnEndThatCrossesTheClosingOfItsConnectionIsHeard) {
    Rig rig;
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid"));
    rig.run(300);
    ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
    // Another set-up is given up by its viewer: its connection is ended.
    rig.nodes[0]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    rig.nodes[0]->at_end = [](auto& link) { link.send(MessageType::release, 1, 16); };
    v.say(setup_line(2, "free one"));
    rig.run(200);
    v.say(release_line(2, 16));
    rig.run(200);
    ASSERT_EQ(v.of(MessageType::release).size(), 1u);
    EXPECT_EQ(v.of(MessageType::release)[0].session, 1u);
}

TEST(Relay, ANodeThatResetsEachConnectionIsNotDialledWithoutEnd) {
    Rig rig;
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid"));
    rig.run(300);
    ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
    const auto before = rig.nodes[0]->links.size();
    rig.nodes[0]->at_open = [&](auto& link) { rig.nodes_loop.post([&link] { link.stream.reset(); }); };
    rig.nodes[0]->links.front().stream.reset();
    for (auto& link : rig.nodes[0]->links) link.stream.reset();
    rig.run(5000);
    EXPECT_GE(rig.nodes[0]->links.size(), before + 4);
    EXPECT_LE(rig.nodes[0]->links.size(), before + 14);
}

// While its node speaks nothing is dialled to see whether its machine is there.
TEST(Relay, ANodeThatIsHeardIsNotLookedFor) {
    Rig rig;
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid"));
    rig.run(300);
    const auto dials = rig.director->nodes().counts().dials;
    for (int k = 0; k < 40; ++k) {
        rig.nodes[0]->links.back().send(MessageType::note, 1, -1, {{47, "share"}, {57, "0.99"}});
        rig.run(250);
    }
    EXPECT_EQ(rig.director->nodes().counts().dials, dials);
}

TEST(Relay, AMachineThatVanishesIsNoticedAndOneThatHangsIsNot) {
    Rig rig;
    rig.nodes[0]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
        if (m.type == MessageType::setup) link.send(MessageType::answer, m.session, -1, {{63, "x"}});
    };
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid"));
    rig.run(200);
    ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
    rig.nodes[0]->react = nullptr;  // hangs: connections still come up
    rig.run(20000);
    EXPECT_EQ(rig.director->engine().established_sessions(), 1u);
    EXPECT_LE(rig.nodes[0]->open_links(), 3u);
    rig.nodes[0]->listener->pause();  // no connection comes up
    rig.run(7500);
    EXPECT_EQ(v.of(MessageType::release).size(), 1u);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
}

TEST(Relay, EndsAreToldOnAnotherConnectionOrOnTheNext) {
    Rig rig;
    Viewer &v = rig.viewer(), &other = rig.viewer();
    v.say(setup_line(1, "paid"));
    v.say(setup_line(2, "paid"));
    other.say(setup_line(3, "paid"));
    rig.run(500);
    v.stream.reset();
    rig.run(50);
    EXPECT_EQ(rig.director->engine().established_sessions(), 3u) << "a session belongs to no connection";
    rig.nodes[0]->links.back().send(MessageType::release, 1, 16);
    rig.run(100);
    ASSERT_EQ(other.of(MessageType::release).size(), 1u);
    EXPECT_EQ(other.of(MessageType::release)[0].session, 1u);
    other.stream.reset();
    rig.run(50);
    rig.nodes[0]->links.back().send(MessageType::release, 2, 16);
    rig.run(100);
    Viewer& next = rig.viewer();
    next.say(setup_line(4, "paid"));
    rig.run(300);
    ASSERT_EQ(next.of(MessageType::release).size(), 1u);
    EXPECT_EQ(next.of(MessageType::release)[0].session, 2u);
}

TEST(Relay, OutOfConnectionsSetUpsShareThem) {
    Rig rig(1, 16);
    rig.nodes[0]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    Viewer& v = rig.viewer();
    for (std::uint64_t id = 1; id <= 30; ++id) v.say(setup_line(id, "free one"));
    rig.run(300);
    EXPECT_GT(rig.nodes[0]->of(MessageType::setup).size(), 8u);
    EXPECT_LE(rig.director->nodes().connection_count(), 8u);
    EXPECT_GT(rig.director->nodes().counts().shared_connections, 0u);
    rig.run(5000);
    EXPECT_EQ(v.heard.size(), 30u) << "each is answered, once";
}

TEST(Relay, NothingNewGoesToANodeThatDrains) {
    Rig rig(2);
    rig.listed[0].state = "draining";
    rig.list(rig.listed);
    Viewer& v = rig.viewer();
    for (std::uint64_t id = 1; id <= 5; ++id) v.say(setup_line(id, "paid"));
    rig.run(1000);
    EXPECT_EQ(v.of(MessageType::answer).size(), 5u);
    EXPECT_TRUE(rig.nodes[0]->of(MessageType::setup).empty());
}

TEST(Relay, ANodeThatIsGoneTakesItsSessionsAndItsSuccessorInheritsNothing) {
    Rig rig;
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid"));
    rig.run(200);
    ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
    rig.list({{"s-new", rig.listed[0].address}});
    EXPECT_EQ(v.of(MessageType::release).size(), 1u);
    EXPECT_EQ(rig.director->engine().open_sessions(), 0u);
    v.say(setup_line(2, "paid"));
    rig.run(300);
    EXPECT_EQ(v.of(MessageType::answer).size(), 2u);
}

TEST(Relay, NameAnswersThatAreNoneChangeNothing) {
    Rig rig(2);
    rig.run(300);
    const auto taken = [&] { return rig.director->status()["list"]["taken"].get<int>(); };
    ASSERT_EQ(taken(), 0);
    rig.names->nodes.pop_back();
    rig.names->serial = 4;
    const std::vector<std::function<std::string(std::string)>> faults = {
        [](std::string) { return ""; },                                          // lost
        [](std::string s) { return s[0] ^= 1, s; },                              // another id
        [](std::string s) { return s[2] = static_cast<char>(s[2] | 2), s; },     // cut short
        [](std::string s) { return s[3] = static_cast<char>(s[3] | 2), s; },     // a failure
        [](std::string s) { return s[2] = static_cast<char>(s[2] & 0x7f), s; },  // no answer
        [](std::string s) { return s[13] ^= 2, s; },                             // another question
        [](std::string s) { return s.substr(0, s.size() / 2); },                 // half
        [](std::string s) { return s.substr(0, 12); }};
    for (const auto& fault : faults) {
        rig.names->spoil = fault;
        rig.run(1000);
        EXPECT_EQ(taken(), 0);
    }
    rig.names->spoil = nullptr;
    rig.names->serial = 2;  // older
    rig.run(1000);
    EXPECT_EQ(taken(), 0);
    rig.names->serial = 4;
    rig.run(600);
    EXPECT_EQ(taken(), 1);
    rig.run(1000);
    EXPECT_EQ(taken(), 1);
}

TEST(Relay, DamagedNameAnswersAreTakenWholeOrNotAtAll) {
    const std::string query = discovery::srv_query("_api._tcp.svc.local", 77);
    std::vector<Listed> nodes;
    for (int k = 0; k < 5; ++k) nodes.push_back({"s-" + std::to_string(k), {"10.0.0.1", 5060}});
    const std::string good = dns_answer(query, 9, nodes);
    std::string fault;
    const auto whole = discovery::read_srv(good, "_api._tcp.svc.local", 77, fault);
    ASSERT_TRUE(whole) << fault;
    EXPECT_EQ(whole->serial, 9u);
    ASSERT_EQ(whole->members.size(), 5u);
    const discovery::Member& m = whole->members.at("s-3");
    EXPECT_EQ(m.zone, "room");
    EXPECT_EQ(m.weight, 4);
    EXPECT_EQ(m.cell, 2);
    EXPECT_EQ(m.kind, "std");
    for (std::size_t cut = 0; cut < good.size(); ++cut)
        EXPECT_FALSE(
            discovery::read_srv(std::string_view(good).substr(0, cut), "_api._tcp.svc.local", 77, fault));
    std::mt19937 random(3);
    for (int k = 0; k < 20000; ++k) {
        std::string bad = good;
        for (int n = 0; n < 3; ++n) bad[random() % bad.size()] = static_cast<char>(random());
        discovery::read_srv(bad, "_api._tcp.svc.local", 77, fault);
    }
}

TEST(Relay, AReloadMovesToTheOtherNameServerAndTheNumbersGoOn) {
    Rig rig(2);
    rig.run(300);
    const io::Address other{"127.0.0.1", 5301};
    NameServer second(rig.names_loop, other, 4, {rig.listed[0]});
    rig.names->socket.reset();
    rig.director->reload(config::read_relay_config(config_text(rig.listed, other.text())));
    rig.run(600);
    EXPECT_GT(second.asked, 0);
    EXPECT_EQ(rig.director->status()["list"]["taken"].get<int>(), 1);
}

TEST(Relay, StopsWhenAllThatItTookIsAnswered) {
    Rig rig;
    rig.nodes[0]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid", 2000));
    rig.run(100);
    bool done = false;
    rig.director->stop([&] { done = true; });
    rig.run(500);
    Viewer& late = rig.viewer();
    late.say(setup_line(2, "free one", 2000));
    rig.run(400);
    EXPECT_FALSE(done);
    rig.run(3000);
    EXPECT_TRUE(done);
    EXPECT_EQ(v.heard.size(), 1u);
    EXPECT_EQ(late.heard.size(), 1u);
}

// Its viewer has ended a session at its node, a moment after the answer or long after it: no release is owed.
TEST(Relay, AnEndByTheViewerAtItsNodeIsOwedNoRelease) {
    Rig rig;
    Viewer& v = rig.viewer();
    rig.nodes[0]->react = [&](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
        if (m.type != MessageType::setup) return;
        link.send(MessageType::answer, m.session, -1, {{63, "x"}});
        if (m.session == 1) link.send(MessageType::release, m.session, 31);
    };
    v.say(setup_line(1, "paid", 2000));
    v.say(setup_line(2, "paid", 2000));
    rig.run(500);
    ASSERT_EQ(v.of(MessageType::answer).size(), 2u);
    for (auto& link : rig.nodes[0]->links)
        if (link.open) link.send(MessageType::release, 2, 31);
    rig.run(500);
    EXPECT_EQ(v.heard.size(), 2u);
    EXPECT_EQ(rig.director->engine().established_sessions(), 0u);
    EXPECT_EQ(rig.director->engine().counts().ends_crossing_answers, 1u) << "the first alone";
}

// Its node connection is gone and the next one comes up only after a while: the process stays until the node
// has heard that the client has ended its session.
TEST(Relay, ADirectorLeavesOnceItsNodesHaveHeardOfEveryEnd) {
    Rig rig;
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid", 2000));
    rig.run(300);
    ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
    bool done = false;
    rig.director->stop([&] { done = true; });
    rig.run(400);
    rig.nodes[0]->listener->pause();
    for (auto& link : rig.nodes[0]->links)
        if (link.open) link.stream.reset();
    rig.run(50);
    v.say(release_line(1, 16));
    rig.run(480);
    EXPECT_FALSE(done) << "nothing is owed to clients, and a node has not heard of an end";
    rig.nodes[0]->listener->resume();
    rig.run(3000);
    EXPECT_TRUE(done);
    EXPECT_FALSE(rig.nodes[0]->of(MessageType::release).empty());
}

// A session ends while its client has no connection here that ever carried a set-up; one that has passed a
// test is there. The client hears of it in time.
TEST(Relay, AnEndIsToldOnATestedConnectionWhereNoOtherIsThere) {
    Rig rig;
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid", 2000));
    rig.run(300);
    ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
    v.stream->end();
    Viewer& silent = rig.viewer();
    Viewer& tested = rig.viewer();
    tested.say(R"({"type":"ping","id":"00000000000000ff","fields":{},"cause":0})");
    rig.run(100);
    for (auto& link : rig.nodes[0]->links)
        if (link.open) link.send(MessageType::release, 1, 16);
    rig.run(4000);
    EXPECT_EQ(tested.of(MessageType::release).size(), 1u);
    EXPECT_TRUE(silent.heard.empty()) << "who says nothing is nobody to tell";
}

// A node hangs while its connection is ended by us and, for want of its end, dropped. Back again it tells the
// end of a session there, into the void, and on the next connection that is opened.
TEST(Relay, ANodeThatIsHeardAgainAfterAnUnansweredEndIsDialled) {
    Rig rig;
    Viewer& v = rig.viewer();
    Node& node = *rig.nodes[0];
    v.say(setup_line(1, "paid", 2000));
    rig.run(300);
    ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
    const auto react = std::exchange(node.react, [](auto&, const auto&) {});
    v.say(setup_line(2, "paid", 2000));
    rig.run(100);
    const auto own = std::find_if(node.links.begin(), node.links.end(), [](const auto& l) { return l.open; });
    ASSERT_NE(own, node.links.end());
    for (auto& link : node.links) link.stream->pause();
    node.at_open = [](auto& link) { link.stream->pause(); };
    v.say(release_line(2, 16));
    rig.run(1500);
    const std::size_t dialled = node.links.size();
    node.react = react;
    node.at_open = [](auto& link) { link.send(MessageType::release, 1, 16); };
    auto& other = node.links.back();
    ASSERT_TRUE(other.open);
    other.send(MessageType::note, 1, -1, {{47, "share"}, {57, "1"}});
    rig.run(400);
    EXPECT_GT(node.links.size(), dialled) << "nothing else would bring the end";
    EXPECT_EQ(v.of(MessageType::release).size(), 1u);
}

// Its own connection was ended behind the answer, the end is told on another: read first, it would be taken
// for the answer, and the answer for a second one.
TEST(Relay, AnEndToldOnAnotherConnectionDoesNotOvertakeItsAnswer) {
    Rig rig;
    Viewer& own = rig.viewer();
    Viewer& other = rig.viewer();
    rig.nodes[0]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    own.say(setup_line(1, "paid", 3000));
    other.say(setup_line(2, "paid", 3000));
    rig.run(100);
    rig.director->stop([] {});
    rig.run(900);
    const auto tell = [&](MessageType type, int cause, std::map<int, std::string> with) {
        for (auto& link : rig.nodes[0]->links)
            if (link.open) link.send(type, 1, cause, with);
    };
    tell(MessageType::answer, -1, {{63, "x"}});
    rig.run(10);
    ASSERT_EQ(own.of(MessageType::answer).size(), 1u);
    ASSERT_FALSE(own.open) << "drained";
    tell(MessageType::release, 16, {});
    rig.run(30);
    EXPECT_TRUE(other.heard.empty()) << "the answer may still be on its way";
    rig.run(100);
    ASSERT_EQ(other.heard.size(), 1u);
    EXPECT_EQ(other.heard[0].session, 1u);
}

TEST(Relay, EachCloseOfAClientConnectionIsCountedOnceUnderItsReason) {
    Rig rig;
    rig.nodes[0]->react = [](auto&, const auto&) {};
    Viewer& leaves = rig.viewer();
    Viewer& babbles = rig.viewer();
    rig.viewer();
    leaves.say(setup_line(1, "paid", 2000));
    rig.run(100);
    leaves.stream->end();
    babbles.say("no message");
    rig.run(100);
    bool done = false;
    rig.director->stop([&] { done = true; });
    rig.run(3000);
    ASSERT_TRUE(done);
    const auto& closed = rig.director->front().counts().closed;
    const auto of = [&](fronts::CloseReason reason) { return closed[static_cast<std::size_t>(reason)]; };
    EXPECT_EQ(of(fronts::CloseReason::client_end), 1u);
    EXPECT_EQ(of(fronts::CloseReason::unreadable), 1u);
    EXPECT_EQ(of(fronts::CloseReason::drained), 1u);
    EXPECT_EQ(std::accumulate(closed.begin(), closed.end(), 0u), 3u);
}

// A viewer ends its session, and the module moves one, while no connection to the node is there, or on one
// that its node has just closed: both are told on the next one. Untold, the node would play on for nobody.
TEST(Relay, ANodeIsToldOfAnEndOnTheNextConnection) {
    for (const bool crosses : {false, true}) {
        Rig rig;
        Viewer& v = rig.viewer();
        v.say(setup_line(1, "paid", 2000));
        rig.run(300);
        ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
        for (auto& link : rig.nodes[0]->links) link.stream.reset();
        if (!crosses) rig.run(2);  // the director knows; it dials a little later
        v.say(release_line(1, 16));
        rig.run(1000);
        ASSERT_EQ(rig.nodes[0]->of(MessageType::release).size(), 1u) << crosses;
        EXPECT_EQ(rig.nodes[0]->of(MessageType::release)[0].session, 1u);
        EXPECT_EQ(rig.director->engine().established_sessions(), 0u);
    }
}

// A viewer's connection is closed in the moment in which the end of its session is told on it: it is told
// again on another one.
TEST(Relay, AnEndThatCrossesTheClosingOfItsViewersConnectionIsToldOnAnother) {
    Rig rig;
    Viewer &v = rig.viewer(), &other = rig.viewer();
    v.say(setup_line(1, "paid", 2000));
    other.say(setup_line(2, "paid", 2000));
    rig.run(300);
    ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
    for (auto& link : rig.nodes[0]->links)
        if (link.open) {
            link.send(MessageType::release, 1, 16);
            break;
        }
    v.stream.reset();
    rig.run(300);
    ASSERT_EQ(other.of(MessageType::release).size(), 1u);
    EXPECT_EQ(other.of(MessageType::release)[0].session, 1u);
    // Long after the end was told a connection that closes tells nothing.
    for (auto& link : rig.nodes[0]->links)
        if (link.open) {
            link.send(MessageType::release, 2, 16);
            break;
        }
    Viewer& third = rig.viewer();
    third.say(setup_line(3, "paid", 2000));
    rig.run(300);
    ASSERT_EQ(other.of(MessageType::release).size(), 2u);
    other.stream.reset();
    rig.run(300);
    EXPECT_TRUE(third.of(MessageType::release).empty());
}

// Set-ups that are refused fill the output of a viewer that does not read, while another of the same
// connection is being sent: it ends with its connection, and the director goes on.
TEST(Relay, AViewerThatReadsNothingIsDroppedOutsideOfTheModulesTurn) {
    Rig rig;
    Viewer& v = rig.viewer();
    v.stream->pause();
    std::uint64_t id = 1;
    for (int k = 0; k < 40; ++k) {
        for (int n = 0; n < 100; ++n) v.say(setup_line(id++, "no such class", 2000));
        v.say(setup_line(id++, "paid", 2000));
        rig.run(20);
    }
    rig.run(3000);
    EXPECT_EQ(rig.director->engine().unanswered_sessions(), 0u);
    Viewer& next = rig.viewer();
    next.say(setup_line(id, "paid", 2000));
    rig.run(500);
    EXPECT_EQ(next.of(MessageType::answer).size(), 1u);
}

// A name server that answers late by more than the queries of two seconds is heard; a silent one is asked
// less.
TEST(Relay, ANameServerThatAnswersLateIsHeardAndASilentOneIsAskedLess) {
    Rig rig(2);
    rig.names->delay = 5000;
    rig.names->nodes.pop_back();
    rig.names->serial += 1;
    rig.run(4000);
    EXPECT_EQ(rig.director->status()["list"]["taken"].get<int>(), 0);
    rig.run(1500);
    EXPECT_EQ(rig.director->status()["list"]["taken"].get<int>(), 1) << "5 s late, and heard";
    rig.run(10000);
    EXPECT_EQ(rig.director->status()["list"]["bad"].get<int>(), 0);
    rig.names->delay = 0;
    rig.run(6000);
    const auto asked_in = [&](double ms) {
        const int before = rig.names->asked;
        rig.run(ms);
        return rig.names->asked - before;
    };
    const int usual = asked_in(4000);
    rig.names->delay = -1;
    rig.run(8000);
    EXPECT_LE(asked_in(4000), usual / 2);
    EXPECT_GE(asked_in(4000), 4);
    rig.names->delay = 0;
    rig.run(1500);
    EXPECT_GE(asked_in(4000), usual - 1);
}

// A process with deadlines of 5 s is killed 3.7 s after it was told to end: what it took is answered before.
TEST(Relay, AtTheEndWhatMayWaitLongerIsAnsweredBeforeTheKill) {
    Rig rig;
    rig.nodes[0]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    Viewer &v = rig.viewer(), &late = rig.viewer();
    v.say(setup_line(1, "paid", 5000));
    rig.run(100);
    bool done = false;
    rig.director->stop([&] { done = true; });
    rig.run(500);
    late.say(setup_line(2, "paid", 5000));
    rig.run(2900);
    EXPECT_TRUE(v.heard.empty()) << "its node still has time";
    rig.run(290);
    for (const Viewer* one : {&v, &late}) {
        ASSERT_EQ(one->heard.size(), 1u);
        EXPECT_EQ(one->heard[0].type, MessageType::release);
        EXPECT_NE(one->heard[0].cause, 34) << "it may have run";
    }
    EXPECT_EQ(rig.nodes[0]->of(MessageType::release).size(), 2u) << "given up at its node too";
    EXPECT_TRUE(done);
}

// A second attempt that is answered at once must not count the first one's wait as its own.
TEST(Relay, AttemptsWaitFromTheirOwnSending) {
    Rig rig(2);
    int n = 0;
    rig.nodes[0]->react = rig.nodes[1]->react = [&n](auto& link, const auto& m) {
        if (m.type == MessageType::ping) return link.send(MessageType::pong, m.session, 1);
        if (m.type == MessageType::setup && n++ > 0) link.send(MessageType::release, m.session, 47);
    };
    Viewer& v = rig.viewer();
    std::vector<core::SessionRecord> ends;
    rig.director->engine().on_session_record = [&](const core::SessionRecord& r) { ends.push_back(r); };
    v.say(setup_line(1, "free one"));
    rig.run(2000);
    ASSERT_EQ(ends.size(), 1u);
    ASSERT_GE(ends[0].attempt_records.size(), 2u);
    EXPECT_EQ(ends[0].attempt_records[0].outcome, "timed out");
    EXPECT_GE(ends[0].attempt_records[0].elapsed, 250);
    EXPECT_EQ(ends[0].attempt_records[1].outcome, "error");
    EXPECT_LT(ends[0].attempt_records[1].elapsed, 50);
}

TEST(Relay, WhoEndedASessionIsWrittenDown) {
    Rig rig;
    Viewer& v = rig.viewer();
    std::vector<core::SessionRecord> ends;
    rig.director->engine().on_session_record = [&](const core::SessionRecord& r) { ends.push_back(r); };
    v.say(setup_line(1, "paid"));
    v.say(setup_line(2, "paid"));
    rig.run(500);
    v.say(release_line(1, 31));
    rig.run(100);
    rig.nodes[0]->links.back().send(MessageType::release, 2, 16);
    rig.run(100);
    ASSERT_EQ(ends.size(), 2u);
    EXPECT_EQ(ends[0].ended_by, "player");
    EXPECT_EQ(ends[1].ended_by, "node");
}

// A crowd of set-ups dials while the node's queue is full for a moment: one failure, not many in a row.
TEST(Relay, ABadMomentOfANodeDoesNotEndItsSessions) {
    Rig rig;
    Viewer& v = rig.viewer();
    v.say(setup_line(1, "paid"));
    rig.run(300);
    ASSERT_EQ(v.of(MessageType::answer).size(), 1u);
    rig.nodes[0]->listener->pause();
    for (std::uint64_t id = 2; id <= 9; ++id) v.say(setup_line(id, "paid"));
    rig.run(400);
    rig.nodes[0]->listener->resume();
    rig.run(3000);
    EXPECT_GT(rig.director->nodes().counts().dials, 5u);
    EXPECT_EQ(rig.director->nodes().counts().unreachable, 0u);
    for (const auto& m : v.of(MessageType::release)) EXPECT_NE(m.session, 1u);
}

// What nodes tell, kept: the port alone, without engine and module.
struct Told : core::NodeEvents {
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

// Told that a node drains, or is gone, while a connection to it was coming up: nothing is sent on it.
TEST(RelayNodes, ASetUpUnderWayToANodeThatDrainsIsNotSent) {
    for (const bool gone : {false, true}) {
        io::World world(5);
        auto& there = world.start("node");
        auto& here = world.start("director");
        const io::Address at{"127.0.0.1", 9001};
        Node node(there, at);
        Told told;
        nodes::RelayNodes port(here, {});
        port.attach(&told);
        port.set_nodes({{1, {"s-0", at, true}}});
        core::SetupRequest what;
        what.session = 7, what.server = 1, what.expires = 1000;
        port.set_up(what);
        if (gone) port.set_nodes({});
        else port.set_nodes({{1, {"s-0", at, false}}});
        world.run_until(500);
        EXPECT_TRUE(node.heard.empty());
        ASSERT_EQ(told.ends.size(), 1u);
        EXPECT_EQ(told.ends[0].second, Outcome::not_sent);
    }
}

TEST(Relay, AConnectionWithASetUpTakenNeverGivesWay) {
    Rig rig(1, 32);
    rig.nodes[0]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    std::vector<Viewer*> all;
    for (std::uint64_t id = 1; id <= 12; ++id) {
        all.push_back(&rig.viewer());
        all.back()->say(setup_line(id, "free one", 1500));
    }
    rig.run(100);
    for (int k = 0; k < 40; ++k) rig.viewer();
    rig.run(3000);
    for (const Viewer* v : all) EXPECT_EQ(v->heard.size(), 1u);
}

TEST(Relay, AtTheEndWhatStillComesIsRefusedAndNotTaken) {
    Rig rig;
    rig.nodes[0]->react = [](auto& link, const auto& m) {
        if (m.type == MessageType::ping) link.send(MessageType::pong, m.session, 1);
    };
    Viewer &v = rig.viewer(), &late = rig.viewer();
    v.say(setup_line(1, "paid", 3000));
    rig.run(100);
    bool done = false;
    rig.director->stop([&] { done = true; });
    rig.run(700);
    late.say(setup_line(2, "paid", 3000));
    rig.run(20);
    EXPECT_EQ(rig.director->engine().counts().accepted, 2u) << "taken for 0.75 s";
    rig.run(100);
    const auto before = late.heard.size();
    late.say(setup_line(3, "paid", 3000));
    rig.run(20);
    EXPECT_EQ(rig.director->engine().counts().accepted, 2u);
    ASSERT_EQ(late.heard.size(), before + 1);
    EXPECT_EQ(late.heard.back().session, 3u);
    EXPECT_EQ(late.heard.back().cause, 34);
    rig.run(3000);
    EXPECT_TRUE(done);
    EXPECT_EQ(v.heard.size(), 1u);
}

// Everything goes wrong at once, by seed: nodes that answer, refuse, spoil, repeat, fall silent, reset or are
// replaced at their address, viewers that repeat numbers, take back, release what is not theirs, send noise
// and leave. The engine's own assertions are on; what must hold besides: one answer a set-up at most, one in
// time where its viewer stays, and nothing owed or out when all is quiet.
class RelayStorm : public ::testing::TestWithParam<int> {};
TEST_P(RelayStorm, EachSetUpHasOneAnswerAndNothingIsLeft) {
    Rig rig(4, 48);
    std::mt19937 random(static_cast<unsigned>(GetParam()));
    const auto draw = [&](unsigned n) { return random() % n; };
    const auto noise = [&] {
        std::string text;
        for (unsigned n = 1 + draw(40); n > 0; --n) text.push_back(static_cast<char>(random()));
        return text;
    };
    for (auto& node : rig.nodes)
        node->react = [&](auto& link, const auto& m) {
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
        while (open.size() < 4) open.push_back(&rig.viewer());
        Viewer& v = *open[draw(static_cast<unsigned>(open.size()))];
        const bool paid = draw(2) != 0;
        switch (draw(16)) {
            case 0:
                v.say(release_line(1 + draw(static_cast<unsigned>(next)), 31));  // anyone's
                for (auto& [id, one] : asked) one.left = one.left || one.viewer == &v;
                break;
            case 1: {
                Viewer& rude = rig.viewer();
                rude.say(noise());
                rude.say(setup_line(1 + draw(static_cast<unsigned>(next)), "paid"));
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
                    rig.list(rig.listed);
                }
                break;
            default:
                v.say(setup_line(next, paid ? "paid" : "free one", 2000));
                asked[next++] = {&v, rig.world.now() + 2100};
        }
        rig.run(draw(40));
    }
    rig.run(8000);
    for (const auto& [id, one] : asked) {
        int answers = 0, releases = 0;
        for (const auto& m : one.viewer->heard) {
            if (m.session != id) continue;
            answers += m.type == MessageType::answer;
            releases += m.type == MessageType::release;
        }
        EXPECT_LE(answers, 1) << id;
        EXPECT_LE(releases, 1) << id;
        // Who released what is another's open set-up has had its connection closed.
        EXPECT_TRUE(one.left || !one.viewer->open || answers + releases > 0) << id << " is lost";
    }
    EXPECT_EQ(rig.director->front().open(), 0u);
    EXPECT_EQ(rig.director->engine().unanswered_sessions(), 0u);
    EXPECT_LE(rig.director->nodes().connection_count(), 24u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RelayStorm, ::testing::Range(1, 101));

TEST(RelayConfig, TheExampleServes) {
    const auto read = [](const char* name) {
        std::ifstream in(std::string(IVYFIELD_SOURCE_DIR) + "/examples/" + name);
        return std::string(std::istreambuf_iterator<char>(in), {});
    };
    io::World world(3);
    cli::RelayProcess director(world.start("director"), config::read_relay_config(read("relay.json")), "");
    Viewer v(world.start("viewer"), {"127.0.0.1", 5060});
    v.stream->write(read("relay-viewer.jsonl"));
    world.run_until(1000);
    ASSERT_EQ(v.heard.size(), 2u);
    EXPECT_EQ(v.heard[0].type, MessageType::pong);
    EXPECT_EQ(v.heard[1].type, MessageType::release);
    EXPECT_EQ(v.heard[1].cause, 34);
    EXPECT_EQ(v.heard[1].fields.count("wait"), 1u);
}

TEST(RelayConfig, FaultsNameTheirPlace) {
    const std::string good = config_text({{"s-0", {"127.0.0.1", 9001}}}, "127.0.0.1:5300");
    const config::RelayConfig c = config::read_relay_config(good);
    EXPECT_EQ(c.classes[1], "free one");
    EXPECT_EQ(c.settings.classes[1].name, "free_one");
    EXPECT_EQ(c.settings.classes[0].patience, 5000);
    EXPECT_EQ(c.settings.rung_kb, (std::vector<double>{100, 200}));
    EXPECT_EQ(c.settings.tenants.size(), 1u);
    EXPECT_EQ(c.known, 3u);
    EXPECT_EQ(c.members.at("s-0").weight, 4);
    const auto fault = [&](const std::string& from, const std::string& to) {
        std::string text = good;
        text.replace(text.find(from), from.size(), to);
        try {
            config::read_relay_config(text);
        } catch (const std::runtime_error& e) {
            return std::string(e.what());
        }
        return std::string("good");
    };
    EXPECT_EQ(fault("\"dns\":\"127.0.0.1:5300\"", "\"dns\":7"), "/dns: not text");
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
