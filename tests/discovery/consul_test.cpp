// ConsulClient against a server that answers as Consul's documentation says, and with faults.
#include "discovery/consul.hpp"

#include <gtest/gtest.h>

#include "http/server.hpp"
#include "io/virtual/world.hpp"

using namespace ivyfield;
using namespace ivyfield::discovery;

namespace {

std::string instance(const std::string& id, const std::string& more = "", const std::string& checks = "[]") {
    return "{\"Node\":{\"Address\":\"127.0.0.9\"},\"Service\":{\"ID\":\"" + id +
           "\",\"Address\":\"127.0.0.1\",\"Port\":90,\"Weights\":{\"Passing\":2},\"Meta\":{\"kind\":"
           "\"large\"" +
           more + "}},\"Checks\":" + checks + "}";
}

TEST(Health, ParsesInstancesAndLeavesOutInvalidOnes) {
    const std::string maintenance = R"([{"CheckID":"_service_maintenance:c","Status":"critical"}])";
    const HealthResponse p = parse_health_response(
        "[" + instance("a", ",\"position\":\"7\",\"started_ms\":\"1000000\"") + "," +
            instance("b", ",\"state\":\"draining\"") + "," + instance("c", "", maintenance) + "," +
            instance("d", "", R"([{"CheckID":"serfHealth","Status":"critical"}])") + "," +
            instance("e", ",\"kind\":\"odd\"") + "," + instance("a") + "," +
            instance("f", ",\"position\":\"x\"") + ",{},5]",
        {"small", "large"}, 500, 1000400);
    ASSERT_EQ(p.instances.size(), 4u);
    EXPECT_EQ(p.instances[0].entry.kind, 1);
    EXPECT_EQ(p.instances[0].entry.position, 7);
    EXPECT_EQ(p.instances[0].entry.weight, 2);
    EXPECT_EQ(p.instances[0].entry.last_start, 100);
    EXPECT_EQ(p.instances[1].entry.state, ServerState::draining);
    EXPECT_EQ(p.instances[2].entry.state, ServerState::draining);
    EXPECT_EQ(p.instances[3].entry.state, ServerState::gone);
    EXPECT_EQ(p.errors.size(), 5u);
    EXPECT_THROW(parse_health_response("{}", {}, 0, 0), std::invalid_argument);
    EXPECT_THROW(parse_health_response("[", {}, 0, 0), std::invalid_argument);
}
TEST(Health, ServerIdsAreStableAndDistinct) {
    const auto id = [](const std::string& body) {
        return parse_health_response(body, {"large"}, 0, 0).instances.at(0).entry.id;
    };
    EXPECT_EQ(id("[" + instance("a") + "]"), id("[" + instance("a") + "]"));
    EXPECT_NE(id("[" + instance("a") + "]"), id("[" + instance("b") + "]"));
}

struct ConsulTest : testing::Test {
    io::World world{3};
    io::VirtualLoop& there = world.start("consul");
    io::VirtualLoop& here = world.start("director");
    std::vector<http::ExchangePtr> held;
    http::Server server{
        there, {"127.0.0.1", 8500}, {}, [this](const http::ExchangePtr& e) { held.push_back(e); }};
    std::vector<std::size_t> lists;
    std::unique_ptr<ConsulClient> consul;
    void SetUp() override {
        ConsulSettings s;
        s.address = {"127.0.0.1", 8500};
        s.service = "media";
        s.kinds = {"large"};
        consul =
            std::make_unique<ConsulClient>(here, s, [this](const auto& all) { lists.push_back(all.size()); });
        run(100);
    }
    void run(double ms) { world.run_until(world.now() + ms); }
    void answer(const std::string& body, const std::string& index, const std::string& contact = "0") {
        ASSERT_FALSE(held.empty());
        http::Response r;
        r.headers.add("X-Consul-Index", index);
        r.headers.add("X-Consul-LastContact", contact);
        r.body = body;
        const auto e = held.back();
        held.clear();
        e->respond(r);
        run(200);
    }
    std::string target() { return held.empty() ? "" : held.back()->request().target; }
};

TEST_F(ConsulTest, BlocksOnTheIndexAndReportsOnlyChanges) {
    EXPECT_EQ(target(), "/v1/health/service/media?wait=30000ms&stale");
    answer("[" + instance("a") + "]", "10");
    EXPECT_EQ(target(), "/v1/health/service/media?wait=30000ms&index=10&stale");
    answer("[" + instance("a") + "]", "10");  // the blocking query timed out
    answer("[" + instance("a") + "," + instance("b") + "]", "12");
    EXPECT_EQ(lists, (std::vector<std::size_t>{1, 2}));
}
TEST_F(ConsulTest, ADecreasingIndexStartsFromZero) {
    answer("[" + instance("a") + "]", "100");
    answer("[]", "7");
    EXPECT_EQ(consul->counts().resets, 1u);
    EXPECT_EQ(target(), "/v1/health/service/media?wait=30000ms&stale");
    EXPECT_EQ(lists, (std::vector<std::size_t>{1, 0}));
}
TEST_F(ConsulTest, StaleMalformedAndFailedResponsesLeaveTheList) {
    answer("[" + instance("a") + "]", "5");
    answer("[]", "6", "90000");
    run(1000);
    answer("not json", "7");
    run(3000);
    ASSERT_FALSE(held.empty());
    held.back()->respond(http::text_response(500, "No cluster leader"));
    run(10000);
    EXPECT_EQ(lists, (std::vector<std::size_t>{1}));
    EXPECT_EQ(consul->counts().failures, 3u);
    EXPECT_EQ(consul->counts().too_old, 1u);
    EXPECT_FALSE(consul->last_error().empty());
    answer("[]", "8");
    EXPECT_EQ(lists, (std::vector<std::size_t>{1, 0}));
}

}  // namespace
