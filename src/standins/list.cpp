#include "standins/list.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace ivyfield::standins {

using nlohmann::json;

ServerListEmulator::ServerListEmulator(io::Loop& loop, const io::Address& listen, std::string service,
                                       EventSink event_sink)
    : loop_(loop),
      service_(std::move(service)),
      event_sink_(std::move(event_sink)),
      server_(loop, listen, {}, [this](const http::ExchangePtr& e) { handle_request(e); }) {}

void ServerListEmulator::schedule_change(std::function<void()> change) {
    if (update_delay_ <= 0) return change();
    const std::uint64_t id = ++last_id_;
    pending_changes_[id] = loop_.after(update_delay_, [this, id, change] {
        const io::Timer self = std::move(pending_changes_[id]);
        pending_changes_.erase(id);
        change();
    });
}
void ServerListEmulator::set_server(const ListedServer& server) {
    schedule_change([this, server] {
        servers_[server.id] = server;
        notify_change();
    });
}
void ServerListEmulator::remove_server(const std::string& id) {
    schedule_change([this, id] {
        servers_.erase(id);
        notify_change();
    });
}
void ServerListEmulator::set_stale(bool on) {
    if (on && !stale_) stale_servers_ = servers_;
    stale_ = on;
    if (!on) notify_change();
}
void ServerListEmulator::notify_change() {
    index_ += 1;
    if (stale_) return;
    auto waiting = std::move(pending_queries_);
    pending_queries_.clear();
    for (auto& [id, one] : waiting) send_answer(one.exchange);
}

void ServerListEmulator::handle_request(const http::ExchangePtr& exchange) {
    const http::Request& request = exchange->request();
    if (request.path() != "/v1/health/service/" + service_)
        return exchange->respond(http::text_response(404, "no such service"));
    const std::string index = http::query_argument(request.query(), "index").value_or("0");
    std::string wait = http::query_argument(request.query(), "wait").value_or("300s");
    if (index != std::to_string(index_) && !(stale_ && index != "0")) return send_answer(exchange);
    double ms = 300000;
    if (wait.size() > 2 && wait.substr(wait.size() - 2) == "ms") ms = std::atof(wait.c_str());
    else if (!wait.empty() && wait.back() == 's') ms = std::atof(wait.c_str()) * 1000;
    const std::uint64_t id = ++last_id_;
    PendingQuery& query = pending_queries_[id];
    query.exchange = exchange;
    query.timeout_timer = loop_.after(std::min(std::max(ms, 0.0), 600000.0), [this, id] {
        const http::ExchangePtr waiting_exchange = pending_queries_.at(id).exchange;
        pending_queries_.erase(id);
        send_answer(waiting_exchange);
    });
    exchange->on_disconnect([this, id] { loop_.post([this, id] { pending_queries_.erase(id); }); });
}

void ServerListEmulator::send_answer(const http::ExchangePtr& exchange) {
    if (exchange->is_disconnected()) return;
    exchange->on_disconnect(nullptr);
    json body = json::array();
    SocketEvent event;
    event.type = "list_sent";
    event.at = loop_.now();
    event.source = "list";
    event.director = std::string(exchange->request().headers.get("User-Agent").value_or(""));
    if (const std::size_t slash = event.director.find('/'); slash != std::string::npos)
        event.director.erase(0, slash + 1);
    for (const auto& [id, server] : stale_ ? stale_servers_ : servers_) {
        json meta = {{"position", std::to_string(server.position)},
                     {"weight", json(server.weight).dump()},
                     {"kind", server.kind},
                     {"zone", std::to_string(server.zone)}};
        if (server.state == "draining") meta["state"] = "draining";
        if (server.started_wall_ms > 0)
            meta["started_ms"] = std::to_string(std::llround(server.started_wall_ms));
        const char* check = server.state == "gone" ? "critical" : "passing";
        body.push_back({{"Node", {{"Node", id}, {"Address", server.address.host}}},
                        {"Service",
                         {{"ID", id},
                          {"Service", service_},
                          {"Address", server.address.host},
                          {"Port", server.address.port},
                          {"Weights", {{"Passing", 1}, {"Warning", 1}}},
                          {"Meta", meta}}},
                        {"Checks", json::array({{{"CheckID", "service:" + id}, {"Status", check}}})}});
        event.details += (event.details.empty() ? "" : " ") + id + "=" + server.state;
    }
    http::Response response;
    response.headers.add("Content-Type", "application/json");
    response.headers.add("X-Consul-Index", std::to_string(index_));
    response.headers.add("X-Consul-KnownLeader", "true");
    response.headers.add("X-Consul-LastContact", "0");
    response.body = body.dump();
    if (event_sink_) event_sink_(event);
    exchange->respond(response);
}

}  // namespace ivyfield::standins
