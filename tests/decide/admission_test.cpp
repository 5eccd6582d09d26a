#include "decide/admission.hpp"

#include <gtest/gtest.h>

using namespace ivyfield::decide;

namespace {

TEST(Admission, UnusedAndLeastRecentlyUsedConnectionIsEvictedFirst) {
    EXPECT_EQ(select_eviction({{0, true, 1}, {0, false, 9}, {0, false, 5}, {1, false, 0}}), 2u);
    EXPECT_EQ(select_eviction({{0, true, 7}, {0, true, 3}, {2, true, 0}}), 1u);
}

TEST(Admission, AConnectionWithAPendingSetupIsNeverEvicted) {
    EXPECT_FALSE(select_eviction({{1, true, 1}, {3, false, 2}}));
    EXPECT_FALSE(select_eviction({}));
}

TEST(Admission, SetupsAreAdmittedUpToTheLimitAndNotWhileStopping) {
    const AdmissionLimits limits{10, 2};
    EXPECT_TRUE(can_admit_setup(limits, 0, false));
    EXPECT_TRUE(can_admit_setup(limits, 1, false));
    EXPECT_FALSE(can_admit_setup(limits, 2, false));
    EXPECT_FALSE(can_admit_setup(limits, 0, true));
}

}  // namespace
