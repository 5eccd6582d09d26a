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
    const char* name;
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
constexpr std::size_t kHeaderSize = 3, kMinBodySize = 9;  // length and type; type and session

const TypeEntry& entry_of(MessageType type) {
    return *std::find_if(kTypes.begin(), kTypes.end(), [&](const auto& e) { return e.type == type; });
}

// The text of a string or number; a number as it was written, as far as the JSON parser preserves that.
std::optional<std::string> scalar_text(const json& value) {
    if (value.is_string()) return value.get<std::string>();
    if (value.is_number()) return value.dump();
    return std::nullopt;
}

void append_u16(std::string& out, std::size_t value) {
    out.push_back(static_cast<char>(value >> 8));
    out.push_back(static_cast<char>(value));
}
std::size_t read_u16(std::string_view bytes, std::size_t at) {
    return static_cast<std::size_t>(static_cast<unsigned char>(bytes[at])) << 8 |
           static_cast<unsigned char>(bytes[at + 1]);
}

// Decodes a frame without its length; `body` has at least kMinBodySize bytes.
FrameDecoder::Result decode_frame(std::string_view body) {
    NodeMessage message;
    const auto code = static_cast<std::uint8_t>(body[0]);
    const auto it = std::find_if(kTypes.begin(), kTypes.end(), [&](const auto& e) { return e.code == code; });
    if (it == kTypes.end()) return ParseError{"unknown type " + std::to_string(code), ""};
    message.type = it->type;
    for (std::size_t k = 1; k <= 8; ++k)
        message.session = message.session << 8 | static_cast<unsigned char>(body[k]);
    body.remove_prefix(kMinBodySize);
    while (!body.empty()) {
        if (body.size() < 3) return ParseError{"a parameter is cut short", ""};
        const int parameter = static_cast<unsigned char>(body[0]);
        const std::size_t size = read_u16(body, 1);
        if (body.size() - 3 < size)
            return ParseError{"parameter " + std::to_string(parameter) + " is longer than its message", ""};
        const std::string_view value = body.substr(3, size);
        if (parameter == static_cast<int>(ParameterCode::cause)) {
            if (size != 1) return ParseError{"the cause is not one byte", ""};
            message.cause = static_cast<unsigned char>(value[0]);
        } else if (!message.parameters.emplace(parameter, value).second) {
            return ParseError{"parameter " + std::to_string(parameter) + " comes twice", ""};
        }
        body.remove_prefix(3 + size);
    }
    return message;
}

}  // namespace

const char* name(MessageType type) { return entry_of(type).name; }

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
    ViewerMessage message;
    const auto id = doc.find("id");
    if (id == doc.end() || !id->is_string()) return ParseError{"no id", ""};
    message.id = id->get<std::string>();
    const auto number = parse_hex(message.id);
    if (!number) return ParseError{"id is not 16 hex digits", ""};
    message.session = *number;
    const auto type = doc.find("type");
    if (type == doc.end() || !type->is_string()) return ParseError{"no type", message.id};
    const auto word = type->get<std::string>();
    const auto it = std::find_if(kTypes.begin(), kTypes.end(), [&](const auto& e) { return e.name == word; });
    if (it == kTypes.end()) return ParseError{"unknown type", message.id};
    message.type = it->type;
    if (const auto fields = doc.find("fields"); fields != doc.end()) {
        if (!fields->is_object()) return ParseError{"fields is not an object", message.id};
        for (const auto& [key, value] : fields->items()) {
            auto field = scalar_text(value);
            if (!field) return ParseError{"field " + key + " is neither text nor number", message.id};
            message.fields.emplace(key, std::move(*field));
        }
    }
    if (const auto cause = doc.find("cause"); cause != doc.end()) {
        if (!cause->is_number_integer() || *cause < 0 || *cause > 255)
            return ParseError{"cause is not a number from 0 to 255", message.id};
        message.cause = cause->get<int>();
    }
    if (const auto sdp = doc.find("sdp"); sdp != doc.end()) {
        if (!sdp->is_string()) return ParseError{"sdp is not text", message.id};
        message.sdp = sdp->get<std::string>();
    }
    return message;
}

