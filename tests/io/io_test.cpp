// The loop interface: the same tests on sockets and on simulated time, then tests of each implementation.
#include <gtest/gtest.h>

#include <list>
#include <utility>

#include "io/ev/ev_loop.hpp"
#include "io/virtual/world.hpp"

using namespace ivyfield::io;

namespace {

// Runs the loop until `done` returns true or, on sockets, 5 s have passed.
struct LoopRunner {
    virtual ~LoopRunner() = default;
    virtual Loop& loop() = 0;
    virtual void run(const std::function<bool()>& done) = 0;
};
struct EvRunner : LoopRunner {
    EvLoop ev{1};
    Loop& loop() override { return ev; }
    void run(const std::function<bool()>& done) override {
        const Time until = ev.now() + 5000;
        std::function<void()> check = [&] {
            if (done() || ev.now() > until) return ev.stop();
            timer = ev.after(1, check);
        };
        timer = ev.after(0, check);
        ev.run();
    }
    Timer timer;
};
struct VirtualRunner : LoopRunner {
    World world{1};
    VirtualLoop& process = world.start("one");
    VirtualRunner() { world.network.random_piece_sizes = true, world.network.max_piece_size = 700; }
    Loop& loop() override { return process; }
    void run(const std::function<bool()>& done) override {
        while (!done() && world.step()) {
        }
    }
};

class LoopTest : public testing::TestWithParam<bool> {
  protected:
    void SetUp() override {
        if (GetParam()) runner = std::make_unique<EvRunner>();
        else runner = std::make_unique<VirtualRunner>();
    }
    std::unique_ptr<LoopRunner> runner;
};
INSTANTIATE_TEST_SUITE_P(Loops, LoopTest, testing::Values(false, true),
                         [](const auto& info) { return info.param ? "Sockets" : "Virtual"; });

// Records all events of a stream.
struct RecordingHandler : StreamHandler {
    std::unique_ptr<Stream> stream;
    std::string received;
    int opened = 0, ends = 0, flushed = 0;
    std::vector<CloseStatus> closed;
    bool echo = false;
    void on_open() override { opened += 1; }
    void on_data(std::string_view bytes) override {
        received += bytes;
        if (echo) stream->write(bytes);
    }
    void on_end() override {
        ends += 1;
        if (echo) stream->end();
    }
    void on_flushed() override { flushed += 1; }
    void on_closed(CloseStatus close_status) override { closed.push_back(close_status); }
};

TEST_P(LoopTest, TimersRunInOrderAndStop) {
    Loop& loop = runner->loop();
    std::string order;
    const Time start = loop.now();
    Timer late = loop.after(20, [&] { order += "c"; });
    Timer soon = loop.after(5, [&] { order += "a"; });
    Timer same_time = loop.at(start + 5, [&] { order += "b"; });
    Timer stopped = loop.after(1, [&] { order += "x"; });
    stopped.stop();
    {
        Timer scoped = loop.after(1, [&] { order += "y"; });
    }
    runner->run([&] { return order.size() >= 3; });
    EXPECT_EQ(order, "abc");
    EXPECT_GE(loop.now(), start + 20);
}

TEST_P(LoopTest, TaskPostedByATaskRunsAfterIt) {
    Loop& loop = runner->loop();
    std::string order;
    loop.post([&] {
        loop.post([&] { order += "b"; });
        order += "a";
    });
    runner->run([&] { return order.size() == 2; });
    EXPECT_EQ(order, "ab");
}

TEST_P(LoopTest, AllBytesArriveAndBothEndsCloseCleanly) {
    Loop& loop = runner->loop();
    RecordingHandler server, client;
    server.echo = true;
    const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> stream) {
        server.stream = std::move(stream);
        server.stream->set_handler(&server);
    });
    client.stream = loop.dial(listener->address(), 1000, &client);
    std::string sent;
    for (int k = 0; k < 60000; ++k) sent += static_cast<char>('a' + k % 26);
    client.stream->write(sent);
    client.stream->end();
    runner->run([&] { return !client.closed.empty() && !server.closed.empty(); });
    EXPECT_EQ(server.received, sent);
    EXPECT_EQ(client.received, sent);
    EXPECT_EQ(client.ends, 1);
    EXPECT_EQ(client.closed, std::vector<CloseStatus>{CloseStatus::clean});
    EXPECT_EQ(server.closed, std::vector<CloseStatus>{CloseStatus::clean});
}

