#include "day/day.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>

#include "day/schema_text.hpp"  // made from config/day.schema.json by the build

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
        out.faults.push_back({"", e.what()});
        return out;
    }
    out.faults = config::check_schema(kDaySchemaText, doc);
    if (!out.faults.empty()) return out;
    Scenario& d = out.day;
    const auto fault = [&](const std::string& path, const std::string& why) {
        out.faults.push_back({path, why});
    };
    d.name = doc.at("name");
    d.seed = doc.value("seed", std::uint64_t(1));
    d.length = doc.at("length_ms");
    d.directors = doc.at("directors");
    d.director = doc.at("director");
    d.racks_kb = doc.at("racks_kb").get<std::vector<double>>();
    for (const json& n : doc.at("nodes")) {
        NodeGroup g;
        g.count = n.value("count", 1), g.rack = n.at("rack"), g.kind = n.at("kind");
        g.weight = n.value("weight", 1.0), g.cold = n.value("cold", false), g.up = n.value("up", true);
        if (g.rack >= static_cast<int>(d.racks_kb.size()))
            fault("/nodes/" + std::to_string(d.nodes.size()) + "/rack", "racks_kb has no such rack");
        d.nodes.push_back(g);
    }
    int nodes = 0;
    for (const NodeGroup& g : d.nodes) nodes += g.count;
    const auto range = [&](const json& of, const char* key, io::Time& least, io::Time& most) {
        if (!of.contains(key)) return;
        least = of.at(key)[0], most = of.at(key)[1];
        if (least > most) fault(std::string("/") + key, "the first is greater than the second");
    };
    range(doc, "setup_ms", d.min_setup_time, d.max_setup_time);
    d.list_delay = doc.value("list_late_ms", 0.0);
    d.report_interval = doc.value("report_every_ms", 500.0);
    // The director's part is checked as the configuration that it becomes.
    json whole = d.director;
    whole["name"] = "d0", whole["listen"] = "127.0.0.1:1";
    whole["list"] = {{"consul", "127.0.0.1:1"}, {"service", "media"}};
    if (whole.contains("fleet") && whole["fleet"].is_object()) whole["fleet"]["directors"] = d.directors;
    const auto loaded = config::load(whole.dump());
    for (const config::ConfigError& f : loaded.errors) fault("/director" + f.path, f.message);
    if (!out.faults.empty()) return out;
    for (std::size_t k = 0; k < d.nodes.size(); ++k)
        if (std::find(loaded.config.kinds.begin(), loaded.config.kinds.end(), d.nodes[k].kind) ==
            loaded.config.kinds.end())
            fault("/nodes/" + std::to_string(k) + "/kind", "director.fleet.kinds has no such kind");
    for (const json& a : doc.at("arrivals")) {
        Arrivals one;
        one.cls = a.at("class"), one.tenant = a.at("tenant"), one.per_s = a.at("per_s");
        one.titles = a.value("titles", 20);
        range(a, "length_ms", one.min_duration, one.max_duration);
        const std::string path = "/arrivals/" + std::to_string(d.arrivals.size());
        const auto named = [](const auto& all, const std::string& name) {
            return std::any_of(all.begin(), all.end(), [&](const auto& c) { return c.name == name; });
        };
        if (!named(loaded.config.settings.classes, one.cls)) fault(path + "/class", "no such class");
        if (!named(loaded.config.settings.tenants, one.tenant)) fault(path + "/tenant", "no such tenant");
        d.arrivals.push_back(one);
    }
    if (doc.contains("players")) {
        const json& p = doc.at("players");
        d.come_again = p.value("come_again", d.come_again);
        range(p, "again_ms", d.min_return_delay, d.max_return_delay);
        d.ask_twice = p.value("ask_twice", 0.0);
        d.leave_early = p.value("leave_early", 0.0);
        if (p.contains("hints")) d.hints = p.at("hints").get<std::map<std::string, double>>();
    }
    for (const json& f : doc.value("faults", json::array())) {
        FaultSpec one;
        one.kind = f.at("kind"), one.at = f.at("at_ms"), one.length = f.value("for_ms", 0.0);
        one.nodes = f.value("nodes", std::vector<int>{});
        one.directors = f.value("directors", std::vector<int>{});
        one.rack = f.value("rack", 0), one.value = f.value("value", 0.0), one.tenant = f.value("tenant", "");
        const std::string path = "/faults/" + std::to_string(d.faults.size());
        for (const int n : one.nodes)
            if (n >= nodes) fault(path + "/nodes", "there are " + std::to_string(nodes) + " nodes");
        for (const int n : one.directors)
            if (n >= d.directors)
                fault(path + "/directors", "there are " + std::to_string(d.directors) + " directors");
        const bool wants_node = one.kind == "hang" || one.kind == "answers_lost" || one.kind == "errors" ||
                                one.kind == "slow_link" || one.kind == "neighbour" ||
                                one.kind == "late_reports" || one.kind == "crash" || one.kind == "start" ||
                                one.kind == "drain" || one.kind == "drain_wave" ||
                                one.kind == "freeze_after_paid";
        if (wants_node && one.nodes.empty())
            fault(path + "/nodes", "this kind needs nodes: it would hurt nothing");
        if ((one.kind == "director_crash" || one.kind == "director_stall") && one.directors.empty())
            fault(path + "/directors", "this kind needs directors: it would hurt nothing");
        if (one.kind == "slow_link" && !(one.value > 1))
            fault(path + "/value", "so many times less: above 1");
        if ((one.kind == "answers_lost" || one.kind == "errors") && !(one.value > 0 && one.value <= 1))
            fault(path + "/value", "a chance above 0, 1 at most");
        d.faults.push_back(one);
    }
    return out;
}

