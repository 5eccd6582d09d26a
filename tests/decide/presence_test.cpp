#include "decide/presence.hpp"

#include <gtest/gtest.h>

using ivyfield::decide::Presence;

namespace {

TEST(Presence, ARefusalIsProofAtOnce) {
    Presence p;
    p.heard(1000);
    EXPECT_TRUE(p.dial_failed(1000, 1001, true));
}

TEST(Presence, ThreeDialsOneAfterTheOtherAreAMachineThatIsGone) {
    Presence p;
    p.heard(1000);
    EXPECT_FALSE(p.dial_failed(3000, 3250, false));
    EXPECT_FALSE(p.dial_failed(3500, 3750, false));
    EXPECT_TRUE(p.dial_failed(4000, 4250, false));
}

TEST(Presence, ACrowdOfDialsInOneBadMomentIsOneFailure) {
    Presence p;
    p.heard(1000);
    for (int k = 0; k < 50; ++k) EXPECT_FALSE(p.dial_failed(3000 + k, 3250 + k, false));
    EXPECT_FALSE(p.dial_failed(3500, 3750, false));
    EXPECT_TRUE(p.dial_failed(4000, 4250, false));
}

TEST(Presence, AnyWordBeginsAnew) {
    Presence p;
    EXPECT_FALSE(p.dial_failed(3000, 3250, false));
    EXPECT_FALSE(p.dial_failed(3500, 3750, false));
    p.heard(3800);
    EXPECT_FALSE(p.dial_failed(3700, 3950, false)) << "began before the word";
    EXPECT_FALSE(p.dial_failed(4000, 4250, false));
    EXPECT_FALSE(p.dial_failed(4500, 4750, false));
    EXPECT_TRUE(p.dial_failed(5000, 5250, false));
}

TEST(Presence, SilenceIsLookedAtAndTheWholeTakesLessThanEightSeconds) {
    Presence p;
    p.heard(1000);
    EXPECT_EQ(p.look_at(1000), 3000);
    double now = 1000;
    bool gone = false;
    while (!gone) {
        const double began = now = p.look_at(now);
        now += 250;
        gone = p.dial_failed(began, now, false);
    }
    EXPECT_LT(now, 1000 + 7000);
}

}  // namespace
