#include "http/client.hpp"

#include <algorithm>
#include <list>
#include <stdexcept>

#include "http/server.hpp"  // serialize_head

namespace ivyfield::http {

const char* name(CallOutcome outcome) {
    switch (outcome) {
        case CallOutcome::response:
            return "response";
        case CallOutcome::not_connected:
            return "not connected";
        case CallOutcome::connection_lost:
            return "broke";
        case CallOutcome::bad_response:
            return "bad response";
        case CallOutcome::timed_out:
            return "timed out";
    }
    return "?";
}

// A call that waits for a connection or for its response.
class Client::PendingCall : public Call {
  public:
    PendingCall(Client& client, Pool& pool, Request request, CallOptions options, CallHandler on_done)
        : client_(client),
          pool_(pool),
          request_(std::move(request)),
          options_(std::move(options)),
          on_done_(std::move(on_done)),
          started_at_(client.loop_.now()) {}
    ~PendingCall() override;
    bool sent() const override { return sent_; }
    void finish(CallResult result);

    Client& client_;
    Pool& pool_;
    Request request_;
    CallOptions options_;
    CallHandler on_done_;
    io::Time started_at_;
    bool sent_ = false, finished_ = false;
    PooledConnection* connection_ = nullptr;
    io::Timer timeout_, connect_timeout_;
};

// One connection of a pool.
struct Client::PooledConnection : io::StreamHandler {
    PooledConnection(Client& owner, Pool& owning_pool)
        : client(owner), pool(owning_pool), parser(Parser::Kind::response, owner.limits_.parse) {}

    // Gives the call to this connection; its request is written once the connection is established.
    void assign(PendingCall& next) {
        call = &next;
        next.connection_ = this;
        idle_timer.stop();
        parser.expect_no_body(next.request_.method == "HEAD");
        parser.set_head_sink({});
        parser.set_body_sink({});
        if (next.options_.on_head || next.options_.on_body) {
            parser.set_head_sink([this] {
                if (call && call->options_.on_head && parser.response().status >= 200)
                    call->options_.on_head(parser.response());
            });
        }
        if (next.options_.on_body)
            parser.set_body_sink([this](std::string_view piece) {
                if (call && call->options_.on_body) call->options_.on_body(piece);
            });
        if (connected) write();
    }
    void write() {
        call->sent_ = true;
        call->connect_timeout_.stop();
        stream->write(serialize_head(call->request_, true) + call->request_.body);
        used = true;
    }
    void on_open() override {
        connected = true;
        if (call) write();
    }
    void on_data(std::string_view bytes) override {
        while (!bytes.empty() && !closed) {
            if (!call) return close();  // bytes that belong to no request
            const auto status = parser.feed(bytes);
            if (status == Parser::Status::need_more) return;
            if (status == Parser::Status::error)
                return fail(CallOutcome::bad_response, io::CloseStatus::reset);
            if (parser.response().status < 200) continue;  // an interim response
            const bool keep_alive = parser.keep_alive() && bytes.empty() && !peer_ended;
            complete(keep_alive);
        }
    }
    void on_end() override {
        peer_ended = true;
        if (call && parser.finish() == Parser::Status::message && parser.response().status >= 200)
            return complete(false);
        if (call) return fail(CallOutcome::connection_lost, io::CloseStatus::reset);
        close();
    }
    void on_closed(io::CloseStatus close_status) override {
        if (call)
            return fail(connected ? CallOutcome::connection_lost : CallOutcome::not_connected, close_status);
        close();
    }
    void complete(bool keep_alive);                                // ends the call with the response
    void fail(CallOutcome outcome, io::CloseStatus close_status);  // ends the call without a response
    void close();  // removes the connection from the pool; it is destroyed from the loop

