#include "io/ev/ev_loop.hpp"

#include <arpa/inet.h>
#include <ev.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
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

// Accepted and read in one go at most so much, so that one busy peer does not keep the others waiting.
constexpr int kAcceptsATurn = 64;
constexpr int kDatagramsATurn = 16;
constexpr std::size_t kReadATurn = 64 * 1024;
// After running out of descriptors the listener rests, else it would spin on the same connection.
constexpr double kAcceptRest_s = 0.1;
// Of what is ready in one turn: answers from those that we dialled, then what comes from clients, then
// datagrams. The first finish what was begun, the last may take long to read. Timers come after all of them.
constexpr int kDialledPriority = 1, kAcceptedPriority = 0, kDatagramPriority = -1;
// Timers that run later than this have waited for the process, not for their time.
constexpr Time kLate = 20;

struct SocketAddress {
    sockaddr_storage storage{};
    socklen_t size = 0;
    const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

SocketAddress to_system(const Address& a) {
    SocketAddress out;
    auto* four = reinterpret_cast<sockaddr_in*>(&out.storage);
    auto* six = reinterpret_cast<sockaddr_in6*>(&out.storage);
    if (inet_pton(AF_INET, a.host.c_str(), &four->sin_addr) == 1) {
        four->sin_family = AF_INET;
        four->sin_port = htons(a.port);
        out.size = sizeof *four;
    } else if (inet_pton(AF_INET6, a.host.c_str(), &six->sin6_addr) == 1) {
        six->sin6_family = AF_INET6;
        six->sin6_port = htons(a.port);
        out.size = sizeof *six;
    }
    return out;  // size 0: not a numeric address
}

Address from_system(const SocketAddress& s) {
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (s.storage.ss_family == AF_INET) {
        const auto* four = reinterpret_cast<const sockaddr_in*>(&s.storage);
        inet_ntop(AF_INET, &four->sin_addr, text.data(), text.size());
        return {text.data(), ntohs(four->sin_port)};
    }
    if (s.storage.ss_family == AF_INET6) {
        const auto* six = reinterpret_cast<const sockaddr_in6*>(&s.storage);
        inet_ntop(AF_INET6, &six->sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(six->sin6_port)};
    }
    return {"0.0.0.0", 0};
}

CloseReason closing_of(int error) {
    switch (error) {
        case ECONNREFUSED:
            return CloseReason::refused;
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case EADDRNOTAVAIL:
            return CloseReason::no_resources;
        default:
            return CloseReason::unreachable;
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
        if (!ev) throw std::runtime_error("libev can't start an event loop");
        ev_timer_init(&timer, on_timer, 0, 0);
        timer.data = this;
        static_assert(EV_MINPRI < kDatagramPriority && kDialledPriority < EV_MAXPRI);
        // After a stop of its own a process reads what waits before it judges by its timers that others were
        // silent.
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
        // Tasks that never ran may hold streams, which need the loop to be closed; those may add tasks.
        while (!timers.empty()) {
            TimerQueue old;
            std::swap(old, timers);
        }
        for (auto& one : signals) ev_signal_stop(ev, &one.watcher);
        ev_ref(ev), ev_prepare_stop(ev, &prepare);
        ev_ref(ev), ev_check_stop(ev, &check);
        ev_timer_stop(ev, &timer);
        ev_loop_destroy(ev);
    }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    // Before waiting: sleep until the first timer. After: take the time once for the whole turn.
    static void on_prepare(struct ev_loop* loop, ev_prepare* w, int) {
        auto* self = static_cast<Impl*>(w->data);
        ev_timer_stop(loop, &self->timer);
        if (self->timers.empty()) return;
        const double wait = std::max(0.0, self->timers.first_due() - clock_ms(CLOCK_MONOTONIC)) / 1e3;
        ev_now_update(loop);
        ev_timer_set(&self->timer, wait, 0);
        ev_timer_start(loop, &self->timer);
    }
    static void on_check(struct ev_loop*, ev_check* w, int) {
        static_cast<Impl*>(w->data)->now = clock_ms(CLOCK_MONOTONIC);
    }
    static void on_timer(struct ev_loop*, ev_timer* w, int) {
        auto* self = static_cast<Impl*>(w->data);
        // A wait that a signal broke off (the one that continues a stopped process too) brings no input
        // though there is some. Timers that are late by so much wait for one more look.
        if (!self->looked_again && !self->timers.empty() && self->now - self->timers.first_due() > kLate) {
            self->looked_again = true;
            return;
        }
        self->looked_again = false;
        const std::uint64_t before = self->timers.last_id();
        while (Task task = self->timers.take_due(self->now, before)) task();
    }

    struct SignalTask {
        ev_signal watcher;
        Task task;
    };

    struct ev_loop* ev;
    ev_timer timer;
    ev_prepare prepare;
    ev_check check;
    Time now;
    bool looked_again = false;
    TimerQueue timers;
    std::mt19937_64 random;
    std::list<SignalTask> signals;
};

namespace {

using Impl = EvLoop::Impl;

class EvStream : public Stream {
    // Outlives the stream while one of its callbacks runs.
    struct State {
        Impl* loop = nullptr;
        int fd = -1;
        ev_io io{};
        ev_timer dialling{};
        StreamHandler* handler = nullptr;
        std::string out;
        std::size_t sent = 0;  // of `out`
        bool connected = true, paused = false, ending = false, end_sent = false, peer_ended = false;
        bool closed = false;     // nothing more is told
        bool late_tell = false;  // a failure found inside a call is told from the loop
        CloseReason late_why = CloseReason::reset;
        Address peer, local;
        std::shared_ptr<State> self;  // while a watcher is active

