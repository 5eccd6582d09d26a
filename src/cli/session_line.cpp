#include "cli/session_line.hpp"

#include <cmath>

namespace ivyfield::cli {

using nlohmann::json;

json session_line(const core::SessionRecord& r, const std::function<std::string(ServerId)>& node_name) {
    const auto rounded = [](double ms) { return std::round(ms * 10) / 10; };
    json tries = json::array();
    for (const core::Try& one : r.tries)
        tries.push_back({{"node", node_name(one.server)}, {"end", one.end}, {"ms", rounded(one.waited)}});
    json line = {{"answer", core::name(r.answer)},
                 {"attempts", r.attempts},
                 {"tries", tries},
                 {"rung", r.rung},
                 {"rungs_set", r.rungs_set},
                 {"returning", r.returning},
                 {"moved", r.moved},
                 {"taken_back", r.taken_back},
                 {"ended_by", r.ended_by}};
    if (r.end_crossed_answer) line["end_crossed_answer"] = true;
    // The phases, in the order of their happening: held, set up, played.
    const Time answered = r.answered_at;
    line["held_ms"] = rounded((r.first_sent > 0 ? r.first_sent : answered) - r.taken);
    if (r.first_sent > 0) line["set_up_ms"] = rounded(answered - r.first_sent);
    if (r.answer == core::Answer::plays) line["played_ms"] = rounded(r.ended - answered);
    if (r.answer == core::Answer::refused) line["retry_after_ms"] = rounded(r.retry_after);
    return line;
}

}  // namespace ivyfield::cli
