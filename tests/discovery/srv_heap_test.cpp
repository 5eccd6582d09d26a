// What asking for the list and reading it takes from the heap. Buffers of 64 KB, one for each name, left gaps
// that small things settled in: the heap of a long day grew to 16 MB with less than 1 MB of it in use.
#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>

#include "tests/relay/rig.hpp"

namespace {
std::atomic<std::size_t> largest{0}, taken{0};
}

// Under a sanitizer the allocator is its own; the plain build looks.
#if !defined(__SANITIZE_ADDRESS__) && defined(__GLIBC__)
extern "C" void* __libc_malloc(std::size_t size);
extern "C" void* malloc(std::size_t size) {
    if (size > largest) largest = size;
    taken += size;
    return __libc_malloc(size);
}
constexpr bool kCounts = true;
#else
constexpr bool kCounts = false;
#endif

namespace ivyfield::relaytest {
namespace {

TEST(SrvHeap, AskingAndReadingTakeNoLargeBuffers) {
    std::vector<Listed> nodes;
    for (int k = 0; k < 30; ++k) nodes.push_back({"s-" + std::to_string(k), {"127.0.0.1", 9001}});
    const std::string query = discovery::srv_query("_api._tcp.svc.local", 7);
    const std::string answer = dns_answer(query, 9, nodes);
    std::string fault;
    io::World world(3);
    discovery::SrvList list(world.start("director"), {"127.0.0.1", 5300}, "_api._tcp.svc.local", 3,
                            [](const auto&, bool) {});
    largest = taken = 0;
    const auto read = discovery::read_srv(answer, "_api._tcp.svc.local", 7, fault);
    world.run_until(world.now() + 1000);
    ASSERT_TRUE(read) << fault;
    EXPECT_EQ(read->members.size(), 30u);
    if (!kCounts) GTEST_SKIP() << "the allocator is the sanitizer's";
    EXPECT_GT(taken, 0u) << "nothing is counted";
    EXPECT_LE(largest, 16u * 1024u);
}

}  // namespace
}  // namespace ivyfield::relaytest