        void release() {
            if (fd >= 0) {
                ev_io_stop(loop->ev, &io);
                ev_timer_stop(loop->ev, &dialling);
                ::close(fd);
                fd = -1;
            }
            closed = true;
        }
        void interest() {
            if (fd < 0) return;
            int events = 0;
            if (!connected || sent < out.size()) events |= EV_WRITE;
            if (connected && !paused && !peer_ended) events |= EV_READ;
            if (events == (io.events & (EV_READ | EV_WRITE)) && (events == 0 || ev_is_active(&io))) return;
            ev_io_stop(loop->ev, &io);
            ev_io_set(&io, fd, events);
            if (events) ev_io_start(loop->ev, &io);
        }
        void close_with(CloseReason why) {
            if (closed) return;
            release();
            if (handler) handler->on_closed(why);
        }
        // True: everything has left.
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
                    late_tell = true;
                    break;
                }
            }
            if (sent == out.size()) {
                out.clear();
                sent = 0;
                if (ending && !end_sent) end_sent = true, ::shutdown(fd, SHUT_WR);
                return true;
            }
            if (sent > 1 << 20) out.erase(0, sent), sent = 0;
            return false;
        }
    };

  public:
    EvStream(Impl* loop, int fd, bool connected, StreamHandler* handler) : state_(std::make_shared<State>()) {
        State& s = *state_;
        s.loop = loop;
        s.fd = fd;
        s.connected = connected;
        s.handler = handler;
        ev_io_init(&s.io, on_io, fd, 0);
        ev_set_priority(&s.io, connected ? kAcceptedPriority : kDialledPriority);
        s.io.data = &s;
        ev_timer_init(&s.dialling, on_dial_timeout, 0, 0);
        s.dialling.data = &s;
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        learn_addresses(s);
        s.self = state_;
        s.interest();
    }
    ~EvStream() override {
        State& s = *state_;
        s.handler = nullptr;
        if (s.fd >= 0) {
            // Bytes not taken, or a peer that still sends: it is to see a reset, not an end that looks whole.
            if (s.sent < s.out.size() || !s.end_sent) {
                const linger hard{1, 0};
                ::setsockopt(s.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            }
            s.release();
        }
        s.self.reset();
    }
    void dial_until(Time timeout) {
        ev_now_update(state_->loop->ev);
        ev_timer_set(&state_->dialling, timeout / 1e3, 0);
        ev_timer_start(state_->loop->ev, &state_->dialling);
    }
    void set_peer(const Address& peer) { state_->peer = peer; }

    void set_handler(StreamHandler* handler) override { state_->handler = handler; }
    void write(std::string_view bytes) override {
        State& s = *state_;
        if (s.closed || s.ending || bytes.empty()) return;
        const bool idle = s.sent == s.out.size();
        s.out.append(bytes);
        if (idle && s.connected) s.flush();
        s.interest();
        if (s.late_tell) call_later(s);
    }
    std::size_t pending() const override { return state_->out.size() - state_->sent; }
    void end() override {
        State& s = *state_;
        if (s.closed || s.ending) return;
        s.ending = true;
        if (s.connected && s.sent == s.out.size()) s.flush();
        if (s.peer_ended && s.end_sent) call_later(s);
    }
    void pause() override { state_->paused = true, state_->interest(); }
    void resume() override { state_->paused = false, state_->interest(); }
    void read_available() override {
        const auto keep = state_;
        State& s = *keep;
        if (s.closed || !s.connected || s.paused || s.peer_ended) return;
        read(s);
        if (s.closed) return;
        s.interest();
        if (s.peer_ended && s.end_sent) call_later(s);
    }
    Address peer() const override { return state_->peer; }
    Address local() const override { return state_->local; }

  private:
    static void learn_addresses(State& s) {
        SocketAddress a;
        a.size = sizeof a.storage;
        if (::getpeername(s.fd, a.get(), &a.size) == 0) s.peer = from_system(a);
        a.size = sizeof a.storage;
        if (::getsockname(s.fd, a.get(), &a.size) == 0) s.local = from_system(a);
    }
    // What is found inside a call is told from the loop; call after interest(), which forgets what was fed.
    static void call_later(State& s) { ev_feed_event(s.loop->ev, &s.io, EV_READ); }

    static void on_dial_timeout(struct ev_loop*, ev_timer* w, int) {
        const auto keep = static_cast<State*>(w->data)->self;
        keep->close_with(CloseReason::unreachable);
    }
    static void on_io(struct ev_loop* loop, ev_io* w, int events) {
        const auto keep = static_cast<State*>(w->data)->self;
        State& s = *keep;
        if (!s.connected) {
            int error = 0;
            socklen_t size = sizeof error;
            ::getsockopt(s.fd, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error) return s.close_with(closing_of(error));
            s.connected = true;
            ev_timer_stop(loop, &s.dialling);
            learn_addresses(s);
            if (s.handler) s.handler->on_open();
            if (s.closed) return;
        }
        if ((events & EV_READ) && !s.paused && !s.peer_ended) read(s);
        if (s.closed) return;
        if ((events & EV_WRITE) && s.sent < s.out.size()) {
            const bool done = s.flush();
            if (s.late_tell) return s.close_with(CloseReason::reset);
            if (done && s.handler) s.handler->on_flushed();
        }
        if (s.closed) return;
        if (s.late_tell) return s.close_with(CloseReason::reset);
        if (s.ending && s.sent == s.out.size() && !s.end_sent) s.flush();
        if (s.peer_ended && s.end_sent) return s.close_with(CloseReason::clean);
        s.interest();
    }
    // A callback may have another stream read (read_available) while it holds the bytes of its own.
    static void read(State& s) {
        static thread_local bool in_callback = false;
        if (in_callback) {
            std::vector<char> buffer(kReadATurn);
            return read_into(s, buffer);
        }
        static thread_local std::vector<char> buffer(kReadATurn);
        struct Guard {
            Guard() { in_callback = true; }
            ~Guard() { in_callback = false; }
        } guard;
        read_into(s, buffer);
    }
    static void read_into(State& s, std::vector<char>& buffer) {
        const ssize_t n = ::recv(s.fd, buffer.data(), buffer.size(), 0);
        if (n > 0) {
            if (s.handler) s.handler->on_data({buffer.data(), static_cast<std::size_t>(n)});
        } else if (n == 0) {
            s.peer_ended = true;
            if (s.handler) s.handler->on_end();
        } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            s.close_with(CloseReason::reset);
        }
    }

    std::shared_ptr<State> state_;
};

