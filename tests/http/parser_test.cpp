// HTTP framing: where a message ends, and messages that are rejected because two parsers could disagree on
// it.
#include "http/parser.hpp"

#include <gtest/gtest.h>

using namespace ivyfield::http;

namespace {

struct ParseResult {
    std::vector<Request> requests;
    ParseError error;
    bool failed = false, partial = false;
};
ParseResult parse_all(std::string_view bytes, std::size_t piece_size = std::string::npos,
                      ParseLimits limits = {}) {
    Parser parser(Parser::Kind::request, limits);
    ParseResult result;
    while (!bytes.empty() && !result.failed) {
        std::string_view piece = bytes.substr(0, piece_size);
        bytes.remove_prefix(piece.size());
        while (!piece.empty()) {
            const auto status = parser.feed(piece);
            if (status == Parser::Status::message) result.requests.push_back(parser.request());
            if (status == Parser::Status::error) {
                result.failed = true, result.error = parser.error();
                break;
            }
        }
    }
    result.partial = !result.failed && !parser.is_idle();
    return result;
}

const std::string kGet = "GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string kChunked =
    "POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5;ext=1\r\nhello\r\n6\r\n world\r\n0\r\nX-Trailer: 1\r\n\r\n";
const std::string kLength = "POST /l HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";

TEST(Requests, PipelinedRequestsParseForEveryPieceSize) {
    const std::string all = kGet + kChunked + kLength + "\r\n" + kGet;
    for (std::size_t piece_size = 1; piece_size < all.size() + 1; ++piece_size) {
        const ParseResult result = parse_all(all, piece_size);
        ASSERT_FALSE(result.failed) << piece_size << ": " << result.error.reason;
        ASSERT_EQ(result.requests.size(), 4u) << piece_size;
        EXPECT_EQ(result.requests[0].path(), "/a");
        EXPECT_EQ(result.requests[0].query(), "b=c");
        EXPECT_EQ(result.requests[1].body, "hello world");
        EXPECT_EQ(result.requests[2].body, "hello");
        EXPECT_EQ(result.requests[3].target, "/a?b=c");
        EXPECT_FALSE(result.partial);
    }
}

struct InvalidMessage {
    const char* name;
    std::string bytes;
    int status;
};
std::string post(const std::string& headers, const std::string& body = "") {
    return "POST / HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n" + body;
}
const InvalidMessage kInvalidMessages[] = {
    {"LengthAndCoding", post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400},
    {"CodingAndLength", post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"), 400},
    {"TwoLengths", post("Content-Length: 5\r\nContent-Length: 6\r\n", "hello"), 400},
    {"TwoEqualLengths", post("Content-Length: 5\r\nContent-Length: 5\r\n", "hello"), 400},
    {"ListOfLengths", post("Content-Length: 5, 5\r\n", "hello"), 400},
    {"SignedLength", post("Content-Length: +5\r\n", "hello"), 400},
    {"NegativeLength", post("Content-Length: -1\r\n"), 400},
    {"HugeLength", post("Content-Length: 99999999999999999999\r\n"), 400},
    {"TwoCodings", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 501},
    {"UnknownCoding", post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"), 501},
    {"GzipChunked", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 501},
    {"BareLfLine", "GET / HTTP/1.1\nHost: x\r\n\r\n", 400},
    {"BareLfHeader", "GET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n", 400},
    {"BareLfEnd", "GET / HTTP/1.1\r\nHost: x\r\n\n", 400},
    {"BareCr", "GET / HTTP/1.1\r\nHost: x\rA: b\r\n\r\n", 400},
    {"Folded", "GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", 400},
    {"SpaceBeforeColon", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", 400},
    {"NoColon", "GET / HTTP/1.1\r\nHost\r\n\r\n", 400},
    {"NulInHeader", std::string("GET / HTTP/1.1\r\nHost: x\r\nA: b") + '\0' + "c\r\n\r\n", 400},
    {"NoHost", "GET / HTTP/1.1\r\nA: b\r\n\r\n", 400},
    {"TwoHosts", "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400},
    {"NotHttp", "HELO there\r\n\r\n", 400},
    {"Http2", "GET / HTTP/2.0\r\nHost: x\r\n\r\n", 505},
    {"ChunkedInHttp10", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
    {"ChunkSizeNotHex", post("Transfer-Encoding: chunked\r\n", "5g\r\nhello\r\n0\r\n\r\n"), 400},
    {"ChunkSizeHuge", post("Transfer-Encoding: chunked\r\n", "ffffffffffffffffff\r\n"), 400},
    {"ChunkBareLf", post("Transfer-Encoding: chunked\r\n", "5\nhello\r\n0\r\n\r\n"), 400},
    {"ChunkTooLong", post("Transfer-Encoding: chunked\r\n", "5\r\nhelloXX0\r\n\r\n"), 400},
    {"ChunkExtensionLfInside", post("Transfer-Encoding: chunked\r\n", "5;a\nb\r\nhello\r\n0\r\n\r\n"), 400},
    {"ChunkExtensionNeverEnds", post("Transfer-Encoding: chunked\r\n", "5;" + std::string(5000, 'a')), 400},
    {"LineTooLong", "GET /" + std::string(9000, 'a') + " HTTP/1.1\r\nHost: x\r\n\r\n", 414},
    {"LineNeverEnds", "GET /" + std::string(9000, 'a'), 414},
    {"HeaderTooLong", post("A: " + std::string(20000, 'a') + "\r\n"), 431},
    {"HeadersNeverEnd", post("A: " + std::string(20000, 'a')), 431},
    {"TooManyHeaders", post([] {
         std::string s;
         for (int k = 0; k < 150; ++k) s += "A: b\r\n";
         return s;
     }()),
     431},
    {"BodyTooLong", post("Content-Length: 2000000\r\n"), 413},
    {"ChunkedBodyTooLong", post("Transfer-Encoding: chunked\r\n", "200000\r\n" + std::string(2 << 20, 'x')),
     413},
};
class RejectedMessages : public testing::TestWithParam<InvalidMessage> {};
INSTANTIATE_TEST_SUITE_P(All, RejectedMessages, testing::ValuesIn(kInvalidMessages),
                         [](const auto& info) { return info.param.name; });
TEST_P(RejectedMessages, RejectedForEveryPieceSize) {
    for (const std::size_t piece_size :
         {std::string::npos, std::size_t(1), std::size_t(7), std::size_t(1000)}) {
        const ParseResult result = parse_all(GetParam().bytes, piece_size);
        EXPECT_TRUE(result.failed) << "in pieces of " << piece_size;
        EXPECT_EQ(result.error.status, GetParam().status) << result.error.reason;
        EXPECT_TRUE(result.requests.empty());
        EXPECT_FALSE(result.error.reason.empty());
    }
}

TEST(Responses, BodyWithoutLengthEndsWithTheConnection) {
    Parser parser(Parser::Kind::response, {});
    std::string_view bytes = "HTTP/1.1 200 OK\r\n\r\nto the end";
    EXPECT_EQ(parser.feed(bytes), Parser::Status::need_more);
    EXPECT_EQ(parser.finish(), Parser::Status::message);
    EXPECT_EQ(parser.response().body, "to the end");
    EXPECT_FALSE(parser.keep_alive());
}
TEST(Responses, TruncatedBodyIsAnError) {
    Parser parser(Parser::Kind::response, {});
    std::string_view bytes = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort";
    EXPECT_EQ(parser.feed(bytes), Parser::Status::need_more);
    EXPECT_EQ(parser.finish(), Parser::Status::error);
}
TEST(Responses, ResponseToHeadHasNoBody) {
    Parser parser(Parser::Kind::response, {});
    parser.expect_no_body(true);
    std::string_view bytes = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n";
    EXPECT_EQ(parser.feed(bytes), Parser::Status::message);
}

TEST(Queries, EachArgumentIsDecodedSeparately) {
    EXPECT_EQ(query_argument("a=1&CMCD=bl%3D100%2Csid%3D%22x%22&z", "CMCD"), "bl=100,sid=\"x\"");
    EXPECT_EQ(query_argument("CMCD=%zz", "CMCD"), std::nullopt);
    EXPECT_EQ(query_argument("", "CMCD"), std::nullopt);
    EXPECT_EQ(percent_encode("a b/\"c\""), "a%20b%2F%22c%22");
}

}  // namespace
