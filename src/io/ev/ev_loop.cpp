#include "io/ev/ev_loop.hpp"

#include <arpa/inet.h>
#include <ev.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <list>
#include <stdexcept>
#include <vector>

#include "io/timers.hpp"

namespace ivyfield::io {

namespace {

// At most this much is accepted or read in one turn of the loop, so that one busy peer does not delay the
// others.
constexpr int kMaxAcceptsPerTurn = 16;
constexpr int kMaxDatagramsPerTurn = 16;
constexpr std::size_t kMaxReadBytes = 64 * 1024;
// What is read of accepted streams in one turn: of one at most, and of all together before the rest gets the
// minimum. A peer that sends little waits for one turn, however many others send at full speed.
constexpr std::size_t kMaxAcceptedReadBytes = 8 * 1024, kMinAcceptedReadBytes = 1024;
constexpr std::size_t kAcceptedBytesPerTurn = 16 * 1024;
// Bytes of an output buffer that are kept when it is empty, and bytes at its front that were sent but not
// yet removed.
constexpr std::size_t kMaxIdleBuffer = 4 * 1024;
constexpr std::size_t kMaxSentPrefix = 64 * 1024;
// While the messages of one read are handled, answers are sent once so many bytes have come together.
constexpr std::size_t kMaxDelayedBytes = 8 * 1024;
// When the process has run out of file descriptors, the listener waits this long before it accepts again;
// otherwise the loop would spin on the same connection.
constexpr double kAcceptRetryDelay_s = 0.1;
// The order in which events that are ready in the same turn are handled: dialled streams, then accepted
// streams, then datagrams. The first carry answers that complete pending work; the last may take long to
// process. Timers run after all of them.
constexpr int kDialledPriority = 1, kAcceptedPriority = 0, kDatagramPriority = -1;
// A timer that is late by more than this (ms) was delayed because the process did not run.
constexpr Time kLateTimerThreshold = 20;

// An address as the socket calls take it.
struct SocketAddress {
    sockaddr_storage storage{};
    socklen_t size = 0;
    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

SocketAddress to_sockaddr(const Address& a) {
    SocketAddress out;
    auto* ipv4 = reinterpret_cast<sockaddr_in*>(&out.storage);
    auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&out.storage);
    if (inet_pton(AF_INET, a.host.c_str(), &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(a.port);
        out.size = sizeof *ipv4;
    } else if (inet_pton(AF_INET6, a.host.c_str(), &ipv6->sin6_addr) == 1) {
        ipv6->sin6_family = AF_INET6;
        ipv6->sin6_port = htons(a.port);
        out.size = sizeof *ipv6;
    }
    return out;  // size 0 if the host is not a numeric address
}

Address to_address(const SocketAddress& s) {
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (s.storage.ss_family == AF_INET) {
        const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(&s.storage);
        inet_ntop(AF_INET, &ipv4->sin_addr, text.data(), text.size());
        return {text.data(), ntohs(ipv4->sin_port)};
    }
    if (s.storage.ss_family == AF_INET6) {
        const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(&s.storage);
        inet_ntop(AF_INET6, &ipv6->sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(ipv6->sin6_port)};
    }
    return {"0.0.0.0", 0};
}

// The close status for a connection attempt that failed with this errno.
CloseStatus close_status_of(int error) {
    switch (error) {
        case ECONNREFUSED:
            return CloseStatus::refused;
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case EADDRNOTAVAIL:
            return CloseStatus::no_resources;
        default:
            return CloseStatus::unreachable;
    }
}

double clock_ms(clockid_t clock) {
    timespec t{};
    clock_gettime(clock, &t);
    return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_nsec) / 1e6;
}

}  // namespace

struct EvLoop::Impl {
    explicit Impl(std::uint64_t seed) : random(seed) {
        ev = ev_loop_new(EVFLAG_AUTO);
        if (!ev) throw std::runtime_error("libev can't create an event loop");
        ev_timer_init(&timer, on_timer, 0, 0);
        timer.data = this;
        static_assert(EV_MINPRI < kDatagramPriority && kDialledPriority < EV_MAXPRI);
        // Timers have the lowest priority: a process that was stopped has to read its pending input before
        // its timers conclude that the peers did not answer.
        ev_set_priority(&timer, EV_MINPRI);
        ev_prepare_init(&prepare, on_prepare);
        prepare.data = this;
        ev_prepare_start(ev, &prepare);
        ev_unref(ev);
        ev_check_init(&check, on_check);
        check.data = this;
        ev_set_priority(&check, EV_MAXPRI);
        ev_check_start(ev, &check);
        ev_unref(ev);
        now = clock_ms(CLOCK_MONOTONIC);
    }
    ~Impl() {
        // Tasks that never ran may own streams, which need the loop for closing, and closing those may add
        // tasks.
        while (!timers.empty()) {
            TimerQueue old;
            std::swap(old, timers);
        }
        for (auto& signal : signals) ev_signal_stop(ev, &signal.watcher);
        ev_ref(ev), ev_prepare_stop(ev, &prepare);
        ev_ref(ev), ev_check_stop(ev, &check);
        ev_timer_stop(ev, &timer);
        ev_loop_destroy(ev);
    }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    // Runs before the loop waits for events: limits the wait to the first timer's due time.
    static void on_prepare(struct ev_loop* loop, ev_prepare* w, int) {
        auto* self = static_cast<Impl*>(w->data);
        ev_timer_stop(loop, &self->timer);
        if (self->timers.empty()) return;
        const double wait = std::max(0.0, self->timers.first_due() - clock_ms(CLOCK_MONOTONIC)) / 1e3;
        ev_now_update(loop);
        ev_timer_set(&self->timer, wait, 0);
        ev_timer_start(loop, &self->timer);
    }
    // Runs after the wait: reads the clock once for the whole turn.
    static void on_check(struct ev_loop*, ev_check* w, int) {
        auto* self = static_cast<Impl*>(w->data);
        self->now = clock_ms(CLOCK_MONOTONIC);
        self->accepted_bytes = 0;
    }
    static void on_timer(struct ev_loop*, ev_timer* w, int) {
        auto* self = static_cast<Impl*>(w->data);
        // A wait interrupted by a signal (also SIGCONT after a stop) reports no input even if there is some.
        // Timers that are this late are therefore postponed until input has been polled once more.
        if (!self->input_rechecked && !self->timers.empty() &&
            self->now - self->timers.first_due() > kLateTimerThreshold) {
            self->input_rechecked = true;
            return;
        }
        self->input_rechecked = false;
        const std::uint64_t max_id = self->timers.last_id();
        while (Task task = self->timers.take_due(self->now, max_id)) task();
    }

