// Structured fields (RFC 8941), CMCD (CTA-5004) and CMSD (CTA-5006): decoding, encoding and invalid input.
#include <gtest/gtest.h>

#include <sstream>

#include "cli/hints_command.hpp"
#include "hints/keys.hpp"

using namespace ivyfield::hints;

namespace {

TEST(StructuredFields, ExamplesOfTheSpecificationRoundTrip) {
    for (const char* text : {
             "sugar, tea, rum",
             "(\"foo\" \"bar\"), (\"baz\"), (\"bat\" \"one\"), ()",
             "(\"foo\";a=1;b=2);lvl=5, (\"bar\" \"baz\");lvl=1",
             "abc;a=1;b=2;cde_456, (ghi;jk=4 l);q=\"9\";r=w",
             "1;a;b=?0",
             ":cHJldGVuZCB0aGlzIGlzIGJpbmFyeSBjb250ZW50Lg==:",
             "-42, 4.5, \"a\\\"b\\\\c\", *x/y:z, ?1",
         }) {
        const auto list = parse_list(text);
        ASSERT_TRUE(list) << text;
        EXPECT_EQ(serialize(*list), text);
    }
    for (const char* text : {"en=\"Applepie\", da=:w4ZibGV0w6ZydGU=:", "a=?0, b, c;foo=bar", "a=(1 2), b=3",
                             "rating=1.5, feelings=(joy sadness)"}) {
        const auto dictionary = parse_dictionary(text);
        ASSERT_TRUE(dictionary) << text;
        EXPECT_EQ(serialize(*dictionary), text);
    }
}
TEST(StructuredFields, SyntaxErrorsFailTheWholeField) {
    for (const char* text : {"a,", ",a", "a b", "(a", "1.", ".5", "1.2345", "1234567890123456", "\"a",
                             "\"\\x\"", "?2", ":a", "a;B=1", "a=1", "--1", "\"\x7f\"", "1234567890123.1"})
        EXPECT_FALSE(parse_list(text)) << text;
    for (const char* text : {"A=1", "a=", "a=1,", "=1", "a=1 b=2", "a==1"})
        EXPECT_FALSE(parse_dictionary(text)) << text;
    EXPECT_TRUE(parse_list("")->empty());
    EXPECT_EQ(serialize(*parse_dictionary("a=1, b=2, a=3")), "a=3, b=2");
}
TEST(StructuredFields, InvalidValuesCantBeSerialized) {
    EXPECT_THROW(serialize(BareItem(std::string("é"))), std::invalid_argument);
    EXPECT_THROW(serialize(BareItem(Token{"1a"})), std::invalid_argument);
    EXPECT_THROW(serialize(BareItem(std::int64_t(1000000000000000))), std::invalid_argument);
    EXPECT_EQ(serialize(BareItem(Decimal{-1500})), "-1.5");
    EXPECT_EQ(serialize(BareItem(Decimal{2000})), "2.0");
}

std::string decode(const std::string& kind, const std::string& payload) {
    std::istringstream in(payload);
    std::ostringstream out;
    ivyfield::cli::decode_hints(kind, in, out);
    return out.str();
}
std::string encode(const std::string& kind, const std::string& json) {
    std::istringstream in(json);
    std::ostringstream out, errors;
    ivyfield::cli::encode_hints(kind, in, out, errors);
    return out.str() + errors.str();
}

TEST(Cmcd, AllReservedKeysRoundTrip) {
    const std::string payload =
        "bl=21300,br=3200,bs,cid=\"faec5fc2-ac30-11ea\",com.example-t=1.5,d=4004,dl=18500,mtp=48100,"
        "nor=\"..%2F300kbps%2Ftrack%201.m4v\",nrr=\"12323-48763\",ot=v,pr=1.08,rtp=12000,sf=h,"
        "sid=\"6e2fb550-c457-11e9-bb97-0800200c9a66\",st=v,su,tb=6000";
    const std::string json = decode("cmcd", payload);
    EXPECT_EQ(
        json,
        "{\"dropped\":[],\"keys\":{\"bl\":21300,\"br\":3200,\"bs\":true,\"cid\":\"faec5fc2-ac30-11ea\","
        "\"com.example-t\":1.5,\"d\":4004,\"dl\":18500,\"mtp\":48100,\"nor\":\"../300kbps/track 1.m4v\","
        "\"nrr\":\"12323-48763\",\"ot\":\"v\",\"pr\":1.08,\"rtp\":12000,\"sf\":\"h\","
        "\"sid\":\"6e2fb550-c457-11e9-bb97-0800200c9a66\",\"st\":\"v\",\"su\":true,\"tb\":6000}}\n");
    EXPECT_EQ(encode("cmcd", json), payload + "\n");
}
TEST(Cmcd, MalformedKeyIsDroppedAlone) {
    const DecodedKeys decoded =
        decode_keys(Vocabulary::cmcd,
                    "bl=abc,br=3200.5,ot=zz,sf=\"h\",sid=\"ok\",nrr=\"9-1\",unknown=1,BAD=1,su="
                    "1,,d=-4,x-y=(1 2),tb=5;a=1");
    EXPECT_EQ(decoded.keys.values.size(), 1u);
    EXPECT_EQ(decoded.keys.text("sid"), "ok");
    EXPECT_EQ(decoded.dropped.size(), 12u);
    for (const DroppedKey& dropped : decoded.dropped) EXPECT_FALSE(dropped.reason.empty()) << dropped.key;
}
TEST(Cmcd, UnclosedQuoteDropsFollowingKeysOnly) {
    const DecodedKeys decoded = decode_keys(Vocabulary::cmcd, "br=100,sid=\"abc,su,tb=9");
    EXPECT_EQ(decoded.keys.integer("br"), 100);
    EXPECT_EQ(decoded.keys.values.size(), 1u);
    EXPECT_EQ(decoded.dropped.size(), 1u);
}
TEST(Cmcd, CommasAndEscapesInStringsAreDecoded) {
    const DecodedKeys decoded = decode_keys(Vocabulary::cmcd, "sid=\"a,b\\\"c\\\\\",su");
    EXPECT_EQ(decoded.keys.text("sid"), "a,b\"c\\");
    EXPECT_TRUE(decoded.keys.flag("su"));
}
TEST(Cmcd, PayloadsBeyondTheLimitsAreDropped) {
    EXPECT_EQ(decode_keys(Vocabulary::cmcd, "sid=\"" + std::string(65, 'a') + "\"").keys.values.size(), 0u);
    EXPECT_EQ(decode_keys(Vocabulary::cmcd, "sid=\"" + std::string(64, 'a') + "\"").keys.values.size(), 1u);
    EXPECT_EQ(decode_keys(Vocabulary::cmcd, std::string(100000, ',')).dropped.size(), 1u);
    std::string many;
    for (int k = 0; k < 500; ++k) many += (k ? ",a-" : "a-") + std::to_string(k);
    const DecodedKeys decoded = decode_keys(Vocabulary::cmcd, many);
    EXPECT_EQ(decoded.keys.values.size(), kMaxKeys);
    EXPECT_EQ(decoded.dropped.size(), 1u);
}
TEST(Cmcd, ValuesAreRoundedAndDefaultsOmitted) {
    EXPECT_EQ(encode("cmcd", R"({"keys":{"bl":21350,"dl":149,"mtp":25449,"rtp":151,"br":3240.6,"pr":1,"v":1,)"
                             R"("su":false,"com.x-y":"a\"b","ot":"av"}})"),
              "bl=21400,br=3241,com.x-y=\"a\\\"b\",dl=100,mtp=25400,ot=av,rtp=200\n");
    EXPECT_EQ(encode("cmcd", R"({"keys":{"v":2,"pr":1.0876}})"), "pr=1.088,v=2\n");
}
TEST(Cmcd, InvalidKeysAreOmittedAndReported) {
    const std::string out = encode("cmcd", R"({"keys":{"ot":"zz","br":1,"sid":5,"nokey":1}})"
                                           "\nnonsense\n");
    EXPECT_EQ(out.substr(0, 6), "br=1\n\n");
    EXPECT_NE(out.find("line 1: \"ot\": wanted one of"), std::string::npos) << out;
    EXPECT_NE(out.find("line 2:"), std::string::npos);
}
TEST(Cmcd, ContradictoryKeysInHeadersAndQueryAreDropped) {
    CmcdSources sources;
    sources.payload[static_cast<int>(Carrier::session)] = "sid=\"a\",st=v";
    sources.payload[static_cast<int>(Carrier::query)] = "sid=\"b\",st=v,br=1";
    const DecodedKeys decoded = decode_cmcd(sources);
    EXPECT_FALSE(decoded.keys.has("sid"));
    EXPECT_EQ(decoded.keys.text("st"), "v");
    EXPECT_EQ(decoded.keys.integer("br"), 1);
    ASSERT_EQ(decoded.dropped.size(), 1u);
    EXPECT_EQ(decoded.dropped[0].key, "sid");
}
TEST(Cmcd, KeysAreEncodedIntoTheirHeaders) {
    const auto headers =
        encode_cmcd_headers(decode_keys(Vocabulary::cmcd, "br=3200,bs,sid=\"a\",su,x-y=1,mtp=100").keys);
    EXPECT_EQ(headers[static_cast<int>(Carrier::object)], "br=3200");
    EXPECT_EQ(headers[static_cast<int>(Carrier::request)], "mtp=100,su");
    EXPECT_EQ(headers[static_cast<int>(Carrier::status)], "bs");
    EXPECT_EQ(headers[static_cast<int>(Carrier::session)], "sid=\"a\",x-y=1");
}

