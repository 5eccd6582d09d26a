#include "log/log.hpp"

#include <spdlog/logger.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/null_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <cmath>
#include <stdexcept>

namespace ivyfield::log {

Log::Log(const std::string& path, Level min_level, std::string name)
    : min_level_(min_level), name_(std::move(name)) {
    spdlog::sink_ptr sink;
    try {
        if (path.empty()) sink = std::make_shared<spdlog::sinks::null_sink_mt>();
        else if (path == "-") sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
        else sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(path);
    } catch (const spdlog::spdlog_ex& e) {
        throw std::runtime_error("can't open log file: " + std::string(e.what()));
    }
    logger_ = std::make_shared<spdlog::logger>("ivyfield", sink);
    logger_->set_pattern("%v");
    logger_->set_level(spdlog::level::trace);
    logger_->flush_on(spdlog::level::err);
}
Log::~Log() { logger_->flush(); }

void Log::write(Level level, double wall_ms, const char* event, const nlohmann::json& fields) {
    if (level < min_level_) return;
    static constexpr const char* level_names[] = {"debug", "info", "warning", "error"};
    nlohmann::ordered_json line;
    line["t"] = std::llround(wall_ms);
    line["level"] = level_names[static_cast<int>(level)];
    line["name"] = name_;
    line["event"] = event;
    for (const auto& [key, value] : fields.items()) line[key] = value;
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    logger_->log(level == Level::error ? spdlog::level::err : spdlog::level::info, "{}", text);
}
void Log::flush() { logger_->flush(); }

}  // namespace ivyfield::log
