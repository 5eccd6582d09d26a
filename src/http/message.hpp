// HTTP/1.1 messages as values (RFC 9110, RFC 9112). No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ivyfield::http {

bool equals_ignoring_case(std::string_view a,
                          std::string_view b);  // header names, case ignored (RFC 9110, 5.1)

class Headers {
  public:
    using Field = std::pair<std::string, std::string>;
    void add(std::string name, std::string value);
    void set(std::string_view name, std::string value);  // replaces all of that name
    // The first of that name, or nothing.
    std::optional<std::string_view> get(std::string_view name) const;
    // All of that name as one list, joined by ", " (RFC 9110, 5.3); empty when there is none.
    std::string get_all(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    bool has_token(std::string_view name, std::string_view token) const;  // in a comma-separated list
    const std::vector<Field>& fields() const { return fields_; }
    std::vector<Field>& fields() { return fields_; }

  private:
    std::vector<Field> fields_;
};

struct Request {
    std::string method = "GET";
    std::string target = "/";  // origin form: path and query, as on the wire
    Headers headers;
    std::string body;

    std::string_view path() const;   // as on the wire, without the query
    std::string_view query() const;  // without '?'; empty when there is none
};

struct Response {
    int status = 200;
    Headers headers;
    std::string body;
};

const char* reason_phrase(int status);

// Percent-decoding (RFC 3986, 2.1). Nothing when a '%' is not followed by two hexadecimal digits.
std::optional<std::string> percent_decode(std::string_view text, bool plus_is_space = false);
std::string percent_encode(std::string_view text);  // all but unreserved characters

// The arguments of a query in order, decoded; an argument that can't be decoded is left out.
std::vector<std::pair<std::string, std::string>> query_arguments(std::string_view query);
std::optional<std::string> query_argument(std::string_view query, std::string_view name);

// Cross-origin requests of browsers (Fetch standard, "CORS protocol"). A preflight asks whether a request
// with certain headers may be sent; it is answered with what is allowed, for how long, and does nothing else.
bool is_preflight(const Request& request);
// The answer: `headers` may be sent, any origin may ask, and need not ask again for `max_age_s` seconds.
Response preflight_response(std::string_view headers, int max_age_s);
// What an answer must say for a page of any origin to read it and the headers named.
void allow_any_origin(Headers& headers, std::string_view exposed);

// A plain reply with a line of text.
Response text_response(int status, std::string_view text);

}  // namespace ivyfield::http
