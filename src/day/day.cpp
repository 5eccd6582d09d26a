#include "day/day.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>

#include "day/schema_text.hpp"  // generated from config/day.schema.json by the build

namespace ivyfield::day {

using nlohmann::json;
using standins::SocketEvent;

const char* scenario_schema_text() { return kDaySchemaText; }

LoadedScenario load_scenario(const std::string& text) {
    LoadedScenario out;
    json doc;
    try {
        doc = json::parse(text);
    } catch (const json::parse_error& e) {
        out.errors.push_back({"", e.what()});
        return out;
    }
    out.errors = config::check_schema(kDaySchemaText, doc);
    if (!out.errors.empty()) return out;
    Scenario& scenario = out.scenario;
    const auto add_error = [&](const std::string& path, const std::string& why) {
        out.errors.push_back({path, why});
    };
    scenario.name = doc.at("name");
    scenario.seed = doc.value("seed", std::uint64_t(1));
    scenario.duration = doc.at("length_ms");
    scenario.director_count = doc.at("directors");
    scenario.director_config = doc.at("director");
    scenario.racks_kb = doc.at("racks_kb").get<std::vector<double>>();
    for (const json& node : doc.at("nodes")) {
        NodeGroup group;
        group.count = node.value("count", 1), group.rack = node.at("rack"), group.kind = node.at("kind");
        group.weight = node.value("weight", 1.0), group.cold = node.value("cold", false),
        group.up = node.value("up", true);
        if (group.rack >= static_cast<int>(scenario.racks_kb.size()))
            add_error("/nodes/" + std::to_string(scenario.node_groups.size()) + "/rack",
                      "racks_kb has no such rack");
        scenario.node_groups.push_back(group);
    }
    int nodes = 0;
    for (const NodeGroup& group : scenario.node_groups) nodes += group.count;
    const auto read_range = [&](const json& of, const char* key, io::Time& min, io::Time& max) {
        if (!of.contains(key)) return;
        min = of.at(key)[0], max = of.at(key)[1];
        if (min > max) add_error(std::string("/") + key, "the minimum is greater than the maximum");
    };
    read_range(doc, "setup_ms", scenario.min_setup_time, scenario.max_setup_time);
    scenario.list_delay = doc.value("list_late_ms", 0.0);
    scenario.report_interval = doc.value("report_every_ms", 500.0);
    // The director part is checked as the complete configuration that a director will get.
    json whole = scenario.director_config;
    whole["name"] = "d0", whole["listen"] = "127.0.0.1:1";
    whole["list"] = {{"consul", "127.0.0.1:1"}, {"service", "media"}};
    if (whole.contains("fleet") && whole["fleet"].is_object())
        whole["fleet"]["directors"] = scenario.director_count;
    const auto loaded = config::load(whole.dump());
    for (const config::ConfigError& error : loaded.errors) add_error("/director" + error.path, error.message);
    if (!out.errors.empty()) return out;
    for (std::size_t k = 0; k < scenario.node_groups.size(); ++k)
        if (std::find(loaded.config.kinds.begin(), loaded.config.kinds.end(), scenario.node_groups[k].kind) ==
            loaded.config.kinds.end())
            add_error("/nodes/" + std::to_string(k) + "/kind", "director.fleet.kinds has no such kind");
    for (const json& arrival : doc.at("arrivals")) {
        ArrivalSpec one;
        one.cls = arrival.at("class"), one.tenant = arrival.at("tenant"),
        one.rate_per_s = arrival.at("per_s");
        one.title_count = arrival.value("titles", 20);
        read_range(arrival, "length_ms", one.min_duration, one.max_duration);
        const std::string path = "/arrivals/" + std::to_string(scenario.arrivals.size());
        const auto has_name = [](const auto& all, const std::string& name) {
            return std::any_of(all.begin(), all.end(), [&](const auto& c) { return c.name == name; });
        };
        if (!has_name(loaded.config.settings.classes, one.cls)) add_error(path + "/class", "no such class");
        if (!has_name(loaded.config.settings.tenants, one.tenant))
            add_error(path + "/tenant", "no such tenant");
        scenario.arrivals.push_back(one);
    }
    if (doc.contains("players")) {
        const json& players = doc.at("players");
        scenario.return_probability = players.value("come_again", scenario.return_probability);
        read_range(players, "again_ms", scenario.min_return_delay, scenario.max_return_delay);
        scenario.duplicate_probability = players.value("ask_twice", 0.0);
        scenario.leave_probability = players.value("leave_early", 0.0);
        if (players.contains("hints"))
            scenario.hint_probabilities = players.at("hints").get<std::map<std::string, double>>();
    }
    for (const json& fault : doc.value("faults", json::array())) {
        FaultSpec one;
        one.kind = fault.at("kind"), one.start = fault.at("at_ms"), one.duration = fault.value("for_ms", 0.0);
        one.nodes = fault.value("nodes", std::vector<int>{});
        one.directors = fault.value("directors", std::vector<int>{});
        one.rack = fault.value("rack", 0), one.value = fault.value("value", 0.0),
        one.tenant = fault.value("tenant", "");
        const std::string path = "/faults/" + std::to_string(scenario.faults.size());
        for (const int n : one.nodes)
            if (n >= nodes) add_error(path + "/nodes", "there are " + std::to_string(nodes) + " nodes");
        for (const int n : one.directors)
            if (n >= scenario.director_count)
                add_error(path + "/directors",
                          "there are " + std::to_string(scenario.director_count) + " directors");
        const bool needs_nodes = one.kind == "hang" || one.kind == "answers_lost" || one.kind == "errors" ||
                                 one.kind == "slow_link" || one.kind == "neighbour" ||
                                 one.kind == "late_reports" || one.kind == "crash" || one.kind == "start" ||
                                 one.kind == "drain" || one.kind == "drain_wave" ||
                                 one.kind == "freeze_after_paid";
        if (needs_nodes && one.nodes.empty())
            add_error(path + "/nodes", "this kind needs nodes, without them it has no effect");
        if ((one.kind == "director_crash" || one.kind == "director_stall") && one.directors.empty())
            add_error(path + "/directors", "this kind needs directors, without them it has no effect");
        if (one.kind == "slow_link" && !(one.value > 1))
            add_error(path + "/value", "the factor by which the link is slower has to be above 1");
        if ((one.kind == "answers_lost" || one.kind == "errors") && !(one.value > 0 && one.value <= 1))
            add_error(path + "/value", "the probability has to be above 0 and at most 1");
        scenario.faults.push_back(one);
    }
    return out;
}

ScenarioRunner::ScenarioRunner(io::Loop& loop, Scenario file, std::uint64_t seed, DirectorHost& host,
                               io::Time ready_after, std::function<void(const Report&)> on_finished)
    : loop_(loop),
      scenario_(std::move(file)),
      seed_(seed),
      host_(host),
      on_finished_(std::move(on_finished)),
      random_(seed),
      client_(loop, [] {
          http::ClientLimits limits;
          limits.max_connections_per_address = 4096;
          return limits;
      }()) {
    report_.name = scenario_.name;
    report_.seed = seed;
    const auto record_event = [this](const SocketEvent& event) { events_.push_back(event); };
    server_list_ =
        std::make_unique<standins::ServerListEmulator>(loop_, io::Address{}, "media", record_event);
    const json fleet_part = scenario_.director_config.at("fleet");
    const json cold = scenario_.director_config.value("rules", json::object()).value("cold", json::object());
    fleet::FleetSpec spec;
    spec.rack_kb = scenario_.racks_kb;
    spec.full_utilization = fleet_part.value("refuses_from", 0.0);
    spec.join_rate_factor = fleet_part.value("join_part", 1.0);
    spec.warmup_time = cold.value("time_ms", 0.0);
    spec.initial_warmth = cold.value("from", 1.0);
    spec.overload_multiple = cold.value("fall_multiple", 0.0);
    spec.overload_window = cold.value("fall_window_ms", 1000.0);
    fleet_ = std::make_unique<fleet::Fleet>(spec);
    std::vector<standins::EmulatedClass> classes;
    for (const json& c : scenario_.director_config.at("classes"))
        classes.push_back({c.at("name"), c.value("rate_part", 1.0), c.value("live", false)});
    for (const NodeGroup& group : scenario_.node_groups)
        for (int k = 0; k < group.count; ++k) {
            fleet::NodeSpec node;
            node.rack = group.rack;
            node.link_kb = group.weight * fleet_part.at("link_kb").get<double>();
            for (const json& kind : fleet_part.at("kinds"))
                if (kind.at("name") == group.kind)
                    node.max_streams = static_cast<int>(kind.at("streams").get<double>());
            const int number = fleet_->add_node(node);
            standins::NodeSettings node_settings;
            node_settings.name = "n" + std::to_string(number);
            node_settings.rung_kb = fleet_part.at("rung_kb").get<std::vector<double>>();
            node_settings.classes = classes;
            node_settings.min_setup_time = scenario_.min_setup_time,
            node_settings.max_setup_time = scenario_.max_setup_time;
            node_settings.report_interval = scenario_.report_interval;
            node_settings.note_delay = fleet_part.value("notes_late_ms", 680.0);
            ListedNode listed_node;
            listed_node.emulator =
                std::make_unique<standins::NodeEmulator>(loop_, *fleet_, number, node_settings, record_event);
            listed_node.up = group.up;
            listed_node.entry.id = node_settings.name, listed_node.entry.kind = group.kind,
            listed_node.entry.weight = group.weight;
            // Directors derive the rack from the position, modulo the number of racks.
            listed_node.entry.position = group.rack + number * static_cast<int>(scenario_.racks_kb.size());
            nodes_.push_back(std::move(listed_node));
            ListedNode& added_node = nodes_.back();
            if (!group.up) continue;
            added_node.emulator->start(!group.cold);
            added_node.entry.address = added_node.emulator->address();
            if (group.cold) added_node.entry.started_wall_ms = loop_.wall_ms();
            server_list_->set_server(added_node.entry);
        }
    server_list_->set_update_delay(scenario_.list_delay);
    for (int k = 0; k < scenario_.director_count; ++k)
        director_addresses_.push_back(host_.reserve_address(k));
    for (int k = 0; k < scenario_.director_count; ++k) start_director(k);
    schedule(ready_after, [this] { start_scenario(); });
}
ScenarioRunner::~ScenarioRunner() = default;

void ScenarioRunner::schedule(io::Time wait, std::function<void()> task) {
    const std::uint64_t id = ++last_task_id_;
    tasks_[id] = loop_.after(wait, [this, id, task = std::move(task)] {
        const io::Timer self = std::move(tasks_[id]);
        tasks_.erase(id);
        task();
    });
}

std::string ScenarioRunner::make_director_config(int number) const {
    json config = scenario_.director_config;
    config["name"] = director_name(number);
    config["listen"] = director_addresses_[static_cast<std::size_t>(number)].text();
    config["list"] = {{"consul", server_list_->address().text()}, {"service", "media"}, {"wait_ms", 10000}};
    config["fleet"]["directors"] = scenario_.director_count;
    config["fleet"]["self"] = number;
    config["fleet"]["racks"] = scenario_.racks_kb.size();
    if (!config.contains("log")) config["log"] = {{"path", ""}};
    return config.dump(2);
}
void ScenarioRunner::start_director(int number) {
    host_.start(number, make_director_config(number));
    const auto it = open_outages_.find(number);
    if (it == open_outages_.end()) return;
    // The director needs time to start and to fetch the server list before the rules apply to it.
    outages_[it->second].to = loop_.now() + 1000;
    open_outages_.erase(it);
}
void ScenarioRunner::kill_director(int number) {
    if (open_outages_.count(number)) return;
    host_.kill(number);
    open_outages_[number] = outages_.size();
    outages_.push_back({director_name(number), loop_.now(), 1e18});
}

void ScenarioRunner::start_scenario() {
    started_at_ = loop_.now();
    arrival_timers_.resize(scenario_.arrivals.size());
    for (std::size_t k = 0; k < scenario_.arrivals.size(); ++k) schedule_arrival(k);
    for (const FaultSpec& f : scenario_.faults) schedule(f.start, [this, f] { inject_fault(f); });
    check_progress();
}

void ScenarioRunner::schedule_arrival(std::size_t index) {
    const ArrivalSpec& arrival = scenario_.arrivals[index];
    double rate = arrival.rate_per_s / 1000 * arrival_factor_;
    if (const auto it = tenant_factors_.find(arrival.tenant); it != tenant_factors_.end()) rate *= it->second;
    // Drawn again after 200 ms at the latest, so that a change of the rate takes effect.
    const io::Time gap = rate > 0 ? std::exponential_distribution<double>(rate)(random_) : 1e9;
    const bool arrives = gap < 200;
    arrival_timers_[index] = loop_.after(std::min(gap, 200.0), [this, index, arrives] {
        if (loop_.now() - started_at_ >= scenario_.duration) return;
        if (arrives) start_player(scenario_.arrivals[index]);
        schedule_arrival(index);
    });
}

std::pair<std::string, io::Address> ScenarioRunner::pick_director() {
    // Viewers keep coming to a director that is down for 1.5 s; later name resolution leads elsewhere.
    std::vector<int> candidates;
    for (int k = 0; k < scenario_.director_count; ++k) {
        const auto it = open_outages_.find(k);
        if (it == open_outages_.end() || loop_.now() - outages_[it->second].from < 1500)
            candidates.push_back(k);
    }
    if (candidates.empty()) candidates.push_back(0);
    const int k = candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random_)];
    return {director_name(k), director_addresses_[static_cast<std::size_t>(k)]};
}