    // A signal watcher and the task that it runs.
    struct SignalTask {
        ev_signal watcher;
        Task task;
    };

    struct ev_loop* ev;
    ev_timer timer;
    ev_prepare prepare;
    ev_check check;
    Time now;
    bool input_rechecked = false;
    std::size_t accepted_bytes = 0;  // read of accepted streams in this turn
    TimerQueue timers;
    std::mt19937_64 random;
    std::list<SignalTask> signals;
};

namespace {

using Impl = EvLoop::Impl;

// A connected or connecting TCP socket.
class EvStream : public Stream {
    // Kept alive by the callbacks, because the handler may destroy the stream during one.
    struct State {
        Impl* loop = nullptr;
        int fd = -1;
        ev_io io{};
        ev_timer connect_timer{};
        StreamHandler* handler = nullptr;
        std::string out;       // output buffer
        std::size_t sent = 0;  // bytes of `out` that were sent
        bool connected = true, paused = false, ending = false, end_sent = false, peer_ended = false;
        bool closed = false;  // the handler gets no more events
        bool accepted = false;
        bool delivering = false;       // written bytes are sent together when the callback has returned
        bool failure_pending = false;  // found during a call of the owner; reported from the loop
        CloseStatus failure_status = CloseStatus::reset;
        Address peer, local;
        std::shared_ptr<State> self;  // keeps the state alive until the stream is destroyed

