// HTTP/1.1 messages as values (RFC 9110, RFC 9112), percent-encoding, query strings and CORS. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ivyfield::http {

// ASCII comparison without regard to case, as for header names (RFC 9110, 5.1).
bool equals_ignoring_case(std::string_view a, std::string_view b);

// The header fields of a message, in order. Names are compared without regard to case.
class Headers {
  public:
    using Field = std::pair<std::string, std::string>;
    void add(std::string name, std::string value);
    void set(std::string_view name, std::string value);  // replaces all fields of that name
    // The value of the first field of that name.
    std::optional<std::string_view> get(std::string_view name) const;
    // The values of all fields of that name, joined by ", " (RFC 9110, 5.3); empty if there is none.
    std::string get_all(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    // True if the fields of that name, read as comma-separated lists, contain the token.
    bool has_token(std::string_view name, std::string_view token) const;
    const std::vector<Field>& fields() const { return fields_; }
    std::vector<Field>& fields() { return fields_; }

  private:
    std::vector<Field> fields_;
};

// A request.
struct Request {
    std::string method = "GET";
    std::string target = "/";  // origin form: path and query, still percent-encoded
    Headers headers;
    std::string body;

    std::string_view path() const;   // of the target, still percent-encoded
    std::string_view query() const;  // without '?', still percent-encoded; empty if there is none
};

// A response.
struct Response {
    int status = 200;
    Headers headers;
    std::string body;
};

const char* reason_phrase(int status);  // "Status" for one that is not known

// Percent-decoding (RFC 3986, 2.1). Returns nothing if a '%' is not followed by two hexadecimal digits.
std::optional<std::string> percent_decode(std::string_view text, bool plus_is_space = false);
std::string percent_encode(std::string_view text);  // encodes all but unreserved characters

// The arguments of a query string in order, decoded; arguments that can't be decoded are omitted.
std::vector<std::pair<std::string, std::string>> query_arguments(std::string_view query);
// The first argument of that name.
std::optional<std::string> query_argument(std::string_view query, std::string_view name);

// Cross-origin requests of browsers (Fetch standard, "CORS protocol"). A preflight request asks whether a
// request with certain headers may be sent; the response says what is allowed and for how long, and has no
// other effect.
bool is_preflight(const Request& request);
// The response to a preflight: any origin may send requests with `headers`; the browser may cache this for
// `max_age_s` seconds.
Response preflight_response(std::string_view headers, int max_age_s);
// Adds the headers that let a page of any origin read the response and its headers listed in `exposed`.
void allow_any_origin(Headers& headers, std::string_view exposed);

// A text/plain response with one line of text.
Response text_response(int status, std::string_view text);

}  // namespace ivyfield::http