void ScenarioRunner::start_player(const ArrivalSpec& arrival) {
    standins::PlayerSettings settings;
    const std::uint64_t id = ++last_player_id_;
    settings.name = "viewer-" + std::to_string(id);
    settings.sid = "sid-" + std::to_string(seed_) + "-" + std::to_string(id);
    settings.tenant = arrival.tenant, settings.cls = arrival.cls;
    // Titles with low numbers are requested far more often than the others.
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    settings.title =
        arrival.cls + "-" + std::to_string(static_cast<int>(arrival.title_count * draw * draw * draw));
    const json& fleet_part = scenario_.director_config.at("fleet");
    for (const json& class_config : scenario_.director_config.at("classes")) {
        if (class_config.at("name") != arrival.cls) continue;
        settings.non_idempotent = class_config.at("repeat") == "paid";
        settings.patience = class_config.at("patience_ms"),
        settings.startup_target = class_config.at("aim_ms"), settings.worth = class_config.at("worth");
        settings.rung_kb = fleet_part.at("rung_kb").get<std::vector<double>>();
        for (double& kb : settings.rung_kb) kb *= class_config.value("rate_part", 1.0);
        settings.rung_worth = fleet_part.at("rung_worth").get<std::vector<double>>();
        settings.max_rung =
            std::min(class_config.value("top", 1000), static_cast<int>(settings.rung_kb.size()) - 1);
    }
    const auto chance = [this](double probability) {
        return std::bernoulli_distribution(probability)(random_);
    };
    if (settings.max_rung > 1 && chance(0.25)) settings.max_rung -= 1;
    settings.watch_duration =
        std::uniform_real_distribution<double>(arrival.min_duration, arrival.max_duration)(random_);
    settings.return_probability = scenario_.return_probability,
    settings.min_return_delay = scenario_.min_return_delay,
    settings.max_return_delay = scenario_.max_return_delay;
    settings.shortfall_penalty = fleet_part.value("short_points", 6.0);
    settings.hint_style = chance(0.5) ? standins::HintStyle::query : standins::HintStyle::headers;
    static const std::pair<const char*, standins::HintStyle> styles[] = {
        {"missing", standins::HintStyle::missing},
        {"malformed", standins::HintStyle::malformed},
        {"contradictory", standins::HintStyle::contradictory},
        {"over_long", standins::HintStyle::over_long}};
    double hint_draw = std::uniform_real_distribution<double>(0, 1)(random_);
    for (const auto& [name, style] : styles) {
        const auto it = scenario_.hint_probabilities.find(name);
        const double probability = it == scenario_.hint_probabilities.end() ? 0 : it->second;
        if (hint_draw >= 0 && hint_draw < probability) settings.hint_style = style;
        hint_draw -= probability;
    }
    settings.sends_duplicate = chance(scenario_.duplicate_probability);
    if (chance(scenario_.leave_probability))
        settings.leave_after = std::uniform_real_distribution<double>(0, 300)(random_);
    players_[id] = std::make_unique<standins::PlayerEmulator>(
        loop_, client_, settings, [this] { return pick_director(); },
        [this](const SocketEvent& event) { events_.push_back(event); },
        [this, id](const standins::PlayerResult& result) {
            for (SessionTotals* row :
                 {&report_.all, &report_.by_class[result.cls], &report_.by_tenant[result.tenant]}) {
                row->viewers += 1, row->started += result.started, row->in_time += result.in_time;
                row->rejected += result.rejected, row->failed += result.failed, row->errors += result.errors;
                row->abandoned += result.abandoned, row->tries += result.tries;
                row->offered_worth += result.offered_worth, row->earned_worth += result.earned_worth;
            }
            const std::shared_ptr<standins::PlayerEmulator> finished_player(std::move(players_.at(id)));
            players_.erase(id);
            loop_.post([finished_player] {});
        });
}