        // Closes the socket without an event to the handler.
        void release() {
            if (fd >= 0) {
                ev_io_stop(loop->ev, &io);
                ev_timer_stop(loop->ev, &connect_timer);
                ::close(fd);
                fd = -1;
            }
            closed = true;
        }
        // How much is read of it in this turn of the loop.
        std::size_t max_read_bytes() const {
            if (!accepted) return kMaxReadBytes;
            const std::size_t left =
                kAcceptedBytesPerTurn - std::min(kAcceptedBytesPerTurn, loop->accepted_bytes);
            return std::clamp(left, kMinAcceptedReadBytes, kMaxAcceptedReadBytes);
        }
        // Sets the events that the watcher waits for.
        void update_events() {
            if (fd < 0) return;
            int events = 0;
            if (!connected || sent < out.size()) events |= EV_WRITE;
            if (connected && !paused && !peer_ended) events |= EV_READ;
            if (events == (io.events & (EV_READ | EV_WRITE)) && (events == 0 || ev_is_active(&io))) return;
            ev_io_stop(loop->ev, &io);
            ev_io_set(&io, fd, events);
            if (events) ev_io_start(loop->ev, &io);
        }
        // Closes the socket and tells the handler.
        void close_and_notify(CloseStatus close_status) {
            if (closed) return;
            release();
            if (handler) handler->on_closed(close_status);
        }
        // Sends as much as the socket takes; true if nothing is left in the buffer.
        bool flush() {
            while (sent < out.size()) {
                const ssize_t n = ::send(fd, out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
                if (n > 0) {
                    sent += static_cast<std::size_t>(n);
                } else if (n < 0 && errno == EINTR) {
                    continue;
                } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                    break;
                } else {
                    failure_pending = true;
                    break;
                }
            }
            if (sent == out.size()) {
                if (out.capacity() > kMaxIdleBuffer) std::string().swap(out);
                else out.clear();
                sent = 0;
                if (ending && !end_sent) end_sent = true, ::shutdown(fd, SHUT_WR);
                return true;
            }
            if (sent > kMaxSentPrefix) {
                out.erase(0, sent);
                sent = 0;
            }
            return false;
        }
    };

