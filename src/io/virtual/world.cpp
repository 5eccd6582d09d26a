#include "io/virtual/world.hpp"

#include <algorithm>
#include <cassert>
#include <stdexcept>

namespace ivyfield::io {

// One endpoint of a connection. The scheduled events of the connection keep both endpoints alive, so the
// streams may be destroyed at any time.
struct World::Endpoint {
    VirtualLoop* loop = nullptr;
    StreamHandler* handler = nullptr;
    std::weak_ptr<Endpoint> remote;
    Address local, peer;
    std::string out;                 // output buffer
    std::size_t sent = 0;            // bytes of `out` that were sent
    std::size_t in_flight = 0;       // bytes sent and not yet read by the remote endpoint
    Time last_arrival = 0;           // no piece arrives earlier, so that order within a stream is kept
    std::deque<std::string> unread;  // arrived and not yet delivered; an empty piece marks the end
    bool connected = false, paused = false, ending = false, end_sent = false, peer_ended = false,
         closed = false;

    std::size_t unsent_bytes() const { return out.size() - sent; }
    // Closes the endpoint and tells its handler.
    static void close(const std::shared_ptr<Endpoint>& endpoint, CloseStatus close_status) {
        World::run_in_process(*endpoint->loop, [endpoint, close_status] {
            if (endpoint->closed) return;
            endpoint->closed = true;
            if (endpoint->handler) endpoint->handler->on_closed(close_status);
        });
    }
};

namespace {

using Endpoint = World::Endpoint;

}  // namespace

// The handle of the application on one endpoint.
class VirtualStream : public Stream {
  public:
    VirtualStream(World& world, std::shared_ptr<Endpoint> endpoint)
        : world_(world), endpoint_(std::move(endpoint)) {}
    ~VirtualStream() override {
        Endpoint& e = *endpoint_;
        e.handler = nullptr;
        if (e.closed) return;
        e.closed = true;
        // As on sockets: if our end was sent and all bytes with it, the peer sees a clean close, else a
        // reset.
        if (e.end_sent && e.out.empty()) return;
        reset_remote(world_, e);
    }
    void set_handler(StreamHandler* handler) override { endpoint_->handler = handler; }
    void write(std::string_view bytes) override {
        Endpoint& e = *endpoint_;
        if (e.closed || e.ending || bytes.empty()) return;
        e.out.append(bytes);
        if (e.connected) transmit(world_, endpoint_);
    }
    std::size_t pending() const override { return endpoint_->unsent_bytes(); }
    void end() override {
        Endpoint& e = *endpoint_;
        if (e.closed || e.ending) return;
        e.ending = true;
        if (e.connected) transmit(world_, endpoint_);
    }
    void pause() override { endpoint_->paused = true; }
    void resume() override {
        if (!endpoint_->paused) return;
        endpoint_->paused = false;
        const auto endpoint = endpoint_;
        World& world = world_;
        world.schedule(world.now(), [&world, endpoint] {
            World::run_in_process(*endpoint->loop, [&world, endpoint] { deliver(world, endpoint); });
        });
    }
    // Nothing to do: bytes are delivered as soon as they arrive, unless the stream is paused or its process
    // stalled.
    void read_available(std::size_t) override {}
    bool has_peer_closed() const override {
        const Endpoint& e = *endpoint_;
        return e.closed || e.peer_ended ||
               std::any_of(e.unread.begin(), e.unread.end(), [](const auto& piece) { return piece.empty(); });
    }
    Address peer() const override { return endpoint_->peer; }
    Address local() const override { return endpoint_->local; }

