// Races in the real director process on real sockets, mostly about what is still owed when something ends.
// Each is forced by suspending the process while both sides act (tests/relay/process.hpp).
#include "tests/relay/process.hpp"

namespace ivyfield::relaytest {
namespace {

constexpr int kCauseGivenUp = relay::kCauseGivenUp, kCauseFull = relay::kCauseFull;

bool is_refusal(const ViewerMessage& m) {
    return m.type == MessageType::release && (m.cause == 34 || m.cause == 42 || m.cause == 102);
}
bool is_failure(const ViewerMessage& m) { return m.type == MessageType::release && !is_refusal(m); }

// Sets up a session with a node's answer. Returns its node connection.
PeerConnection establish_session(ProcessRig& rig, PeerConnection& viewer, std::uint64_t id,
                                 const std::string& cls = "free one") {
    viewer.send_line(make_setup_line(id, cls));
    PeerConnection node = rig.accept_connection();
    EXPECT_EQ(rig.await_frame(node, MessageType::setup).session, id);
    node.send(MessageType::answer, id, -1, {{63, "it plays"}});
    const ViewerMessage m = rig.await_line(viewer);
    EXPECT_EQ(m.type, MessageType::answer);
    EXPECT_EQ(m.sdp, "it plays");
    return node;
}

// ---- SIGTERM ----

// When SIGTERM is handled, one set-up is in the receive buffer of an accepted connection, and another on a
// connection that is still in the accept queue. Both must be answered.
TEST(RelayProcessShutdown, AnswersSetUpsNotYetRead) {
    ProcessRig rig;
    rig.start();
    PeerConnection taken = rig.connect_viewer();
    rig.barrier(taken);
    rig.suspend();
    taken.send_line(make_setup_line(1, "paid"));
    PeerConnection queued = rig.connect_viewer();
    queued.send_line(make_setup_line(2, "paid"));
    rig.send_signal(SIGTERM);
    rig.resume();
    PeerConnection one = rig.accept_connection(), two = rig.accept_connection();
    for (PeerConnection* node : {&one, &two})
        node->send(MessageType::answer, rig.await_frame(*node, MessageType::setup).session, -1,
                   {{63, "it plays"}});
    for (PeerConnection* viewer : {&taken, &queued})
        EXPECT_EQ(rig.await_line(*viewer).type, MessageType::answer);
    EXPECT_EQ(rig.await_exit(), 0);
    for (PeerConnection* viewer : {&taken, &queued})
        EXPECT_EQ(rig.await_end(*viewer), PeerConnection::End::clean);
}

// The time to accept set-ups is over and nothing is owed, but set-ups wait in the accept queue and in receive
// buffers. They must be read and answered before the process exits.
TEST(RelayProcessShutdown, ReadsQueuedSetUpsBeforeItExits) {
    ProcessRig rig;
    rig.start();
    PeerConnection taken = rig.connect_viewer();
    rig.barrier(taken);
    rig.send_signal(SIGTERM);
    rig.await_log_event("stopping");
    rig.suspend();
    taken.send_line(make_setup_line(1, "paid"));
    std::list<PeerConnection> queued;
    for (std::uint64_t k = 0; k < 100; ++k) {  // more than are accepted in one turn of the loop
        queued.push_back(rig.connect_viewer());
        queued.back().send_line(make_setup_line(2 + k, "paid"));
    }
    const double until = clock_ms() + 800;  // past 0.75 s: all timers are due when it resumes
    rig.wait_until([&] { return clock_ms() > until; });
    rig.resume();
    EXPECT_TRUE(is_refusal(rig.await_line(taken)));
    for (PeerConnection& one : queued) EXPECT_TRUE(is_refusal(rig.await_line(one)));
    EXPECT_EQ(rig.await_exit(), 0);
    EXPECT_EQ(rig.await_end(taken), PeerConnection::End::clean);
    for (PeerConnection& one : queued) EXPECT_EQ(rig.await_end(one), PeerConnection::End::clean);
}

// Set-ups with a deadline of 5 s, while the process is killed 3.7 s after SIGTERM: the answer comes before.
TEST(RelayProcessShutdown, AnswersBeforeTheKillDespiteLongerDeadlines) {
    ProcessRig rig;
    rig.start();
    PeerConnection viewer = rig.connect_viewer();
    viewer.send_line(make_setup_line(1, "paid", 5000));
    PeerConnection node = rig.accept_connection();
    EXPECT_EQ(rig.await_frame(node, MessageType::setup).session, 1u);
    const double asked = clock_ms();
    rig.send_signal(SIGTERM);
    EXPECT_TRUE(is_failure(rig.await_line(viewer))) << "not a refusal: it may have run";
    EXPECT_EQ(rig.await_frame(node, MessageType::release).cause, kCauseGivenUp);
    EXPECT_EQ(rig.await_exit(), 0);
    EXPECT_LT(clock_ms() - asked, 3700);
    EXPECT_GT(clock_ms() - asked, 3400) << "the node is given all the time there is";
    EXPECT_EQ(rig.await_end(viewer), PeerConnection::End::clean);
}

// At SIGTERM, which comes twice, set-ups have been sent to a node that answers, and others dial one whose
// connections are never established. Each gets exactly one answer.
TEST(RelayProcessShutdown, AnswersSetUpsThatAreDiallingOrSent) {
    ProcessRig rig(2, 256, 0);
    // The second node's accept queue is full: connections to it are never established.
    std::vector<PeerConnection> queue_fillers;
    for (int k = 0; k < 2; ++k) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in a = loopback(rig.listed[1].address.port);
        ::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a);
        queue_fillers.emplace_back(fd);
    }
    rig.start();
    PeerConnection viewer = rig.connect_viewer();
    std::set<std::uint64_t> owed;
    for (std::uint64_t id = 1; id <= 6; ++id) {
        viewer.send_line(make_setup_line(id, id % 2 ? "paid" : "free one", 3000));
        owed.insert(id);
    }
    rig.barrier(viewer);
    rig.send_signal(SIGTERM);
    rig.send_signal(SIGTERM);
    std::list<PeerConnection> links;
    EXPECT_TRUE(rig.wait_until([&] {
        pollfd listener{rig.node_fd(0), POLLIN, 0};
        if (::poll(&listener, 1, 0) == 1) links.push_back(rig.accept_connection());
        for (PeerConnection& link : links)
            for (link.receive_available(); const auto m = link.next_frame();)
                if (m->type == MessageType::setup)
                    link.send(MessageType::answer, m->session, -1, {{63, "it plays"}});
        for (viewer.receive_available(); const auto m = viewer.next_line();) {
            EXPECT_EQ(owed.erase(m->session), 1u) << "answered twice";
            EXPECT_TRUE(m->type == MessageType::answer || m->type == MessageType::release);
        }
        return owed.empty();
    })) << owed.size()
        << " set-ups are not answered";
    EXPECT_EQ(rig.await_exit(), 0);
}