  public:
    EvStream(Impl* loop, int fd, bool connected, StreamHandler* handler) : state_(std::make_shared<State>()) {
        State& s = *state_;
        s.loop = loop;
        s.fd = fd;
        s.connected = connected;
        s.accepted = connected;
        s.handler = handler;
        ev_io_init(&s.io, on_io, fd, 0);
        ev_set_priority(&s.io, connected ? kAcceptedPriority : kDialledPriority);
        s.io.data = &s;
        ev_timer_init(&s.connect_timer, on_connect_timeout, 0, 0);
        s.connect_timer.data = &s;
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        update_addresses(s);
        s.self = state_;
        s.update_events();
    }
    ~EvStream() override {
        State& s = *state_;
        s.handler = nullptr;
        if (s.fd >= 0) {
            // With unsent bytes or without our end sent, the peer has to see a reset, not an orderly end.
            if (s.sent < s.out.size() || !s.end_sent) {
                const linger abortive{1, 0};
                ::setsockopt(s.fd, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
            }
            s.release();
        }
        s.self.reset();
    }
    void start_connect_timeout(Time timeout) {
        ev_now_update(state_->loop->ev);
        ev_timer_set(&state_->connect_timer, timeout / 1e3, 0);
        ev_timer_start(state_->loop->ev, &state_->connect_timer);
    }
    void set_peer(const Address& peer) { state_->peer = peer; }

    void set_handler(StreamHandler* handler) override { state_->handler = handler; }
    void write(std::string_view bytes) override {
        State& s = *state_;
        if (s.closed || s.ending || bytes.empty()) return;
        const bool idle = s.sent == s.out.size();
        s.out.append(bytes);
        const std::size_t unsent = s.out.size() - s.sent;
        if (s.delivering && unsent < kMaxDelayedBytes) return;
        if ((idle || s.delivering) && s.connected) s.flush();
        s.update_events();
        if (s.failure_pending) schedule_callback(s);
    }
    std::size_t pending() const override { return state_->out.size() - state_->sent; }
    void end() override {
        State& s = *state_;
        if (s.closed || s.ending) return;
        s.ending = true;
        if (s.connected && s.sent == s.out.size()) s.flush();
        if (s.peer_ended && s.end_sent) schedule_callback(s);
    }
    void pause() override { state_->paused = true, state_->update_events(); }
    void resume() override { state_->paused = false, state_->update_events(); }
    void read_available(std::size_t max_bytes) override {
        const auto state = state_;
        State& s = *state;
        if (s.closed || !s.connected || s.paused || s.peer_ended) return;
        read(s, std::min(max_bytes, kMaxReadBytes));
        if (s.closed) return;
        s.update_events();
        if (s.failure_pending || (s.peer_ended && s.end_sent)) schedule_callback(s);
    }
    bool has_peer_closed() const override {
        const State& s = *state_;
        if (s.closed || s.peer_ended) return true;
        if (!s.connected) return false;
        pollfd watched{s.fd, POLLRDHUP, 0};
        return ::poll(&watched, 1, 0) > 0 && (watched.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
    }
    Address peer() const override { return state_->peer; }
    Address local() const override { return state_->local; }

  private:
    static void update_addresses(State& s) {
        SocketAddress a;
        a.size = sizeof a.storage;
        if (::getpeername(s.fd, a.get(), &a.size) == 0) s.peer = to_address(a);
        a.size = sizeof a.storage;
        if (::getsockname(s.fd, a.get(), &a.size) == 0) s.local = to_address(a);
    }
    // Makes the loop call on_io, which reports what was found during a call of the owner. Call this after
    // update_events(), which discards events fed to the watcher.
    static void schedule_callback(State& s) { ev_feed_event(s.loop->ev, &s.io, EV_READ); }

    static void on_connect_timeout(struct ev_loop*, ev_timer* w, int) {
        const auto state = static_cast<State*>(w->data)->self;
        state->close_and_notify(CloseStatus::unreachable);
    }
    static void on_io(struct ev_loop* loop, ev_io* w, int events) {
        const auto state = static_cast<State*>(w->data)->self;
        State& s = *state;
        if (!s.connected) {
            int error = 0;
            socklen_t size = sizeof error;
            ::getsockopt(s.fd, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error) return s.close_and_notify(close_status_of(error));
            s.connected = true;
            ev_timer_stop(loop, &s.connect_timer);
            update_addresses(s);
            if (s.handler) s.handler->on_open();
            if (s.closed) return;
        }
        if ((events & EV_READ) && !s.paused && !s.peer_ended) read(s, s.max_read_bytes());
        if (s.closed) return;
        if ((events & EV_WRITE) && s.sent < s.out.size()) {
            const bool done = s.flush();
            if (s.failure_pending) return s.close_and_notify(CloseStatus::reset);
            if (done && s.handler) s.handler->on_flushed();
        }
        if (s.closed) return;
        if (s.failure_pending) return s.close_and_notify(CloseStatus::reset);
        if (s.ending && s.sent == s.out.size() && !s.end_sent) s.flush();
        if (s.peer_ended && s.end_sent) return s.close_and_notify(CloseStatus::clean);
        s.update_events();
    }
    // Uses a shared buffer, unless it is in use: a callback may read another stream (read_available) while it
    // still holds the bytes of its own.
    static void read(State& s, std::size_t max_bytes) {
        static thread_local bool in_callback = false;
        if (in_callback) {
            std::vector<char> buffer(max_bytes);
            return read_into(s, buffer, max_bytes);
        }
        static thread_local std::vector<char> buffer(kMaxReadBytes);
        struct Guard {
            Guard() { in_callback = true; }
            ~Guard() { in_callback = false; }
        } guard;
        read_into(s, buffer, max_bytes);
    }
    // Answers to the messages of one read are sent together: each call of the system costs more than a
    // message.
    static void deliver(State& s, std::string_view bytes) {
        if (!s.handler) return;
        const bool was_idle = s.sent == s.out.size();
        s.delivering = true;
        s.handler->on_data(bytes);
        s.delivering = false;
        if (!s.closed && was_idle && s.sent < s.out.size()) s.flush();
    }
    static void read_into(State& s, std::vector<char>& buffer, std::size_t max_bytes) {
        const ssize_t n = ::recv(s.fd, buffer.data(), max_bytes, 0);
        if (n > 0 && s.accepted) s.loop->accepted_bytes += static_cast<std::size_t>(n);
        if (n > 0) {
            deliver(s, {buffer.data(), static_cast<std::size_t>(n)});
        } else if (n == 0) {
            s.peer_ended = true;
            if (s.handler) s.handler->on_end();
        } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            s.close_and_notify(CloseStatus::reset);
        }
    }

    std::shared_ptr<State> state_;
};

// A stream whose connection attempt failed within dial(); the failure is reported from the loop.
class FailedStream : public Stream {
  public:
    FailedStream(Loop* loop, const Address& peer, CloseStatus close_status, StreamHandler* handler)
        : peer_(peer), handler_(handler) {
        timer_ = loop->after(0, [this, close_status] {
            if (handler_) handler_->on_closed(close_status);
        });
    }
    void set_handler(StreamHandler* handler) override { handler_ = handler; }
    void write(std::string_view) override {}
    std::size_t pending() const override { return 0; }
    void end() override {}
    void pause() override {}
    void resume() override {}
    void read_available(std::size_t) override {}
    bool has_peer_closed() const override { return true; }
    Address peer() const override { return peer_; }
    Address local() const override { return {}; }

