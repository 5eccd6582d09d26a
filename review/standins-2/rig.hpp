// Stand-ins of the platform for the cases of the second review: an event loop, a name server, media nodes, viewers'
// connections, a proxy and the director as a process. One thread, the real clock, loopback addresses only. It uses
// POSIX sockets and the C++ library, nothing of the project's code, so that a fault of the project's codec can't hide.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rig {

inline double clock_ms(clockid_t clock) {
    timespec t{};
    clock_gettime(clock, &t);
    return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_nsec) / 1e6;
}
inline double origin_ms() {
    static const double origin = clock_ms(CLOCK_MONOTONIC);
    return origin;
}
// Milliseconds since the start of the case.
inline double now() { return clock_ms(CLOCK_MONOTONIC) - origin_ms(); }
inline double unix_ms() { return clock_ms(CLOCK_REALTIME); }

// ---- The record ----

inline FILE*& record_file() {
    static FILE* file = nullptr;
    return file;
}
// Writes one line to record.txt.
__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
    FILE* file = record_file();
    if (!file) return;
    std::fprintf(file, "%10.1f  ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file, format, arguments);
    va_end(arguments);
    std::fputc('\n', file);
    std::fflush(file);
}

// The case can't run: exit code 2.
[[noreturn]] inline void cannot_run(const std::string& why) {
    record("the case can't run: %s", why.c_str());
    std::fprintf(stderr, "the case can't run: %s\n", why.c_str());
    std::exit(2);
}

// ---- The loop ----

class Loop {
  public:
    using Task = std::function<void()>;
    void at(double when, Task task) { timers_.emplace(when, std::move(task)); }
    void after(double delay, Task task) { at(now() + delay, std::move(task)); }
    // `wants_write` is asked before each wait.
    void watch(int fd, std::function<short()> events, std::function<void(short)> ready) {
        watches_[fd] = {std::move(events), std::move(ready)};
    }
    void unwatch(int fd) { watches_.erase(fd); }
    void stop() { stopped_ = true; }
    void run() {
        while (!stopped_) {
            std::vector<pollfd> fds;
            for (const auto& [fd, watch] : watches_)
                if (const short events = watch.events()) fds.push_back({fd, events, 0});
            int wait = 1000;
            if (!timers_.empty())
                wait = static_cast<int>(std::max(0.0, std::min(1000.0, timers_.begin()->first - now() + 0.5)));
            ::poll(fds.data(), fds.size(), wait);
            for (const pollfd& one : fds) {
                if (!one.revents) continue;
                const auto it = watches_.find(one.fd);
                if (it == watches_.end()) continue;
                const auto ready = it->second.ready;
                ready(one.revents);
                if (stopped_) return;
            }
            while (!stopped_ && !timers_.empty() && timers_.begin()->first <= now()) {
                const Task task = std::move(timers_.begin()->second);
                timers_.erase(timers_.begin());
                task();
            }
        }
    }

  private:
    struct Watch {
        std::function<short()> events;
        std::function<void(short)> ready;
    };
    std::map<int, Watch> watches_;
    std::multimap<double, Task> timers_;
    bool stopped_ = false;
};

// ---- Sockets ----

inline sockaddr_in loopback(int port) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    return a;
}
inline int port_of(int fd) {
    sockaddr_in a{};
    socklen_t size = sizeof a;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
    return ntohs(a.sin_port);
}
inline int open_listener(int backlog = 128) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in a = loopback(0);
    if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) || ::listen(fd, backlog))
        cannot_run("no listener");
    return fd;
}
// A port for the director, free at this moment.
inline int free_port() {
    const int fd = open_listener();
    const int port = port_of(fd);
    ::close(fd);
    return port;
}

