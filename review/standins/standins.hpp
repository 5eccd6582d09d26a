// Stand-ins for a review case: a director process, the name server, media nodes and viewers, all in one
// process with one poll loop, on loopback addresses and the real clock. They follow the users' PROTOCOL page:
// JSON lines with viewers, binary messages with media nodes, SRV over UDP for the list. No library is needed.
#pragma once

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdarg>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Ms = double;

inline Ms clock_ms(clockid_t id) {
    timespec t{};
    clock_gettime(id, &t);
    return t.tv_sec * 1e3 + t.tv_nsec / 1e6;
}
inline Ms unix_ms() { return clock_ms(CLOCK_REALTIME); }

// A case that can't run: exit code 2.
[[noreturn]] inline void give_up(const std::string& why);

// ---- The record ----

struct Record {
    FILE* file = nullptr;
    Ms begin = clock_ms(CLOCK_MONOTONIC);
    Ms now() const { return clock_ms(CLOCK_MONOTONIC) - begin; }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[4096];
        va_list args;
        va_start(args, format);
        vsnprintf(text, sizeof text, format, args);
        va_end(args);
        if (!file) return;
        fprintf(file, "%9.1f %s\n", now(), text);
        fflush(file);
    }
};
inline Record& record() {
    static Record one;
    return one;
}
inline Ms now() { return record().now(); }

inline std::vector<pid_t>& started_processes() {
    static std::vector<pid_t> pids;
    return pids;
}
inline void end_all_processes() {
    for (const pid_t pid : started_processes()) {
        kill(pid, SIGCONT);
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    started_processes().clear();
}
inline void give_up(const std::string& why) {
    record().line("CAN'T RUN: %s", why.c_str());
    fprintf(stderr, "can't run: %s\n", why.c_str());
    end_all_processes();
    exit(2);
}

// ---- The loop: sockets and timers ----

struct Socket {
    virtual ~Socket() = default;
    int fd = -1;
    virtual short events() const { return POLLIN; }
    virtual void ready(short revents) = 0;
};

struct Loop {
    std::set<Socket*> sockets;
    std::multimap<Ms, std::function<void()>> timers;
    bool stopped = false;

    void at(Ms when, std::function<void()> task) { timers.emplace(when, std::move(task)); }
    void after(Ms delay, std::function<void()> task) { at(now() + delay, std::move(task)); }
    void run() {
        while (!stopped) {
            std::vector<Socket*> list;
            std::vector<pollfd> polled;
            for (Socket* one : sockets)
                if (one->fd >= 0 && one->events()) {
                    list.push_back(one);
                    polled.push_back({one->fd, one->events(), 0});
                }
            const Ms wait = timers.empty() ? 100 : std::max(0.0, timers.begin()->first - now());
            timespec timeout{static_cast<time_t>(wait / 1e3), static_cast<long>(fmod_ms(wait) * 1e6)};
            ppoll(polled.data(), polled.size(), &timeout, nullptr);
            for (std::size_t k = 0; k < list.size(); ++k)
                if (polled[k].revents && sockets.count(list[k]) && list[k]->fd == polled[k].fd)
                    list[k]->ready(polled[k].revents);
            while (!stopped && !timers.empty() && timers.begin()->first <= now()) {
                const auto task = std::move(timers.begin()->second);
                timers.erase(timers.begin());
                task();
            }
        }
    }

  private:
    static Ms fmod_ms(Ms wait) { return wait - 1e3 * static_cast<long>(wait / 1e3); }
};
inline Loop& loop() {
    static Loop one;
    return one;
}

inline sockaddr_in loopback(int port) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return a;
}
inline int port_of(int fd) {
    sockaddr_in a{};
    socklen_t size = sizeof a;
    getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
    return ntohs(a.sin_port);
}
inline std::string address_text(int port) { return "127.0.0.1:" + std::to_string(port); }

// A free port for the director: bound once to find it, then given back.
inline int free_port() {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a = loopback(0);
    if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) give_up("no free port");
    const int port = port_of(fd);
    close(fd);
    return port;
}

// A TCP connection with buffers.
struct Stream : Socket {
    std::string in, out;
    bool connecting = false, reading = true, open = true;
    std::function<void()> on_open, on_data, on_closed;  // on_closed: ended or reset by the other side