TEST(CmsdStatic, KeysOfTheSpecificationAreDecoded) {
    EXPECT_EQ(decode("cmsd-static", "at=1638998400000,br=2000,d=5000,n=\"OriginA\",ot=v,sf=h,st=v,su"),
              "{\"dropped\":[],\"keys\":{\"at\":1638998400000,\"br\":2000,\"d\":5000,\"n\":\"OriginA\","
              "\"ot\":\"v\",\"sf\":\"h\",\"st\":\"v\",\"su\":true}}\n");
}
TEST(CmsdDynamic, EntriesOfEarlierHopsAreKeptUnchanged) {
    const std::string earlier = "\"CDNB-3ak1\";etp=96;rtt=8,\"odd\";zz;etp=x";
    const std::string all =
        append_cmsd_dynamic(earlier, {"ivyfield", decode_keys(Vocabulary::cmcd, "").keys});
    EXPECT_EQ(all, earlier + ", \"ivyfield\"");
    const DecodedCmsdEntries decoded = decode_cmsd_dynamic(all);
    ASSERT_EQ(decoded.entries.size(), 3u);
    EXPECT_EQ(decoded.entries[0].keys.integer("etp"), 96);
    EXPECT_TRUE(decoded.entries[1].keys.values.empty());
    EXPECT_EQ(decoded.dropped.size(), 2u);
    EXPECT_EQ(decoded.entries[2].name, "ivyfield");
    EXPECT_EQ(encode("cmsd-dynamic", R"({"entries":[{"name":"a b","keys":{"du":true,"mb":500,"rd":3}}]})"),
              "\"a b\";du;mb=500;rd=3\n");
    EXPECT_EQ(decode("cmsd-dynamic", "\"a b\";du;mb=500;rd=3, 5;mb=1"),
              "{\"dropped\":[{\"key\":\"5;mb=1\",\"why\":\"an entry's name is a string\"}],"
              "\"entries\":[{\"keys\":{\"du\":true,\"mb\":500,\"rd\":3},\"name\":\"a b\"}]}\n");
}

}  // namespace
