// HTTP/1.1 framing on http-parser, with the limits and checks that it leaves to its user. No I/O.
//
// What is refused though http-parser lets it pass: line ends of a bare LF or a CR alone, folded headers,
// both Content-Length and Transfer-Encoding, Content-Length more than once (even alike), a transfer coding
// other than one "chunked", no Host or several in HTTP/1.1, whitespace before a header's colon, control
// characters, chunk extensions and trailers beyond a length. Each is a way to make two readers of one
// connection disagree on where a request ends (RFC 9112, 11.2).
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/message.hpp"

namespace ivyfield::http {

struct ParseLimits {
    std::size_t max_line_bytes = 8 * 1024;   // request or status line
    std::size_t max_head_bytes = 16 * 1024;  // all headers with the line
    std::size_t max_fields = 100;            // headers in number
    std::size_t max_body_bytes =
        1024 * 1024;  // content, after chunks are put together; ignored with a body sink
    std::size_t max_chunk_line_bytes = 256;  // a chunk's size with its extensions
};

struct ParseError {
    int status = 400;  // what a server answers
    std::string reason;
};

// Reads one message after the other from one side of a connection.
class Parser {
  public:
    enum class Kind { request, response };
    enum class Status {
        need_more,  // all bytes taken, the message is not whole
        message,    // a message is whole; bytes behind it are left
        error       // see error(); the connection is of no more use
    };
    Parser(Kind kind, const ParseLimits& limits);
    ~Parser();
    Parser(const Parser&) = delete;
    Parser& operator=(const Parser&) = delete;

    // Takes bytes from the front of `bytes` until a message is whole.
    Status feed(std::string_view& bytes);
    // The peer ends its side. message: a response that ends with the connection is whole. need_more: it ended
    // between two messages. error: inside one.
    Status finish();

    // Responses only: the request was HEAD, so no body follows whatever the headers say.
    void expect_no_body(bool on);
    // With a sink the body is handed on in pieces, not kept and not limited; a call for the head comes first.
    void set_body_sink(std::function<void(std::string_view)> sink) { sink_ = std::move(sink); }
    void set_head_sink(std::function<void()> sink) { head_sink_ = std::move(sink); }

    const ParseError& error() const { return error_; }
    bool idle() const;     // between two messages, nothing read of the next
    bool in_body() const;  // the head is read
    bool keep_alive() const { return keep_alive_; }
    bool expects_continue() const;

    // Filled once the head is read.
    Request& request() { return request_; }
    Response& response() { return response_; }
    int minor_version() const { return minor_; }

  private:
    struct Impl;
    friend struct Impl;
    Status fail(int status, std::string why);
    bool check_head(std::string_view head);
    bool check_fields();

    Kind kind_;
    ParseLimits limits_;
    std::unique_ptr<Impl> impl_;
    Request request_;
    Response response_;
    ParseError error_;
    std::function<void(std::string_view)> sink_;
    std::function<void()> head_sink_;
    std::string head_;
    bool keep_alive_ = true, failed_ = false;
    int minor_ = 1;
};

}  // namespace ivyfield::http
