#include "http/server.hpp"

#include <time.h>

#include <array>
#include <stdexcept>

namespace ivyfield::http {

namespace {

void put_field(std::string& out, const Headers::Field& f) {
    if (f.first.find_first_of("\r\n:") != std::string::npos ||
        f.second.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos)
        throw std::logic_error("a header would split the message: " + f.first);
    out.append(f.first).append(": ").append(f.second).append("\r\n");
}

bool has_body(int status) { return status >= 200 && status != 204 && status != 304; }

std::string chunk(std::string_view bytes) {
    std::array<char, 24> size{};
    const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string out(size.data(), static_cast<std::size_t>(n));
    return out.append(bytes).append("\r\n");
}

}  // namespace

std::string serialize_head(const Request& request, bool with_length) {
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& f : request.headers.fields()) put_field(out, f);
    if (with_length && (!request.body.empty() || request.method == "POST" || request.method == "PUT"))
        out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return out += "\r\n";
}
std::string serialize_head(int status, const Headers& headers) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) + "\r\n";
    for (const auto& f : headers.fields()) put_field(out, f);
    return out += "\r\n";
}

class Connection : public io::StreamHandler {
  public:
    Connection(Server& server, std::uint64_t id, std::unique_ptr<io::Stream> stream)
        : server_(server),
          id_(id),
          stream_(std::move(stream)),
          parser_(Parser::Kind::request, server.limits_.parse) {
        stream_->set_handler(this);
        if (server_.frozen_) stream_->pause();
        watch();
    }
    ~Connection() override { forget(); }

    // The exchange has something to say: its turn may have come.
    void flush() {
        if (flushing_ || over_) return;
        flushing_ = true;
        bool ended = false;
        while (!queue_.empty()) {
            const ExchangePtr front = queue_.front();
            if (!front->waiting_.empty()) {
                stream_->write(front->waiting_);
                front->waiting_.clear();
                last_pending_ = stream_->pending();
                progressed_ = server_.loop_.now();
            }
            if (!front->finished_) break;
            const bool keep = front->keep_alive_;
            front->connection_ = nullptr;
            queue_.pop_front();
            if (!keep) ended = true;
            if (ended) break;
        }
        flushing_ = false;
        if (ended || (queue_.empty() && (peer_ended_ || server_.draining_) && parser_.idle()))
            return close_after_answers();
        if (paused_ && queue_.size() < server_.limits_.max_pipelined_requests &&
            stream_->pending() < server_.limits_.max_unsent_bytes) {
            paused_ = false;
            if (!server_.frozen_) stream_->resume();
            if (!held_.empty()) {
                // Not from here: the caller is an exchange in the middle of its answer.
                server_.loop_.post([server = &server_, id = id_, life = server_.life()] {
                    if (life.expired()) return;
                    const auto it = server->connections_.find(id);
                    if (it != server->connections_.end()) it->second->read({});
                });
            }
        }
        watch();
    }
    bool over_mark() const { return stream_->pending() > server_.limits_.max_unsent_bytes; }
    void reset() { over(); }
    void freeze(bool on) {
        if (on) stream_->pause();
        else if (!paused_) stream_->resume();
    }
    void drain() {
        if (queue_.empty() && parser_.idle() && !closing_) close_after_answers();
    }
    std::string_view date() { return server_.date(); }

    void on_data(std::string_view bytes) override {
        if (closing_) return;  // after an error nothing is read but to let the answer through
        read(bytes);
    }
    void on_end() override {
        peer_ended_ = true;
        if (closing_) return;
        if (!parser_.idle() && held_.empty()) return refuse({400, "the connection ended inside a message"});
        if (queue_.empty()) close_after_answers();
    }
    void on_flushed() override {
        last_pending_ = 0;
        progressed_ = server_.loop_.now();
        if (!queue_.empty()) {
            const ExchangePtr front = queue_.front();
            if (front->on_writable_) front->on_writable_();
        }
        if (!over_) flush();
    }
    void on_closed(io::CloseReason) override { over(); }

