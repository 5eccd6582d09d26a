#include "decide/repeated_setup.hpp"

#include <gtest/gtest.h>

using namespace ivyfield;
using namespace ivyfield::decide;

namespace {

TEST(RepeatedSetups, OnlyWhatMayHaveRunAndMustNotRunTwiceIsHeldBack) {
    RepeatedSetups setups;
    setups.record({1, Idempotency::non_idempotent, true}, 1000);
    setups.record({2, Idempotency::non_idempotent, false}, 1000);
    setups.record({3, Idempotency::idempotent, true}, 1000);
    setups.record({4, Idempotency::keyed, true}, 1000);
    EXPECT_FALSE(setups.may_run(1, 1015));
    EXPECT_TRUE(setups.may_run(2, 1015)) << "it provably never ran";
    EXPECT_TRUE(setups.may_run(3, 1015));
    EXPECT_FALSE(setups.may_run(4, 1015));
    EXPECT_TRUE(setups.may_run(1, 100000)) << "forgotten";
}

TEST(RepeatedSetups, EverNewNumbersAreForgottenOldestFirst) {
    RepeatedSetups setups;
    for (SessionId id = 1; id <= 100000; ++id) setups.record({id, Idempotency::non_idempotent, true}, 1000);
    EXPECT_TRUE(setups.may_run(1, 1000));
    EXPECT_FALSE(setups.may_run(100000, 1000));
    EXPECT_FALSE(setups.may_run(95000, 1000));
}

}  // namespace