    // The remote endpoint sees a reset after a network delay.
    static void reset_remote(World& world, Endpoint& e) {
        const auto remote = e.remote.lock();
        if (!remote) return;
        world.schedule(world.now() + world.delay(),
                       [remote] { Endpoint::close(remote, CloseStatus::reset); });
    }
    // Sends as many pieces as the window takes.
    static void transmit(World& world, const std::shared_ptr<Endpoint>& endpoint) {
        Endpoint& e = *endpoint;
        const auto remote = e.remote.lock();
        if (e.closed || !remote) return;
        const NetworkConditions& network = world.network;
        const bool had_output = !e.out.empty();
        while (!e.out.empty() && e.in_flight < network.window) {
            std::size_t size = std::min(network.max_piece_size, e.unsent_bytes());
            // Avoids tiny pieces: sends only if the window has room for a whole piece (silly window syndrome,
            // RFC 9293, 3.8.6).
            if (e.in_flight > 0 && network.window - e.in_flight < size) break;
            size = std::min(size, network.window - e.in_flight);
            if (network.random_piece_sizes)
                size = std::uniform_int_distribution<std::size_t>(1, size)(world.random_);
            std::string piece = e.out.substr(e.sent, size);
            e.sent += size;
            if (e.unsent_bytes() == 0) e.out.clear(), e.sent = 0;
            e.in_flight += size;
            e.last_arrival = std::max(e.last_arrival, world.now() + world.delay());
            const bool is_reset = network.reset_probability > 0 &&
                                  std::bernoulli_distribution(network.reset_probability)(world.random_);
            world.schedule(
                e.last_arrival, [&world, endpoint, remote, is_reset, piece = std::move(piece)]() mutable {
                    if (is_reset) {
                        Endpoint::close(remote, CloseStatus::reset);
                        Endpoint::close(endpoint, CloseStatus::reset);
                        return;
                    }
                    remote->unread.push_back(std::move(piece));
                    World::run_in_process(*remote->loop, [&world, remote] { deliver(world, remote); });
                });
        }
        if (e.out.empty() && e.ending && !e.end_sent) {
            e.end_sent = true;
            e.last_arrival = std::max(e.last_arrival, world.now() + world.delay());
            world.schedule(e.last_arrival, [&world, remote] {
                remote->unread.emplace_back();
                World::run_in_process(*remote->loop, [&world, remote] { deliver(world, remote); });
            });
            close_if_ended(world, endpoint);
        }
        if (had_output && e.out.empty())
            world.schedule(world.now(), [endpoint] {
                World::run_in_process(*endpoint->loop, [endpoint] {
                    if (!endpoint->closed && endpoint->handler) endpoint->handler->on_flushed();
                });
            });
    }
    // Delivers what has arrived to the handler.
    static void deliver(World& world, const std::shared_ptr<Endpoint>& endpoint) {
        Endpoint& e = *endpoint;
        while (!e.closed && !e.paused && !e.unread.empty() && !e.loop->is_killed()) {
            const std::string piece = std::move(e.unread.front());
            e.unread.pop_front();
            if (piece.empty()) {
                e.peer_ended = true;
                if (e.handler) e.handler->on_end();
                close_if_ended(world, endpoint);
                continue;
            }
            if (const auto remote = e.remote.lock()) {
                remote->in_flight -= piece.size();
                transmit(world, remote);
            }
            if (e.handler) e.handler->on_data(piece);
        }
    }
    // Closes the endpoint once both directions have ended.
    static void close_if_ended(World& world, const std::shared_ptr<Endpoint>& endpoint) {
        if (endpoint->peer_ended && endpoint->end_sent)
            world.schedule(world.now(), [endpoint] { Endpoint::close(endpoint, CloseStatus::clean); });
    }

  private:
    World& world_;
    std::shared_ptr<Endpoint> endpoint_;
};

// A listener of one process, registered in the world under its address.
class VirtualListener : public Listener {
  public:
    VirtualListener(VirtualLoop& loop, Address address, Loop::AcceptHandler on_accept)
        : loop_(loop), address_(std::move(address)), on_accept_(std::move(on_accept)) {
        loop_.world_.listeners_[address_] = this;
    }
    ~VirtualListener() override {
        const auto it = loop_.world_.listeners_.find(address_);
        if (it != loop_.world_.listeners_.end() && it->second == this) loop_.world_.listeners_.erase(it);
    }
    Address address() const override { return address_; }
    void pause() override { paused_ = true; }
    void resume() override {
        paused_ = false;
        auto attempts = std::move(connect_attempts_);
        connect_attempts_.clear();
        for (auto& task : attempts) loop_.world_.schedule(loop_.now(), std::move(task));
    }