// A dial that failed at once; told from the loop.
class FailedStream : public Stream {
  public:
    FailedStream(Loop* loop, const Address& peer, CloseReason why, StreamHandler* handler)
        : peer_(peer), handler_(handler) {
        timer_ = loop->after(0, [this, why] {
            if (handler_) handler_->on_closed(why);
        });
    }
    void set_handler(StreamHandler* handler) override { handler_ = handler; }
    void write(std::string_view) override {}
    std::size_t pending() const override { return 0; }
    void end() override {}
    void pause() override {}
    void resume() override {}
    void read_available() override {}
    Address peer() const override { return peer_; }
    Address local() const override { return {}; }

  private:
    Address peer_;
    StreamHandler* handler_;
    Timer timer_;
};

class EvListener : public Listener {
  public:
    EvListener(Impl* loop, int fd, Loop::AcceptHandler accept)
        : loop_(loop), fd_(fd), accept_(std::move(accept)) {
        ev_io_init(&io_, on_io, fd, EV_READ);
        io_.data = this;
        ev_io_start(loop_->ev, &io_);
        ev_timer_init(&rest_, on_rested, 0, 0);
        rest_.data = this;
        SocketAddress a;
        a.size = sizeof a.storage;
        if (::getsockname(fd_, a.get(), &a.size) == 0) address_ = from_system(a);
    }
    ~EvListener() override {
        if (gone_) *gone_ = true;
        ev_io_stop(loop_->ev, &io_);
        ev_timer_stop(loop_->ev, &rest_);
        ::close(fd_);
    }
    Address address() const override { return address_; }
    void pause() override { paused_ = true, ev_io_stop(loop_->ev, &io_); }
    void resume() override { paused_ = false, ev_io_start(loop_->ev, &io_); }

