// Crossings on real sockets, with the real process: what is still owed when something ends. Each is forced by
// stopping the process while both sides act (tests/relay/process.hpp).
#include "tests/relay/process.hpp"

namespace ivyfield::relaytest {
namespace {

constexpr int kGivenUp = relay::kCauseGivenUp, kFull = relay::kCauseFull;

bool refused(const ViewerMessage& m) {
    return m.type == MessageType::release && (m.cause == 34 || m.cause == 42 || m.cause == 102);
}
bool failed(const ViewerMessage& m) { return m.type == MessageType::release && !refused(m); }

// Plays one session to the point where it stands; its node connection.
Wire stands(Stage& stage, Wire& viewer, std::uint64_t id, const std::string& cls = "free one") {
    viewer.say(setup_line(id, cls));
    Wire node = stage.accept();
    EXPECT_EQ(stage.frame(node, MessageType::setup).session, id);
    node.send(MessageType::answer, id, -1, {{63, "it plays"}});
    const ViewerMessage m = stage.line(viewer);
    EXPECT_EQ(m.type, MessageType::answer);
    EXPECT_EQ(m.sdp, "it plays");
    return node;
}

// ---- SIGTERM ----

// One set-up is in the receive buffer of a connection that was taken, one in the accept queue on a connection
// that nobody has read, when the signal is found.
TEST(RelayProcessStops, AnswersWhatNobodyHasReadYet) {
    Stage stage;
    stage.start();
    Wire taken = stage.viewer();
    stage.barrier(taken);
    stage.stop();
    taken.say(setup_line(1, "paid"));
    Wire queued = stage.viewer();
    queued.say(setup_line(2, "paid"));
    stage.signal(SIGTERM);
    stage.go_on();
    Wire one = stage.accept(), two = stage.accept();
    for (Wire* node : {&one, &two})
        node->send(MessageType::answer, stage.frame(*node, MessageType::setup).session, -1,
                   {{63, "it plays"}});
    for (Wire* viewer : {&taken, &queued}) EXPECT_EQ(stage.line(*viewer).type, MessageType::answer);
    EXPECT_EQ(stage.exit_code(), 0);
    for (Wire* viewer : {&taken, &queued}) EXPECT_EQ(stage.end_of(*viewer), Wire::End::clean);
}

// The last moment: what waits in the accept queue and in receive buffers when the time to take set-ups is
// over and nothing is owed is still read, and answered.
TEST(RelayProcessStops, ReadsWhatWaitsBeforeItLeaves) {
    Stage stage;
    stage.start();
    Wire taken = stage.viewer();
    stage.barrier(taken);
    stage.signal(SIGTERM);
    stage.await_log("stopping");
    stage.stop();
    taken.say(setup_line(1, "paid"));
    std::list<Wire> queued;
    for (std::uint64_t k = 0; k < 100; ++k) {  // more than are accepted in one turn
        queued.push_back(stage.viewer());
        queued.back().say(setup_line(2 + k, "paid"));
    }
    const double late = clock_ms() + 800;  // past 0.75 s: all of its timers are due when it goes on
    stage.await([&] { return clock_ms() > late; });
    stage.go_on();
    EXPECT_TRUE(refused(stage.line(taken)));
    for (Wire& one : queued) EXPECT_TRUE(refused(stage.line(one)));
    EXPECT_EQ(stage.exit_code(), 0);
    EXPECT_EQ(stage.end_of(taken), Wire::End::clean);
    for (Wire& one : queued) EXPECT_EQ(stage.end_of(one), Wire::End::clean);
}

// A deadline of 5 s, and the kill comes 3.7 s after the signal: the answer comes before.
TEST(RelayProcessStops, AnswersBeforeItIsKilledThoughDeadlinesAreLonger) {
    Stage stage;
    stage.start();
    Wire viewer = stage.viewer();
    viewer.say(setup_line(1, "paid", 5000));
    Wire node = stage.accept();
    EXPECT_EQ(stage.frame(node, MessageType::setup).session, 1u);
    const double asked = clock_ms();
    stage.signal(SIGTERM);
    EXPECT_TRUE(failed(stage.line(viewer))) << "it may have run";
    EXPECT_EQ(stage.frame(node, MessageType::release).cause, kGivenUp);
    EXPECT_EQ(stage.exit_code(), 0);
    EXPECT_LT(clock_ms() - asked, 3700);
    EXPECT_GT(clock_ms() - asked, 3400) << "all the time there is was its node's";
    EXPECT_EQ(stage.end_of(viewer), Wire::End::clean);
}

// Written to a node that answers, dialled at one that never comes up, and again: each has one answer.
TEST(RelayProcessStops, AnswersWhatIsDialledAndWritten) {
    Stage stage(2, 256, 0);
    // The second node's queue is full: a connection to it never comes up.
    std::vector<Wire> fill;
    for (int k = 0; k < 2; ++k) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in a = loopback(stage.listed[1].address.port);
        ::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a);
        fill.emplace_back(fd);
    }
    stage.start();
    Wire viewer = stage.viewer();
    std::set<std::uint64_t> owed;
    for (std::uint64_t id = 1; id <= 6; ++id) {
        viewer.say(setup_line(id, id % 2 ? "paid" : "free one", 3000));
        owed.insert(id);
    }
    stage.barrier(viewer);
    stage.signal(SIGTERM);
    stage.signal(SIGTERM);
    std::list<Wire> links;
    EXPECT_TRUE(stage.await([&] {
        pollfd waits{stage.node_fd(0), POLLIN, 0};
        if (::poll(&waits, 1, 0) == 1) links.push_back(stage.accept());
        for (Wire& link : links)
            for (link.take(); const auto m = link.frame();)
                if (m->type == MessageType::setup)
                    link.send(MessageType::answer, m->session, -1, {{63, "it plays"}});
        for (viewer.take(); const auto m = viewer.line();) {
            EXPECT_EQ(owed.erase(m->session), 1u) << "answered twice";
            EXPECT_TRUE(m->type == MessageType::answer || m->type == MessageType::release);
        }
        return owed.empty();
    })) << owed.size()
        << " are not answered";
    EXPECT_EQ(stage.exit_code(), 0);
}