    VirtualLoop& loop_;
    Address address_;
    Loop::AcceptHandler on_accept_;
    bool paused_ = false;
    std::vector<Loop::Task> connect_attempts_;  // while paused
};

// A datagram socket of one process, registered in the world under its address.
class VirtualDatagramSocket : public DatagramSocket {
  public:
    VirtualDatagramSocket(VirtualLoop& loop, Address address, ReceiveHandler on_receive)
        : loop_(loop),
          address_(std::move(address)),
          on_receive_(std::make_shared<ReceiveHandler>(std::move(on_receive))) {
        loop_.world_.datagram_sockets_[address_] = this;
    }
    ~VirtualDatagramSocket() override {
        const auto it = loop_.world_.datagram_sockets_.find(address_);
        if (it != loop_.world_.datagram_sockets_.end() && it->second == this)
            loop_.world_.datagram_sockets_.erase(it);
    }
    // Each datagram has its own delay: one may overtake another.
    void send(const Address& to, std::string_view bytes) override {
        World& world = loop_.world_;
        if (std::bernoulli_distribution(world.network.datagram_loss_probability)(world.random_)) return;
        world.schedule(world.now() + world.delay(), [&world, to, from = address_, text = std::string(bytes)] {
            const auto it = world.datagram_sockets_.find(to);
            if (it == world.datagram_sockets_.end()) return;
            // The socket may be destroyed before a stalled process continues.
            World::run_in_process(
                it->second->loop_,
                [weak = std::weak_ptr<ReceiveHandler>(it->second->on_receive_), from, text] {
                    if (const auto on_receive = weak.lock()) (*on_receive)(from, text);
                });
        });
    }
    Address address() const override { return address_; }

  private:
    friend class World;
    VirtualLoop& loop_;
    Address address_;
    std::shared_ptr<ReceiveHandler> on_receive_;
};

World::World(std::uint64_t seed) : random_(seed) {}
World::~World() {
    // Tasks that never ran may own timers and streams, which need their loops when they are destroyed, and
    // destroying them may add tasks.
    while (!tasks_.empty()) {
        TimerQueue old;
        std::swap(old, tasks_);
    }
}

Time World::delay() {
    return std::uniform_real_distribution<double>(network.min_delay, network.max_delay)(random_);
}

VirtualLoop& World::start(const std::string& name) {
    auto& slot = loops_[name];
    if (slot) throw std::logic_error("process \"" + name + "\" is already running");
    slot = std::make_unique<VirtualLoop>(*this, name, random_());
    return *slot;
}

void World::kill(VirtualLoop& loop) {
    loop.killed_ = true;
    for (const std::uint64_t id : loop.pending_timers_) tasks_.cancel(id);
    loop.pending_timers_.clear();
    for (auto it = listeners_.begin(); it != listeners_.end();)
        it = &it->second->loop_ == &loop ? listeners_.erase(it) : std::next(it);
    for (auto it = datagram_sockets_.begin(); it != datagram_sockets_.end();)
        it = &it->second->loop_ == &loop ? datagram_sockets_.erase(it) : std::next(it);
    for (const auto& weak : loop.endpoints_)
        if (const auto endpoint = weak.lock(); endpoint && !endpoint->closed) {
            endpoint->closed = true;
            VirtualStream::reset_remote(*this, *endpoint);
        }
    const auto it = loops_.find(loop.name_);
    killed_loops_.push_back(std::move(it->second));
    loops_.erase(it);
}

void World::run_in_process(VirtualLoop& loop, Loop::Task task) {
    if (loop.killed_) return;
    if (loop.stalled_) return loop.deferred_tasks_.push_back(std::move(task));
    task();
}
void World::stall(VirtualLoop& loop, bool on) {
    loop.stalled_ = on;
    if (on) return;
    // All at once and in order; tasks added by these run after them.
    auto deferred = std::move(loop.deferred_tasks_);
    loop.deferred_tasks_.clear();
    for (auto& task : deferred) run_in_process(loop, std::move(task));
}

bool World::step() {
    if (tasks_.empty()) return false;
    now_ = std::max(now_, tasks_.first_due());
    steps_ += 1;
    tasks_.take_due(now_, tasks_.last_id())();
    return true;
}
void World::run_until(Time when) {
    while (!tasks_.empty() && tasks_.first_due() <= when) step();
    now_ = std::max(now_, when);
}
bool World::run_until_idle(std::uint64_t max_steps) {
    for (std::uint64_t k = 0; k < max_steps; ++k)
        if (!step()) return true;
    return tasks_.empty();
}

VirtualLoop::VirtualLoop(World& world, std::string name, std::uint64_t seed)
    : world_(world), name_(std::move(name)), random_(seed) {}

std::size_t VirtualLoop::open_stream_count() const {
    return std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& weak) {
        const auto endpoint = weak.lock();
        return endpoint && !endpoint->closed;
    });
}