    Client& client;
    Pool& pool;
    Parser parser;
    std::unique_ptr<io::Stream> stream;
    PendingCall* call = nullptr;
    io::Timer idle_timer;
    bool connected = false, used = false, peer_ended = false, closed = false;
};

// The connections to one address and the calls that wait for one.
struct Client::Pool {
    explicit Pool(io::Address peer) : address(std::move(peer)) {}
    io::Address address;
    std::list<std::unique_ptr<PooledConnection>> connections;
    std::deque<PendingCall*> waiting;
};

Client::PendingCall::~PendingCall() {
    if (finished_) return;
    finished_ = true;
    auto& waiting = pool_.waiting;
    waiting.erase(std::remove(waiting.begin(), waiting.end(), this), waiting.end());
    if (connection_) {
        connection_->call = nullptr;
        connection_->close();  // else the outstanding response would be taken for the next call's
    }
}
void Client::PendingCall::finish(CallResult result) {
    if (finished_) return;
    finished_ = true;
    connection_ = nullptr;
    timeout_.stop(), connect_timeout_.stop();
    auto& waiting = pool_.waiting;
    waiting.erase(std::remove(waiting.begin(), waiting.end(), this), waiting.end());
    result.elapsed = client_.loop_.now() - started_at_;
    const CallHandler on_done = std::move(on_done_);  // may destroy this
    on_done(std::move(result));
}

void Client::PooledConnection::complete(bool keep_alive) {
    PendingCall* const completed_call = call;
    call = nullptr;
    CallResult result;
    result.outcome = CallOutcome::response;
    result.response = std::move(parser.response());
    if (!keep_alive) {
        close();
    } else {
        idle_timer = client.loop_.after(client.limits_.idle_timeout, [this] { close(); });
        if (!pool.waiting.empty()) client.schedule_dispatch(pool.address);
    }
    completed_call->finish(std::move(result));  // may destroy the client
}
void Client::PooledConnection::fail(CallOutcome outcome, io::CloseStatus close_status) {
    PendingCall* const failed_call = call;
    call = nullptr;
    close();
    CallResult result;
    result.outcome = outcome;
    result.close_status = close_status;
    failed_call->finish(std::move(result));
}
void Client::PooledConnection::close() {
    if (closed) return;
    closed = true;
    idle_timer.stop();
    if (stream) stream->set_handler(nullptr);
    // The pool has room for a connection for a waiting call.
    if (!pool.waiting.empty()) client.schedule_dispatch(pool.address);
    for (auto it = pool.connections.begin(); it != pool.connections.end(); ++it) {
        if (it->get() != this) continue;
        const std::shared_ptr<PooledConnection> connection(std::move(*it));
        pool.connections.erase(it);
        // Destroyed from the loop: this connection may be on the call stack.
        client.loop_.post([connection] {});
        return;
    }
}

void Client::schedule_dispatch(const io::Address& to) {
    loop_.post([this, to, lifetime = std::weak_ptr<int>(lifetime_)] {
        if (lifetime.expired()) return;
        const auto it = pools_.find(to);
        if (it != pools_.end()) dispatch(*it->second);
    });
}

Client::Client(io::Loop& loop, const ClientLimits& limits) : loop_(loop), limits_(limits) {}
Client::~Client() {
    for (auto& [address, pool] : pools_)
        for (auto& connection : pool->connections) {
            if (connection->stream) connection->stream->set_handler(nullptr);
            if (connection->call) connection->call->finished_ = true, connection->call->connection_ = nullptr;
        }
}

std::unique_ptr<Call> Client::send(const io::Address& to, Request request, CallOptions options,
                                   CallHandler on_done) {
    auto& pool = pools_[to];
    if (!pool) pool = std::make_unique<Pool>(to);
    if (!request.headers.get("Host")) request.headers.add("Host", to.text());
    auto call = std::make_unique<PendingCall>(*this, *pool, std::move(request), std::move(options),
                                              std::move(on_done));
    PendingCall* const pending = call.get();
    if (pending->options_.timeout > 0)
        pending->timeout_ = loop_.after(pending->options_.timeout, [pending] {
            PooledConnection* const connection = pending->connection_;
            // Not sent yet: the peer has seen nothing of the request.
            const CallOutcome outcome = pending->sent_ ? CallOutcome::timed_out : CallOutcome::not_connected;
            if (connection) return connection->fail(outcome, io::CloseStatus::unreachable);
            CallResult result;
            result.outcome = outcome;
            result.close_status = io::CloseStatus::unreachable;
            pending->finish(std::move(result));
        });
    pending->connect_timeout_ = loop_.after(pending->options_.connect_timeout, [pending] {
        if (pending->connection_)
            return pending->connection_->fail(CallOutcome::not_connected, io::CloseStatus::unreachable);
        CallResult result;
        result.outcome = CallOutcome::not_connected;
        result.close_status = io::CloseStatus::no_resources;
        pending->finish(std::move(result));
    });
    pool->waiting.push_back(pending);
    dispatch(*pool);
    return call;
}

// Assigns waiting calls to idle connections, or to new ones while there are fewer than the limit.
void Client::dispatch(Pool& pool) {
    while (!pool.waiting.empty()) {
        PendingCall& next = *pool.waiting.front();
        PooledConnection* connection = nullptr;
        // Prefers the connection used last: the longer one is idle, the likelier the peer is just closing it.
        for (auto it = pool.connections.rbegin(); it != pool.connections.rend(); ++it)
            if (!(*it)->call && (*it)->connected && !(*it)->closed) {
                connection = it->get();
                break;
            }
        if (next.options_.new_connection) {
            // If the limit is reached, an idle connection is closed to make room for the new one.
            if (connection && pool.connections.size() >= limits_.max_connections_per_address)
                connection->close();
            connection = nullptr;
        }
        if (!connection) {
            if (pool.connections.size() >= limits_.max_connections_per_address) return;
            pool.connections.push_back(std::make_unique<PooledConnection>(*this, pool));
            connection = pool.connections.back().get();
            connection->stream = loop_.dial(pool.address, next.options_.connect_timeout, connection);
        }
        pool.waiting.pop_front();
        connection->assign(next);
    }
}

std::size_t Client::open_connections(const io::Address& to) const {
    const auto it = pools_.find(to);
    return it == pools_.end() ? 0 : it->second->connections.size();
}
std::size_t Client::open_connections() const {
    std::size_t n = 0;
    for (const auto& [address, pool] : pools_) n += pool->connections.size();
    return n;
}
void Client::close_idle(const io::Address& to) {
    const auto it = pools_.find(to);
    if (it == pools_.end()) return;
    std::vector<PooledConnection*> idle;
    for (auto& connection : it->second->connections)
        if (!connection->call && connection->connected) idle.push_back(connection.get());
    for (PooledConnection* connection : idle) connection->close();
}

}  // namespace ivyfield::http