TEST(RelayProcessStops, SignalsThatComeWhileItEndsDoNotKillIt) {
    for (int round = 0; round < 5; ++round) {
        Stage stage;
        stage.start();
        stage.signal(SIGTERM);
        stage.await_log("stopped");
        while (!stage.has_ended()) stage.signal(round % 2 ? SIGHUP : SIGTERM);
        EXPECT_EQ(stage.exit_code(), 0);
    }
}

TEST(RelayProcessStops, TwiceInAReloadAndBeforeTheFirstList) {
    Stage stage;
    stage.start();
    stage.stop();
    stage.signal(SIGHUP);
    stage.signal(SIGTERM);
    stage.go_on();
    stage.await_log("stopping");
    stage.signal(SIGTERM);
    stage.signal(SIGHUP);
    EXPECT_EQ(stage.exit_code(), 0);
}

// ---- SIGHUP ----

TEST(RelayProcessReloads, ABrokenOrMissingFileChangesNothingAndIsOneLine) {
    Stage stage;
    stage.start();
    ASSERT_TRUE(stage.await([&] { return stage.asked > 0; }));
    const auto edit =
        std::exchange(stage.edit, [](std::string text) { return text.substr(0, text.size() / 2); });
    stage.rewrite_config();
    stage.signal(SIGHUP);
    const auto broken = stage.await_log("not reloaded");
    EXPECT_EQ(broken.value("why", "").find(stage.config_path() + ": "), 0u) << broken;
    ASSERT_EQ(::unlink(stage.config_path().c_str()), 0);
    stage.signal(SIGHUP);
    const auto missing = stage.await_log("not reloaded");
    EXPECT_NE(missing.value("why", "").find(stage.config_path()), std::string::npos) << missing;
    const int before = stage.asked;
    EXPECT_TRUE(stage.await([&] { return stage.asked > before; })) << "the old name server is asked on";
    for (const auto& line : stage.lines) EXPECT_EQ(line.find("not reloaded"), std::string::npos) << line;
    Wire viewer = stage.viewer();
    stands(stage, viewer, 1);
    // And a good one counts again.
    stage.edit = edit;
    stage.move_names();
    stage.rewrite_config();
    stage.signal(SIGHUP);
    stage.await_log("reloaded");
    EXPECT_TRUE(stage.await([&] { return stage.asked > 0; })) << "the new one is asked";
}