TEST(RelayProcessShutdown, SignalsDuringItsExitDoNotKillIt) {
    for (int round = 0; round < 5; ++round) {
        ProcessRig rig;
        rig.start();
        rig.send_signal(SIGTERM);
        rig.await_log_event("stopped");
        while (!rig.has_ended()) rig.send_signal(round % 2 ? SIGHUP : SIGTERM);
        EXPECT_EQ(rig.await_exit(), 0);
    }
}

TEST(RelayProcessShutdown, RepeatedSignalsDuringAReloadAndBeforeTheFirstList) {
    ProcessRig rig;
    rig.start();
    rig.suspend();
    rig.send_signal(SIGHUP);
    rig.send_signal(SIGTERM);
    rig.resume();
    rig.await_log_event("stopping");
    rig.send_signal(SIGTERM);
    rig.send_signal(SIGHUP);
    EXPECT_EQ(rig.await_exit(), 0);
}

// ---- SIGHUP ----

TEST(RelayProcessReload, ABrokenOrMissingFileChangesNothingAndLogsOneLine) {
    ProcessRig rig;
    rig.start();
    ASSERT_TRUE(rig.wait_until([&] { return rig.query_count > 0; }));
    const auto edit =
        std::exchange(rig.edit_config, [](std::string text) { return text.substr(0, text.size() / 2); });
    rig.rewrite_config();
    rig.send_signal(SIGHUP);
    const auto broken = rig.await_log_event("not reloaded");
    EXPECT_EQ(broken.value("why", "").find(rig.config_path() + ": "), 0u) << broken;
    ASSERT_EQ(::unlink(rig.config_path().c_str()), 0);
    rig.send_signal(SIGHUP);
    const auto missing = rig.await_log_event("not reloaded");
    EXPECT_NE(missing.value("why", "").find(rig.config_path()), std::string::npos) << missing;
    const int before = rig.query_count;
    EXPECT_TRUE(rig.wait_until([&] { return rig.query_count > before; }))
        << "the old name server is still queried";
    for (const auto& line : rig.log_lines) EXPECT_EQ(line.find("not reloaded"), std::string::npos) << line;
    PeerConnection viewer = rig.connect_viewer();
    establish_session(rig, viewer, 1);
    // A valid configuration is applied again.
    rig.edit_config = edit;
    rig.move_name_server();
    rig.rewrite_config();
    rig.send_signal(SIGHUP);
    rig.await_log_event("reloaded");
    EXPECT_TRUE(rig.wait_until([&] { return rig.query_count > 0; })) << "the new name server is queried";
}