ScenarioRunner::ScenarioRunner(io::Loop& loop, Scenario file, std::uint64_t seed, DirectorHost& host,
                               io::Time ready_after, std::function<void(const Report&)> done)
    : loop_(loop),
      file_(std::move(file)),
      seed_(seed),
      host_(host),
      done_(std::move(done)),
      random_(seed),
      client_(loop, [] {
          http::ClientLimits limits;
          limits.max_connections_per_address = 4096;
          return limits;
      }()) {
    report_.name = file_.name;
    report_.seed = seed;
    const auto tap = [this](const SocketEvent& t) { taps_.push_back(t); };
    list_ = std::make_unique<standins::ServerListEmulator>(loop_, io::Address{}, "media", tap);
    const json fleet_part = file_.director.at("fleet");
    const json cold = file_.director.value("rules", json::object()).value("cold", json::object());
    fleet::FleetSpec spec;
    spec.rack_kb = file_.racks_kb;
    spec.full_utilization = fleet_part.value("refuses_from", 0.0);
    spec.join_rate_factor = fleet_part.value("join_part", 1.0);
    spec.warmup_time = cold.value("time_ms", 0.0);
    spec.initial_warmth = cold.value("from", 1.0);
    spec.overload_multiple = cold.value("fall_multiple", 0.0);
    spec.overload_window = cold.value("fall_window_ms", 1000.0);
    fleet_ = std::make_unique<fleet::Fleet>(spec);
    std::vector<standins::EmulatedClass> classes;
    for (const json& c : file_.director.at("classes"))
        classes.push_back({c.at("name"), c.value("rate_part", 1.0), c.value("live", false)});
    for (const NodeGroup& g : file_.nodes)
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
            s.min_setup_time = file_.min_setup_time, s.max_setup_time = file_.max_setup_time;
            s.report_interval = file_.report_interval;
            s.note_delay = fleet_part.value("notes_late_ms", 680.0);
            Box box;
            box.node = std::make_unique<standins::NodeEmulator>(loop_, *fleet_, number, s, tap);
            box.up = g.up;
            box.listed.id = s.name, box.listed.kind = g.kind, box.listed.weight = g.weight;
            // The rack is the position modulo the racks.
            box.listed.position = g.rack + number * static_cast<int>(file_.racks_kb.size());
            boxes_.push_back(std::move(box));
            Box& b = boxes_.back();
            if (!g.up) continue;
            b.node->start(!g.cold);
            b.listed.address = b.node->address();
            if (g.cold) b.listed.started_wall_ms = loop_.wall_ms();
            list_->set_server(b.listed);
        }
    list_->set_update_delay(file_.list_delay);
    for (int k = 0; k < file_.directors; ++k) director_at_.push_back(host_.reserve_address(k));
    for (int k = 0; k < file_.directors; ++k) start_director(k);
    after(ready_after, [this] { begin(); });
}
ScenarioRunner::~ScenarioRunner() = default;

void ScenarioRunner::after(io::Time wait, std::function<void()> task) {
    const std::uint64_t id = ++last_task_;
    tasks_[id] = loop_.after(wait, [this, id, task = std::move(task)] {
        const io::Timer self = std::move(tasks_[id]);
        tasks_.erase(id);
        task();
    });
}

