// The seam, the same tests on both loops: sockets and simulated time.
#include <gtest/gtest.h>

#include <list>
#include <utility>

#include "io/ev/ev_loop.hpp"
#include "io/virtual/world.hpp"

using namespace ivyfield::io;

namespace {

// Runs a test body's events until `done` or a while has passed.
struct Rig {
    virtual ~Rig() = default;
    virtual Loop& loop() = 0;
    virtual void run(const std::function<bool()>& done) = 0;
};
struct EvRig : Rig {
    EvLoop ev{1};
    Loop& loop() override { return ev; }
    void run(const std::function<bool()>& done) override {
        const Time until = ev.now() + 5000;
        std::function<void()> look = [&] {
            if (done() || ev.now() > until) return ev.stop();
            tick = ev.after(1, look);
        };
        tick = ev.after(0, look);
        ev.run();
    }
    Timer tick;
};
struct VirtualRig : Rig {
    World world{1};
    VirtualLoop& process = world.start("one");
    VirtualRig() { world.network.random_piece_sizes = true, world.network.max_piece_size = 700; }
    Loop& loop() override { return process; }
    void run(const std::function<bool()>& done) override {
        while (!done() && world.step()) {
        }
    }
};

class Seam : public testing::TestWithParam<bool> {
  protected:
    void SetUp() override {
        if (GetParam()) rig = std::make_unique<EvRig>();
        else rig = std::make_unique<VirtualRig>();
    }
    std::unique_ptr<Rig> rig;
};
INSTANTIATE_TEST_SUITE_P(Loops, Seam, testing::Values(false, true),
                         [](const auto& info) { return info.param ? "Sockets" : "Virtual"; });

// Keeps all that a stream tells.
struct Peer : StreamHandler {
    std::unique_ptr<Stream> stream;
    std::string got;
    int opened = 0, ends = 0, drained = 0;
    std::vector<CloseReason> closed;
    bool echo = false;
    void on_open() override { opened += 1; }
    void on_data(std::string_view bytes) override {
        got += bytes;
        if (echo) stream->write(bytes);
    }
    void on_end() override {
        ends += 1;
        if (echo) stream->end();
    }
    void on_flushed() override { drained += 1; }
    void on_closed(CloseReason why) override { closed.push_back(why); }
};

TEST_P(Seam, TimersRunInOrderAndStop) {
    Loop& loop = rig->loop();
    std::string order;
    const Time begin = loop.now();
    Timer late = loop.after(20, [&] { order += "c"; });
    Timer soon = loop.after(5, [&] { order += "a"; });
    Timer tie = loop.at(begin + 5, [&] { order += "b"; });
    Timer never = loop.after(1, [&] { order += "x"; });
    never.stop();
    {
        Timer scoped = loop.after(1, [&] { order += "y"; });
    }
    rig->run([&] { return order.size() >= 3; });
    EXPECT_EQ(order, "abc");
    EXPECT_GE(loop.now(), begin + 20);
}

TEST_P(Seam, PostedFromATaskRunsAfterIt) {
    Loop& loop = rig->loop();
    std::string order;
    loop.post([&] {
        loop.post([&] { order += "b"; });
        order += "a";
    });
    rig->run([&] { return order.size() == 2; });
    EXPECT_EQ(order, "ab");
}

TEST_P(Seam, BytesCrossWholeAndEndsMeet) {
    Loop& loop = rig->loop();
    Peer server, client;
    server.echo = true;
    const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> s) {
        server.stream = std::move(s);
        server.stream->set_handler(&server);
    });
    client.stream = loop.dial(listener->address(), 1000, &client);
    std::string sent;
    for (int k = 0; k < 60000; ++k) sent += static_cast<char>('a' + k % 26);
    client.stream->write(sent);
    client.stream->end();
    rig->run([&] { return !client.closed.empty() && !server.closed.empty(); });
    EXPECT_EQ(server.got, sent);
    EXPECT_EQ(client.got, sent);
    EXPECT_EQ(client.ends, 1);
    EXPECT_EQ(client.closed, std::vector<CloseReason>{CloseReason::clean});
    EXPECT_EQ(server.closed, std::vector<CloseReason>{CloseReason::clean});
}

TEST_P(Seam, NobodyListens) {
    Loop& loop = rig->loop();
    Address address;
    {
        address = loop.listen({"127.0.0.1", 0}, [](auto) {})->address();
    }
    Peer client;
    client.stream = loop.dial(address, 1000, &client);
    EXPECT_TRUE(client.closed.empty()) << "told within the call";
    rig->run([&] { return !client.closed.empty(); });
    EXPECT_EQ(client.closed, std::vector<CloseReason>{CloseReason::refused});
    EXPECT_EQ(client.opened, 0);
}

