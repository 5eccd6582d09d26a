#include "io/virtual/world.hpp"

#include <algorithm>
#include <cassert>
#include <stdexcept>

namespace ivyfield::io {

// One end of a connection. Both ends are kept by the pipe's events, so a stream may go at any time.
struct World::End {
    VirtualLoop* loop = nullptr;
    StreamHandler* handler = nullptr;
    std::weak_ptr<End> other;
    Address local, peer;
    std::string out;  // written; from `taken` on not yet on the way
    std::size_t taken = 0;
    std::size_t in_flight = 0;       // on the way to the other end, or there and unread
    Time last_arrival = 0;           // order within a stream is kept
    std::deque<std::string> unread;  // arrived while paused; an empty piece is the end
    bool open = false, paused = false, ending = false, end_sent = false, peer_ended = false, over = false;

    std::size_t left() const { return out.size() - taken; }
    static void close(const std::shared_ptr<End>& end, CloseReason why) {
        World::in(*end->loop, [end, why] {
            if (end->over) return;
            end->over = true;
            if (end->handler) end->handler->on_closed(why);
        });
    }
};

namespace {

using End = World::End;

}  // namespace

class VirtualStream : public Stream {
  public:
    VirtualStream(World& world, std::shared_ptr<End> end) : world_(world), end_(std::move(end)) {}
    ~VirtualStream() override {
        End& e = *end_;
        e.handler = nullptr;
        if (e.over) return;
        e.over = true;
        // As on sockets: a peer whose end and ours have both been sent sees a clean close, else a reset.
        if (e.end_sent && e.out.empty()) return;
        reset_other(world_, e);
    }
    void set_handler(StreamHandler* handler) override { end_->handler = handler; }
    void write(std::string_view bytes) override {
        End& e = *end_;
        if (e.over || e.ending || bytes.empty()) return;
        e.out.append(bytes);
        if (e.open) pump(world_, end_);
    }
    std::size_t pending() const override { return end_->left(); }
    void end() override {
        End& e = *end_;
        if (e.over || e.ending) return;
        e.ending = true;
        if (e.open) pump(world_, end_);
    }
    void pause() override { end_->paused = true; }
    void resume() override {
        if (!end_->paused) return;
        end_->paused = false;
        const auto keep = end_;
        World& world = world_;
        world.later(world.now(),
                    [&world, keep] { World::in(*keep->loop, [&world, keep] { drain(world, keep); }); });
    }
    // What arrives is handed over at once; it waits only while paused, or while its process stands still.
    void read_available() override {}
    Address peer() const override { return end_->peer; }
    Address local() const override { return end_->local; }

    static void reset_other(World& world, End& e) {
        const auto other = e.other.lock();
        if (!other) return;
        world.later(world.now() + world.delay(), [other] { End::close(other, CloseReason::reset); });
    }
    // Puts as much on the way as the window takes.
    static void pump(World& world, const std::shared_ptr<End>& end) {
        End& e = *end;
        const auto other = e.other.lock();
        if (e.over || !other) return;
        const NetworkConditions& w = world.network;
        const bool had = !e.out.empty();
        while (!e.out.empty() && e.in_flight < w.window) {
            std::size_t most = std::min(w.max_piece_size, e.left());
            // Not in crumbs: a window that opens by a few bytes waits until a whole piece fits (RFC
            // 9293, 3.8.6).
            if (e.in_flight > 0 && w.window - e.in_flight < most) break;
            most = std::min(most, w.window - e.in_flight);
            if (w.random_piece_sizes)
                most = std::uniform_int_distribution<std::size_t>(1, most)(world.random_);
            std::string piece = e.out.substr(e.taken, most);
            e.taken += most;
            if (e.left() == 0) e.out.clear(), e.taken = 0;
            e.in_flight += most;
            e.last_arrival = std::max(e.last_arrival, world.now() + world.delay());
            const bool breaks =
                w.reset_probability > 0 && std::bernoulli_distribution(w.reset_probability)(world.random_);
            world.later(e.last_arrival, [&world, end, other, breaks, piece = std::move(piece)]() mutable {
                if (breaks) {
                    End::close(other, CloseReason::reset);
                    End::close(end, CloseReason::reset);
                    return;
                }
                other->unread.push_back(std::move(piece));
                World::in(*other->loop, [&world, other] { drain(world, other); });
            });
        }
        if (e.out.empty() && e.ending && !e.end_sent) {
            e.end_sent = true;
            e.last_arrival = std::max(e.last_arrival, world.now() + world.delay());
            world.later(e.last_arrival, [&world, other] {
                other->unread.emplace_back();
                World::in(*other->loop, [&world, other] { drain(world, other); });
            });
            finish(world, end);
        }
        if (had && e.out.empty())
            world.later(world.now(), [end] {
                World::in(*end->loop, [end] {
                    if (!end->over && end->handler) end->handler->on_flushed();
                });
            });
    }
    // Hands over what has arrived.
    static void drain(World& world, const std::shared_ptr<End>& end) {
        End& e = *end;
        while (!e.over && !e.paused && !e.unread.empty() && !e.loop->is_killed()) {
            const std::string piece = std::move(e.unread.front());
            e.unread.pop_front();
            if (piece.empty()) {
                e.peer_ended = true;
                if (e.handler) e.handler->on_end();
                finish(world, end);
                continue;
            }
            if (const auto other = e.other.lock()) {
                other->in_flight -= piece.size();
                pump(world, other);
            }
            if (e.handler) e.handler->on_data(piece);
        }
    }
    static void finish(World& world, const std::shared_ptr<End>& end) {
        if (end->peer_ended && end->end_sent)
            world.later(world.now(), [end] { End::close(end, CloseReason::clean); });
    }

