// HTTP/1.1 framing on http-parser, with the limits and checks that the library leaves to its user. No I/O.
//
// Rejected here although http-parser accepts it: line ends of a bare LF or a lone CR, folded headers, both
// Content-Length and Transfer-Encoding, Content-Length more than once (even with the same value), a transfer
// coding other than a single "chunked", no Host or several in HTTP/1.1, whitespace before a header's colon,
// control characters, and chunk extensions and trailers beyond a length. Each of these can make two parsers
// of one connection disagree on where a request ends (request smuggling, RFC 9112, 11.2).
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/message.hpp"

namespace ivyfield::http {

// Limits on the parts of a message.
struct ParseLimits {
    std::size_t max_line_bytes = 8 * 1024;     // request line or status line
    std::size_t max_head_bytes = 16 * 1024;    // that line and all headers
    std::size_t max_fields = 100;              // number of headers
    std::size_t max_body_bytes = 1024 * 1024;  // decoded body, without chunk framing; not with a body sink
    std::size_t max_chunk_line_bytes = 256;    // a chunk's size with its extensions
};

// Why a message was rejected.
struct ParseError {
    int status = 400;    // the status of a server's response to it
    std::string reason;  // the text of that response
};

// Parses the successive messages of one direction of a connection.
class Parser {
  public:
    enum class Kind { request, response };
    enum class Status {
        need_more,  // all bytes consumed, the message is incomplete
        message,    // a message is complete; bytes after it are not consumed
        error       // see error(); the connection can't be used any more
    };
    Parser(Kind kind, const ParseLimits& limits);
    ~Parser();
    Parser(const Parser&) = delete;
    Parser& operator=(const Parser&) = delete;

    // Consumes bytes from the front of `bytes` until a message is complete.
    Status feed(std::string_view& bytes);
    // The peer has ended its direction. Returns message if that completes a response, need_more if it
    // happened between two messages, and error if it happened inside one.
    Status finish();

    // For responses: the request was HEAD, so no body follows regardless of the headers.
    void expect_no_body(bool on);
    // With a body sink, the body is passed on in pieces and neither stored nor limited. The head sink is
    // called before.
    void set_body_sink(std::function<void(std::string_view)> sink) { body_sink_ = std::move(sink); }
    void set_head_sink(std::function<void()> sink) { head_sink_ = std::move(sink); }

    const ParseError& error() const { return error_; }
    bool is_idle() const;     // between two messages, nothing of the next one read
    bool is_in_body() const;  // the head is complete
    bool keep_alive() const { return keep_alive_; }
    bool expects_continue() const;
    // Memory held for the message that is being parsed, in bytes.
    std::size_t buffered_bytes() const;

    // Valid once the head is complete.
    Request& request() { return request_; }
    Response& response() { return response_; }
    int minor_version() const { return minor_version_; }

  private:
    struct Impl;
    friend struct Impl;
    Status fail(int status, std::string reason);
    bool check_head(std::string_view head);
    bool check_fields();

    Kind kind_;
    ParseLimits limits_;
    std::unique_ptr<Impl> impl_;
    Request request_;
    Response response_;
    ParseError error_;
    std::function<void(std::string_view)> body_sink_;
    std::function<void()> head_sink_;
    std::string head_;
    bool keep_alive_ = true, failed_ = false;
    int minor_version_ = 1;
};

}  // namespace ivyfield::http