// One TCP connection, from either side.
class Connection : public std::enable_shared_from_this<Connection> {
  public:
    enum class End { clean, reset };
    Connection(Loop& loop, int fd) : loop_(loop), fd_(fd) {
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    static std::shared_ptr<Connection> dial(Loop& loop, int port) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in a = loopback(port);
        if (fd < 0) cannot_run("no socket");
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) && errno != EINPROGRESS) {
            ::close(fd);
            return nullptr;
        }
        auto connection = std::make_shared<Connection>(loop, fd);
        connection->connected_ = false;
        connection->start();
        return connection;
    }
    void start() {
        loop_.watch(
            fd_,
            [this]() -> short {
                if (!connected_) return POLLOUT;
                if (silent) return 0;
                return static_cast<short>((ended_ ? 0 : POLLIN) | (out_.empty() ? 0 : POLLOUT));
            },
            [weak = weak_from_this()](short events) {
                if (const auto self = weak.lock()) self->ready(events);
            });
    }
    bool open() const { return fd_ >= 0; }
    bool connected() const { return connected_; }
    void write(const std::string& bytes) {
        if (fd_ < 0) return;
        out_ += bytes;
        if (connected_ && !silent) flush();
    }
    void shutdown_write() {
        if (fd_ >= 0) ::shutdown(fd_, SHUT_WR);
    }
    void close() {
        if (fd_ < 0) return;
        loop_.unwatch(fd_);
        ::close(fd_);
        fd_ = -1;
    }
    void reset() {
        if (fd_ < 0) return;
        const linger abortive{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
        close();
    }
    // Whether bytes wait to be read.
    bool has_unread() const {
        int size = 0;
        return fd_ >= 0 && ::ioctl(fd_, FIONREAD, &size) == 0 && size > 0;
    }
    std::function<void(const std::string&)> on_bytes;
    std::function<void(End)> on_end;  // the other side has ended or reset it
    std::function<void()> on_open;
    bool silent = false;  // nothing is read or written: as if the machine were gone
    int number = 0;

  private:
    void flush() {
        while (!out_.empty()) {
            const ssize_t n = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
            if (n <= 0) return;
            out_.erase(0, static_cast<std::size_t>(n));
        }
    }
    void ready(short) {
        const auto keep = shared_from_this();
        if (!connected_) {
            int error = 0;
            socklen_t size = sizeof error;
            ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error) return over(End::reset);
            connected_ = true;
            flush();
            if (on_open) on_open();
            return;
        }
        if (!out_.empty()) flush();
        char buffer[65536];
        const ssize_t n = ::recv(fd_, buffer, sizeof buffer, 0);
        if (n > 0) {
            if (on_bytes) on_bytes(std::string(buffer, static_cast<std::size_t>(n)));
        } else if (n == 0) {
            ended_ = true;
            over(End::clean);
        } else if (errno != EAGAIN && errno != EINTR) {
            over(End::reset);
        }
    }
    void over(End end) {
        if (on_end) on_end(end);
        close();
    }

    Loop& loop_;
    int fd_;
    bool connected_ = true, ended_ = false;
    std::string out_;
};
using Link = std::shared_ptr<Connection>;

inline void accept_all(int listener, Loop& loop, const std::function<void(Link)>& accepted) {
    for (;;) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) return;
        auto link = std::make_shared<Connection>(loop, fd);
        link->start();
        accepted(link);
    }
}

