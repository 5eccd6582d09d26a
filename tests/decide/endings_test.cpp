#include "decide/endings.hpp"

#include <gtest/gtest.h>

namespace ivyfield::decide {
namespace {

TEST(Endings, WhoHasNotEndedItIsTold) {
    for (const Outcome outcome : {Outcome::ended, Outcome::reset, Outcome::error})
        for (const Time stood : {0.0, 10.0, 60000.0}) {
            EXPECT_TRUE(owes_release({outcome, true, false, false, stood}));
            EXPECT_FALSE(owes_release({outcome, true, true, false, stood}));
            EXPECT_FALSE(owes_release({outcome, true, false, true, stood}));
            EXPECT_FALSE(owes_release({outcome, false, false, false, stood})) << "it has heard of nothing";
        }
}

TEST(Endings, WhoEndedItBeforeTheAnswerWasThereIsToldToo) {
    EXPECT_TRUE(owes_release({Outcome::cancelled, true, false, false, 0.4}));
    EXPECT_FALSE(owes_release({Outcome::cancelled, true, false, false, 60})) << "it knew what it ended";
    EXPECT_FALSE(owes_release({Outcome::cancelled, true, true, false, 0.4}))
        << "it ended it here, after the answer";
    EXPECT_FALSE(owes_release({Outcome::cancelled, false, false, false, 0.4})) << "it gave its set-up up";
    EXPECT_FALSE(owes_release({Outcome::cancelled, true, false, true, 0.4}));
}

}  // namespace
}  // namespace ivyfield::decide