std::string ScenarioRunner::config_of(int number) const {
    json c = file_.director;
    c["name"] = director_name(number);
    c["listen"] = director_at_[static_cast<std::size_t>(number)].text();
    c["list"] = {{"consul", list_->address().text()}, {"service", "media"}, {"wait_ms", 10000}};
    c["fleet"]["directors"] = file_.directors;
    c["fleet"]["self"] = number;
    c["fleet"]["racks"] = file_.racks_kb.size();
    if (!c.contains("log")) c["log"] = {{"path", ""}};
    return c.dump(2);
}
void ScenarioRunner::start_director(int number) {
    host_.start(number, config_of(number));
    const auto it = down_since_.find(number);
    if (it == down_since_.end()) return;
    // It has to wake, and to hear of the list, before it can be held to anything.
    outages_[it->second].to = loop_.now() + 1000;
    down_since_.erase(it);
}
void ScenarioRunner::kill_director(int number) {
    if (down_since_.count(number)) return;
    host_.kill(number);
    down_since_[number] = outages_.size();
    outages_.push_back({director_name(number), loop_.now(), 1e18});
}

void ScenarioRunner::begin() {
    began_ = loop_.now();
    arrivals_.resize(file_.arrivals.size());
    for (std::size_t k = 0; k < file_.arrivals.size(); ++k) next_arrival(k);
    for (const FaultSpec& f : file_.faults) after(f.at, [this, f] { fault(f); });
    look();
}

void ScenarioRunner::next_arrival(std::size_t of) {
    const Arrivals& a = file_.arrivals[of];
    double rate = a.per_s / 1000 * burst_;
    if (const auto it = tenant_burst_.find(a.tenant); it != tenant_burst_.end()) rate *= it->second;
    // A rate that changes is met by looking again soon.
    const io::Time gap = rate > 0 ? std::exponential_distribution<double>(rate)(random_) : 1e9;
    const bool comes = gap < 200;
    arrivals_[of] = loop_.after(std::min(gap, 200.0), [this, of, comes] {
        if (loop_.now() - began_ >= file_.length) return;
        if (comes) arrive(file_.arrivals[of]);
        next_arrival(of);
    });
}

std::pair<std::string, io::Address> ScenarioRunner::pick_director() {
    // Viewers go on coming to a director that is dead for a while; later the names lead elsewhere.
    std::vector<int> able;
    for (int k = 0; k < file_.directors; ++k) {
        const auto it = down_since_.find(k);
        if (it == down_since_.end() || loop_.now() - outages_[it->second].from < 1500) able.push_back(k);
    }
    if (able.empty()) able.push_back(0);
    const int k = able[std::uniform_int_distribution<std::size_t>(0, able.size() - 1)(random_)];
    return {director_name(k), director_at_[static_cast<std::size_t>(k)]};
}

