#include "nodes/client.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace ivyfield::nodes {

using nlohmann::json;

constexpr int kProtocol = 2;

const char* name(StreamState state) {
    switch (state) {
        case StreamState::down:
            return "down";
        case StreamState::queued:
            return "waiting";
        case StreamState::connecting:
            return "dialling";
        case StreamState::awaiting_hello:
            return "opening";
        case StreamState::syncing:
            return "account";
        case StreamState::synced:
            return "live";
    }
    return "?";
}

struct NodeClient::Node {
    ServerId id = 0;
    io::Address address;
    bool listed = true;
    bool too_old = false;  // speaks an earlier version of the protocol
    NodeAccount account;
    StreamState state = StreamState::down;
    std::unique_ptr<http::Call> stream;  // of events
    std::string partial;
    io::Timer silence, due, redial, unheard, off;
    bool lost = false;  // since when `unheard` counts
    io::Time wait = 0, last_word = 0;
    // Attempts that the node is to let go, and those named in the release under way.
    std::set<Key> to_release, releasing;
    std::unique_ptr<http::Call> release;
    io::Timer release_timer;
    io::Time release_wait = 0;
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

// An attribute for a playlist: what could end its line or its value is not taken over.
std::string attribute(const json& from, const char* key, bool quoted) {
    if (!from.is_object() || !from.contains(key) || !from.at(key).is_string()) return "";
    const std::string text = from.at(key).get<std::string>();
    const bool plain = text.size() <= 200 && std::all_of(text.begin(), text.end(), [quoted](char c) {
                           return c > ' ' && c < 127 && c != '"' && (quoted || c != ',');
                       });
    return plain ? text : "";
}

std::vector<core::Rendition> renditions_of(const json& from, std::size_t most) {
    std::vector<core::Rendition> out;
    if (!from.contains("renditions") || !from.at("renditions").is_array()) return out;
    for (const json& r : from.at("renditions"))
        if (out.size() < most)
            out.push_back({attribute(r, "codecs", true), attribute(r, "resolution", false)});
    return out;
}

core::FoundPlaying found_of(const json& event, ServerId server, const Settings& settings) {
    const auto index = [](const auto& all, const std::string& name) {
        for (std::size_t k = 0; k < all.size(); ++k)
            if (all[k].name == name) return static_cast<int>(k);
        return -1;
    };
    core::FoundPlaying out;
    out.session = event.at("session").get<SessionId>();
    out.attempt = event.at("attempt").get<int>();
    out.server = server;
    out.rung = event.at("rung").get<int>();
    out.ask.sid = event.at("sid").get<std::string>();
    out.ask.title_name = event.at("title").get<std::string>();
    out.ask.title = core::title_id(out.ask.title_name);
    out.ask.cls = index(settings.classes, event.at("class").get<std::string>());
    out.ask.tenant = settings.tenants.empty() ? 0 : index(settings.tenants, event.value("tenant", ""));
    if (out.ask.cls >= 0) out.ask.top_rung = settings.classes[static_cast<std::size_t>(out.ask.cls)].top;
    out.media.url = event.at("media").get<std::string>();
    out.media.renditions = renditions_of(event, settings.rung_kb.size());
    return out;
}

}  // namespace

NodeClient::NodeClient(io::Loop& loop, std::string director, const Settings& settings,
                       const NodeClientLimits& limits)
    : loop_(loop),
      director_(std::move(director)),
      settings_(settings),
      limits_(limits),
      client_(loop, limits.client) {}
NodeClient::~NodeClient() = default;

std::string NodeClient::target(SessionId session, int attempt) const {
    return "/v1/sessions/" + director_ + "/" + std::to_string(session) + "/" + std::to_string(attempt);
}

void NodeClient::set_nodes(const std::map<ServerId, io::Address>& listed) {
    for (auto& [id, node] : nodes_) {
        const bool now = listed.count(id) != 0;
        if (node->listed && !now) {
            node->last_word = std::max(node->last_word, loop_.now());
            consider_write_off(*node);
        }
        node->listed = now;
        if (now && node->state == StreamState::down) want_stream(*node);
    }
    for (const auto& [id, address] : listed) {
        auto& node = nodes_[id];
        if (node) continue;
        node = std::make_unique<Node>();
        node->id = id;
        node->address = address;
        want_stream(*node);
    }
    for (auto it = nodes_.begin(); it != nodes_.end();) {
        const auto one = it++;
        Node& node = *one->second;
        if (node.listed || !node.account.empty()) continue;
        dial_over(node);
        client_.close_idle(node.address);
        nodes_.erase(one);
    }
}

