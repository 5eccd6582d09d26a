#include "nodes/client.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace ivyfield::nodes {

using nlohmann::json;

constexpr int kProtocol = 2;  // version of the node protocol that this client speaks

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
    bool outdated = false;  // speaks an earlier version of the node protocol
    AttemptTracker tracker;
    StreamState stream_state = StreamState::down;
    std::unique_ptr<http::Call> stream;  // the event stream
    std::string partial_line;            // received, its line feed still missing
    io::Timer silence_timer, sync_timer, redial_timer, unreachable_timer, unlisted_timer;
    bool stream_down = false;  // the stream was lost and has not been synced since; unreachable_timer runs
    io::Time redial_delay = 0, last_heard = 0;
    // Attempts to be released at the node, and those named in the release request in progress.
    std::set<AttemptKey> to_release, releasing;
    std::unique_ptr<http::Call> release_call;
    io::Timer release_timer;
    io::Time release_delay = 0;
};

namespace {

// Reads the report fields in the order of the settings. The report is empty if one of them is missing.
LoadReport parse_load_report(const json& from, const Settings& settings) {
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

// Reads a playlist attribute. Text that could end the attribute's line or value is dropped.
std::string playlist_attribute(const json& from, const char* key, bool quoted) {
    if (!from.is_object() || !from.contains(key) || !from.at(key).is_string()) return "";
    const std::string text = from.at(key).get<std::string>();
    const bool is_safe = text.size() <= 200 && std::all_of(text.begin(), text.end(), [quoted](char c) {
                             return c > ' ' && c < 127 && c != '"' && (quoted || c != ',');
                         });
    return is_safe ? text : "";
}

// Reads at most `max_count` renditions; they are ordered by rung.
std::vector<core::Rendition> parse_renditions(const json& from, std::size_t max_count) {
    std::vector<core::Rendition> out;
    if (!from.contains("renditions") || !from.at("renditions").is_array()) return out;
    for (const json& rendition : from.at("renditions"))
        if (out.size() < max_count)
            out.push_back({playlist_attribute(rendition, "codecs", true),
                           playlist_attribute(rendition, "resolution", false)});
    return out;
}

// Reads a "plays" event of a session that this run of the director did not set up. Throws if a field is
// missing or has the wrong type.
core::OrphanedSession parse_orphan(const json& event, ServerId server, const Settings& settings) {
    const auto index_of = [](const auto& all, const std::string& name) {
        for (std::size_t k = 0; k < all.size(); ++k)
            if (all[k].name == name) return static_cast<int>(k);
        return -1;
    };
    core::OrphanedSession out;
    out.session = event.at("session").get<SessionId>();
    out.attempt = event.at("attempt").get<int>();
    out.server = server;
    out.rung = event.at("rung").get<int>();
    out.request.sid = event.at("sid").get<std::string>();
    out.request.title_name = event.at("title").get<std::string>();
    out.request.title = core::compute_title_id(out.request.title_name);
    out.request.cls = index_of(settings.classes, event.at("class").get<std::string>());
    out.request.tenant = settings.tenants.empty() ? 0 : index_of(settings.tenants, event.value("tenant", ""));
    if (out.request.cls >= 0)
        out.request.top_rung = settings.classes[static_cast<std::size_t>(out.request.cls)].max_rung;
    out.media.url = event.at("media").get<std::string>();
    out.media.renditions = parse_renditions(event, settings.rung_kb.size());
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

std::string NodeClient::session_path(SessionId session, int attempt) const {
    return "/v1/sessions/" + director_ + "/" + std::to_string(session) + "/" + std::to_string(attempt);
}

void NodeClient::set_nodes(const std::map<ServerId, io::Address>& listed) {
    for (auto& [id, node] : nodes_) {
        const bool is_listed = listed.count(id) != 0;
        if (node->listed && !is_listed) {
            node->last_heard = std::max(node->last_heard, loop_.now());
            schedule_presumed_end(*node);
        }
        node->listed = is_listed;
        if (is_listed && node->stream_state == StreamState::down) request_stream(*node);
    }
    for (const auto& [id, address] : listed) {
        auto& node = nodes_[id];
        if (node) continue;
        node = std::make_unique<Node>();
        node->id = id;
        node->address = address;
        request_stream(*node);
    }
    for (auto it = nodes_.begin(); it != nodes_.end();) {
        const auto current = it++;
        Node& node = *current->second;
        if (node.listed || !node.tracker.empty()) continue;
        finish_dial(node);
        client_.close_idle(node.address);
        nodes_.erase(current);
    }
}

std::map<StreamState, std::size_t> NodeClient::count_streams() const {
    std::map<StreamState, std::size_t> out;
    for (const auto& [id, node] : nodes_) out[node->stream_state] += 1;
    return out;
}
std::size_t NodeClient::attempt_count() const {
    std::size_t n = 0;
    for (const auto& [id, node] : nodes_) n += node->tracker.size();
    return n;
}
std::size_t NodeClient::unreleased_count() const {
    std::size_t n = 0;
    for (const auto& [id, node] : nodes_) n += node->tracker.unreleased_count();
    return n;
}

// ---- Event streams ----

// Dials the stream or queues it: after many streams are lost at once only a few are dialled at a time.
void NodeClient::request_stream(Node& node) {
    node.redial_timer.stop();
    if (dials_in_progress_ < limits_.max_concurrent_dials) return open_stream(node);
    node.stream_state = StreamState::queued;
    dial_queue_.push_back(node.id);
}
void NodeClient::finish_dial(Node& node) {
    if (node.stream_state != StreamState::connecting) return;
    node.stream_state = StreamState::awaiting_hello;
    dials_in_progress_ -= 1;
    while (!dial_queue_.empty() && dials_in_progress_ < limits_.max_concurrent_dials) {
        const auto next = nodes_.find(dial_queue_.front());
        dial_queue_.pop_front();
        if (next != nodes_.end() && next->second->stream_state == StreamState::queued)
            open_stream(*next->second);
    }
}

void NodeClient::open_stream(Node& node) {
    http::Request request;
    request.target =
        "/v1/events?director=" + http::percent_encode(director_) + "&protocol=" + std::to_string(kProtocol);
    if (const auto since = node.tracker.resume_from())
        request.target +=
            "&boot=" + http::percent_encode(node.tracker.boot()) + "&since=" + std::to_string(*since);
    http::CallOptions options;
    options.connect_timeout = limits_.connect_timeout;
    options.timeout = 0;
    options.new_connection = true;
    Node* const node_ptr = &node;
    options.on_head = [this, node_ptr](const http::Response& head) {
        finish_dial(*node_ptr);
        if (head.status == 200) record_activity(*node_ptr);
    };
    options.on_body = [this, node_ptr](std::string_view piece) {
        record_activity(*node_ptr);
        node_ptr->partial_line.append(piece);
        std::size_t from = 0;
        for (std::size_t end; (end = node_ptr->partial_line.find('\n', from)) != std::string::npos;
             from = end + 1)
            handle_line(node_ptr->id, std::string_view(node_ptr->partial_line).substr(from, end - from));
        node_ptr->partial_line.erase(0, from);
        if (node_ptr->partial_line.size() > limits_.max_line_size) {
            counts_.malformed_lines += 1;
            node_ptr->partial_line.clear();
        }
    };
    node.partial_line.clear();
    node.stream_state = StreamState::connecting;
    dials_in_progress_ += 1;
    node.silence_timer = loop_.after(limits_.connect_timeout + limits_.silence_timeout,
                                     [this, node_ptr] { handle_stream_loss(*node_ptr, false); });
    node.sync_timer = loop_.after(limits_.connect_timeout + limits_.sync_timeout,
                                  [this, node_ptr] { handle_stream_loss(*node_ptr, false); });
    node.tracker.record_stream_request();
    node.stream =
        client_.send(node.address, std::move(request), std::move(options),
                     [this, node_ptr](const http::CallResult& result) {
                         handle_stream_loss(*node_ptr, result.outcome == http::CallOutcome::not_connected &&
                                                           result.close_status == io::CloseStatus::refused);
                     });
}

void NodeClient::record_activity(Node& node) {
    node.last_heard = loop_.now();
    node.silence_timer = loop_.after(limits_.silence_timeout,
                                     [this, node_ptr = &node] { handle_stream_loss(*node_ptr, false); });
}

void NodeClient::handle_stream_loss(Node& node, bool refused) {
    counts_.streams_lost += 1;
    finish_dial(node);
    node.stream_state = StreamState::down;
    node.silence_timer.stop(), node.sync_timer.stop();
    // This may run within a callback of the call: destroy the call later.
    const std::shared_ptr<http::Call> finished_call(std::move(node.stream));
    loop_.post([finished_call] {});
    const ServerId id = node.id;
    // The timeout counts from the first loss; a stream that is synced again stops it.
    if (!node.stream_down) {
        node.stream_down = true;
        node.unreachable_timer = loop_.after(limits_.unreachable_timeout, [this, id] {
            const auto it = nodes_.find(id);
            if (it != nodes_.end()) apply_changes(id, it->second->tracker.mark_unreachable());
        });
    }
    node.redial_delay =
        node.outdated ? limits_.max_redial_delay
                      : std::clamp(node.redial_delay * 2, limits_.min_redial_delay, limits_.max_redial_delay);
    const io::Time delay =
        node.redial_delay * std::uniform_real_distribution<double>(0.5, 1.5)(loop_.random());
    node.redial_timer = loop_.after(delay, [this, id] {
        const auto it = nodes_.find(id);
        if (it != nodes_.end()) request_stream(*it->second);
    });
    if (refused) {
        node.last_heard = loop_.now();
        const auto changes = node.tracker.record_refused_dial();
        counts_.reconciled += changes.size();
        events_->on_node_incarnation(id, loop_.now());
        apply_changes(id, changes);
    }
}

// A node that is off the server list and silent for the timeout is presumed to hold no attempts of this
// director: the list is the only information left about it.
void NodeClient::schedule_presumed_end(Node& node) {
    node.unlisted_timer = loop_.at(node.last_heard + limits_.unlisted_timeout, [this, id = node.id] {
        const auto it = nodes_.find(id);
        if (it == nodes_.end() || it->second->listed) return;
        Node& current = *it->second;
        if (current.tracker.empty()) return;
        if (loop_.now() < current.last_heard + limits_.unlisted_timeout)
            return schedule_presumed_end(current);
        current.to_release.clear();
        const auto changes = current.tracker.presume_ended();
        counts_.presumed_ended += changes.size();
        if (on_warning && !changes.empty())
            on_warning("node " + current.address.text() + " is no longer listed and silent: " +
                       std::to_string(changes.size()) + " unreleased attempts are presumed ended");
        apply_changes(id, changes);
    });
}

void NodeClient::handle_line(ServerId server, std::string_view text) {
    const auto found = nodes_.find(server);
    if (text.empty() || found == nodes_.end()) return;
    Node& node = *found->second;
    const json event = json::parse(text, nullptr, false);
    try {
        if (!event.is_object()) throw std::invalid_argument("event is not a JSON object");
        const std::string kind = event.at("event").get<std::string>();
        const auto key = [&event] {
            return AttemptKey{event.at("session").get<SessionId>(), event.at("attempt").get<int>()};
        };
        if (kind == "hello") {
            if (event.value("protocol", 1) < kProtocol) {
                if (!node.outdated) {
                    counts_.outdated_nodes += 1;
                    if (on_warning)
                        on_warning("node " + node.address.text() + " speaks protocol " +
                                   std::to_string(event.value("protocol", 1)) + "; " +
                                   std::to_string(kProtocol) + " is needed: no sessions are set up there");
                }
                node.outdated = true;
                loop_.post([this, server] {
                    const auto it = nodes_.find(server);
                    if (it != nodes_.end() && it->second->stream) handle_stream_loss(*it->second, false);
                });
                return;
            }
            const std::string boot = event.at("boot").get<std::string>();
            if (boot.empty()) throw std::invalid_argument("boot is empty");
            const bool full = event.at("whole").get<bool>();
            node.outdated = false;
            node.stream_state = StreamState::syncing;
            node.redial_delay = 0;
            counts_.hellos += 1, counts_.full_snapshots += full;
            counts_.restarts += !node.tracker.boot().empty() && node.tracker.boot() != boot;
            const auto changes = node.tracker.begin_sync(boot, full);
            counts_.reconciled += changes.size();
            const double age = event.value("age_ms", 0.0);
            events_->on_node_incarnation(server, loop_.now() - std::max(0.0, age));
            apply_changes(server, changes);
        } else if (kind == "plays") {
            const auto changes = node.tracker.add_listed(key());
            const bool orphaned = !changes.empty() && changes.front().kind == AttemptChange::Kind::orphaned;
            if (!orphaned) return apply_changes(server, changes);
            const core::OrphanedSession orphan = parse_orphan(event, server, settings_);
            const auto start_seq = event.at("seq").get<std::uint64_t>();
            const bool reclaimed = events_->reclaim_session(orphan);
            counts_.orphaned += 1;
            node.tracker.resolve_orphan(key(), start_seq, reclaimed);
            if (reclaimed) return;
            node.to_release.insert(key());
            send_release(node);
        } else if (kind == "account") {
            const auto changes = node.tracker.finish_sync(event.at("seq").get<std::uint64_t>());
            counts_.reconciled += changes.size();
            node.stream_state = StreamState::synced;
            node.stream_down = false;
            node.unreachable_timer.stop(), node.sync_timer.stop();
            apply_changes(server, changes);
            const auto still_known = nodes_.find(server);
            if (still_known != nodes_.end() && still_known->second->tracker.needs_hello())
                loop_.post([this, server] {
                    const auto it = nodes_.find(server);
                    if (it != nodes_.end() && it->second->stream) handle_stream_loss(*it->second, false);
                });
        } else if (kind == "end") {
            const std::string how = event.at("how").get<std::string>();
            const Outcome outcome = how == "ended"       ? Outcome::ended
                                    : how == "cancelled" ? Outcome::cancelled
                                                         : Outcome::reset;
            const auto seq = event.at("seq").get<std::uint64_t>();
            apply_changes(server, node.tracker.record_end(key(), outcome, seq));
        } else if (kind == "delivered" || kind == "link" || kind == "uplink") {
            const NoteKind note = kind == "delivered" ? NoteKind::delivered_share
                                  : kind == "link"    ? NoteKind::link
                                                      : NoteKind::uplink;
            const double value = event.at("value").get<double>();
            events_->on_session_note(key().first, key().second, server, note, value);
        }  // "tick" and events that later versions add only show that the node is alive
    } catch (const std::exception&) {
        counts_.malformed_lines += 1;
    }
}

void NodeClient::apply_changes(ServerId server, const AttemptTracker::Changes& changes,
                               const core::Media& media) {
    for (const AttemptChange& change : changes) {
        const auto [session, attempt] = change.key;
        switch (change.kind) {
            case AttemptChange::Kind::started:
                events_->on_attempt_started(session, attempt, media);
                break;
            case AttemptChange::Kind::ended:
                events_->on_attempt_ended(session, attempt, change.outcome, {});
                break;
            case AttemptChange::Kind::lost:
                events_->on_attempt_lost(session, attempt, change.outcome);
                break;
            case AttemptChange::Kind::released:
                counts_.released += 1;
                events_->on_attempt_released(session, attempt);
                break;
            case AttemptChange::Kind::cancel:
                break;  // released below
            case AttemptChange::Kind::orphaned:
                break;  // handle_line() asks the engine about it
        }
        if (change.kind != AttemptChange::Kind::lost && change.kind != AttemptChange::Kind::cancel) continue;
        const auto it = nodes_.find(server);
        if (it == nodes_.end()) continue;
        it->second->to_release.insert(change.key);
        send_release(*it->second);
    }
}

// ---- Releases ----

// Sends one release request at a time, naming the attempts that wait for one, and repeats it until it is
// answered. A node that answers plays none of the named attempts and will not set them up if their requests
// arrive later. A refused connection is as good: where no process listens nothing plays.
void NodeClient::send_release(Node& node) {
    if (node.release_call || node.to_release.empty()) return;
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
    node.release_call = client_.send(
        node.address, std::move(request), std::move(options),
        [this, id = node.id](const http::CallResult& result) {
            const auto it = nodes_.find(id);
            if (it == nodes_.end()) return;
            Node& current = *it->second;
            const std::shared_ptr<http::Call> finished_call(std::move(current.release_call));
            loop_.post([finished_call] {});
            const bool answered =
                result.outcome == http::CallOutcome::response && result.response.status == 200;
            const bool refused = result.outcome == http::CallOutcome::not_connected &&
                                 result.close_status == io::CloseStatus::refused;
            const auto requested = std::move(current.releasing);
            current.releasing.clear();
            if (answered || refused) {
                current.last_heard = loop_.now();
                current.release_delay = 0;
                for (const AttemptKey& key : requested)
                    apply_changes(id, current.tracker.confirm_release(key));
                if (!current.release_call) send_release(current);
                return;
            }
            for (const AttemptKey& key : requested)
                if (current.tracker.unreleased().count(key) || current.tracker.is_playing(key))
                    current.to_release.insert(key);
            current.release_delay =
                std::clamp(current.release_delay * 2, limits_.release_retry_delay, limits_.max_redial_delay);
            current.release_timer = loop_.after(current.release_delay, [this, id] {
                const auto still_known = nodes_.find(id);
                if (still_known != nodes_.end()) send_release(*still_known->second);
            });
        });
}

// ---- Requests to nodes ----

void NodeClient::set_up(const core::SetupRequest& setup) {
    counts_.setups += 1;
    const AttemptKey key{setup.session, setup.attempt};
    const auto it = nodes_.find(setup.server);
    if (it == nodes_.end() || it->second->outdated) {
        loop_.post([this, key] { events_->on_attempt_ended(key.first, key.second, Outcome::not_sent, {}); });
        return;
    }
    const ServerId server = setup.server;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(setup.request.cls)];
    json body = {{"protocol", kProtocol},       {"director", director_},
                 {"session", setup.session},    {"attempt", setup.attempt},
                 {"sid", setup.request.sid},    {"class", cls.name},
                 {"rung", setup.rung},          {"title", setup.request.title_name},
                 {"paid", setup.non_idempotent}};
    if (!settings_.tenants.empty())
        body["tenant"] = settings_.tenants[static_cast<std::size_t>(setup.request.tenant)].name;
    http::Request request;
    request.method = "POST";
    request.target = "/v1/sessions";
    request.headers.add("Content-Type", "application/json");
    request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    http::CallOptions options;
    options.connect_timeout = limits_.connect_timeout;
    options.timeout = 0;  // the engine cancels the set-up when it expires
    // A pooled connection may be closed by the node at this moment; it would then be unknown whether a
    // non-idempotent set-up has run.
    options.new_connection = setup.non_idempotent;
    it->second->tracker.record_request(key);
    setup_calls_[key] = client_.send(
        it->second->address, std::move(request), std::move(options),
        [this, key, server](const http::CallResult& result) {
            const std::shared_ptr<http::Call> finished_call(std::move(setup_calls_[key]));
            setup_calls_.erase(key);
            const auto node_it = nodes_.find(server);
            if (node_it == nodes_.end())
                throw std::logic_error("a node was removed while one of its set-ups was pending");
            AttemptTracker& tracker = node_it->second->tracker;
            Outcome outcome = Outcome::error;
            if (result.outcome == http::CallOutcome::not_connected) outcome = Outcome::not_connected;
            else if (result.outcome == http::CallOutcome::connection_lost) outcome = Outcome::reset;
            else if (result.outcome == http::CallOutcome::timed_out) outcome = Outcome::timed_out;
            else if (result.outcome == http::CallOutcome::response && result.response.status == 503 &&
                     result.response.headers.get("X-Ivyfield-Unseen") == "1")
                outcome = Outcome::full;
            if (result.outcome == http::CallOutcome::response && result.response.status == 200) {
                const json answer = json::parse(result.response.body, nullptr, false);
                const auto text = [&answer](const char* field) {
                    const bool has_field = answer.is_object() && answer.contains(field);
                    return has_field && answer.at(field).is_string() ? answer.at(field).get<std::string>()
                                                                     : "";
                };
                core::Media media;
                media.url = text("media");
                const std::string boot = text("boot");
                if (!media.url.empty() && !boot.empty() && answer.contains("seq") &&
                    answer.at("seq").is_number_unsigned()) {
                    media.renditions = parse_renditions(answer, settings_.rung_kb.size());
                    const bool is_current_boot = boot == tracker.boot();
                    apply_changes(server,
                                  tracker.record_answer(key, boot, answer.at("seq").get<std::uint64_t>()),
                                  media);
                    // The answer names an incarnation that the stream has not announced: only a new hello can
                    // tell which of the two is newer.
                    const auto still_known = nodes_.find(server);
                    if (!is_current_boot && still_known != nodes_.end() &&
                        still_known->second->stream_state == StreamState::synced &&
                        still_known->second->tracker.needs_hello())
                        handle_stream_loss(*still_known->second, false);
                    return;
                }
            }
            apply_changes(server, tracker.record_failure(key, outcome));
        });
}

void NodeClient::send_command(ServerId server, const char* method, const std::string& target,
                              const std::string& body) {
    const auto it = nodes_.find(server);
    if (it == nodes_.end()) return;
    http::Request request;
    request.method = method;
    request.target = target;
    request.body = body;
    if (!body.empty()) request.headers.add("Content-Type", "application/json");
    http::CallOptions options;
    options.connect_timeout = limits_.connect_timeout;
    options.timeout = limits_.probe_timeout;
    const std::uint64_t id = ++last_call_id_;
    command_calls_[id] = client_.send(
        it->second->address, std::move(request), std::move(options), [this, id](const http::CallResult&) {
            const std::shared_ptr<http::Call> finished_call(std::move(command_calls_[id]));
            command_calls_.erase(id);
        });
}
void NodeClient::set_rung(ServerId server, SessionId session, int attempt, int rung) {
    send_command(server, "PUT", session_path(session, attempt) + "/rung", json{{"rung", rung}}.dump());
}
void NodeClient::move(ServerId server, SessionId session, int attempt) {
    send_command(server, "POST", session_path(session, attempt) + "/move", "");
}
void NodeClient::cancel(ServerId server, SessionId session, int attempt) {
    // Closing the call's connection is the first signal to the node. The release reaches a node that has done
    // the set-up and whose answer was lost.
    const AttemptKey key{session, attempt};
    setup_calls_.erase(key);
    const auto it = nodes_.find(server);
    AttemptTracker::Changes changes;
    if (it != nodes_.end()) changes = it->second->tracker.cancel(key);
    const bool may_play = it != nodes_.end() && (it->second->tracker.unreleased().count(key) ||
                                                 it->second->tracker.is_playing(key));
    if (!may_play) {  // nothing is left at the node
        loop_.post([this, session, attempt] { events_->on_attempt_released(session, attempt); });
        return;
    }
    it->second->to_release.insert(key);
    send_release(*it->second);
}

void NodeClient::probe(ServerId server) {
    const auto it = nodes_.find(server);
    if (it == nodes_.end()) {
        loop_.post([this, server] { events_->on_probe_result(server, Outcome::not_connected, 0, {}); });
        return;
    }
    http::Request request;
    request.target = "/v1/load";
    http::CallOptions options;
    options.connect_timeout = limits_.connect_timeout;
    options.timeout = limits_.probe_timeout;
    const std::uint64_t id = ++last_call_id_;
    command_calls_[id] =
        client_.send(it->second->address, std::move(request), std::move(options),
                     [this, id, server](const http::CallResult& result) {
                         const std::shared_ptr<http::Call> finished_call(std::move(command_calls_[id]));
                         command_calls_.erase(id);
                         Outcome outcome = Outcome::error;
                         LoadReport report;
                         if (result.outcome == http::CallOutcome::response && result.response.status == 200) {
                             const json load = json::parse(result.response.body, nullptr, false);
                             if (load.is_object())
                                 outcome = Outcome::ended, report = parse_load_report(load, settings_);
                         } else if (result.outcome == http::CallOutcome::not_connected) {
                             outcome = Outcome::not_connected;
                         } else if (result.outcome == http::CallOutcome::timed_out) {
                             outcome = Outcome::timed_out;
                         } else if (result.outcome == http::CallOutcome::connection_lost) {
                             outcome = Outcome::reset;
                         }
                         events_->on_probe_result(server, outcome, result.elapsed, report);
                     });
}

}  // namespace ivyfield::nodes
