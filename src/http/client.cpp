#include "http/client.hpp"

#include <algorithm>
#include <list>
#include <stdexcept>

#include "http/server.hpp"  // serialize_head

namespace ivyfield::http {

const char* name(CallOutcome end) {
    switch (end) {
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

class Client::Pending : public Call {
  public:
    Pending(Client& client, Pool& pool, Request request, CallOptions options, Done done)
        : client_(client),
          pool_(pool),
          request_(std::move(request)),
          options_(std::move(options)),
          done_(std::move(done)),
          began_(client.loop_.now()) {}
    ~Pending() override;
    bool sent() const override { return sent_; }
    void finish(CallResult result);

    Client& client_;
    Pool& pool_;
    Request request_;
    CallOptions options_;
    Done done_;
    io::Time began_;
    bool sent_ = false, over_ = false;
    Link* link_ = nullptr;
    io::Timer timeout_, connect_timeout_;
};

// One connection of a pool.
struct Client::Link : io::StreamHandler {
    Link(Client& owner, Pool& of)
        : client(owner), pool(of), parser(Parser::Kind::response, owner.limits_.parse) {}

    void assign(Pending& to) {
        call = &to;
        to.link_ = this;
        idle.stop();
        parser.expect_no_body(to.request_.method == "HEAD");
        parser.set_head_sink({});
        parser.set_body_sink({});
        if (to.options_.on_head || to.options_.on_body) {
            parser.set_head_sink([this] {
                if (call && call->options_.on_head && parser.response().status >= 200)
                    call->options_.on_head(parser.response());
            });
        }
        if (to.options_.on_body)
            parser.set_body_sink([this](std::string_view piece) {
                if (call && call->options_.on_body) call->options_.on_body(piece);
            });
        if (open) write();
    }
    void write() {
        call->sent_ = true;
        call->connect_timeout_.stop();
        stream->write(serialize_head(call->request_, true) + call->request_.body);
        used = true;
    }
    void on_open() override {
        open = true;
        if (call) write();
    }
    void on_data(std::string_view bytes) override {
        while (!bytes.empty() && !dead) {
            if (!call) return drop();  // bytes that answer nothing
            const auto status = parser.feed(bytes);
            if (status == Parser::Status::need_more) return;
            if (status == Parser::Status::error)
                return end(CallOutcome::bad_response, io::CloseReason::reset);
            if (parser.response().status < 200) continue;  // interim
            const bool keep = parser.keep_alive() && bytes.empty() && !ended;
            complete(keep);
        }
    }
    void on_end() override {
        ended = true;
        if (call && parser.finish() == Parser::Status::message && parser.response().status >= 200)
            return complete(false);
        if (call) return end(CallOutcome::connection_lost, io::CloseReason::reset);
        drop();
    }
    void on_closed(io::CloseReason why) override {
        if (call) return end(open ? CallOutcome::connection_lost : CallOutcome::not_connected, why);
        drop();
    }
    void complete(bool keep);
    void end(CallOutcome how, io::CloseReason why);
    void drop();  // out of the pool; destroyed from the loop

    Client& client;
    Pool& pool;
    Parser parser;
    std::unique_ptr<io::Stream> stream;
    Pending* call = nullptr;
    io::Timer idle;
    bool open = false, used = false, ended = false, dead = false;
};

struct Client::Pool {
    explicit Pool(io::Address to) : address(std::move(to)) {}
    io::Address address;
    std::list<std::unique_ptr<Link>> links;
    std::deque<Pending*> waiting;
};

Client::Pending::~Pending() {
    if (over_) return;
    over_ = true;
    auto& w = pool_.waiting;
    w.erase(std::remove(w.begin(), w.end(), this), w.end());
    if (link_) {
        link_->call = nullptr;
        link_->drop();  // the answer that is still to come would be taken for the next call's
    }
}
void Client::Pending::finish(CallResult result) {
    if (over_) return;
    over_ = true;
    link_ = nullptr;
    timeout_.stop(), connect_timeout_.stop();
    auto& w = pool_.waiting;
    w.erase(std::remove(w.begin(), w.end(), this), w.end());
    result.elapsed = client_.loop_.now() - began_;
    const Done done = std::move(done_);  // may destroy this
    done(std::move(result));
}

void Client::Link::complete(bool keep) {
    Pending* const ended_call = call;
    call = nullptr;
    CallResult result;
    result.outcome = CallOutcome::response;
    result.response = std::move(parser.response());
    if (!keep) {
        drop();
    } else {
        idle = client.loop_.after(client.limits_.idle_timeout, [this] { drop(); });
        if (!pool.waiting.empty()) client.serve_later(pool.address);
    }
    ended_call->finish(std::move(result));  // may end the client
}
void Client::Link::end(CallOutcome how, io::CloseReason why) {
    Pending* const ended_call = call;
    call = nullptr;
    drop();
    CallResult result;
    result.outcome = how;
    result.close_reason = why;
    ended_call->finish(std::move(result));
}
void Client::Link::drop() {
    if (dead) return;
    dead = true;
    idle.stop();
    if (stream) stream->set_handler(nullptr);
    // A place is free for a call that waits.
    if (!pool.waiting.empty()) client.serve_later(pool.address);
    for (auto it = pool.links.begin(); it != pool.links.end(); ++it) {
        if (it->get() != this) continue;
        const std::shared_ptr<Link> keep(std::move(*it));
        pool.links.erase(it);
        client.loop_.post([keep] {});  // destroyed from the loop: a caller further up may be this link
        return;
    }
}

void Client::serve_later(const io::Address& to) {
    loop_.post([this, to, life = std::weak_ptr<int>(life_)] {
        if (life.expired()) return;
        const auto it = pools_.find(to);
        if (it != pools_.end()) serve(*it->second);
    });
}

Client::Client(io::Loop& loop, const ClientLimits& limits) : loop_(loop), limits_(limits) {}
Client::~Client() {
    for (auto& [address, pool] : pools_)
        for (auto& link : pool->links) {
            if (link->stream) link->stream->set_handler(nullptr);
            if (link->call) link->call->over_ = true, link->call->link_ = nullptr;
        }
}

std::unique_ptr<Call> Client::send(const io::Address& to, Request request, CallOptions options, Done done) {
    auto& pool = pools_[to];
    if (!pool) pool = std::make_unique<Pool>(to);
    if (!request.headers.get("Host")) request.headers.add("Host", to.text());
    auto call =
        std::make_unique<Pending>(*this, *pool, std::move(request), std::move(options), std::move(done));
    Pending* const raw = call.get();
    if (raw->options_.timeout > 0)
        raw->timeout_ = loop_.after(raw->options_.timeout, [raw] {
            Link* const link = raw->link_;
            // Not connected yet: the peer has seen nothing.
            const CallOutcome how = raw->sent_ ? CallOutcome::timed_out : CallOutcome::not_connected;
            if (link) return link->end(how, io::CloseReason::unreachable);
            CallResult result;
            result.outcome = how;
            result.close_reason = io::CloseReason::unreachable;
            raw->finish(std::move(result));
        });
    raw->connect_timeout_ = loop_.after(raw->options_.connect_timeout, [raw] {
        if (raw->link_) return raw->link_->end(CallOutcome::not_connected, io::CloseReason::unreachable);
        CallResult result;
        result.outcome = CallOutcome::not_connected;
        result.close_reason = io::CloseReason::no_resources;
        raw->finish(std::move(result));
    });
    pool->waiting.push_back(raw);
    serve(*pool);
    return call;
}

// Gives waiting calls to idle connections, or to new ones while there are fewer than the cap.
void Client::serve(Pool& pool) {
    while (!pool.waiting.empty()) {
        Pending& next = *pool.waiting.front();
        Link* found = nullptr;
        // The one used last: the longer idle, the likelier its other side is just closing it.
        for (auto it = pool.links.rbegin(); it != pool.links.rend(); ++it)
            if (!(*it)->call && (*it)->open && !(*it)->dead) {
                found = it->get();
                break;
            }
        if (next.options_.new_connection) {
            // An idle connection makes room for the new one where the cap is reached.
            if (found && pool.links.size() >= limits_.max_connections_per_address) found->drop();
            found = nullptr;
        }
        if (!found) {
            if (pool.links.size() >= limits_.max_connections_per_address) return;
            pool.links.push_back(std::make_unique<Link>(*this, pool));
            found = pool.links.back().get();
            found->stream = loop_.dial(pool.address, next.options_.connect_timeout, found);
        }
        pool.waiting.pop_front();
        found->assign(next);
    }
}

std::size_t Client::open_connections(const io::Address& to) const {
    const auto it = pools_.find(to);
    return it == pools_.end() ? 0 : it->second->links.size();
}
std::size_t Client::open_connections() const {
    std::size_t n = 0;
    for (const auto& [address, pool] : pools_) n += pool->links.size();
    return n;
}
void Client::close_idle(const io::Address& to) {
    const auto it = pools_.find(to);
    if (it == pools_.end()) return;
    std::vector<Link*> idle;
    for (auto& link : it->second->links)
        if (!link->call && link->open) idle.push_back(link.get());
    for (Link* link : idle) link->drop();
}

}  // namespace ivyfield::http
