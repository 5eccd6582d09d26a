#include "nodes/link.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace ivyfield::nodes {

using nlohmann::json;

struct NodeLink::Node {
    ServerId id = 0;
    io::Address address;
    bool listed = true;
    std::string boot;                    // the node's life; a new one has lost what the old one played
    std::set<Key> playing;               // started and not over
    std::set<Key> disowned;              // told as lost; called off should the same life come back
    std::unique_ptr<http::Call> stream;  // of events
    std::string partial;
    io::Timer silence, redial, lost;
    io::Time wait = 0, lost_at = 0;  // lost_at 0: not about to be lost
    bool up = false;
};

namespace {

LoadReport report_of(const json& from, const Settings& settings) {
    LoadReport report;
    for (const ReportField field : settings.report_fields) {
        const char* key = field == ReportField::streams  ? "streams"
                          : field == ReportField::link   ? "link"
                          : field == ReportField::uplink ? "uplink"
                                                         : "";
        if (!from.contains(key) || !from.at(key).is_number()) return {};
        report.push_back(from.at(key).get<float>());
    }
    return report;
}

}  // namespace

NodeLink::NodeLink(io::Loop& loop, std::string director, const Settings& settings, const LinkLimits& limits)
    : loop_(loop),
      director_(std::move(director)),
      settings_(settings),
      limits_(limits),
      client_(loop, limits.client) {}
NodeLink::~NodeLink() = default;

std::string NodeLink::target(SessionId session, int attempt) const {
    return "/v1/sessions/" + director_ + "/" + std::to_string(session) + "/" + std::to_string(attempt);
}

void NodeLink::know(const std::map<ServerId, io::Address>& listed) {
    for (auto& [id, node] : nodes_) node->listed = listed.count(id) != 0;
    for (const auto& [id, address] : listed) {
        auto& node = nodes_[id];
        if (node) continue;
        node = std::make_unique<Node>();
        node->id = id;
        node->address = address;
        open_stream(*node);
    }
    for (auto it = nodes_.begin(); it != nodes_.end();)
        it = !it->second->listed && it->second->playing.empty() ? nodes_.erase(it) : std::next(it);
}

// ---- Events of nodes ----

void NodeLink::open_stream(Node& node) {
    http::Request request;
    request.target = "/v1/events?director=" + director_;
    http::CallOptions options;
    options.connect_timeout = limits_.connect_timeout;
    options.timeout = 0;
    options.fresh = true;
    Node* const at = &node;
    options.on_head = [this, at](const http::Response& head) {
        if (head.status != 200) return;
        at->up = true;
        at->wait = 0;
        at->lost.stop();
        at->lost_at = 0;
    };
    options.on_body = [this, at](std::string_view piece) {
        at->silence = loop_.after(limits_.silent, [this, at] { stream_lost(*at, true); });
        at->partial.append(piece);
        std::size_t from = 0;
        for (std::size_t end; (end = at->partial.find('\n', from)) != std::string::npos; from = end + 1)
            line(*at, std::string_view(at->partial).substr(from, end - from));
        at->partial.erase(0, from);
        if (at->partial.size() > limits_.line) {
            counts_.bad_lines += 1;
            at->partial.clear();
        }
    };
    node.partial.clear();
    node.silence =
        loop_.after(limits_.connect_timeout + limits_.silent, [this, at] { stream_lost(*at, true); });
    node.stream = client_.send(
        node.address, std::move(request), std::move(options), [this, at](const http::CallResult& r) {
            stream_lost(*at, r.end == http::CallEnd::not_connected && r.closing != io::Closing::refused);
        });
}