std::map<StreamState, std::size_t> NodeClient::count_streams() const {
    std::map<StreamState, std::size_t> out;
    for (const auto& [id, node] : nodes_) out[node->state] += 1;
    return out;
}
std::size_t NodeClient::attempt_count() const {
    std::size_t n = 0;
    for (const auto& [id, node] : nodes_) n += node->account.size();
    return n;
}
std::size_t NodeClient::in_doubt_count() const {
    std::size_t n = 0;
    for (const auto& [id, node] : nodes_) n += node->account.doubtful();
    return n;
}

// ---- Events of nodes ----

// Streams lost all at once come back a few at a time.
void NodeClient::want_stream(Node& node) {
    node.redial.stop();
    if (dialling_ < limits_.max_concurrent_dials) return open_stream(node);
    node.state = StreamState::queued;
    to_dial_.push_back(node.id);
}
void NodeClient::dial_over(Node& node) {
    if (node.state != StreamState::connecting) return;
    node.state = StreamState::awaiting_hello;
    dialling_ -= 1;
    while (!to_dial_.empty() && dialling_ < limits_.max_concurrent_dials) {
        const auto next = nodes_.find(to_dial_.front());
        to_dial_.pop_front();
        if (next != nodes_.end() && next->second->state == StreamState::queued) open_stream(*next->second);
    }
}

void NodeClient::open_stream(Node& node) {
    http::Request request;
    request.target =
        "/v1/events?director=" + http::percent_encode(director_) + "&protocol=" + std::to_string(kProtocol);
    if (const auto since = node.account.resume_from())
        request.target +=
            "&boot=" + http::percent_encode(node.account.boot()) + "&since=" + std::to_string(*since);
    http::CallOptions options;
    options.connect_timeout = limits_.connect_timeout;
    options.timeout = 0;
    options.fresh = true;
    Node* const at = &node;
    options.on_head = [this, at](const http::Response& head) {
        dial_over(*at);
        if (head.status == 200) heard(*at);
    };
    options.on_body = [this, at](std::string_view piece) {
        heard(*at);
        at->partial.append(piece);
        std::size_t from = 0;
        for (std::size_t end; (end = at->partial.find('\n', from)) != std::string::npos; from = end + 1)
            line(at->id, std::string_view(at->partial).substr(from, end - from));
        at->partial.erase(0, from);
        if (at->partial.size() > limits_.max_line_size) {
            counts_.malformed_lines += 1;
            at->partial.clear();
        }
    };
    node.partial.clear();
    node.state = StreamState::connecting;
    dialling_ += 1;
    node.silence = loop_.after(limits_.connect_timeout + limits_.silence_timeout,
                               [this, at] { stream_lost(*at, false); });
    node.due =
        loop_.after(limits_.connect_timeout + limits_.sync_timeout, [this, at] { stream_lost(*at, false); });
    node.account.stream_asked();
    node.stream = client_.send(
        node.address, std::move(request), std::move(options), [this, at](const http::CallResult& r) {
            stream_lost(*at, r.end == http::CallEnd::not_connected && r.closing == io::Closing::refused);
        });
}

void NodeClient::heard(Node& node) {
    node.last_word = loop_.now();
    node.silence = loop_.after(limits_.silence_timeout, [this, at = &node] { stream_lost(*at, false); });
}