TEST_P(LoopTest, DialWithoutListenerIsRefused) {
    Loop& loop = runner->loop();
    Address address;
    {
        address = loop.listen({"127.0.0.1", 0}, [](auto) {})->address();
    }
    RecordingHandler client;
    client.stream = loop.dial(address, 1000, &client);
    EXPECT_TRUE(client.closed.empty()) << "reported within the call";
    runner->run([&] { return !client.closed.empty(); });
    EXPECT_EQ(client.closed, std::vector<CloseStatus>{CloseStatus::refused});
    EXPECT_EQ(client.opened, 0);
}

TEST_P(LoopTest, DestroyedStreamResetsThePeer) {
    Loop& loop = runner->loop();
    RecordingHandler server, client;
    const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> stream) {
        server.stream = std::move(stream);
        server.stream->set_handler(&server);
    });
    client.stream = loop.dial(listener->address(), 1000, &client);
    client.stream->write("hello");
    runner->run([&] { return server.received == "hello"; });
    client.stream.reset();
    runner->run([&] { return !server.closed.empty(); });
    EXPECT_EQ(server.closed, std::vector<CloseStatus>{CloseStatus::reset});
    EXPECT_EQ(server.ends, 0);
}

TEST_P(LoopTest, PausedReaderAppliesBackPressure) {
    Loop& loop = runner->loop();
    RecordingHandler server, client;
    const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> stream) {
        server.stream = std::move(stream);
        server.stream->set_handler(&server);
        server.stream->pause();
    });
    client.stream = loop.dial(listener->address(), 1000, &client);
    const std::string payload(32 << 20, 'x');
    client.stream->write(payload);
    bool time_passed = false;
    const Timer timer = loop.after(200, [&] { time_passed = true; });
    runner->run([&] { return time_passed; });
    EXPECT_GT(client.stream->pending(), 0u);
    EXPECT_EQ(client.flushed, 0);
    EXPECT_TRUE(server.received.empty());
    server.stream->resume();
    runner->run([&] { return client.flushed > 0 && server.received.size() == payload.size(); });
    EXPECT_EQ(server.received.size(), payload.size());
    EXPECT_EQ(client.stream->pending(), 0u);
}

TEST_P(LoopTest, HandlerMayDestroyItsStream) {
    struct SelfDestroyingHandler : RecordingHandler {
        void on_data(std::string_view) override { stream.reset(), closed.push_back(CloseStatus::clean); }
    };
    Loop& loop = runner->loop();
    SelfDestroyingHandler server;
    RecordingHandler client;
    const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> stream) {
        server.stream = std::move(stream);
        server.stream->set_handler(&server);
    });
    client.stream = loop.dial(listener->address(), 1000, &client);
    client.stream->write("x");
    runner->run([&] { return !client.closed.empty(); });
    EXPECT_EQ(client.closed, std::vector<CloseStatus>{CloseStatus::reset});
}

TEST_P(LoopTest, ErrorForAPortInUseNamesTheAddress) {
    Loop& loop = runner->loop();
    const auto listener = loop.listen({"127.0.0.1", 0}, [](auto) {});
    try {
        const auto again = loop.listen(listener->address(), [](auto) {});
        FAIL() << "a second listener on the same address was accepted";
    } catch (const std::runtime_error& e) {
        EXPECT_NE(std::string(e.what()).find(listener->address().text()), std::string::npos) << e.what();
    }
}