std::string encode_line(const ViewerMessage& message) {
    nlohmann::ordered_json doc;
    doc["type"] = name(message.type);
    doc["id"] = message.id;
    doc["fields"] = json::object();
    for (const auto& [key, value] : message.fields) doc["fields"][key] = value;
    if (message.cause) doc["cause"] = *message.cause;
    if (message.sdp) doc["sdp"] = *message.sdp;
    return doc.dump() + "\n";
}

std::optional<std::string> LineDecoder::next(std::string_view& bytes) {
    if (too_long_) return std::nullopt;
    const std::size_t end = bytes.find('\n');
    const std::size_t taken = end == std::string_view::npos ? bytes.size() : end;
    if (buffer_.size() + taken > kMaxMessageSize) {
        too_long_ = true;
        std::string().swap(buffer_);
        return std::nullopt;
    }
    // Doubled, the buffer would take up to twice the size of a message.
    if (buffer_.size() + taken > kMaxMessageSize / 2) buffer_.reserve(kMaxMessageSize);
    buffer_.append(bytes.substr(0, taken));
    bytes.remove_prefix(end == std::string_view::npos ? taken : taken + 1);
    if (end == std::string_view::npos) return std::nullopt;
    return std::exchange(buffer_, std::string());
}

std::string encode_frame(const NodeMessage& message) {
    std::string body;
    body.push_back(static_cast<char>(entry_of(message.type).code));
    for (int k = 7; k >= 0; --k) body.push_back(static_cast<char>(message.session >> (8 * k)));
    for (const auto& [code, value] : message.parameters) {
        body.push_back(static_cast<char>(code));
        append_u16(body, value.size());
        body += value;
    }
    if (message.cause) {
        body.push_back(static_cast<char>(ParameterCode::cause));
        append_u16(body, 1);
        body.push_back(static_cast<char>(*message.cause));
    }
    std::string out;
    append_u16(out, body.size());
    return out + body;
}

std::optional<FrameDecoder::Result> FrameDecoder::next(std::string_view& bytes) {
    const auto fill_to = [&](std::size_t size_wanted) {
        const std::size_t n = std::min(bytes.size(), size_wanted - std::min(size_wanted, buffer_.size()));
        buffer_.append(bytes.substr(0, n));
        bytes.remove_prefix(n);
        return buffer_.size() >= size_wanted;
    };
    if (!fill_to(kHeaderSize - 1)) return std::nullopt;
    const std::size_t size = read_u16(buffer_, 0);
    if (size < kMinBodySize || size + kHeaderSize - 1 > kMaxMessageSize)
        return ParseError{"a message of " + std::to_string(size) + " bytes", ""};
    if (!fill_to(kHeaderSize - 1 + size)) return std::nullopt;
    const std::string frame = std::exchange(buffer_, std::string());
    return decode_frame(std::string_view(frame).substr(kHeaderSize - 1));
}

bool is_utf8(std::string_view text) {
    for (std::size_t k = 0; k < text.size();) {
        const auto at = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
        const unsigned char first = at(k);
        if (first < 0x80) {
            k += 1;
            continue;
        }
        const std::size_t continuation_bytes = first >= 0xc2 && first <= 0xdf   ? 1
                                               : first >= 0xe0 && first <= 0xef ? 2
                                               : first >= 0xf0 && first <= 0xf4 ? 3
                                                                                : 0;
        if (continuation_bytes == 0 || text.size() - k <= continuation_bytes) return false;
        for (std::size_t i = k + 1; i <= k + continuation_bytes; ++i)
            if ((at(i) & 0xc0) != 0x80) return false;
        const unsigned char second = at(k + 1);
        if ((first == 0xe0 && second < 0xa0) || (first == 0xed && second > 0x9f) ||
            (first == 0xf0 && second < 0x90) || (first == 0xf4 && second > 0x8f))
            return false;
        k += continuation_bytes + 1;
    }
    return true;
}

std::optional<std::map<std::string, std::string>> parse_pairs(std::string_view text) {
    std::map<std::string, std::string> out;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(';'), text.size());
        const std::string_view pair = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t colon = pair.find(':');
        if (colon == std::string_view::npos || colon == 0) return std::nullopt;
        if (!out.emplace(pair.substr(0, colon), pair.substr(colon + 1)).second) return std::nullopt;
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
