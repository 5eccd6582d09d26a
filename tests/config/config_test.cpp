// Configuration: the example is good, and every fault is told with its path.
#include "config/config.hpp"

#include <gtest/gtest.h>

using namespace ivyfield;
using nlohmann::json;

namespace {

json example() { return json::parse(config::read_file(IVYFIELD_SOURCE_DIR "/examples/director.json")); }
std::vector<std::string> paths(const json& doc) {
    std::vector<std::string> out;
    for (const auto& f : config::load(doc.dump()).faults) out.push_back(f.path);
    return out;
}
bool has(const std::vector<std::string>& all, const std::string& one) {
    return std::find(all.begin(), all.end(), one) != all.end();
}

TEST(Config, TheExampleIsGood) {
    const auto loaded = config::load(example().dump());
    for (const auto& f : loaded.faults) ADD_FAILURE() << f.path << ": " << f.why;
    EXPECT_EQ(loaded.config.settings.classes.at(0).idempotency, Idempotency::non_idempotent);
    EXPECT_EQ(loaded.config.settings.max_streams_by_kind, (std::vector<double>{25, 50}));
}
TEST(Config, EveryFaultIsToldWithItsPath) {
    json doc = example();
    doc["classes"][0]["aim_ms"] = -5;
    doc["classes"][1]["repeat"] = "sometimes";
    doc["listn"] = "127.0.0.1:1";
    doc["fleet"].erase("rung_kb");
    const auto all = paths(doc);
    EXPECT_TRUE(has(all, "/classes/0/aim_ms"));
    EXPECT_TRUE(has(all, "/classes/1/repeat"));
    EXPECT_TRUE(has(all, "/fleet"));
    EXPECT_TRUE(has(all, ""));
}
TEST(Config, WhatASchemaCannotSay) {
    json doc = example();
    doc["fleet"]["rung_worth"].push_back(1.0);
    doc["fleet"]["self"] = 9;
    doc["classes"][2]["floor"] = 4;
    doc["classes"][2]["top"] = 3;
    doc["classes"][1]["name"] = "nurse-checkin";
    doc["classes"][0]["aim_ms"] = 6000;
    doc["tenants"][1]["share"] = 0.5;
    doc["listen"] = "127.0.0.1:99999";
    const auto all = paths(doc);
    for (const char* path : {"/fleet/rung_worth", "/fleet/self", "/classes/2/floor", "/classes/1/name",
                             "/classes/0/aim_ms", "/tenants", "/listen"})
        EXPECT_TRUE(has(all, path)) << path;
}
TEST(Config, AnUnknownFieldIsNamed) {
    json doc = example();
    doc["fleet"]["rungs"] = 5;
    const auto faults = config::load(doc.dump()).faults;
    ASSERT_EQ(faults.size(), 1u);
    EXPECT_EQ(faults[0].path, "/fleet");
    EXPECT_EQ(faults[0].why, "unknown field 'rungs'.");
}
TEST(Config, NotJsonIsOneFault) {
    EXPECT_EQ(config::load("{\"name\": ").faults.size(), 1u);
    EXPECT_EQ(config::load_file("/nowhere/at/all").faults.size(), 1u);
}

}  // namespace