void NodeClient::stream_lost(Node& node, bool refused) {
    counts_.streams_lost += 1;
    dial_over(node);
    node.state = StreamState::down;
    node.silence.stop(), node.due.stop();
    // Not from within its own callback.
    const std::shared_ptr<http::Call> old(std::move(node.stream));
    loop_.post([old] {});
    const ServerId id = node.id;
    // Counted from the first loss; a stream that comes back to life stops it.
    if (!node.lost) {
        node.lost = true;
        node.unheard = loop_.after(limits_.unreachable_timeout, [this, id] {
            const auto it = nodes_.find(id);
            if (it != nodes_.end()) carry(id, it->second->account.node_unheard());
        });
    }
    node.wait = node.too_old ? limits_.max_redial_delay
                             : std::clamp(node.wait * 2, limits_.min_redial_delay, limits_.max_redial_delay);
    const io::Time wait = node.wait * std::uniform_real_distribution<double>(0.5, 1.5)(loop_.random());
    node.redial = loop_.after(wait, [this, id] {
        const auto it = nodes_.find(id);
        if (it != nodes_.end()) want_stream(*it->second);
    });
    if (refused) {
        node.last_word = loop_.now();
        const auto changes = node.account.stream_refused();
        counts_.reconciled += changes.size();
        events_->life(id, loop_.now());
        carry(id, changes);
    }
}

// What is off the list and says nothing for long holds nothing of ours any more: the list's word is the only
// one there is.
void NodeClient::consider_write_off(Node& node) {
    node.off = loop_.at(node.last_word + limits_.unlisted_timeout, [this, id = node.id] {
        const auto it = nodes_.find(id);
        if (it == nodes_.end() || it->second->listed) return;
        Node& at = *it->second;
        if (at.account.empty()) return;
        if (loop_.now() < at.last_word + limits_.unlisted_timeout) return consider_write_off(at);
        at.to_release.clear();
        const auto changes = at.account.written_off();
        counts_.presumed_ended += changes.size();
        if (on_warning && !changes.empty())
            on_warning("node " + at.address.text() + " is off the list and silent: " +
                       std::to_string(changes.size()) + " attempts there are written off");
        carry(id, changes);
    });
}

void NodeClient::line(ServerId server, std::string_view text) {
    const auto found = nodes_.find(server);
    if (text.empty() || found == nodes_.end()) return;
    Node& node = *found->second;
    const json event = json::parse(text, nullptr, false);
    try {
        if (!event.is_object()) throw std::invalid_argument("not an object");
        const std::string kind = event.at("event").get<std::string>();
        const auto key = [&event] {
            return Key{event.at("session").get<SessionId>(), event.at("attempt").get<int>()};
        };
        if (kind == "hello") {
            if (event.value("protocol", 1) < kProtocol) {
                if (!node.too_old) {
                    counts_.outdated_nodes += 1;
                    if (on_warning)
                        on_warning("node " + node.address.text() + " speaks protocol " +
                                   std::to_string(event.value("protocol", 1)) + "; " +
                                   std::to_string(kProtocol) + " is needed: nothing is sent there");
                }
                node.too_old = true;
                loop_.post([this, server] {
                    const auto it = nodes_.find(server);
                    if (it != nodes_.end() && it->second->stream) stream_lost(*it->second, false);
                });
                return;
            }
            const std::string boot = event.at("boot").get<std::string>();
            if (boot.empty()) throw std::invalid_argument("an empty boot");
            const bool whole = event.at("whole").get<bool>();
            node.too_old = false;
            node.state = StreamState::syncing;
            node.wait = 0;
            counts_.hellos += 1, counts_.full_snapshots += whole;
            counts_.restarts += !node.account.boot().empty() && node.account.boot() != boot;
            const auto changes = node.account.hello(boot, whole);
            counts_.reconciled += changes.size();
            const double age = event.value("age_ms", 0.0);
            events_->life(server, loop_.now() - std::max(0.0, age));
            carry(server, changes);
        } else if (kind == "plays") {
            const auto changes = node.account.listed(key());
            const bool unclaimed = !changes.empty() && changes.front().what == Change::What::unclaimed;
            if (!unclaimed) return carry(server, changes);
            const core::FoundPlaying one = found_of(event, server, settings_);
            const auto begun = event.at("seq").get<std::uint64_t>();
            const bool taken_back = events_->found(one);
            counts_.orphaned += 1;
            node.account.claimed(key(), begun, taken_back);
            if (taken_back) return;
            node.to_release.insert(key());
            release(node);
        } else if (kind == "account") {
            const auto changes = node.account.complete(event.at("seq").get<std::uint64_t>());
            counts_.reconciled += changes.size();
            node.state = StreamState::synced;
            node.lost = false;
            node.unheard.stop(), node.due.stop();
            carry(server, changes);
            const auto again = nodes_.find(server);
            if (again != nodes_.end() && again->second->account.needs_hello())
                loop_.post([this, server] {
                    const auto it = nodes_.find(server);
                    if (it != nodes_.end() && it->second->stream) stream_lost(*it->second, false);
                });
        } else if (kind == "end") {
            const std::string how = event.at("how").get<std::string>();
            const Outcome outcome = how == "ended"       ? Outcome::ended
                                    : how == "cancelled" ? Outcome::cancelled
                                                         : Outcome::reset;
            const auto seq = event.at("seq").get<std::uint64_t>();
            carry(server, node.account.ended(key(), outcome, seq));
        } else if (kind == "delivered" || kind == "link" || kind == "uplink") {
            const NoteKind note = kind == "delivered" ? NoteKind::delivered_share
                                  : kind == "link"    ? NoteKind::link
                                                      : NoteKind::uplink;
            const double value = event.at("value").get<double>();
            events_->note(key().first, key().second, server, note, value);
        }  // "tick" and what later versions add: only a sign of life
    } catch (const std::exception&) {
        counts_.malformed_lines += 1;
    }
}