    Stream() { loop().sockets.insert(this); }
    ~Stream() override {
        loop().sockets.erase(this);
        if (fd >= 0) ::close(fd);
    }
    short events() const override {
        return static_cast<short>((reading && !connecting ? POLLIN : 0) |
                                  (connecting || !out.empty() ? POLLOUT : 0));
    }
    void take(int socket_fd) {
        fd = socket_fd;
        fcntl(fd, F_SETFL, O_NONBLOCK);
        fcntl(fd, F_SETFD, FD_CLOEXEC);
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    void dial(int port) {
        take(socket(AF_INET, SOCK_STREAM, 0));
        sockaddr_in a = loopback(port);
        connecting = true;
        if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 && errno != EINPROGRESS) ended();
    }
    void write(const std::string& bytes) {
        if (!open) return;
        out += bytes;
        if (!connecting) flush();
    }
    void flush() {
        while (!out.empty()) {
            const ssize_t n = send(fd, out.data(), out.size(), MSG_NOSIGNAL);
            if (n <= 0) break;
            out.erase(0, static_cast<std::size_t>(n));
        }
    }
    void ready(short revents) override {
        if (connecting) {
            int error = 0;
            socklen_t size = sizeof error;
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error) return ended();
            connecting = false;
            if (on_open) on_open();
            flush();
            return;
        }
        if (revents & POLLOUT) flush();
        if (!(revents & (POLLIN | POLLHUP | POLLERR)) || !reading) return;
        char buffer[65536];
        const ssize_t n = recv(fd, buffer, sizeof buffer, 0);
        if (n > 0) {
            in.append(buffer, static_cast<std::size_t>(n));
            if (on_data) on_data();
        } else if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
            ended();
        }
    }
    void ended() {
        if (!open) return;
        close_now(false);
        if (on_closed) on_closed();
    }
    // Closes the connection; with `reset` as the system of a process that has died does.
    void close_now(bool reset) {
        if (!open) return;
        open = false;
        if (reset) {
            const linger abortive{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
        }
        ::close(fd);
        fd = -1;
    }
};

// ---- Messages ----

inline std::string hex16(std::uint64_t n) {
    char text[17];
    snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
    return text;
}

// One message of a media node: length:2 type:1 session:8 parameters (PROTOCOL, "Messages").
struct Frame {
    int type = 0;
    std::uint64_t session = 0;
    std::map<int, std::string> parameters;
    int cause() const {
        const auto it = parameters.find(61);
        return it == parameters.end() || it->second.empty() ? -1 : static_cast<unsigned char>(it->second[0]);
    }
};
enum { kSetup = 1, kProgress = 6, kAnswer = 9, kRelease = 12, kReleased = 16, kNote = 44, kMove = 51, kPing = 52, kPong = 53, kRate = 60 };

inline std::string encode(const Frame& frame) {
    std::string body(1, static_cast<char>(frame.type));
    for (int k = 7; k >= 0; --k) body.push_back(static_cast<char>(frame.session >> (8 * k)));
    for (const auto& [code, value] : frame.parameters) {
        body.push_back(static_cast<char>(code));
        body.push_back(static_cast<char>(value.size() >> 8));
        body.push_back(static_cast<char>(value.size()));
        body += value;
    }
    std::string out;
    out.push_back(static_cast<char>(body.size() >> 8));
    out.push_back(static_cast<char>(body.size()));
    return out + body;
}
inline bool decode(std::string& in, Frame& frame) {
    const auto byte = [&](std::size_t k) { return static_cast<unsigned char>(in[k]); };
    if (in.size() < 2) return false;
    const std::size_t size = byte(0) << 8 | byte(1);
    if (in.size() < 2 + size) return false;
    frame = Frame();
    frame.type = byte(2);
    for (std::size_t k = 3; k < 11; ++k) frame.session = frame.session << 8 | byte(k);
    for (std::size_t k = 11; k + 3 <= 2 + size;) {
        const std::size_t length = byte(k + 1) << 8 | byte(k + 2);
        frame.parameters[byte(k)] = in.substr(k + 3, length);
        k += 3 + length;
    }
    in.erase(0, 2 + size);
    return true;
}

