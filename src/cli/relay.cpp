#include "cli/relay.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "cli/session_line.hpp"

namespace ivyfield::cli {

using nlohmann::json;

namespace {

constexpr const char* kService = "_api._tcp.svc.local";
constexpr io::Time kLookEvery = 20;
constexpr io::Time kStatusEvery = 5000;
constexpr io::Time kConfirmEvery = 1000;
// Bad set-ups are told one by one up to here, then only counted: who sends them does not write our log.
constexpr int kMostBadTold = 20;
constexpr std::size_t kOldNames = 64;  // of nodes that are gone, for the log

// Alike at every director: a node is its id, not its address.
ServerId server_of(const std::string& uid) { return XXH64(uid.data(), uid.size(), 0); }

}  // namespace

RelayProcess::RelayProcess(io::Loop& loop, const config::RelayConfig& config, const std::string& log_path)
    : loop_(loop),
      config_(config),
      log_(log_path, log::Level::info, config.name),
      nodes_(loop,
             [&] {
                 nodes::RelayLimits limits;
                 limits.connect_timeout = config.settings.connect_timeout;
                 limits.idle_timeout = config.idle_close;
                 limits.max_connections = config.sockets / 2;
                 limits.report_fields = config.report;
                 return limits;
             }()),
      engine_(loop, config.settings, config.seed, nodes_, nullptr),
      front_(
          loop, config.listen, config.settings, {config.classes, config.tenants},
          [&] {
              fronts::RelayFrontLimits limits;
              limits.intake.max_connections = config.sockets * 2 / 5;
              return limits;
          }(),
          engine_),
      clock_(loop.now() - loop.wall_ms()),
      list_(loop, config.dns, kService, config.known,
            {[this](const discovery::Members& all) { listed(all); }, [this] { confirmed(); }}),
      members_(config.members) {
    nodes_.attach(&engine_);
    know();
    engine_.on_session_record = [this](const core::SessionRecord& r) { ended(r); };
    engine_.on_director_log = [this](const std::string& text) {
        remark(log::Level::info, "module", {{"text", text}});
    };
    engine_.on_invariant_violation = [this](const std::string& history) {
        remark(log::Level::error, "broken invariant", {{"history", history}});
    };
    engine_.on_session_terminated = [this](SessionId id, bool owed, bool moved) {
        front_.gone(id, owed, moved);
    };
    nodes_.on_warning = [this](const std::string& text) {
        remark(log::Level::warning, "nodes", {{"text", text}});
    };
    front_.node_named = [this](const std::string& uid) -> std::optional<ServerId> {
        if (!members_.count(uid)) return std::nullopt;
        return server_of(uid);
    };
    front_.adopt = [this](const core::ViewerRequest& ask, ServerId server) {
        if (!engine_.adopt_session(ask, server)) return false;
        nodes_.adopt_session(server, *ask.preassigned_id, 0);
        return true;
    };
    front_.on_bad = [this](const std::string& why, const relay::ViewerMessage& m) {
        if (bad_told_ >= kMostBadTold) return;
        bad_told_ += 1;
        remark(log::Level::warning, "bad set-up", {{"why", why}, {"fields", m.fields}});
    };
    front_.on_closed = [this](const fronts::ClosedConnection& closed) {
        json line = {
            {"connection", closed.number}, {"reason", fronts::name(closed.reason)}, {"open", closed.open}};
        if (closed.since_answer) line["since_answer_ms"] = *closed.since_answer;
        remark(log::Level::info, "client connection closed", line);
    };
    front_.first_set_up = [this] { begin(); };
    remark(log::Level::info, "started",
           {{"listen", front_.address().text()}, {"list", config.dns.text()}, {"nodes", members_.size()}});
    status_timer_ = loop_.after(kStatusEvery, [this] { tell_status(); });
}
void RelayProcess::tell_status() {
    remark(log::Level::info, "status", status());
    status_timer_ = loop_.after(kStatusEvery, [this] { tell_status(); });
}
RelayProcess::~RelayProcess() {
    engine_.on_session_record = nullptr;
    engine_.on_director_log = nullptr;
    engine_.on_invariant_violation = nullptr;
    engine_.on_session_terminated = nullptr;
    front_.on_closed = nullptr;
    nodes_.on_warning = nullptr;
}

void RelayProcess::remark(log::Level level, const char* event, const json& fields) {
    log_.write(level, loop_.wall_ms(), event, fields);
}

// The module comes to life with the first set-up, list and set-ups of the start in one moment, as in the
// simulator: it takes sessions handed over with its birth as a sign that the whole day begins.
void RelayProcess::begin() {
    began_ = true;
    ServerList list;
    list.kind = ListKind::saved;
    for (const auto& [uid, member] : members_) list.entries.push_back(entry_of(member));
    engine_.update_server_list(list);
}

ServerEntry RelayProcess::entry_of(const discovery::Member& m) const {
    const auto index = [](const std::vector<std::string>& names, const std::string& name) {
        const auto it = std::find(names.begin(), names.end(), name);
        return it == names.end() ? 0 : static_cast<int>(it - names.begin());
    };
    ServerEntry e;
    e.id = server_of(m.uid);
    e.position = m.cell;
    e.weight = m.weight;
    // From Unix time to the loop's clock, always by the same difference: a start that moved by a hair would
    // be a new start.
    if (m.started_unix_ms > 0) e.last_start = std::max(1.0, m.started_unix_ms + clock_);
    e.zone = index(config_.zones, m.zone);
    e.kind = index(config_.kinds, m.kind);
    e.state = m.state;
    return e;
}

void RelayProcess::know() {
    std::map<ServerId, nodes::RelayNode> known;
    for (const auto& [uid, m] : members_) {
        const ServerId id = server_of(uid);
        known[id] = {uid, m.address, m.state == ServerState::ready};
        if (!names_.emplace(id, uid).second) continue;
        named_.push_back(id);
    }
    // Sessions of nodes that are gone end a little later; all day long names would only pile up.
    while (named_.size() > known.size() + kOldNames) {
        if (known.count(named_.front())) named_.push_back(named_.front());
        else names_.erase(named_.front());
        named_.pop_front();
    }
    nodes_.set_nodes(known);
}

// A whole list comes; the module hears what has changed, as in the simulator.
void RelayProcess::listed(const discovery::Members& all) {
    ServerList changes;
    changes.kind = ListKind::changes;
    for (const auto& [uid, m] : all) {
        const auto it = members_.find(uid);
        if (it == members_.end() || !(it->second == m)) changes.entries.push_back(entry_of(m));
    }
    for (const auto& [uid, m] : members_) {
        if (all.count(uid)) continue;
        ServerEntry e = entry_of(m);
        e.state = ServerState::gone;
        changes.entries.push_back(e);
    }
    members_ = all;
    know();
    if (began_ && !changes.entries.empty()) engine_.update_server_list(changes);
    remark(log::Level::info, "list", {{"nodes", all.size()}, {"changed", changes.entries.size()}});
}

// The same list again is news too: it is whole and of this moment, where the one of the start may be old.
void RelayProcess::confirmed() {
    if (!began_ || loop_.now() - confirmed_ < kConfirmEvery) return;
    confirmed_ = loop_.now();
    ServerList list;
    list.kind = ListKind::full;
    for (const auto& [uid, member] : members_) list.entries.push_back(entry_of(member));
    engine_.update_server_list(list);
}

void RelayProcess::reload(const config::RelayConfig& config) {
    config_.dns = config.dns;
    list_.move_to(config.dns);
    remark(log::Level::info, "reloaded", {{"list", config.dns.text()}});
}

void RelayProcess::stop(std::function<void()> done) {
    if (shutdown_) return;
    done_ = std::move(done);
    shutdown_.emplace(config_.settings, loop_.now());
    engine_.set_answer_deadline(shutdown_->answer_deadline());
    front_.begin_shutdown(*shutdown_);
    remark(log::Level::info, "stopping", {{"owed", engine_.unanswered_sessions()}});
    stopping();
}
void RelayProcess::stopping() {
    front_.end_drained_connections();
    const decide::PendingWork left{engine_.unanswered_sessions(), !front_.drained() || !nodes_.is_drained(),
                                   front_.connections(), front_.heard_at()};
    if (!shutdown_->should_exit(loop_.now(), left)) {
        stop_timer_ = loop_.after(kLookEvery, [this] { stopping(); });
        return;
    }
    // Our ends follow the last words; the process leaves once they are out.
    front_.end_all();
    nodes_.end_connections();
    remark(log::Level::info, "stopped", status());
    loop_.post([this] { done_(); });
}

void RelayProcess::ended(const core::SessionRecord& r) {
    json line = session_line(r, [this](ServerId id) {
        const auto it = names_.find(id);
        return it == names_.end() ? relay::to_hex(id) : it->second;
    });
    line["id"] = relay::to_hex(r.id);
    line["class"] = config_.classes[static_cast<std::size_t>(r.request.cls)];
    remark(log::Level::info, "session", line);
}

json RelayProcess::status() const {
    const core::EngineCounts& e = engine_.counts();
    const fronts::RelayFrontCounts& f = front_.counts();
    const nodes::RelayCounts& n = nodes_.counts();
    const discovery::SrvCounts& d = list_.counts();
    json closed = json::object();
    for (std::size_t k = 0; k < fronts::kCloseReasons; ++k)
        if (f.closed[k] > 0) closed[fronts::name(static_cast<fronts::CloseReason>(k))] = f.closed[k];
    return {{"sessions",
             {{"taken", e.accepted},
              {"played", e.established},
              {"refused", e.rejected},
              {"failed", e.failed},
              {"abandoned", e.abandoned},
              {"late", e.missed_deadlines},
              {"attempts", e.attempts},
              {"retried", e.retries},
              {"lost", e.reset},
              {"slips", e.invariant_violations},
              {"ends_crossing_answers", e.ends_crossing_answers},
              {"open", engine_.open_sessions()},
              {"playing", engine_.established_sessions()}}},
            {"viewers",
             {{"connections", front_.connections()},
              {"set_ups", f.set_ups},
              {"closed", closed},
              {"unreadable", f.unreadable},
              {"bad", f.bad},
              {"repeated", f.repeated},
              {"shed", f.shed},
              {"turned_away", f.turned_away},
              {"gave_up", f.gave_up},
              {"hung_up", f.hung_up},
              {"releases", f.releases},
              {"unknown_releases", f.unknown_releases}}},
            {"nodes",
             {{"connections", nodes_.connection_count()},
              {"dials", n.dials},
              {"tests", n.probes},
              {"spoilt", n.malformed},
              {"resets", n.resets},
              {"stray", n.unexpected},
              {"shared", n.shared_connections},
              {"vanished", n.unreachable}}},
            {"list",
             {{"asked", d.asked},
              {"taken", d.taken},
              {"same", d.same},
              {"bad", d.bad},
              {"older", d.older},
              {"unanswered", d.unanswered},
              {"fault", list_.last_fault()}}}};
}

}  // namespace ivyfield::cli