  private:
    void read(std::string_view more) {
        std::string kept;
        if (!held_.empty()) {
            kept = std::move(held_);
            held_.clear();
            kept.append(more);
            more = kept;
        }
        while (!closing_ && !over_) {
            if (queue_.size() >= server_.limits_.max_pipelined_requests || over_mark()) {
                held_.assign(more);
                if (!paused_) paused_ = true, stream_->pause();
                break;
            }
            if (more.empty()) break;
            if (parser_.idle()) begun_ = server_.loop_.now();
            const bool had_head = parser_.in_body();
            const auto status = parser_.feed(more);
            if (status == Parser::Status::error) return refuse(parser_.error());
            if (status == Parser::Status::need_more) {
                if (!had_head && parser_.in_body() && parser_.expects_continue() && queue_.empty())
                    stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
                break;
            }
            take();
        }
        if (!over_) watch();
    }
    void take() {
        server_.counts_.requests += 1;
        const ExchangePtr exchange(new Exchange(this, std::move(parser_.request()), stream_->peer(),
                                                parser_.keep_alive() && !server_.draining_,
                                                parser_.minor_version()));
        exchange->bodiless_ = exchange->request_.method == "HEAD";
        if (!exchange->keep_alive_) last_taken_ = true;
        queue_.push_back(exchange);
        // What the handler holds answers for itself when it is dropped.
        server_.handler_(ExchangePtr(exchange.get(), [exchange](Exchange* e) {
            if (!e->started_) e->respond(text_response(500, "no answer was made"));
            else if (!e->finished_) e->abort_connection();
        }));
        if (last_taken_ && !closing_) paused_reading_for_good();
    }
    // A request that closes the connection is the last: what follows it is not read as one.
    void paused_reading_for_good() { closing_ = true, held_.clear(); }

    void refuse(const ParseError& error) {
        server_.counts_.rejected += 1;
        const ExchangePtr exchange(new Exchange(this, {}, stream_->peer(), false, 1));
        closing_ = true;
        queue_.push_back(exchange);
        exchange->respond(text_response(error.status, error.reason));
    }
    void close_after_answers() {
        if (over_ || ended_) return;
        closing_ = ended_ = true;
        held_.clear();
        for (const ExchangePtr& e : queue_) leave(e);
        queue_.clear();
        stream_->end();
        if (!server_.frozen_) stream_->resume();
        watch();
    }
    void leave(const ExchangePtr& e) {
        e->connection_ = nullptr;
        if (e->on_disconnect_ && !e->finished_) {
            const auto call = std::move(e->on_disconnect_);
            e->on_disconnect_ = nullptr;
            call();
        }
    }
    void forget() {
        auto queue = std::move(queue_);
        queue_.clear();
        for (const ExchangePtr& e : queue) leave(e);
    }
    void over() {
        if (over_) return;
        over_ = closing_ = true;
        timer_.stop();
        stream_->set_handler(nullptr);
        forget();
        // Destroyed from the loop: a caller further up may be this connection.
        server_.loop_.post([server = &server_, id = id_, life = server_.life()] {
            if (!life.expired()) server->remove(id);
        });
    }

    // One timer a connection, for whichever limit is next.
    void watch() {
        const ServerLimits& l = server_.limits_;
        const io::Time now = server_.loop_.now();
        const std::size_t pending = stream_->pending();
        if (pending != last_pending_) last_pending_ = pending, progressed_ = now;
        io::Time wait = 0;
        if (ended_ && pending == 0) wait = l.linger_timeout, kind_ = Watch::linger;
        else if (pending > 0) wait = progressed_ + l.write_timeout - now, kind_ = Watch::stuck;
        else if (!closing_ && !parser_.idle() && !paused_)
            wait = begun_ + (parser_.in_body() ? l.head_timeout + l.body_timeout : l.head_timeout) - now,
            kind_ = Watch::slow;
        else if (queue_.empty()) wait = l.idle_timeout, kind_ = Watch::idle;
        else return timer_.stop();
        timer_ = server_.loop_.after(std::max(wait, 0.0), [this] { due(); });
    }
    void due() {
        switch (kind_) {
            case Watch::linger:
                return over();
            case Watch::stuck: {
                const bool moved = stream_->pending() != last_pending_;
                if (moved) return watch();
                server_.counts_.timed_out += 1;
                return over();
            }
            case Watch::slow:
                server_.counts_.timed_out += 1;
                return refuse({408, "the request did not come in time"});
            case Watch::idle:
                return close_after_answers();
        }
    }