void ScenarioRunner::arrive(const Arrivals& a) {
    standins::PlayerSettings v;
    const std::uint64_t id = ++last_viewer_;
    v.name = "viewer-" + std::to_string(id);
    v.sid = "sid-" + std::to_string(seed_) + "-" + std::to_string(id);
    v.tenant = a.tenant, v.cls = a.cls;
    // Some titles are wanted far more than others.
    const double u = std::uniform_real_distribution<double>(0, 1)(random_);
    v.title = a.cls + "-" + std::to_string(static_cast<int>(a.titles * u * u * u));
    const json& f = file_.director.at("fleet");
    for (const json& c : file_.director.at("classes")) {
        if (c.at("name") != a.cls) continue;
        v.paid = c.at("repeat") == "paid";
        v.patience = c.at("patience_ms"), v.aim = c.at("aim_ms"), v.worth = c.at("worth");
        v.rung_kb = f.at("rung_kb").get<std::vector<double>>();
        for (double& kb : v.rung_kb) kb *= c.value("rate_part", 1.0);
        v.rung_worth = f.at("rung_worth").get<std::vector<double>>();
        v.top = std::min(c.value("top", 1000), static_cast<int>(v.rung_kb.size()) - 1);
    }
    const auto chance = [this](double p) { return std::bernoulli_distribution(p)(random_); };
    if (v.top > 1 && chance(0.25)) v.top -= 1;
    v.length = std::uniform_real_distribution<double>(a.min_duration, a.max_duration)(random_);
    v.return_probability = file_.come_again, v.min_return_delay = file_.min_return_delay,
    v.max_return_delay = file_.max_return_delay;
    v.shortfall_penalty = f.value("short_points", 6.0);
    v.hints = chance(0.5) ? standins::HintStyle::query : standins::HintStyle::headers;
    static const std::pair<const char*, standins::HintStyle> styles[] = {
        {"missing", standins::HintStyle::missing},
        {"malformed", standins::HintStyle::malformed},
        {"contradictory", standins::HintStyle::contradictory},
        {"over_long", standins::HintStyle::over_long}};
    double u2 = std::uniform_real_distribution<double>(0, 1)(random_);
    for (const auto& [name, style] : styles) {
        const auto it = file_.hints.find(name);
        const double p = it == file_.hints.end() ? 0 : it->second;
        if (u2 >= 0 && u2 < p) v.hints = style;
        u2 -= p;
    }
    v.sends_duplicate = chance(file_.ask_twice);
    if (chance(file_.leave_early)) v.leave_after = std::uniform_real_distribution<double>(0, 300)(random_);
    viewers_[id] = std::make_unique<standins::PlayerEmulator>(
        loop_, client_, v, [this] { return pick_director(); },
        [this](const SocketEvent& t) { taps_.push_back(t); },
        [this, id](const standins::PlayerResult& r) {
            for (SessionTotals* row :
                 {&report_.all, &report_.by_class[r.cls], &report_.by_tenant[r.tenant]}) {
                row->viewers += 1, row->started += r.started, row->in_time += r.in_time;
                row->refused += r.refused, row->failed += r.failed, row->broke += r.broke;
                row->abandoned += r.abandoned, row->tries += r.tries;
                row->offered += r.offered, row->earned += r.earned;
            }
            const std::shared_ptr<standins::PlayerEmulator> keep(std::move(viewers_.at(id)));
            viewers_.erase(id);
            loop_.post([keep] {});
        });
}

// ---- Faults ----

void ScenarioRunner::fault(const FaultSpec& f) {
    report_.fault_counts[f.kind] += 1;
    const auto each = [&](auto&& begin, auto&& end) {
        for (const int n : f.nodes) {
            begin(n);
            after(f.length, [n, end] { end(n); });
        }
    };
    const auto node = [this](int n) -> standins::NodeEmulator& {
        return *boxes_[static_cast<std::size_t>(n)].node;
    };
    const auto relist = [this](int n, const char* state) {
        Box& b = boxes_[static_cast<std::size_t>(n)];
        b.listed.state = state;
        b.listed.address = b.node->address();
        list_->set_server(b.listed);
    };
    const auto start = [this, relist](int n) {
        Box& b = boxes_[static_cast<std::size_t>(n)];
        if (b.up) return;
        b.up = true;
        b.node->start(false);
        b.listed.started_wall_ms = loop_.wall_ms();
        relist(n, "ready");
    };
    const auto crash = [this](int n) {
        Box& b = boxes_[static_cast<std::size_t>(n)];
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
        after(f.length, [this, f] { fleet_->set_uplink_background(f.rack, 0); });
    } else if (f.kind == "late_reports") {
        each([&](int n) { node(n).set_report_delay(f.value); },
             [node](int n) { node(n).set_report_delay(0); });
    } else if (f.kind == "stale_list") {
        list_->set_stale(true);
        after(f.length, [this] { list_->set_stale(false); });
    } else if (f.kind == "silent_list") {
        list_->set_hung(true);
        after(f.length, [this] { list_->set_hung(false); });
    } else if (f.kind == "crash") {  // silent, and back cold
        each([&](int n) { crash(n); }, [start](int n) { start(n); });
    } else if (f.kind == "start") {
        for (const int n : f.nodes) start(n);
    } else if (f.kind == "drain" || f.kind == "drain_wave") {
        io::Time wait = 0;
        for (const int n : f.nodes) {
            after(wait, [relist, n] { relist(n, "draining"); });
            if (f.length > 0) after(wait + f.length, [relist, n] { relist(n, "ready"); });
            if (f.kind == "drain_wave") wait += f.value;
        }
    } else if (f.kind == "director_crash") {
        for (const int d : f.directors) {
            kill_director(d);
            after(f.length, [this, d] { start_director(d); });
        }
    } else if (f.kind == "director_roll") {
        io::Time wait = 0;
        for (int d = 0; d < file_.directors; ++d, wait += f.length * 2) {
            after(wait, [this, d] { kill_director(d); });
            after(wait + f.length, [this, d] { start_director(d); });
        }
    } else if (f.kind == "director_stall") {
        for (const int d : f.directors) {
            host_.set_stalled(d, true);
            outages_.push_back({director_name(d), loop_.now(), loop_.now() + f.length + 200, false});
            after(f.length, [this, d] { host_.set_stalled(d, false); });
        }
    } else if (f.kind == "burst") {
        burst_ = f.value;
        after(f.length, [this] { burst_ = 1; });
    } else if (f.kind == "tenant_burst") {
        tenant_burst_[f.tenant] = f.value;
        after(f.length, [this, f] { tenant_burst_.erase(f.tenant); });
    }
}