TEST(RelayProcessStarts, AWrongConfigurationIsOneLineThatNamesItsPlace) {
    Stage stage;
    stage.edit = [](std::string text) {
        return text.replace(text.find("\"sockets\":256"), 13, "\"sockets\":-1");
    };
    stage.rewrite_config();
    stage.start(false);
    EXPECT_EQ(stage.exit_code(), 2);
    ASSERT_EQ(stage.lines.size(), 1u);
    EXPECT_NE(stage.lines[0].find(stage.config_path() + ": /limits/sockets: out of range: -1"),
              std::string::npos)
        << stage.lines[0];
}

// ---- Viewers ----

// Its viewer takes the set-up back in the moment in which its node answers: whichever is found first, its
// node is told that it is over, and the viewer has no answer that it might take for another's.
TEST(RelayProcessCrossings, ACancelAndAnAnswer) {
    Stage stage;
    stage.start();
    Wire viewer = stage.viewer();
    viewer.say(setup_line(1, "paid"));
    Wire node = stage.accept();
    EXPECT_EQ(stage.frame(node, MessageType::setup).session, 1u);
    stage.stop();
    viewer.say(release_line(1, kGivenUp));
    node.send(MessageType::answer, 1, -1, {{63, "it plays"}});
    stage.go_on();
    EXPECT_EQ(stage.frame(node, MessageType::release).session, 1u);
    viewer.say(R"({"type":"ping","id":"00000000000000ff","fields":{},"cause":0})");
    std::vector<MessageType> told;
    while (told.empty() || (told.back() != MessageType::pong && told.size() < 4))
        told.push_back(stage.line(viewer).type);
    EXPECT_TRUE(told == std::vector<MessageType>{MessageType::pong} ||
                told ==
                    (std::vector<MessageType>{MessageType::answer, MessageType::released, MessageType::pong}))
        << told.size();
}

// Half a line and a close, a set-up and a close, a set-up and a reset: nothing is begun, or it is given up.
TEST(RelayProcessCrossings, ASetUpAndItsViewersEnd) {
    Stage stage;
    stage.start();
    Wire half = stage.viewer(), whole = stage.viewer(), broken = stage.viewer();
    for (Wire* w : {&half, &whole, &broken}) stage.barrier(*w);
    stage.stop();
    const std::string line = setup_line(1, "paid");
    half.write(line.substr(0, line.size() / 2));
    half.close();
    whole.say(setup_line(2, "paid"));
    whole.close();
    broken.say(setup_line(3, "paid"));
    broken.reset();
    stage.go_on();
    Wire next = stage.viewer();
    next.say(setup_line(4, "paid"));
    // What is dialled for nobody may come up, and is ended with nothing or with its set-up given up on it.
    std::list<Wire> links;
    std::set<std::uint64_t> open;
    EXPECT_TRUE(stage.await([&] {
        pollfd waits{stage.node_fd(0), POLLIN, 0};
        if (::poll(&waits, 1, 0) == 1) links.push_back(stage.accept());
        for (Wire& link : links)
            for (link.take(); const auto m = link.frame();) {
                if (m->type == MessageType::setup) open.insert(m->session);
                if (m->type == MessageType::release) open.erase(m->session);
            }
        return open == std::set<std::uint64_t>{4};
    }));
    EXPECT_EQ(open.count(1) + open.count(2) + open.count(3), 0u);
}