// The text or number of a JSON member with that name, from one line of a director.
inline std::string member(const std::string& line, const std::string& name) {
    const std::string key = "\"" + name + "\":";
    std::size_t at = line.find(key);
    if (at == std::string::npos) return "";
    at += key.size();
    if (line[at] != '"') return line.substr(at, line.find_first_of(",}", at) - at);
    std::string text;
    for (++at; at < line.size() && line[at] != '"'; ++at) {
        if (line[at] == '\\' && at + 1 < line.size()) ++at;
        text.push_back(line[at]);
    }
    return text;
}

// ---- Media node ----

struct MediaNode {
    struct Link : Stream {
        MediaNode& node;
        std::set<std::uint64_t> pending;  // set-ups read on it and not answered
        explicit Link(MediaNode& owner) : node(owner) {}
    };
    struct Door : Socket {
        MediaNode& node;
        explicit Door(MediaNode& owner) : node(owner) { loop().sockets.insert(this); }
        ~Door() override {
            loop().sockets.erase(this);
            if (fd >= 0) ::close(fd);
        }
        short events() const override { return node.accepting ? POLLIN : 0; }
        void ready(short) override { node.accept_one(); }
    };
    std::string uid;
    int port = 0;
    int cell = 0;
    Ms answer_after = 60;  // time that a set-up takes
    std::function<std::string()> make_report;  // of a test
    bool alive = true, accepting = true;
    // Called for each set-up read; true: it has been dealt with.
    std::function<bool(Link&, const Frame&)> on_setup;
    std::function<void()> on_ping, on_accept;
    std::function<void(std::uint64_t)> on_answered;  // the session stands
    std::map<std::uint64_t, Link*> standing;
    std::list<std::unique_ptr<Link>> links;
    std::unique_ptr<Door> door;
    std::vector<Frame> unreported;  // ends that are told again on the next connection

