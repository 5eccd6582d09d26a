// A media node's process dies and is started again under its id; the list tells its new start.
#include "rig.hpp"

using namespace rig;

int main(int argc, char** argv) {
    const Arguments arguments = read_arguments(argc, argv);
    Loop loop;
    std::list<MediaNode> nodes;
    NameServer names(loop);
    for (int k = 0; k < 5; ++k) {
        MediaNode& node = nodes.emplace_back(loop, "s-" + std::to_string(k));
        names.nodes.push_back({node.uid(), node.port()});
    }
    Director director(arguments.run, arguments.folder, free_port());
    director.start(director_config(director.port(), names.port(), names, {}));

    constexpr double kTellWithin = 8000 + 50;
    struct Session {
        double answered = 0, told = 0, over = 0;
    };
    std::map<std::uint64_t, Session> sessions;
    std::unique_ptr<ViewerLink> viewers;

    when_ready(loop, director, [&] {
        viewers = std::make_unique<ViewerLink>(loop, director.port(), "viewers");
        viewers->on_line = [&](const Line& line) {
            for (auto& [id, session] : sessions) {
                if (hex(id) != line.id) continue;
                if (line.type == "answer") session.answered = now();
                else if (session.answered && (line.type == "release" || line.type == "move")) session.told = now();
            }
        };
        // Set-ups all the time, about three a second, before and after.
        for (int k = 0; k < 80; ++k)
            loop.after(300 * k, [&, k] {
                const std::uint64_t id = 0x9e00000000000000u + static_cast<std::uint64_t>(k);
                sessions[id];
                viewers->send(setup_line(id, k % 2 ? "prep-video" : "nurse-checkin", 5000));
            });
        loop.after(12000, [&] {
            if (!arguments.trouble) return;
            MediaNode& node = *std::max_element(nodes.begin(), nodes.end(), [](const MediaNode& a, const MediaNode& b) {
                return a.playing.size() < b.playing.size();
            });
            for (const auto& [id, session] : node.playing) sessions[id].over = now();
            node.restart(300);
            loop.after(1000, [&] {
                for (Listed& one : names.nodes)
                    if (one.uid == node.uid()) one.started = unix_ms() - 700;
                names.serial += 1;
                record("name server: event %u: %s is ready, with its new start", names.serial, node.uid().c_str());
            });
        });
        loop.after(12000 + kTellWithin + 8000, [&] { loop.stop(); });
    });
    loop.run();
    if (director.ended()) return verdict(true, "the director has ended");

    int over = 0, in_time = 0, late = 0, never = 0, wrong = 0, answered = 0;
    for (const auto& [id, session] : sessions) {
        answered += session.answered > 0;
        if (!session.over) {
            wrong += session.told > 0;
            continue;
        }
        if (!session.answered) continue;
        over += 1;
        if (!session.told) never += 1;
        else if (session.told > session.over + kTellWithin) late += 1;
        else in_time += 1;
        if (!session.told)
            record("%s ended with its process at %.0f and was not released in %.0f ms", hex(id).c_str(), session.over,
                   now() - session.over);
    }
    if (answered < 40) cannot_run("too few sessions stood");
    if (arguments.trouble && over == 0) cannot_run("no session stood at the node that died");
    if (wrong > 0) return verdict(true, std::to_string(wrong) + " sessions that play were released");
    return verdict(late + never > 0, "of " + std::to_string(over) + " sessions that ended with their process " +
                                         std::to_string(in_time) + " were released within 8.05 s, " +
                                         std::to_string(late) + " later, " + std::to_string(never) + " not at all");
}
