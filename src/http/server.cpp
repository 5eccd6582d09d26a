#include "http/server.hpp"

#include <time.h>

#include <array>
#include <stdexcept>

namespace ivyfield::http {

namespace {

void append_field(std::string& out, const Headers::Field& f) {
    if (f.first.find_first_of("\r\n:") != std::string::npos ||
        f.second.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos)
        throw std::logic_error("invalid character in header " + f.first);
    out.append(f.first).append(": ").append(f.second).append("\r\n");
}

// True if a response with this status may have a body.
bool has_body(int status) { return status >= 200 && status != 204 && status != 304; }

std::string encode_chunk(std::string_view bytes) {
    std::array<char, 24> size{};
    const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string out(size.data(), static_cast<std::size_t>(n));
    return out.append(bytes).append("\r\n");
}

}  // namespace

std::string serialize_head(const Request& request, bool with_length) {
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& f : request.headers.fields()) append_field(out, f);
    if (with_length && (!request.body.empty() || request.method == "POST" || request.method == "PUT"))
        out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return out += "\r\n";
}
std::string serialize_head(int status, const Headers& headers) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) + "\r\n";
    for (const auto& f : headers.fields()) append_field(out, f);
    return out += "\r\n";
}

// One connection of a client: parses requests, keeps their exchanges in order and writes the responses.
class Connection : public io::StreamHandler {
  public:
    Connection(Server& server, std::uint64_t id, std::unique_ptr<io::Stream> stream)
        : server_(server),
          id_(id),
          stream_(std::move(stream)),
          parser_(Parser::Kind::request, server.limits_.parse) {
        stream_->set_handler(this);
        if (server_.paused_) stream_->pause();
        update_timer();
    }
    ~Connection() override {
        detach_all();
        server_.held_bytes_ -= held_bytes_;
    }

    // Writes what the exchanges have buffered, as far as it is their turn.
    void flush() {
        if (flushing_ || closed_) return;
        flushing_ = true;
        bool last_answered = false;
        while (!queue_.empty()) {
            const ExchangePtr front = queue_.front();
            if (!front->buffered_.empty()) {
                stream_->write(front->buffered_);
                front->buffered_.clear();
                last_pending_ = stream_->pending();
                last_progress_ = server_.loop_.now();
            }
            if (!front->finished_) break;
            const bool keep_alive = front->keep_alive_;
            front->connection_ = nullptr;
            queue_.pop_front();
            if (!keep_alive) last_answered = true;
            if (last_answered) break;
        }
        flushing_ = false;
        if (last_answered || (queue_.empty() && (peer_ended_ || server_.draining_) && parser_.is_idle()))
            return close_after_responses();
        if (reading_paused_ && queue_.size() < server_.limits_.max_pipelined_requests &&
            stream_->pending() < server_.limits_.max_unsent_bytes) {
            reading_paused_ = false;
            if (!server_.paused_) stream_->resume();
            if (!unparsed_.empty()) {
                // Not directly: the caller may be an exchange in the middle of its response.
                server_.loop_.post([server = &server_, id = id_, lifetime = server_.lifetime()] {
                    if (lifetime.expired()) return;
                    const auto it = server->connections_.find(id);
                    if (it != server->connections_.end()) it->second->read({});
                });
            }
        }
        update_timer();
    }
    bool exceeds_output_limit() const { return stream_->pending() > server_.limits_.max_unsent_bytes; }
    void reset() { close_now(); }
    void set_paused(bool on) {
        if (on) stream_->pause();
        else if (!reading_paused_) stream_->resume();
    }
    void drain() {
        if (queue_.empty() && parser_.is_idle() && !closing_) close_after_responses();
    }
    std::string_view date() { return server_.date(); }

    void on_data(std::string_view bytes) override {
        if (closing_) return;  // after an error, input is discarded so that the response gets through
        read(bytes);
    }
    void on_end() override {
        peer_ended_ = true;
        if (closing_) return;
        if (!parser_.is_idle() && unparsed_.empty())
            return reject({400, "the connection ended inside a message"});
        if (queue_.empty()) close_after_responses();
    }
    void on_flushed() override {
        last_pending_ = 0;
        last_progress_ = server_.loop_.now();
        if (!queue_.empty()) {
            const ExchangePtr front = queue_.front();
            if (front->on_writable_) front->on_writable_();
        }
        if (!closed_) flush();
    }
    void on_closed(io::CloseStatus) override { close_now(); }