  private:
    Address peer_;
    StreamHandler* handler_;
    Timer timer_;
};

class EvListener : public Listener {
  public:
    EvListener(Impl* loop, int fd, Loop::AcceptHandler on_accept)
        : loop_(loop), fd_(fd), on_accept_(std::move(on_accept)) {
        ev_io_init(&io_, on_io, fd, EV_READ);
        io_.data = this;
        ev_io_start(loop_->ev, &io_);
        ev_timer_init(&retry_timer_, on_retry, 0, 0);
        retry_timer_.data = this;
        SocketAddress a;
        a.size = sizeof a.storage;
        if (::getsockname(fd_, a.get(), &a.size) == 0) address_ = to_address(a);
    }
    ~EvListener() override {
        if (destroyed_) *destroyed_ = true;
        ev_io_stop(loop_->ev, &io_);
        ev_timer_stop(loop_->ev, &retry_timer_);
        ::close(fd_);
    }
    Address address() const override { return address_; }
    void pause() override { paused_ = true, ev_io_stop(loop_->ev, &io_); }
    void resume() override { paused_ = false, ev_io_start(loop_->ev, &io_); }

  private:
    static void on_retry(struct ev_loop*, ev_timer* w, int) {
        auto* self = static_cast<EvListener*>(w->data);
        if (!self->paused_) ev_io_start(self->loop_->ev, &self->io_);
    }
    static void on_io(struct ev_loop*, ev_io* w, int) {
        auto* self = static_cast<EvListener*>(w->data);
        bool destroyed = false;
        self->destroyed_ = &destroyed;
        for (int k = 0; k < kMaxAcceptsPerTurn && !destroyed && !self->paused_; ++k) {
            const int fd = ::accept4(self->fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
                    ev_io_stop(self->loop_->ev, &self->io_);
                    ev_timer_set(&self->retry_timer_, kAcceptRetryDelay_s, 0);
                    ev_timer_start(self->loop_->ev, &self->retry_timer_);
                }
                break;
            }
            self->on_accept_(std::make_unique<EvStream>(self->loop_, fd, true, nullptr));
        }
        if (!destroyed) self->destroyed_ = nullptr;
    }

    Impl* loop_;
    int fd_;
    Loop::AcceptHandler on_accept_;
    ev_io io_{};
    ev_timer retry_timer_{};
    bool paused_ = false;
    bool* destroyed_ = nullptr;  // set to true by the destructor while on_io runs
    Address address_;
};

class EvDatagramSocket : public DatagramSocket {
  public:
    EvDatagramSocket(Impl* loop, int fd, ReceiveHandler on_receive)
        : loop_(loop), fd_(fd), on_receive_(std::move(on_receive)) {
        ev_io_init(&io_, on_io, fd, EV_READ);
        ev_set_priority(&io_, kDatagramPriority);
        io_.data = this;
        ev_io_start(loop_->ev, &io_);
    }
    ~EvDatagramSocket() override {
        if (destroyed_) *destroyed_ = true;
        ev_io_stop(loop_->ev, &io_);
        ::close(fd_);
    }
    void send(const Address& to, std::string_view bytes) override {
        const SocketAddress a = to_sockaddr(to);
        if (a.size == 0) return;
        if (::sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, a.get(), a.size) < 0) return;
    }
    Address address() const override {
        SocketAddress a;
        a.size = sizeof a.storage;
        return ::getsockname(fd_, a.get(), &a.size) == 0 ? to_address(a) : Address{};
    }

  private:
    static void on_io(struct ev_loop*, ev_io* w, int) {
        static thread_local std::array<char, kMaxReadBytes> buffer;
        auto* self = static_cast<EvDatagramSocket*>(w->data);
        bool destroyed = false;
        self->destroyed_ = &destroyed;
        for (int k = 0; k < kMaxDatagramsPerTurn && !destroyed; ++k) {
            SocketAddress from;
            from.size = sizeof from.storage;
            const ssize_t n = ::recvfrom(self->fd_, buffer.data(), buffer.size(), 0, from.get(), &from.size);
            // No more datagrams, or the pending error of an earlier send, which this call has cleared.
            if (n < 0) break;
            self->on_receive_(to_address(from), {buffer.data(), static_cast<std::size_t>(n)});
        }
        if (!destroyed) self->destroyed_ = nullptr;
    }

