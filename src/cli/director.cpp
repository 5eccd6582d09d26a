#include "cli/director.hpp"

#include <algorithm>

#include "cli/session_line.hpp"

namespace ivyfield::cli {

using nlohmann::json;

namespace {

// After SIGTERM new connections are taken for so long: what watches the director needs a moment to see it
// leave.
constexpr io::Time kTakeFor = 250;
constexpr io::Time kLookEvery = 20;
// Answers that are written so long before the last moment still leave.
constexpr io::Time kLastAnswers = 100;

log::Level level_of(const std::string& name) {
    if (name == "debug") return log::Level::debug;
    if (name == "warning") return log::Level::warning;
    return name == "error" ? log::Level::error : log::Level::info;
}

}  // namespace

DirectorProcess::DirectorProcess(io::Loop& loop, const config::Config& config, std::uint64_t seed)
    : loop_(loop),
      config_(config),
      log_(config.log_path, level_of(config.log_level), config.name),
      nodes_(loop, config.name, config.settings,
             [&] {
                 nodes::NodeClientLimits limits;
                 limits.client.max_connections_per_address = config.node_connections;
                 limits.connect_timeout = config.settings.connect_timeout;
                 limits.silence_timeout = config.node_silent_ms;
                 return limits;
             }()),
      engine_(loop, config.settings, seed, nodes_, nullptr),
      front_(loop, config, engine_),
      consul_(
          loop,
          [&] {
              discovery::ConsulSettings s;
              s.address = config.consul;
              s.service = config.service;
              s.user_agent = "ivyfield/" + config.name;
              s.kinds = config.kinds;
              s.max_wait = config.list_wait_ms;
              s.allow_stale = config.list_stale;
              s.max_staleness = config.longest_stale_ms;
              return s;
          }(),
          [this](const std::vector<discovery::Instance>& instances) { listed(instances); }) {
    nodes_.attach(&engine_);
    engine_.on_session_record = [this](const core::SessionRecord& r) { ended(r); };
    engine_.on_director_log = [this](const std::string& text) {
        log_.write(log::Level::info, loop_.wall_ms(), "module", {{"text", text}});
    };
    nodes_.on_warning = [this](const std::string& text) {
        log_.write(log::Level::warning, loop_.wall_ms(), "nodes", {{"text", text}});
    };
    front_.render_status = [this] { return status(); };
    log_.write(log::Level::info, loop_.wall_ms(), "started",
               {{"listen", front_.address().text()}, {"list", config.consul.text()}});
}
// Players and nodes hear of the end by their connections. Nothing is reported from here on: parts that would
// be told go one after the other.
DirectorProcess::~DirectorProcess() {
    engine_.on_session_record = nullptr;
    engine_.on_director_log = nullptr;
    nodes_.on_warning = nullptr;
}

void DirectorProcess::listed(const std::vector<discovery::Instance>& instances) {
    ServerList list;
    std::map<ServerId, io::Address> addresses;
    for (const discovery::Instance& one : instances) {
        list.entries.push_back(one.entry);
        names_[one.entry.id] = one.id;
        if (one.entry.state != ServerState::gone) addresses[one.entry.id] = one.address;
    }
    listed_ = instances.size();
    nodes_.set_nodes(addresses);
    engine_.update_server_list(list);
    log_.write(log::Level::info, loop_.wall_ms(), "list", {{"nodes", instances.size()}});
}

void DirectorProcess::ended(const core::SessionRecord& r) {
    const auto name = [this](ServerId id) {
        const auto it = names_.find(id);
        return it == names_.end() ? std::to_string(id) : it->second;
    };
    const Settings& s = config_.settings;
    json line = session_line(r, name);
    line["session"] = r.id;
    line["sid"] = r.request.sid;
    line["tenant"] = s.tenants[static_cast<std::size_t>(r.request.tenant)].name;
    line["class"] = s.classes[static_cast<std::size_t>(r.request.cls)].name;
    line["title"] = r.request.title_name;
    line["asked"] = 1 + r.joined_requests;
    log_.write(log::Level::info, loop_.wall_ms(), "session", line);
}

void DirectorProcess::stop(std::function<void()> done) {
    if (done_) return;
    done_ = std::move(done);
    io::Time longest = 0;
    for (const ClassSettings& cls : config_.settings.classes) longest = std::max(longest, cls.patience);
    stop_listening_at_ = loop_.now() + kTakeFor;
    leave_at_ = stop_listening_at_ + longest + config_.settings.answer_slack + kLastAnswers;
    front_.drain();
    log_.write(log::Level::info, loop_.wall_ms(), "stopping", {{"owed", engine_.unanswered_sessions()}});
    stopping();
}

void DirectorProcess::stopping() {
    const bool takes = loop_.now() < stop_listening_at_;
    if (!takes) front_.stop_listening();
    const bool idle = engine_.unanswered_sessions() == 0 && front_.connection_count() == 0;
    if ((takes || !idle) && loop_.now() < leave_at_) {
        stop_timer_ = loop_.after(kLookEvery, [this] { stopping(); });
        return;
    }
    log_.write(log::Level::info, loop_.wall_ms(), "stopped", {{"owed", engine_.unanswered_sessions()}});
    loop_.post([this] { done_(); });
}

std::string DirectorProcess::status() const {
    const core::EngineCounts& c = engine_.counts();
    const fronts::HttpFrontCounts& f = front_.counts();
    const discovery::ConsulCounts& d = consul_.counts();
    const nodes::NodeClientCounts& n = nodes_.counts();
    json streams = json::object();
    for (const auto& [state, count] : nodes_.count_streams()) streams[nodes::name(state)] = count;
    return json{{"name", config_.name},
                {"sessions",
                 {{"taken", c.accepted},
                  {"joined", c.joined},
                  {"played", c.established},
                  {"refused", c.rejected},
                  {"failed", c.failed},
                  {"abandoned", c.abandoned},
                  {"late", c.missed_deadlines},
                  {"slips", c.invariant_violations},
                  {"taken_back", c.reclaimed},
                  {"not_taken_back", c.not_reclaimed},
                  {"attempts", c.attempts},
                  {"retried", c.retries},
                  {"ended", c.ended},
                  {"lost", c.reset},
                  {"open", engine_.open_sessions()},
                  {"playing", engine_.established_sessions()}}},
                {"players",
                 {{"requests", f.requests},
                  {"bad", f.bad},
                  {"hints_dropped", f.hints_dropped},
                  {"preflights", f.preflights},
                  {"gone", f.gone}}},
                {"list",
                 {{"nodes", listed_},
                  {"answers", d.answers},
                  {"failures", d.failures},
                  {"too_old", d.too_old},
                  {"left_out", d.left_out},
                  {"fault", consul_.last_error()}}},
                {"nodes",
                 {{"connections", nodes_.connection_count()},
                  {"streams", streams},
                  {"attempts", nodes_.attempt_count()},
                  {"doubtful", nodes_.unreleased_count()},
                  {"set_ups", n.setups},
                  {"streams_lost", n.streams_lost},
                  {"accounts", n.hellos},
                  {"whole_accounts", n.full_snapshots},
                  {"lives_ended", n.restarts},
                  {"put_right", n.reconciled},
                  {"releases", n.release_requests},
                  {"released", n.released},
                  {"written_off", n.presumed_ended},
                  {"unclaimed", n.orphaned},
                  {"too_old", n.outdated_nodes},
                  {"bad_lines", n.malformed_lines}}}}
               .dump(2) +
           "\n";
}

}  // namespace ivyfield::cli
