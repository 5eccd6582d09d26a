// Test fixture that runs the real `ivyfield relay` as a child process among scripted peers on loopback
// sockets. A race is forced with a barrier: the process is suspended with SIGSTOP (and known to be), both
// peers act, the process is resumed and finds both actions at once. Tests never sleep: each wait is for a
// condition, with a timeout that is reached only on failure. The system chooses the ports.
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

constexpr int kTimeout_ms = 10000;  // for conditions that must become true

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

// One connection of the director, from the peer's side.
class PeerConnection {
  public:
    enum class End { open, clean, reset };
    explicit PeerConnection(int fd) : fd_(fd) {}
    PeerConnection(PeerConnection&& other) noexcept
        : fd_(std::exchange(other.fd_, -1)),
          line_decoder_(std::move(other.line_decoder_)),
          frame_decoder_(std::move(other.frame_decoder_)),
          unparsed_(std::move(other.unparsed_)),
          end_(other.end_) {}
    PeerConnection& operator=(PeerConnection&& other) noexcept {
        std::swap(fd_, other.fd_), std::swap(line_decoder_, other.line_decoder_),
            std::swap(frame_decoder_, other.frame_decoder_);
        std::swap(unparsed_, other.unparsed_), std::swap(end_, other.end_);
        return *this;
    }
    ~PeerConnection() { close(); }
    int fd() const { return fd_; }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    void reset() {
        const linger no_linger{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
        close();
    }
    void half_close() { ::shutdown(fd_, SHUT_WR); }
    void write(std::string_view bytes) {
        while (!bytes.empty()) {
            const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0) return;  // the director has closed: the test finds out by what it awaits
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
    }
    void send_line(const std::string& line) { write(line + "\n"); }
    void send(MessageType type, std::uint64_t session, int cause = -1,
              std::map<int, std::string> parameters = {}) {
        NodeMessage m;
        m.type = type, m.session = session, m.parameters = std::move(parameters);
        if (cause >= 0) m.cause = cause;
        write(relay::encode_frame(m));
    }
    // Receives what has arrived, without waiting. False if there was nothing.
    bool receive_available() {
        char buffer[16384];
        const ssize_t n = ::recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
        if (n > 0) unparsed_.append(buffer, static_cast<std::size_t>(n));
        else if (n == 0) end_ = End::clean;
        else if (errno == ECONNRESET) end_ = End::reset;
        else return false;
        return true;
    }
    std::optional<ViewerMessage> next_line() {
        std::string_view bytes = unparsed_;
        const auto text = line_decoder_.next(bytes);
        unparsed_.erase(0, unparsed_.size() - bytes.size());
        if (!text) return std::nullopt;
        const auto read = relay::parse_line(*text);
        EXPECT_TRUE(std::holds_alternative<ViewerMessage>(read)) << *text;
        return std::get<ViewerMessage>(read);
    }
    std::optional<NodeMessage> next_frame() {
        std::string_view bytes = unparsed_;
        const auto read = frame_decoder_.next(bytes);
        unparsed_.erase(0, unparsed_.size() - bytes.size());
        if (!read) return std::nullopt;
        EXPECT_TRUE(std::holds_alternative<NodeMessage>(*read));
        return std::get<NodeMessage>(*read);
    }
    End end() const { return end_; }

  private:
    int fd_;
    relay::LineDecoder line_decoder_;
    relay::FrameDecoder frame_decoder_;
    std::string unparsed_;
    End end_ = End::open;
};

// A director process with its media nodes, its name server and its log.
class ProcessRig {
  public:
    // With `backlog` 0 a node's accept queue holds one connection; further ones are not established.
    explicit ProcessRig(int node_count = 1, int sockets = 256, int backlog = 64) : sockets_(sockets) {
        folder_ = io::create_temporary_folder();
        for (int k = 0; k < node_count; ++k) {
            nodes_.push_back(open_listener(backlog));
            listed.push_back({"s-" + std::to_string(k),
                              {"127.0.0.1", static_cast<std::uint16_t>(port_of(nodes_.back()))}});
        }
        name_server_ = bind_name_server();
        write_config(port_of(name_server_));
    }
    ~ProcessRig() {
        if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
        for (const int fd : nodes_) ::close(fd);
        for (const int fd : {name_server_, log_fd_})
            if (fd >= 0) ::close(fd);
        io::remove_folder(folder_);
    }
    ProcessRig(const ProcessRig&) = delete;
    ProcessRig& operator=(const ProcessRig&) = delete;