TEST(RelayProcessStart, AnInvalidConfigurationIsReportedInOneLineWithItsPath) {
    ProcessRig rig;
    rig.edit_config = [](std::string text) {
        return text.replace(text.find("\"sockets\":256"), 13, "\"sockets\":-1");
    };
    rig.rewrite_config();
    rig.start(false);
    EXPECT_EQ(rig.await_exit(), 2);
    ASSERT_EQ(rig.log_lines.size(), 1u);
    EXPECT_NE(rig.log_lines[0].find(rig.config_path() + ": /limits/sockets: out of range: -1"),
              std::string::npos)
        << rig.log_lines[0];
}

// ---- Viewers ----

// A viewer cancels its set-up at the moment when the node answers. Whichever is found first, the node is sent
// a release, and the viewer gets no answer that it could take for another request's.
TEST(RelayProcessRaces, CancelAndAnswer) {
    ProcessRig rig;
    rig.start();
    PeerConnection viewer = rig.connect_viewer();
    viewer.send_line(make_setup_line(1, "paid"));
    PeerConnection node = rig.accept_connection();
    EXPECT_EQ(rig.await_frame(node, MessageType::setup).session, 1u);
    rig.suspend();
    viewer.send_line(make_release_line(1, kCauseGivenUp));
    node.send(MessageType::answer, 1, -1, {{63, "it plays"}});
    rig.resume();
    EXPECT_EQ(rig.await_frame(node, MessageType::release).session, 1u);
    viewer.send_line(R"({"type":"ping","id":"00000000000000ff","fields":{},"cause":0})");
    std::vector<MessageType> received;
    while (received.empty() || (received.back() != MessageType::pong && received.size() < 4))
        received.push_back(rig.await_line(viewer).type);
    EXPECT_TRUE(received == std::vector<MessageType>{MessageType::pong} ||
                received ==
                    (std::vector<MessageType>{MessageType::answer, MessageType::released, MessageType::pong}))
        << received.size();
}

// Guards against set-ups that are sent on after their client has closed its connection with much unread.
TEST(RelayProcessRaces, SetUpsReadAfterTheirClientLeftAreNotSentOn) {
    constexpr std::uint64_t kLeft = 400, kNext = 1000;
    ProcessRig rig;
    rig.start();
    PeerConnection leaving = rig.connect_viewer(), next = rig.connect_viewer();
    rig.barrier(leaving);
    rig.barrier(next);
    rig.suspend();
    for (std::uint64_t id = 1; id <= kLeft; ++id) leaving.send_line(make_setup_line(id, "free one"));
    leaving.close();
    rig.resume();
    next.send_line(make_setup_line(kNext, "free one"));
    std::list<PeerConnection> links;
    std::size_t sent_on = 0;
    bool reached = false;
    EXPECT_TRUE(rig.wait_until([&] {
        pollfd listener{rig.node_fd(0), POLLIN, 0};
        if (::poll(&listener, 1, 0) == 1) links.push_back(rig.accept_connection());
        for (PeerConnection& link : links)
            for (link.receive_available(); const auto m = link.next_frame();) {
                if (m->type != MessageType::setup) continue;
                reached = reached || m->session == kNext;
                sent_on += m->session != kNext;
            }
        return reached;
    }));
    EXPECT_EQ(sent_on, 0u);
}

