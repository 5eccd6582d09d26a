// One director, put together: engine, nodes, list, front and log on a loop. The same for `ivyfield serve`,
// the day's child processes and the virtual world.
#pragma once

#include "config/config.hpp"
#include "core/engine.hpp"
#include "discovery/consul.hpp"
#include "fronts/http/front.hpp"
#include "log/log.hpp"
#include "nodes/client.hpp"

namespace ivyfield::cli {

class DirectorProcess {
  public:
    // Throws std::runtime_error when the address or the log can't be had.
    DirectorProcess(io::Loop& loop, const config::Config& config, std::uint64_t seed);
    ~DirectorProcess();
    // Graceful shutdown: takes requests for a while yet, answers all that it took, then calls `done`.
    void stop(std::function<void()> done);
    io::Address address() const { return front_.address(); }
    core::Engine& engine() { return engine_; }
    const fronts::HttpFront& front() const { return front_; }
    std::string status() const;

  private:
    void listed(const std::vector<discovery::Instance>& instances);
    void ended(const core::SessionRecord& record);
    void stopping();

    io::Loop& loop_;
    config::Config config_;
    log::Log log_;
    nodes::NodeClient nodes_;
    core::Engine engine_;
    fronts::HttpFront front_;
    discovery::ConsulClient consul_;
    std::map<ServerId, std::string> names_;
    std::size_t listed_ = 0;
    std::function<void()> done_;  // set: shutting down
    io::Time stop_listening_at_ = 0, leave_at_ = 0;
    io::Timer stop_timer_;
};

}  // namespace ivyfield::cli