void NodeLink::stream_lost(Node& node, bool stalled) {
    counts_.streams_lost += 1;
    node.up = false;
    node.silence.stop();
    // Not from within its own callback.
    const std::shared_ptr<http::Call> old(std::move(node.stream));
    loop_.post([old] {});
    Node* const at = &node;
    const io::Time lost_at = loop_.now() + (stalled ? limits_.stalled_after : limits_.lost_after);
    if (node.lost_at == 0 || lost_at < node.lost_at) {
        node.lost_at = lost_at;
        node.lost = loop_.at(lost_at, [this, at] {
            const auto playing = at->playing;
            at->playing.clear();
            at->disowned.insert(playing.begin(), playing.end());
            for (const auto& [session, attempt] : playing)
                events_->over(session, attempt, Outcome::reset, {});
        });
    }
    if (!node.listed && node.playing.empty()) return;  // the next list takes it away
    node.wait = std::clamp(node.wait * 2, limits_.redial, limits_.redial_most);
    node.redial = loop_.after(node.wait, [this, at] { open_stream(*at); });
}

void NodeLink::line(Node& node, std::string_view text) {
    if (text.empty()) return;
    const json event = json::parse(text, nullptr, false);
    try {
        if (!event.is_object()) throw std::invalid_argument("not an object");
        const std::string kind = event.at("event").get<std::string>();
        if (kind == "hello") {
            const std::string boot = event.at("boot").get<std::string>();
            if (!node.boot.empty() && node.boot != boot) {
                const auto playing = node.playing;
                node.playing.clear();
                for (const auto& [session, attempt] : playing)
                    events_->over(session, attempt, Outcome::reset, {});
            }
            if (node.boot == boot)
                for (const auto& [session, attempt] : node.disowned) cancel(node.id, session, attempt);
            node.disowned.clear();
            node.boot = boot;
        } else if (kind == "end") {
            const Key key{event.at("session").get<SessionId>(), event.at("attempt").get<int>()};
            const std::string how = event.at("how").get<std::string>();
            const Outcome outcome = how == "ended"       ? Outcome::ended
                                    : how == "cancelled" ? Outcome::cancelled
                                                         : Outcome::reset;
            if (node.playing.erase(key)) events_->over(key.first, key.second, outcome, {});
        } else if (kind == "delivered" || kind == "link" || kind == "uplink") {
            const NoteKind note = kind == "delivered" ? NoteKind::delivered_share
                                  : kind == "link"    ? NoteKind::link
                                                      : NoteKind::uplink;
            const double value = event.at("value").get<double>();
            events_->note(event.at("session").get<SessionId>(), event.at("attempt").get<int>(), node.id, note,
                          value);
        }  // "tick" and what later versions add: only a sign of life
    } catch (const std::exception&) {
        counts_.bad_lines += 1;
    }
}

// ---- What is asked of nodes ----

void NodeLink::set_up(const core::SetUp& what) {
    counts_.set_ups += 1;
    const Key key{what.session, what.attempt};
    const auto it = nodes_.find(what.server);
    if (it == nodes_.end()) {
        loop_.post([this, key] { events_->over(key.first, key.second, Outcome::not_sent, {}); });
        return;
    }
    const ServerId server = what.server;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(what.ask.cls)];
    json body = {{"director", director_}, {"session", what.session}, {"attempt", what.attempt},
                 {"sid", what.ask.sid},   {"class", cls.name},       {"title", what.ask.title_name},
                 {"rung", what.rung},     {"paid", what.paid}};
    if (!settings_.tenants.empty())
        body["tenant"] = settings_.tenants[static_cast<std::size_t>(what.ask.tenant)].name;
    http::Request request;
    request.method = "POST";
    request.target = "/v1/sessions";
    request.headers.add("Content-Type", "application/json");
    request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    http::CallOptions options;
    options.connect_timeout = limits_.connect_timeout;
    options.timeout = 0;  // the core's expiry ends it
    // A connection that its other side is closing just now would leave a paid set-up in doubt.
    options.fresh = what.paid;
    set_ups_[key] = client_.send(
        it->second->address, std::move(request), std::move(options),
        [this, key, server](const http::CallResult& result) {
            const std::shared_ptr<http::Call> self(std::move(set_ups_[key]));
            set_ups_.erase(key);
            Outcome outcome = Outcome::error;
            if (result.end == http::CallEnd::not_connected) outcome = Outcome::not_connected;
            else if (result.end == http::CallEnd::broke) outcome = Outcome::reset;
            else if (result.end == http::CallEnd::timed_out) outcome = Outcome::timed_out;
            else if (result.end == http::CallEnd::response && result.response.status == 503 &&
                     result.response.headers.get("X-Ivyfield-Unseen") == "1")
                outcome = Outcome::full;
            if (result.end == http::CallEnd::response && result.response.status == 200) {
                const json answer = json::parse(result.response.body, nullptr, false);
                if (answer.is_object() && answer.contains("media") && answer.at("media").is_string()) {
                    if (const auto node = nodes_.find(server); node != nodes_.end())
                        node->second->playing.insert(key);
                    events_->started(key.first, key.second, answer.at("media").get<std::string>());
                    return;
                }
            }
            events_->over(key.first, key.second, outcome, {});
        });
}

