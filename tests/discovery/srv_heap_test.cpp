// Heap use of polling and parsing the node list. Buffers of 64 KB per name left gaps in which small
// allocations settled: over a long day the heap grew to 16 MB with less than 1 MB of it in use.
#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>

#include "tests/relay/rig.hpp"

namespace {
std::atomic<std::size_t> largest_allocation{0}, allocated_bytes{0}, allocation_count{0};
}

// A sanitizer brings its own allocator, so allocations are counted only in the plain build.
#if !defined(__SANITIZE_ADDRESS__) && defined(__GLIBC__)
extern "C" void* __libc_malloc(std::size_t size);
extern "C" void* malloc(std::size_t size) {
    if (size > largest_allocation) largest_allocation = size;
    allocated_bytes += size;
    allocation_count += 1;
    return __libc_malloc(size);
}
constexpr bool kCountsAllocations = true;
#else
constexpr bool kCountsAllocations = false;
#endif

namespace ivyfield::relaytest {
namespace {

TEST(SrvHeap, PollingAllocatesNoLargeBuffers) {
    std::vector<ListedNode> nodes;
    for (int k = 0; k < 30; ++k) nodes.push_back({"s-" + std::to_string(k), {"127.0.0.1", 9001}});
    const std::string query = discovery::build_srv_query("_api._tcp.svc.local", 7);
    const std::string answer = make_dns_response(query, 9, nodes);
    std::string fault;
    io::World world(3);
    discovery::SrvPoller list(world.start("director"), {"127.0.0.1", 5300}, "_api._tcp.svc.local", 3,
                              {[](const auto&) {}, [] {}});
    largest_allocation = allocated_bytes = 0;
    const auto read = discovery::parse_srv_response(answer, "_api._tcp.svc.local", 7, fault);
    world.run_until(world.now() + 1000);
    ASSERT_TRUE(read) << fault;
    EXPECT_EQ(read->members.size(), 30u);
    if (!kCountsAllocations) GTEST_SKIP() << "the allocator is the sanitizer's";
    EXPECT_GT(allocated_bytes, 0u) << "malloc is not counted";
    EXPECT_LE(largest_allocation, 16u * 1024u);
}

// Answers to clients wait while a response is parsed, and responses come four times a second at each
// director.
TEST(SrvHeap, AnUnchangedResponseIsNotParsedAgain) {
    std::vector<ListedNode> nodes;
    for (int k = 0; k < 36; ++k) nodes.push_back({"s-" + std::to_string(k), {"127.0.0.1", 9001}});
    std::string answer = make_dns_response(discovery::build_srv_query("_api._tcp.svc.local", 7), 9, nodes);
    io::World world(3);
    io::VirtualLoop& names = world.start("names");
    std::size_t answers = 0;
    std::unique_ptr<io::DatagramSocket> server;
    server =
        names.open_datagram_socket({"127.0.0.1", 5300}, [&](const io::Address& from, std::string_view query) {
            answer[0] = query[0], answer[1] = query[1];
            answers += 1;
            server->send(from, answer);
        });
    std::size_t list_events = 0;
    discovery::SrvPoller list(world.start("director"), {"127.0.0.1", 5300}, "_api._tcp.svc.local", 3,
                              {[&](const auto&) { list_events += 1; }, [&] { list_events += 1; }});
    world.run_until(world.now() + 400);
    ASSERT_GE(list_events, 1u);
    const std::size_t answers_before = answers;
    allocation_count = 0;
    world.run_until(world.now() + 2500);
    const std::size_t later_answers = answers - answers_before;
    EXPECT_GE(later_answers, 5u);
    EXPECT_GE(list_events, later_answers) << "each response confirms the list";
    if (!kCountsAllocations) GTEST_SKIP() << "the allocator is the sanitizer's";
    EXPECT_LT(allocation_count / later_answers, nodes.size()) << "fewer than one allocation per node";
}

}  // namespace
}  // namespace ivyfield::relaytest