    std::vector<ListedNode> listed;
    std::uint32_t serial = 3;
    bool name_server_responds = false;  // silent by default: the director uses the list of its start
    int query_count = 0;
    // Changes the configuration's text, before start() or for a SIGHUP.
    std::function<std::string(std::string)> edit_config = [](std::string text) { return text; };

    static int open_listener(int backlog) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in a = loopback(0);
        EXPECT_EQ(::bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a), 0);
        EXPECT_EQ(::listen(fd, backlog), 0);
        return fd;
    }
    static int bind_name_server() {
        const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const sockaddr_in a = loopback(0);
        EXPECT_EQ(::bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a), 0);
        return fd;
    }
    std::string config_path() const { return folder_ + "/config.json"; }
    void write_config(int dns_port) {
        std::string text = make_director_config(listed, "127.0.0.1:" + std::to_string(dns_port), sockets_);
        // Without probes, each connection to a node is that of one set-up.
        text.replace(text.find("\"probes\":true"), 13, "\"probes\":false");
        io::write_file(config_path(), edit_config(text));
    }
    void rewrite_config() { write_config(port_of(name_server_)); }
    // Moves the name server to another port.
    void move_name_server() {
        ::close(name_server_);
        name_server_ = bind_name_server();
        query_count = 0;
    }
    int dns_port() const { return port_of(name_server_); }

    // Starts the director; with `wait`, returns once it listens.
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
        log_fd_ = pipe[0];
        ::fcntl(log_fd_, F_SETFL, O_NONBLOCK);
        if (!wait) return;
        const auto started = await_log_event("started");
        const std::string at = started.value("listen", ":0");
        port_ = std::atoi(at.substr(at.rfind(':') + 1).c_str());
        ASSERT_GT(port_, 0);
    }
    void send_signal(int number) { ASSERT_EQ(::kill(pid_, number), 0); }
    // Suspends the process; returns when it is known to be suspended.
    void suspend() {
        ::kill(pid_, SIGSTOP);
        int status = 0;
        ASSERT_EQ(::waitpid(pid_, &status, WUNTRACED), pid_);
        ASSERT_TRUE(WIFSTOPPED(status));
    }
    void resume() { ::kill(pid_, SIGCONT); }
    // Waits for the exit. Returns the exit code, or 128 plus the number of the signal that killed it.
    int await_exit() {
        int status = 0;
        const bool over = wait_until([&] { return ::waitpid(pid_, &status, WNOHANG) == pid_; });
        EXPECT_TRUE(over) << "the process does not exit";
        if (!over) return -1;
        pid_ = -1;
        while (read_log()) {
        }
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    // Whether the process has exited, without collecting its exit code.
    bool has_ended() const {
        siginfo_t info{};
        return ::waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) != 0 ||
               info.si_pid == pid_;
    }
    bool is_running() { return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0; }
    int pid() const { return pid_; }
    double cpu_seconds() const {
        clockid_t clock{};
        timespec t{};
        EXPECT_EQ(::clock_getcpuclockid(pid_, &clock), 0);
        EXPECT_EQ(::clock_gettime(clock, &t), 0);
        return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
    }

    PeerConnection connect_viewer() {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in a = loopback(port_);
        EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a), 0);
        return PeerConnection(fd);
    }
    // Accepts the director's next connection to that node.
    PeerConnection accept_connection(std::size_t node = 0) {
        int fd = -1;
        EXPECT_TRUE(wait_until([&] {
            pollfd one{nodes_[node], POLLIN, 0};
            if (::poll(&one, 1, 0) == 1) fd = ::accept4(nodes_[node], nullptr, nullptr, SOCK_CLOEXEC);
            return fd >= 0;
        })) << "no connection to node "
            << node;
        return PeerConnection(fd);
    }
    void close_listener(std::size_t node) { ::close(nodes_[node]), nodes_[node] = ::dup(name_server_); }
    int node_fd(std::size_t node) const { return nodes_[node]; }

    // Serves the name server and the log until the condition is true. False: it did not become true in time.
    bool wait_until(const std::function<bool()>& condition, int timeout_ms = kTimeout_ms) {
        for (const double until = clock_ms() + timeout_ms; clock_ms() < until;) {
            process_input();
            if (condition()) return true;
            pollfd wake[2] = {{name_server_, POLLIN, 0}, {log_fd_, POLLIN, 0}};
            ::poll(wake, log_fd_ >= 0 ? 2 : 1, 1);
        }
        return condition();
    }
    ViewerMessage await_line(PeerConnection& peer) {
        std::optional<ViewerMessage> m;
        EXPECT_TRUE(wait_until([&] {
            if (!(m = peer.next_line()) && peer.receive_available()) m = peer.next_line();
            return m || peer.end() != PeerConnection::End::open;
        }));
        EXPECT_TRUE(m) << "no line was received";
        return m.value_or(ViewerMessage{});
    }
    NodeMessage await_frame(PeerConnection& peer) {
        std::optional<NodeMessage> m;
        EXPECT_TRUE(wait_until([&] {
            if (!(m = peer.next_frame()) && peer.receive_available()) m = peer.next_frame();
            return m || peer.end() != PeerConnection::End::open;
        }));
        EXPECT_TRUE(m) << "no message was received";
        return m.value_or(NodeMessage{});
    }
    // Returns the next message of that type and skips the others.
    NodeMessage await_frame(PeerConnection& peer, MessageType type) {
        NodeMessage m;
        do m = await_frame(peer);
        while (m.type != type && !::testing::Test::HasFailure());
        return m;
    }
    PeerConnection::End await_end(PeerConnection& peer) {
        EXPECT_TRUE(wait_until([&] {
            return (peer.receive_available(), peer.end() != PeerConnection::End::open);
        })) << "the connection stays open";
        return peer.end();
    }
    // Sends a ping and awaits its pong: the director has then read all that was sent before.
    void barrier(PeerConnection& peer) {
        peer.send_line(R"({"type":"ping","id":"00000000000000ff","fields":{},"cause":0})");
        EXPECT_EQ(await_line(peer).type, MessageType::pong);
    }

    // Returns the log's next line with that event.
    nlohmann::json await_log_event(const std::string& event) {
        std::size_t at = 0;
        nlohmann::json found;
        EXPECT_TRUE(wait_until([&] {
            for (; at < log_lines.size(); ++at)
                if (const auto doc = nlohmann::json::parse(log_lines[at], nullptr, false);
                    doc.is_object() && doc.value("event", "") == event) {
                    found = doc;
                    log_lines.erase(log_lines.begin(),
                                    log_lines.begin() + static_cast<std::ptrdiff_t>(at) + 1);
                    return true;
                }
            return false;
        })) << "no log line with event \""
            << event << "\"";
        return found;
    }
    std::vector<std::string> log_lines;  // received and not yet looked at

  private:
    bool read_log() {
        if (log_fd_ < 0) return false;
        char buffer[65536];
        const ssize_t n = ::read(log_fd_, buffer, sizeof buffer);
        if (n <= 0) return false;
        partial_log_.append(buffer, static_cast<std::size_t>(n));
        for (std::size_t end; (end = partial_log_.find('\n')) != std::string::npos;
             partial_log_.erase(0, end + 1))
            log_lines.push_back(partial_log_.substr(0, end));
        return true;
    }
    void process_input() {
        while (read_log()) {
        }
        for (;;) {
            char buffer[2048];
            sockaddr_in from{};
            socklen_t size = sizeof from;
            const ssize_t n = ::recvfrom(name_server_, buffer, sizeof buffer, MSG_DONTWAIT,
                                         reinterpret_cast<sockaddr*>(&from), &size);
            if (n <= 0) return;
            query_count += 1;
            if (!name_server_responds) continue;
            const std::string answer =
                make_dns_response({buffer, static_cast<std::size_t>(n)}, serial, listed);
            ::sendto(name_server_, answer.data(), answer.size(), 0, reinterpret_cast<const sockaddr*>(&from),
                     size);
        }
    }

    const int sockets_;
    std::string folder_, partial_log_;
    std::vector<int> nodes_;
    int name_server_ = -1, log_fd_ = -1, pid_ = -1, port_ = 0;
};

}  // namespace ivyfield::relaytest