TEST(Sockets, StreamsAreReadBeforeDatagramsOfTheSameTurn) {
    for (const bool datagram_first : {true, false}) {
        EvLoop loop(1);
        std::string order;
        struct Reader : StreamHandler {
            std::string& order;
            std::unique_ptr<Stream> stream;
            explicit Reader(std::string& o) : order(o) {}
            void on_data(std::string_view) override { order += "s"; }
            void on_end() override {}
            void on_closed(CloseStatus) override {}
        };
        Reader accepted(order), dialled(order);
        const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> stream) {
            accepted.stream = std::move(stream);
            accepted.stream->set_handler(&accepted);
        });
        const auto receiver = loop.open_datagram_socket(
            {"127.0.0.1", 0}, [&](const Address&, std::string_view) { order += "d"; });
        const auto sender =
            loop.open_datagram_socket({"127.0.0.1", 0}, [](const Address&, std::string_view) {});
        dialled.stream = loop.dial(listener->address(), 1000, &dialled);
        Timer send_timer = loop.after(50, [&] {
            const auto datagram = [&] { sender->send(receiver->address(), "list"); };
            if (datagram_first) datagram();
            accepted.stream->write("answer");
            if (!datagram_first) datagram();
        });
        Timer stop = loop.after(150, [&] { loop.stop(); });
        loop.run();
        EXPECT_EQ(order, "sd") << (datagram_first ? "datagram sent first" : "stream written first");
    }
}

TEST(Sockets, DialledStreamsAreReadBeforeAcceptedOnes) {
    for (const bool accepted_first : {true, false}) {
        EvLoop loop(1);
        std::string order;
        struct Reader : StreamHandler {
            std::string& order;
            const char label;
            std::unique_ptr<Stream> stream;
            Reader(std::string& o, char l) : order(o), label(l) {}
            void on_data(std::string_view) override { order += label; }
            void on_end() override {}
            void on_closed(CloseStatus) override {}
        };
        Reader accepted(order, 'a'), dialled(order, 'd');
        const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> stream) {
            accepted.stream = std::move(stream);
            accepted.stream->set_handler(&accepted);
        });
        dialled.stream = loop.dial(listener->address(), 1000, &dialled);
        Timer send_timer = loop.after(50, [&] {
            if (accepted_first) dialled.stream->write("to the accepted one");
            accepted.stream->write("to the dialled one");
            if (!accepted_first) dialled.stream->write("to the accepted one");
        });
        Timer stop = loop.after(150, [&] { loop.stop(); });
        loop.run();
        EXPECT_EQ(order, "da") << (accepted_first ? "accepted first" : "dialled first");
    }
}

// Guards against one turn of the loop that handles all that many busy peers have sent, while others wait.
TEST(Sockets, ATurnReadsLittleOfManyBusyPeers) {
    constexpr std::size_t kPeers = 40, kBytesOfEach = 256 * 1024, kMaxBytesOfATurn = 64 * 1024;
    EvLoop loop(1);
    std::map<Time, std::size_t> bytes_by_turn;  // the clock stands still within a turn
    std::size_t received = 0;
    struct Receiver : StreamHandler {
        std::unique_ptr<Stream> stream;
        std::function<void(std::size_t)> count;
        void on_data(std::string_view bytes) override { count(bytes.size()); }
        void on_end() override {}
        void on_closed(CloseStatus) override {}
    };
    std::list<Receiver> receivers;
    const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> stream) {
        Receiver& receiver = receivers.emplace_back();
        receiver.stream = std::move(stream);
        receiver.count = [&](std::size_t bytes) {
            bytes_by_turn[loop.now()] += bytes;
            received += bytes;
            if (received == kPeers * kBytesOfEach) loop.stop();
        };
        receiver.stream->set_handler(&receiver);
    });
    std::list<RecordingHandler> peers;
    for (std::size_t k = 0; k < kPeers; ++k) {
        RecordingHandler& peer = peers.emplace_back();
        peer.stream = loop.dial(listener->address(), 1000, &peer);
        peer.stream->write(std::string(kBytesOfEach, 'x'));
    }
    Timer timeout = loop.after(20000, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(received, kPeers * kBytesOfEach);
    for (const auto& [turn, bytes] : bytes_by_turn) EXPECT_LE(bytes, kMaxBytesOfATurn);
}