TEST_P(Seam, DestroyedStreamIsAResetForThePeer) {
    Loop& loop = rig->loop();
    Peer server, client;
    const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> s) {
        server.stream = std::move(s);
        server.stream->set_handler(&server);
    });
    client.stream = loop.dial(listener->address(), 1000, &client);
    client.stream->write("hello");
    rig->run([&] { return server.got == "hello"; });
    client.stream.reset();
    rig->run([&] { return !server.closed.empty(); });
    EXPECT_EQ(server.closed, std::vector<CloseReason>{CloseReason::reset});
    EXPECT_EQ(server.ends, 0);
}

TEST_P(Seam, AReaderThatPausesHoldsTheWriterBack) {
    Loop& loop = rig->loop();
    Peer server, client;
    const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> s) {
        server.stream = std::move(s);
        server.stream->set_handler(&server);
        server.stream->pause();
    });
    client.stream = loop.dial(listener->address(), 1000, &client);
    const std::string much(32 << 20, 'x');
    client.stream->write(much);
    bool waited = false;
    const Timer timer = loop.after(200, [&] { waited = true; });
    rig->run([&] { return waited; });
    EXPECT_GT(client.stream->pending(), 0u);
    EXPECT_EQ(client.drained, 0);
    EXPECT_TRUE(server.got.empty());
    server.stream->resume();
    rig->run([&] { return client.drained > 0 && server.got.size() == much.size(); });
    EXPECT_EQ(server.got.size(), much.size());
    EXPECT_EQ(client.stream->pending(), 0u);
}

TEST_P(Seam, HandlersMayDestroyTheirStream) {
    struct Suicidal : Peer {
        void on_data(std::string_view) override { stream.reset(), closed.push_back(CloseReason::clean); }
    };
    Loop& loop = rig->loop();
    Suicidal server;
    Peer client;
    const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> s) {
        server.stream = std::move(s);
        server.stream->set_handler(&server);
    });
    client.stream = loop.dial(listener->address(), 1000, &client);
    client.stream->write("x");
    rig->run([&] { return !client.closed.empty(); });
    EXPECT_EQ(client.closed, std::vector<CloseReason>{CloseReason::reset});
}

TEST_P(Seam, APortInUseIsAnErrorThatNamesIt) {
    Loop& loop = rig->loop();
    const auto listener = loop.listen({"127.0.0.1", 0}, [](auto) {});
    try {
        const auto again = loop.listen(listener->address(), [](auto) {});
        FAIL() << "listened twice";
    } catch (const std::runtime_error& e) {
        EXPECT_NE(std::string(e.what()).find(listener->address().text()), std::string::npos) << e.what();
    }
}

