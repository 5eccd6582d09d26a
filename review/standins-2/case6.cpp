// A paid set-up crosses the end of its resting connection, and its client sends it again, once.
#include "rig.hpp"

using namespace rig;

namespace {

// Between the viewers and the director, as a balancer of connections is. It can end a resting connection: both sides
// are closed, a few milliseconds after the last bytes went through.
class Proxy {
  public:
    Proxy(Loop& loop, int to) : loop_(loop), to_(to) {
        listener_ = open_listener();
        loop_.watch(listener_, [] { return static_cast<short>(POLLIN); }, [this](short) {
            accept_all(listener_, loop_, [this](const Link& viewer) { join(viewer); });
        });
    }
    int port() const { return port_of(listener_); }
    // The next bytes on connection `number` (from 1) are the last that go through.
    int end_number = 0;
    double end_after_ms = 15;

  private:
    void join(const Link& viewer) {
        const Link director = Connection::dial(loop_, to_);
        if (!director) cannot_run("the proxy can't reach the director");
        const int number = ++count_;
        pairs_.push_back({viewer, director});
        viewer->on_bytes = [this, number, viewer = viewer.get(), director = director.get()](const std::string& bytes) {
            director->write(bytes);
            if (number != end_number) return;
            end_number = 0;
            loop_.after(end_after_ms, [viewer, director] {
                record("proxy: ends the viewers' connection, to both sides");
                director->close();
                viewer->close();
            });
        };
        director->on_bytes = [viewer = viewer.get()](const std::string& bytes) { viewer->write(bytes); };
        viewer->on_end = [director = director.get()](Connection::End) { director->close(); };
        director->on_end = [viewer = viewer.get()](Connection::End) { viewer->close(); };
    }
    Loop& loop_;
    const int to_;
    int listener_, count_ = 0;
    std::list<std::pair<Link, Link>> pairs_;  // kept to the end of the case
};

}  // namespace

int main(int argc, char** argv) {
    const Arguments arguments = read_arguments(argc, argv);
    Loop loop;
    std::list<MediaNode> nodes;
    NameServer names(loop);
    for (int k = 0; k < 3; ++k) {
        MediaNode& node = nodes.emplace_back(loop, "s-" + std::to_string(k));
        node.work_ms = 80;  // the site file: 40 to 120
        names.nodes.push_back({node.uid(), node.port()});
    }
    Director director(arguments.run, arguments.folder, free_port());
    director.start(director_config(director.port(), names.port(), names, {}));
    Proxy proxy(loop, director.port());

    constexpr int kPaid = 20;
    struct Request {
        std::vector<double> received;  // by media nodes, whole
        std::vector<std::string> where;
        int answers = 0;
        std::string answer;
        double sent = 0;
        bool resent = false;
    };
    std::map<std::uint64_t, Request> requests;
    for (MediaNode& node : nodes)
        node.on_setup = [&requests, &node](std::uint64_t session, const Frame&, const Link&) {
            requests[session].received.push_back(now());
            requests[session].where.push_back(node.uid());
            return true;
        };

    std::list<std::unique_ptr<ViewerLink>> links;
    int connection_count = 0;
    const std::uint64_t base = 0x6a00000000000000u;
    // One viewer after the other: a first set-up on a new connection, which then rests, and a second one on it.
    const auto take = [&](std::uint64_t id, const Line& line) {
        if (line.id != hex(id) || (line.type != "answer" && line.type != "release")) return;
        Request& request = requests[id];
        if (request.answers > 0 && request.answer == "answer") return;  // the end of a session that stood
        request.answers += 1;
        request.answer = line.type == "answer" ? "answer" : "release with cause " + std::to_string(line.cause);
    };
    std::function<void(int)> viewer = [&](int index) {
        if (index == kPaid) {
            loop.after(7000, [&] { loop.stop(); });
            return;
        }
        const std::uint64_t first = base + 2 * static_cast<std::uint64_t>(index) + 1, second = first + 1;
        const int number = ++connection_count;
        links.push_back(std::make_unique<ViewerLink>(loop, proxy.port(), "viewer " + std::to_string(index)));
        ViewerLink* link = links.back().get();
        link->on_line = [&, first, second](const Line& line) { take(first, line), take(second, line); };
        link->on_end = [&, index, second] {
            // A set-up that crosses the close within 50 ms is sent again, once, on a new connection.
            Request& request = requests[second];
            if (!request.sent || request.answers > 0 || request.resent || now() - request.sent > 50) return;
            request.resent = true;
            const double left = 5000 - (now() - request.sent);
            ++connection_count;
            links.push_back(
                std::make_unique<ViewerLink>(loop, proxy.port(), "viewer " + std::to_string(index) + ", again"));
            links.back()->on_line = [&, second](const Line& line) { take(second, line); };
            links.back()->send(setup_line(second, "nurse-checkin", static_cast<int>(left)));
        };
        requests[first].sent = now();
        link->send(setup_line(first, "nurse-checkin", 5000));
        loop.after(1500, [&, link, second, number, index] {
            if (arguments.trouble && index % 2 == 1) proxy.end_number = number;
            requests[second].sent = now();
            link->send(setup_line(second, "nurse-checkin", 5000));
        });
        loop.after(1900, [&, index] { viewer(index + 1); });
    };
    when_ready(loop, director, [&] { viewer(0); });
    loop.run();
    if (director.ended()) return verdict(true, "the director has ended");

    int twice = 0, unanswered = 0, resent = 0, set_up = 0;
    for (const auto& [id, request] : requests) {
        resent += request.resent;
        set_up += !request.received.empty();
        if (request.answers == 0) {
            unanswered += 1;
            record("%s was never answered", hex(id).c_str());
        }
        if (request.received.size() < 2) continue;
        // No media node here refuses: every earlier attempt has run, or may have.
        twice += 1;
        record("paid session %s was set up at %s and, %.0f ms later, at %s", hex(id).c_str(), request.where[0].c_str(),
               request.received[1] - request.received[0], request.where[1].c_str());
    }
    if (set_up < kPaid) cannot_run("too few set-ups came to media nodes");
    return verdict(twice > 0, std::to_string(twice) + " of " + std::to_string(requests.size()) +
                                  " paid sessions were set up twice; " + std::to_string(resent) +
                                  " were sent again after a crossing, " + std::to_string(unanswered) +
                                  " without an answer");
}