    MediaNode(std::string name, int cell_number) : uid(std::move(name)), cell(cell_number) { listen_at(0, 128); }
    void listen_at(int wanted, int backlog) {
        door = std::make_unique<Door>(*this);
        door->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const int one = 1;
        setsockopt(door->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in a = loopback(wanted);
        if (bind(door->fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(door->fd, backlog) != 0)
            give_up("node " + uid + " can't listen");
        port = port_of(door->fd);
    }
    void accept_one() {
        const int fd = accept4(door->fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        links.push_back(std::make_unique<Link>(*this));
        Link& link = *links.back();
        link.take(fd);
        link.on_data = [this, &link] { read(link); };
        link.on_closed = [&link] { link.pending.clear(); };
        for (const Frame& frame : unreported) link.write(encode(frame));
        unreported.clear();
        if (on_accept) on_accept();
    }
    void read(Link& link) {
        Frame frame;
        while (link.open && alive && decode(link.in, frame)) {
            if (frame.type == kPing) {
                Frame pong{kPong, frame.session, {{51, make_report ? make_report() : std::string()}, {61, std::string(1, '\1')}}};
                link.write(encode(pong));
                if (on_ping) on_ping();
            } else if (frame.type == kSetup) {
                link.pending.insert(frame.session);
                record().line("%s reads set-up %s", uid.c_str(), hex16(frame.session).c_str());
                if (on_setup && on_setup(link, frame)) continue;
                answer_later(link, frame, answer_after);
            } else if (frame.type == kRelease) {
                const bool was_pending = link.pending.erase(frame.session) > 0;
                const bool stood = standing.erase(frame.session) > 0;
                record().line("%s reads release %s%s", uid.c_str(), hex16(frame.session).c_str(),
                              was_pending ? " (given up)" : stood ? " (cut)" : "");
                if (stood) link.write(encode({kReleased, frame.session, {}}));
            }
        }
    }
    void answer_later(Link& link, const Frame& frame, Ms delay) {
        loop().after(delay, [this, l = &link, id = frame.session, sdp = frame.parameters.at(63)] {
            if (!alive || !l->open || !l->pending.erase(id)) return;  // given up, or the process has ended
            standing[id] = l;
            record().line("%s answers %s: it stands", uid.c_str(), hex16(id).c_str());
            l->write(encode({kAnswer, id, {{63, "from " + uid + " for " + sdp}}}));
            if (on_answered) on_answered(id);
        });
    }
    void refuse(Link& link, std::uint64_t id, int cause) {
        link.pending.erase(id);
        record().line("%s refuses %s with cause %d", uid.c_str(), hex16(id).c_str(), cause);
        link.write(encode({kRelease, id, {{61, std::string(1, static_cast<char>(cause))}}}));
    }
    // The session has come to its end: told on the connection of its set-up, else on any, and on the next one.
    void end_session(std::uint64_t id) {
        const auto it = standing.find(id);
        if (it == standing.end()) return;
        Link* link = it->second;
        standing.erase(it);
        const Frame frame{kRelease, id, {{61, std::string(1, '\x10')}}};
        if (!link->open)
            for (const auto& one : links)
                if (one->open) link = one.get();
        record().line("%s ends %s (cause 16)%s", uid.c_str(), hex16(id).c_str(),
                      link->open ? "" : ", no connection is open");
        link->write(encode(frame));
        unreported.push_back(frame);
    }
    // The machine is lost: open connections remain open and silent, new ones never come up (the queue of the
    // listening socket is full, so that the system drops what dials).
    std::vector<std::unique_ptr<Stream>> fillers;
    void vanish() {
        record().line("%s: the machine is lost; %zu sessions are cut", uid.c_str(), standing.size());
        alive = accepting = false;
        standing.clear();
        unreported.clear();
        for (const auto& link : links) link->reading = false, link->pending.clear(), link->out.clear();
        while (accept_and_drop()) {}
        listen(door->fd, 0);
        for (int k = 0; k < 4; ++k) {
            fillers.push_back(std::make_unique<Stream>());
            fillers.back()->dial(port);
        }
    }
    bool accept_and_drop() {
        const int fd = accept4(door->fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) ::close(fd);
        return fd >= 0;
    }
    // It has started again, cold, and knows nothing: what comes on an old connection is answered by a reset.
    void come_back() {
        record().line("%s: the machine is back", uid.c_str());
        for (const auto& filler : fillers) filler->close_now(true);
        fillers.clear();
        while (accept_and_drop()) {}
        listen(door->fd, 128);
        while (accept_and_drop()) {}
        for (const auto& link : links) {
            if (!link->open) continue;
            link->reading = true;
            link->on_data = [l = link.get()] { l->close_now(true); };
        }
        alive = accepting = true;
    }
    // The process dies: its connections are reset and its sessions cut; dials are refused.
    void die() {
        record().line("%s: the process ends; %zu sessions are cut", uid.c_str(), standing.size());
        alive = false;
        for (const auto& link : links) link->close_now(true);
        door.reset();
        standing.clear();
        unreported.clear();
    }
};

// ---- Name server (RFC 1035, SRV) ----

struct Listing {
    std::string uid, zone, kind;
    int port = 0, cell = 0, weight = 1;
    bool draining = false;
    Ms started = 0;
};

struct NameServer : Socket {
    std::uint32_t serial = 1;
    std::vector<Listing> listings;
    Ms answer_after = 2;
    // Called for each query; true: the answer is held back, to be sent by answer().
    std::function<bool(const std::string& query, const sockaddr_in& from)> on_query;
    std::function<void(std::uint32_t serial)> on_told;  // an answer with that serial has been sent

    NameServer() {
        fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in a = loopback(0);
        if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) give_up("no port for the name server");
        loop().sockets.insert(this);
    }
    ~NameServer() override { loop().sockets.erase(this), ::close(fd); }
    int port() const { return port_of(fd); }
    void ready(short) override {
        char buffer[2048];
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t n = recvfrom(fd, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (n < 12) return;
        const std::string query(buffer, static_cast<std::size_t>(n));
        if (on_query && on_query(query, from)) return;
        loop().after(answer_after, [this, query, from] { answer(query, from); });
    }
    void answer(const std::string& query, const sockaddr_in& from) {
        const std::string bytes = build(query);
        sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&from), sizeof from);
        if (on_told) on_told(serial);
    }
    static void u16(std::string& out, unsigned n) { out.push_back(static_cast<char>(n >> 8)), out.push_back(static_cast<char>(n)); }
    static void u32(std::string& out, std::uint32_t n) { u16(out, n >> 16), u16(out, n & 0xffff); }
    static std::string dns_name(const std::string& text) {
        std::string out;
        std::stringstream labels(text);
        for (std::string label; std::getline(labels, label, '.');) out += static_cast<char>(label.size()) + label;
        return out + '\0';
    }
    static std::string txt(const std::string& text) { return static_cast<char>(text.size()) + text; }
    static void resource(std::string& out, const std::string& owner, int type, const std::string& data) {
        out += dns_name(owner);
        u16(out, static_cast<unsigned>(type)), u16(out, 1), u32(out, 0), u16(out, static_cast<unsigned>(data.size()));
        out += data;
    }
    std::string build(const std::string& query) const {
        const std::string service = "_api._tcp.svc.local";
        std::string out = query.substr(0, 2);
        u16(out, 0x8480);
        const unsigned n = static_cast<unsigned>(listings.size());
        u16(out, 1), u16(out, n), u16(out, 1), u16(out, 2 * n);
        out += dns_name(service);
        u16(out, 33), u16(out, 1);
        for (const Listing& one : listings) {
            std::string data;
            u16(data, one.draining ? 1 : 0), u16(data, static_cast<unsigned>(10 * one.weight));
            u16(data, static_cast<unsigned>(one.port));
            resource(out, service, 33, data + dns_name(one.uid + "." + one.zone + ".hosts"));
        }
        std::string soa = dns_name("ns.svc.local") + dns_name("admin.svc.local");
        u32(soa, serial);
        for (int k = 0; k < 4; ++k) u32(soa, 1);
        resource(out, "svc.local", 6, soa);
        for (const Listing& one : listings) {
            const std::string host = one.uid + "." + one.zone + ".hosts";
            resource(out, host, 1, std::string("\x7f\0\0\1", 4));
            resource(out, host, 16,
                     txt("kind=" + one.kind) + txt("cell=" + std::to_string(one.cell)) +
                         txt("started=" + std::to_string(static_cast<long long>(one.started))));
        }
        return out;
    }
};

// ---- Director ----

struct Director {
    pid_t pid = 0;
    int port = 0;
    std::string name = "n0";
    int index = 0, directors = 1;  // its number among the directors of the deployment, and how many there are

