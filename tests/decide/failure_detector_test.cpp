#include "decide/failure_detector.hpp"

#include <gtest/gtest.h>

using ivyfield::decide::FailureDetector;

namespace {

TEST(FailureDetector, ARefusedConnectionIsProofAtOnce) {
    FailureDetector detector;
    detector.record_activity(1000);
    EXPECT_TRUE(detector.record_dial_failure(1000, 1001, true));
}

TEST(FailureDetector, ThreeConsecutiveFailedDialsMeanTheMachineIsGone) {
    FailureDetector detector;
    detector.record_activity(1000);
    EXPECT_FALSE(detector.record_dial_failure(3000, 3250, false));
    EXPECT_FALSE(detector.record_dial_failure(3500, 3750, false));
    EXPECT_TRUE(detector.record_dial_failure(4000, 4250, false));
}

TEST(FailureDetector, ConcurrentFailedDialsCountAsOneFailure) {
    FailureDetector detector;
    detector.record_activity(1000);
    for (int i = 0; i < 50; ++i) EXPECT_FALSE(detector.record_dial_failure(3000 + i, 3250 + i, false));
    EXPECT_FALSE(detector.record_dial_failure(3500, 3750, false));
    EXPECT_TRUE(detector.record_dial_failure(4000, 4250, false));
}

TEST(FailureDetector, AnyActivityResetsTheFailureCount) {
    FailureDetector detector;
    EXPECT_FALSE(detector.record_dial_failure(3000, 3250, false));
    EXPECT_FALSE(detector.record_dial_failure(3500, 3750, false));
    detector.record_activity(3800);
    EXPECT_FALSE(detector.record_dial_failure(3700, 3950, false)) << "started before the activity";
    EXPECT_FALSE(detector.record_dial_failure(4000, 4250, false));
    EXPECT_FALSE(detector.record_dial_failure(4500, 4750, false));
    EXPECT_TRUE(detector.record_dial_failure(5000, 5250, false));
}

// Guards against checks that each new message to the node puts off.
TEST(FailureDetector, SchedulingACheckAgainDoesNotPutItOff) {
    FailureDetector detector;
    detector.record_activity(1000);
    for (double now = 1000; now < 3000; now += 300) EXPECT_EQ(detector.next_check_at(now), 3000);
    EXPECT_EQ(detector.next_check_at(3100), 3100) << "overdue: at once";
    detector.record_check(3100);
    for (double now = 3100; now < 3600; now += 100) EXPECT_EQ(detector.next_check_at(now), 3600);
}

TEST(FailureDetector, ASilentNodeIsDetectedInLessThanEightSeconds) {
    FailureDetector detector;
    detector.record_activity(1000);
    EXPECT_EQ(detector.next_check_at(1000), 3000);
    double now = 1000;
    bool gone = false;
    while (!gone) {
        const double started = now = detector.next_check_at(now);
        now += 250;
        gone = detector.record_dial_failure(started, now, false);
    }
    EXPECT_LT(now, 1000 + 7000);
}

}  // namespace
