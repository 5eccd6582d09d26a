#include "decide/memory_budget.hpp"

#include <gtest/gtest.h>

#include <vector>

using namespace ivyfield::decide;

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;

TEST(MemoryBudget, AnEmptyProcessLetsOneConnectionHoldMuch) {
    const MemoryBudget budget(32 * kMegabyte);
    EXPECT_TRUE(budget.can_hold(budget.total() / 8, budget.total() / 8));
    EXPECT_FALSE(budget.can_hold(budget.total(), 0));
}

// However many connections take all that they may, a newcomer's set-up still finds room.
TEST(MemoryBudget, GreedyConnectionsLeaveRoomForANewcomer) {
    const MemoryBudget budget(32 * kMegabyte);
    constexpr std::size_t kConnections = 100;
    const std::size_t large = setup_cost(15500), usual = setup_cost(100);
    std::vector<std::size_t> held(kConnections);
    std::size_t in_use = 0;
    for (bool any = true; any;) {
        any = false;
        for (std::size_t& bytes : held) {
            if (!budget.can_hold(bytes + large, in_use)) continue;
            bytes += large;
            in_use += large;
            any = true;
        }
    }
    EXPECT_LT(in_use, budget.total());
    for (std::size_t k = 1; k <= 20; ++k) EXPECT_TRUE(budget.can_hold(k * usual, in_use + (k - 1) * usual));
}

TEST(MemoryBudget, NothingIsAdmittedOnceAllIsInUse) {
    const MemoryBudget budget(32 * kMegabyte);
    EXPECT_FALSE(budget.can_hold(1, budget.total()));
    EXPECT_FALSE(budget.can_hold(1, 2 * budget.total()));
    EXPECT_TRUE(budget.can_hold_output(1000, 2 * budget.total())) << "one answer can always be sent";
    EXPECT_FALSE(budget.can_hold_output(64 * 1024, budget.total()));
}

TEST(MemoryBudget, SessionsThatAreTakenOverLeaveRoomForOthers) {
    const MemoryBudget budget(32 * kMegabyte);
    std::size_t sessions = 0;
    while (budget.can_take_over(sessions)) sessions += 1;
    EXPECT_GT(sessions, 2000u);
    EXPECT_TRUE(budget.can_hold(setup_cost(15500), sessions * kSessionBytes));
}

}  // namespace
