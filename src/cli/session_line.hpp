// A session's line in the log, alike for every way in: its answer, its tries and its phases.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>

#include "core/engine.hpp"

namespace ivyfield::cli {

nlohmann::json make_session_log_line(const core::SessionRecord& record,
                                     const std::function<std::string(ServerId)>& node_name);

}  // namespace ivyfield::cli
