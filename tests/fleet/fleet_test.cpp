// The physics against answers worked out by hand.
#include "fleet/fleet.hpp"

#include <gtest/gtest.h>

using namespace ivyfield::fleet;

namespace {

FleetSpec spec() {
    FleetSpec s;
    s.rack_kb = {1500};
    s.refuses_from = 1;
    s.join_part = 0.15;
    s.cold_time = 10000, s.cold_from = 0.4, s.fall_multiple = 4, s.fall_window = 1000;
    return s;
}
struct FleetTest : testing::Test {
    Fleet fleet{spec()};
    int a = fleet.add({0, 1000, 5}), b = fleet.add({0, 1000, 5});
    void SetUp() override { fleet.start(a, 0, true), fleet.start(b, 0, true); }
    std::uint64_t play(int n, double kb, const std::string& share = "") {
        EXPECT_EQ(fleet.set_up(n, 0), SetUpVerdict::taken);
        return fleet.begin(n, {kb, share, 0});
    }
};

TEST_F(FleetTest, AShortLinkGivesAllTheSameShare) {
    play(a, 800);
    const auto more = play(a, 450);
    EXPECT_DOUBLE_EQ(fleet.delivered(a, 0), 0.8);
    EXPECT_DOUBLE_EQ(fleet.delivered(b, 0), 1);
    EXPECT_EQ(fleet.set_up(a, 0), SetUpVerdict::full);
    fleet.set_rung(a, more, 1, 200);
    EXPECT_DOUBLE_EQ(fleet.delivered(a, 0), 1);
    EXPECT_EQ(fleet.set_up(a, 0), SetUpVerdict::full) << "asked whole";
}
TEST_F(FleetTest, AnUplinkIsSharedByItsRack) {
    play(a, 1000);
    play(b, 1000);
    EXPECT_DOUBLE_EQ(fleet.delivered(a, 0), 0.75);
    EXPECT_DOUBLE_EQ(fleet.delivered(b, 0), 0.75);
    fleet.uplink_neighbour(0, 1000);
    EXPECT_DOUBLE_EQ(fleet.delivered(b, 0), 0.5);
}
TEST_F(FleetTest, ViewersOfOneLiveTitleShareAStream) {
    play(a, 400, "t");
    play(a, 400, "t");
    play(a, 400, "t");
    EXPECT_DOUBLE_EQ(fleet.asked(a), 520);
    EXPECT_EQ(fleet.streams(a), 1);
    EXPECT_EQ(fleet.sessions(a), 3u);
}
TEST_F(FleetTest, PlacesAreHeldFromTheSetUpOn) {
    for (int k = 0; k < 5; ++k) EXPECT_EQ(fleet.set_up(a, 0), SetUpVerdict::taken);
    EXPECT_EQ(fleet.set_up(a, 0), SetUpVerdict::full);
    fleet.drop(a);
    EXPECT_EQ(fleet.set_up(a, 0), SetUpVerdict::taken);
}
TEST_F(FleetTest, AColdNodeFallsWhenItIsPushed) {
    fleet.start(a, 100, false);
    EXPECT_DOUBLE_EQ(fleet.warmth(a, 100), 0.4);
    EXPECT_DOUBLE_EQ(fleet.warmth(a, 5100), 0.7);
    // 5 places in 10 s, warmth 0.4, four times that in a second: 0.8; two more are let pass.
    EXPECT_EQ(fleet.set_up(a, 100), SetUpVerdict::taken);
    EXPECT_EQ(fleet.set_up(a, 200), SetUpVerdict::taken);
    EXPECT_EQ(fleet.set_up(a, 300), SetUpVerdict::fell);
    EXPECT_TRUE(fleet.fallen(a));
    EXPECT_FALSE(fleet.up(a));
    fleet.start(b, 100, false);
    for (int k = 0; k < 5; ++k) EXPECT_EQ(fleet.set_up(b, 100 + 1100 * k), SetUpVerdict::taken);
}
TEST_F(FleetTest, ASlowLinkAndANeighbour) {
    play(a, 500);
    fleet.link_part(a, 0.25);
    EXPECT_DOUBLE_EQ(fleet.delivered(a, 0), 0.5);
    fleet.link_part(a, 1);
    fleet.link_neighbour(a, 750);
    EXPECT_DOUBLE_EQ(fleet.delivered(a, 0), 0.8);
}

}  // namespace