    // Starts the `run` command of deploy/balancer.toml from the repository's root, as DEPLOY says.
    void start(const std::string& folder, const std::string& config) {
        std::ifstream deploy("deploy/balancer.toml");
        std::string line, run;
        while (std::getline(deploy, line))
            if (line.rfind("run = \"", 0) == 0) run = line.substr(7, line.find('"', 7) - 7);
        if (run.empty()) give_up("deploy/balancer.toml has no run line");
        const std::string path = folder + "/" + name + ".json";
        std::ofstream(path) << config;
        const std::string log = folder + "/" + name + ".log";
        pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1), dup2(fd, 2);
            setenv("RELAY_NAME", name.c_str(), 1);
            setenv("RELAY_LISTEN", address_text(port).c_str(), 1);
            setenv("RELAY_CONFIG", path.c_str(), 1);
            setenv("TMPDIR", folder.c_str(), 1);
            execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
            _exit(127);
        }
        started_processes().push_back(pid);
        record().line("director %s starts: %s", name.c_str(), run.c_str());
    }
    bool runs() const { return waitpid(pid, nullptr, WNOHANG) == 0; }
    void stop() const { kill(pid, SIGSTOP), record().line("director %s: SIGSTOP", name.c_str()); }
    void go_on() const { kill(pid, SIGCONT), record().line("director %s: SIGCONT", name.c_str()); }
};

// ---- Viewers ----

struct Request {
    std::uint64_t id = 0;
    std::string cls;
    Ms sent = 0, left = 0;
    Ms answered = -1, released = -1;  // released: told that the session is over, or moved
    std::string answer;               // "stands", "refused", "failed"
    int answers = 0;
    std::string line_text;  // as it was sent, to be sent again once
    bool sent_again = false;
    bool given_up = false;  // by its viewer: no answer is owed any more
    // Ends as the media node saw them, for the checks.
    std::string node;
    Ms stood_at = -1, ended_at = -1;
    bool cut = false;  // ended without a release by the node: its process or machine was lost
};

// A connection of the viewers' side; all requests of a case are in one table, since what ends a session may
// come on any connection.
struct Viewers {
    std::map<std::uint64_t, Request> requests;
    int director_port = 0;
    std::uint64_t last_id = 0x5a00000000000000;

    struct Line : Stream {
        std::string name;
        std::set<std::uint64_t> open_setups;  // sent on it and not answered
    };
    std::list<std::unique_ptr<Line>> lines;
    std::function<void()> on_pong;
    int dial_port = 0;  // where connections are opened; 0: at the director

