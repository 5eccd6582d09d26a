#include "decide/memory_budget.hpp"

namespace ivyfield::decide {

namespace {

// The rest of the limit is for the program itself, the allocator's overhead and the module's own state.
constexpr double kBudgetShare = 0.5;
// A connection's part of what is free.
constexpr std::size_t kFreeDivisor = 4;
// Part of the budget for sessions that are taken over: they come without an answer, so nothing paces them.
constexpr std::size_t kTakeOverDivisor = 2;

}  // namespace

MemoryBudget::MemoryBudget(std::size_t limit)
    : total_(static_cast<std::size_t>(static_cast<double>(limit) * kBudgetShare)) {}

bool MemoryBudget::can_hold(std::size_t held, std::size_t in_use) const {
    if (in_use >= total_) return false;
    return held <= (total_ - in_use) / kFreeDivisor;
}

bool MemoryBudget::can_hold_output(std::size_t unsent, std::size_t in_use) const {
    return unsent <= kMinUnsentOutput || can_hold(unsent, in_use);
}

bool MemoryBudget::can_take_over(std::size_t sessions) const {
    return (sessions + 1) * kSessionBytes <= total_ / kTakeOverDivisor;
}

}  // namespace ivyfield::decide