void NodeClient::carry(ServerId server, const NodeAccount::Changes& changes, const core::Media& media) {
    for (const Change& c : changes) {
        const auto [session, attempt] = c.key;
        switch (c.what) {
            case Change::What::started:
                events_->started(session, attempt, media);
                break;
            case Change::What::over:
                events_->over(session, attempt, c.outcome, {});
                break;
            case Change::What::lost:
                events_->lost(session, attempt, c.outcome);
                break;
            case Change::What::released:
                counts_.released += 1;
                events_->released(session, attempt);
                break;
            case Change::What::call_off:
                break;  // its release is under way
            case Change::What::unclaimed:
                break;  // asked of the engine where its line is read
        }
        if (c.what != Change::What::lost && c.what != Change::What::call_off) continue;
        const auto it = nodes_.find(server);
        if (it == nodes_.end()) continue;
        it->second->to_release.insert(c.key);
        release(*it->second);
    }
}

// ---- Releases ----

// One at a time, naming all that waits; again until it is answered. A node that answers plays nothing of
// what was named, and will not, should the set-up still come; where nobody listens nothing plays.
void NodeClient::release(Node& node) {
    if (node.release || node.to_release.empty()) return;
    if (node.releasing.empty()) {
        while (!node.to_release.empty() && node.releasing.size() < limits_.max_attempts_per_release) {
            const auto first = node.to_release.begin();
            node.releasing.insert(*first);
            node.to_release.erase(first);
        }
    }
    json sessions = json::array();
    for (const auto& [session, attempt] : node.releasing) sessions.push_back({session, attempt});
    http::Request request;
    request.method = "POST";
    request.target = "/v1/sessions/" + http::percent_encode(director_) + "/release";
    request.headers.add("Content-Type", "application/json");
    request.body = json{{"sessions", sessions}}.dump();
    http::CallOptions options;
    options.connect_timeout = limits_.connect_timeout;
    options.timeout = limits_.probe_timeout;
    counts_.release_requests += 1;
    node.release = client_.send(
        node.address, std::move(request), std::move(options),
        [this, id = node.id](const http::CallResult& r) {
            const auto it = nodes_.find(id);
            if (it == nodes_.end()) return;
            Node& at = *it->second;
            const std::shared_ptr<http::Call> self(std::move(at.release));
            loop_.post([self] {});
            const bool answered = r.end == http::CallEnd::response && r.response.status == 200;
            const bool nobody = r.end == http::CallEnd::not_connected && r.closing == io::Closing::refused;
            const auto named = std::move(at.releasing);
            at.releasing.clear();
            if (answered || nobody) {
                at.last_word = loop_.now();
                at.release_wait = 0;
                for (const Key& key : named) carry(id, at.account.release_answered(key));
                if (!at.release) release(at);
                return;
            }
            for (const Key& key : named)
                if (at.account.doubts().count(key) || at.account.plays(key)) at.to_release.insert(key);
            at.release_wait =
                std::clamp(at.release_wait * 2, limits_.release_retry_delay, limits_.max_redial_delay);
            at.release_timer = loop_.after(at.release_wait, [this, id] {
                const auto again = nodes_.find(id);
                if (again != nodes_.end()) release(*again->second);
            });
        });
}