// Its viewer closes; a moment later its node connection comes up, or the answer arrives, or a retry is due:
// no attempt begins for a viewer that has gone.
TEST(RelayProcessCrossings, AViewerGoneAndADialThatComesUp) {
    Stage stage;
    stage.start();
    Wire viewer = stage.viewer();
    stage.barrier(viewer);
    stage.stop();
    viewer.say(setup_line(1, "free one"));
    stage.go_on();
    // The dial is out; whether the connection's coming up is found is up to the process: both are there.
    Wire node = stage.accept();
    stage.stop();
    viewer.close();
    node.send(MessageType::release, 1, kFull);  // of a set-up that may be on its way: a retry would be due
    stage.go_on();
    Wire other = stage.viewer();
    const double late = clock_ms() + 300;  // 0.1 s and more
    stage.await([&] { return clock_ms() > late; });
    stage.barrier(other);
    stage.stop();
    std::size_t set_ups = 0;
    for (node.take(); const auto m = node.frame();) set_ups += m->type == MessageType::setup;
    EXPECT_LE(set_ups, 1u) << "a second attempt for nobody";
    pollfd waits{stage.node_fd(0), POLLIN, 0};
    EXPECT_EQ(::poll(&waits, 1, 0), 0) << "another connection for nobody";
    stage.go_on();
}

// Two requests under one number end each other; what else is open on that connection is answered, and nothing
// more is taken on it: a client that goes on so by the hundred begins nothing.
TEST(RelayProcessCrossings, ARepeatedNumberTakesNoOtherRequestDown) {
    Stage stage;
    stage.start();
    Wire viewer = stage.viewer();
    viewer.say(setup_line(1, "paid"));
    viewer.say(setup_line(2, "paid"));
    Wire one = stage.accept(), two = stage.accept();
    if (stage.frame(one, MessageType::setup).session != 1) std::swap(one, two);
    for (int k = 0; k < 50; ++k) viewer.say(setup_line(1, "paid", 3000));
    viewer.say(setup_line(3, "paid", 3000));
    for (int k = 0; k < 52; ++k) {
        const ViewerMessage m = stage.line(viewer);
        EXPECT_EQ(m.session, k < 51 ? 1u : 3u);
        EXPECT_TRUE(failed(m)) << "each of them is told, and none is served";
    }
    EXPECT_EQ(stage.frame(one, MessageType::release).session, 1u) << "its node is told";
    two.send(MessageType::answer, 2, -1, {{63, "it plays"}});
    const ViewerMessage other = stage.line(viewer);
    EXPECT_EQ(other.session, 2u);
    EXPECT_EQ(other.type, MessageType::answer);
    EXPECT_EQ(stage.end_of(viewer), Wire::End::clean);
    stage.stop();
    pollfd waits{stage.node_fd(0), POLLIN, 0};
    EXPECT_EQ(::poll(&waits, 1, 0), 0) << "no other set-up was begun";
    stage.go_on();
}

// A session ends when no connection of its viewer is there: it is told on the next one.
TEST(RelayProcessCrossings, AnEndAndNoConnectionToTellItOn) {
    Stage stage;
    stage.start();
    Wire viewer = stage.viewer();
    Wire node = stands(stage, viewer, 1);
    stage.stop();
    viewer.close();
    node.send(MessageType::release, 1, kGivenUp);
    stage.go_on();
    EXPECT_EQ(stage.frame(node, MessageType::released).session, 1u);
    Wire next = stage.viewer();
    next.say(setup_line(2, "free one"));
    const ViewerMessage told = stage.line(next);
    EXPECT_EQ(told.session, 1u);
    EXPECT_EQ(told.type, MessageType::release);
}

// ---- Media nodes ----

// Half an answer and a reset: a paid set-up has failed, once; one that may be repeated goes on elsewhere.
TEST(RelayProcessCrossings, AResetInTheMiddleOfAnAnswer) {
    Stage stage;
    stage.start();
    Wire viewer = stage.viewer();
    viewer.say(setup_line(1, "paid"));
    Wire node = stage.accept();
    EXPECT_EQ(stage.frame(node, MessageType::setup).session, 1u);
    NodeMessage answer;
    answer.type = MessageType::answer, answer.session = 1, answer.parameters = {{63, "it plays"}};
    const std::string bytes = relay::encode_frame(answer);
    stage.stop();
    node.write(std::string_view(bytes).substr(0, bytes.size() / 2));
    node.reset();
    stage.go_on();
    EXPECT_TRUE(failed(stage.line(viewer)));
    stage.barrier(viewer);
}

