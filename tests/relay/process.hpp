// The real `ivyfield relay` in a process of its own, among scripted peers on real sockets over loopback. A
// crossing is forced by a barrier: the process is stopped (SIGSTOP, and known to be), both sides act, it goes
// on and finds both at once. Nothing here sleeps; each wait is for something, with a bound that only a
// failure reaches. Ports are the system's choice.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <nlohmann/json.hpp>

#include "io/ev/child.hpp"
#include "tests/relay/rig.hpp"

namespace ivyfield::relaytest {

constexpr int kLong = 10000;  // ms; of what must happen

inline double clock_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}
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
    EXPECT_EQ(::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size), 0);
    return ntohs(a.sin_port);
}

// One connection, as a peer of the director's sees it.
class Wire {
  public:
    enum class End { open, clean, reset };
    explicit Wire(int fd) : fd_(fd) {}
    Wire(Wire&& other) noexcept
        : fd_(std::exchange(other.fd_, -1)),
          lines_(std::move(other.lines_)),
          frames_(std::move(other.frames_)),
          kept_(std::move(other.kept_)),
          end_(other.end_) {}
    Wire& operator=(Wire&& other) noexcept {
        std::swap(fd_, other.fd_), std::swap(lines_, other.lines_), std::swap(frames_, other.frames_);
        std::swap(kept_, other.kept_), std::swap(end_, other.end_);
        return *this;
    }
    ~Wire() { close(); }
    int fd() const { return fd_; }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    void reset() {
        const linger hard{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }
    void half_close() { ::shutdown(fd_, SHUT_WR); }
    void write(std::string_view bytes) {
        while (!bytes.empty()) {
            const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0) return;  // the other side has closed: what the test awaits will tell
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
    }
    void say(const std::string& line) { write(line + "\n"); }
    void send(MessageType type, std::uint64_t session, int cause = -1, std::map<int, std::string> with = {}) {
        NodeMessage m;
        m.type = type, m.session = session, m.parameters = std::move(with);
        if (cause >= 0) m.cause = cause;
        write(relay::encode_frame(m));
    }
    // Takes what has come without waiting; false: nothing had.
    bool take() {
        char buffer[16384];
        const ssize_t n = ::recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
        if (n > 0) kept_.append(buffer, static_cast<std::size_t>(n));
        else if (n == 0) end_ = End::clean;
        else if (errno == ECONNRESET) end_ = End::reset;
        else return false;
        return true;
    }
    std::optional<ViewerMessage> line() {
        std::string_view bytes = kept_;
        const auto text = lines_.next(bytes);
        kept_.erase(0, kept_.size() - bytes.size());
        if (!text) return std::nullopt;
        const auto read = relay::parse_line(*text);
        EXPECT_TRUE(std::holds_alternative<ViewerMessage>(read)) << *text;
        return std::get<ViewerMessage>(read);
    }
    std::optional<NodeMessage> frame() {
        std::string_view bytes = kept_;
        const auto read = frames_.next(bytes);
        kept_.erase(0, kept_.size() - bytes.size());
        if (!read) return std::nullopt;
        EXPECT_TRUE(std::holds_alternative<NodeMessage>(*read));
        return std::get<NodeMessage>(*read);
    }
    End end() const { return end_; }

  private:
    int fd_;
    relay::LineDecoder lines_;
    relay::FrameDecoder frames_;
    std::string kept_;
    End end_ = End::open;
};

class Stage {
  public:
    // `backlog` 0: of connections that wait to be accepted a node takes one, and then none comes up.
    explicit Stage(int node_count = 1, int sockets = 256, int backlog = 64) : sockets_(sockets) {
        folder_ = io::create_temporary_folder();
        for (int k = 0; k < node_count; ++k) {
            nodes_.push_back(listen(backlog));
            listed.push_back({"s-" + std::to_string(k),
                              {"127.0.0.1", static_cast<std::uint16_t>(port_of(nodes_.back()))}});
        }
        names_ = names();
        write_config(port_of(names_));
    }
    ~Stage() {
        if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
        for (const int fd : nodes_) ::close(fd);
        for (const int fd : {names_, log_})
            if (fd >= 0) ::close(fd);
        io::remove_folder(folder_);
    }
    Stage(const Stage&) = delete;
    Stage& operator=(const Stage&) = delete;