// ---- The end ----

void ScenarioRunner::look() {
    for (int k = 0; k < file_.directors; ++k)
        if (!down_since_.count(k) && !host_.is_running(k)) {
            report_.exited_directors.push_back(director_name(k));
            down_since_[k] = outages_.size();
            outages_.push_back({director_name(k), loop_.now(), 1e18});
        }
    const io::Time passed = loop_.now() - began_;
    const bool all_came = passed >= file_.length + 300;
    if (all_came && (viewers_.empty() || passed > file_.length + 120000)) return finish();
    look_ = loop_.after(100, [this] { look(); });
}
void ScenarioRunner::finish() {
    if (over_) return;
    over_ = true;
    audit::RuleLimits terms;
    const json& c = file_.director;
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
    report_.verdict = audit::check_rules(taps_, terms, outages_);
    for (const SocketEvent& t : taps_) {
        report_.setups += t.type == "setup";
        report_.further_attempts += t.type == "setup" && t.attempt > 0;
        report_.completed_setups += t.type == "ran";
        report_.duplicate_requests += t.type == "ask_again";
    }
    done_(report_);
}

std::string Report::table() const {
    std::string out = "day " + name + ", seed " + std::to_string(seed) + "\n\n";
    char line[200];
    std::snprintf(line, sizeof line, "%-22s %8s %8s %8s %8s %8s %8s %8s %8s\n", "", "viewers", "played",
                  "in time", "refused", "failed", "left", "broke", "worth");
    out += line;
    const auto row = [&](const std::string& label, const SessionTotals& r) {
        std::snprintf(line, sizeof line, "%-22s %8d %8d %8d %8d %8d %8d %8d %7.1f%%\n", label.c_str(),
                      r.viewers, r.started, r.in_time, r.refused, r.failed, r.abandoned, r.broke,
                      r.offered > 0 ? 100 * r.earned / r.offered : 0);
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
        const auto it = verdict.check_counts.find(rule);
        std::snprintf(line, sizeof line, "rule %d  %-26s %-8s (put to the test %d times)\n", rule,
                      audit::rule_name(rule), verdict.is_kept(rule) ? "kept" : "BROKEN",
                      it == verdict.check_counts.end() ? 0 : it->second);
        out += line;
    }
    std::size_t shown = 0;
    for (const audit::Violation& b : verdict.violations) {
        if (++shown > 10) break;
        out += "  rule " + std::to_string(b.rule) + " at " + std::to_string(std::llround(b.at)) +
               " ms: " + b.description + "\n";
    }
    if (verdict.violations.size() > 10)
        out += "  and " + std::to_string(verdict.violations.size() - 10) + " more\n";
    for (const std::string& d : exited_directors) out += "director " + d + " ended by itself\n";
    return out;
}
nlohmann::json Report::json() const {
    const auto row = [](const SessionTotals& r) {
        return nlohmann::json{{"viewers", r.viewers}, {"played", r.started}, {"in_time", r.in_time},
                              {"refused", r.refused}, {"failed", r.failed},  {"abandoned", r.abandoned},
                              {"broke", r.broke},     {"tries", r.tries},    {"offered", r.offered},
                              {"earned", r.earned}};
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
        const auto it = verdict.check_counts.find(rule);
        out["rules"][std::to_string(rule)] = {{"name", audit::rule_name(rule)},
                                              {"kept", verdict.is_kept(rule)},
                                              {"checked", it == verdict.check_counts.end() ? 0 : it->second}};
    }
    out["breaches"] = nlohmann::json::array();
    for (const audit::Violation& b : verdict.violations)
        out["breaches"].push_back({{"rule", b.rule}, {"at_ms", b.at}, {"what", b.description}});
    return out;
}

}  // namespace ivyfield::day
