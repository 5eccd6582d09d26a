#include "decide/poll_schedule.hpp"

#include <gtest/gtest.h>

namespace ivyfield::decide {
namespace {

TEST(PollSchedule, QueriesSeveralTimesBeforeAnEventCounts) {
    PollSchedule schedule(0);
    Time now = 0;
    for (int i = 0; i < 100; ++i) {
        schedule.record_answer(now);
        EXPECT_LE(schedule.next_interval(now), 1500 / 4);
        now += schedule.next_interval(now);
    }
}

TEST(PollSchedule, QueriesASilentNameServerLessOftenUpToALimit) {
    const PollSchedule schedule(0);
    int first_queries = 0, last_queries = 0;
    Time previous = 0, longest = 0;
    for (Time now = 0; now < 20000; now += schedule.next_interval(now)) {
        (now < 2000 ? first_queries : last_queries) += now < 2000 || now >= 18000;
        longest = std::max(longest, now - previous);
        EXPECT_GE(schedule.next_interval(now), previous > 0 ? now - previous - 1e-6 : 0)
            << "the interval never shrinks";
        previous = now;
    }
    EXPECT_LE(last_queries, first_queries / 2);
    EXPECT_LE(longest, 750 + 1e-6)
        << "a recovered server is noticed within half the time after which events count";
    PollSchedule recovered = schedule;
    recovered.record_answer(20000);
    EXPECT_EQ(recovered.next_interval(20000), PollSchedule(0).next_interval(0));
}

TEST(PollSchedule, AnAnswerThatWasLongOnItsWayIsNotFresh) {
    EXPECT_TRUE(PollSchedule::is_fresh(1000, 1200));
    EXPECT_FALSE(PollSchedule::is_fresh(1000, 3500));
}

}  // namespace
}  // namespace ivyfield::decide