// Guards against a set-up that is refused as repeated because its client's earlier connection has ended
// unread.
TEST(RelayProcessRaces, ASetUpComesAgainBeforeTheEndOfItsEarlierConnectionIsRead) {
    ProcessRig rig;
    rig.start();
    // The director reads the connections in an order that it chooses, so both orders are tried.
    for (std::uint64_t id = 1; id <= 2; ++id) {
        PeerConnection one = rig.connect_viewer(), two = rig.connect_viewer();
        PeerConnection &before = id == 1 ? one : two, &after = id == 1 ? two : one;
        rig.barrier(before);
        rig.barrier(after);
        before.send_line(make_setup_line(id, "free one"));
        PeerConnection first = rig.accept_connection();
        EXPECT_EQ(rig.await_frame(first, MessageType::setup).session, id);
        rig.suspend();
        before.close();
        after.send_line(make_setup_line(id, "free one"));
        rig.resume();
        PeerConnection second = rig.accept_connection();
        EXPECT_EQ(rig.await_frame(second, MessageType::setup).session, id);
        second.send(MessageType::answer, id, -1, {{63, "it plays"}});
        EXPECT_EQ(rig.await_line(after).type, MessageType::answer);
        second.send(MessageType::release, id, kCauseGivenUp);
        EXPECT_EQ(rig.await_line(after).type, MessageType::release);
        second.reset();
    }
}

// Half a line and a close, a set-up and a close, a set-up and a reset: no attempt is begun, or it is
// cancelled.
TEST(RelayProcessRaces, SetUpAndCloseOfItsClient) {
    ProcessRig rig;
    rig.start();
    PeerConnection half = rig.connect_viewer(), whole = rig.connect_viewer(), broken = rig.connect_viewer();
    for (PeerConnection* w : {&half, &whole, &broken}) rig.barrier(*w);
    rig.suspend();
    const std::string line = make_setup_line(1, "paid");
    half.write(line.substr(0, line.size() / 2));
    half.close();
    whole.send_line(make_setup_line(2, "paid"));
    whole.close();
    broken.send_line(make_setup_line(3, "paid"));
    broken.reset();
    rig.resume();
    PeerConnection next = rig.connect_viewer();
    next.send_line(make_setup_line(4, "paid"));
    // Connections dialled for the closed clients may be established; they are ended without a set-up, or the
    // set-up sent on them is released.
    std::list<PeerConnection> links;
    std::set<std::uint64_t> open;
    EXPECT_TRUE(rig.wait_until([&] {
        pollfd listener{rig.node_fd(0), POLLIN, 0};
        if (::poll(&listener, 1, 0) == 1) links.push_back(rig.accept_connection());
        for (PeerConnection& link : links)
            for (link.receive_available(); const auto m = link.next_frame();) {
                if (m->type == MessageType::setup) open.insert(m->session);
                if (m->type == MessageType::release) open.erase(m->session);
            }
        return open == std::set<std::uint64_t>{4};
    }));
    EXPECT_EQ(open.count(1) + open.count(2) + open.count(3), 0u);
}

// A viewer closes, and a moment later the node connection is established, the answer arrives or a retry is
// due. No attempt may begin for a viewer that has gone.
TEST(RelayProcessRaces, ClientGoneAndNodeConnectionEstablished) {
    ProcessRig rig;
    rig.start();
    PeerConnection viewer = rig.connect_viewer();
    rig.barrier(viewer);
    rig.suspend();
    viewer.send_line(make_setup_line(1, "free one"));
    rig.resume();
    // The process has dialled; it may or may not find the connection established before the close.
    PeerConnection node = rig.accept_connection();
    rig.suspend();
    viewer.close();
    node.send(MessageType::release, 1,
              kCauseFull);  // of a set-up that may be under way: a retry would be due
    rig.resume();
    PeerConnection other = rig.connect_viewer();
    const double until = clock_ms() + 300;  // longer than 0.1 s
    rig.wait_until([&] { return clock_ms() > until; });
    rig.barrier(other);
    rig.suspend();
    std::size_t setups = 0;
    for (node.receive_available(); const auto m = node.next_frame();) setups += m->type == MessageType::setup;
    EXPECT_LE(setups, 1u) << "a second attempt for a viewer that has gone";
    pollfd listener{rig.node_fd(0), POLLIN, 0};
    EXPECT_EQ(::poll(&listener, 1, 0), 0) << "another connection for a viewer that has gone";
    rig.resume();
}

