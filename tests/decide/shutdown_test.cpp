#include "decide/shutdown.hpp"

#include <gtest/gtest.h>

namespace ivyfield::decide {
namespace {

Settings with_patience(std::vector<Time> patience) {
    Settings settings;
    for (const Time one : patience) {
        settings.classes.emplace_back();
        settings.classes.back().patience = one;
    }
    return settings;
}

TEST(Shutdown, AnswersAndLeavesBeforeTheKill) {
    for (const Time longest : {200.0, 1900.0, 3000.0, 5000.0}) {
        const Shutdown end(with_patience({100, longest, 50}), 1000);
        const Time kill = 1000 + std::min(longest, 3000.0) + 700;
        EXPECT_LT(end.answer_by(), kill);
        // A set-up that comes within 0.6 s and may wait no longer than 3 s has all of its time.
        EXPECT_GE(end.answer_by(), 1000 + 600 + std::min(longest, 3000.0));
        EXPECT_TRUE(end.leaves(kill - 1, {5, true, kill - 1})) << "with something owed, but not killed";
        EXPECT_FALSE(end.leaves(end.answer_by(), {1, false, 0}));
    }
}

TEST(Shutdown, LeavesWhenNothingIsOwedUnsentOrComing) {
    const Shutdown end(with_patience({3000}), 1000);
    EXPECT_GE(end.take_until(), 1000 + 700);
    const Time now = end.take_until() + 100;
    EXPECT_TRUE(end.leaves(now, {0, false, now - 50}));
    EXPECT_FALSE(end.leaves(now, {1, false, now - 50}));
    EXPECT_FALSE(end.leaves(now, {0, true, now - 50}));
    EXPECT_FALSE(end.leaves(now, {0, false, now - 20})) << "something has just come: more may";
    EXPECT_FALSE(end.leaves(end.take_until() - 1, {0, false, 0})) << "set-ups still come";
}

}  // namespace
}  // namespace ivyfield::decide
