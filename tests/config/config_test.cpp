// The configuration of a director: the example is valid, and every error is reported with its path.
#include "config/config.hpp"

#include <gtest/gtest.h>

using namespace ivyfield;
using nlohmann::json;

namespace {

json example() { return json::parse(config::read_file(IVYFIELD_SOURCE_DIR "/examples/director.json")); }
std::vector<std::string> error_paths(const json& doc) {
    std::vector<std::string> out;
    for (const auto& error : config::load(doc.dump()).errors) out.push_back(error.path);
    return out;
}
bool contains(const std::vector<std::string>& paths, const std::string& path) {
    return std::find(paths.begin(), paths.end(), path) != paths.end();
}

TEST(Config, ExampleIsValid) {
    const auto loaded = config::load(example().dump());
    for (const auto& error : loaded.errors) ADD_FAILURE() << error.path << ": " << error.message;
    EXPECT_EQ(loaded.config.settings.classes.at(0).idempotency, Idempotency::non_idempotent);
    EXPECT_EQ(loaded.config.settings.max_streams_by_kind, (std::vector<double>{25, 50}));
}
TEST(Config, ReportsEveryErrorWithItsPath) {
    json doc = example();
    doc["classes"][0]["aim_ms"] = -5;
    doc["classes"][1]["repeat"] = "sometimes";
    doc["listn"] = "127.0.0.1:1";
    doc["fleet"].erase("rung_kb");
    const auto paths = error_paths(doc);
    EXPECT_TRUE(contains(paths, "/classes/0/aim_ms"));
    EXPECT_TRUE(contains(paths, "/classes/1/repeat"));
    EXPECT_TRUE(contains(paths, "/fleet"));
    EXPECT_TRUE(contains(paths, ""));
}
TEST(Config, ChecksRulesBeyondTheSchema) {
    json doc = example();
    doc["fleet"]["rung_worth"].push_back(1.0);
    doc["fleet"]["self"] = 9;
    doc["classes"][2]["floor"] = 4;
    doc["classes"][2]["top"] = 3;
    doc["classes"][1]["name"] = "nurse-checkin";
    doc["classes"][0]["aim_ms"] = 6000;
    doc["tenants"][1]["share"] = 0.5;
    doc["listen"] = "127.0.0.1:99999";
    const auto paths = error_paths(doc);
    for (const char* path : {"/fleet/rung_worth", "/fleet/self", "/classes/2/floor", "/classes/1/name",
                             "/classes/0/aim_ms", "/tenants", "/listen"})
        EXPECT_TRUE(contains(paths, path)) << path;
}
TEST(Config, NamesUnknownField) {
    json doc = example();
    doc["fleet"]["rungs"] = 5;
    const auto errors = config::load(doc.dump()).errors;
    ASSERT_EQ(errors.size(), 1u);
    EXPECT_EQ(errors[0].path, "/fleet");
    EXPECT_EQ(errors[0].message, "unknown field 'rungs'.");
}
TEST(Config, ReportsOneErrorForUnreadableInput) {
    EXPECT_EQ(config::load("{\"name\": ").errors.size(), 1u);
    EXPECT_EQ(config::load_file("/nowhere/at/all").errors.size(), 1u);
}

}  // namespace
