// A director on the users' platform: connects the engine with the media nodes, the node list and the clients,
// all over the platform's protocol, on one event loop. Used by `ivyfield relay` and by tests in virtual time.
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

// One director. It writes its log to `log_path` ("-": stderr; empty: nowhere).
class RelayProcess {
  public:
    // Throws std::runtime_error if it can't listen on the address.
    RelayProcess(io::Loop& loop, const config::RelayConfig& config, const std::string& log_path);
    ~RelayProcess();
    // Applies a configuration that has been read again. Only the name server's address can change.
    void reload(const config::RelayConfig& config);
    // Starts a graceful shutdown (decide/shutdown.hpp): accepts set-ups for a while, answers all that it has
    // accepted, then calls `done`. Further calls have no effect.
    void stop(std::function<void()> done);
    // Writes one line to the log.
    void log_event(log::Level level, const char* event, const nlohmann::json& fields);
    core::Engine& engine() { return engine_; }
    const fronts::RelayFront& front() const { return front_; }
    const nodes::RelayNodes& nodes() const { return nodes_; }
    // The counters of all parts, as they are logged every few seconds.
    nlohmann::json status() const;

  private:
    void start_engine();
    void update_list(const discovery::Members& members);
    void confirm_list();
    io::Time start_time(const discovery::Member& member) const;
    ServerEntry make_entry(const discovery::Member& member) const;
    void update_nodes();
    void log_session(const core::SessionRecord& record);
    void continue_shutdown();
    void log_status();

    io::Loop& loop_;
    config::RelayConfig config_;
    log::Log log_;
    nodes::RelayNodes nodes_;
    core::Engine engine_;
    fronts::RelayFront front_;
    const io::Time unix_to_loop_offset_;  // ms; Unix time + this = the loop's time
    discovery::SrvPoller srv_poller_;
    discovery::Members members_;
    std::map<ServerId, std::string> node_names_;
    std::deque<ServerId> node_name_order_;  // the keys of node_names_, first to be dropped first
    bool engine_started_ = false;
    io::Time full_list_at_ = 0;
    int logged_invalid_setups_ = 0;
    std::function<void()> on_stopped_;
    std::optional<decide::GracefulShutdown> shutdown_;
    io::Timer stop_timer_, status_timer_;
};

}  // namespace ivyfield::cli
