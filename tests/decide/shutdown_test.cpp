#include "decide/shutdown.hpp"

#include <gtest/gtest.h>

namespace ivyfield::decide {
namespace {

Settings make_settings(std::vector<Time> patiences) {
    Settings settings;
    for (const Time patience : patiences) {
        settings.classes.emplace_back();
        settings.classes.back().patience = patience;
    }
    return settings;
}

TEST(GracefulShutdown, AnswersAndExitsBeforeTheKill) {
    for (const Time longest : {200.0, 1900.0, 3000.0, 5000.0}) {
        const GracefulShutdown shutdown(make_settings({100, longest, 50}), 1000);
        const Time kill = 1000 + std::min(longest, 3000.0) + 700;
        EXPECT_LT(shutdown.answer_deadline(), kill);
        // A set-up that arrives within 0.6 s and may wait at most 3 s has its full waiting time.
        EXPECT_GE(shutdown.answer_deadline(), 1000 + 600 + std::min(longest, 3000.0));
        EXPECT_TRUE(shutdown.should_exit(kill - 1, {5, true, 3, kill - 1}))
            << "exits before the kill although a set-up is unanswered";
        EXPECT_FALSE(shutdown.should_exit(shutdown.answer_deadline(), {1, false, 0, 0}));
    }
}

TEST(GracefulShutdown, ExitsWhenNothingIsUnansweredUnsentOrArriving) {
    const GracefulShutdown shutdown(make_settings({3000}), 1000);
    EXPECT_GE(shutdown.accept_deadline(), 1000 + 700);
    const Time now = shutdown.accept_deadline() + 100;
    EXPECT_TRUE(shutdown.should_exit(now, {0, false, 0, now - 100}));
    EXPECT_FALSE(shutdown.should_exit(now, {1, false, 0, now - 100}));
    EXPECT_FALSE(shutdown.should_exit(now, {0, true, 0, now - 100}));
    EXPECT_FALSE(shutdown.should_exit(now, {0, false, 1, now - 100}))
        << "a client has not closed its side yet";
    EXPECT_FALSE(shutdown.should_exit(now, {0, false, 0, now - 60}))
        << "a message that crossed a close may be sent again";
    EXPECT_FALSE(shutdown.should_exit(shutdown.accept_deadline() - 1, {0, false, 0, 0}))
        << "set-ups still arrive";
}

TEST(GracefulShutdown, WaitsForNoClientOnceEverythingIsGivenUp) {
    const GracefulShutdown shutdown(make_settings({3000}), 1000);
    const Time deadline = shutdown.answer_deadline();
    EXPECT_FALSE(shutdown.should_exit(deadline - 1, {0, false, 1, 0}));
    EXPECT_TRUE(shutdown.should_exit(deadline, {0, false, 1, 0}));
    EXPECT_FALSE(shutdown.should_exit(deadline, {0, true, 1, 0}));
    EXPECT_FALSE(shutdown.should_exit(deadline, {0, false, 1, deadline - 20})) << "data has just arrived";
}

TEST(GracefulShutdown, ClosesAConnectionOnceNothingIsPendingOnIt) {
    const GracefulShutdown shutdown(make_settings({3000}), 1000);
    const Time now = shutdown.accept_deadline() + 10;
    EXPECT_FALSE(shutdown.should_close_connection(shutdown.accept_deadline() - 1, {0, true, 900}))
        << "set-ups still arrive on it";
    EXPECT_TRUE(shutdown.should_close_connection(now, {0, true, 900}));
    EXPECT_TRUE(shutdown.should_close_connection(now, {0, false, 900})) << "no message has arrived on it";
    EXPECT_FALSE(shutdown.should_close_connection(now, {1, true, 900}));
    EXPECT_FALSE(shutdown.should_close_connection(now, {0, false, now - 5}))
        << "the request it was opened for is still on its way";
    EXPECT_TRUE(shutdown.should_close_connection(now, {0, true, now - 5}));
    EXPECT_TRUE(shutdown.should_close_connection(now + 100, {0, false, now - 5}));
}

}  // namespace
}  // namespace ivyfield::decide