TEST(Sockets, StreamsAreReadBeforeDatagramsThatCameWithThem) {
    for (const bool datagram_first : {true, false}) {
        EvLoop loop(1);
        std::string order;
        struct Reader : StreamHandler {
            std::string& order;
            std::unique_ptr<Stream> stream;
            explicit Reader(std::string& o) : order(o) {}
            void on_data(std::string_view) override { order += "s"; }
            void on_end() override {}
            void on_closed(CloseReason) override {}
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
        Timer say = loop.after(50, [&] {
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

TEST(Sockets, WhatWasDialledIsReadBeforeWhatWasAccepted) {
    for (const bool accepted_first : {true, false}) {
        EvLoop loop(1);
        std::string order;
        struct Reader : StreamHandler {
            std::string& order;
            const char mark;
            std::unique_ptr<Stream> stream;
            Reader(std::string& o, char m) : order(o), mark(m) {}
            void on_data(std::string_view) override { order += mark; }
            void on_end() override {}
            void on_closed(CloseReason) override {}
        };
        Reader accepted(order, 'a'), dialled(order, 'd');
        const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> stream) {
            accepted.stream = std::move(stream);
            accepted.stream->set_handler(&accepted);
        });
        dialled.stream = loop.dial(listener->address(), 1000, &dialled);
        Timer say = loop.after(50, [&] {
            if (accepted_first) dialled.stream->write("to the accepted one");
            accepted.stream->write("to the dialled one");
            if (!accepted_first) dialled.stream->write("to the accepted one");
        });
        Timer stop = loop.after(150, [&] { loop.stop(); });
        loop.run();
        EXPECT_EQ(order, "da") << (accepted_first ? "accepted first" : "dialled first");
    }
}

TEST(Sockets, ReadingAnotherStreamLeavesTheBytesOfACallbackAlone) {
    EvLoop loop(1);
    std::list<Peer> accepted;
    const auto listener = loop.listen({"127.0.0.1", 0}, [&](std::unique_ptr<Stream> stream) {
        accepted.emplace_back();
        accepted.back().stream = std::move(stream);
        accepted.back().stream->set_handler(&accepted.back());
    });
    struct Reader : StreamHandler {
        std::unique_ptr<Stream> stream;
        Stream* other = nullptr;
        std::string got;
        void on_data(std::string_view bytes) override {
            if (other) std::exchange(other, nullptr)->read_available();
            got += bytes;
        }
        void on_end() override {}
        void on_closed(CloseReason) override {}
    };
    Reader first, second;
    first.stream = loop.dial(listener->address(), 1000, &first);
    second.stream = loop.dial(listener->address(), 1000, &second);
    Timer say = loop.after(50, [&] {
        first.other = second.stream.get();
        second.other = first.stream.get();
        for (Peer& peer : accepted) peer.stream->write(peer.stream->peer().text());
    });
    Timer stop = loop.after(150, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(first.got, first.stream->local().text());
    EXPECT_EQ(second.got, second.stream->local().text());
}

TEST(Virtual, SameSeedSameBytesAtTheSameTimes) {
    const auto play = [](std::uint64_t seed) {
        World world(seed);
        world.network.random_piece_sizes = true;
        world.network.reset_probability = 0.001;
        VirtualLoop& loop = world.start("a");
        std::string story;
        struct Teller : Peer {
            std::string* story = nullptr;
            Loop* loop = nullptr;
            void on_data(std::string_view bytes) override {
                *story += std::to_string(loop->now()) + " " + std::to_string(bytes.size()) + "\n";
            }
        } server;
        server.story = &story, server.loop = &loop;
        const auto listener = loop.listen({"127.0.0.1", 80}, [&](std::unique_ptr<Stream> s) {
            server.stream = std::move(s);
            server.stream->set_handler(&server);
        });
        Peer client;
        client.stream = loop.dial({"127.0.0.1", 80}, 1000, &client);
        client.stream->write(std::string(100000, 'x'));
        world.run_until(10000);
        return story;
    };
    EXPECT_EQ(play(7), play(7));
    EXPECT_NE(play(7), play(8));
}

TEST(Virtual, AKilledProcessIsSilentAndItsPeersSeeAReset) {
    World world(3);
    VirtualLoop& one = world.start("one");
    VirtualLoop& two = world.start("two");
    Peer server, client;
    const auto listener = one.listen({"127.0.0.1", 80}, [&](std::unique_ptr<Stream> s) {
        server.stream = std::move(s);
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
    EXPECT_EQ(client.closed, std::vector<CloseReason>{CloseReason::reset});
    EXPECT_TRUE(server.closed.empty());
    Peer late;
    late.stream = two.dial({"127.0.0.1", 80}, 1000, &late);
    world.run_until(200);
    EXPECT_EQ(late.closed, std::vector<CloseReason>{CloseReason::refused});
}

TEST(Virtual, AProcessThatStandsStillFindsAllAtOnceAndMayStillCallOff) {
    World world(4);
    VirtualLoop& one = world.start("one");
    std::string story;
    Timer first = one.after(10, [&] { story += "a"; });
    Timer second = one.after(20, [&] {
        story += "b";
        first.stop();
    });
    Timer third = one.after(30, [&] { story += "c"; });
    Timer fourth = one.after(15, [&] {
        story += "x";
        third.stop();
    });
    world.run_until(5);
    world.stall(one, true);
    world.run_until(100);
    EXPECT_EQ(story, "");
    world.stall(one, false);
    EXPECT_EQ(story, "axb") << "called off by one that fell due with it";
}

TEST(Addresses, ReadAndWrittenAlike) {
    for (const char* text : {"127.0.0.1:80", "[::1]:8080", "0.0.0.0:0"})
        EXPECT_EQ(Address::parse(text).text(), text);
    for (const char* text : {"", "127.0.0.1", ":80", "::1:80", "1.2.3.4:x", "1.2.3.4:70000", "[::1:80"})
        EXPECT_THROW(Address::parse(text), std::invalid_argument) << text;
}

}  // namespace
