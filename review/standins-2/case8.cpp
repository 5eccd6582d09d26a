// Some clients send hundreds of requests at once, of a size that the protocol allows, and the same again as soon as they
// are turned away.
#include "rig.hpp"

#include <sys/mman.h>

#include <atomic>
#include <new>

using namespace rig;

namespace {

// What the process holds that is no file's: a lower bound of what counts against its limit. In kB; 0: unknown.
long anonymous_kb(pid_t pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    long sum = 0;
    for (std::string line; std::getline(status, line);)
        if (line.rfind("RssAnon:", 0) == 0 || line.rfind("RssShmem:", 0) == 0)
            sum += std::atol(line.c_str() + line.find(':') + 1);
    return sum;
}

constexpr int kBadClients = 32, kAtOnce = 250, kClientsAProcess = 8;
constexpr const char* kUnknownTitle = "00000000deadbeef";
struct Counts {
    std::atomic<int> sent{0}, answered{0};
};

// Starts a process with some of the bad clients, so that they don't hold up the other stand-ins. They read what they
// are sent, and send the same again as soon as they are turned away.
pid_t start_bad_clients(int port, int first, Counts* counts) {
    const pid_t pid = ::fork();
    if (pid < 0) cannot_run("no process");
    if (pid > 0) return pid;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    record_file() = nullptr;
    for (int fd = 3; fd < 1024; ++fd) ::close(fd);  // the other stand-ins' sockets are theirs alone
    Loop loop;
    std::list<std::unique_ptr<ViewerLink>> clients;
    for (int client = first; client < first + kClientsAProcess; ++client) {
        clients.push_back(std::make_unique<ViewerLink>(loop, port, "bad client", true));
        ViewerLink* link = clients.back().get();
        auto next = std::make_shared<std::uint64_t>(0xe000000000000000u + static_cast<std::uint64_t>(client) * 1000000);
        const auto ask = [link, next, counts] {
            std::string line = setup_line(++*next, "prep-video", 5000, "", kUnknownTitle);
            line.insert(line.rfind("offer"), std::string(15500, 'x'));  // a message of less than 16 KiB
            counts->sent += 1;
            link->send(line);
        };
        link->on_line = [ask, counts](const Line&) {
            counts->answered += 1;
            if (now() < 25000) ask();
        };
        for (int k = 0; k < kAtOnce; ++k) ask();
    }
    loop.run();
    ::_exit(0);
}

}  // namespace

int main(int argc, char** argv) {
    const Arguments arguments = read_arguments(argc, argv);
    Loop loop;
    std::list<MediaNode> nodes;
    NameServer names(loop);
    for (int k = 0; k < 5; ++k) {
        MediaNode& node = nodes.emplace_back(loop, "s-" + std::to_string(k));
        node.work_ms = 80;
        names.nodes.push_back({node.uid(), node.port()});
        // A media node answers "error" to what it can't use.
        node.quiet = true;
        node.on_setup = [&loop, &node](std::uint64_t session, const Frame& frame, const Link& link) {
            const auto title = frame.parameters.find(41);
            if (title == frame.parameters.end() || title->second != kUnknownTitle) return true;
            loop.after(node.work_ms, [&node, session, weak = std::weak_ptr<Connection>(link)] {
                const Link one = weak.lock();
                if (one && one->open()) node.refuse(session, one, 47);
            });
            return false;
        };
    }
    constexpr long kLimit_mb = 32;
    Director director(arguments.run, arguments.folder, free_port());
    SettingsOptions options;
    options.memory_mb = kLimit_mb;
    options.sockets = 256;
    director.start(director_config(director.port(), names.port(), names, options));

    long most_kb = 0;
    bool killed = false;
    int usual = 0, usual_answered = 0;
    std::vector<pid_t> processes;
    Counts* const counts = static_cast<Counts*>(
        ::mmap(nullptr, sizeof(Counts), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0));
    if (counts == MAP_FAILED) cannot_run("no shared memory");
    new (counts) Counts;
    std::set<std::string> open_requests;
    std::unique_ptr<ViewerLink> viewers;
    std::function<void()> measure = [&] {
        const long kb = anonymous_kb(director.pid());
        if (kb > most_kb) most_kb = kb, record("director holds %ld kB", kb);
        if (kb > kLimit_mb * 1024 && !killed) {
            killed = true;
            record("over its limit of %ld MB: the platform kills the director, %zu requests of usual clients are open",
                   kLimit_mb, open_requests.size());
            director.kill_now();
            loop.after(500, [&] { loop.stop(); });
            return;
        }
        loop.after(20, measure);
    };
    when_ready(loop, director, [&] {
        measure();
        viewers = std::make_unique<ViewerLink>(loop, director.port(), "viewers");
        viewers->on_line = [&](const Line& line) { usual_answered += open_requests.erase(line.id) ? 1 : 0; };
        for (int k = 0; k < 150; ++k)
            loop.after(200 * k, [&, k] {
                if (killed) return;
                const std::uint64_t id = 0xd000000000000000u + static_cast<std::uint64_t>(k);
                usual += 1;
                open_requests.insert(hex(id));
                viewers->send(setup_line(id, "nurse-checkin", 5000));
            });
        if (arguments.trouble)
            loop.after(5000, [&] {
                record("%d bad clients send %d requests each at once", kBadClients, kAtOnce);
                for (int first = 0; first < kBadClients; first += kClientsAProcess)
                    processes.push_back(start_bad_clients(director.port(), first, counts));
            });
        loop.after(36000, [&] { loop.stop(); });
    });
    loop.run();
    for (const pid_t pid : processes) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
    const int bad_sent = counts->sent, bad_answered = counts->answered;
    if (!killed && director.ended()) return verdict(true, "the director has ended");
    if (usual < 10) cannot_run("too few requests of usual clients");
    return verdict(killed, "the director held up to " + std::to_string(most_kb) + " kB of its " +
                               std::to_string(kLimit_mb * 1024) + "; " + std::to_string(usual_answered) + " of " +
                               std::to_string(usual) + " usual requests answered; bad clients sent " +
                               std::to_string(bad_sent) + ", " + std::to_string(bad_answered) + " answered");
}