// The answer is there and the connection is reset in the same moment: the session stands, or it has failed;
// never both.
TEST(RelayProcessCrossings, AnAnswerAndTheEndOfItsConnection) {
    Stage stage;
    stage.start();
    Wire viewer = stage.viewer();
    viewer.say(setup_line(1, "paid"));
    Wire node = stage.accept();
    EXPECT_EQ(stage.frame(node, MessageType::setup).session, 1u);
    stage.stop();
    node.send(MessageType::answer, 1, -1, {{63, "it plays"}});
    node.close();
    stage.go_on();
    EXPECT_EQ(stage.line(viewer).type, MessageType::answer) << "it was there whole before the end";
    stage.barrier(viewer);
}

// The time of a set-up is up in the moment in which its answer is there: one final answer, and where it is
// that it failed, its node is told.
TEST(RelayProcessCrossings, ATimeOutAndAnAnswer) {
    Stage stage;
    stage.start();
    Wire viewer = stage.viewer();
    viewer.say(setup_line(1, "paid", 300));
    Wire node = stage.accept();
    EXPECT_EQ(stage.frame(node, MessageType::setup).session, 1u);
    stage.stop();
    const double late = clock_ms() + 400;
    stage.await([&] { return clock_ms() > late; });
    node.send(MessageType::answer, 1, -1, {{63, "it plays"}});
    stage.go_on();
    const ViewerMessage m = stage.line(viewer);
    if (failed(m)) {
        EXPECT_EQ(stage.frame(node, MessageType::release).session, 1u);
    } else {
        EXPECT_EQ(m.type, MessageType::answer);
    }
    stage.barrier(viewer);
}

// A dial's time is up in the moment in which it comes up: the set-up is sent once or not at all, and
// answered.
TEST(RelayProcessCrossings, AConnectTimeOutAndItsSuccess) {
    Stage stage(1, 256, 0);
    std::vector<Wire> fill;
    for (int k = 0; k < 2; ++k) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in a = loopback(stage.listed[0].address.port);
        ::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a);
        fill.emplace_back(fd);
    }
    stage.edit = [](std::string text) {
        return text.replace(text.find("\"connect_timeout_ms\":250.0"), 26, "\"connect_timeout_ms\":900.0");
    };
    stage.rewrite_config();
    stage.start();
    Wire viewer = stage.viewer();
    viewer.say(setup_line(1, "paid", 4000));
    stage.barrier(viewer);
    stage.stop();
    fill.clear();
    // Room is made; the system sends its half-open connection again, and it comes up while nobody looks.
    Wire filled = stage.accept(), node = stage.accept();
    const double late = clock_ms() + 1000;
    stage.await([&] { return clock_ms() > late; });
    stage.go_on();
    std::size_t set_ups = 0;
    std::optional<ViewerMessage> answer;
    std::list<Wire> links;
    links.push_back(std::move(filled));
    links.push_back(std::move(node));
    EXPECT_TRUE(stage.await([&] {
        pollfd waits{stage.node_fd(0), POLLIN, 0};
        if (::poll(&waits, 1, 0) == 1) links.push_back(stage.accept());
        for (Wire& link : links)
            for (link.take(); const auto m = link.frame();) {
                set_ups += m->type == MessageType::setup;
                if (m->type == MessageType::setup)
                    link.send(MessageType::answer, m->session, -1, {{63, "it plays"}});
            }
        viewer.take();
        answer = viewer.line();
        return answer.has_value();
    }));
    EXPECT_LE(set_ups, 1u);
    EXPECT_EQ(answer->session, 1u);
    stage.barrier(viewer);
}