// Two set-ups with the same session number both fail. Other set-ups pending on that connection are answered,
// and no more are accepted on it, so that a client that repeats numbers by the hundred starts nothing.
TEST(RelayProcessRaces, ARepeatedSessionNumberFailsNoOtherSetUp) {
    ProcessRig rig;
    rig.start();
    PeerConnection viewer = rig.connect_viewer();
    viewer.send_line(make_setup_line(1, "paid"));
    viewer.send_line(make_setup_line(2, "paid"));
    PeerConnection one = rig.accept_connection(), two = rig.accept_connection();
    if (rig.await_frame(one, MessageType::setup).session != 1) std::swap(one, two);
    for (int k = 0; k < 50; ++k) viewer.send_line(make_setup_line(1, "paid", 3000));
    viewer.send_line(make_setup_line(3, "paid", 3000));
    for (int k = 0; k < 52; ++k) {
        const ViewerMessage m = rig.await_line(viewer);
        EXPECT_EQ(m.session, k < 51 ? 1u : 3u);
        EXPECT_TRUE(is_failure(m)) << "each of them is answered, and none is served";
    }
    EXPECT_EQ(rig.await_frame(one, MessageType::release).session, 1u) << "the node is sent a release";
    two.send(MessageType::answer, 2, -1, {{63, "it plays"}});
    const ViewerMessage other = rig.await_line(viewer);
    EXPECT_EQ(other.session, 2u);
    EXPECT_EQ(other.type, MessageType::answer);
    EXPECT_EQ(rig.await_end(viewer), PeerConnection::End::clean);
    rig.suspend();
    pollfd listener{rig.node_fd(0), POLLIN, 0};
    EXPECT_EQ(::poll(&listener, 1, 0), 0) << "no other set-up was begun";
    rig.resume();
}

// A session ends while its viewer has no connection: the release is sent on the viewer's next one.
TEST(RelayProcessRaces, SessionEndWithoutAClientConnection) {
    ProcessRig rig;
    rig.start();
    PeerConnection viewer = rig.connect_viewer();
    PeerConnection node = establish_session(rig, viewer, 1);
    rig.suspend();
    viewer.close();
    node.send(MessageType::release, 1, kCauseGivenUp);
    rig.resume();
    EXPECT_EQ(rig.await_frame(node, MessageType::released).session, 1u);
    PeerConnection next = rig.connect_viewer();
    next.send_line(make_setup_line(2, "free one"));
    const ViewerMessage received = rig.await_line(next);
    EXPECT_EQ(received.session, 1u);
    EXPECT_EQ(received.type, MessageType::release);
}

// ---- Media nodes ----

// Half an answer and a reset: a paid set-up fails, once. One that may be repeated would be retried elsewhere.
TEST(RelayProcessRaces, ResetInTheMiddleOfAnAnswer) {
    ProcessRig rig;
    rig.start();
    PeerConnection viewer = rig.connect_viewer();
    viewer.send_line(make_setup_line(1, "paid"));
    PeerConnection node = rig.accept_connection();
    EXPECT_EQ(rig.await_frame(node, MessageType::setup).session, 1u);
    NodeMessage answer;
    answer.type = MessageType::answer, answer.session = 1, answer.parameters = {{63, "it plays"}};
    const std::string bytes = relay::encode_frame(answer);
    rig.suspend();
    node.write(std::string_view(bytes).substr(0, bytes.size() / 2));
    node.reset();
    rig.resume();
    EXPECT_TRUE(is_failure(rig.await_line(viewer)));
    rig.barrier(viewer);
}

// The answer arrives and the connection is closed at the same moment: the session is established or has
// failed, never both.
TEST(RelayProcessRaces, AnswerAndCloseOfItsNodeConnection) {
    ProcessRig rig;
    rig.start();
    PeerConnection viewer = rig.connect_viewer();
    viewer.send_line(make_setup_line(1, "paid"));
    PeerConnection node = rig.accept_connection();
    EXPECT_EQ(rig.await_frame(node, MessageType::setup).session, 1u);
    rig.suspend();
    node.send(MessageType::answer, 1, -1, {{63, "it plays"}});
    node.close();
    rig.resume();
    EXPECT_EQ(rig.await_line(viewer).type, MessageType::answer) << "the whole answer came before the close";
    rig.barrier(viewer);
}