    // PROTOCOL, "Viewers to directors": a set-up that crosses the close of its connection within 50 ms is sent
    // again, once, on a new connection. One that was sent longer ago is not.
    void connection_ended(Line& line) {
        record().line("viewers' connection %s has ended", line.name.c_str());
        for (const std::uint64_t id : line.open_setups) {
            Request& request = requests[id];
            if (request.answered >= 0 || request.sent_again || request.given_up || now() - request.sent > 50) continue;
            request.sent_again = true;
            Line& fresh = open(line.name + "-again", director_port);
            record().line("viewer sends set-up %s again, %.1f ms after the first time, on %s", hex16(id).c_str(),
                          now() - request.sent, fresh.name.c_str());
            fresh.open_setups.insert(id);
            fresh.write(request.line_text);
        }
    }

    Line& open(const std::string& name, int port = 0) {
        lines.push_back(std::make_unique<Line>());
        Line& line = *lines.back();
        line.name = name;
        line.on_data = [this, &line] { read(line); };
        line.on_closed = [this, &line] { connection_ended(line); };
        line.dial(port ? port : dial_port ? dial_port : director_port);
        return line;
    }
    void ping(Line& line) { line.write("{\"type\":\"ping\",\"id\":\"0000000000000001\",\"fields\":{},\"cause\":0}\n"); }
    std::uint64_t set_up(Line& line, const std::string& cls, Ms left, const std::string& tenant,
                         const std::string& extras, std::uint64_t title) {
        Request request;
        request.id = ++last_id;
        request.cls = cls;
        request.sent = now();
        request.left = left;
        requests[request.id] = request;
        const std::string id = hex16(request.id);
        record().line("viewer sends set-up %s class %s left %.0f on %s", id.c_str(), cls.c_str(), left,
                      line.name.c_str());
        line.open_setups.insert(request.id);
        std::string& text = requests[request.id].line_text;
        text = ("{\"type\":\"setup\",\"id\":\"" + id + "\",\"fields\":{\"class\":\"" + cls + "\",\"left\":\"" +
                   std::to_string(static_cast<int>(left)) + "\",\"tenant\":\"" + tenant + "\",\"key\":\"" +
                   hex16(title) + "\",\"extras\":\"" + extras + ";viewer:" + hex16(request.id ^ 0xffff) +
                   "\"},\"sdp\":\"offer " + id + "\\r\\n\"}\n");
        line.write(text);
        return request.id;
    }
    // The viewer stops waiting: a release with cause 16, on this connection.
    void give_up_on(Line& line, std::uint64_t id) {
        requests[id].given_up = true;
        record().line("viewer gives set-up %s up on %s", hex16(id).c_str(), line.name.c_str());
        line.write("{\"type\":\"release\",\"id\":\"" + hex16(id) + "\",\"fields\":{},\"cause\":16}\n");
    }
    void read(Line& line) {
        for (std::size_t end; (end = line.in.find('\n')) != std::string::npos;) {
            const std::string text = line.in.substr(0, end);
            line.in.erase(0, end + 1);
            const std::string type = member(text, "type"), id = member(text, "id");
            if (type == "pong") {
                if (on_pong) on_pong();
                continue;
            }
            const auto it = requests.find(strtoull(id.c_str(), nullptr, 16));
            const int cause = atoi(member(text, "cause").c_str());
            record().line("viewers read %s %s cause %d on %s", type.c_str(), id.c_str(), cause, line.name.c_str());
            if (it == requests.end()) continue;
            Request& request = it->second;
            if (type == "answer") {
                request.answers += 1;
                request.answered = now(), request.answer = "stands";
            } else if (type == "release" && request.answered < 0) {
                request.answers += 1;
                request.answered = now();
                request.answer = cause == 34 || cause == 42 || cause == 102 ? "refused" : "failed";
            } else if ((type == "release" || type == "move") && request.released < 0) {
                request.released = now();
            }
        }
    }
};

// A proxy between viewers and the director. It passes everything on; reset() resets a connection on both sides.
struct Proxy : Socket {
    struct Pair {
        Stream viewer, director;
    };
    int director_port = 0;
    std::list<std::unique_ptr<Pair>> pairs;
    std::function<void(Pair&, const std::string& bytes)> on_passed;  // bytes of a viewer, passed on just now

