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
        const GracefulShutdown end(with_patience({100, longest, 50}), 1000);
        const Time kill = 1000 + std::min(longest, 3000.0) + 700;
        EXPECT_LT(end.answer_deadline(), kill);
        // A set-up that comes within 0.6 s and may wait no longer than 3 s has all of its time.
        EXPECT_GE(end.answer_deadline(), 1000 + 600 + std::min(longest, 3000.0));
        EXPECT_TRUE(end.should_exit(kill - 1, {5, true, 3, kill - 1}))
            << "with something owed, but not killed";
        EXPECT_FALSE(end.should_exit(end.answer_deadline(), {1, false, 0, 0}));
    }
}

TEST(Shutdown, LeavesWhenNothingIsOwedUnsentOrComing) {
    const GracefulShutdown end(with_patience({3000}), 1000);
    EXPECT_GE(end.accept_deadline(), 1000 + 700);
    const Time now = end.accept_deadline() + 100;
    EXPECT_TRUE(end.should_exit(now, {0, false, 0, now - 100}));
    EXPECT_FALSE(end.should_exit(now, {1, false, 0, now - 100}));
    EXPECT_FALSE(end.should_exit(now, {0, true, 0, now - 100}));
    EXPECT_FALSE(end.should_exit(now, {0, false, 1, now - 100})) << "a client has not closed its side yet";
    EXPECT_FALSE(end.should_exit(now, {0, false, 0, now - 60})) << "what crossed a close may be sent again";
    EXPECT_FALSE(end.should_exit(end.accept_deadline() - 1, {0, false, 0, 0})) << "set-ups still come";
}

TEST(Shutdown, WaitsForNoClientOnceAllIsGivenUp) {
    const GracefulShutdown end(with_patience({3000}), 1000);
    const Time last = end.answer_deadline();
    EXPECT_FALSE(end.should_exit(last - 1, {0, false, 1, 0}));
    EXPECT_TRUE(end.should_exit(last, {0, false, 1, 0}));
    EXPECT_FALSE(end.should_exit(last, {0, true, 1, 0}));
    EXPECT_FALSE(end.should_exit(last, {0, false, 1, last - 20})) << "something has just come";
}

TEST(Shutdown, EndsAConnectionOnceNothingIsOpenOnIt) {
    const GracefulShutdown end(with_patience({3000}), 1000);
    const Time now = end.accept_deadline() + 10;
    EXPECT_FALSE(end.should_close_connection(end.accept_deadline() - 1, {0, true, 900}))
        << "set-ups still come on it";
    EXPECT_TRUE(end.should_close_connection(now, {0, true, 900}));
    EXPECT_TRUE(end.should_close_connection(now, {0, false, 900})) << "nobody has said a word on it";
    EXPECT_FALSE(end.should_close_connection(now, {1, true, 900}));
    EXPECT_FALSE(end.should_close_connection(now, {0, false, now - 5}))
        << "what it was opened for is on its way";
    EXPECT_TRUE(end.should_close_connection(now, {0, true, now - 5}));
    EXPECT_TRUE(end.should_close_connection(now + 100, {0, false, now - 5}));
}

}  // namespace
}  // namespace ivyfield::decide
