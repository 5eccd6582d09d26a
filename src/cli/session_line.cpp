#include "cli/session_line.hpp"

#include <cmath>

namespace ivyfield::cli {

using nlohmann::json;

json session_line(const core::SessionRecord& r, const std::function<std::string(ServerId)>& node_name) {
    const auto rounded = [](double ms) { return std::round(ms * 10) / 10; };
    json tries = json::array();
    for (const core::AttemptRecord& one : r.attempt_records)
        tries.push_back(
            {{"node", node_name(one.server)}, {"end", one.outcome}, {"ms", rounded(one.elapsed)}});
    json line = {{"answer", core::name(r.answer)},
                 {"attempts", r.attempts},
                 {"tries", tries},
                 {"rung", r.rung},
                 {"rungs_set", r.rung_changes},
                 {"returning", r.returning},
                 {"moved", r.moved},
                 {"taken_back", r.reclaimed},
                 {"ended_by", r.ended_by}};
    if (r.end_crossed_answer) line["end_crossed_answer"] = true;
    // The phases, in the order of their happening: held, set up, played.
    const Time answered = r.answered_at;
    line["held_ms"] = rounded((r.first_sent_at > 0 ? r.first_sent_at : answered) - r.received_at);
    if (r.first_sent_at > 0) line["set_up_ms"] = rounded(answered - r.first_sent_at);
    if (r.answer == core::Answer::established) line["played_ms"] = rounded(r.ended_at - answered);
    if (r.answer == core::Answer::rejected) line["retry_after_ms"] = rounded(r.retry_after);
    return line;
}

}  // namespace ivyfield::cli