    explicit Proxy(int to) : director_port(to) {
        fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in a = loopback(0);
        if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(fd, 128) != 0) give_up("no proxy");
        loop().sockets.insert(this);
    }
    ~Proxy() override { loop().sockets.erase(this), ::close(fd); }
    int port() const { return port_of(fd); }
    void ready(short) override {
        const int one = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (one < 0) return;
        pairs.push_back(std::make_unique<Pair>());
        Pair& pair = *pairs.back();
        pair.viewer.take(one);
        pair.director.dial(director_port);
        pair.viewer.on_data = [this, &pair] {
            const std::string bytes = std::exchange(pair.viewer.in, "");
            pair.director.write(bytes);
            if (on_passed) on_passed(pair, bytes);
        };
        pair.director.on_data = [&pair] { pair.viewer.write(std::exchange(pair.director.in, "")); };
        pair.viewer.on_closed = [&pair] { pair.director.close_now(false); };
        pair.director.on_closed = [&pair] { pair.viewer.close_now(false); };
    }
    void reset(Pair& pair) { pair.director.close_now(true), pair.viewer.close_now(true); }
};

// ---- Settings, named as on the WIRE page ----

struct ClassSpec {
    std::string name, effect;
    int objective = 0, give_up = 0;
    double worth = 1;
    int floor = 0, seats = 0;
    bool live = false;
};

inline std::string config_json(const Director& director, const NameServer& names, int places, int racks,
                               const std::vector<ClassSpec>& classes, const std::vector<std::string>& tenants,
                               const std::string& zone, const std::string& kind, int kind_slots, double weight_kb,
                               const std::string& report_fields, int idle_close, double tip_multiple) {
    std::ostringstream o;
    o << "{\"name\":\"" << director.name << "\",\"listen\":\"" << address_text(director.port) << "\",\"seed\":\"8c1f30d27a5be964\","
      << "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":256},\"dns\":\"" << address_text(names.port())
      << "\",\"known\":{\"n\":" << names.serial << ",\"events\":[{\"n\":" << names.serial
      << ",\"members\":{\"rev\":" << names.serial << ",\"all\":true,\"targets\":[";
    bool first = true;
    for (const Listing& one : names.listings) {
        o << (first ? "" : ",") << "{\"uid\":\"" << one.uid << "\",\"endpoint\":\"" << address_text(one.port)
          << "\",\"az\":\"" << one.zone << "\",\"model\":\"" << one.kind << "\",\"pod_group\":" << one.cell
          << ",\"state\":\"ready\",\"capacity_hint\":" << one.weight << ",\"boot_ms\":0}";
        first = false;
    }
    o << "]}}]},\"settings\":{\"az\":0,\"balancers\":" << director.directors << ",\"self_index\":" << director.index << ",\"discovery\":\"pushed\",\"family\":\"streams\","
      << "\"zones\":[\"" << zone << "\"],\"flavors\":[\"" << kind << "\"],"
      << "\"limits\":{\"probes\":true,\"cancel\":true,\"max_attempts\":4,\"retry_after\":true,"
      << "\"max_retry_after_ms\":2000.0,\"connect_timeout_ms\":250.0,\"idle_close_ms\":" << idle_close << ".0},"
      << "\"safety\":{\"answer_slack_ms\":40.0,\"stop_sending_within_ms\":500.0,\"cold_from\":0.5,\"cold_ms\":5000.0,"
      << "\"tip_multiple\":" << tip_multiple << ",\"tip_after_ms\":1000.0},"
      << "\"telemetry\":{\"how\":\"probe\",\"names\":[" << report_fields << "]},\"weight_source\":\"nominal\","
      << "\"over_share_worth\":0.1,\"classes\":[";
    first = true;
    for (const ClassSpec& c : classes) {
        o << (first ? "" : ",") << "{\"name\":\"" << c.name << "\",\"effect\":\"" << c.effect
          << "\",\"objective_ms\":" << c.objective << ".0,\"give_up_ms\":" << c.give_up
          << ".0,\"importance\":" << c.worth << ",\"stream\":true}";
        first = false;
    }
    o << "],\"orgs\":[";
    first = true;
    for (const std::string& t : tenants) {
        o << (first ? "" : ",") << "{\"name\":\"" << t << "\",\"quota_rps\":0.0,\"share\":" << 1.0 / tenants.size() << "}";
        first = false;
    }
    const auto list = [&](const char* name, const std::function<std::string(const ClassSpec&)>& value) {
        o << ",\"" << name << "\":[";
        for (std::size_t k = 0; k < classes.size(); ++k) o << (k ? "," : "") << value(classes[k]);
        o << "]";
    };
    o << "],\"family_info\":{\"places\":" << places << ",\"racks\":" << racks
      << ",\"rung_kb\":[134.0,230.0,396.0,683.0,1177.0],\"rung_worth\":[0.16,0.4,0.61,0.81,1.0],\"weight_kb\":" << weight_kb
      << ",\"rack_kb\":100000.0,\"fleet_kb\":" << weight_kb * names.listings.size() * 4
      << ",\"refuses_from\":1.0,\"shared_adds\":1.0,\"stall\":6.0,\"seen_after_ms\":700.0,\"switch_cost_s\":0.9,\"kind_slots\":["
      << kind_slots << "]";
    list("class_floor", [](const ClassSpec& c) { return std::to_string(c.floor); });
    list("class_live", [](const ClassSpec& c) { return std::string(c.live ? "true" : "false"); });
    list("rate_factor", [](const ClassSpec&) { return std::string("1.0"); });
    list("top_by_class", [](const ClassSpec&) { return std::string("4"); });
    list("licence_cap", [](const ClassSpec& c) { return std::to_string(c.seats); });
    o << "}}}\n";
    return o.str();
}