  private:
    // Parses bytes after those left over from earlier, until too many requests are pending.
    void read(std::string_view bytes) {
        std::string joined;
        if (!unparsed_.empty()) {
            joined = std::move(unparsed_);
            unparsed_.clear();
            joined.append(bytes);
            bytes = joined;
        }
        while (!closing_ && !closed_) {
            if (queue_.size() >= server_.limits_.max_pipelined_requests || exceeds_output_limit()) {
                unparsed_.assign(bytes);
                if (!reading_paused_) reading_paused_ = true, stream_->pause();
                break;
            }
            if (bytes.empty()) break;
            if (parser_.is_idle()) message_started_ = server_.loop_.now();
            const bool had_head = parser_.is_in_body();
            const auto status = parser_.feed(bytes);
            if (status == Parser::Status::error) return reject(parser_.error());
            if (status == Parser::Status::need_more) {
                if (!had_head && parser_.is_in_body() && parser_.expects_continue() && queue_.empty())
                    stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
                break;
            }
            accept_request();
        }
        if (closed_) return;
        if (!closing_ && !has_memory()) {
            server_.counts_.over_memory += 1;
            return reject({503, "too much is held for clients"});
        }
        update_timer();
    }
    // Counts what is held for the client, and returns whether that may be held on.
    bool has_memory() {
        server_.held_bytes_ -= held_bytes_;
        held_bytes_ = parser_.buffered_bytes() + unparsed_.capacity() + stream_->pending();
        server_.held_bytes_ += held_bytes_;
        return server_.memory_budget_.can_hold(held_bytes_, server_.held_bytes_);
    }
    // Passes a complete request to the handler.
    void accept_request() {
        server_.counts_.requests += 1;
        const ExchangePtr exchange(new Exchange(this, std::move(parser_.request()), stream_->peer(),
                                                parser_.keep_alive() && !server_.draining_,
                                                parser_.minor_version()));
        exchange->no_body_ = exchange->request_.method == "HEAD";
        if (!exchange->keep_alive_) last_request_accepted_ = true;
        queue_.push_back(exchange);
        // The handler's pointer has a deleter that answers or aborts the exchange if it was not completed.
        server_.handler_(ExchangePtr(exchange.get(), [exchange](Exchange* e) {
            if (!e->started_) e->respond(text_response(500, "no answer was made"));
            else if (!e->finished_) e->abort_connection();
        }));
        if (last_request_accepted_ && !closing_) stop_reading();
    }
    // A request that closes the connection is the last one: bytes after it are not parsed as a request.
    void stop_reading() { closing_ = true, unparsed_.clear(); }

    // Answers a malformed or late request with an error and closes the connection.
    void reject(ParseError error) {
        server_.counts_.rejected += 1;
        parser_.request() = Request{};
        std::string().swap(unparsed_);
        has_memory();
        const ExchangePtr exchange(new Exchange(this, {}, stream_->peer(), false, 1));
        closing_ = true;
        queue_.push_back(exchange);
        exchange->respond(text_response(error.status, error.reason));
    }
    // Ends our direction once the written responses are sent; the peer may close until the linger timeout.
    void close_after_responses() {
        if (closed_ || end_sent_) return;
        closing_ = end_sent_ = true;
        unparsed_.clear();
        for (const ExchangePtr& e : queue_) detach(e);
        queue_.clear();
        stream_->end();
        if (!server_.paused_) stream_->resume();
        update_timer();
    }
    // Disconnects an exchange and tells its owner if it was not finished.
    void detach(const ExchangePtr& e) {
        e->connection_ = nullptr;
        if (e->on_disconnect_ && !e->finished_) {
            const auto call = std::move(e->on_disconnect_);
            e->on_disconnect_ = nullptr;
            call();
        }
    }
    void detach_all() {
        auto queue = std::move(queue_);
        queue_.clear();
        for (const ExchangePtr& e : queue) detach(e);
    }
    void close_now() {
        if (closed_) return;
        closed_ = closing_ = true;
        timer_.stop();
        stream_->set_handler(nullptr);
        detach_all();
        // Destroyed from the loop: this connection may be on the call stack.
        server_.loop_.post([server = &server_, id = id_, lifetime = server_.lifetime()] {
            if (!lifetime.expired()) server->remove(id);
        });
    }

    // Each connection has one timer, for whichever limit is due next.
    void update_timer() {
        const ServerLimits& limits = server_.limits_;
        const io::Time now = server_.loop_.now();
        const std::size_t pending = stream_->pending();
        if (pending != last_pending_) last_pending_ = pending, last_progress_ = now;
        io::Time wait = 0;
        if (end_sent_ && pending == 0) wait = limits.linger_timeout, timer_kind_ = TimerKind::linger;
        else if (pending > 0)
            wait = last_progress_ + limits.write_timeout - now, timer_kind_ = TimerKind::write_stalled;
        else if (!closing_ && !parser_.is_idle() && !reading_paused_)
            wait = message_started_ +
                   (parser_.is_in_body() ? limits.head_timeout + limits.body_timeout : limits.head_timeout) -
                   now,
            timer_kind_ = TimerKind::receiving;
        else if (queue_.empty()) wait = limits.idle_timeout, timer_kind_ = TimerKind::idle;
        else return timer_.stop();
        timer_ = server_.loop_.after(std::max(wait, 0.0), [this] { on_timer(); });
    }
    void on_timer() {
        switch (timer_kind_) {
            case TimerKind::linger:
                return close_now();
            case TimerKind::write_stalled: {
                const bool has_progress = stream_->pending() != last_pending_;
                if (has_progress) return update_timer();
                server_.counts_.timed_out += 1;
                return close_now();
            }
            case TimerKind::receiving:
                server_.counts_.timed_out += 1;
                return reject({408, "the request did not come in time"});
            case TimerKind::idle:
                return close_after_responses();
        }
    }

