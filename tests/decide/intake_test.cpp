#include "decide/intake.hpp"

#include <gtest/gtest.h>

using namespace ivyfield::decide;

namespace {

TEST(Intake, WhatBroughtNothingAndWasSilentLongestGivesWay) {
    EXPECT_EQ(gives_way({{0, true, 1}, {0, false, 9}, {0, false, 5}, {1, false, 0}}), 2u);
    EXPECT_EQ(gives_way({{0, true, 7}, {0, true, 3}, {2, true, 0}}), 1u);
}

TEST(Intake, WhatWasTakenNeverGivesWay) {
    EXPECT_FALSE(gives_way({{1, true, 1}, {3, false, 2}}));
    EXPECT_FALSE(gives_way({}));
}

TEST(Intake, SetUpsAreTakenUpToTheLimitAndNotAtTheEnd) {
    const IntakeLimits limits{10, 2};
    EXPECT_TRUE(takes(limits, 0, false));
    EXPECT_TRUE(takes(limits, 1, false));
    EXPECT_FALSE(takes(limits, 2, false));
    EXPECT_FALSE(takes(limits, 0, true));
}

}  // namespace
