#include "io/ev/child.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

extern char** environ;

namespace ivyfield::io {

Child::Child(const std::vector<std::string>& command, const std::string& output) {
    std::vector<char*> args;
    for (const std::string& arg : command) args.push_back(const_cast<char*>(arg.c_str()));
    args.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string output_path = output.empty() ? "/dev/null" : output;
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, output_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const int error = posix_spawn(&pid_, args[0], &actions, nullptr, args.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error) throw std::runtime_error("can't start " + command.front() + ": " + std::strerror(error));
}
Child::~Child() { kill(); }

bool Child::running() {
    if (pid_ < 0) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    pid_ = -1;
    return false;
}
void Child::kill() {
    if (!running()) return;
    ::kill(pid_, SIGKILL);
    int status = 0;
    while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
    }
    exit_code_ = 128 + SIGKILL;
    pid_ = -1;
}
void Child::stall(bool on) {
    if (running()) ::kill(pid_, on ? SIGSTOP : SIGCONT);
}
void Child::signal(int number) {
    if (running()) ::kill(pid_, number);
}

double Child::cpu_ms() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
    std::string line;
    std::getline(in, line);
    std::istringstream rest(line.substr(std::min(line.size(), line.rfind(')') + 2)));
    std::string skipped;
    for (int k = 0; k < 11; ++k) rest >> skipped;  // fields 3 to 13 of /proc/PID/stat, see proc(5)
    double user = 0, system = 0;
    rest >> user >> system;
    return (user + system) * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
}
double Child::memory_kb() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
    double total = 0, resident = 0;
    in >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

std::size_t raise_file_limit() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return 0;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<std::size_t>(limit.rlim_cur);
}
void set_stderr_nonblocking() {
    const int flags = fcntl(STDERR_FILENO, F_GETFL);
    if (flags >= 0) fcntl(STDERR_FILENO, F_SETFL, flags | O_NONBLOCK);
}
void block_termination_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGHUP, SIGINT, SIGTERM}) sigaddset(&signals, number);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
}
std::string executable_path() { return std::filesystem::read_symlink("/proc/self/exe").string(); }
std::string create_temporary_folder() {
    std::string path = (std::filesystem::temp_directory_path() / "ivyfield-XXXXXX").string();
    if (!mkdtemp(path.data())) throw std::runtime_error("can't create a temporary folder: " + path);
    return path;
}
void write_file(const std::string& path, const std::string& text) {
    std::ofstream out(path, std::ios::binary);
    out << text;
    if (!out.flush()) throw std::runtime_error("can't write " + path);
}
void remove_folder(const std::string& path) {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
}

}  // namespace ivyfield::io
