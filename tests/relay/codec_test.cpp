// Tests of both forms of the platform's protocol: input split at any byte, and damaged input.
#include <gtest/gtest.h>

#include <random>

#include "relay/message.hpp"

namespace ivyfield::relay {
namespace {

const char* kSetupLine = R"({"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":"paid","left":1500},)"
                         R"("sdp":"9d41\r\nc=IN IP4 10.4.7.9\r\n"})";

TEST(RelayLine, ReadsASetUp) {
    const auto line = parse_line(kSetupLine);
    const auto& m = std::get<ViewerMessage>(line);
    EXPECT_EQ(m.type, MessageType::setup);
    EXPECT_EQ(m.session, 0x9b1f03aa5c7e2d41u);
    EXPECT_EQ(m.fields.at("class"), "paid");
    EXPECT_EQ(m.fields.at("left"), "1500");
    EXPECT_EQ(*m.sdp, "9d41\r\nc=IN IP4 10.4.7.9\r\n");
}

TEST(RelayLine, WrittenLinesAreReadBack) {
    ViewerMessage m;
    m.type = MessageType::release, m.id = "00000000000000ff", m.cause = 34, m.fields["wait"] = "20";
    const std::string text = encode_line(m);
    ASSERT_EQ(text.back(), '\n');
    const auto line = parse_line(std::string_view(text).substr(0, text.size() - 1));
    const auto& back = std::get<ViewerMessage>(line);
    EXPECT_EQ(back.cause, 34);
    EXPECT_EQ(back.session, 255u);
    EXPECT_EQ(back.fields.at("wait"), "20");
    EXPECT_FALSE(back.sdp);
}

TEST(RelayLine, FaultsStateTheirReason) {
    const std::pair<const char*, const char*> cases[] = {
        {"", "not a JSON object"},
        {"[1]", "not a JSON object"},
        {"{\"type\":\"setup\"}", "no id"},
        {"{\"id\":7}", "no id"},
        {"{\"id\":\"7\"}", "id is not 16 hex digits"},
        {"{\"id\":\"-b1f03aa5c7e2d41\"}", "id is not 16 hex digits"},
        {"{\"id\":\"9b1f03aa5c7e2d41\"}", "no type"},
        {"{\"id\":\"9b1f03aa5c7e2d41\",\"type\":\"sing\"}", "unknown type"},
        {"{\"id\":\"9b1f03aa5c7e2d41\",\"type\":\"setup\",\"fields\":[]}", "fields is not an object"},
        {"{\"id\":\"9b1f03aa5c7e2d41\",\"type\":\"setup\",\"fields\":{\"a\":{}}}",
         "field a is neither text nor number"},
        {"{\"id\":\"9b1f03aa5c7e2d41\",\"type\":\"release\",\"cause\":-1}",
         "cause is not a number from 0 to 255"},
        {"{\"id\":\"9b1f03aa5c7e2d41\",\"type\":\"setup\",\"sdp\":1}", "sdp is not text"},
        {"{\"id\":\"9b1f03aa5c7e2d41\",\"type\":\"setup\",\"sdp\":\"\xff\"}", "not a JSON object"}};
    for (const auto& [text, why] : cases) {
        const auto line = parse_line(text);
        ASSERT_TRUE(std::holds_alternative<ParseError>(line)) << text;
        EXPECT_EQ(std::get<ParseError>(line).reason, why) << text;
    }
    EXPECT_TRUE(std::holds_alternative<ParseError>(parse_line(std::string(kMaxMessageSize, '['))));
}

TEST(RelayLine, DecodesAcrossAnySplit) {
    const std::string all = std::string(kSetupLine) + "\n" + kSetupLine + "\n";
    for (std::size_t cut = 0; cut <= all.size(); ++cut) {
        LineDecoder decoder;
        int lines = 0;
        for (std::string_view part :
             {std::string_view(all).substr(0, cut), std::string_view(all).substr(cut)}) {
            while (!part.empty()) {
                if (const auto line = decoder.next(part)) lines += *line == kSetupLine;
            }
        }
        EXPECT_EQ(lines, 2) << cut;
        EXPECT_FALSE(decoder.has_partial());
    }
}

TEST(RelayLine, BuffersNoMoreThanOneMessage) {
    LineDecoder decoder;
    const std::string piece(1000, 'x');
    for (int k = 0; k < 100 && !decoder.is_too_long(); ++k) {
        std::string_view bytes = piece;
        EXPECT_FALSE(decoder.next(bytes));
    }
    EXPECT_TRUE(decoder.is_too_long());
    EXPECT_FALSE(decoder.has_partial());
}

NodeMessage make_setup_message() {
    NodeMessage m;
    m.type = MessageType::setup, m.session = 0x9b1f03aa5c7e2d41u;
    m.parameters = {{33, "paid"}, {35, "1500"}, {41, "7f3a9c21e0b4d655"}, {55, "2"}, {63, "v=0\r\n"}};
    return m;
}

TEST(RelayFrame, HasTheByteLayoutOfTheProtocol) {
    NodeMessage m;
    m.type = MessageType::release, m.session = 0x0102030405060708u, m.cause = 34;
    EXPECT_EQ(encode_frame(m), std::string("\0\x0d\x0c\1\2\3\4\5\6\7\x08\x3d\0\1\x22", 15));
}

TEST(RelayFrame, DecodesAcrossAnySplit) {
    const std::string all = encode_frame(make_setup_message()) + encode_frame(make_setup_message());
    for (std::size_t cut = 0; cut <= all.size(); ++cut) {
        FrameDecoder decoder;
        int messages = 0;
        for (std::string_view part :
             {std::string_view(all).substr(0, cut), std::string_view(all).substr(cut)}) {
            while (!part.empty()) {
                const auto result = decoder.next(part);
                if (!result) continue;
                const auto& m = std::get<NodeMessage>(*result);
                EXPECT_EQ(m.session, 0x9b1f03aa5c7e2d41u);
                EXPECT_EQ(*m.find(ParameterCode::sdp), "v=0\r\n");
                messages += 1;
            }
        }
        EXPECT_EQ(messages, 2) << cut;
    }
}

TEST(RelayFrame, FaultsStateTheirReason) {
    const auto fault = [](const std::string& text) {
        FrameDecoder decoder;
        std::string_view bytes = text;
        const auto result = decoder.next(bytes);
        return result && std::holds_alternative<ParseError>(*result) ? std::get<ParseError>(*result).reason
                                                                     : "";
    };
    const std::string head("\1\0\0\0\0\0\0\0\7", 9);
    const auto frame = [&](const std::string& parameters) {
        const std::size_t n = head.size() + parameters.size();
        return std::string{static_cast<char>(n >> 8), static_cast<char>(n)} + head + parameters;
    };
    EXPECT_EQ(fault(std::string("\0\0", 2)), "a message of 0 bytes");
    EXPECT_EQ(fault("\xff\xff"), "a message of 65535 bytes");
    EXPECT_EQ(fault(frame("!\1")), "a parameter is cut short");
    EXPECT_EQ(fault(frame(std::string("!\0\5abc", 6))), "parameter 33 is longer than its message");
    EXPECT_EQ(fault(frame(std::string("=\0\2ab", 5))), "the cause is not one byte");
    EXPECT_EQ(fault(frame(std::string("!\0\1a!\0\1a", 8))), "parameter 33 comes twice");
    std::string odd = frame("");
    odd[2] = 99;
    EXPECT_EQ(fault(odd), "unknown type 99");
    EXPECT_EQ(fault(frame("")), "");
}

TEST(RelayCodecs, DamagedInputGivesAFaultOrAMessage) {
    std::mt19937 random(7);
    const auto draw = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    for (int k = 0; k < 20000; ++k) {
        std::string frame = encode_frame(make_setup_message()), line = std::string(kSetupLine) + "\n";
        for (std::string* text : {&frame, &line})
            for (std::size_t n = 1 + draw(4); n > 0; --n) {
                const std::size_t at = draw(text->size());
                if (draw(3) == 0) text->erase(at, 1 + draw(8));
                else (*text)[at] = static_cast<char>(random());
                if (text->empty()) text->push_back('x');
            }
        FrameDecoder frames;
        std::string_view bytes = frame;
        while (!bytes.empty()) {
            const auto result = frames.next(bytes);
            if (result && std::holds_alternative<ParseError>(*result)) break;
        }
        const auto read = parse_line(line);
        if (const auto* m = std::get_if<ViewerMessage>(&read)) {
            EXPECT_TRUE(!m->sdp || is_utf8(*m->sdp));
            EXPECT_FALSE(encode_line(*m).empty());
        }
    }
}

TEST(RelayText, AcceptsOnlyUtf8ThatJsonCanCarry) {
    for (const char* good : {"", "a", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x98\x80", "\xef\xbf\xbf"}) {
        EXPECT_TRUE(is_utf8(good)) << good;
        ViewerMessage m;
        m.id = "0000000000000001", m.sdp = good;
        EXPECT_NO_THROW(encode_line(m));
    }
    for (const char* bad :
         {"\xff", "\xc3", "\xc0\x80", "\xe2\x82", "\xed\xa0\x80", "\xf4\x90\x80\x80", "a\x80"})
        EXPECT_FALSE(is_utf8(bad));
}

TEST(RelayText, ParsesPairsAndNumbers) {
    const auto pairs = parse_pairs("x0:12;x1:40;queue:3");
    ASSERT_TRUE(pairs);
    EXPECT_EQ(pairs->at("x1"), "40");
    EXPECT_FALSE(parse_pairs("x0:12;;"));
    EXPECT_FALSE(parse_pairs("x0"));
    EXPECT_FALSE(parse_pairs("x0:1;x0:2"));
    EXPECT_EQ(parse_number("-2.5"), -2.5);
    for (const char* bad : {"", "x", "1x", "nan", "inf", "1e999", " 1"})
        EXPECT_FALSE(parse_number(bad)) << bad;
}

}  // namespace
}  // namespace ivyfield::relay
