#include "decide/poll_schedule.hpp"

#include <gtest/gtest.h>

namespace ivyfield::decide {
namespace {

TEST(Polling, AsksSeveralTimesBeforeAnEventCounts) {
    PollSchedule polling(0);
    Time now = 0;
    for (int k = 0; k < 100; ++k) {
        polling.record_answer(now);
        EXPECT_LE(polling.next_interval(now), 1500 / 4);
        now += polling.next_interval(now);
    }
}

TEST(Polling, AsksASilentNameServerLessOftenAndNeverSeldom) {
    const PollSchedule polling(0);
    int first = 0, later = 0;
    Time last = 0, most = 0;
    for (Time now = 0; now < 20000; now += polling.next_interval(now)) {
        (now < 2000 ? first : later) += now < 2000 || now >= 18000;
        most = std::max(most, now - last);
        EXPECT_GE(polling.next_interval(now), last > 0 ? now - last - 1e-6 : 0) << "the gap only grows";
        last = now;
    }
    EXPECT_LE(later, first / 2);
    EXPECT_LE(most, 750 + 1e-6) << "one that is back is heard within half of what events take to count";
    PollSchedule back = polling;
    back.record_answer(20000);
    EXPECT_EQ(back.next_interval(20000), PollSchedule(0).next_interval(0));
}

TEST(Polling, AnAnswerThatWasLongOnItsWayIsNoNewsOfThisMoment) {
    EXPECT_TRUE(PollSchedule::is_fresh(1000, 1200));
    EXPECT_FALSE(PollSchedule::is_fresh(1000, 3500));
}

}  // namespace
}  // namespace ivyfield::decide
