// Emulator of the server list: Consul's GET /v1/health/service/NAME with blocking queries.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/server.hpp"
#include "standins/tap.hpp"

namespace ivyfield::standins {

// One entry of the list.
struct ListedServer {
    std::string id, kind, state = "ready";  // "ready", "draining", "gone" (its check is critical)
    io::Address address;
    int position = 0, zone = 0;
    double weight = 1, started_wall_ms = 0;  // 0: long ago
};

// Answers queries of directors and records each answer.
class ServerListEmulator {
  public:
    ServerListEmulator(io::Loop& loop, const io::Address& listen, std::string service, EventSink event_sink);
    io::Address address() const { return server_.address(); }
    // Adds or replaces an entry; as with remove_server(), answers change after the update delay.
    void set_server(const ListedServer& server);
    void remove_server(const std::string& id);
    void set_update_delay(io::Time delay) { update_delay_ = delay; }
    void set_hung(bool on) { on ? server_.pause() : server_.resume(); }
    // While on, answers repeat the entries known when it began, like a Consul agent cut off from its servers.
    void set_stale(bool on);

  private:
    struct PendingQuery {
        http::ExchangePtr exchange;
        io::Timer timeout_timer;
    };
    void handle_request(const http::ExchangePtr& exchange);
    void send_answer(const http::ExchangePtr& exchange);
    void notify_change();
    void schedule_change(std::function<void()> change);

    io::Loop& loop_;
    std::string service_;
    EventSink event_sink_;
    std::map<std::string, ListedServer> servers_, stale_servers_;
    std::uint64_t index_ = 1, last_id_ = 0;
    io::Time update_delay_ = 0;
    bool stale_ = false;
    std::map<std::uint64_t, PendingQuery> pending_queries_;
    std::map<std::uint64_t, io::Timer> pending_changes_;
    http::Server server_;
};

}  // namespace ivyfield::standins