// A set-up times out at the moment when its answer arrives: there is one final answer, and if that is a
// failure, the node is sent a release.
TEST(RelayProcessRaces, SetUpTimeoutAndAnswer) {
    ProcessRig rig;
    rig.start();
    PeerConnection viewer = rig.connect_viewer();
    viewer.send_line(make_setup_line(1, "paid", 300));
    PeerConnection node = rig.accept_connection();
    EXPECT_EQ(rig.await_frame(node, MessageType::setup).session, 1u);
    rig.suspend();
    const double until = clock_ms() + 400;
    rig.wait_until([&] { return clock_ms() > until; });
    node.send(MessageType::answer, 1, -1, {{63, "it plays"}});
    rig.resume();
    const ViewerMessage m = rig.await_line(viewer);
    if (is_failure(m)) {
        EXPECT_EQ(rig.await_frame(node, MessageType::release).session, 1u);
    } else {
        EXPECT_EQ(m.type, MessageType::answer);
    }
    rig.barrier(viewer);
}

// A connection attempt times out at the moment when it succeeds: the set-up is sent once or not at all, and
// it is answered.
TEST(RelayProcessRaces, ConnectTimeoutAndConnectSuccess) {
    ProcessRig rig(1, 256, 0);
    std::vector<PeerConnection> queue_fillers;
    for (int k = 0; k < 2; ++k) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in a = loopback(rig.listed[0].address.port);
        ::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a);
        queue_fillers.emplace_back(fd);
    }
    rig.edit_config = [](std::string text) {
        return text.replace(text.find("\"connect_timeout_ms\":250.0"), 26, "\"connect_timeout_ms\":900.0");
    };
    rig.rewrite_config();
    rig.start();
    PeerConnection viewer = rig.connect_viewer();
    viewer.send_line(make_setup_line(1, "paid", 4000));
    rig.barrier(viewer);
    rig.suspend();
    queue_fillers.clear();
    // With room in the accept queue the system retransmits its SYN, and the connection is established while
    // the process is suspended.
    PeerConnection filled = rig.accept_connection(), node = rig.accept_connection();
    const double until = clock_ms() + 1000;
    rig.wait_until([&] { return clock_ms() > until; });
    rig.resume();
    std::size_t setups = 0;
    std::optional<ViewerMessage> answer;
    std::list<PeerConnection> links;
    links.push_back(std::move(filled));
    links.push_back(std::move(node));
    EXPECT_TRUE(rig.wait_until([&] {
        pollfd listener{rig.node_fd(0), POLLIN, 0};
        if (::poll(&listener, 1, 0) == 1) links.push_back(rig.accept_connection());
        for (PeerConnection& link : links)
            for (link.receive_available(); const auto m = link.next_frame();) {
                setups += m->type == MessageType::setup;
                if (m->type == MessageType::setup)
                    link.send(MessageType::answer, m->session, -1, {{63, "it plays"}});
            }
        viewer.receive_available();
        answer = viewer.next_line();
        return answer.has_value();
    }));
    EXPECT_LE(setups, 1u);
    EXPECT_EQ(answer->session, 1u);
    rig.barrier(viewer);
}

