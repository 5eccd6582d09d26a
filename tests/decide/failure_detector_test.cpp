#include "decide/failure_detector.hpp"

#include <gtest/gtest.h>

using ivyfield::decide::FailureDetector;

namespace {

TEST(Presence, ARefusalIsProofAtOnce) {
    FailureDetector p;
    p.record_activity(1000);
    EXPECT_TRUE(p.record_dial_failure(1000, 1001, true));
}

TEST(Presence, ThreeDialsOneAfterTheOtherAreAMachineThatIsGone) {
    FailureDetector p;
    p.record_activity(1000);
    EXPECT_FALSE(p.record_dial_failure(3000, 3250, false));
    EXPECT_FALSE(p.record_dial_failure(3500, 3750, false));
    EXPECT_TRUE(p.record_dial_failure(4000, 4250, false));
}

TEST(Presence, ACrowdOfDialsInOneBadMomentIsOneFailure) {
    FailureDetector p;
    p.record_activity(1000);
    for (int k = 0; k < 50; ++k) EXPECT_FALSE(p.record_dial_failure(3000 + k, 3250 + k, false));
    EXPECT_FALSE(p.record_dial_failure(3500, 3750, false));
    EXPECT_TRUE(p.record_dial_failure(4000, 4250, false));
}

TEST(Presence, AnyWordBeginsAnew) {
    FailureDetector p;
    EXPECT_FALSE(p.record_dial_failure(3000, 3250, false));
    EXPECT_FALSE(p.record_dial_failure(3500, 3750, false));
    p.record_activity(3800);
    EXPECT_FALSE(p.record_dial_failure(3700, 3950, false)) << "began before the word";
    EXPECT_FALSE(p.record_dial_failure(4000, 4250, false));
    EXPECT_FALSE(p.record_dial_failure(4500, 4750, false));
    EXPECT_TRUE(p.record_dial_failure(5000, 5250, false));
}

TEST(Presence, SilenceIsLookedAtAndTheWholeTakesLessThanEightSeconds) {
    FailureDetector p;
    p.record_activity(1000);
    EXPECT_EQ(p.next_check_at(1000), 3000);
    double now = 1000;
    bool gone = false;
    while (!gone) {
        const double began = now = p.next_check_at(now);
        now += 250;
        gone = p.record_dial_failure(began, now, false);
    }
    EXPECT_LT(now, 1000 + 7000);
}

}  // namespace