inline std::string hex(std::uint64_t number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

// ---- The name server ----

struct Listed {
    std::string uid;
    int port = 0;
    bool draining = false;
    double started = 0;
    double weight = 4;
};

// Answers the SRV query with the whole list; the serial is the number of the last event.
class NameServer {
  public:
    explicit NameServer(Loop& loop) : loop_(loop) {
        fd_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in a = loopback(0);
        if (fd_ < 0 || ::bind(fd_, reinterpret_cast<const sockaddr*>(&a), sizeof a)) cannot_run("no UDP socket");
        loop_.watch(fd_, [] { return static_cast<short>(POLLIN); }, [this](short) { receive(); });
    }
    ~NameServer() { ::close(fd_); }
    int port() const { return port_of(fd_); }
    std::vector<Listed> nodes;
    std::uint32_t serial = 1;
    int queries = 0;
    std::function<void()> on_answered;

  private:
    static void put16(std::string& out, unsigned value) {
        out.push_back(static_cast<char>(value >> 8)), out.push_back(static_cast<char>(value));
    }
    static void put32(std::string& out, std::uint32_t value) { put16(out, value >> 16), put16(out, value & 0xffff); }
    static void put_name(std::string& out, const std::string& name) {
        std::size_t from = 0;
        while (from < name.size()) {
            const std::size_t dot = std::min(name.find('.', from), name.size());
            out.push_back(static_cast<char>(dot - from));
            out += name.substr(from, dot - from);
            from = dot + 1;
        }
        out.push_back('\0');
    }
    static void put_record(std::string& out, const std::string& name, unsigned type, const std::string& data) {
        put_name(out, name), put16(out, type), put16(out, 1), put32(out, 5);
        put16(out, static_cast<unsigned>(data.size()));
        out += data;
    }
    static std::string txt(const std::string& text) { return std::string(1, static_cast<char>(text.size())) + text; }
    void receive() {
        char buffer[2048];
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t n =
            ::recvfrom(fd_, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (n < 17) return;
        queries += 1;
        // The question ends with its name's root label, type and class.
        std::size_t end = 12;
        while (end < static_cast<std::size_t>(n) && buffer[end]) end += static_cast<unsigned char>(buffer[end]) + 1;
        end += 5;
        if (end > static_cast<std::size_t>(n)) return;
        std::string out(buffer, 2);
        put16(out, 0x8400), put16(out, 1), put16(out, static_cast<unsigned>(nodes.size())), put16(out, 1);
        put16(out, static_cast<unsigned>(2 * nodes.size()));
        out.append(buffer + 12, end - 12);
        for (const Listed& node : nodes) {
            std::string data;
            put16(data, node.draining ? 1 : 0), put16(data, static_cast<unsigned>(node.weight * 10));
            put16(data, static_cast<unsigned>(node.port)), put_name(data, node.uid + ".room.hosts");
            put_record(out, "_api._tcp.svc.local", 33, data);
        }
        std::string soa;
        put_name(soa, "ns.svc.local"), put_name(soa, "ops.svc.local"), put32(soa, serial);
        for (int k = 0; k < 4; ++k) put32(soa, 5);
        put_record(out, "svc.local", 6, soa);
        for (const Listed& node : nodes) {
            put_record(out, node.uid + ".room.hosts", 1, std::string("\x7f\0\0\x01", 4));
            char started[40];
            std::snprintf(started, sizeof started, "started=%.0f", node.started);
            put_record(out, node.uid + ".room.hosts", 16, txt("kind=std") + txt("cell=0") + txt(started));
        }
        ::sendto(fd_, out.data(), out.size(), 0, reinterpret_cast<sockaddr*>(&from), size);
        if (on_answered) on_answered();
    }
    Loop& loop_;
    int fd_;
};

// ---- Media nodes ----

struct Frame {
    int type = 0;
    std::uint64_t session = 0;
    int cause = -1;
    std::map<int, std::string> parameters;
};
enum { kSetup = 1, kProgress = 6, kAnswer = 9, kRelease = 12, kReleased = 16, kNote = 44, kMove = 51, kPing = 52,
       kPong = 53, kRate = 60 };

inline std::string encode(const Frame& frame) {
    std::string body(1, static_cast<char>(frame.type));
    for (int k = 7; k >= 0; --k) body.push_back(static_cast<char>(frame.session >> (8 * k)));
    const auto put = [&](int code, const std::string& value) {
        body.push_back(static_cast<char>(code));
        body.push_back(static_cast<char>(value.size() >> 8)), body.push_back(static_cast<char>(value.size()));
        body += value;
    };
    for (const auto& [code, value] : frame.parameters) put(code, value);
    if (frame.cause >= 0) put(61, std::string(1, static_cast<char>(frame.cause)));
    std::string out;
    out.push_back(static_cast<char>(body.size() >> 8)), out.push_back(static_cast<char>(body.size()));
    return out + body;
}
// Takes one whole frame from the front of `bytes`; false if there is none.
inline bool decode(std::string& bytes, Frame& frame) {
    const auto byte = [&](std::size_t k) { return static_cast<unsigned char>(bytes[k]); };
    if (bytes.size() < 2) return false;
    const std::size_t size = static_cast<std::size_t>(byte(0)) << 8 | byte(1);
    if (bytes.size() < 2 + size) return false;
    frame = {};
    frame.type = byte(2);
    for (std::size_t k = 3; k < 11; ++k) frame.session = frame.session << 8 | byte(k);
    for (std::size_t at = 11; at + 3 <= 2 + size;) {
        const int code = byte(at);
        const std::size_t length = static_cast<std::size_t>(byte(at + 1)) << 8 | byte(at + 2);
        if (code == 61) frame.cause = byte(at + 3);
        else frame.parameters[code] = bytes.substr(at + 3, length);
        at += 3 + length;
    }
    bytes.erase(0, 2 + size);
    return true;
}

// A media node: takes set-ups, answers each after `work_ms`, plays sessions until they are ended.
class MediaNode {
  public:
    MediaNode(Loop& loop, std::string uid) : loop_(loop), uid_(std::move(uid)) {
        listener_ = open_listener();
        port_ = port_of(listener_);
        watch_listener();
    }
    ~MediaNode() { ::close(listener_); }
    const std::string& uid() const { return uid_; }
    int port() const { return port_; }
    double work_ms = 60;
    bool quiet = false;  // set-ups and answers are not recorded
    struct Session {
        std::weak_ptr<Connection> link;
    };
    std::map<std::uint64_t, Session> playing;
    // Called for each set-up that arrived whole; false: the node does not answer it by itself.
    std::function<bool(std::uint64_t session, const Frame& frame, const Link& link)> on_setup;
    std::function<void(std::uint64_t session, const Frame& frame)> on_release;  // by the director
    std::function<void()> on_accept;

    void send(const Link& link, int type, std::uint64_t session, int cause = -1,
              std::map<int, std::string> parameters = {}) {
        Frame frame{type, session, cause, std::move(parameters)};
        if (link) link->write(encode(frame));
    }
    void answer(std::uint64_t session, const Link& link) {
        if (!link || !link->open() || !pending_.count({session, link.get()})) return;
        pending_.erase({session, link.get()});
        playing[session] = {link};
        if (!quiet) record("%s answers %s: it stands", uid_.c_str(), hex(session).c_str());
        send(link, kAnswer, session, -1, {{63, "made by " + uid_ + " for " + hex(session)}});
    }
    // Ends a set-up without a session.
    void refuse(std::uint64_t session, const Link& link, int cause) {
        if (pending_.erase({session, link.get()})) send(link, kRelease, session, cause);
    }
    // The session comes to its end: told on the connection of its set-up, else on any open one, and on the next
    // one that is opened.
    void end(std::uint64_t session, int cause) {
        const auto it = playing.find(session);
        if (it == playing.end()) return;
        Link link = it->second.link.lock();
        playing.erase(it);
        if (!link || !link->open()) {
            link = nullptr;
            for (const Link& one : links_)
                if (one->open()) link = one;
        }
        record("%s ends %s with cause %d%s", uid_.c_str(), hex(session).c_str(), cause,
               link ? "" : ", to be told on the next connection");
        if (link) send(link, kRelease, session, cause);
        untold_.push_back({session, cause});
    }
    // The process dies: connections are reset, its sessions are cut, nothing listens any more.
    void die() {
        record("%s dies", uid_.c_str());
        for (const Link& link : links_) link->reset();
        links_.clear(), playing.clear(), pending_.clear(), untold_.clear();
        loop_.unwatch(listener_);
        ::close(listener_);
        listener_ = -1;
    }
    // The process dies and its service manager, which holds the listening socket, starts it again under its id: its
    // connections are reset and its sessions cut; dials wait for the new process in the accept queue.
    void restart(double after_ms) {
        record("%s dies with %zu sessions and is started again", uid_.c_str(), playing.size());
        for (const Link& link : links_) link->reset();
        links_.clear(), playing.clear(), pending_.clear(), untold_.clear();
        loop_.unwatch(listener_);
        loop_.after(after_ms, [this] {
            record("%s: the new process accepts connections", uid_.c_str());
            watch_listener();
        });
    }
    // The machine vanishes: open connections stay open and silent, new ones never come up. The accept queue is
    // made as short as it can be and filled, so that the system drops what else comes to the port.
    void vanish() {
        record("%s vanishes with %zu sessions: no sign, new connections never come up", uid_.c_str(), playing.size());
        for (const Link& link : links_) link->silent = true;
        loop_.unwatch(listener_);
        ::listen(listener_, 0);
        for (int k = 0; k < 16; ++k) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            const sockaddr_in a = loopback(port_);
            ::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a);
            pollfd one{fd, POLLOUT, 0};
            fillers_.push_back(fd);
            if (::poll(&one, 1, 20) == 0) return;  // it does not come up: the queue is full
        }
        cannot_run("the accept queue can't be filled");
    }
    // It returns as a new process without any session. Old connections on which something waits are reset at once
    // (what was sent meanwhile is sent again and meets nobody), the others when something comes.
    void return_cold() {
        record("%s is back, cold: a new process, its sessions are gone", uid_.c_str());
        for (const int fd : fillers_) ::close(fd);
        fillers_.clear();
        playing.clear(), pending_.clear(), untold_.clear();
        for (const Link& link : links_) {
            link->silent = false;
            link->on_bytes = [weak = std::weak_ptr<Connection>(link)](const std::string&) {
                if (const Link one = weak.lock()) one->reset();
            };
        }
        stale_ = std::move(links_);
        links_.clear();
        for (;;) {  // connections that nobody accepted before the return
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) break;
            ::close(fd);
        }
        ::listen(listener_, 128);
        watch_listener();
    }
    std::size_t open_links() const {
        return static_cast<std::size_t>(
            std::count_if(links_.begin(), links_.end(), [](const Link& link) { return link->open(); }));
    }

  private:
    void watch_listener() {
        loop_.watch(listener_, [] { return static_cast<short>(POLLIN); }, [this](short) {
            accept_all(listener_, loop_, [this](const Link& link) { accepted(link); });
        });
    }
    void accepted(const Link& link) {
        links_.remove_if([](const Link& one) { return !one->open(); });
        links_.push_back(link);
        auto buffer = std::make_shared<std::string>();
        link->on_bytes = [this, buffer, weak = std::weak_ptr<Connection>(link)](const std::string& bytes) {
            *buffer += bytes;
            Frame frame;
            while (decode(*buffer, frame)) {
                const Link one = weak.lock();
                if (!one || !one->open()) return;
                receive(one, frame);
            }
        };
        link->on_end = [this, raw = link.get()](Connection::End) {
            for (auto it = pending_.begin(); it != pending_.end();) {
                if (it->second == raw) {
                    if (!quiet)
                        record("%s: the connection of %s is closed, it is given up", uid_.c_str(),
                               hex(it->first).c_str());
                    it = pending_.erase(it);
                } else {
                    ++it;
                }
            }
        };
        for (const auto& [session, cause] : std::exchange(untold_, {})) send(link, kRelease, session, cause);
        if (on_accept) on_accept();
    }
    void receive(const Link& link, const Frame& frame) {
        switch (frame.type) {
            case kSetup: {
                if (!quiet) record("%s receives the set-up of %s whole", uid_.c_str(), hex(frame.session).c_str());
                pending_.insert({frame.session, link.get()});
                if (on_setup && !on_setup(frame.session, frame, link)) return;
                loop_.after(work_ms, [this, session = frame.session, weak = std::weak_ptr<Connection>(link)] {
                    answer(session, weak.lock());
                });
                return;
            }
            case kPing:
                return send(link, kPong, frame.session, 1, {{51, "inflight:1;x0:0.1;x1:0.1"}});
            case kRelease:
            case kMove:
                if (!quiet) record("%s receives a release of %s, cause %d", uid_.c_str(), hex(frame.session).c_str(), frame.cause);
                pending_.erase({frame.session, link.get()});
                playing.erase(frame.session);
                if (on_release) on_release(frame.session, frame);
                return send(link, kReleased, frame.session);
            default:
                return;
        }
    }

    Loop& loop_;
    const std::string uid_;
    int listener_, port_;
    std::list<Link> links_, stale_;
    std::set<std::pair<std::uint64_t, Connection*>> pending_;
    std::vector<std::pair<std::uint64_t, int>> untold_;
    std::vector<int> fillers_;
};

