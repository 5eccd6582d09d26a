#include "cli/director.hpp"

#include <algorithm>

#include "cli/session_line.hpp"

namespace ivyfield::cli {

using nlohmann::json;

namespace {

// How long the director still accepts connections after SIGTERM, in ms: whatever monitors the director
// needs a moment to notice that it is shutting down.
constexpr io::Time kShutdownListenTime = 250;
constexpr io::Time kShutdownCheckInterval = 20;  // ms
// Time left after the last deadline of an answer, in ms, so that answers already written can still be sent.
constexpr io::Time kFinalAnswerTime = 100;

log::Level parse_log_level(const std::string& name) {
    if (name == "debug") return log::Level::debug;
    if (name == "warning") return log::Level::warning;
    return name == "error" ? log::Level::error : log::Level::info;
}

}  // namespace

DirectorProcess::DirectorProcess(io::Loop& loop, const config::Config& config, std::uint64_t seed)
    : loop_(loop),
      config_(config),
      log_(config.log_path, parse_log_level(config.log_level), config.name),
      nodes_(loop, config.name, config.settings,
             [&] {
                 nodes::NodeClientLimits limits;
                 limits.client.max_connections_per_address = config.max_connections_per_node;
                 limits.connect_timeout = config.settings.connect_timeout;
                 limits.silence_timeout = config.node_silence_timeout_ms;
                 return limits;
             }()),
      engine_(loop, config.settings, seed, nodes_, nullptr),
      front_(loop, config, engine_),
      consul_(
          loop,
          [&] {
              discovery::ConsulSettings consul_settings;
              consul_settings.address = config.consul;
              consul_settings.service = config.service;
              consul_settings.user_agent = "ivyfield/" + config.name;
              consul_settings.kinds = config.kinds;
              consul_settings.max_wait = config.max_list_wait_ms;
              consul_settings.allow_stale = config.allow_stale_list;
              consul_settings.max_staleness = config.max_staleness_ms;
              return consul_settings;
          }(),
          [this](const std::vector<discovery::Instance>& instances) { update_list(instances); }) {
    nodes_.attach(&engine_);
    engine_.on_session_record = [this](const core::SessionRecord& record) { log_session(record); };
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
// Players and nodes learn of the end when their connections close. The callbacks are cleared first, since the
// members that they use are destroyed one after the other.
DirectorProcess::~DirectorProcess() {
    engine_.on_session_record = nullptr;
    engine_.on_director_log = nullptr;
    nodes_.on_warning = nullptr;
}

void DirectorProcess::update_list(const std::vector<discovery::Instance>& instances) {
    ServerList list;
    std::map<ServerId, io::Address> addresses;
    for (const discovery::Instance& instance : instances) {
        list.entries.push_back(instance.entry);
        node_names_[instance.entry.id] = instance.id;
        if (instance.entry.state != ServerState::gone) addresses[instance.entry.id] = instance.address;
    }
    node_count_ = instances.size();
    nodes_.set_nodes(addresses);
    engine_.update_server_list(list);
    log_.write(log::Level::info, loop_.wall_ms(), "list", {{"nodes", instances.size()}});
}

void DirectorProcess::log_session(const core::SessionRecord& record) {
    const auto node_name = [this](ServerId id) {
        const auto it = node_names_.find(id);
        return it == node_names_.end() ? std::to_string(id) : it->second;
    };
    const Settings& settings = config_.settings;
    json line = make_session_log_line(record, node_name);
    line["session"] = record.id;
    line["sid"] = record.request.sid;
    line["tenant"] = settings.tenants[static_cast<std::size_t>(record.request.tenant)].name;
    line["class"] = settings.classes[static_cast<std::size_t>(record.request.cls)].name;
    line["title"] = record.request.title_name;
    line["asked"] = 1 + record.joined_requests;
    log_.write(log::Level::info, loop_.wall_ms(), "session", line);
}

void DirectorProcess::stop(std::function<void()> done) {
    if (on_stopped_) return;
    on_stopped_ = std::move(done);
    io::Time max_patience = 0;
    for (const ClassSettings& cls : config_.settings.classes)
        max_patience = std::max(max_patience, cls.patience);
    stop_listening_at_ = loop_.now() + kShutdownListenTime;
    shutdown_deadline_ = stop_listening_at_ + max_patience + config_.settings.answer_slack + kFinalAnswerTime;
    front_.drain();
    log_.write(log::Level::info, loop_.wall_ms(), "stopping", {{"owed", engine_.unanswered_sessions()}});
    continue_shutdown();
}

void DirectorProcess::continue_shutdown() {
    const bool accepting = loop_.now() < stop_listening_at_;
    if (!accepting) front_.stop_listening();
    const bool idle = engine_.unanswered_sessions() == 0 && front_.connection_count() == 0;
    if ((accepting || !idle) && loop_.now() < shutdown_deadline_) {
        stop_timer_ = loop_.after(kShutdownCheckInterval, [this] { continue_shutdown(); });
        return;
    }
    log_.write(log::Level::info, loop_.wall_ms(), "stopped", {{"owed", engine_.unanswered_sessions()}});
    loop_.post([this] { on_stopped_(); });
}

std::string DirectorProcess::status() const {
    const core::EngineCounts& engine_counts = engine_.counts();
    const fronts::HttpFrontCounts& front_counts = front_.counts();
    const discovery::ConsulCounts& list_counts = consul_.counts();
    const nodes::NodeClientCounts& node_counts = nodes_.counts();
    json streams = json::object();
    for (const auto& [state, count] : nodes_.count_streams()) streams[nodes::name(state)] = count;
    return json{{"name", config_.name},
                {"sessions",
                 {{"taken", engine_counts.accepted},
                  {"joined", engine_counts.joined},
                  {"played", engine_counts.established},
                  {"refused", engine_counts.rejected},
                  {"failed", engine_counts.failed},
                  {"abandoned", engine_counts.abandoned},
                  {"late", engine_counts.missed_deadlines},
                  {"slips", engine_counts.invariant_violations},
                  {"taken_back", engine_counts.reclaimed},
                  {"not_taken_back", engine_counts.not_reclaimed},
                  {"attempts", engine_counts.attempts},
                  {"retried", engine_counts.retries},
                  {"ended", engine_counts.ended},
                  {"lost", engine_counts.reset},
                  {"open", engine_.open_sessions()},
                  {"playing", engine_.established_sessions()}}},
                {"players",
                 {{"requests", front_counts.requests},
                  {"bad", front_counts.bad},
                  {"hints_dropped", front_counts.hints_dropped},
                  {"preflights", front_counts.preflights},
                  {"over_memory", front_.http_counts().over_memory},
                  {"gone", front_counts.gone}}},
                {"list",
                 {{"nodes", node_count_},
                  {"answers", list_counts.answers},
                  {"failures", list_counts.failures},
                  {"too_old", list_counts.too_old},
                  {"left_out", list_counts.left_out},
                  {"fault", consul_.last_error()}}},
                {"nodes",
                 {{"connections", nodes_.connection_count()},
                  {"streams", streams},
                  {"attempts", nodes_.attempt_count()},
                  {"doubtful", nodes_.unreleased_count()},
                  {"set_ups", node_counts.setups},
                  {"streams_lost", node_counts.streams_lost},
                  {"accounts", node_counts.hellos},
                  {"whole_accounts", node_counts.full_snapshots},
                  {"lives_ended", node_counts.restarts},
                  {"put_right", node_counts.reconciled},
                  {"releases", node_counts.release_requests},
                  {"released", node_counts.released},
                  {"written_off", node_counts.presumed_ended},
                  {"unclaimed", node_counts.orphaned},
                  {"too_old", node_counts.outdated_nodes},
                  {"bad_lines", node_counts.malformed_lines}}}}
               .dump(2) +
           "\n";
}

}  // namespace ivyfield::cli
