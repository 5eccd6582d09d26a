// The HTTP server and client against each other, on simulated time and on sockets.
#include <gtest/gtest.h>

#include <list>

#include "http/client.hpp"
#include "http/server.hpp"
#include "io/ev/ev_loop.hpp"
#include "io/virtual/world.hpp"

using namespace ivyfield;
using namespace ivyfield::http;

namespace {

// Sends raw bytes and records the response.
struct RawClient : io::StreamHandler {
    std::unique_ptr<io::Stream> stream;
    std::string received;
    bool ended = false, closed = false;
    RawClient(io::Loop& loop, const io::Address& to) { stream = loop.dial(to, 1000, this); }
    void on_data(std::string_view bytes) override { received += bytes; }
    void on_end() override { ended = true; }
    void on_closed(io::CloseStatus) override { closed = true; }
};

struct HttpTest : testing::Test {
    io::World world{5};
    io::VirtualLoop& server_loop = world.start("server");
    io::VirtualLoop& client_loop = world.start("client");
    std::vector<ExchangePtr> exchanges;
    ServerLimits limits;
    std::unique_ptr<Server> server;
    std::unique_ptr<Client> client;
    HttpTest() { world.network.random_piece_sizes = true, world.network.max_piece_size = 50; }
    void serve(Server::Handler handler) {
        server =
            std::make_unique<Server>(server_loop, io::Address{"127.0.0.1", 80}, limits, std::move(handler));
    }
    void serve_echo() {
        serve([](const ExchangePtr& e) {
            e->respond({200, {}, std::string(e->request().target) + ":" + e->request().body});
        });
    }
    static Request get(const std::string& target) {
        Request r;
        r.target = target;
        return r;
    }
};
const io::Address kServer{"127.0.0.1", 80};

// Guards against requests that are never completed and together take more memory than the process has.
TEST_F(HttpTest, UnfinishedRequestsOfManyClientsStayWithinTheMemoryBudget) {
    world.network.random_piece_sizes = false;
    world.network.max_piece_size = 1460;
    limits.memory = 2 * 1024 * 1024;
    limits.parse.max_body_bytes = 64 * 1024;
    serve_echo();
    std::string fields;
    for (int k = 0; k < 90; ++k) fields += "a" + std::to_string(k) + ":b\r\n";
    const std::string head = "POST /1 HTTP/1.1\r\nHost: x\r\n" + fields + "Content-Length: 65000\r\n\r\n";
    std::list<RawClient> clients;
    for (int k = 0; k < 200; ++k) {
        clients.emplace_back(client_loop, kServer);
        clients.back().stream->write(head + std::string(64000, 'x'));
    }
    std::size_t most_held = 0;
    for (int k = 0; k < 300; ++k) {
        world.run_until(world.now() + 1);
        most_held = std::max(most_held, server->held_bytes());
    }
    EXPECT_GT(server->counts().over_memory, 0u);
    EXPECT_LT(most_held, limits.memory);
    RawClient usual(client_loop, kServer);
    usual.stream->write("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    world.run_until(world.now() + 50);
    EXPECT_EQ(usual.received.find("HTTP/1.1 200"), 0u) << usual.received;
    clients.clear();
    world.run_until(world.now() + 50);
    EXPECT_EQ(server->open_connections(), 1u);
    EXPECT_LT(server->held_bytes(), 16u * 1024);
}

TEST_F(HttpTest, PipelinedRequestsAreAnsweredInOrder) {
    serve([this](const ExchangePtr& e) { exchanges.push_back(e); });
    RawClient raw_client(client_loop, kServer);
    for (const char* path : {"/1", "/2", "/3"})
        raw_client.stream->write(std::string("GET ") + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    world.run_until(100);
    ASSERT_EQ(exchanges.size(), 3u);
    exchanges[2]->respond({200, {}, "third"});
    exchanges[0]->respond({200, {}, "first"});
    world.run_until(200);
    EXPECT_NE(raw_client.received.find("first"), std::string::npos);
    EXPECT_EQ(raw_client.received.find("third"), std::string::npos)
        << "the third response was sent before the second";
    exchanges[1]->respond({200, {}, "second"});
    world.run_until(300);
    EXPECT_LT(raw_client.received.find("second"), raw_client.received.find("third"));
}
TEST_F(HttpTest, PipelinedRequestsBeyondTheLimitWaitAndAreAllAnswered) {
    limits.max_pipelined_requests = 3;
    serve([this](const ExchangePtr& e) { exchanges.push_back(e); });
    RawClient raw_client(client_loop, kServer);
    for (int k = 0; k < 20; ++k) raw_client.stream->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    world.run_until(100);
    EXPECT_EQ(exchanges.size(), 3u);
    std::size_t answered = 0;
    while (answered < exchanges.size()) {
        exchanges[answered++]->respond({204, {}, ""});
        world.run_until(world.now() + 50);
    }
    EXPECT_EQ(answered, 20u);
}
TEST_F(HttpTest, AmbiguousLengthIsRejectedAndTheConnectionClosed) {
    serve_echo();
    RawClient raw_client(client_loop, kServer);
    raw_client.stream->write(
        "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    world.run_until(500);
    EXPECT_EQ(raw_client.received.substr(0, 12), "HTTP/1.1 400");
    EXPECT_TRUE(raw_client.ended);
    EXPECT_EQ(server->counts().rejected, 1u);
    world.run_until(5000);
    EXPECT_EQ(server->open_connections(), 0u);
}
TEST_F(HttpTest, SlowSenderIsAnsweredWith408) {
    serve_echo();
    RawClient raw_client(client_loop, kServer);
    raw_client.stream->write("GET / HTTP/1.1\r\nHost: ");
    world.run_until(9000);
    EXPECT_TRUE(raw_client.received.empty());
    world.run_until(12000);
    EXPECT_EQ(raw_client.received.substr(0, 12), "HTTP/1.1 408");
}
TEST_F(HttpTest, IdleConnectionIsClosedWithoutAResponse) {
    serve_echo();
    RawClient raw_client(client_loop, kServer);
    world.run_until(61000);
    EXPECT_TRUE(raw_client.ended);
    EXPECT_TRUE(raw_client.received.empty());
}
TEST_F(HttpTest, PeerThatReadsNothingIsDisconnected) {
    serve([](const ExchangePtr& e) { e->respond({200, {}, std::string(4 << 20, 'x')}); });
    RawClient raw_client(client_loop, kServer);
    raw_client.stream->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    raw_client.stream->pause();
    world.run_until(40000);
    EXPECT_EQ(server->open_connections(), 0u);
    EXPECT_EQ(server->counts().timed_out, 1u);
}
TEST_F(HttpTest, HalfClosedPeerStillGetsItsResponse) {
    serve([this](const ExchangePtr& e) { exchanges.push_back(e); });
    RawClient raw_client(client_loop, kServer);
    raw_client.stream->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    raw_client.stream->end();
    world.run_until(100);
    ASSERT_EQ(exchanges.size(), 1u);
    EXPECT_FALSE(exchanges[0]->is_disconnected());
    exchanges[0]->respond({200, {}, "still"});
    world.run_until(200);
    EXPECT_NE(raw_client.received.find("still"), std::string::npos);
    EXPECT_TRUE(raw_client.ended);
}
TEST_F(HttpTest, DisconnectOfThePeerIsReported) {
    bool disconnected = false;
    serve([&](const ExchangePtr& e) {
        exchanges.push_back(e);
        e->on_disconnect([&] { disconnected = true; });
    });
    {
        RawClient raw_client(client_loop, kServer);
        raw_client.stream->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        world.run_until(100);
    }
    world.run_until(200);
    EXPECT_TRUE(disconnected);
    EXPECT_TRUE(exchanges[0]->is_disconnected());
    exchanges[0]->respond({200, {}, "discarded"});  // must not crash
}
TEST_F(HttpTest, DroppedExchangeIsAnsweredWith500) {
    serve([](const ExchangePtr&) {});
    client = std::make_unique<Client>(client_loop, ClientLimits{});
    CallResult result;
    const auto call = client->send(kServer, get("/"), {}, [&](CallResult r) { result = std::move(r); });
    world.run_until(100);
    EXPECT_EQ(result.response.status, 500);
}
TEST_F(HttpTest, SecondResponseIsAnError) {
    serve([](const ExchangePtr& e) {
        e->respond({200, {}, "x"});
        EXPECT_THROW(e->respond({200, {}, "y"}), std::logic_error);
    });
    client = std::make_unique<Client>(client_loop, ClientLimits{});
    const auto call = client->send(kServer, get("/"), {}, [](CallResult) {});
    world.run_until(100);
}
TEST_F(HttpTest, ChunkedBodiesInBothDirections) {
    serve([](const ExchangePtr& e) {
        e->start(200, {});
        e->write(e->request().body);
        e->write("-and-");
        e->write(e->request().target);
        e->finish();
    });
    RawClient raw_client(client_loop, kServer);
    raw_client.stream->write(
        "POST /t HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    client = std::make_unique<Client>(client_loop, ClientLimits{});
    CallResult result;
    Request r = get("/u");
    r.method = "POST", r.body = "xyz";
    const auto call =
        client->send(kServer, r, {}, [&](CallResult call_result) { result = std::move(call_result); });
    world.run_until(200);
    EXPECT_NE(raw_client.received.find("3\r\nabc\r\n5\r\n-and-\r\n2\r\n/t\r\n0\r\n\r\n"), std::string::npos)
        << raw_client.received;
    EXPECT_EQ(result.response.body, "xyz-and-/u");
}
TEST_F(HttpTest, ContinueIsSentIfExpected) {
    serve_echo();
    RawClient raw_client(client_loop, kServer);
    raw_client.stream->write(
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    world.run_until(100);
    EXPECT_EQ(raw_client.received, "HTTP/1.1 100 Continue\r\n\r\n");
    raw_client.stream->write("ok");
    world.run_until(200);
    EXPECT_NE(raw_client.received.find("/:ok"), std::string::npos);
}

TEST_F(HttpTest, CallsShareConnectionsUpToTheLimit) {
    serve([this](const ExchangePtr& e) { exchanges.push_back(e); });
    ClientLimits two_connections;
    two_connections.max_connections_per_address = 2;
    client = std::make_unique<Client>(client_loop, two_connections);
    std::vector<std::unique_ptr<Call>> calls;
    std::vector<CallOutcome> ends;
    CallOptions long_connect_timeout;
    long_connect_timeout.connect_timeout = 5000;
    for (int k = 0; k < 5; ++k)
        calls.push_back(client->send(kServer, get("/"), long_connect_timeout,
                                     [&](CallResult r) { ends.push_back(r.outcome); }));
    world.run_until(100);
    EXPECT_EQ(exchanges.size(), 2u);
    EXPECT_EQ(client->open_connections(kServer), 2u);
    for (std::size_t k = 0; k < 5; ++k) {
        ASSERT_LT(k, exchanges.size());
        exchanges[k]->respond({200, {}, ""});
        world.run_until(world.now() + 100);
    }
    EXPECT_EQ(ends, std::vector<CallOutcome>(5, CallOutcome::response));
    EXPECT_EQ(server->counts().connections, 2u);
}
TEST_F(HttpTest, CallWithoutAConnectionInTimeWasNotSent) {
    serve([this](const ExchangePtr& e) { exchanges.push_back(e); });
    ClientLimits one_connection;
    one_connection.max_connections_per_address = 1;
    client = std::make_unique<Client>(client_loop, one_connection);
    CallResult second;
    const auto a = client->send(kServer, get("/a"), {}, [](CallResult) {});
    const auto b = client->send(kServer, get("/b"), {}, [&](CallResult r) { second = std::move(r); });
    EXPECT_FALSE(b->sent());
    world.run_until(1500);
    EXPECT_EQ(second.outcome, CallOutcome::not_connected);
    EXPECT_EQ(exchanges.size(), 1u);
}
TEST_F(HttpTest, OutcomeTellsWhetherTheRequestWasSent) {
    serve([this](const ExchangePtr& e) { exchanges.push_back(e); });
    client = std::make_unique<Client>(client_loop, ClientLimits{});
    CallResult refused, broken, late;
    CallOptions short_timeout;
    short_timeout.timeout = 300;
    const auto a =
        client->send({"127.0.0.1", 81}, get("/"), {}, [&](CallResult r) { refused = std::move(r); });
    const auto b = client->send(kServer, get("/b"), {}, [&](CallResult r) { broken = std::move(r); });
    const auto c =
        client->send(kServer, get("/c"), short_timeout, [&](CallResult r) { late = std::move(r); });
    world.run_until(100);
    for (const auto& e : exchanges)
        if (e->request().target == "/b") e->abort_connection();
    world.run_until(500);
    EXPECT_EQ(refused.outcome, CallOutcome::not_connected);
    EXPECT_EQ(refused.close_status, io::CloseStatus::refused);
    EXPECT_EQ(broken.outcome, CallOutcome::connection_lost);
    EXPECT_EQ(late.outcome, CallOutcome::timed_out);
    EXPECT_NEAR(late.elapsed, 300, 1);
}
TEST_F(HttpTest, DestroyedCallClosesItsConnection) {
    serve([this](const ExchangePtr& e) { exchanges.push_back(e); });
    client = std::make_unique<Client>(client_loop, ClientLimits{});
    bool called = false;
    auto call = client->send(kServer, get("/"), {}, [&](CallResult) { called = true; });
    world.run_until(100);
    call.reset();
    world.run_until(200);
    EXPECT_FALSE(called);
    EXPECT_TRUE(exchanges.at(0)->is_disconnected());
    EXPECT_EQ(client->open_connections(kServer), 0u);
}
TEST_F(HttpTest, StreamedBodyArrivesInPieces) {
    serve([this](const ExchangePtr& e) {
        e->start(200, {});
        exchanges.push_back(e);
    });
    client = std::make_unique<Client>(client_loop, ClientLimits{});
    std::string body;
    int heads = 0;
    CallOptions options;
    options.timeout = 0;
    options.on_head = [&](const Response& r) { heads += r.status == 200; };
    options.on_body = [&](std::string_view piece) { body += piece; };
    bool done = false;
    const auto call = client->send(kServer, get("/"), options, [&](CallResult) { done = true; });
    world.run_until(100);
    exchanges.at(0)->write("one\n");
    world.run_until(200);
    EXPECT_EQ(heads, 1);
    EXPECT_EQ(body, "one\n");
    EXPECT_FALSE(done);
    exchanges.at(0)->write("two\n");
    exchanges.at(0)->finish();
    world.run_until(300);
    EXPECT_EQ(body, "one\ntwo\n");
    EXPECT_TRUE(done);
}
TEST_F(HttpTest, ThousandsOfCallsWithRandomResetsAllComplete) {
    world.network.reset_probability = 0.002;
    serve_echo();
    client = std::make_unique<Client>(client_loop, ClientLimits{});
    std::map<CallOutcome, int> ends;
    std::vector<std::unique_ptr<Call>> calls;
    int sent = 0;
    std::function<void()> send_next = [&] {
        if (++sent > 3000) return;
        Request r = get("/" + std::to_string(sent));
        r.method = "POST", r.body = std::string(static_cast<std::size_t>(sent % 300), 'b');
        const std::string expected = r.target + ":" + r.body;
        calls.push_back(client->send(kServer, r, {}, [&ends, &send_next, expected](CallResult call_result) {
            if (call_result.outcome == CallOutcome::response) {
                EXPECT_EQ(call_result.response.body, expected);
            }
            ends[call_result.outcome] += 1;
            send_next();
        }));
    };
    for (int k = 0; k < 10; ++k) send_next();
    world.run_until(1e6);
    int total = 0;
    for (const auto& [end, n] : ends) total += n;
    EXPECT_EQ(total, 3000);
    EXPECT_GT(ends[CallOutcome::response], 1000);
    EXPECT_GT(ends[CallOutcome::connection_lost], 10);
}

TEST(Sockets, ServerAndClientOnLoopback) {
    io::EvLoop loop(1);
    Server server(loop, {"127.0.0.1", 0}, {}, [](const ExchangePtr& e) {
        e->respond({200, {}, std::string(100000, 'x') + e->request().target});
    });
    Client client(loop, {});
    int correct = 0, completed = 0;
    std::vector<std::unique_ptr<Call>> calls;
    for (int k = 0; k < 200; ++k) {
        Request r;
        r.target = "/" + std::to_string(k);
        calls.push_back(client.send(server.address(), r, {}, [&, target = r.target](CallResult call_result) {
            correct += call_result.outcome == CallOutcome::response &&
                       call_result.response.body == std::string(100000, 'x') + target;
            if (++completed == 200) loop.stop();
        }));
    }
    loop.run();
    EXPECT_EQ(correct, 200);
    EXPECT_LE(server.counts().connections, 64u);
}

}  // namespace