    Impl* loop_;
    int fd_;
    ReceiveHandler on_receive_;
    ev_io io_{};
    bool* destroyed_ = nullptr;  // set to true by the destructor while on_io runs
};

}  // namespace

EvLoop::EvLoop(std::uint64_t seed) : impl_(std::make_unique<Impl>(seed)) {}
EvLoop::~EvLoop() = default;
Time EvLoop::now() const { return impl_->now; }
double EvLoop::wall_ms() const { return clock_ms(CLOCK_REALTIME); }
std::mt19937_64& EvLoop::random() { return impl_->random; }
std::uint64_t EvLoop::schedule(Time when, Task task) { return impl_->timers.add(when, std::move(task)); }
void EvLoop::cancel(std::uint64_t id) { impl_->timers.cancel(id); }
void EvLoop::run() {
    // The extra reference keeps the loop running until stop() even if nothing else is watched: a timer set
    // before run(), or a task added by a watcher's callback, still has to wake it.
    impl_->now = clock_ms(CLOCK_MONOTONIC);
    ev_ref(impl_->ev);
    ev_run(impl_->ev, 0);
    ev_unref(impl_->ev);
}
void EvLoop::stop() { ev_break(impl_->ev, EVBREAK_ALL); }
void EvLoop::on_signal(int number, Task task) {
    auto& signal = impl_->signals.emplace_back();
    signal.task = std::move(task);
    ev_signal_init(
        &signal.watcher,
        [](struct ev_loop*, ev_signal* w, int) { static_cast<Impl::SignalTask*>(w->data)->task(); }, number);
    signal.watcher.data = &signal;
    ev_signal_start(impl_->ev, &signal.watcher);
    ev_unref(impl_->ev);
}

std::unique_ptr<Listener> EvLoop::listen(const Address& address, AcceptHandler on_accept) {
    const auto fail = [&](const char* what) {
        return std::runtime_error("can't listen on " + address.text() + ": " + what);
    };
    const SocketAddress a = to_sockaddr(address);
    if (a.size == 0) throw fail("not a numeric address");
    const int fd = ::socket(a.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) throw fail(std::strerror(errno));
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (::bind(fd, a.get(), a.size) != 0 || ::listen(fd, 4096) != 0) {
        const int error = errno;
        ::close(fd);
        throw fail(std::strerror(error));
    }
    return std::make_unique<EvListener>(impl_.get(), fd, std::move(on_accept));
}

std::unique_ptr<Stream> EvLoop::dial(const Address& address, Time timeout, StreamHandler* handler) {
    const SocketAddress a = to_sockaddr(address);
    if (a.size == 0) return std::make_unique<FailedStream>(this, address, CloseStatus::unreachable, handler);
    const int fd = ::socket(a.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return std::make_unique<FailedStream>(this, address, close_status_of(errno), handler);
    if (::connect(fd, a.get(), a.size) != 0 && errno != EINPROGRESS) {
        const CloseStatus close_status = close_status_of(errno);
        ::close(fd);
        return std::make_unique<FailedStream>(this, address, close_status, handler);
    }
    auto stream = std::make_unique<EvStream>(impl_.get(), fd, false, handler);
    stream->set_peer(address);
    stream->start_connect_timeout(timeout);
    return stream;
}

std::unique_ptr<DatagramSocket> EvLoop::open_datagram_socket(const Address& local,
                                                             DatagramSocket::ReceiveHandler on_receive) {
    const auto fail = [&](const char* what) {
        return std::runtime_error("can't open a datagram socket on " + local.text() + ": " + what);
    };
    const SocketAddress a = to_sockaddr(local);
    if (a.size == 0) throw fail("not a numeric address");
    const int fd = ::socket(a.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) throw fail(std::strerror(errno));
    if (::bind(fd, a.get(), a.size) != 0) {
        const int error = errno;
        ::close(fd);
        throw fail(std::strerror(error));
    }
    return std::make_unique<EvDatagramSocket>(impl_.get(), fd, std::move(on_receive));
}

std::uint64_t system_seed() {
    std::random_device source;
    return static_cast<std::uint64_t>(source()) << 32 | source();
}

}  // namespace ivyfield::io