  private:
    World& world_;
    std::shared_ptr<End> end_;
};

class VirtualListener : public Listener {
  public:
    VirtualListener(VirtualLoop& loop, Address address, Loop::AcceptHandler accept)
        : loop_(loop), address_(std::move(address)), accept_(std::move(accept)) {
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
        auto waiting = std::move(waiting_);
        waiting_.clear();
        for (auto& task : waiting) loop_.world_.later(loop_.now(), std::move(task));
    }

    VirtualLoop& loop_;
    Address address_;
    Loop::AcceptHandler accept_;
    bool paused_ = false;
    std::vector<Loop::Task> waiting_;
};

class VirtualDatagramSocket : public DatagramSocket {
  public:
    VirtualDatagramSocket(VirtualLoop& loop, Address address, ReceiveHandler heard)
        : loop_(loop),
          address_(std::move(address)),
          heard_(std::make_shared<ReceiveHandler>(std::move(heard))) {
        loop_.world_.datagrams_[address_] = this;
    }
    ~VirtualDatagramSocket() override {
        const auto it = loop_.world_.datagrams_.find(address_);
        if (it != loop_.world_.datagrams_.end() && it->second == this) loop_.world_.datagrams_.erase(it);
    }
    // Each goes its own way: one may overtake another.
    void send(const Address& to, std::string_view bytes) override {
        World& world = loop_.world_;
        if (std::bernoulli_distribution(world.network.datagram_loss_probability)(world.random_)) return;
        world.later(world.now() + world.delay(), [&world, to, from = address_, text = std::string(bytes)] {
            const auto it = world.datagrams_.find(to);
            if (it == world.datagrams_.end()) return;
            // The socket may be gone when a process that stood still goes on.
            World::in(it->second->loop_,
                      [weak = std::weak_ptr<ReceiveHandler>(it->second->heard_), from, text] {
                          if (const auto heard = weak.lock()) (*heard)(from, text);
                      });
        });
    }
    Address address() const override { return address_; }