// ---- Injected faults ----

void ScenarioRunner::inject_fault(const FaultSpec& fault) {
    report_.fault_counts[fault.kind] += 1;
    const auto each = [&](auto&& begin, auto&& end) {
        for (const int number : fault.nodes) {
            begin(number);
            schedule(fault.duration, [number, end] { end(number); });
        }
    };
    const auto node = [this](int number) -> standins::NodeEmulator& {
        return *nodes_[static_cast<std::size_t>(number)].emulator;
    };
    const auto relist = [this](int number, const char* state) {
        ListedNode& listed_node = nodes_[static_cast<std::size_t>(number)];
        listed_node.entry.state = state;
        listed_node.entry.address = listed_node.emulator->address();
        server_list_->set_server(listed_node.entry);
    };
    const auto start = [this, relist](int number) {
        ListedNode& listed_node = nodes_[static_cast<std::size_t>(number)];
        if (listed_node.up) return;
        listed_node.up = true;
        listed_node.emulator->start(false);
        listed_node.entry.started_wall_ms = loop_.wall_ms();
        relist(number, "ready");
    };
    const auto crash = [this](int number) {
        ListedNode& listed_node = nodes_[static_cast<std::size_t>(number)];
        listed_node.up = false;
        listed_node.emulator->crash();
    };
    if (fault.kind == "hang") {
        each([&](int number) { node(number).set_hung(true); },
             [node](int number) { node(number).set_hung(false); });
    } else if (fault.kind == "freeze_after_paid") {
        each([&](int number) { node(number).set_hang_after_paid_setup(true); },
             [node](int number) {
                 node(number).set_hang_after_paid_setup(false), node(number).set_hung(false);
             });
    } else if (fault.kind == "answers_lost") {
        each([&](int number) { node(number).set_answer_loss_probability(fault.value); },
             [node](int number) { node(number).set_answer_loss_probability(0); });
    } else if (fault.kind == "errors") {
        each([&](int number) { node(number).set_error_probability(fault.value); },
             [node](int number) { node(number).set_error_probability(0); });
    } else if (fault.kind == "slow_link") {
        each([&](int number) { fleet_->set_link_factor(number, 1 / fault.value); },
             [this](int number) { fleet_->set_link_factor(number, 1); });
    } else if (fault.kind == "neighbour") {
        each([&](int number) { fleet_->set_link_background(number, fault.value); },
             [this](int number) { fleet_->set_link_background(number, 0); });
    } else if (fault.kind == "uplink_neighbour") {
        fleet_->set_uplink_background(fault.rack, fault.value);
        schedule(fault.duration, [this, fault] { fleet_->set_uplink_background(fault.rack, 0); });
    } else if (fault.kind == "late_reports") {
        each([&](int number) { node(number).set_report_delay(fault.value); },
             [node](int number) { node(number).set_report_delay(0); });
    } else if (fault.kind == "stale_list") {
        server_list_->set_stale(true);
        schedule(fault.duration, [this] { server_list_->set_stale(false); });
    } else if (fault.kind == "silent_list") {
        server_list_->set_hung(true);
        schedule(fault.duration, [this] { server_list_->set_hung(false); });
    } else if (fault.kind == "crash") {  // without notice; the node restarts cold
        each([&](int number) { crash(number); }, [start](int number) { start(number); });
    } else if (fault.kind == "start") {
        for (const int number : fault.nodes) start(number);
    } else if (fault.kind == "drain" || fault.kind == "drain_wave") {
        io::Time wait = 0;
        for (const int number : fault.nodes) {
            schedule(wait, [relist, number] { relist(number, "draining"); });
            if (fault.duration > 0)
                schedule(wait + fault.duration, [relist, number] { relist(number, "ready"); });
            if (fault.kind == "drain_wave") wait += fault.value;
        }
    } else if (fault.kind == "director_crash") {
        for (const int director : fault.directors) {
            kill_director(director);
            schedule(fault.duration, [this, director] { start_director(director); });
        }
    } else if (fault.kind == "director_roll") {
        io::Time wait = 0;
        for (int director = 0; director < scenario_.director_count; ++director, wait += fault.duration * 2) {
            schedule(wait, [this, director] { kill_director(director); });
            schedule(wait + fault.duration, [this, director] { start_director(director); });
        }
    } else if (fault.kind == "director_stall") {
        for (const int director : fault.directors) {
            host_.set_stalled(director, true);
            outages_.push_back(
                {director_name(director), loop_.now(), loop_.now() + fault.duration + 200, false});
            schedule(fault.duration, [this, director] { host_.set_stalled(director, false); });
        }
    } else if (fault.kind == "burst") {
        arrival_factor_ = fault.value;
        schedule(fault.duration, [this] { arrival_factor_ = 1; });
    } else if (fault.kind == "tenant_burst") {
        tenant_factors_[fault.tenant] = fault.value;
        schedule(fault.duration, [this, fault] { tenant_factors_.erase(fault.tenant); });
    }
}

