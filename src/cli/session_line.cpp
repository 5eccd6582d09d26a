#include "cli/session_line.hpp"

#include <cmath>

namespace ivyfield::cli {

using nlohmann::json;

json make_session_log_line(const core::SessionRecord& record,
                           const std::function<std::string(ServerId)>& node_name) {
    const auto rounded = [](double ms) { return std::round(ms * 10) / 10; };
    json attempts = json::array();
    for (const core::AttemptRecord& attempt : record.attempt_records)
        attempts.push_back({{"node", node_name(attempt.server)},
                            {"end", attempt.outcome},
                            {"ms", rounded(attempt.elapsed)}});
    json line = {{"answer", core::name(record.answer)},
                 {"attempts", record.attempts},
                 {"tries", attempts},
                 {"rung", record.rung},
                 {"rungs_set", record.rung_changes},
                 {"returning", record.returning},
                 {"moved", record.moved},
                 {"taken_back", record.reclaimed},
                 {"ended_by", record.ended_by}};
    if (record.end_crossed_answer) line["end_crossed_answer"] = true;
    // The phases in their order: held until the first set-up was sent, set up, played.
    const Time answered = record.answered_at;
    line["held_ms"] =
        rounded((record.first_sent_at > 0 ? record.first_sent_at : answered) - record.received_at);
    if (record.first_sent_at > 0) line["set_up_ms"] = rounded(answered - record.first_sent_at);
    if (record.answer == core::Answer::established) line["played_ms"] = rounded(record.ended_at - answered);
    if (record.answer == core::Answer::rejected) line["retry_after_ms"] = rounded(record.retry_after);
    return line;
}

}  // namespace ivyfield::cli