// A node goes from the list, and a new one has its address, while a set-up is out and a session stands.
TEST(RelayProcessCrossings, ANodeReplacedAtItsAddressWithSetUpsOut) {
    Stage stage;
    stage.names_answer = true;
    stage.start();
    Wire viewer = stage.viewer();
    Wire node = stands(stage, viewer, 1);
    viewer.say(setup_line(2, "paid"));
    EXPECT_EQ(stage.frame(node, MessageType::setup).session, 2u);
    stage.stop();
    stage.listed[0].uid = "s-new";
    stage.serial += 1;
    node.send(MessageType::answer, 2, -1, {{63, "it plays"}});
    node.close();
    stage.go_on();
    std::map<std::uint64_t, std::vector<MessageType>> told;
    EXPECT_TRUE(stage.await([&] {
        for (viewer.take(); const auto m = viewer.line();) told[m->session].push_back(m->type);
        return !told[1].empty() && told[2].size() >= 2;
    }));
    EXPECT_EQ(told[1], (std::vector<MessageType>{MessageType::release})) << "gone with its node";
    EXPECT_EQ(told[2], (std::vector<MessageType>{MessageType::answer, MessageType::release}));
    // What comes next goes to the new one at the same address.
    viewer.say(setup_line(3, "paid"));
    std::list<Wire> links;
    EXPECT_TRUE(stage.await([&] {
        pollfd waits{stage.node_fd(0), POLLIN, 0};
        if (::poll(&waits, 1, 0) == 1) links.push_back(stage.accept());
        for (Wire& link : links)
            for (link.take(); const auto m = link.frame();)
                if (m->type == MessageType::setup && m->session == 3) return true;
        return false;
    }));
}

// ---- Descriptors ----

// Idle clients fill what there is while the name server is silent: others are served, the process neither
// spins nor stops taking connections, and when the name server is back its list is heard.
TEST(RelayProcessCrowds, IdleClientsFillTheDescriptorsWhileDiscoveryIsDown) {
    Stage stage(1, 64);
    stage.start();
    std::list<Wire> idle;
    for (int k = 0; k < 200; ++k) idle.push_back(stage.viewer());
    Wire viewer = stage.viewer();
    Wire node = stands(stage, viewer, 1, "paid");
    const double before = stage.cpu_s(), until = clock_ms() + 700;
    stage.await([&] { return clock_ms() > until; });
    EXPECT_LT(stage.cpu_s() - before, 0.35) << "it spins";
    stage.names_answer = true;
    stage.serial += 1;
    EXPECT_EQ(stage.await_log("list").value("nodes", 0), 1);
    EXPECT_TRUE(stage.running());
}

// The set-up was there before the new connections that push its connection out.
TEST(RelayProcessCrowds, ASetUpInTheBufferOfAnEvictedConnectionIsNotLost) {
    for (const bool set_up_first : {true, false}) {
        Stage stage(1, 64);
        stage.start();
        Wire oldest = stage.viewer();
        stage.barrier(oldest);
        std::list<Wire> others;
        for (int k = 0; k < 24; ++k) {
            others.push_back(stage.viewer());
            stage.barrier(others.back());
        }
        stage.stop();
        if (set_up_first) oldest.say(setup_line(1, "paid"));
        for (int k = 0; k < 8; ++k) others.push_back(stage.viewer());
        if (!set_up_first) oldest.say(setup_line(1, "paid"));
        const double late = clock_ms() + 100;  // longer than what crosses a close may take
        stage.await([&] { return clock_ms() > late; });
        stage.go_on();
        Wire node = stage.accept();
        EXPECT_EQ(stage.frame(node, MessageType::setup).session, 1u);
        node.send(MessageType::answer, 1, -1, {{63, "it plays"}});
        EXPECT_EQ(stage.line(oldest).type, MessageType::answer);
    }
}

// The last thing before its connection is pushed out is an answer: the client reads it whole, then the end.
TEST(RelayProcessCrowds, AnAnswerOnAnEvictedConnectionArrives) {
    Stage stage(1, 64);
    stage.start();
    Wire oldest = stage.viewer();
    Wire node = stands(stage, oldest, 1, "paid");
    std::list<Wire> others;
    for (int k = 0; k < 24; ++k) {
        others.push_back(stage.viewer());
        others.back().say(setup_line(10 + static_cast<std::uint64_t>(k), "paid"));
        stage.barrier(others.back());
    }
    for (int k = 0; k < 8; ++k) others.push_back(stage.viewer());
    EXPECT_EQ(stage.end_of(oldest), Wire::End::clean);
}

}  // namespace
}  // namespace ivyfield::relaytest
