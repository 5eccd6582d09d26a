// Structured logs: one JSON object per line, on spdlog. Field names are stable; operators' tools read them.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace spdlog {
class logger;
}

namespace ivyfield::log {

enum class Level { debug, info, warning, error };

// A log with a minimum level.
class Log {
  public:
    // `path` is "-" for standard error, "" to discard everything, else a file that is appended to. `name` is
    // the value of the "name" field. Throws std::runtime_error.
    Log(const std::string& path, Level min_level, std::string name);
    ~Log();
    // Writes "t" (milliseconds since 1970), "level", "name" and "event", then the fields.
    void write(Level level, double wall_ms, const char* event, const nlohmann::json& fields);
    void flush();

  private:
    std::shared_ptr<spdlog::logger> logger_;
    Level min_level_;
    std::string name_;
};

}  // namespace ivyfield::log
