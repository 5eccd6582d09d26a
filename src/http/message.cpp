#include "http/message.hpp"

#include <algorithm>

namespace ivyfield::http {

namespace {

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }
// The value of a hexadecimal digit; -1 if `c` is none.
int hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    c = to_lower(c);
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}
std::string_view trim(std::string_view s) {
    while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
    while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
    return s;
}

}  // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                              [](char x, char y) { return to_lower(x) == to_lower(y); });
}

void Headers::add(std::string name, std::string value) {
    fields_.emplace_back(std::move(name), std::move(value));
}
void Headers::set(std::string_view name, std::string value) {
    fields_.erase(std::remove_if(fields_.begin(), fields_.end(),
                                 [&](const Field& f) { return equals_ignoring_case(f.first, name); }),
                  fields_.end());
    add(std::string(name), std::move(value));
}
std::optional<std::string_view> Headers::get(std::string_view name) const {
    for (const Field& f : fields_)
        if (equals_ignoring_case(f.first, name)) return f.second;
    return std::nullopt;
}
std::string Headers::get_all(std::string_view name) const {
    std::string out;
    for (const Field& f : fields_) {
        if (!equals_ignoring_case(f.first, name) || f.second.empty()) continue;
        if (!out.empty()) out += ", ";
        out += f.second;
    }
    return out;
}
std::size_t Headers::count(std::string_view name) const {
    return std::count_if(fields_.begin(), fields_.end(),
                         [&](const Field& f) { return equals_ignoring_case(f.first, name); });
}
bool Headers::has_token(std::string_view name, std::string_view token) const {
    for (const Field& f : fields_) {
        if (!equals_ignoring_case(f.first, name)) continue;
        std::string_view rest = f.second;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            if (equals_ignoring_case(trim(rest.substr(0, comma)), token)) return true;
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return false;
}

std::string_view Request::path() const {
    const std::string_view t = target;
    return t.substr(0, t.find_first_of("?#"));
}
std::string_view Request::query() const {
    const std::string_view t = std::string_view(target).substr(0, target.find('#'));
    const std::size_t question_mark = t.find('?');
    return question_mark == std::string_view::npos ? std::string_view{} : t.substr(question_mark + 1);
}

const char* reason_phrase(int status) {
    switch (status) {
        case 100:
            return "Continue";
        case 101:
            return "Switching Protocols";
        case 200:
            return "OK";
        case 201:
            return "Created";
        case 202:
            return "Accepted";
        case 204:
            return "No Content";
        case 302:
            return "Found";
        case 304:
            return "Not Modified";
        case 307:
            return "Temporary Redirect";
        case 400:
            return "Bad Request";
        case 403:
            return "Forbidden";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 409:
            return "Conflict";
        case 410:
            return "Gone";
        case 411:
            return "Length Required";
        case 413:
            return "Content Too Large";
        case 414:
            return "URI Too Long";
        case 417:
            return "Expectation Failed";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 500:
            return "Internal Server Error";
        case 501:
            return "Not Implemented";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        case 505:
            return "HTTP Version Not Supported";
        default:
            return "Status";
    }
}

std::optional<std::string> percent_decode(std::string_view text, bool plus_is_space) {
    std::string out;
    out.reserve(text.size());
    for (std::size_t k = 0; k < text.size(); ++k) {
        if (text[k] == '%') {
            if (k + 2 >= text.size()) return std::nullopt;
            const int high = hex_digit(text[k + 1]), low = hex_digit(text[k + 2]);
            if (high < 0 || low < 0) return std::nullopt;
            out.push_back(static_cast<char>(high * 16 + low));
            k += 2;
        } else {
            out.push_back(plus_is_space && text[k] == '+' ? ' ' : text[k]);
        }
    }
    return out;
}
std::string percent_encode(std::string_view text) {
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const bool unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                                c == '-' || c == '.' || c == '_' || c == '~';
        if (unreserved) {
            out.push_back(c);
        } else {
            const auto byte = static_cast<unsigned char>(c);
            out.push_back('%'), out.push_back(digits[byte >> 4]), out.push_back(digits[byte & 15]);
        }
    }
    return out;
}

std::vector<std::pair<std::string, std::string>> query_arguments(std::string_view query) {
    std::vector<std::pair<std::string, std::string>> out;
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view argument = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const std::size_t equals = std::min(argument.find('='), argument.size());
        auto key = percent_decode(argument.substr(0, equals), true);
        // A '+' in a value is not decoded to a space: CMCD payloads are percent-encoded, not form-encoded.
        auto value = percent_decode(argument.substr(std::min(equals + 1, argument.size())));
        if (key && value && !key->empty()) out.emplace_back(std::move(*key), std::move(*value));
    }
    return out;
}
std::optional<std::string> query_argument(std::string_view query, std::string_view name) {
    for (auto& [key, value] : query_arguments(query))
        if (key == name) return value;
    return std::nullopt;
}

bool is_preflight(const Request& request) {
    return request.method == "OPTIONS" && request.headers.get("Origin") &&
           request.headers.get("Access-Control-Request-Method");
}
Response preflight_response(std::string_view headers, int max_age_s) {
    Response response;
    response.status = 204;
    response.headers.add("Access-Control-Allow-Origin", "*");
    response.headers.add("Access-Control-Allow-Methods", "GET, HEAD, OPTIONS");
    response.headers.add("Access-Control-Allow-Headers", std::string(headers));
    response.headers.add("Access-Control-Max-Age", std::to_string(max_age_s));
    response.headers.add("Vary", "Access-Control-Request-Headers");
    return response;
}
void allow_any_origin(Headers& headers, std::string_view exposed) {
    headers.set("Access-Control-Allow-Origin", "*");
    headers.set("Access-Control-Expose-Headers", std::string(exposed));
}

Response text_response(int status, std::string_view text) {
    Response response;
    response.status = status;
    response.headers.add("Content-Type", "text/plain; charset=utf-8");
    response.body = std::string(text) + "\n";
    return response;
}

}  // namespace ivyfield::http
