// Codec of the users' platform protocol in both of its forms: JSON lines between viewers and directors,
// binary frames between directors and media nodes. It only converts bytes to messages, or to an error with a
// reason, and messages to bytes; it does not depend on the director.
//
//   line    one JSON object and a line feed: type, id (16 hex digits), fields, cause, sdp
//   frame   length:2 type:1 session:8 parameters      the length counts all that follows it; big-endian
//           parameter = code:1 length:2 value         the cause (61) is one byte, all others are text
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ivyfield::relay {

constexpr std::size_t kMaxMessageSize = 16 * 1024;  // in bytes; the platform's limit for both forms

enum class MessageType { setup, progress, answer, release, released, ping, pong, note, move, rate };
const char* name(MessageType type);  // as it stands in a line

// Values of `cause` that the protocol defines.
constexpr int kPingPlain = 0, kPingWithReport = 1;  // of a ping: whether a load report is requested
constexpr int kPongFailed = 0, kPongPassed = 1;     // of a pong: the result of the health check
// Of a release. kCauseGivenUp is also the cause of a session that reached its normal end.
constexpr int kCauseGivenUp = 16, kCauseCancelled = 31, kCauseFull = 34, kCauseReset = 41, kCauseBusy = 42,
              kCauseError = 47, kCauseNotSent = 102;

using SessionNumber = std::uint64_t;
// 16 hex digits, for example "9b1f03aa5c7e2d41". Parsing accepts both cases, formatting writes lower case.
std::string to_hex(SessionNumber number);
std::optional<SessionNumber> parse_hex(std::string_view text);

// ---- Viewers ----

// A message between a viewer and a director, in the line form.
struct ViewerMessage {
    MessageType type = MessageType::setup;
    std::string id;  // the 16 hex digits as received
    SessionNumber session = 0;
    std::map<std::string, std::string> fields;  // numbers as text
    std::optional<int> cause;
    std::optional<std::string> sdp;
};
struct ParseError {
    std::string reason;
    std::string id;  // of the faulty message, so that it can be answered; empty if it could not be read
};
using ParsedLine = std::variant<ViewerMessage, ParseError>;

ParsedLine parse_line(std::string_view text);  // without its line feed
// With its line feed. The sdp must be UTF-8 (see is_utf8()).
std::string encode_line(const ViewerMessage& message);

// Splits a stream of bytes into lines. Buffers at most the bytes of one message.
class LineDecoder {
  public:
    // Consumes bytes from the front of `bytes`. Returns a line, without its line feed, when one is complete.
    // A line longer than kMaxMessageSize is an error after which the decoder cannot be used (see
    // is_too_long()).
    std::optional<std::string> next(std::string_view& bytes);
    bool is_too_long() const { return too_long_; }
    bool has_partial() const { return !buffer_.empty(); }
    std::size_t buffered_bytes() const { return buffer_.capacity(); }

  private:
    std::string buffer_;
    bool too_long_ = false;
};

// ---- Media nodes ----

enum class ParameterCode : std::uint8_t {
    cls = 33,
    wait = 35,
    title = 41,
    note = 47,
    report = 51,
    rung = 55,
    note_value = 57,
    cause = 61,
    sdp = 63
};

// A message between a director and a media node, in the binary form.
struct NodeMessage {
    MessageType type = MessageType::setup;
    SessionNumber session = 0;
    std::optional<int> cause;
    std::map<int, std::string> parameters;  // by code, without the cause
    // The parameter's value, or nullptr if the message does not have it.
    const std::string* find(ParameterCode code) const {
        const auto it = parameters.find(static_cast<int>(code));
        return it == parameters.end() ? nullptr : &it->second;
    }
};

std::string encode_frame(const NodeMessage& message);

// Splits a stream of bytes into messages. Buffers at most the bytes of one message. The decoder cannot be
// used after an error.
class FrameDecoder {
  public:
    using Result = std::variant<NodeMessage, ParseError>;
    // Consumes bytes from the front of `bytes`. Returns a message or an error when one is complete.
    std::optional<Result> next(std::string_view& bytes);
    bool has_partial() const { return !buffer_.empty(); }
    std::size_t buffered_bytes() const { return buffer_.capacity(); }

  private:
    std::string buffer_;
};

// Whether the text is valid UTF-8, as JSON requires.
bool is_utf8(std::string_view text);

// Parses "x0:12;x1:40;queue:3" into names and values. Empty result if the text does not have that form or
// repeats a name.
std::optional<std::map<std::string, std::string>> parse_pairs(std::string_view text);
// Parses text that is a finite number and nothing else.
std::optional<double> parse_number(std::string_view text);

}  // namespace ivyfield::relay
