// Server and client against each other, on simulated time and on sockets.
#include <gtest/gtest.h>

#include "http/client.hpp"
#include "http/server.hpp"
#include "io/ev/ev_loop.hpp"
#include "io/virtual/world.hpp"

using namespace ivyfield;
using namespace ivyfield::http;

namespace {

// Speaks bytes and keeps what comes back.
struct Raw : io::StreamHandler {
    std::unique_ptr<io::Stream> stream;
    std::string got;
    bool ended = false, closed = false;
    Raw(io::Loop& loop, const io::Address& to) { stream = loop.dial(to, 1000, this); }
    void on_data(std::string_view bytes) override { got += bytes; }
    void on_end() override { ended = true; }
    void on_closed(io::CloseReason) override { closed = true; }
};

struct Web : testing::Test {
    io::World world{5};
    io::VirtualLoop& there = world.start("server");
    io::VirtualLoop& here = world.start("client");
    std::vector<ExchangePtr> held;
    ServerLimits limits;
    std::unique_ptr<Server> server;
    std::unique_ptr<Client> client;
    Web() { world.network.random_piece_sizes = true, world.network.max_piece_size = 50; }
    void serve(Server::Handler handler) {
        server = std::make_unique<Server>(there, io::Address{"127.0.0.1", 80}, limits, std::move(handler));
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

TEST_F(Web, PipelinedRequestsAreAnsweredInTheirOrder) {
    serve([this](const ExchangePtr& e) { held.push_back(e); });
    Raw raw(here, kServer);
    for (const char* path : {"/1", "/2", "/3"})
        raw.stream->write(std::string("GET ") + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    world.run_until(100);
    ASSERT_EQ(held.size(), 3u);
    held[2]->respond({200, {}, "third"});
    held[0]->respond({200, {}, "first"});
    world.run_until(200);
    EXPECT_NE(raw.got.find("first"), std::string::npos);
    EXPECT_EQ(raw.got.find("third"), std::string::npos) << "overtook the second";
    held[1]->respond({200, {}, "second"});
    world.run_until(300);
    EXPECT_LT(raw.got.find("second"), raw.got.find("third"));
}
TEST_F(Web, ManyPipelinedWaitUnreadAndAllAreAnswered) {
    limits.max_pipelined_requests = 3;
    serve([this](const ExchangePtr& e) { held.push_back(e); });
    Raw raw(here, kServer);
    for (int k = 0; k < 20; ++k) raw.stream->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    world.run_until(100);
    EXPECT_EQ(held.size(), 3u);
    std::size_t answered = 0;
    while (answered < held.size()) {
        held[answered++]->respond({204, {}, ""});
        world.run_until(world.now() + 50);
    }
    EXPECT_EQ(answered, 20u);
}
TEST_F(Web, AFirstLineThatIsWrongGetsA4xxAndTheEnd) {
    serve_echo();
    Raw raw(here, kServer);
    raw.stream->write("GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    world.run_until(500);
    EXPECT_EQ(raw.got.substr(0, 12), "HTTP/1.1 400");
    EXPECT_TRUE(raw.ended);
    EXPECT_EQ(server->counts().rejected, 1u);
    world.run_until(5000);
    EXPECT_EQ(server->open_connections(), 0u);
}
TEST_F(Web, SlowSendersAreAnswered408) {
    serve_echo();
    Raw raw(here, kServer);
    raw.stream->write("GET / HTTP/1.1\r\nHost: ");
    world.run_until(9000);
    EXPECT_TRUE(raw.got.empty());
    world.run_until(12000);
    EXPECT_EQ(raw.got.substr(0, 12), "HTTP/1.1 408");
}
TEST_F(Web, IdleConnectionsEndQuietly) {
    serve_echo();
    Raw raw(here, kServer);
    world.run_until(61000);
    EXPECT_TRUE(raw.ended);
    EXPECT_TRUE(raw.got.empty());
}
TEST_F(Web, APeerThatTakesNothingIsCutOff) {
    serve([](const ExchangePtr& e) { e->respond({200, {}, std::string(4 << 20, 'x')}); });
    Raw raw(here, kServer);
    raw.stream->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    raw.stream->pause();
    world.run_until(40000);
    EXPECT_EQ(server->open_connections(), 0u);
    EXPECT_EQ(server->counts().timed_out, 1u);
}
TEST_F(Web, AHalfClosedPeerStillGetsItsAnswer) {
    serve([this](const ExchangePtr& e) { held.push_back(e); });
    Raw raw(here, kServer);
    raw.stream->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    raw.stream->end();
    world.run_until(100);
    ASSERT_EQ(held.size(), 1u);
    EXPECT_FALSE(held[0]->is_disconnected());
    held[0]->respond({200, {}, "still"});
    world.run_until(200);
    EXPECT_NE(raw.got.find("still"), std::string::npos);
    EXPECT_TRUE(raw.ended);
}
TEST_F(Web, APeerThatLeavesIsTold) {
    bool gone = false;
    serve([&](const ExchangePtr& e) {
        held.push_back(e);
        e->on_disconnect([&] { gone = true; });
    });
    {
        Raw raw(here, kServer);
        raw.stream->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        world.run_until(100);
    }
    world.run_until(200);
    EXPECT_TRUE(gone);
    EXPECT_TRUE(held[0]->is_disconnected());
    held[0]->respond({200, {}, "to nobody"});  // no harm
}
TEST_F(Web, AnExchangeThatIsDroppedIsAnswered500) {
    serve([](const ExchangePtr&) {});
    client = std::make_unique<Client>(here, ClientLimits{});
    CallResult result;
    const auto call = client->send(kServer, get("/"), {}, [&](CallResult r) { result = std::move(r); });
    world.run_until(100);
    EXPECT_EQ(result.response.status, 500);
}
TEST_F(Web, ASecondAnswerIsAnError) {
    serve([](const ExchangePtr& e) {
        e->respond({200, {}, "x"});
        EXPECT_THROW(e->respond({200, {}, "y"}), std::logic_error);
    });
    client = std::make_unique<Client>(here, ClientLimits{});
    const auto call = client->send(kServer, get("/"), {}, [](CallResult) {});
    world.run_until(100);
}
TEST_F(Web, ChunkedBothWays) {
    serve([](const ExchangePtr& e) {
        e->start(200, {});
        e->write(e->request().body);
        e->write("-and-");
        e->write(e->request().target);
        e->finish();
    });
    Raw raw(here, kServer);
    raw.stream->write(
        "POST /t HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    client = std::make_unique<Client>(here, ClientLimits{});
    CallResult result;
    Request r = get("/u");
    r.method = "POST", r.body = "xyz";
    const auto call = client->send(kServer, r, {}, [&](CallResult got) { result = std::move(got); });
    world.run_until(200);
    EXPECT_NE(raw.got.find("3\r\nabc\r\n5\r\n-and-\r\n2\r\n/t\r\n0\r\n\r\n"), std::string::npos) << raw.got;
    EXPECT_EQ(result.response.body, "xyz-and-/u");
}
TEST_F(Web, ContinueIsSentToThoseWhoWait) {
    serve_echo();
    Raw raw(here, kServer);
    raw.stream->write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    world.run_until(100);
    EXPECT_EQ(raw.got, "HTTP/1.1 100 Continue\r\n\r\n");
    raw.stream->write("ok");
    world.run_until(200);
    EXPECT_NE(raw.got.find("/:ok"), std::string::npos);
}

TEST_F(Web, CallsShareConnectionsUpToTheCap) {
    serve([this](const ExchangePtr& e) { held.push_back(e); });
    ClientLimits few;
    few.max_connections_per_address = 2;
    client = std::make_unique<Client>(here, few);
    std::vector<std::unique_ptr<Call>> calls;
    std::vector<CallOutcome> ends;
    CallOptions patient;
    patient.connect_timeout = 5000;
    for (int k = 0; k < 5; ++k)
        calls.push_back(
            client->send(kServer, get("/"), patient, [&](CallResult r) { ends.push_back(r.outcome); }));
    world.run_until(100);
    EXPECT_EQ(held.size(), 2u);
    EXPECT_EQ(client->open_connections(kServer), 2u);
    for (std::size_t k = 0; k < 5; ++k) {
        ASSERT_LT(k, held.size());
        held[k]->respond({200, {}, ""});
        world.run_until(world.now() + 100);
    }
    EXPECT_EQ(ends, std::vector<CallOutcome>(5, CallOutcome::response));
    EXPECT_EQ(server->counts().connections, 2u);
}
TEST_F(Web, ACallThatGetsNoConnectionInTimeWasNeverSent) {
    serve([this](const ExchangePtr& e) { held.push_back(e); });
    ClientLimits one;
    one.max_connections_per_address = 1;
    client = std::make_unique<Client>(here, one);
    CallResult second;
    const auto a = client->send(kServer, get("/a"), {}, [](CallResult) {});
    const auto b = client->send(kServer, get("/b"), {}, [&](CallResult r) { second = std::move(r); });
    EXPECT_FALSE(b->sent());
    world.run_until(1500);
    EXPECT_EQ(second.outcome, CallOutcome::not_connected);
    EXPECT_EQ(held.size(), 1u);
}
TEST_F(Web, WhatTheCallerCanKnowOfALostCall) {
    serve([this](const ExchangePtr& e) { held.push_back(e); });
    client = std::make_unique<Client>(here, ClientLimits{});
    CallResult refused, broken, late;
    CallOptions quick;
    quick.timeout = 300;
    const auto a =
        client->send({"127.0.0.1", 81}, get("/"), {}, [&](CallResult r) { refused = std::move(r); });
    const auto b = client->send(kServer, get("/b"), {}, [&](CallResult r) { broken = std::move(r); });
    const auto c = client->send(kServer, get("/c"), quick, [&](CallResult r) { late = std::move(r); });
    world.run_until(100);
    for (const auto& e : held)
        if (e->request().target == "/b") e->abort_connection();
    world.run_until(500);
    EXPECT_EQ(refused.outcome, CallOutcome::not_connected);
    EXPECT_EQ(refused.close_reason, io::CloseReason::refused);
    EXPECT_EQ(broken.outcome, CallOutcome::connection_lost);
    EXPECT_EQ(late.outcome, CallOutcome::timed_out);
    EXPECT_NEAR(late.elapsed, 300, 1);
}
TEST_F(Web, ADestroyedCallLeavesNothing) {
    serve([this](const ExchangePtr& e) { held.push_back(e); });
    client = std::make_unique<Client>(here, ClientLimits{});
    bool called = false;
    auto call = client->send(kServer, get("/"), {}, [&](CallResult) { called = true; });
    world.run_until(100);
    call.reset();
    world.run_until(200);
    EXPECT_FALSE(called);
    EXPECT_TRUE(held.at(0)->is_disconnected());
    EXPECT_EQ(client->open_connections(kServer), 0u);
}
TEST_F(Web, StreamedBodiesComeInPieces) {
    serve([this](const ExchangePtr& e) {
        e->start(200, {});
        held.push_back(e);
    });
    client = std::make_unique<Client>(here, ClientLimits{});
    std::string body;
    int heads = 0;
    CallOptions options;
    options.timeout = 0;
    options.on_head = [&](const Response& r) { heads += r.status == 200; };
    options.on_body = [&](std::string_view piece) { body += piece; };
    bool done = false;
    const auto call = client->send(kServer, get("/"), options, [&](CallResult) { done = true; });
    world.run_until(100);
    held.at(0)->write("one\n");
    world.run_until(200);
    EXPECT_EQ(heads, 1);
    EXPECT_EQ(body, "one\n");
    EXPECT_FALSE(done);
    held.at(0)->write("two\n");
    held.at(0)->finish();
    world.run_until(300);
    EXPECT_EQ(body, "one\ntwo\n");
    EXPECT_TRUE(done);
}
TEST_F(Web, ThousandsOfCallsInBadWeatherAllEnd) {
    world.network.reset_probability = 0.002;
    serve_echo();
    client = std::make_unique<Client>(here, ClientLimits{});
    std::map<CallOutcome, int> ends;
    std::vector<std::unique_ptr<Call>> calls;
    int sent = 0;
    std::function<void()> more = [&] {
        if (++sent > 3000) return;
        Request r = get("/" + std::to_string(sent));
        r.method = "POST", r.body = std::string(static_cast<std::size_t>(sent % 300), 'b');
        const std::string wanted = r.target + ":" + r.body;
        calls.push_back(client->send(kServer, r, {}, [&ends, &more, wanted](CallResult got) {
            if (got.outcome == CallOutcome::response) {
                EXPECT_EQ(got.response.body, wanted);
            }
            ends[got.outcome] += 1;
            more();
        }));
    };
    for (int k = 0; k < 10; ++k) more();
    world.run_until(1e6);
    int all = 0;
    for (const auto& [end, n] : ends) all += n;
    EXPECT_EQ(all, 3000);
    EXPECT_GT(ends[CallOutcome::response], 1000);
    EXPECT_GT(ends[CallOutcome::connection_lost], 10);
}

TEST(Sockets, ServerAndClientOnLoopback) {
    io::EvLoop loop(1);
    Server server(loop, {"127.0.0.1", 0}, {}, [](const ExchangePtr& e) {
        e->respond({200, {}, std::string(100000, 'x') + e->request().target});
    });
    Client client(loop, {});
    int good = 0, all = 0;
    std::vector<std::unique_ptr<Call>> calls;
    for (int k = 0; k < 200; ++k) {
        Request r;
        r.target = "/" + std::to_string(k);
        calls.push_back(client.send(server.address(), r, {}, [&, target = r.target](CallResult got) {
            good += got.outcome == CallOutcome::response &&
                    got.response.body == std::string(100000, 'x') + target;
            if (++all == 200) loop.stop();
        }));
    }
    loop.run();
    EXPECT_EQ(good, 200);
    EXPECT_LE(server.counts().connections, 64u);
}

}  // namespace
