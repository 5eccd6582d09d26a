// The benchmark's protocol: the examples of its description, and malformed input.
#include "codec.hpp"

#include <gtest/gtest.h>

using namespace ivyfield;
using namespace ivyfield::benchlink;

namespace {

std::string bytes(const std::string& hex) {
    std::string out, digits;
    for (const char c : hex)
        if (c != ' ') digits += c;
    for (std::size_t k = 0; k + 1 < digits.size(); k += 2)
        out.push_back(static_cast<char>(std::stoi(digits.substr(k, 2), nullptr, 16)));
    return out;
}
std::string u32(std::uint32_t value) {
    std::string out;
    for (int k = 0; k < 4; ++k) out.push_back(static_cast<char>(value >> (8 * k)));
    return out;
}
const std::string kNow = bytes("00000000206ec040");
const std::string kConfig =
    "balancers=2\nclasses.count=1\nclasses.0.effect=pure\nclasses.0.objective_ms=800.0\n"
    "classes.0.give_up_ms=5000.0\nclasses.0.importance=1.0\nfamily_info.places=2\nfamily_info.racks=1\n"
    "family_info.kind_slots=20\nfamily_info.rack_kb=9000\nfamily_info.weight_kb=9000\n"
    "family_info.rung_kb=100,200\nfamily_info.rung_worth=0.5,1.0\nlimits.max_attempts=4\nnew.key=whatever\n";
std::string create_instance() { return bytes("01 0300 0000000000000000") + u32(kConfig.size()) + kConfig; }
const std::string kList = bytes(
    "0d 00000000 01000000 0000 0000803f 0a124a07 c32b 0000000000000000 00 01 00 02 0300 29000000 01 "
    "00000000");
const std::string kRequest = bytes(
    "03 0300 c4913a5d88190100 0000 00000000 640ad2557c3bf091 107cf3d901648e2b 0000000020e6d040 "
    "0000000000002840 "
    "00000000 00004040 00000040 01");

TEST(Frames, EmptyBatchHasEmptyReply) { EXPECT_EQ(DirectorHost().process_batch(u32(0) + kNow), u32(0)); }
TEST(Frames, RequestIsSentToTheListedServer) {
    DirectorHost host;
    const std::string reply = host.process_batch(u32(4) + kNow + create_instance() + kList + kRequest);
    EXPECT_NE(reply.find(bytes("01 0300 c4913a5d88190100 0a124a07 c32b")), std::string::npos);
    EXPECT_EQ(u32(reply.size() - 4), reply.substr(0, 4));
}
TEST(Frames, MalformedInputIsReported) {
    const std::string good = u32(4) + kNow + create_instance() + kList + kRequest;
    for (std::size_t cut = 0; cut < good.size(); cut += 3)
        EXPECT_THROW(DirectorHost().process_batch(good.substr(0, cut)), WireError);
    EXPECT_THROW(DirectorHost().process_batch(good + "x"), WireError);
    EXPECT_THROW(DirectorHost().process_batch(u32(1) + kNow + bytes("63 0300")), WireError);
    EXPECT_THROW(DirectorHost().process_batch(u32(1) + kNow + bytes("06 0900 192b6f0e7ea10800")), WireError);
    EXPECT_THROW(DirectorHost().process_batch(u32(2) + kNow + create_instance() +
                                              bytes("02 0300 29000000 01 05000000")),
                 WireError);
}
std::string u16(int value) { return u32(value).substr(0, 2); }
// Three hundred directors in one process, two thousand servers in their list, and a request for each director
// in one batch.
TEST(Frames, LargeFleetsAreHandledInOneBatch) {
    constexpr int kDirectors = 300, kServers = 2000;
    std::string creations, list = bytes("0d 00000000") + u32(kServers), list_events, requests;
    for (int k = 0; k < kServers; ++k)
        list += u16(k) + bytes("0000803f 0a12") + u16(k) + bytes("c32b 0000000000000000 00 01 00");
    for (int k = 0; k < kDirectors; ++k) {
        creations += bytes("01") + u16(k) + bytes("0000000000000000") + u32(kConfig.size()) + kConfig;
        list_events += bytes("02") + u16(k) + bytes("29000000 01 00000000");
        requests += bytes("03") + u16(k) + u32(k + 1) + u32(0) + kRequest.substr(11);
    }
    DirectorHost host;
    host.process_batch(u32(2 * kDirectors + 1) + kNow + creations + list + list_events);
    const std::string reply = host.process_batch(u32(kDirectors) + kNow + requests);
    for (int k = 0; k < kDirectors; ++k)
        EXPECT_NE(reply.find(bytes("01") + u16(k) + u32(k + 1) + u32(0)), std::string::npos) << k;
}
TEST(Frames, InstanceIsRemovedAndCreatedAgainInOneBatch) {
    DirectorHost host;
    EXPECT_NO_THROW(host.process_batch(u32(4) + kNow + create_instance() + bytes("0a 0300") +
                                       create_instance() + bytes("06 0300 0100000000000000")));
    EXPECT_NO_THROW(host.process_batch(u32(1) + kNow + bytes("0a 0300")));
    EXPECT_THROW(host.process_batch(u32(1) + kNow + bytes("0a 0300")), WireError);
}
TEST(SettingsText, AbsentKeysDisableTheirRules) {
    const Settings s = parse_settings(kConfig);
    EXPECT_FALSE(s.retry_budget.has_value());
    EXPECT_EQ(s.overload_multiple, 0);
    EXPECT_EQ(s.classes.at(0).seats, 0);
    EXPECT_EQ(s.classes.at(0).max_rung, 1);
    EXPECT_FALSE(s.can_probe);
}
TEST(SettingsText, BadValuesAreReported) {
    EXPECT_THROW(parse_settings("balancers=two"), WireError);
    EXPECT_THROW(parse_settings("balancers"), WireError);
    EXPECT_THROW(parse_settings("limits.probes=maybe"), WireError);
    EXPECT_THROW(parse_settings("classes.count=1\nclasses.0.effect=odd"), WireError);
    EXPECT_THROW(parse_settings("family_info.rung_kb=1,x"), WireError);
}

}  // namespace
