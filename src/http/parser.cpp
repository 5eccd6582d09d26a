#include "http/parser.hpp"

#include <http_parser.h>

#include <algorithm>

namespace ivyfield::http {

namespace {

// Validates the framing of a chunked body in parallel with http-parser, which is more lenient: only CRLF line
// ends and lines within the limits are accepted.
class ChunkValidator {
  public:
    void reset() {
        state_ = State::size, remaining_ = 0, line_bytes_ = 0, size_digits_ = 0, trailer_bytes_ = 0;
    }
    // Returns what is wrong, or null if the bytes are valid so far.
    const char* check(std::string_view bytes, const ParseLimits& limits) {
        for (std::size_t k = 0; k < bytes.size(); ++k) {
            const char c = bytes[k];
            switch (state_) {
                case State::size:
                case State::extension:
                    if (++line_bytes_ > limits.max_chunk_line_bytes) return "a chunk's line is too long";
                    if (c == '\r') {
                        if (size_digits_ == 0) return "a chunk has no size";
                        state_ = State::size_lf;
                    } else if (c == '\n') {
                        return "a chunk's line ends with a bare LF";
                    } else if (state_ == State::size && c != ';') {
                        const int d = c >= '0' && c <= '9'   ? c - '0'
                                      : c >= 'a' && c <= 'f' ? c - 'a' + 10
                                      : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                                             : -1;
                        if (d < 0 || ++size_digits_ > 15) return "a chunk's size is not a hexadecimal number";
                        remaining_ = remaining_ * 16 + static_cast<std::uint64_t>(d);
                    } else {
                        state_ = State::extension;
                    }
                    break;
                case State::size_lf:
                    if (c != '\n') return "a chunk's line has a CR without LF";
                    is_last_chunk_ = remaining_ == 0;
                    state_ = is_last_chunk_ ? State::trailer : State::data;
                    line_bytes_ = 0;
                    break;
                case State::data: {
                    const std::uint64_t n = std::min<std::uint64_t>(remaining_, bytes.size() - k);
                    remaining_ -= n;
                    k += static_cast<std::size_t>(n) - 1;
                    if (remaining_ == 0) state_ = State::data_cr;
                    break;
                }
                case State::data_cr:
                    if (c != '\r') return "a chunk is longer than its size";
                    state_ = State::data_lf;
                    break;
                case State::data_lf:
                    if (c != '\n') return "a chunk is longer than its size";
                    state_ = State::size, remaining_ = 0, line_bytes_ = 0, size_digits_ = 0;
                    break;
                case State::trailer:
                    if (++trailer_bytes_ > limits.max_head_bytes) return "trailers are too long";
                    if (c == '\r') state_ = State::trailer_lf;
                    else if (c == '\n') return "a trailer ends with a bare LF";
                    else line_bytes_ += 1;
                    break;
                case State::trailer_lf:
                    if (c != '\n') return "a trailer has a CR without LF";
                    // End of the message; the rest belongs to the next one.
                    if (line_bytes_ == 0) return nullptr;
                    line_bytes_ = 0;
                    state_ = State::trailer;
                    break;
            }
        }
        return nullptr;
    }

  private:
    enum class State { size, extension, size_lf, data, data_cr, data_lf, trailer, trailer_lf };
    State state_ = State::size;
    std::uint64_t remaining_ = 0;
    std::size_t line_bytes_ = 0, size_digits_ = 0, trailer_bytes_ = 0;
    bool is_last_chunk_ = false;
};

// A character of a header's name (tchar in RFC 9110, 5.6.2).
bool is_name_char(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

}  // namespace

// The state of http-parser and its callbacks.
struct Parser::Impl {
    enum class Phase { head, body, failed };
    explicit Impl(Parser& owning_parser) : owner(owning_parser) {}