    enum class Watch { linger, stuck, slow, idle };
    Server& server_;
    std::uint64_t id_;
    std::unique_ptr<io::Stream> stream_;
    Parser parser_;
    std::deque<ExchangePtr> queue_;
    std::string held_;  // read but not looked at: too many requests wait
    io::Timer timer_;
    Watch kind_ = Watch::idle;
    io::Time begun_ = 0, progressed_ = 0;
    std::size_t last_pending_ = 0;
    bool paused_ = false, peer_ended_ = false, closing_ = false, ended_ = false, over_ = false;
    bool flushing_ = false, last_taken_ = false;
};

Exchange::~Exchange() = default;

void Exchange::put(std::string_view bytes) {
    waiting_.append(bytes);
    if (connection_) connection_->flush();
    else waiting_.clear();
}

void Exchange::respond(const Response& response) {
    if (started_) throw std::logic_error("a second answer to " + request_.method + " " + request_.target);
    started_ = true;
    if (!connection_) return;
    Headers headers = response.headers;
    headers.add("Date", std::string(connection_->date()));
    if (has_body(response.status)) headers.add("Content-Length", std::to_string(response.body.size()));
    if (!keep_alive_) headers.add("Connection", "close");
    else if (minor_ == 0) headers.add("Connection", "keep-alive");
    std::string bytes = serialize_head(response.status, headers);
    if (!bodiless_ && has_body(response.status)) bytes += response.body;
    finished_ = true;
    put(bytes);
}
void Exchange::start(int status, Headers headers) {
    if (started_) throw std::logic_error("a second answer to " + request_.method + " " + request_.target);
    started_ = true;
    if (!connection_) return;
    headers.add("Date", std::string(connection_->date()));
    if (!headers.get("Content-Length") && has_body(status)) {
        chunked_ = minor_ >= 1;
        if (chunked_) headers.add("Transfer-Encoding", "chunked");
        else keep_alive_ = false;
    }
    if (!keep_alive_) headers.add("Connection", "close");
    put(serialize_head(status, headers));
}
bool Exchange::write(std::string_view bytes) {
    if (!started_ || finished_) throw std::logic_error("a write outside of an answer");
    if (!connection_ || bytes.empty()) return connection_ != nullptr;
    if (!bodiless_) put(chunked_ ? chunk(bytes) : std::string(bytes));
    return connection_ && !connection_->over_mark() && waiting_.empty();
}
void Exchange::finish() {
    if (!started_ || finished_) throw std::logic_error("an end outside of an answer");
    finished_ = true;
    put(chunked_ && !bodiless_ ? "0\r\n\r\n" : "");
}
void Exchange::abort_connection() {
    started_ = true;
    if (connection_) connection_->reset();
}

Server::Server(io::Loop& loop, const io::Address& address, const ServerLimits& limits, Handler handler)
    : loop_(loop), limits_(limits), handler_(std::move(handler)) {
    listener_ = loop_.listen(address, [this](std::unique_ptr<io::Stream> stream) {
        counts_.connections += 1;
        const std::uint64_t id = ++next_;
        connections_.emplace(id, std::make_unique<Connection>(*this, id, std::move(stream)));
        if (connections_.size() >= limits_.max_connections && listener_) listener_->pause();
    });
}
Server::~Server() = default;

void Server::remove(std::uint64_t id) {
    connections_.erase(id);
    if (listener_ && !frozen_ && connections_.size() < limits_.max_connections) listener_->resume();
}
void Server::drain() {
    draining_ = true;
    for (auto& [id, connection] : connections_) connection->drain();
}
void Server::pause() {
    frozen_ = true;
    if (listener_) listener_->pause();
    for (auto& [id, connection] : connections_) connection->freeze(true);
}
void Server::resume() {
    frozen_ = false;
    if (listener_) listener_->resume();
    for (auto& [id, connection] : connections_) connection->freeze(false);
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