std::uint64_t VirtualLoop::schedule(Time when, Task task) {
    if (killed_) return 0;
    // The id is known only after add() returns; the task reads it through the shared pointer.
    auto shared_id = std::make_shared<std::uint64_t>(0);
    *shared_id = world_.tasks_.add(std::max(when, world_.now_), [this, shared_id, task = std::move(task)] {
        // The timer can still be cancelled while its task is deferred because the process is stalled.
        World::run_in_process(*this, [this, shared_id, task] {
            if (pending_timers_.erase(*shared_id)) task();
        });
    });
    pending_timers_.insert(*shared_id);
    return *shared_id;
}
void VirtualLoop::cancel(std::uint64_t id) {
    if (pending_timers_.erase(id)) world_.tasks_.cancel(id);
}

std::unique_ptr<Listener> VirtualLoop::listen(const Address& address, AcceptHandler on_accept) {
    Address bound = address;
    if (bound.port == 0) {
        do bound.port = world_.next_port_++;
        while (world_.listeners_.count(bound));
    }
    if (world_.listeners_.count(bound))
        throw std::runtime_error("can't listen on " + bound.text() + ": address already in use");
    return std::make_unique<VirtualListener>(*this, bound, std::move(on_accept));
}

std::unique_ptr<DatagramSocket> VirtualLoop::open_datagram_socket(const Address& local,
                                                                  DatagramSocket::ReceiveHandler on_receive) {
    Address bound = local;
    if (bound.port == 0) {
        do bound.port = world_.next_port_++;
        while (world_.datagram_sockets_.count(bound));
    }
    if (world_.datagram_sockets_.count(bound))
        throw std::runtime_error("can't open a datagram socket on " + bound.text() +
                                 ": address already in use");
    return std::make_unique<VirtualDatagramSocket>(*this, bound, std::move(on_receive));
}

std::unique_ptr<Stream> VirtualLoop::dial(const Address& address, Time timeout, StreamHandler* handler) {
    World& world = world_;
    const auto client = std::make_shared<World::Endpoint>();
    client->loop = this;
    client->handler = handler;
    client->peer = address;
    client->local = {"127.0.0.1", world.next_port_++};
    if (endpoints_.size() > 64 && endpoints_.size() > 2 * open_stream_count())
        endpoints_.erase(std::remove_if(endpoints_.begin(), endpoints_.end(),
                                        [](const auto& weak) {
                                            const auto endpoint = weak.lock();
                                            return !endpoint || endpoint->closed;
                                        }),
                         endpoints_.end());
    endpoints_.push_back(client);
    const Time deadline = world.now() + timeout;
    world.schedule(deadline, [client] {
        if (!client->connected) Endpoint::close(client, CloseStatus::unreachable);
    });
    const Time arrival = world.now() + world.delay();
    const auto try_connect = [&world, client, address](auto&& retry) -> void {
        const auto it = world.listeners_.find(address);
        if (it == world.listeners_.end()) {
            world.schedule(world.now() + world.delay(),
                           [client] { Endpoint::close(client, CloseStatus::refused); });
            return;
        }
        VirtualListener& listener = *it->second;
        if (client->closed) return;
        if (listener.paused_) {
            listener.connect_attempts_.push_back([retry] { retry(retry); });
            return;
        }
        const auto server = std::make_shared<World::Endpoint>();
        server->loop = &listener.loop_;
        server->connected = true;
        server->local = address;
        server->peer = client->local;
        server->remote = client;
        client->remote = server;
        listener.loop_.endpoints_.push_back(server);
        world.schedule(world.now() + world.delay(), [&world, client] {
            World::run_in_process(*client->loop, [&world, client] {
                if (client->closed) return;
                client->connected = true;
                if (client->handler) client->handler->on_open();
                VirtualStream::transmit(world, client);
            });
        });
        // The connection is established in the backlog; the process accepts it when it runs.
        World::run_in_process(listener.loop_, [&world, server, address] {
            const auto now = world.listeners_.find(address);
            if (now != world.listeners_.end() && &now->second->loop_ == server->loop)
                now->second->on_accept_(std::make_unique<VirtualStream>(world, server));
            else VirtualStream::reset_remote(world, *server);
        });
    };
    world.schedule(arrival, [try_connect] { try_connect(try_connect); });
    return std::make_unique<VirtualStream>(world, client);
}

}  // namespace ivyfield::io
