// Compares the capacity model with results computed by hand.
#include "fleet/fleet.hpp"

#include <gtest/gtest.h>

using namespace ivyfield::fleet;

namespace {

FleetSpec spec() {
    FleetSpec s;
    s.rack_kb = {1500};
    s.full_utilization = 1;
    s.join_rate_factor = 0.15;
    s.warmup_time = 10000, s.initial_warmth = 0.4, s.overload_multiple = 4, s.overload_window = 1000;
    return s;
}
struct FleetTest : testing::Test {
    Fleet fleet{spec()};
    int a = fleet.add_node({0, 1000, 5}), b = fleet.add_node({0, 1000, 5});
    void SetUp() override { fleet.start_node(a, 0, true), fleet.start_node(b, 0, true); }
    std::uint64_t play(int n, double kb, const std::string& share = "") {
        EXPECT_EQ(fleet.begin_setup(n, 0), SetupResult::accepted);
        return fleet.start_stream(n, {kb, share, 0});
    }
};

TEST_F(FleetTest, AnOverloadedLinkGivesAllSessionsTheSameShare) {
    play(a, 800);
    const auto more = play(a, 450);
    EXPECT_DOUBLE_EQ(fleet.delivered_share(a, 0), 0.8);
    EXPECT_DOUBLE_EQ(fleet.delivered_share(b, 0), 1);
    EXPECT_EQ(fleet.begin_setup(a, 0), SetupResult::full);
    fleet.set_rung(a, more, 1, 200);
    EXPECT_DOUBLE_EQ(fleet.delivered_share(a, 0), 1);
    EXPECT_EQ(fleet.begin_setup(a, 0), SetupResult::full) << "the link is fully requested";
}
TEST_F(FleetTest, TheNodesOfARackShareItsUplink) {
    play(a, 1000);
    play(b, 1000);
    EXPECT_DOUBLE_EQ(fleet.delivered_share(a, 0), 0.75);
    EXPECT_DOUBLE_EQ(fleet.delivered_share(b, 0), 0.75);
    fleet.set_uplink_background(0, 1000);
    EXPECT_DOUBLE_EQ(fleet.delivered_share(b, 0), 0.5);
}
TEST_F(FleetTest, ViewersOfOneLiveTitleShareAStream) {
    play(a, 400, "t");
    play(a, 400, "t");
    play(a, 400, "t");
    EXPECT_DOUBLE_EQ(fleet.requested_kb(a), 520);
    EXPECT_EQ(fleet.stream_count(a), 1);
    EXPECT_EQ(fleet.session_count(a), 3u);
}
TEST_F(FleetTest, APendingSetupReservesAStreamSlot) {
    for (int k = 0; k < 5; ++k) EXPECT_EQ(fleet.begin_setup(a, 0), SetupResult::accepted);
    EXPECT_EQ(fleet.begin_setup(a, 0), SetupResult::full);
    fleet.cancel_setup(a);
    EXPECT_EQ(fleet.begin_setup(a, 0), SetupResult::accepted);
}
TEST_F(FleetTest, AColdNodeCrashesWhenOverloaded) {
    fleet.start_node(a, 100, false);
    EXPECT_DOUBLE_EQ(fleet.warmth(a, 100), 0.4);
    EXPECT_DOUBLE_EQ(fleet.warmth(a, 5100), 0.7);
    // 5 streams in 10 s at warmth 0.4, four times that in one second: 0.8; two more are tolerated.
    EXPECT_EQ(fleet.begin_setup(a, 100), SetupResult::accepted);
    EXPECT_EQ(fleet.begin_setup(a, 200), SetupResult::accepted);
    EXPECT_EQ(fleet.begin_setup(a, 300), SetupResult::overloaded);
    EXPECT_TRUE(fleet.is_overloaded(a));
    EXPECT_FALSE(fleet.is_up(a));
    fleet.start_node(b, 100, false);
    for (int k = 0; k < 5; ++k) EXPECT_EQ(fleet.begin_setup(b, 100 + 1100 * k), SetupResult::accepted);
}
TEST_F(FleetTest, SlowLinkAndBackgroundTraffic) {
    play(a, 500);
    fleet.set_link_factor(a, 0.25);
    EXPECT_DOUBLE_EQ(fleet.delivered_share(a, 0), 0.5);
    fleet.set_link_factor(a, 1);
    fleet.set_link_background(a, 750);
    EXPECT_DOUBLE_EQ(fleet.delivered_share(a, 0), 0.8);
}

}  // namespace