// ---- End of the scenario and report ----

void ScenarioRunner::check_progress() {
    for (int k = 0; k < scenario_.director_count; ++k)
        if (!open_outages_.count(k) && !host_.is_running(k)) {
            report_.exited_directors.push_back(director_name(k));
            open_outages_[k] = outages_.size();
            outages_.push_back({director_name(k), loop_.now(), 1e18});
        }
    const io::Time passed = loop_.now() - started_at_;
    const bool all_arrived = passed >= scenario_.duration + 300;
    if (all_arrived && (players_.empty() || passed > scenario_.duration + 120000)) return finish();
    check_timer_ = loop_.after(100, [this] { check_progress(); });
}
void ScenarioRunner::finish() {
    if (finished_) return;
    finished_ = true;
    audit::RuleLimits limits;
    const json& config = scenario_.director_config;
    for (const json& class_config : config.at("classes"))
        limits.classes[class_config.at("name")] = {
            class_config.at("repeat") == "paid", class_config.value("floor", 0),
            class_config.value("seats", 0), class_config.at("patience_ms")};
    const json rules = config.value("rules", json::object());
    limits.network_tolerance = host_.timing_tolerance();
    limits.answer_tolerance = rules.value("answer_slack_ms", 40.0);
    limits.drain_stop_within = rules.value("stop_within_ms", 500.0);
    if (rules.contains("budget")) {
        limits.has_retry_budget = true;
        limits.free_retries = rules["budget"].at("free");
        limits.retries_per_request = rules["budget"].at("per_request");
        limits.retry_window = rules["budget"].at("window_ms");
    }
    report_.audit_result = audit::check_rules(events_, limits, outages_);
    for (const SocketEvent& event : events_) {
        report_.setups += event.type == "setup";
        report_.further_attempts += event.type == "setup" && event.attempt > 0;
        report_.completed_setups += event.type == "ran";
        report_.duplicate_requests += event.type == "ask_again";
    }
    on_finished_(report_);
}

