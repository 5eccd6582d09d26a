// The list of servers as a stand-in: Consul's GET /v1/health/service/NAME with blocking queries.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/server.hpp"
#include "standins/tap.hpp"

namespace ivyfield::standins {

struct ListedServer {
    std::string id, kind, state = "ready";  // "ready", "draining", "gone" (its check is critical)
    io::Address address;
    int position = 0, zone = 0;
    double weight = 1, started_wall_ms = 0;  // 0: long ago
};

class ServerListEmulator {
  public:
    ServerListEmulator(io::Loop& loop, const io::Address& listen, std::string service, EventSink tap);
    io::Address address() const { return server_.address(); }
    // Takes effect for askers `late` from now.
    void set_server(const ListedServer& one);
    void remove_server(const std::string& id);
    void set_update_delay(io::Time by) { late_ = by; }
    void set_hung(bool on) { on ? server_.pause() : server_.resume(); }
    // Answers go on with what was known when this began, as an agent cut off from its servers gives them.
    void set_stale(bool on);

  private:
    struct Waiting {
        http::ExchangePtr exchange;
        io::Timer until;
    };
    void serve(const http::ExchangePtr& e);
    void answer(const http::ExchangePtr& e);
    void changed();
    void later(std::function<void()> change);

    io::Loop& loop_;
    std::string service_;
    EventSink tap_;
    std::map<std::string, ListedServer> all_, stale_copy_;
    std::uint64_t index_ = 1, next_ = 0;
    io::Time late_ = 0;
    bool stale_ = false;
    std::map<std::uint64_t, Waiting> waiting_;
    std::map<std::uint64_t, io::Timer> changes_;
    http::Server server_;
};

}  // namespace ivyfield::standins
