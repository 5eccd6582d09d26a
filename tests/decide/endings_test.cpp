#include "decide/endings.hpp"

#include <gtest/gtest.h>

namespace ivyfield::decide {
namespace {

TEST(Endings, WhoHasNotEndedItIsTold) {
    for (const Outcome outcome : {Outcome::ended, Outcome::reset, Outcome::error}) {
        EXPECT_TRUE(owes_release({outcome, true, false, false}));
        EXPECT_FALSE(owes_release({outcome, true, true, false}));
        EXPECT_FALSE(owes_release({outcome, true, false, true}));
        EXPECT_FALSE(owes_release({outcome, false, false, false})) << "it has heard of nothing";
    }
    EXPECT_FALSE(owes_release({Outcome::cancelled, true, false, false})) << "it has ended it at its node";
}

TEST(Endings, OnlyWhatIsFreshMayHaveCrossed) {
    EXPECT_TRUE(may_have_crossed(0));
    EXPECT_TRUE(may_have_crossed(50));
    EXPECT_FALSE(may_have_crossed(51));
}

TEST(Endings, AnEndDoesNotOvertakeItsAnswer) {
    EXPECT_EQ(may_follow_elsewhere(1000), 1050);
    EXPECT_FALSE(may_have_crossed(may_follow_elsewhere(1000) + 1 - 1000));
}

TEST(Endings, AnEndIsToldWhereSomebodyListens) {
    EXPECT_TRUE(tells_end_on(true, false, 0));
    EXPECT_FALSE(tells_end_on(false, true, 0)) << "a better connection may come";
    EXPECT_TRUE(tells_end_on(false, true, 7000)) << "told within 8 s";
    EXPECT_FALSE(tells_end_on(false, false, 60000));
}

}  // namespace
}  // namespace ivyfield::decide