void NodeLink::command(ServerId server, const char* method, const std::string& to, const std::string& body) {
    const auto it = nodes_.find(server);
    if (it == nodes_.end()) return;
    http::Request request;
    request.method = method;
    request.target = to;
    request.body = body;
    if (!body.empty()) request.headers.add("Content-Type", "application/json");
    http::CallOptions options;
    options.connect_timeout = limits_.connect_timeout;
    options.timeout = limits_.probe_timeout;
    const std::uint64_t id = ++last_command_;
    commands_[id] = client_.send(it->second->address, std::move(request), std::move(options),
                                 [this, id](const http::CallResult&) {
                                     const std::shared_ptr<http::Call> self(std::move(commands_[id]));
                                     commands_.erase(id);
                                 });
}
void NodeLink::set_rung(ServerId server, SessionId session, int attempt, int rung) {
    command(server, "PUT", target(session, attempt) + "/rung", json{{"rung", rung}}.dump());
}
void NodeLink::move(ServerId server, SessionId session, int attempt) {
    command(server, "POST", target(session, attempt) + "/move", "");
}
void NodeLink::cancel(ServerId server, SessionId session, int attempt) {
    // The call's connection closes, which is the first word of it; the command reaches a node that has done
    // the set-up and lost the answer.
    set_ups_.erase({session, attempt});
    command(server, "DELETE", target(session, attempt), "");
}

void NodeLink::probe(ServerId server) {
    const auto it = nodes_.find(server);
    if (it == nodes_.end()) {
        loop_.post([this, server] { events_->probed(server, Outcome::not_connected, 0, {}); });
        return;
    }
    http::Request request;
    request.target = "/v1/load";
    http::CallOptions options;
    options.connect_timeout = limits_.connect_timeout;
    options.timeout = limits_.probe_timeout;
    const std::uint64_t id = ++last_command_;
    commands_[id] =
        client_.send(it->second->address, std::move(request), std::move(options),
                     [this, id, server](const http::CallResult& result) {
                         const std::shared_ptr<http::Call> self(std::move(commands_[id]));
                         commands_.erase(id);
                         Outcome outcome = Outcome::error;
                         LoadReport report;
                         if (result.end == http::CallEnd::response && result.response.status == 200) {
                             const json load = json::parse(result.response.body, nullptr, false);
                             if (load.is_object())
                                 outcome = Outcome::ended, report = report_of(load, settings_);
                         } else if (result.end == http::CallEnd::not_connected) {
                             outcome = Outcome::not_connected;
                         } else if (result.end == http::CallEnd::timed_out) {
                             outcome = Outcome::timed_out;
                         } else if (result.end == http::CallEnd::broke) {
                             outcome = Outcome::reset;
                         }
                         events_->probed(server, outcome, result.waited, report);
                     });
}

}  // namespace ivyfield::nodes