// ---- Viewers ----

// One line from the director. Its lines hold no nested object but `fields`.
struct Line {
    std::string type, id, sdp;
    int cause = -1;
};
inline std::string text_member(const std::string& line, const std::string& name) {
    const std::string start = "\"" + name + "\":\"";
    const std::size_t at = line.find(start);
    if (at == std::string::npos) return "";
    return line.substr(at + start.size(), line.find('"', at + start.size()) - at - start.size());
}
inline Line parse_line(const std::string& text) {
    Line line{text_member(text, "type"), text_member(text, "id"), text_member(text, "sdp"), -1};
    const std::size_t at = text.find("\"cause\":");
    if (at != std::string::npos) line.cause = std::atoi(text.c_str() + at + 8);
    return line;
}
// A viewers' connection to the director (or to a proxy before it).
class ViewerLink {
  public:
    ViewerLink(Loop& loop, int port, std::string name, bool quiet = false) : name_(std::move(name)), quiet_(quiet) {
        link_ = Connection::dial(loop, port);
        if (!link_) return;
        link_->on_bytes = [this](const std::string& bytes) {
            buffer_ += bytes;
            std::size_t end;
            while ((end = buffer_.find('\n')) != std::string::npos) {
                const std::string text = buffer_.substr(0, end);
                buffer_.erase(0, end + 1);
                const Line line = parse_line(text);
                if (!quiet_) record("%s receives %s", name_.c_str(), text.c_str());
                if (on_line) on_line(line);
            }
        };
        link_->on_end = [this](Connection::End end) {
            record("%s: the connection is %s", name_.c_str(), end == Connection::End::clean ? "ended" : "reset");
            if (on_end) on_end();
        };
    }
    void send(const std::string& text) {
        if (!quiet_) record("%s sends %s", name_.c_str(), text.c_str());
        if (link_) link_->write(text + "\n");
    }
    bool open() const { return link_ && link_->open(); }
    void close() {
        if (link_) link_->close();
    }
    std::function<void(const Line&)> on_line;
    std::function<void()> on_end;

