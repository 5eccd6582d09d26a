// The log line of a session, the same for the HTTP director and the platform's: its answer, its attempts and
// the time spent in each phase.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>

#include "core/engine.hpp"

namespace ivyfield::cli {

// Returns the fields that both directors log, times in ms; each adds its own. `node_name` returns the name of
// a node for the log.
nlohmann::json make_session_log_line(const core::SessionRecord& record,
                                     const std::function<std::string(ServerId)>& node_name);

}  // namespace ivyfield::cli