  private:
    friend class World;
    VirtualLoop& loop_;
    Address address_;
    std::shared_ptr<ReceiveHandler> heard_;
};

World::World(std::uint64_t seed) : random_(seed) {}
World::~World() {
    // Tasks that never ran may own timers and streams, which need their loops to be taken back; those may add
    // tasks.
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
    if (slot) throw std::logic_error("process \"" + name + "\" runs already");
    slot = std::make_unique<VirtualLoop>(*this, name, random_());
    return *slot;
}

void World::kill(VirtualLoop& loop) {
    loop.dead_ = true;
    for (const std::uint64_t id : loop.live_) tasks_.cancel(id);
    loop.live_.clear();
    for (auto it = listeners_.begin(); it != listeners_.end();)
        it = &it->second->loop_ == &loop ? listeners_.erase(it) : std::next(it);
    for (auto it = datagrams_.begin(); it != datagrams_.end();)
        it = &it->second->loop_ == &loop ? datagrams_.erase(it) : std::next(it);
    for (const auto& weak : loop.ends_)
        if (const auto end = weak.lock(); end && !end->over) {
            end->over = true;
            VirtualStream::reset_other(*this, *end);
        }
    const auto it = loops_.find(loop.name_);
    dead_.push_back(std::move(it->second));
    loops_.erase(it);
}

void World::in(VirtualLoop& loop, Loop::Task task) {
    if (loop.dead_) return;
    if (loop.stalled_) return loop.waiting_.push_back(std::move(task));
    task();
}
void World::stall(VirtualLoop& loop, bool on) {
    loop.stalled_ = on;
    if (on) return;
    // All at once and in order; what a task adds comes behind.
    auto waiting = std::move(loop.waiting_);
    loop.waiting_.clear();
    for (auto& task : waiting) in(loop, std::move(task));
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
    return std::count_if(ends_.begin(), ends_.end(), [](const auto& weak) {
        const auto end = weak.lock();
        return end && !end->over;
    });
}

std::uint64_t VirtualLoop::schedule(Time when, Task task) {
    if (dead_) return 0;
    // The id is known only after the call; the task reads it through the shared cell.
    auto cell = std::make_shared<std::uint64_t>(0);
    *cell = world_.tasks_.add(std::max(when, world_.now_), [this, cell, task = std::move(task)] {
        // Still to be called off while it waits for a process that stands still.
        World::in(*this, [this, cell, task] {
            if (live_.erase(*cell)) task();
        });
    });
    live_.insert(*cell);
    return *cell;
}
void VirtualLoop::cancel(std::uint64_t id) {
    if (live_.erase(id)) world_.tasks_.cancel(id);
}

std::unique_ptr<Listener> VirtualLoop::listen(const Address& address, AcceptHandler accept) {
    Address at = address;
    if (at.port == 0) {
        do at.port = world_.next_port_++;
        while (world_.listeners_.count(at));
    }
    if (world_.listeners_.count(at))
        throw std::runtime_error("can't listen on " + at.text() + ": address already in use");
    return std::make_unique<VirtualListener>(*this, at, std::move(accept));
}

std::unique_ptr<DatagramSocket> VirtualLoop::open_datagram_socket(const Address& local,
                                                                  DatagramSocket::ReceiveHandler heard) {
    Address at = local;
    if (at.port == 0) {
        do at.port = world_.next_port_++;
        while (world_.datagrams_.count(at));
    }
    if (world_.datagrams_.count(at))
        throw std::runtime_error("no datagrams at " + at.text() + ": address already in use");
    return std::make_unique<VirtualDatagramSocket>(*this, at, std::move(heard));
}

std::unique_ptr<Stream> VirtualLoop::dial(const Address& address, Time timeout, StreamHandler* handler) {
    World& world = world_;
    const auto mine = std::make_shared<World::End>();
    mine->loop = this;
    mine->handler = handler;
    mine->peer = address;
    mine->local = {"127.0.0.1", world.next_port_++};
    if (ends_.size() > 64 && ends_.size() > 2 * open_stream_count())
        ends_.erase(std::remove_if(ends_.begin(), ends_.end(),
                                   [](const auto& weak) {
                                       const auto end = weak.lock();
                                       return !end || end->over;
                                   }),
                    ends_.end());
    ends_.push_back(mine);
    const Time give_up = world.now() + timeout;
    world.later(give_up, [mine] {
        if (!mine->open) End::close(mine, CloseReason::unreachable);
    });
    const Time arrives = world.now() + world.delay();
    const auto knock = [&world, mine, address](auto&& again) -> void {
        const auto it = world.listeners_.find(address);
        if (it == world.listeners_.end()) {
            world.later(world.now() + world.delay(), [mine] { End::close(mine, CloseReason::refused); });
            return;
        }
        VirtualListener& listener = *it->second;
        if (mine->over) return;
        if (listener.paused_) {
            listener.waiting_.push_back([again] { again(again); });
            return;
        }
        const auto theirs = std::make_shared<World::End>();
        theirs->loop = &listener.loop_;
        theirs->open = true;
        theirs->local = address;
        theirs->peer = mine->local;
        theirs->other = mine;
        mine->other = theirs;
        listener.loop_.ends_.push_back(theirs);
        world.later(world.now() + world.delay(), [&world, mine] {
            World::in(*mine->loop, [&world, mine] {
                if (mine->over) return;
                mine->open = true;
                if (mine->handler) mine->handler->on_open();
                VirtualStream::pump(world, mine);
            });
        });
        // The system's queue takes the connection; the process accepts it when it runs.
        World::in(listener.loop_, [&world, theirs, address] {
            const auto now = world.listeners_.find(address);
            if (now != world.listeners_.end() && &now->second->loop_ == theirs->loop)
                now->second->accept_(std::make_unique<VirtualStream>(world, theirs));
            else VirtualStream::reset_other(world, *theirs);
        });
    };
    world.later(arrives, [knock] { knock(knock); });
    return std::make_unique<VirtualStream>(world, mine);
}

}  // namespace ivyfield::io