  private:
    static void on_rested(struct ev_loop*, ev_timer* w, int) {
        auto* self = static_cast<EvListener*>(w->data);
        if (!self->paused_) ev_io_start(self->loop_->ev, &self->io_);
    }
    static void on_io(struct ev_loop*, ev_io* w, int) {
        auto* self = static_cast<EvListener*>(w->data);
        bool gone = false;
        self->gone_ = &gone;
        for (int k = 0; k < kAcceptsATurn && !gone && !self->paused_; ++k) {
            const int fd = ::accept4(self->fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
                    ev_io_stop(self->loop_->ev, &self->io_);
                    ev_timer_set(&self->rest_, kAcceptRest_s, 0);
                    ev_timer_start(self->loop_->ev, &self->rest_);
                }
                break;
            }
            self->accept_(std::make_unique<EvStream>(self->loop_, fd, true, nullptr));
        }
        if (!gone) self->gone_ = nullptr;
    }

    Impl* loop_;
    int fd_;
    Loop::AcceptHandler accept_;
    ev_io io_{};
    ev_timer rest_{};
    bool paused_ = false;
    bool* gone_ = nullptr;
    Address address_;
};

class EvDatagramSocket : public DatagramSocket {
  public:
    EvDatagramSocket(Impl* loop, int fd, ReceiveHandler heard)
        : loop_(loop), fd_(fd), heard_(std::move(heard)) {
        ev_io_init(&io_, on_io, fd, EV_READ);
        ev_set_priority(&io_, kDatagramPriority);
        io_.data = this;
        ev_io_start(loop_->ev, &io_);
    }
    ~EvDatagramSocket() override {
        if (gone_) *gone_ = true;
        ev_io_stop(loop_->ev, &io_);
        ::close(fd_);
    }
    void send(const Address& to, std::string_view bytes) override {
        const SocketAddress a = to_system(to);
        if (a.size == 0) return;
        if (::sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, a.get(), a.size) < 0) return;
    }
    Address address() const override {
        SocketAddress a;
        a.size = sizeof a.storage;
        return ::getsockname(fd_, a.get(), &a.size) == 0 ? from_system(a) : Address{};
    }

  private:
    static void on_io(struct ev_loop*, ev_io* w, int) {
        static thread_local std::array<char, kReadATurn> buffer;
        auto* self = static_cast<EvDatagramSocket*>(w->data);
        bool gone = false;
        self->gone_ = &gone;
        for (int k = 0; k < kDatagramsATurn && !gone; ++k) {
            SocketAddress from;
            from.size = sizeof from.storage;
            const ssize_t n = ::recvfrom(self->fd_, buffer.data(), buffer.size(), 0, from.get(), &from.size);
            if (n < 0) break;  // nothing more, or an error of one sent before: both are over with it
            self->heard_(from_system(from), {buffer.data(), static_cast<std::size_t>(n)});
        }
        if (!gone) self->gone_ = nullptr;
    }

    Impl* loop_;
    int fd_;
    ReceiveHandler heard_;
    ev_io io_{};
    bool* gone_ = nullptr;
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
    // A timer set before the run, or a task in a watcher's callback, must wake the loop even if nothing else
    // is watched: the loop is kept alive by one reference until stop().
    impl_->now = clock_ms(CLOCK_MONOTONIC);
    ev_ref(impl_->ev);
    ev_run(impl_->ev, 0);
    ev_unref(impl_->ev);
}
void EvLoop::stop() { ev_break(impl_->ev, EVBREAK_ALL); }
void EvLoop::on_signal(int number, Task task) {
    auto& one = impl_->signals.emplace_back();
    one.task = std::move(task);
    ev_signal_init(
        &one.watcher,
        [](struct ev_loop*, ev_signal* w, int) { static_cast<Impl::SignalTask*>(w->data)->task(); }, number);
    one.watcher.data = &one;
    ev_signal_start(impl_->ev, &one.watcher);
    ev_unref(impl_->ev);
}