std::string Report::format_table() const {
    std::string out = "day " + name + ", seed " + std::to_string(seed) + "\n\n";
    char line[200];
    std::snprintf(line, sizeof line, "%-22s %8s %8s %8s %8s %8s %8s %8s %8s\n", "", "viewers", "played",
                  "in time", "refused", "failed", "left", "broke", "worth");
    out += line;
    const auto row = [&](const std::string& label, const SessionTotals& totals) {
        std::snprintf(line, sizeof line, "%-22s %8d %8d %8d %8d %8d %8d %8d %7.1f%%\n", label.c_str(),
                      totals.viewers, totals.started, totals.in_time, totals.rejected, totals.failed,
                      totals.abandoned, totals.errors,
                      totals.offered_worth > 0 ? 100 * totals.earned_worth / totals.offered_worth : 0);
        out += line;
    };
    for (const auto& [label, totals] : by_class) row(label, totals);
    for (const auto& [label, totals] : by_tenant) row("tenant " + label, totals);
    row("all", all);
    out += "\nset-ups " + std::to_string(setups) + ", further attempts " + std::to_string(further_attempts) +
           ", ran " + std::to_string(completed_setups) + ", asked twice " +
           std::to_string(duplicate_requests) + "; faults:";
    for (const auto& [kind, n] : fault_counts) out += " " + kind + (n > 1 ? " x" + std::to_string(n) : "");
    out += "\n\n";
    for (int rule = 1; rule <= 6; ++rule) {
        const auto it = audit_result.check_counts.find(rule);
        std::snprintf(line, sizeof line, "rule %d  %-26s %-8s (put to the test %d times)\n", rule,
                      audit::rule_name(rule), audit_result.is_kept(rule) ? "kept" : "BROKEN",
                      it == audit_result.check_counts.end() ? 0 : it->second);
        out += line;
    }
    std::size_t shown = 0;
    for (const audit::Violation& violation : audit_result.violations) {
        if (++shown > 10) break;
        out += "  rule " + std::to_string(violation.rule) + " at " +
               std::to_string(std::llround(violation.at)) + " ms: " + violation.description + "\n";
    }
    if (audit_result.violations.size() > 10)
        out += "  and " + std::to_string(audit_result.violations.size() - 10) + " more\n";
    for (const std::string& director : exited_directors) out += "director " + director + " ended by itself\n";
    return out;
}
nlohmann::json Report::to_json() const {
    const auto row = [](const SessionTotals& totals) {
        return nlohmann::json{{"viewers", totals.viewers},       {"played", totals.started},
                              {"in_time", totals.in_time},       {"refused", totals.rejected},
                              {"failed", totals.failed},         {"abandoned", totals.abandoned},
                              {"broke", totals.errors},          {"tries", totals.tries},
                              {"offered", totals.offered_worth}, {"earned", totals.earned_worth}};
    };
    nlohmann::json out = {{"name", name},
                          {"seed", seed},
                          {"good", has_passed()},
                          {"all", row(all)},
                          {"set_ups", setups},
                          {"further_attempts", further_attempts},
                          {"ran", completed_setups},
                          {"faults", fault_counts},
                          {"directors_died", exited_directors}};
    for (const auto& [label, totals] : by_class) out["classes"][label] = row(totals);
    for (const auto& [label, totals] : by_tenant) out["tenants"][label] = row(totals);
    for (int rule = 1; rule <= 6; ++rule) {
        const auto it = audit_result.check_counts.find(rule);
        out["rules"][std::to_string(rule)] = {
            {"name", audit::rule_name(rule)},
            {"kept", audit_result.is_kept(rule)},
            {"checked", it == audit_result.check_counts.end() ? 0 : it->second}};
    }
    out["breaches"] = nlohmann::json::array();
    for (const audit::Violation& violation : audit_result.violations)
        out["breaches"].push_back(
            {{"rule", violation.rule}, {"at_ms", violation.at}, {"what", violation.description}});
    return out;
}

}  // namespace ivyfield::day