  private:
    const std::string name_;
    const bool quiet_;  // its messages are not recorded
    Link link_;
    std::string buffer_;
};

inline std::string setup_line(std::uint64_t id, const std::string& cls, int left, const std::string& at = "",
                              const std::string& key = "7f3a9c21e0b4d655") {
    return "{\"type\":\"setup\",\"id\":\"" + hex(id) + "\",\"fields\":{\"class\":\"" + cls + "\",\"left\":\"" +
           std::to_string(left) + "\",\"tenant\":\"south-donors\",\"key\":\"" + key +
           "\",\"extras\":\"home:0;copies:1;top:4;viewer:" + hex(id ^ 0x5555) + (at.empty() ? "" : ";at:" + at) +
           "\"},\"sdp\":\"offer of " + hex(id) + "\"}";
}
inline std::string release_line(std::uint64_t id, int cause = 16) {
    return "{\"type\":\"release\",\"id\":\"" + hex(id) + "\",\"fields\":{},\"cause\":" + std::to_string(cause) + "}";
}
inline std::string ping_line(std::uint64_t id) {
    return "{\"type\":\"ping\",\"id\":\"" + hex(id) + "\",\"fields\":{},\"cause\":0}";
}

// ---- The director ----

struct SettingsOptions {
    int directors = 1;
    bool probes = true;
    double drain_grace_ms = 500;
    int cold_ms = 8000;
    long memory_mb = 192;
    int sockets = 1024;
};
// The configuration file of a director: the settings of the wire's page for a small deployment.
inline std::string director_config(int listen, int dns, const NameServer& names, const SettingsOptions& options) {
    std::string targets;
    for (const Listed& node : names.nodes) {
        char text[300];
        std::snprintf(text, sizeof text,
                      "%s{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"room\",\"model\":\"std\",\"pod_group\":0,"
                      "\"state\":\"%s\",\"capacity_hint\":%g,\"boot_ms\":%.0f}",
                      targets.empty() ? "" : ",", node.uid.c_str(), node.port, node.draining ? "draining" : "ready",
                      node.weight, node.started);
        targets += text;
    }
    const std::string serial = std::to_string(names.serial);
    const auto ms = [](double value) { return std::to_string(value); };
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + std::to_string(listen) +
           "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" +
           std::to_string(options.memory_mb) + ",\"sockets\":" + std::to_string(options.sockets) + "},"
           "\"dns\":\"127.0.0.1:" + std::to_string(dns) + "\",\"known\":{\"n\":" + serial +
           ",\"events\":[{\"n\":" + serial + ",\"members\":{\"rev\":" + serial + ",\"all\":true,\"targets\":[" + targets +
           "]}}]},\"settings\":{\"az\":0,\"balancers\":" + std::to_string(options.directors) +
           ",\"self_index\":0,\"discovery\":\"pushed\",\"family\":\"streams\",\"zones\":[\"room\"],\"flavors\":[\"std\"],"
           "\"limits\":{\"probes\":" + (options.probes ? "true" : "false") +
           ",\"cancel\":true,\"max_attempts\":4,\"retry_after\":true,\"max_retry_after_ms\":2000.0,"
           "\"connect_timeout_ms\":250.0,\"idle_close_ms\":15000.0},"
           "\"safety\":{\"answer_slack_ms\":40.0,\"stop_sending_within_ms\":" + ms(options.drain_grace_ms) +
           ",\"cold_from\":0.4,\"cold_ms\":" + std::to_string(options.cold_ms) +
           ".0,\"tip_multiple\":4.0,\"tip_after_ms\":1000.0,\"resend_ratio\":0.3,\"free_resends\":5.0,"
           "\"resend_span_ms\":10000.0},"
           "\"telemetry\":{\"how\":\"" + (options.probes ? "probe" : "answers") +
           "\",\"names\":[\"inflight\",\"x0\",\"x1\"]},\"weight_source\":\"nominal\","
           "\"classes\":[{\"name\":\"nurse-checkin\",\"effect\":\"side_effect\",\"objective_ms\":1500.0,"
           "\"give_up_ms\":5000.0,\"importance\":3.0,\"stream\":true},"
           "{\"name\":\"prep-video\",\"effect\":\"pure\",\"objective_ms\":800.0,\"give_up_ms\":5000.0,\"importance\":1.0,"
           "\"stream\":true}],"
           "\"orgs\":[{\"name\":\"south-donors\",\"quota_rps\":0.0,\"share\":1.0}],"
           "\"family_info\":{\"places\":1,\"racks\":1,\"rung_kb\":[134.0,230.0,396.0,683.0,1177.0],"
           "\"rung_worth\":[0.16,0.4,0.61,0.81,1.0],\"weight_kb\":20000.0,\"rack_kb\":1000000.0,\"fleet_kb\":400000.0,"
           "\"kind_slots\":[200],\"class_floor\":[0,0],\"class_live\":[false,false],\"rate_factor\":[1.0,1.0],"
           "\"top_by_class\":[4,4],\"licence_cap\":[0,0],\"refuses_from\":1.0,\"shared_adds\":1.0,\"stall\":6.0,"
           "\"switch_cost_s\":0.9,\"seen_after_ms\":680.0,\"told_every_ms\":0.0}}}";
}

