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
    Scenario& d = out.scenario;
    const auto add_error = [&](const std::string& path, const std::string& why) {
        out.errors.push_back({path, why});
    };
    d.name = doc.at("name");
    d.seed = doc.value("seed", std::uint64_t(1));
    d.duration = doc.at("length_ms");
    d.director_count = doc.at("directors");
    d.director_config = doc.at("director");
    d.racks_kb = doc.at("racks_kb").get<std::vector<double>>();
    for (const json& n : doc.at("nodes")) {
        NodeGroup g;
        g.count = n.value("count", 1), g.rack = n.at("rack"), g.kind = n.at("kind");
        g.weight = n.value("weight", 1.0), g.cold = n.value("cold", false), g.up = n.value("up", true);
        if (g.rack >= static_cast<int>(d.racks_kb.size()))
            add_error("/nodes/" + std::to_string(d.node_groups.size()) + "/rack",
                      "racks_kb has no such rack");
        d.node_groups.push_back(g);
    }
    int nodes = 0;
    for (const NodeGroup& g : d.node_groups) nodes += g.count;
    const auto read_range = [&](const json& of, const char* key, io::Time& min, io::Time& max) {
        if (!of.contains(key)) return;
        min = of.at(key)[0], max = of.at(key)[1];
        if (min > max) add_error(std::string("/") + key, "the minimum is greater than the maximum");
    };
    read_range(doc, "setup_ms", d.min_setup_time, d.max_setup_time);
    d.list_delay = doc.value("list_late_ms", 0.0);
    d.report_interval = doc.value("report_every_ms", 500.0);
    // The director part is checked as the complete configuration that a director will get.
    json whole = d.director_config;
    whole["name"] = "d0", whole["listen"] = "127.0.0.1:1";
    whole["list"] = {{"consul", "127.0.0.1:1"}, {"service", "media"}};
    if (whole.contains("fleet") && whole["fleet"].is_object()) whole["fleet"]["directors"] = d.director_count;
    const auto loaded = config::load(whole.dump());
    for (const config::ConfigError& f : loaded.errors) add_error("/director" + f.path, f.message);
    if (!out.errors.empty()) return out;
    for (std::size_t k = 0; k < d.node_groups.size(); ++k)
        if (std::find(loaded.config.kinds.begin(), loaded.config.kinds.end(), d.node_groups[k].kind) ==
            loaded.config.kinds.end())
            add_error("/nodes/" + std::to_string(k) + "/kind", "director.fleet.kinds has no such kind");
    for (const json& a : doc.at("arrivals")) {
        ArrivalSpec one;
        one.cls = a.at("class"), one.tenant = a.at("tenant"), one.rate_per_s = a.at("per_s");
        one.title_count = a.value("titles", 20);
        read_range(a, "length_ms", one.min_duration, one.max_duration);
        const std::string path = "/arrivals/" + std::to_string(d.arrivals.size());
        const auto has_name = [](const auto& all, const std::string& name) {
            return std::any_of(all.begin(), all.end(), [&](const auto& c) { return c.name == name; });
        };
        if (!has_name(loaded.config.settings.classes, one.cls)) add_error(path + "/class", "no such class");
        if (!has_name(loaded.config.settings.tenants, one.tenant))
            add_error(path + "/tenant", "no such tenant");
        d.arrivals.push_back(one);
    }
    if (doc.contains("players")) {
        const json& p = doc.at("players");
        d.return_probability = p.value("come_again", d.return_probability);
        read_range(p, "again_ms", d.min_return_delay, d.max_return_delay);
        d.duplicate_probability = p.value("ask_twice", 0.0);
        d.leave_probability = p.value("leave_early", 0.0);
        if (p.contains("hints")) d.hint_probabilities = p.at("hints").get<std::map<std::string, double>>();
    }
    for (const json& f : doc.value("faults", json::array())) {
        FaultSpec one;
        one.kind = f.at("kind"), one.start = f.at("at_ms"), one.duration = f.value("for_ms", 0.0);
        one.nodes = f.value("nodes", std::vector<int>{});
        one.directors = f.value("directors", std::vector<int>{});
        one.rack = f.value("rack", 0), one.value = f.value("value", 0.0), one.tenant = f.value("tenant", "");
        const std::string path = "/faults/" + std::to_string(d.faults.size());
        for (const int n : one.nodes)
            if (n >= nodes) add_error(path + "/nodes", "there are " + std::to_string(nodes) + " nodes");
        for (const int n : one.directors)
            if (n >= d.director_count)
                add_error(path + "/directors",
                          "there are " + std::to_string(d.director_count) + " directors");
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
        d.faults.push_back(one);
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
    const auto record_event = [this](const SocketEvent& t) { events_.push_back(t); };
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
    for (const NodeGroup& g : scenario_.node_groups)
        for (int k = 0; k < g.count; ++k) {
            fleet::NodeSpec node;
            node.rack = g.rack;
            node.link_kb = g.weight * fleet_part.at("link_kb").get<double>();
            for (const json& kind : fleet_part.at("kinds"))
                if (kind.at("name") == g.kind)
                    node.max_streams = static_cast<int>(kind.at("streams").get<double>());
            const int number = fleet_->add_node(node);
            standins::NodeSettings s;
            s.name = "n" + std::to_string(number);
            s.rung_kb = fleet_part.at("rung_kb").get<std::vector<double>>();
            s.classes = classes;
            s.min_setup_time = scenario_.min_setup_time, s.max_setup_time = scenario_.max_setup_time;
            s.report_interval = scenario_.report_interval;
            s.note_delay = fleet_part.value("notes_late_ms", 680.0);
            ListedNode listed_node;
            listed_node.node =
                std::make_unique<standins::NodeEmulator>(loop_, *fleet_, number, s, record_event);
            listed_node.up = g.up;
            listed_node.listed.id = s.name, listed_node.listed.kind = g.kind,
            listed_node.listed.weight = g.weight;
            // Directors derive the rack from the position, modulo the number of racks.
            listed_node.listed.position = g.rack + number * static_cast<int>(scenario_.racks_kb.size());
            nodes_.push_back(std::move(listed_node));
            ListedNode& b = nodes_.back();
            if (!g.up) continue;
            b.node->start(!g.cold);
            b.listed.address = b.node->address();
            if (g.cold) b.listed.started_wall_ms = loop_.wall_ms();
            server_list_->set_server(b.listed);
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
    json c = scenario_.director_config;
    c["name"] = director_name(number);
    c["listen"] = director_addresses_[static_cast<std::size_t>(number)].text();
    c["list"] = {{"consul", server_list_->address().text()}, {"service", "media"}, {"wait_ms", 10000}};
    c["fleet"]["directors"] = scenario_.director_count;
    c["fleet"]["self"] = number;
    c["fleet"]["racks"] = scenario_.racks_kb.size();
    if (!c.contains("log")) c["log"] = {{"path", ""}};
    return c.dump(2);
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

void ScenarioRunner::schedule_arrival(std::size_t of) {
    const ArrivalSpec& a = scenario_.arrivals[of];
    double rate = a.rate_per_s / 1000 * arrival_factor_;
    if (const auto it = tenant_factors_.find(a.tenant); it != tenant_factors_.end()) rate *= it->second;
    // Drawn again after 200 ms at the latest, so that a change of the rate takes effect.
    const io::Time gap = rate > 0 ? std::exponential_distribution<double>(rate)(random_) : 1e9;
    const bool arrives = gap < 200;
    arrival_timers_[of] = loop_.after(std::min(gap, 200.0), [this, of, arrives] {
        if (loop_.now() - started_at_ >= scenario_.duration) return;
        if (arrives) start_player(scenario_.arrivals[of]);
        schedule_arrival(of);
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

void ScenarioRunner::start_player(const ArrivalSpec& a) {
    standins::PlayerSettings v;
    const std::uint64_t id = ++last_player_id_;
    v.name = "viewer-" + std::to_string(id);
    v.sid = "sid-" + std::to_string(seed_) + "-" + std::to_string(id);
    v.tenant = a.tenant, v.cls = a.cls;
    // Titles with low numbers are requested far more often than the others.
    const double u = std::uniform_real_distribution<double>(0, 1)(random_);
    v.title = a.cls + "-" + std::to_string(static_cast<int>(a.title_count * u * u * u));
    const json& f = scenario_.director_config.at("fleet");
    for (const json& c : scenario_.director_config.at("classes")) {
        if (c.at("name") != a.cls) continue;
        v.non_idempotent = c.at("repeat") == "paid";
        v.patience = c.at("patience_ms"), v.startup_target = c.at("aim_ms"), v.worth = c.at("worth");
        v.rung_kb = f.at("rung_kb").get<std::vector<double>>();
        for (double& kb : v.rung_kb) kb *= c.value("rate_part", 1.0);
        v.rung_worth = f.at("rung_worth").get<std::vector<double>>();
        v.max_rung = std::min(c.value("top", 1000), static_cast<int>(v.rung_kb.size()) - 1);
    }
    const auto chance = [this](double p) { return std::bernoulli_distribution(p)(random_); };
    if (v.max_rung > 1 && chance(0.25)) v.max_rung -= 1;
    v.watch_duration = std::uniform_real_distribution<double>(a.min_duration, a.max_duration)(random_);
    v.return_probability = scenario_.return_probability, v.min_return_delay = scenario_.min_return_delay,
    v.max_return_delay = scenario_.max_return_delay;
    v.shortfall_penalty = f.value("short_points", 6.0);
    v.hint_style = chance(0.5) ? standins::HintStyle::query : standins::HintStyle::headers;
    static const std::pair<const char*, standins::HintStyle> styles[] = {
        {"missing", standins::HintStyle::missing},
        {"malformed", standins::HintStyle::malformed},
        {"contradictory", standins::HintStyle::contradictory},
        {"over_long", standins::HintStyle::over_long}};
    double u2 = std::uniform_real_distribution<double>(0, 1)(random_);
    for (const auto& [name, style] : styles) {
        const auto it = scenario_.hint_probabilities.find(name);
        const double p = it == scenario_.hint_probabilities.end() ? 0 : it->second;
        if (u2 >= 0 && u2 < p) v.hint_style = style;
        u2 -= p;
    }
    v.sends_duplicate = chance(scenario_.duplicate_probability);
    if (chance(scenario_.leave_probability))
        v.leave_after = std::uniform_real_distribution<double>(0, 300)(random_);
    players_[id] = std::make_unique<standins::PlayerEmulator>(
        loop_, client_, v, [this] { return pick_director(); },
        [this](const SocketEvent& t) { events_.push_back(t); },
        [this, id](const standins::PlayerResult& r) {
            for (SessionTotals* row :
                 {&report_.all, &report_.by_class[r.cls], &report_.by_tenant[r.tenant]}) {
                row->viewers += 1, row->started += r.started, row->in_time += r.in_time;
                row->rejected += r.rejected, row->failed += r.failed, row->errors += r.errors;
                row->abandoned += r.abandoned, row->tries += r.tries;
                row->offered_worth += r.offered_worth, row->earned_worth += r.earned_worth;
            }
            const std::shared_ptr<standins::PlayerEmulator> keep(std::move(players_.at(id)));
            players_.erase(id);
            loop_.post([keep] {});
        });
}

// ---- Injected faults ----

void ScenarioRunner::inject_fault(const FaultSpec& f) {
    report_.fault_counts[f.kind] += 1;
    const auto each = [&](auto&& begin, auto&& end) {
        for (const int n : f.nodes) {
            begin(n);
            schedule(f.duration, [n, end] { end(n); });
        }
    };
    const auto node = [this](int n) -> standins::NodeEmulator& {
        return *nodes_[static_cast<std::size_t>(n)].node;
    };
    const auto relist = [this](int n, const char* state) {
        ListedNode& b = nodes_[static_cast<std::size_t>(n)];
        b.listed.state = state;
        b.listed.address = b.node->address();
        server_list_->set_server(b.listed);
    };
    const auto start = [this, relist](int n) {
        ListedNode& b = nodes_[static_cast<std::size_t>(n)];
        if (b.up) return;
        b.up = true;
        b.node->start(false);
        b.listed.started_wall_ms = loop_.wall_ms();
        relist(n, "ready");
    };
    const auto crash = [this](int n) {
        ListedNode& b = nodes_[static_cast<std::size_t>(n)];
        b.up = false;
        b.node->crash();
    };
    if (f.kind == "hang") {
        each([&](int n) { node(n).set_hung(true); }, [node](int n) { node(n).set_hung(false); });
    } else if (f.kind == "freeze_after_paid") {
        each([&](int n) { node(n).set_hang_after_paid_setup(true); },
             [node](int n) { node(n).set_hang_after_paid_setup(false), node(n).set_hung(false); });
    } else if (f.kind == "answers_lost") {
        each([&](int n) { node(n).set_answer_loss_probability(f.value); },
             [node](int n) { node(n).set_answer_loss_probability(0); });
    } else if (f.kind == "errors") {
        each([&](int n) { node(n).set_error_probability(f.value); },
             [node](int n) { node(n).set_error_probability(0); });
    } else if (f.kind == "slow_link") {
        each([&](int n) { fleet_->set_link_factor(n, 1 / f.value); },
             [this](int n) { fleet_->set_link_factor(n, 1); });
    } else if (f.kind == "neighbour") {
        each([&](int n) { fleet_->set_link_background(n, f.value); },
             [this](int n) { fleet_->set_link_background(n, 0); });
    } else if (f.kind == "uplink_neighbour") {
        fleet_->set_uplink_background(f.rack, f.value);
        schedule(f.duration, [this, f] { fleet_->set_uplink_background(f.rack, 0); });
    } else if (f.kind == "late_reports") {
        each([&](int n) { node(n).set_report_delay(f.value); },
             [node](int n) { node(n).set_report_delay(0); });
    } else if (f.kind == "stale_list") {
        server_list_->set_stale(true);
        schedule(f.duration, [this] { server_list_->set_stale(false); });
    } else if (f.kind == "silent_list") {
        server_list_->set_hung(true);
        schedule(f.duration, [this] { server_list_->set_hung(false); });
    } else if (f.kind == "crash") {  // without notice; the node restarts cold
        each([&](int n) { crash(n); }, [start](int n) { start(n); });
    } else if (f.kind == "start") {
        for (const int n : f.nodes) start(n);
    } else if (f.kind == "drain" || f.kind == "drain_wave") {
        io::Time wait = 0;
        for (const int n : f.nodes) {
            schedule(wait, [relist, n] { relist(n, "draining"); });
            if (f.duration > 0) schedule(wait + f.duration, [relist, n] { relist(n, "ready"); });
            if (f.kind == "drain_wave") wait += f.value;
        }
    } else if (f.kind == "director_crash") {
        for (const int d : f.directors) {
            kill_director(d);
            schedule(f.duration, [this, d] { start_director(d); });
        }
    } else if (f.kind == "director_roll") {
        io::Time wait = 0;
        for (int d = 0; d < scenario_.director_count; ++d, wait += f.duration * 2) {
            schedule(wait, [this, d] { kill_director(d); });
            schedule(wait + f.duration, [this, d] { start_director(d); });
        }
    } else if (f.kind == "director_stall") {
        for (const int d : f.directors) {
            host_.set_stalled(d, true);
            outages_.push_back({director_name(d), loop_.now(), loop_.now() + f.duration + 200, false});
            schedule(f.duration, [this, d] { host_.set_stalled(d, false); });
        }
    } else if (f.kind == "burst") {
        arrival_factor_ = f.value;
        schedule(f.duration, [this] { arrival_factor_ = 1; });
    } else if (f.kind == "tenant_burst") {
        tenant_factors_[f.tenant] = f.value;
        schedule(f.duration, [this, f] { tenant_factors_.erase(f.tenant); });
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
    audit::RuleLimits terms;
    const json& c = scenario_.director_config;
    for (const json& one : c.at("classes"))
        terms.classes[one.at("name")] = {one.at("repeat") == "paid", one.value("floor", 0),
                                         one.value("seats", 0), one.at("patience_ms")};
    const json rules = c.value("rules", json::object());
    terms.network_tolerance = host_.timing_tolerance();
    terms.answer_tolerance = rules.value("answer_slack_ms", 40.0);
    terms.drain_stop_within = rules.value("stop_within_ms", 500.0);
    if (rules.contains("budget")) {
        terms.has_retry_budget = true;
        terms.free_retries = rules["budget"].at("free");
        terms.retries_per_request = rules["budget"].at("per_request");
        terms.retry_window = rules["budget"].at("window_ms");
    }
    report_.audit_result = audit::check_rules(events_, terms, outages_);
    for (const SocketEvent& t : events_) {
        report_.setups += t.type == "setup";
        report_.further_attempts += t.type == "setup" && t.attempt > 0;
        report_.completed_setups += t.type == "ran";
        report_.duplicate_requests += t.type == "ask_again";
    }
    on_finished_(report_);
}

std::string Report::format_table() const {
    std::string out = "day " + name + ", seed " + std::to_string(seed) + "\n\n";
    char line[200];
    std::snprintf(line, sizeof line, "%-22s %8s %8s %8s %8s %8s %8s %8s %8s\n", "", "viewers", "played",
                  "in time", "refused", "failed", "left", "broke", "worth");
    out += line;
    const auto row = [&](const std::string& label, const SessionTotals& r) {
        std::snprintf(line, sizeof line, "%-22s %8d %8d %8d %8d %8d %8d %8d %7.1f%%\n", label.c_str(),
                      r.viewers, r.started, r.in_time, r.rejected, r.failed, r.abandoned, r.errors,
                      r.offered_worth > 0 ? 100 * r.earned_worth / r.offered_worth : 0);
        out += line;
    };
    for (const auto& [label, r] : by_class) row(label, r);
    for (const auto& [label, r] : by_tenant) row("tenant " + label, r);
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
    for (const audit::Violation& b : audit_result.violations) {
        if (++shown > 10) break;
        out += "  rule " + std::to_string(b.rule) + " at " + std::to_string(std::llround(b.at)) +
               " ms: " + b.description + "\n";
    }
    if (audit_result.violations.size() > 10)
        out += "  and " + std::to_string(audit_result.violations.size() - 10) + " more\n";
    for (const std::string& d : exited_directors) out += "director " + d + " ended by itself\n";
    return out;
}
nlohmann::json Report::to_json() const {
    const auto row = [](const SessionTotals& r) {
        return nlohmann::json{{"viewers", r.viewers},    {"played", r.started}, {"in_time", r.in_time},
                              {"refused", r.rejected},   {"failed", r.failed},  {"abandoned", r.abandoned},
                              {"broke", r.errors},       {"tries", r.tries},    {"offered", r.offered_worth},
                              {"earned", r.earned_worth}};
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
    for (const auto& [label, r] : by_class) out["classes"][label] = row(r);
    for (const auto& [label, r] : by_tenant) out["tenants"][label] = row(r);
    for (int rule = 1; rule <= 6; ++rule) {
        const auto it = audit_result.check_counts.find(rule);
        out["rules"][std::to_string(rule)] = {
            {"name", audit::rule_name(rule)},
            {"kept", audit_result.is_kept(rule)},
            {"checked", it == audit_result.check_counts.end() ? 0 : it->second}};
    }
    out["breaches"] = nlohmann::json::array();
    for (const audit::Violation& b : audit_result.violations)
        out["breaches"].push_back({{"rule", b.rule}, {"at_ms", b.at}, {"what", b.description}});
    return out;
}

}  // namespace ivyfield::day
