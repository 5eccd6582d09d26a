// Some clients send hundreds of requests at once, of a size that the protocol allows, and the same again as soon as they
// are turned away.
#include "rig.hpp"

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

}  // namespace

int main(int argc, char** argv) {
    const Arguments arguments = read_arguments(argc, argv);
    Loop loop;
    std::list<MediaNode> nodes;
    NameServer names(loop);
    const std::string unknown_title = "00000000deadbeef";
    for (int k = 0; k < 5; ++k) {
        MediaNode& node = nodes.emplace_back(loop, "s-" + std::to_string(k));
        node.work_ms = 80;
        names.nodes.push_back({node.uid(), node.port()});
        // A media node answers "error" to what it can't use.
        node.quiet = true;
        node.on_setup = [&loop, &node, unknown_title](std::uint64_t session, const Frame& frame, const Link& link) {
            const auto title = frame.parameters.find(41);
            if (title == frame.parameters.end() || title->second != unknown_title) return true;
            loop.after(node.work_ms, [&node, session, weak = std::weak_ptr<Connection>(link)] {
                const Link one = weak.lock();
                if (one && one->open()) node.refuse(session, one, 47);
            });
            return false;
        };
    }
    constexpr long kLimit_mb = 32;
    constexpr int kBadClients = 32, kAtOnce = 250;
    Director director(arguments.run, arguments.folder, free_port());
    SettingsOptions options;
    options.memory_mb = kLimit_mb;
    options.sockets = 256;
    director.start(director_config(director.port(), names.port(), names, options));

    long most_kb = 0;
    bool killed = false;
    int usual = 0, usual_answered = 0, bad_sent = 0, bad_answered = 0;
    std::set<std::string> open_requests;
    std::unique_ptr<ViewerLink> viewers;
    std::list<std::unique_ptr<ViewerLink>> bad;
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
        for (int client = 0; client < kBadClients && arguments.trouble; ++client)
            loop.after(5000, [&, client] {
                const std::string name = "bad client " + std::to_string(client);
                record("%s sends %d requests at once", name.c_str(), kAtOnce);
                bad.push_back(std::make_unique<ViewerLink>(loop, director.port(), name, true));
                ViewerLink* link = bad.back().get();
                const auto ask = [&bad_sent, link, unknown_title] {
                    const std::uint64_t id = 0xe000000000000000u + static_cast<std::uint64_t>(++bad_sent);
                    std::string line = setup_line(id, "prep-video", 5000, "", unknown_title);
                    line.insert(line.rfind("offer"), std::string(15500, 'x'));  // a message of less than 16 KiB
                    link->send(line);
                };
                // The same again as soon as it is turned away.
                link->on_line = [&, ask](const Line&) {
                    bad_answered += 1;
                    if (now() < 25000 && !killed) ask();
                };
                for (int k = 0; k < kAtOnce; ++k) ask();
            });
        loop.after(36000, [&] { loop.stop(); });
    });
    loop.run();
    if (!killed && director.ended()) return verdict(true, "the director has ended");
    if (usual < 10) cannot_run("too few requests of usual clients");
    return verdict(killed, "the director held up to " + std::to_string(most_kb) + " kB of its " +
                               std::to_string(kLimit_mb * 1024) + "; " + std::to_string(usual_answered) + " of " +
                               std::to_string(usual) + " usual requests answered; bad clients sent " +
                               std::to_string(bad_sent) + ", " + std::to_string(bad_answered) + " answered");
}
