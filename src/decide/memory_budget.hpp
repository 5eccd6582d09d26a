// Divides the memory that peers can make a process hold: messages that are not complete, set-ups that wait
// for their answer, output that is not read, sessions. Each connection may hold a fraction of what is free at
// the moment (dynamic thresholds: Choudhury and Hahne, IEEE/ACM Trans. Networking 6(2), 1998): one busy
// client may use much while nobody else needs it, and however many greedy ones there are, some is left for
// the others. No I/O, no clock.
#pragma once

#include <cstddef>

namespace ivyfield::decide {

// Estimates of what is held for one session and, until it is answered, for its set-up besides, in bytes.
constexpr std::size_t kSessionBytes = 2048, kSetupBytes = 2048;
// The description of a set-up stands in the session's record and in what is to be sent to a node.
constexpr std::size_t kDescriptionCopies = 2;

// Output that a connection may always have unsent, in bytes: one message. The number of connections bounds
// the sum.
constexpr std::size_t kMinUnsentOutput = 16 * 1024;

// Returns the estimated memory of a set-up with such a description, in bytes.
constexpr std::size_t setup_cost(std::size_t description_bytes) {
    return kSetupBytes + kDescriptionCopies * description_bytes;
}

// The budget of one process. All sizes are in bytes.
class MemoryBudget {
  public:
    // `limit`: of the whole process.
    explicit MemoryBudget(std::size_t limit);
    // Whether a connection may hold `held` in all, what it wants to add included, while `in_use` is held for
    // all peers together.
    bool can_hold(std::size_t held, std::size_t in_use) const;
    // Whether a connection may go on holding `unsent` bytes of output that its peer does not read.
    bool can_hold_output(std::size_t unsent, std::size_t in_use) const;
    // Whether one more session may be taken over that others have set up, while `sessions` are open.
    bool can_take_over(std::size_t sessions) const;
    std::size_t total() const { return total_; }

  private:
    std::size_t total_;
};

}  // namespace ivyfield::decide
