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
void ServerListEmulator::set_server(const ListedServer& one) {
    schedule_change([this, one] {
        servers_[one.id] = one;
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

void ServerListEmulator::handle_request(const http::ExchangePtr& e) {
    const http::Request& request = e->request();
    if (request.path() != "/v1/health/service/" + service_)
        return e->respond(http::text_response(404, "no such service"));
    const std::string index = http::query_argument(request.query(), "index").value_or("0");
    std::string wait = http::query_argument(request.query(), "wait").value_or("300s");
    if (index != std::to_string(index_) && !(stale_ && index != "0")) return send_answer(e);
    double ms = 300000;
    if (wait.size() > 2 && wait.substr(wait.size() - 2) == "ms") ms = std::atof(wait.c_str());
    else if (!wait.empty() && wait.back() == 's') ms = std::atof(wait.c_str()) * 1000;
    const std::uint64_t id = ++last_id_;
    PendingQuery& w = pending_queries_[id];
    w.exchange = e;
    w.timeout_timer = loop_.after(std::min(std::max(ms, 0.0), 600000.0), [this, id] {
        const http::ExchangePtr exchange = pending_queries_.at(id).exchange;
        pending_queries_.erase(id);
        send_answer(exchange);
    });
    e->on_disconnect([this, id] { loop_.post([this, id] { pending_queries_.erase(id); }); });
}

void ServerListEmulator::send_answer(const http::ExchangePtr& e) {
    if (e->is_disconnected()) return;
    e->on_disconnect(nullptr);
    json body = json::array();
    SocketEvent t;
    t.type = "list_sent";
    t.at = loop_.now();
    t.source = "list";
    t.director = std::string(e->request().headers.get("User-Agent").value_or(""));
    if (const std::size_t slash = t.director.find('/'); slash != std::string::npos)
        t.director.erase(0, slash + 1);
    for (const auto& [id, one] : stale_ ? stale_servers_ : servers_) {
        json meta = {{"position", std::to_string(one.position)},
                     {"weight", json(one.weight).dump()},
                     {"kind", one.kind},
                     {"zone", std::to_string(one.zone)}};
        if (one.state == "draining") meta["state"] = "draining";
        if (one.started_wall_ms > 0) meta["started_ms"] = std::to_string(std::llround(one.started_wall_ms));
        const char* check = one.state == "gone" ? "critical" : "passing";
        body.push_back({{"Node", {{"Node", id}, {"Address", one.address.host}}},
                        {"Service",
                         {{"ID", id},
                          {"Service", service_},
                          {"Address", one.address.host},
                          {"Port", one.address.port},
                          {"Weights", {{"Passing", 1}, {"Warning", 1}}},
                          {"Meta", meta}}},
                        {"Checks", json::array({{{"CheckID", "service:" + id}, {"Status", check}}})}});
        t.details += (t.details.empty() ? "" : " ") + id + "=" + one.state;
    }
    http::Response r;
    r.headers.add("Content-Type", "application/json");
    r.headers.add("X-Consul-Index", std::to_string(index_));
    r.headers.add("X-Consul-KnownLeader", "true");
    r.headers.add("X-Consul-LastContact", "0");
    r.body = body.dump();
    if (event_sink_) event_sink_(t);
    e->respond(r);
}

}  // namespace ivyfield::standins