// A node is replaced in the list by one with the same address while a set-up is pending at it and a session
// is established.
TEST(RelayProcessRaces, NodeReplacedAtItsAddressWithASetUpPending) {
    ProcessRig rig;
    rig.name_server_responds = true;
    rig.start();
    PeerConnection viewer = rig.connect_viewer();
    PeerConnection node = establish_session(rig, viewer, 1);
    viewer.send_line(make_setup_line(2, "paid"));
    EXPECT_EQ(rig.await_frame(node, MessageType::setup).session, 2u);
    rig.suspend();
    rig.listed[0].uid = "s-new";
    rig.serial += 1;
    node.send(MessageType::answer, 2, -1, {{63, "it plays"}});
    node.close();
    rig.resume();
    std::map<std::uint64_t, std::vector<MessageType>> received;
    EXPECT_TRUE(rig.wait_until([&] {
        for (viewer.receive_available(); const auto m = viewer.next_line();)
            received[m->session].push_back(m->type);
        return !received[1].empty() && received[2].size() >= 2;
    }));
    EXPECT_EQ(received[1], (std::vector<MessageType>{MessageType::release})) << "ended with its node";
    EXPECT_EQ(received[2], (std::vector<MessageType>{MessageType::answer, MessageType::release}));
    // The next set-up goes to the new node at the same address.
    viewer.send_line(make_setup_line(3, "paid"));
    std::list<PeerConnection> links;
    EXPECT_TRUE(rig.wait_until([&] {
        pollfd listener{rig.node_fd(0), POLLIN, 0};
        if (::poll(&listener, 1, 0) == 1) links.push_back(rig.accept_connection());
        for (PeerConnection& link : links)
            for (link.receive_available(); const auto m = link.next_frame();)
                if (m->type == MessageType::setup && m->session == 3) return true;
        return false;
    }));
}

// ---- Descriptors ----

// Idle clients use up the descriptors while the name server is silent. Other clients are served, the process
// neither runs a busy loop nor stops accepting connections, and the list is taken once the name server
// responds.
TEST(RelayProcessOverload, IdleClientsUseUpTheDescriptorsWhileDiscoveryIsDown) {
    ProcessRig rig(1, 64);
    rig.start();
    std::list<PeerConnection> idle;
    for (int k = 0; k < 200; ++k) idle.push_back(rig.connect_viewer());
    PeerConnection viewer = rig.connect_viewer();
    PeerConnection node = establish_session(rig, viewer, 1, "paid");
    const double before = rig.cpu_seconds(), until = clock_ms() + 700;
    rig.wait_until([&] { return clock_ms() > until; });
    EXPECT_LT(rig.cpu_seconds() - before, 0.35) << "busy loop";
    rig.name_server_responds = true;
    rig.serial += 1;
    EXPECT_EQ(rig.await_log_event("list").value("nodes", 0), 1);
    EXPECT_TRUE(rig.is_running());
}

// A set-up lies in the receive buffer of a connection that is evicted for new ones: it must be answered.
TEST(RelayProcessOverload, ASetUpInTheBufferOfAnEvictedConnectionIsNotLost) {
    for (const bool setup_first : {true, false}) {
        ProcessRig rig(1, 64);
        rig.start();
        PeerConnection oldest = rig.connect_viewer();
        rig.barrier(oldest);
        std::list<PeerConnection> others;
        for (int k = 0; k < 24; ++k) {
            others.push_back(rig.connect_viewer());
            rig.barrier(others.back());
        }
        rig.suspend();
        if (setup_first) oldest.send_line(make_setup_line(1, "paid"));
        for (int k = 0; k < 8; ++k) others.push_back(rig.connect_viewer());
        if (!setup_first) oldest.send_line(make_setup_line(1, "paid"));
        const double until = clock_ms() + 100;  // longer than a message that crosses a close may take
        rig.wait_until([&] { return clock_ms() > until; });
        rig.resume();
        PeerConnection node = rig.accept_connection();
        EXPECT_EQ(rig.await_frame(node, MessageType::setup).session, 1u);
        node.send(MessageType::answer, 1, -1, {{63, "it plays"}});
        EXPECT_EQ(rig.await_line(oldest).type, MessageType::answer);
    }
}

// An answer is sent just before its connection is evicted: the client must read it whole, then a clean end.
TEST(RelayProcessOverload, AnAnswerOnAnEvictedConnectionArrives) {
    ProcessRig rig(1, 64);
    rig.start();
    PeerConnection oldest = rig.connect_viewer();
    PeerConnection node = establish_session(rig, oldest, 1, "paid");
    std::list<PeerConnection> others;
    for (int k = 0; k < 24; ++k) {
        others.push_back(rig.connect_viewer());
        others.back().send_line(make_setup_line(10 + static_cast<std::uint64_t>(k), "paid"));
        rig.barrier(others.back());
    }
    for (int k = 0; k < 8; ++k) others.push_back(rig.connect_viewer());
    EXPECT_EQ(rig.await_end(oldest), PeerConnection::End::clean);
}

}  // namespace
}  // namespace ivyfield::relaytest
