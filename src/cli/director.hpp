// A director for HTTP: the engine, the connections to media nodes, the server list from Consul, the HTTP
// interface for players and the log, on one event loop. `ivyfield serve` (also as a child process of
// `ivyfield day`) and the simulated network use the same class.
#pragma once

#include "config/config.hpp"
#include "core/engine.hpp"
#include "discovery/consul.hpp"
#include "fronts/http/front.hpp"
#include "log/log.hpp"
#include "nodes/client.hpp"

namespace ivyfield::cli {

// One director with all its parts. `loop` has to outlive it.
class DirectorProcess {
  public:
    // Throws std::runtime_error if it can't listen on the address or open the log file.
    DirectorProcess(io::Loop& loop, const config::Config& config, std::uint64_t seed);
    ~DirectorProcess();
    // Starts a graceful shutdown: accepts requests for a short while, answers all that it has accepted, then
    // calls `done`. Further calls have no effect.
    void stop(std::function<void()> done);
    io::Address address() const { return front_.address(); }
    core::Engine& engine() { return engine_; }
    const fronts::HttpFront& front() const { return front_; }
    // The counters of all parts as JSON text, for the status request.
    std::string status() const;

  private:
    void update_list(const std::vector<discovery::Instance>& instances);
    void log_session(const core::SessionRecord& record);
    void continue_shutdown();

    io::Loop& loop_;
    config::Config config_;
    log::Log log_;
    nodes::NodeClient nodes_;
    core::Engine engine_;
    fronts::HttpFront front_;
    discovery::ConsulClient consul_;
    std::map<ServerId, std::string> node_names_;  // for the log; of nodes that left the list too
    std::size_t node_count_ = 0;                  // entries of the current server list
    std::function<void()> on_stopped_;            // set during a graceful shutdown
    io::Time stop_listening_at_ = 0, shutdown_deadline_ = 0;
    io::Timer stop_timer_;
};

}  // namespace ivyfield::cli
