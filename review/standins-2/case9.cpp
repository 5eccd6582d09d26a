// A media node is drained and taken off the list while it still works on a set-up; it answers, and then its process
// ends.
#include "rig.hpp"

using namespace rig;

int main(int argc, char** argv) {
    const Arguments arguments = read_arguments(argc, argv);
    Loop loop;
    std::list<MediaNode> nodes;
    NameServer names(loop);
    const auto add_node = [&] {
        MediaNode& node = nodes.emplace_back(loop, "s-" + std::to_string(nodes.size()));
        node.work_ms = 420;  // a loaded node: work of 40 to 120 ms, with some queueing
        names.nodes.push_back({node.uid(), node.port()});
        return &node;
    };
    for (int k = 0; k < 6; ++k) add_node();
    Director director(arguments.run, arguments.folder, free_port());
    director.start(director_config(director.port(), names.port(), names, {}));

    constexpr int kNodesTaken = 2;  // of six, in two waves: the site file takes up to 37% in one to four
    constexpr double kTellWithin = 8000 + 50;
    struct Session {
        double answered = 0, told = 0, over = 0;
    };
    std::map<std::uint64_t, Session> sessions;
    std::unique_ptr<ViewerLink> viewers;
    int taken = 0;
    double busy_until = 0;

    const auto list_changed = [&](const std::string& what) {
        names.serial += 1;
        record("name server: event %u: %s", names.serial, what.c_str());
    };
    for (MediaNode& node : nodes)
        node.on_setup = [&, &node = node](std::uint64_t, const Frame&, const Link&) {
            if (!arguments.trouble || taken == kNodesTaken || now() < busy_until || now() < 3000) return true;
            taken += 1;
            busy_until = now() + 4000;
            // Listed as draining, taken off the list, dead 1.2 s after the notice.
            const auto entry = [&names, &node] {
                return std::find_if(names.nodes.begin(), names.nodes.end(),
                                    [&](const Listed& one) { return one.uid == node.uid(); });
            };
            entry()->draining = true;
            list_changed(node.uid() + " is draining");
            loop.after(100, [&, entry] {
                names.nodes.erase(entry());
                list_changed(node.uid() + " is gone");
            });
            loop.after(1200, [&] {
                for (const auto& [id, session] : node.playing) sessions[id].over = now();
                node.die();
            });
            return true;
        };

    when_ready(loop, director, [&] {
        viewers = std::make_unique<ViewerLink>(loop, director.port(), "viewers");
        viewers->on_line = [&](const Line& line) {
            for (auto& [id, session] : sessions) {
                if (hex(id) != line.id) continue;
                if (line.type == "answer") session.answered = now();
                else if (session.answered && (line.type == "release" || line.type == "move")) session.told = now();
            }
        };
        for (int k = 0; k < 60; ++k)
            loop.after(200 * k, [&, k] {
                const std::uint64_t id = 0x8c00000000000000u + static_cast<std::uint64_t>(k);
                sessions[id];
                viewers->send(setup_line(id, "nurse-checkin", 5000));
            });
        loop.after(12000 + 4000 + kTellWithin, [&] { loop.stop(); });
    });
    loop.run();
    if (director.ended()) return verdict(true, "the director has ended");

    int over = 0, standing = 0, answered = 0;
    for (const auto& [id, session] : sessions) {
        answered += session.answered > 0;
        if (!session.over || !session.answered) continue;
        over += 1;
        if (session.told && session.told <= session.over + kTellWithin) continue;
        standing += 1;
        record("%s was answered at %.0f, ended with its media node at %.0f and was %s", hex(id).c_str(),
               session.answered, session.over, session.told ? "released late" : "never released");
    }
    if (answered < 30) cannot_run("too few sessions stood");
    if (arguments.trouble && over == 0) cannot_run("no session stood at a node that ended");
    return verdict(standing > 0, std::to_string(standing) + " of " + std::to_string(over) +
                                     " sessions that ended with their media node were not released within 8.05 s");
}