// The director, started with the deploy file's `run` line in the repository's root.
class Director {
  public:
    Director(std::string run, std::string folder, int port)
        : run_(std::move(run)), folder_(std::move(folder)), port_(port) {}
    ~Director() { kill_now(); }
    int port() const { return port_; }
    pid_t pid() const { return pid_; }
    void start(const std::string& config) {
        const std::string path = folder_ + "/config.json";
        std::ofstream(path) << config;
        pid_ = ::fork();
        if (pid_ < 0) cannot_run("no process");
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open((folder_ + "/director.log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            ::dup2(log, 1), ::dup2(log, 2);
            ::setenv("RELAY_NAME", "n0", 1);
            ::setenv("RELAY_LISTEN", ("127.0.0.1:" + std::to_string(port_)).c_str(), 1);
            ::setenv("RELAY_CONFIG", path.c_str(), 1);
            ::setenv("TMPDIR", folder_.c_str(), 1);
            ::execl("/bin/sh", "sh", "-c", run_.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        record("director started: %s", run_.c_str());
    }
    void signal(int number) {
        record("director gets signal %d", number);
        ::kill(pid_, number);
    }
    // Whether it has ended by itself.
    bool ended() {
        if (pid_ <= 0) return true;
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
        record("director ended, status %d", status);
        pid_ = -1;
        return true;
    }
    void kill_now() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }

  private:
    const std::string run_, folder_;
    const int port_;
    pid_t pid_ = -1;
};

// Tests the director until it has passed one test, then calls `then`. The case can't run if that takes 30 s.
inline void when_ready(Loop& loop, Director& director, const std::function<void()>& then) {
    struct Try {
        std::unique_ptr<ViewerLink> link;
        bool passed = false;
    };
    auto state = std::make_shared<Try>();
    auto attempt = std::make_shared<std::function<void()>>();
    *attempt = [&loop, &director, state, attempt, then] {
        if (state->passed) {
            state->link.reset();
            *attempt = nullptr;
            return then();
        }
        if (director.ended()) cannot_run("the director does not start");
        if (now() > 30000) cannot_run("the director is not ready in 30 s");
        if (!state->link || !state->link->open()) {
            state->link = std::make_unique<ViewerLink>(loop, director.port(), "front");
            state->link->on_line = [state](const Line& line) {
                if (line.type == "pong") state->passed = true;
            };
            state->link->send(ping_line(1));
        }
        const auto again = *attempt;
        loop.after(50, again);
    };
    const auto first = *attempt;
    loop.after(50, first);
}

// ---- The frame of a case ----

struct Arguments {
    std::string run, folder;
    bool trouble = true;
};
// program RUN-LINE RECORD FOLDER TROUBLE
inline Arguments read_arguments(int argc, char** argv) {
    if (argc != 5) {
        std::fprintf(stderr, "usage: %s RUN-LINE RECORD FOLDER TROUBLE\n", argv[0]);
        std::exit(2);
    }
    origin_ms();
    ::signal(SIGPIPE, SIG_IGN);
    record_file() = std::fopen(argv[2], "w");
    if (!record_file()) {
        std::fprintf(stderr, "can't write %s\n", argv[2]);
        std::exit(2);
    }
    return {argv[1], argv[3], std::string(argv[4]) != "0"};
}
inline int verdict(bool broken, const std::string& why) {
    record("%s: %s", broken ? "BROKEN" : "held", why.c_str());
    std::printf("%s: %s\n", broken ? "BROKEN" : "held", why.c_str());
    return broken ? 1 : 0;
}

}  // namespace rig