// ---- What is asked of nodes ----

void NodeClient::set_up(const core::SetUp& what) {
    counts_.set_ups += 1;
    const Key key{what.session, what.attempt};
    const auto it = nodes_.find(what.server);
    if (it == nodes_.end() || it->second->too_old) {
        loop_.post([this, key] { events_->over(key.first, key.second, Outcome::not_sent, {}); });
        return;
    }
    const ServerId server = what.server;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(what.ask.cls)];
    json body = {{"protocol", kProtocol},   {"director", director_},        {"session", what.session},
                 {"attempt", what.attempt}, {"sid", what.ask.sid},          {"class", cls.name},
                 {"rung", what.rung},       {"title", what.ask.title_name}, {"paid", what.paid}};
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
    it->second->account.sent(key);
    set_ups_[key] = client_.send(
        it->second->address, std::move(request), std::move(options),
        [this, key, server](const http::CallResult& result) {
            const std::shared_ptr<http::Call> self(std::move(set_ups_[key]));
            set_ups_.erase(key);
            const auto at = nodes_.find(server);
            if (at == nodes_.end())
                throw std::logic_error("a node was forgotten while a set-up was out there");
            NodeAccount& account = at->second->account;
            Outcome outcome = Outcome::error;
            if (result.end == http::CallEnd::not_connected) outcome = Outcome::not_connected;
            else if (result.end == http::CallEnd::broke) outcome = Outcome::reset;
            else if (result.end == http::CallEnd::timed_out) outcome = Outcome::timed_out;
            else if (result.end == http::CallEnd::response && result.response.status == 503 &&
                     result.response.headers.get("X-Ivyfield-Unseen") == "1")
                outcome = Outcome::full;
            if (result.end == http::CallEnd::response && result.response.status == 200) {
                const json answer = json::parse(result.response.body, nullptr, false);
                const auto text = [&answer](const char* field) {
                    const bool there = answer.is_object() && answer.contains(field);
                    return there && answer.at(field).is_string() ? answer.at(field).get<std::string>() : "";
                };
                core::Media media;
                media.url = text("media");
                const std::string boot = text("boot");
                if (!media.url.empty() && !boot.empty() && answer.contains("seq") &&
                    answer.at("seq").is_number_unsigned()) {
                    media.renditions = renditions_of(answer, settings_.rung_kb.size());
                    const bool known = boot == account.boot();
                    carry(server, account.answered(key, boot, answer.at("seq").get<std::uint64_t>()), media);
                    // Of a life that this stream has not told of: only a new hello can say which is newer.
                    const auto now = nodes_.find(server);
                    if (!known && now != nodes_.end() && now->second->state == StreamState::synced &&
                        now->second->account.needs_hello())
                        stream_lost(*now->second, false);
                    return;
                }
            }
            carry(server, account.ended_unanswered(key, outcome));
        });
}

void NodeClient::command(ServerId server, const char* method, const std::string& to,
                         const std::string& body) {
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
void NodeClient::set_rung(ServerId server, SessionId session, int attempt, int rung) {
    command(server, "PUT", target(session, attempt) + "/rung", json{{"rung", rung}}.dump());
}
void NodeClient::move(ServerId server, SessionId session, int attempt) {
    command(server, "POST", target(session, attempt) + "/move", "");
}
void NodeClient::cancel(ServerId server, SessionId session, int attempt) {
    // The call's connection closes, which is the first word of it; the release reaches a node that has done
    // the set-up and lost the answer.
    const Key key{session, attempt};
    set_ups_.erase(key);
    const auto it = nodes_.find(server);
    NodeAccount::Changes changes;
    if (it != nodes_.end()) changes = it->second->account.called_off(key);
    const bool there =
        it != nodes_.end() && (it->second->account.doubts().count(key) || it->second->account.plays(key));
    if (!there) {  // nothing is left there
        loop_.post([this, session, attempt] { events_->released(session, attempt); });
        return;
    }
    it->second->to_release.insert(key);
    release(*it->second);
}

void NodeClient::probe(ServerId server) {
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