    enum class TimerKind { linger, write_stalled, receiving, idle };
    Server& server_;
    std::uint64_t id_;
    std::unique_ptr<io::Stream> stream_;
    Parser parser_;
    std::deque<ExchangePtr> queue_;
    std::string unparsed_;  // read but not parsed yet, because too many requests are pending
    io::Timer timer_;
    TimerKind timer_kind_ = TimerKind::idle;
    io::Time message_started_ = 0, last_progress_ = 0;
    std::size_t last_pending_ = 0, held_bytes_ = 0;
    bool reading_paused_ = false, peer_ended_ = false, closing_ = false, end_sent_ = false, closed_ = false;
    bool flushing_ = false, last_request_accepted_ = false;
};

Exchange::~Exchange() = default;

void Exchange::enqueue(std::string_view bytes) {
    buffered_.append(bytes);
    if (connection_) connection_->flush();
    else buffered_.clear();
}

void Exchange::respond(const Response& response) {
    if (started_) throw std::logic_error("a second response to " + request_.method + " " + request_.target);
    started_ = true;
    if (!connection_) return;
    Headers headers = response.headers;
    headers.add("Date", std::string(connection_->date()));
    if (has_body(response.status)) headers.add("Content-Length", std::to_string(response.body.size()));
    if (!keep_alive_) headers.add("Connection", "close");
    else if (minor_version_ == 0) headers.add("Connection", "keep-alive");
    std::string bytes = serialize_head(response.status, headers);
    if (!no_body_ && has_body(response.status)) bytes += response.body;
    finished_ = true;
    enqueue(bytes);
}
void Exchange::start(int status, Headers headers) {
    if (started_) throw std::logic_error("a second response to " + request_.method + " " + request_.target);
    started_ = true;
    if (!connection_) return;
    headers.add("Date", std::string(connection_->date()));
    if (!headers.get("Content-Length") && has_body(status)) {
        chunked_ = minor_version_ >= 1;
        if (chunked_) headers.add("Transfer-Encoding", "chunked");
        else keep_alive_ = false;
    }
    if (!keep_alive_) headers.add("Connection", "close");
    enqueue(serialize_head(status, headers));
}
bool Exchange::write(std::string_view bytes) {
    if (!started_ || finished_)
        throw std::logic_error("write() before start() or after the end of the response");
    if (!connection_ || bytes.empty()) return connection_ != nullptr;
    if (!no_body_) enqueue(chunked_ ? encode_chunk(bytes) : std::string(bytes));
    return connection_ && !connection_->exceeds_output_limit() && buffered_.empty();
}
void Exchange::finish() {
    if (!started_ || finished_)
        throw std::logic_error("finish() before start() or after the end of the response");
    finished_ = true;
    enqueue(chunked_ && !no_body_ ? "0\r\n\r\n" : "");
}
void Exchange::abort_connection() {
    started_ = true;
    if (connection_) connection_->reset();
}

Server::Server(io::Loop& loop, const io::Address& address, const ServerLimits& limits, Handler handler)
    : loop_(loop), limits_(limits), memory_budget_(limits.memory), handler_(std::move(handler)) {
    listener_ = loop_.listen(address, [this](std::unique_ptr<io::Stream> stream) {
        counts_.connections += 1;
        const std::uint64_t id = ++last_id_;
        connections_.emplace(id, std::make_unique<Connection>(*this, id, std::move(stream)));
        if (connections_.size() >= limits_.max_connections && listener_) listener_->pause();
    });
}
Server::~Server() = default;

void Server::remove(std::uint64_t id) {
    connections_.erase(id);
    if (listener_ && !paused_ && connections_.size() < limits_.max_connections) listener_->resume();
}
void Server::drain() {
    draining_ = true;
    for (auto& [id, connection] : connections_) connection->drain();
}
void Server::pause() {
    paused_ = true;
    if (listener_) listener_->pause();
    for (auto& [id, connection] : connections_) connection->set_paused(true);
}
void Server::resume() {
    paused_ = false;
    if (listener_) listener_->resume();
    for (auto& [id, connection] : connections_) connection->set_paused(false);
}
std::string_view Server::date() {
    const auto second = static_cast<std::int64_t>(loop_.wall_ms() / 1000);
    if (second != date_second_) {
        date_second_ = second;
        const time_t when = second;
        tm parts{};
        gmtime_r(&when, &parts);
        std::array<char, 64> text{};
        strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
        date_ = text.data();
    }
    return date_;
}

}  // namespace ivyfield::http
