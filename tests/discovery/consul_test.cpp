// ConsulClient against a server that answers as Consul's documentation says, and with faults.
#include "discovery/consul.hpp"

#include <gtest/gtest.h>

#include "http/server.hpp"
#include "io/virtual/world.hpp"

using namespace ivyfield;
using namespace ivyfield::discovery;

namespace {

std::string instance_json(const std::string& id, const std::string& more = "",
                          const std::string& checks = "[]") {
    return "{\"Node\":{\"Address\":\"127.0.0.9\"},\"Service\":{\"ID\":\"" + id +
           "\",\"Address\":\"127.0.0.1\",\"Port\":90,\"Weights\":{\"Passing\":2},\"Meta\":{\"kind\":"
           "\"large\"" +
           more + "}},\"Checks\":" + checks + "}";
}

TEST(Health, ParsesInstancesAndLeavesOutInvalidOnes) {
    const std::string maintenance = R"([{"CheckID":"_service_maintenance:c","Status":"critical"}])";
    const HealthResponse p = parse_health_response(
        "[" + instance_json("a", ",\"position\":\"7\",\"started_ms\":\"1000000\"") + "," +
            instance_json("b", ",\"state\":\"draining\"") + "," + instance_json("c", "", maintenance) + "," +
            instance_json("d", "", R"([{"CheckID":"serfHealth","Status":"critical"}])") + "," +
            instance_json("e", ",\"kind\":\"odd\"") + "," + instance_json("a") + "," +
            instance_json("f", ",\"position\":\"x\"") + ",{},5]",
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
    EXPECT_EQ(id("[" + instance_json("a") + "]"), id("[" + instance_json("a") + "]"));
    EXPECT_NE(id("[" + instance_json("a") + "]"), id("[" + instance_json("b") + "]"));
}

struct ConsulTest : testing::Test {
    io::World world{3};
    io::VirtualLoop& consul_loop = world.start("consul");
    io::VirtualLoop& director_loop = world.start("director");
    std::vector<http::ExchangePtr> pending_exchanges;
    http::Server server{consul_loop, {"127.0.0.1", 8500}, {}, [this](const http::ExchangePtr& e) {
                            pending_exchanges.push_back(e);
                        }};
    std::vector<std::size_t> list_sizes;
    std::unique_ptr<ConsulClient> consul;
    void SetUp() override {
        ConsulSettings s;
        s.address = {"127.0.0.1", 8500};
        s.service = "media";
        s.kinds = {"large"};
        consul = std::make_unique<ConsulClient>(
            director_loop, s, [this](const auto& all) { list_sizes.push_back(all.size()); });
        run_for(100);
    }
    void run_for(double ms) { world.run_until(world.now() + ms); }
    void respond_with(const std::string& body, const std::string& index,
                      const std::string& last_contact = "0") {
        ASSERT_FALSE(pending_exchanges.empty());
        http::Response r;
        r.headers.add("X-Consul-Index", index);
        r.headers.add("X-Consul-LastContact", last_contact);
        r.body = body;
        const auto e = pending_exchanges.back();
        pending_exchanges.clear();
        e->respond(r);
        run_for(200);
    }
    std::string requested_target() {
        return pending_exchanges.empty() ? "" : pending_exchanges.back()->request().target;
    }
};

TEST_F(ConsulTest, BlocksOnTheIndexAndReportsOnlyChanges) {
    EXPECT_EQ(requested_target(), "/v1/health/service/media?wait=30000ms&stale");
    respond_with("[" + instance_json("a") + "]", "10");
    EXPECT_EQ(requested_target(), "/v1/health/service/media?wait=30000ms&index=10&stale");
    respond_with("[" + instance_json("a") + "]", "10");  // the blocking query timed out
    respond_with("[" + instance_json("a") + "," + instance_json("b") + "]", "12");
    EXPECT_EQ(list_sizes, (std::vector<std::size_t>{1, 2}));
}
TEST_F(ConsulTest, ADecreasingIndexStartsFromZero) {
    respond_with("[" + instance_json("a") + "]", "100");
    respond_with("[]", "7");
    EXPECT_EQ(consul->counts().resets, 1u);
    EXPECT_EQ(requested_target(), "/v1/health/service/media?wait=30000ms&stale");
    EXPECT_EQ(list_sizes, (std::vector<std::size_t>{1, 0}));
}
TEST_F(ConsulTest, StaleMalformedAndFailedResponsesLeaveTheList) {
    respond_with("[" + instance_json("a") + "]", "5");
    respond_with("[]", "6", "90000");
    run_for(1000);
    respond_with("not json", "7");
    run_for(3000);
    ASSERT_FALSE(pending_exchanges.empty());
    pending_exchanges.back()->respond(http::text_response(500, "No cluster leader"));
    run_for(10000);
    EXPECT_EQ(list_sizes, (std::vector<std::size_t>{1}));
    EXPECT_EQ(consul->counts().failures, 3u);
    EXPECT_EQ(consul->counts().too_old, 1u);
    EXPECT_FALSE(consul->last_error().empty());
    respond_with("[]", "8");
    EXPECT_EQ(list_sizes, (std::vector<std::size_t>{1, 0}));
}

}  // namespace
