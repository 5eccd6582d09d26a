#include "cli/relay.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "cli/session_line.hpp"

namespace ivyfield::cli {

using nlohmann::json;

namespace {

constexpr const char* kServiceName = "_api._tcp.svc.local";  // the SRV record with the list of media nodes
// Intervals in ms.
constexpr io::Time kShutdownCheckInterval = 20;
constexpr io::Time kStatusInterval = 5000;
constexpr io::Time kFullListInterval = 1000;
// Invalid set-ups beyond this number are counted but not logged, so that a faulty client can't fill the log.
constexpr int kMaxLoggedInvalidSetups = 20;
constexpr std::size_t kBytesPerMegabyte = 1024 * 1024;
constexpr std::size_t kMaxRetainedNodeNames = 64;  // of nodes that left the list, for the log

// Hashes a node's uid, so that every director uses the same id for it. The address is not part of it: a node
// is identified by its uid alone.
ServerId make_server_id(const std::string& uid) { return XXH64(uid.data(), uid.size(), 0); }

}  // namespace

RelayProcess::RelayProcess(io::Loop& loop, const config::RelayConfig& config, const std::string& log_path)
    : loop_(loop),
      config_(config),
      log_(log_path, log::Level::info, config.name),
      nodes_(loop,
             [&] {
                 nodes::RelayLimits limits;
                 limits.connect_timeout = config.settings.connect_timeout;
                 limits.idle_timeout = config.idle_connection_timeout;
                 limits.max_connections = config.sockets / 2;
                 limits.report_fields = config.report_fields;
                 return limits;
             }()),
      engine_(loop, config.settings, config.seed, nodes_, nullptr),
      front_(
          loop, config.listen, config.settings, {config.classes, config.tenants},
          [&] {
              fronts::RelayFrontLimits limits;
              limits.admission.max_connections = config.sockets * 2 / 5;
              if (config.memory_mb > 0) limits.memory = config.memory_mb * kBytesPerMegabyte;
              return limits;
          }(),
          engine_),
      unix_to_loop_offset_(loop.now() - loop.wall_ms()),
      srv_poller_(
          loop, config.dns, kServiceName, config.last_event,
          {[this](const discovery::Members& members) { update_list(members); }, [this] { confirm_list(); }}),
      members_(config.members) {
    nodes_.attach(&engine_);
    update_nodes();
    engine_.on_session_record = [this](const core::SessionRecord& record) { log_session(record); };
    engine_.on_director_log = [this](const std::string& text) {
        log_event(log::Level::info, "module", {{"text", text}});
    };
    engine_.on_invariant_violation = [this](const std::string& history) {
        log_event(log::Level::error, "broken invariant", {{"history", history}});
    };
    engine_.on_session_terminated = [this](SessionId id, bool notify_viewer, bool moved) {
        front_.handle_session_end(id, notify_viewer, moved);
    };
    nodes_.on_warning = [this](const std::string& text) {
        log_event(log::Level::warning, "nodes", {{"text", text}});
    };
    front_.find_node = [this](const std::string& uid) -> std::optional<ServerId> {
        if (!members_.count(uid)) return std::nullopt;
        return make_server_id(uid);
    };
    front_.adopt_session = [this](const core::ViewerRequest& request, ServerId server) {
        if (!engine_.adopt_session(request, server)) return false;
        nodes_.adopt_session(server, *request.preassigned_id, 0);
        return true;
    };
    front_.on_invalid_setup = [this](const std::string& why, const relay::ViewerMessage& message) {
        if (logged_invalid_setups_ >= kMaxLoggedInvalidSetups) return;
        logged_invalid_setups_ += 1;
        log_event(log::Level::warning, "bad set-up", {{"why", why}, {"fields", message.fields}});
    };
    front_.on_connection_closed = [this](const fronts::ClosedConnection& closed) {
        json line = {{"connection", closed.number},
                     {"reason", fronts::name(closed.reason)},
                     {"open", closed.pending_setups}};
        if (closed.since_last_answer) line["since_answer_ms"] = *closed.since_last_answer;
        log_event(log::Level::info, "client connection closed", line);
    };
    front_.buffered_elsewhere = [this] { return nodes_.buffered_bytes(); };
    front_.on_first_setup = [this] { start_engine(); };
    log_event(log::Level::info, "started",
              {{"listen", front_.address().text()}, {"list", config.dns.text()}, {"nodes", members_.size()}});
    status_timer_ = loop_.after(kStatusInterval, [this] { log_status(); });
}
void RelayProcess::log_status() {
    log_event(log::Level::info, "status", status());
    status_timer_ = loop_.after(kStatusInterval, [this] { log_status(); });
}
RelayProcess::~RelayProcess() {
    engine_.on_session_record = nullptr;
    engine_.on_director_log = nullptr;
    engine_.on_invariant_violation = nullptr;
    engine_.on_session_terminated = nullptr;
    front_.on_connection_closed = nullptr;
    nodes_.on_warning = nullptr;
}

void RelayProcess::log_event(log::Level level, const char* event, const json& fields) {
    log_.write(level, loop_.wall_ms(), event, fields);
}

// Passes the saved list to the engine, just before the first set-up. The decision module thus receives its
// first list and its first set-ups at the same moment, as in the simulator: it takes sessions that are handed
// over at its start as a sign that the whole day begins.
void RelayProcess::start_engine() {
    engine_started_ = true;
    ServerList list;
    list.kind = ListKind::saved;
    for (const auto& [uid, member] : members_) list.entries.push_back(make_entry(member));
    engine_.update_server_list(list);
}

// Returns when the member's process started, on the loop's clock; 0: long ago. The offset never changes: a
// start time that differed only slightly from the last list would be taken for a restart of the node.
io::Time RelayProcess::start_time(const discovery::Member& member) const {
    if (member.started_unix_ms <= 0) return 0;
    return std::max(1.0, member.started_unix_ms + unix_to_loop_offset_);
}

ServerEntry RelayProcess::make_entry(const discovery::Member& member) const {
    const auto find_index = [](const std::vector<std::string>& names, const std::string& name) {
        const auto it = std::find(names.begin(), names.end(), name);
        return it == names.end() ? 0 : static_cast<int>(it - names.begin());
    };
    ServerEntry entry;
    entry.id = make_server_id(member.uid);
    entry.position = member.cell;
    entry.weight = member.weight;
    entry.last_start = start_time(member);
    entry.zone = find_index(config_.zones, member.zone);
    entry.kind = find_index(config_.kinds, member.kind);
    entry.state = member.state;
    return entry;
}

void RelayProcess::update_nodes() {
    std::map<ServerId, nodes::RelayNode> nodes;
    for (const auto& [uid, member] : members_) {
        const ServerId id = make_server_id(uid);
        nodes[id] = {uid, member.address, member.state == ServerState::ready, start_time(member)};
        if (!node_names_.emplace(id, uid).second) continue;
        node_name_order_.push_back(id);
    }
    // Sessions of removed nodes end a little later, so some of their names are kept for the log; the number
    // is bounded, since names would otherwise pile up all day.
    while (node_name_order_.size() > nodes.size() + kMaxRetainedNodeNames) {
        if (nodes.count(node_name_order_.front())) node_name_order_.push_back(node_name_order_.front());
        else node_names_.erase(node_name_order_.front());
        node_name_order_.pop_front();
    }
    nodes_.set_nodes(nodes);
}

// Takes a new list. The engine is told only the changes, as in the simulator.
void RelayProcess::update_list(const discovery::Members& members) {
    ServerList changes;
    changes.kind = ListKind::changes;
    for (const auto& [uid, member] : members) {
        const auto it = members_.find(uid);
        if (it == members_.end() || !(it->second == member)) changes.entries.push_back(make_entry(member));
    }
    for (const auto& [uid, member] : members_) {
        if (members.count(uid)) continue;
        ServerEntry entry = make_entry(member);
        entry.state = ServerState::gone;
        changes.entries.push_back(entry);
    }
    members_ = members;
    update_nodes();
    if (engine_started_ && !changes.entries.empty()) engine_.update_server_list(changes);
    log_event(log::Level::info, "list", {{"nodes", members.size()}, {"changed", changes.entries.size()}});
}

// The name server has confirmed the list. The engine is given the whole list again, at most once per
// kFullListInterval: it is known to be current, while the saved list of the start may be old.
void RelayProcess::confirm_list() {
    if (!engine_started_ || loop_.now() - full_list_at_ < kFullListInterval) return;
    full_list_at_ = loop_.now();
    ServerList list;
    list.kind = ListKind::full;
    for (const auto& [uid, member] : members_) list.entries.push_back(make_entry(member));
    engine_.update_server_list(list);
}

void RelayProcess::reload(const config::RelayConfig& config) {
    config_.dns = config.dns;
    srv_poller_.set_server(config.dns);
    log_event(log::Level::info, "reloaded", {{"list", config.dns.text()}});
}

void RelayProcess::stop(std::function<void()> done) {
    if (shutdown_) return;
    on_stopped_ = std::move(done);
    shutdown_.emplace(config_.settings, loop_.now());
    engine_.set_answer_deadline(shutdown_->answer_deadline());
    front_.begin_shutdown(*shutdown_);
    log_event(log::Level::info, "stopping", {{"owed", engine_.unanswered_sessions()}});
    continue_shutdown();
}
void RelayProcess::continue_shutdown() {
    front_.end_drained_connections();
    const decide::PendingWork pending{engine_.unanswered_sessions(),
                                      !front_.has_sent_all_output() || !nodes_.is_drained(),
                                      front_.connection_count(), front_.last_received()};
    if (!shutdown_->should_exit(loop_.now(), pending)) {
        stop_timer_ = loop_.after(kShutdownCheckInterval, [this] { continue_shutdown(); });
        return;
    }
    // Connections are ended after their remaining output; the process exits once that has been handed over.
    front_.end_all_connections();
    nodes_.end_connections();
    log_event(log::Level::info, "stopped", status());
    loop_.post([this] { on_stopped_(); });
}

void RelayProcess::log_session(const core::SessionRecord& record) {
    json line = make_session_log_line(record, [this](ServerId id) {
        const auto it = node_names_.find(id);
        return it == node_names_.end() ? relay::to_hex(id) : it->second;
    });
    line["id"] = relay::to_hex(record.id);
    line["class"] = config_.classes[static_cast<std::size_t>(record.request.cls)];
    log_event(log::Level::info, "session", line);
}

json RelayProcess::status() const {
    const core::EngineCounts& engine = engine_.counts();
    const fronts::RelayFrontCounts& front = front_.counts();
    const nodes::RelayCounts& nodes = nodes_.counts();
    const discovery::SrvCounts& list = srv_poller_.counts();
    json closed = json::object();
    for (std::size_t reason = 0; reason < fronts::kCloseReasons; ++reason)
        if (front.closed[reason] > 0)
            closed[fronts::name(static_cast<fronts::CloseReason>(reason))] = front.closed[reason];
    return {{"sessions",
             {{"taken", engine.accepted},
              {"played", engine.established},
              {"refused", engine.rejected},
              {"failed", engine.failed},
              {"abandoned", engine.abandoned},
              {"late", engine.missed_deadlines},
              {"attempts", engine.attempts},
              {"retried", engine.retries},
              {"repeated", engine.repeated},
              {"lost", engine.reset},
              {"slips", engine.invariant_violations},
              {"ends_crossing_answers", engine.ends_crossing_answers},
              {"open", engine_.open_sessions()},
              {"playing", engine_.established_sessions()}}},
            {"viewers",
             {{"connections", front_.connection_count()},
              {"set_ups", front.setups},
              {"closed", closed},
              {"unreadable", front.unreadable},
              {"bad", front.bad},
              {"repeated", front.repeated},
              {"shed", front.shed},
              {"turned_away", front.turned_away},
              {"over_memory", front.over_memory},
              {"gave_up", front.gave_up},
              {"left_unread", front.left_unread},
              {"hung_up", front.hung_up},
              {"releases", front.releases},
              {"unknown_releases", front.unknown_releases}}},
            {"nodes",
             {{"connections", nodes_.connection_count()},
              {"dials", nodes.dials},
              {"tests", nodes.probes},
              {"spoilt", nodes.malformed},
              {"resets", nodes.resets},
              {"stray", nodes.unexpected},
              {"shared", nodes.shared_connections},
              {"vanished", nodes.unreachable},
              {"restarted", nodes.restarts}}},
            {"list",
             {{"asked", list.asked},
              {"taken", list.taken},
              {"same", list.same},
              {"bad", list.bad},
              {"older", list.older},
              {"unanswered", list.unanswered},
              {"fault", srv_poller_.last_error()}}}};
}

}  // namespace ivyfield::cli