std::unique_ptr<Listener> EvLoop::listen(const Address& address, AcceptHandler accept) {
    const auto fail = [&](const char* what) {
        return std::runtime_error("can't listen on " + address.text() + ": " + what);
    };
    const SocketAddress a = to_system(address);
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
    return std::make_unique<EvListener>(impl_.get(), fd, std::move(accept));
}

std::unique_ptr<Stream> EvLoop::dial(const Address& address, Time timeout, StreamHandler* handler) {
    const SocketAddress a = to_system(address);
    if (a.size == 0) return std::make_unique<FailedStream>(this, address, CloseReason::unreachable, handler);
    const int fd = ::socket(a.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return std::make_unique<FailedStream>(this, address, closing_of(errno), handler);
    if (::connect(fd, a.get(), a.size) != 0 && errno != EINPROGRESS) {
        const CloseReason why = closing_of(errno);
        ::close(fd);
        return std::make_unique<FailedStream>(this, address, why, handler);
    }
    auto stream = std::make_unique<EvStream>(impl_.get(), fd, false, handler);
    stream->set_peer(address);
    stream->dial_until(timeout);
    return stream;
}

std::unique_ptr<DatagramSocket> EvLoop::open_datagram_socket(const Address& local,
                                                             DatagramSocket::ReceiveHandler heard) {
    const auto fail = [&](const char* what) {
        return std::runtime_error("no datagrams at " + local.text() + ": " + what);
    };
    const SocketAddress a = to_system(local);
    if (a.size == 0) throw fail("not a numeric address");
    const int fd = ::socket(a.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) throw fail(std::strerror(errno));
    if (::bind(fd, a.get(), a.size) != 0) {
        const int error = errno;
        ::close(fd);
        throw fail(std::strerror(error));
    }
    return std::make_unique<EvDatagramSocket>(impl_.get(), fd, std::move(heard));
}

std::uint64_t system_seed() {
    std::random_device source;
    return static_cast<std::uint64_t>(source()) << 32 | source();
}

}  // namespace ivyfield::io