// ---- The frame of a case ----

// Arguments: record file, temporary folder. `minutes` bounds the run.
inline void begin_case(int argc, char** argv, std::string& folder) {
    if (argc < 3) {
        fprintf(stderr, "usage: case RECORD FOLDER (see run.sh)\n");
        exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    record().file = fopen(argv[1], "w");
    folder = argv[2];
    if (!record().file) exit(2);
    record().line("Unix time %.0f ms", unix_ms());
    for (const int number : {SIGTERM, SIGINT, SIGALRM})
        signal(number, [](int) {
            for (const pid_t pid : started_processes()) kill(pid, SIGCONT), kill(pid, SIGKILL);
            _exit(2);
        });
    alarm(110);
}
inline bool trouble() {
    const char* value = getenv("TROUBLE");
    return !value || std::string(value) != "0";
}
inline int verdict(const std::vector<std::string>& broken, const std::string& rule) {
    for (const std::string& one : broken) {
        record().line("BROKEN: %s", one.c_str());
        printf("broken: %s\n", one.c_str());
    }
    record().line("rule %s: %s", rule.c_str(), broken.empty() ? "held" : "broken");
    printf("rule %s: %s\n", rule.c_str(), broken.empty() ? "held" : "broken");
    end_all_processes();
    return broken.empty() ? 0 : 1;
}

// Rule "lost", as PROTOCOL and FLEET word it, for what the viewers sent and the nodes saw.
inline void check_lost(const Viewers& viewers, std::vector<std::string>& broken) {
    constexpr Ms kSlack = 50, kLate = 500, kAfterRelease = 1000, kAfterLoss = 8000;
    for (const auto& [id, request] : viewers.requests) {
        const std::string text = hex16(id);
        if (request.given_up && request.answers == 0) continue;
        if (request.answers == 0 && now() > request.sent + request.left + kLate + kSlack)
            broken.push_back("request " + text + " got no answer");
        if (request.answers > 1) broken.push_back("request " + text + " got two answers");
        if (request.answered > request.sent + request.left + kLate + kSlack)
            broken.push_back("request " + text + " was answered more than half a second after its time");
        if (request.answer != "stands" || request.ended_at < 0) continue;
        const Ms bound = (request.cut ? kAfterLoss : kAfterRelease) + kSlack;
        if (request.released >= 0 && request.released <= request.ended_at + bound) continue;
        if (request.released < 0 && now() <= request.ended_at + bound) continue;
        broken.push_back("session " + text + " at " + request.node + " was over at " +
                         std::to_string(static_cast<long>(request.ended_at)) + " ms and " +
                         (request.released < 0 ? "its viewer was never told, " +
                                                     std::to_string(static_cast<long>(now() - request.ended_at)) +
                                                     " ms later"
                                               : "its viewer was told " +
                                                     std::to_string(static_cast<long>(request.released - request.ended_at)) +
                                                     " ms later"));
    }
}

}  // namespace review
