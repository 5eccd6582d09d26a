#include "relay/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace ivyfield::relay {

using nlohmann::json;

namespace {

struct TypeEntry {
    MessageType type;
    const char* word;
    std::uint8_t code;
};
constexpr std::array<TypeEntry, 10> kTypes{{{MessageType::setup, "setup", 1},
                                            {MessageType::progress, "progress", 6},
                                            {MessageType::answer, "answer", 9},
                                            {MessageType::release, "release", 12},
                                            {MessageType::released, "released", 16},
                                            {MessageType::note, "note", 44},
                                            {MessageType::move, "move", 51},
                                            {MessageType::ping, "ping", 52},
                                            {MessageType::pong, "pong", 53},
                                            {MessageType::rate, "rate", 60}}};
constexpr std::size_t kHead = 3, kLeast = 9;  // length and type; type and session

const TypeEntry& entry(MessageType type) {
    return *std::find_if(kTypes.begin(), kTypes.end(), [&](const auto& e) { return e.type == type; });
}

// Numbers as they were written, as far as a JSON reader keeps that.
std::optional<std::string> text_of(const json& value) {
    if (value.is_string()) return value.get<std::string>();
    if (value.is_number()) return value.dump();
    return std::nullopt;
}

void put16(std::string& out, std::size_t value) {
    out.push_back(static_cast<char>(value >> 8));
    out.push_back(static_cast<char>(value));
}
std::size_t get16(std::string_view bytes, std::size_t at) {
    return static_cast<std::size_t>(static_cast<unsigned char>(bytes[at])) << 8 |
           static_cast<unsigned char>(bytes[at + 1]);
}

FrameDecoder::Result read_frame(std::string_view body) {
    NodeMessage m;
    const auto code = static_cast<std::uint8_t>(body[0]);
    const auto it = std::find_if(kTypes.begin(), kTypes.end(), [&](const auto& e) { return e.code == code; });
    if (it == kTypes.end()) return ParseError{"unknown type " + std::to_string(code), ""};
    m.type = it->type;
    for (std::size_t k = 1; k <= 8; ++k) m.session = m.session << 8 | static_cast<unsigned char>(body[k]);
    body.remove_prefix(kLeast);
    while (!body.empty()) {
        if (body.size() < 3) return ParseError{"a parameter is cut short", ""};
        const int parameter = static_cast<unsigned char>(body[0]);
        const std::size_t size = get16(body, 1);
        if (body.size() - 3 < size)
            return ParseError{"parameter " + std::to_string(parameter) + " is longer than its message", ""};
        const std::string_view value = body.substr(3, size);
        if (parameter == static_cast<int>(ParameterCode::cause)) {
            if (size != 1) return ParseError{"the cause is not one byte", ""};
            m.cause = static_cast<unsigned char>(value[0]);
        } else if (!m.parameters.emplace(parameter, value).second) {
            return ParseError{"parameter " + std::to_string(parameter) + " comes twice", ""};
        }
        body.remove_prefix(3 + size);
    }
    return m;
}

}  // namespace

const char* name(MessageType type) { return entry(type).word; }

std::string to_hex(SessionNumber number) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string out(16, '0');
    for (std::size_t k = 0; k < 16; ++k) out[15 - k] = digits[number >> (4 * k) & 15];
    return out;
}
std::optional<SessionNumber> parse_hex(std::string_view text) {
    SessionNumber number = 0;
    if (text.size() != 16) return std::nullopt;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return number;
}

ParsedLine parse_line(std::string_view text) {
    const json doc = json::parse(text, nullptr, false);
    if (doc.is_discarded() || !doc.is_object()) return ParseError{"not a JSON object", ""};
    ViewerMessage m;
    const auto id = doc.find("id");
    if (id == doc.end() || !id->is_string()) return ParseError{"no id", ""};
    m.id = id->get<std::string>();
    const auto number = parse_hex(m.id);
    if (!number) return ParseError{"id is not 16 hex digits", ""};
    m.session = *number;
    const auto type = doc.find("type");
    if (type == doc.end() || !type->is_string()) return ParseError{"no type", m.id};
    const auto word = type->get<std::string>();
    const auto it = std::find_if(kTypes.begin(), kTypes.end(), [&](const auto& e) { return e.word == word; });
    if (it == kTypes.end()) return ParseError{"unknown type", m.id};
    m.type = it->type;
    if (const auto fields = doc.find("fields"); fields != doc.end()) {
        if (!fields->is_object()) return ParseError{"fields is not an object", m.id};
        for (const auto& [key, value] : fields->items()) {
            auto one = text_of(value);
            if (!one) return ParseError{"field " + key + " is neither text nor number", m.id};
            m.fields.emplace(key, std::move(*one));
        }
    }
    if (const auto cause = doc.find("cause"); cause != doc.end()) {
        if (!cause->is_number_integer() || *cause < 0 || *cause > 255)
            return ParseError{"cause is not a number from 0 to 255", m.id};
        m.cause = cause->get<int>();
    }
    if (const auto sdp = doc.find("sdp"); sdp != doc.end()) {
        if (!sdp->is_string()) return ParseError{"sdp is not text", m.id};
        m.sdp = sdp->get<std::string>();
    }
    return m;
}