TEST(Sockets, ReadingAnotherStreamInACallbackKeepsItsBytes) {
    EvLoop loop(1);
    std::list<RecordingHandler> accepted;
    const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> stream) {
        accepted.emplace_back();
        accepted.back().stream = std::move(stream);
        accepted.back().stream->set_handler(&accepted.back());
    });
    struct Reader : StreamHandler {
        std::unique_ptr<Stream> stream;
        Stream* other = nullptr;
        std::string received;
        void on_data(std::string_view bytes) override {
            if (other) std::exchange(other, nullptr)->read_available(64 * 1024);
            received += bytes;
        }
        void on_end() override {}
        void on_closed(CloseStatus) override {}
    };
    Reader first, second;
    first.stream = loop.dial(listener->address(), 1000, &first);
    second.stream = loop.dial(listener->address(), 1000, &second);
    Timer send_timer = loop.after(50, [&] {
        first.other = second.stream.get();
        second.other = first.stream.get();
        for (RecordingHandler& peer : accepted) peer.stream->write(peer.stream->peer().text());
    });
    Timer stop = loop.after(150, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(first.received, first.stream->local().text());
    EXPECT_EQ(second.received, second.stream->local().text());
}

TEST(Virtual, SameSeedDeliversTheSameBytesAtTheSameTimes) {
    const auto record_arrivals = [](std::uint64_t seed) {
        World world(seed);
        world.network.random_piece_sizes = true;
        world.network.reset_probability = 0.001;
        VirtualLoop& loop = world.start("a");
        std::string events;
        struct ArrivalRecorder : RecordingHandler {
            std::string* events = nullptr;
            Loop* loop = nullptr;
            void on_data(std::string_view bytes) override {
                *events += std::to_string(loop->now()) + " " + std::to_string(bytes.size()) + "\n";
            }
        } server;
        server.events = &events, server.loop = &loop;
        const auto listener = loop.listen({"127.0.0.1", 80}, [&](std::unique_ptr<Stream> stream) {
            server.stream = std::move(stream);
            server.stream->set_handler(&server);
        });
        RecordingHandler client;
        client.stream = loop.dial({"127.0.0.1", 80}, 1000, &client);
        client.stream->write(std::string(100000, 'x'));
        world.run_until(10000);
        return events;
    };
    EXPECT_EQ(record_arrivals(7), record_arrivals(7));
    EXPECT_NE(record_arrivals(7), record_arrivals(8));
}

TEST(Virtual, KilledProcessRunsNothingAndItsPeersSeeAReset) {
    World world(3);
    VirtualLoop& one = world.start("one");
    VirtualLoop& two = world.start("two");
    RecordingHandler server, client;
    const auto listener = one.listen({"127.0.0.1", 80}, [&](std::unique_ptr<Stream> stream) {
        server.stream = std::move(stream);
        server.stream->set_handler(&server);
    });
    client.stream = two.dial({"127.0.0.1", 80}, 1000, &client);
    bool fired = false;
    const Timer timer = one.after(50, [&] { fired = true; });
    world.run_until(10);
    ASSERT_TRUE(server.stream);
    world.kill(one);
    world.run_until(100);
    EXPECT_FALSE(fired);
    EXPECT_EQ(client.closed, std::vector<CloseStatus>{CloseStatus::reset});
    EXPECT_TRUE(server.closed.empty());
    RecordingHandler late;
    late.stream = two.dial({"127.0.0.1", 80}, 1000, &late);
    world.run_until(200);
    EXPECT_EQ(late.closed, std::vector<CloseStatus>{CloseStatus::refused});
}

TEST(Virtual, StalledProcessRunsAllDueTasksOnContinuationAndMayCancelThem) {
    World world(4);
    VirtualLoop& one = world.start("one");
    std::string events;
    Timer first = one.after(10, [&] { events += "a"; });
    Timer second = one.after(20, [&] {
        events += "b";
        first.stop();
    });
    Timer third = one.after(30, [&] { events += "c"; });
    Timer fourth = one.after(15, [&] {
        events += "x";
        third.stop();
    });
    world.run_until(5);
    world.stall(one, true);
    world.run_until(100);
    EXPECT_EQ(events, "");
    world.stall(one, false);
    EXPECT_EQ(events, "axb") << "cancelled by a task that became due during the same stall";
}

TEST(Addresses, ParseAndTextRoundTrip) {
    for (const char* text : {"127.0.0.1:80", "[::1]:8080", "0.0.0.0:0"})
        EXPECT_EQ(Address::parse(text).text(), text);
    for (const char* text : {"", "127.0.0.1", ":80", "::1:80", "1.2.3.4:x", "1.2.3.4:70000", "[::1:80"})
        EXPECT_THROW(Address::parse(text), std::invalid_argument) << text;
}

}  // namespace
