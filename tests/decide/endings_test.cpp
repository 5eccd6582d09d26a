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

}  // namespace
}  // namespace ivyfield::decide