std::string encode_line(const ViewerMessage& m) {
    nlohmann::ordered_json doc;
    doc["type"] = name(m.type);
    doc["id"] = m.id;
    doc["fields"] = json::object();
    for (const auto& [key, value] : m.fields) doc["fields"][key] = value;
    if (m.cause) doc["cause"] = *m.cause;
    if (m.sdp) doc["sdp"] = *m.sdp;
    return doc.dump() + "\n";
}

std::optional<std::string> LineDecoder::next(std::string_view& bytes) {
    if (too_long_) return std::nullopt;
    const std::size_t end = bytes.find('\n');
    const std::size_t more = end == std::string_view::npos ? bytes.size() : end;
    if (kept_.size() + more > kMaxMessageSize) {
        too_long_ = true;
        kept_ = std::string();
        return std::nullopt;
    }
    kept_.append(bytes.substr(0, more));
    bytes.remove_prefix(end == std::string_view::npos ? more : more + 1);
    if (end == std::string_view::npos) return std::nullopt;
    return std::exchange(kept_, std::string());
}

std::string encode_frame(const NodeMessage& m) {
    std::string body;
    body.push_back(static_cast<char>(entry(m.type).code));
    for (int k = 7; k >= 0; --k) body.push_back(static_cast<char>(m.session >> (8 * k)));
    for (const auto& [code, value] : m.parameters) {
        body.push_back(static_cast<char>(code));
        put16(body, value.size());
        body += value;
    }
    if (m.cause) {
        body.push_back(static_cast<char>(ParameterCode::cause));
        put16(body, 1);
        body.push_back(static_cast<char>(*m.cause));
    }
    std::string out;
    put16(out, body.size());
    return out + body;
}

std::optional<FrameDecoder::Result> FrameDecoder::next(std::string_view& bytes) {
    const auto take = [&](std::size_t upto) {
        const std::size_t n = std::min(bytes.size(), upto - std::min(upto, kept_.size()));
        kept_.append(bytes.substr(0, n));
        bytes.remove_prefix(n);
        return kept_.size() >= upto;
    };
    if (!take(kHead - 1)) return std::nullopt;
    const std::size_t size = get16(kept_, 0);
    if (size < kLeast || size + kHead - 1 > kMaxMessageSize)
        return ParseError{"a message of " + std::to_string(size) + " bytes", ""};
    if (!take(kHead - 1 + size)) return std::nullopt;
    const std::string whole = std::exchange(kept_, std::string());
    return read_frame(std::string_view(whole).substr(kHead - 1));
}

bool is_utf8(std::string_view text) {
    for (std::size_t k = 0; k < text.size();) {
        const auto at = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
        const unsigned char first = at(k);
        if (first < 0x80) {
            k += 1;
            continue;
        }
        const std::size_t more = first >= 0xc2 && first <= 0xdf   ? 1
                                 : first >= 0xe0 && first <= 0xef ? 2
                                 : first >= 0xf0 && first <= 0xf4 ? 3
                                                                  : 0;
        if (more == 0 || text.size() - k <= more) return false;
        for (std::size_t i = k + 1; i <= k + more; ++i)
            if ((at(i) & 0xc0) != 0x80) return false;
        const unsigned char second = at(k + 1);
        if ((first == 0xe0 && second < 0xa0) || (first == 0xed && second > 0x9f) ||
            (first == 0xf0 && second < 0x90) || (first == 0xf4 && second > 0x8f))
            return false;
        k += more + 1;
    }
    return true;
}

std::optional<std::map<std::string, std::string>> parse_pairs(std::string_view text) {
    std::map<std::string, std::string> out;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(';'), text.size());
        const std::string_view one = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t colon = one.find(':');
        if (colon == std::string_view::npos || colon == 0) return std::nullopt;
        if (!out.emplace(one.substr(0, colon), one.substr(colon + 1)).second) return std::nullopt;
    }
    return out;
}

std::optional<double> parse_number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

}  // namespace ivyfield::relay