    static Impl& of(http_parser* p) { return *static_cast<Impl*>(p->data); }
    static int on_field(http_parser* p, const char* at, std::size_t n) {
        Impl& impl = of(p);
        // Trailer fields are parsed and discarded: nothing here depends on them.
        if (impl.in_trailers) return 0;
        if (impl.after_value) impl.headers().add("", "");
        impl.after_value = false;
        impl.headers().fields().back().first.append(at, n);
        return 0;
    }
    static int on_value(http_parser* p, const char* at, std::size_t n) {
        Impl& impl = of(p);
        if (impl.in_trailers) return 0;
        impl.after_value = true;
        impl.headers().fields().back().second.append(at, n);
        return 0;
    }
    static int on_url(http_parser* p, const char* at, std::size_t n) {
        of(p).owner.request_.target.append(at, n);
        return 0;
    }
    static int on_headers_complete(http_parser* p) {
        Impl& impl = of(p);
        impl.in_trailers = true;
        impl.owner.minor_version_ = p->http_minor;
        impl.owner.keep_alive_ = http_should_keep_alive(p) != 0;
        if (impl.owner.kind_ == Kind::request)
            impl.owner.request_.method = http_method_str(static_cast<http_method>(p->method));
        else impl.owner.response_.status = p->status_code;
        if (!impl.owner.check_fields()) return -1;
        if (p->upgrade) impl.upgrade = true;
        if (impl.owner.head_sink_) impl.owner.head_sink_();
        // 1 tells http-parser that no body follows (the response to HEAD). Upgrades are not supported: the
        // message is parsed like any other.
        if (impl.owner.kind_ == Kind::response && impl.no_body) return 1;
        return 0;
    }
    static int on_body(http_parser* p, const char* at, std::size_t n) {
        Impl& impl = of(p);
        if (impl.owner.body_sink_) {
            impl.owner.body_sink_({at, n});
            return 0;
        }
        std::string& body =
            impl.owner.kind_ == Kind::request ? impl.owner.request_.body : impl.owner.response_.body;
        if (body.size() + n > impl.owner.limits_.max_body_bytes) {
            impl.owner.fail(413, "the body is longer than " +
                                     std::to_string(impl.owner.limits_.max_body_bytes) + " bytes");
            return -1;
        }
        body.append(at, n);
        return 0;
    }
    static int on_message_complete(http_parser* p) {
        of(p).complete = true;
        http_parser_pause(p, 1);
        return 0;
    }
    static const http_parser_settings& settings() {
        static const http_parser_settings table = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_header_field = on_field;
            s.on_header_value = on_value;
            s.on_url = on_url;
            s.on_headers_complete = on_headers_complete;
            s.on_body = on_body;
            s.on_message_complete = on_message_complete;
            return s;
        }();
        return table;
    }
    Headers& headers() {
        return owner.kind_ == Kind::request ? owner.request_.headers : owner.response_.headers;
    }
    void start_message() {
        http_parser_init(&parser, owner.kind_ == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        phase = Phase::head;
        after_value = true;
        complete = in_trailers = upgrade = chunked = false;
        owner.head_.clear();
        owner.request_ = Request{};
        owner.request_.target.clear();
        owner.response_ = Response{};
    }

    Parser& owner;
    http_parser parser{};
    Phase phase = Phase::head;
    ChunkValidator chunk_validator;
    bool after_value = true, complete = false, in_trailers = false, no_body = false, upgrade = false;
    bool chunked = false;
};

Parser::Parser(Kind kind, const ParseLimits& limits)
    : kind_(kind), limits_(limits), impl_(std::make_unique<Impl>(*this)) {
    impl_->start_message();
    // The limits of this parser are stricter; the library's limit is global to the process.
    http_parser_set_max_header_size(0xffffff);
}
Parser::~Parser() = default;

void Parser::expect_no_body(bool on) { impl_->no_body = on; }
bool Parser::is_idle() const { return impl_->phase == Impl::Phase::head && head_.empty(); }
bool Parser::is_in_body() const { return impl_->phase == Impl::Phase::body; }
bool Parser::expects_continue() const {
    return kind_ == Kind::request && minor_version_ >= 1 &&
           request_.headers.has_token("Expect", "100-continue");
}

std::size_t Parser::buffered_bytes() const {
    const auto message_bytes = [](const Headers& headers, const std::string& body) {
        std::size_t bytes = body.capacity();
        for (const auto& field : headers.fields())
            bytes += sizeof field + field.first.size() + field.second.size();
        return bytes;
    };
    return head_.capacity() + request_.target.capacity() + message_bytes(request_.headers, request_.body) +
           message_bytes(response_.headers, response_.body);
}

Parser::Status Parser::fail(int status, std::string reason) {
    if (!failed_) error_ = {status, std::move(reason)};
    failed_ = true;
    impl_->phase = Impl::Phase::failed;
    return Status::error;
}

// Checks the raw bytes of the head: line ends, lengths of lines, header names.
bool Parser::check_head(std::string_view head) {
    bool first = true;
    std::size_t fields = 0;
    while (!head.empty()) {
        const std::size_t end = head.find("\r\n");
        const std::string_view line = head.substr(0, end);
        head.remove_prefix(end + 2);
        for (const char c : line) {
            const auto byte = static_cast<unsigned char>(c);
            if (c == '\n') return fail(400, "a line ends with a bare LF"), false;
            if (c == '\r') return fail(400, "a CR stands alone in a line"), false;
            if ((byte < 0x20 && c != '\t') || byte == 0x7f)
                return fail(400, "a control character in the head"), false;
        }
        if (first) {
            first = false;
            if (line.size() > limits_.max_line_bytes) return fail(414, "the first line is too long"), false;
            continue;
        }
        if (line.empty()) continue;
        if (line[0] == ' ' || line[0] == '\t') return fail(400, "a folded header line"), false;
        const std::size_t colon = line.find(':');
        if (colon == 0 || colon == std::string_view::npos)
            return fail(400, "a header line without a name"), false;
        if (!std::all_of(line.begin(), line.begin() + colon, is_name_char))
            return fail(400, "a header's name has a character that names don't have"), false;
        if (++fields > limits_.max_fields) return fail(431, "too many headers"), false;
    }
    return true;
}

// Checks the parsed headers: the fields that determine where the message ends must be unambiguous.
bool Parser::check_fields() {
    const Headers& h = impl_->headers();
    const std::size_t content_lengths = h.count("Content-Length"),
                      transfer_codings = h.count("Transfer-Encoding");
    if (content_lengths > 1) return fail(400, "Content-Length more than once"), false;
    if (content_lengths && transfer_codings)
        return fail(400, "both Content-Length and Transfer-Encoding"), false;
    if (content_lengths) {
        const std::string_view value = *h.get("Content-Length");
        if (value.empty() ||
            !std::all_of(value.begin(), value.end(), [](char c) { return c >= '0' && c <= '9'; }))
            return fail(400, "Content-Length is not a plain number"), false;
        if (!body_sink_ && !impl_->no_body &&
            (value.size() > 15 || std::stoull(std::string(value)) > limits_.max_body_bytes))
            return fail(413, "the body is longer than " + std::to_string(limits_.max_body_bytes) + " bytes"),
                   false;
    }
    if (transfer_codings > 1 ||
        (transfer_codings && !equals_ignoring_case(*h.get("Transfer-Encoding"), "chunked")))
        return fail(kind_ == Kind::request ? 501 : 400, "a transfer coding other than one \"chunked\""),
               false;
    if (transfer_codings && minor_version_ == 0) return fail(400, "Transfer-Encoding in HTTP/1.0"), false;
    impl_->chunked = transfer_codings > 0;
    if (impl_->parser.http_major != 1) return fail(505, "not HTTP/1.0 or HTTP/1.1"), false;
    if (kind_ == Kind::request) {
        const std::size_t hosts = h.count("Host");
        if (hosts > 1 || (hosts == 0 && minor_version_ >= 1))
            return fail(400, hosts ? "Host more than once" : "no Host"), false;
    }
    return true;
}

Parser::Status Parser::feed(std::string_view& bytes) {
    if (failed_) return Status::error;
    if (impl_->complete) impl_->start_message();
    const auto execute = [&](std::string_view part) {
        const std::size_t n =
            http_parser_execute(&impl_->parser, &Impl::settings(), part.data(), part.size());
        const auto code = static_cast<http_errno>(impl_->parser.http_errno);
        if (failed_) return n;
        if (impl_->complete) return n;
        if (code != HPE_OK && code != HPE_PAUSED)
            fail(400, std::string("malformed: ") + http_errno_description(code));
        else if (n < part.size() && !impl_->upgrade) fail(400, "malformed: bytes that fit nothing");
        return n;
    };
    if (impl_->phase == Impl::Phase::head) {
        std::size_t old_size = head_.size();
        const std::size_t taken =
            std::min(bytes.size(), limits_.max_head_bytes + 1 - std::min(limits_.max_head_bytes, old_size));
        head_.append(bytes.substr(0, taken));
        // A client may send empty lines before a request (RFC 9112, 2.2).
        std::size_t stripped = 0;
        while (head_.compare(stripped, 2, "\r\n") == 0) stripped += 2;
        head_.erase(0, stripped);
        const std::size_t search_from = old_size < stripped + 3 ? 0 : old_size - stripped - 3;
        const std::size_t end = head_.find("\r\n\r\n", search_from);
        if (std::min(head_.find("\r\n"), head_.size()) > limits_.max_line_bytes)
            return fail(414, "the first line is too long");
        if (end == std::string::npos) {
            // With a bare LF the end of the head would never be found.
            for (std::size_t lf = head_.find('\n', search_from); lf != std::string::npos;
                 lf = head_.find('\n', lf + 1))
                if (lf == 0 || head_[lf - 1] != '\r') return fail(400, "a line ends with a bare LF");
            if (head_.size() >= limits_.max_head_bytes) return fail(431, "the head is too long");
            bytes.remove_prefix(taken);
            return Status::need_more;
        }
        bytes.remove_prefix(taken - (head_.size() - (end + 4)));
        head_.resize(end + 4);
        if (head_.size() > limits_.max_head_bytes) return fail(431, "the head is too long");
        if (!check_head(head_)) return Status::error;
        const std::string head = std::move(head_);
        head_.clear();
        impl_->phase = Impl::Phase::body;
        execute(head);
        if (failed_) return Status::error;
        impl_->chunk_validator.reset();
    }
    if (!impl_->complete && !bytes.empty()) {
        if (impl_->chunked)
            if (const char* reason = impl_->chunk_validator.check(bytes, limits_)) return fail(400, reason);
        const std::size_t n = execute(bytes);
        if (failed_) return Status::error;
        bytes.remove_prefix(n);
    }
    if (!impl_->complete) return Status::need_more;
    impl_->phase = Impl::Phase::head;
    return Status::message;
}

Parser::Status Parser::finish() {
    if (failed_) return Status::error;
    if (is_idle() || (impl_->complete && head_.empty())) return Status::need_more;
    if (impl_->phase == Impl::Phase::head) return fail(400, "the connection ended inside a head");
    http_parser_execute(&impl_->parser, &Impl::settings(), nullptr, 0);
    if (!impl_->complete) return fail(400, "the connection ended inside a message");
    keep_alive_ = false;
    impl_->phase = Impl::Phase::head;
    return Status::message;
}

}  // namespace ivyfield::http
