// A director on the users' platform: engine, media nodes, list and viewers over its protocol, on a loop. The
// same for `ivyfield relay` and for the virtual world.
#pragma once

#include <deque>

#include "config/relay.hpp"
#include "core/engine.hpp"
#include "decide/shutdown.hpp"
#include "discovery/srv/srv.hpp"
#include "fronts/relay/front.hpp"
#include "log/log.hpp"
#include "nodes/relay/nodes.hpp"

namespace ivyfield::cli {

class RelayProcess {
  public:
    // Throws std::runtime_error when the address can't be had.
    RelayProcess(io::Loop& loop, const config::RelayConfig& config, const std::string& log_path);
    ~RelayProcess();
    // The configuration is read again: the name server's address moves.
    void reload(const config::RelayConfig& config);
    // Takes requests for a while yet, answers all that it took, then calls `done`.
    void stop(std::function<void()> done);
    void remark(log::Level level, const char* event, const nlohmann::json& fields);
    core::Engine& engine() { return engine_; }
    const fronts::RelayFront& front() const { return front_; }
    const nodes::RelayNodes& nodes() const { return nodes_; }
    nlohmann::json status() const;

  private:
    void begin();
    void listed(const discovery::Members& members);
    void confirmed();
    ServerEntry entry_of(const discovery::Member& member) const;
    void know();
    void ended(const core::SessionRecord& record);
    void stopping();
    void tell_status();

    io::Loop& loop_;
    config::RelayConfig config_;
    log::Log log_;
    nodes::RelayNodes nodes_;
    core::Engine engine_;
    fronts::RelayFront front_;
    const io::Time clock_;  // what Unix time is to the loop's clock
    discovery::SrvList list_;
    discovery::Members members_;
    std::map<ServerId, std::string> names_;
    std::deque<ServerId> named_;  // in the order of their coming
    bool began_ = false;
    io::Time confirmed_ = 0;
    int bad_told_ = 0;
    std::function<void()> done_;
    std::optional<decide::GracefulShutdown> shutdown_;
    io::Timer stop_timer_, status_timer_;
};

}  // namespace ivyfield::cli