    std::vector<Listed> listed;
    std::uint32_t serial = 3;
    bool names_answer = false;  // silent by default: a director lives by the list of its start
    int asked = 0;
    // Of the configuration, before start() or for a SIGHUP.
    std::function<std::string(std::string)> edit = [](std::string text) { return text; };

    static int listen(int backlog) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in a = loopback(0);
        EXPECT_EQ(::bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a), 0);
        EXPECT_EQ(::listen(fd, backlog), 0);
        return fd;
    }
    static int names() {
        const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const sockaddr_in a = loopback(0);
        EXPECT_EQ(::bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a), 0);
        return fd;
    }
    std::string config_path() const { return folder_ + "/config.json"; }
    void write_config(int dns_port) {
        std::string text = config_text(listed, "127.0.0.1:" + std::to_string(dns_port), sockets_);
        // A node is asked nothing before its set-up: each connection is that of one set-up.
        text.replace(text.find("\"probes\":true"), 13, "\"probes\":false");
        io::write_file(config_path(), edit(text));
    }
    void rewrite_config() { write_config(port_of(names_)); }
    // The name server at another port from now on.
    void move_names() {
        ::close(names_);
        names_ = names();
        asked = 0;
    }
    int dns_port() const { return port_of(names_); }

    // Starts it; with `wait`, until it listens.
    void start(bool wait = true) {
        int pipe[2];
        ASSERT_EQ(::pipe2(pipe, O_CLOEXEC), 0);
        pid_ = ::fork();
        ASSERT_GE(pid_, 0);
        if (pid_ == 0) {
            ::dup2(pipe[1], STDERR_FILENO);
            ::setenv("RELAY_NAME", "n0", 1);
            ::setenv("RELAY_LISTEN", "127.0.0.1:0", 1);
            ::setenv("RELAY_CONFIG", config_path().c_str(), 1);
            const rlimit files{static_cast<rlim_t>(sockets_), static_cast<rlim_t>(sockets_)};
            ::setrlimit(RLIMIT_NOFILE, &files);
            ::execl(IVYFIELD_PROGRAM_PATH, IVYFIELD_PROGRAM_PATH, "relay", static_cast<char*>(nullptr));
            ::_exit(127);
        }
        ::close(pipe[1]);
        log_ = pipe[0];
        ::fcntl(log_, F_SETFL, O_NONBLOCK);
        if (!wait) return;
        const auto started = await_log("started");
        const std::string at = started.value("listen", ":0");
        port_ = std::atoi(at.substr(at.rfind(':') + 1).c_str());
        ASSERT_GT(port_, 0);
    }
    void signal(int number) { ASSERT_EQ(::kill(pid_, number), 0); }
    // Returns when it has stopped.
    void stop() {
        ::kill(pid_, SIGSTOP);
        int status = 0;
        ASSERT_EQ(::waitpid(pid_, &status, WUNTRACED), pid_);
        ASSERT_TRUE(WIFSTOPPED(status));
    }
    void go_on() { ::kill(pid_, SIGCONT); }
    // Its exit code; of a signal 128 and its number.
    int exit_code() {
        int status = 0;
        const bool over = await([&] { return ::waitpid(pid_, &status, WNOHANG) == pid_; });
        EXPECT_TRUE(over) << "it does not end";
        if (!over) return -1;
        pid_ = -1;
        while (read_log()) {
        }
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    // It has ended, and its exit code is still to be asked for.
    bool has_ended() const {
        siginfo_t info{};
        return ::waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) != 0 ||
               info.si_pid == pid_;
    }
    bool running() { return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0; }
    int pid() const { return pid_; }
    double cpu_s() const {
        clockid_t clock{};
        timespec t{};
        EXPECT_EQ(::clock_getcpuclockid(pid_, &clock), 0);
        EXPECT_EQ(::clock_gettime(clock, &t), 0);
        return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
    }

    Wire viewer() {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in a = loopback(port_);
        EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a), 0);
        return Wire(fd);
    }
    // A connection of the director's to that node.
    Wire accept(std::size_t node = 0) {
        int fd = -1;
        EXPECT_TRUE(await([&] {
            pollfd one{nodes_[node], POLLIN, 0};
            if (::poll(&one, 1, 0) == 1) fd = ::accept4(nodes_[node], nullptr, nullptr, SOCK_CLOEXEC);
            return fd >= 0;
        })) << "no connection comes to node "
            << node;
        return Wire(fd);
    }
    void refuse(std::size_t node) { ::close(nodes_[node]), nodes_[node] = ::dup(names_); }
    int node_fd(std::size_t node) const { return nodes_[node]; }

    // Turns the stage until it is so. False: it never was.
    bool await(const std::function<bool()>& so, int limit = kLong) {
        for (const double until = clock_ms() + limit; clock_ms() < until;) {
            serve();
            if (so()) return true;
            pollfd wake[2] = {{names_, POLLIN, 0}, {log_, POLLIN, 0}};
            ::poll(wake, log_ >= 0 ? 2 : 1, 1);
        }
        return so();
    }
    ViewerMessage line(Wire& w) {
        std::optional<ViewerMessage> m;
        EXPECT_TRUE(await([&] {
            if (!(m = w.line()) && w.take()) m = w.line();
            return m || w.end() != Wire::End::open;
        }));
        EXPECT_TRUE(m) << "no line comes";
        return m.value_or(ViewerMessage{});
    }
    NodeMessage frame(Wire& w) {
        std::optional<NodeMessage> m;
        EXPECT_TRUE(await([&] {
            if (!(m = w.frame()) && w.take()) m = w.frame();
            return m || w.end() != Wire::End::open;
        }));
        EXPECT_TRUE(m) << "no message comes";
        return m.value_or(NodeMessage{});
    }
    // The next message of that type; the others on the way are left out.
    NodeMessage frame(Wire& w, MessageType type) {
        NodeMessage m;
        do m = frame(w);
        while (m.type != type && !::testing::Test::HasFailure());
        return m;
    }
    Wire::End end_of(Wire& w) {
        EXPECT_TRUE(await([&] { return (w.take(), w.end() != Wire::End::open); })) << "it stays open";
        return w.end();
    }
    // A test answered: all that came before on the connection has been read.
    void barrier(Wire& w) {
        w.say(R"({"type":"ping","id":"00000000000000ff","fields":{},"cause":0})");
        EXPECT_EQ(line(w).type, MessageType::pong);
    }

    // The log's next line of that event.
    nlohmann::json await_log(const std::string& event) {
        std::size_t at = 0;
        nlohmann::json found;
        EXPECT_TRUE(await([&] {
            for (; at < lines.size(); ++at)
                if (const auto doc = nlohmann::json::parse(lines[at], nullptr, false);
                    doc.is_object() && doc.value("event", "") == event) {
                    found = doc;
                    lines.erase(lines.begin(), lines.begin() + static_cast<std::ptrdiff_t>(at) + 1);
                    return true;
                }
            return false;
        })) << "the log tells no \""
            << event << "\"";
        return found;
    }
    std::vector<std::string> lines;  // of the log, not asked for yet

  private:
    bool read_log() {
        if (log_ < 0) return false;
        char buffer[65536];
        const ssize_t n = ::read(log_, buffer, sizeof buffer);
        if (n <= 0) return false;
        text_.append(buffer, static_cast<std::size_t>(n));
        for (std::size_t end; (end = text_.find('\n')) != std::string::npos; text_.erase(0, end + 1))
            lines.push_back(text_.substr(0, end));
        return true;
    }
    void serve() {
        while (read_log()) {
        }
        for (;;) {
            char buffer[2048];
            sockaddr_in from{};
            socklen_t size = sizeof from;
            const ssize_t n = ::recvfrom(names_, buffer, sizeof buffer, MSG_DONTWAIT,
                                         reinterpret_cast<sockaddr*>(&from), &size);
            if (n <= 0) return;
            asked += 1;
            if (!names_answer) continue;
            const std::string answer = dns_answer({buffer, static_cast<std::size_t>(n)}, serial, listed);
            ::sendto(names_, answer.data(), answer.size(), 0, reinterpret_cast<const sockaddr*>(&from), size);
        }
    }

    const int sockets_;
    std::string folder_, text_;
    std::vector<int> nodes_;
    int names_ = -1, log_ = -1, pid_ = -1, port_ = 0;
};

}  // namespace ivyfield::relaytest
