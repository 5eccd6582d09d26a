#include "settings/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

namespace ivyfield::settings {

namespace {

class Values {
  public:
    explicit Values(std::string_view text) {
        while (!text.empty()) {
            const std::size_t end = std::min(text.find('\n'), text.size());
            const std::string_view line = text.substr(0, end);
            text.remove_prefix(std::min(end + 1, text.size()));
            if (line.empty() || line == "\r") continue;
            const std::size_t eq = line.find('=');
            if (eq == std::string_view::npos)
                throw SettingsError("setting without '=': " + std::string(line));
            values_[std::string(line.substr(0, eq))] = std::string(line.substr(eq + 1));
        }
    }
    bool has(const std::string& key) const { return values_.count(key) != 0; }
    std::string text(const std::string& key, const std::string& absent = "") const {
        const auto it = values_.find(key);
        return it == values_.end() ? absent : it->second;
    }
    double number(const std::string& key, double absent) const {
        return has(key) ? parse(key, values_.at(key)) : absent;
    }
    int count(const std::string& key, int absent) const {
        const double value = number(key, absent);
        if (!(value >= 0 && value <= 1e6)) throw SettingsError("setting out of range: " + key);
        return static_cast<int>(value);
    }
    bool flag(const std::string& key, bool absent) const {
        const std::string value = text(key, absent ? "true" : "false");
        if (value != "true" && value != "false")
            throw SettingsError("setting is neither true nor false: " + key);
        return value == "true";
    }
    std::vector<std::string> list(const std::string& key) const {
        std::vector<std::string> items;
        std::string rest = text(key);
        if (rest.empty()) return items;
        for (std::size_t comma; (comma = rest.find(',')) != std::string::npos; rest.erase(0, comma + 1))
            items.push_back(rest.substr(0, comma));
        items.push_back(rest);
        return items;
    }
    std::vector<double> numbers(const std::string& key) const {
        std::vector<double> out;
        for (const std::string& item : list(key)) out.push_back(parse(key, item));
        return out;
    }

  private:
    static double parse(const std::string& key, const std::string& text) {
        double value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
            throw SettingsError("setting is not a number: " + key + "=" + text);
        return value;
    }
    std::map<std::string, std::string> values_;
};

Idempotency repeat_of(const std::string& word) {
    if (word == "pure") return Idempotency::idempotent;
    if (word == "token") return Idempotency::keyed;
    if (word == "side_effect") return Idempotency::non_idempotent;
    throw SettingsError("unknown effect of a class: " + word);
}

RetryScope group_of(const std::string& word) {
    if (word == "zone") return RetryScope::same_zone;
    if (word == "cell") return RetryScope::same_cell;
    return RetryScope::anywhere;
}

ReportField field_of(const std::string& name) {
    static const std::map<std::string, ReportField> names = {
        {"inflight", ReportField::streams}, {"queue", ReportField::queue},
        {"util", ReportField::link_capped}, {"latency_ms", ReportField::setup_ms},
        {"qps", ReportField::setups_per_s}, {"eps", ReportField::errors_per_s},
        {"x0", ReportField::link},          {"x1", ReportField::uplink}};
    const auto it = names.find(name);
    return it == names.end() ? ReportField::other : it->second;
}

template <typename T>
T at_or(const std::vector<T>& list, std::size_t k, T absent) {
    return k < list.size() ? list[k] : absent;
}

}  // namespace

Settings parse(std::string_view text) {
    const Values v(text);
    Settings s;
    s.directors = v.count("balancers", 1);
    s.self_index = v.count("self_index", 0);
    s.zone = v.count("az", 0);
    s.list_on_request = v.text("discovery", "pushed") == "on_request";
    s.can_probe = v.flag("limits.probes", false);
    s.can_cancel = v.flag("limits.cancel", false);
    s.use_weights = v.text("weight_source", "none") != "none";
    s.max_attempts = v.count("limits.max_attempts", 1);
    s.max_retry_after = v.flag("limits.retry_after", false) ? v.number("limits.max_retry_after_ms", 0) : 0;
    s.connect_timeout = v.number("limits.connect_timeout_ms", 0);
    s.answer_slack = v.number("safety.answer_slack_ms", 0);
    s.drain_stop_within = v.number("safety.stop_sending_within_ms", 0);
    s.max_list_poll_interval = v.number("safety.ask_within_ms", 0);
    s.initial_warmth = v.number("safety.cold_from", 1);
    s.warmup_time = v.number("safety.cold_ms", 0);
    s.overload_multiple = v.number("safety.tip_multiple", 0);
    s.overload_window = v.number("safety.tip_after_ms", 0);
    if (v.has("safety.resend_ratio") && v.has("safety.resend_span_ms"))
        s.retry_budget =
            RetryBudgetSettings{v.number("safety.resend_ratio", 0), v.number("safety.free_resends", 0),
                                v.number("safety.resend_span_ms", 0)};
    const std::string f = "family_info.";
    s.cells = v.count(f + "places", 0);
    s.racks = v.count(f + "racks", 0);
    s.max_streams_by_kind = v.numbers(f + "kind_slots");
    s.fleet_kb = v.number(f + "fleet_kb", 0);
    s.rack_kb = v.number(f + "rack_kb", 0);
    s.link_kb = v.number(f + "weight_kb", 0);
    s.full_utilization = v.number(f + "refuses_from", 0);
    s.join_rate_factor = v.number(f + "shared_adds", 1);
    s.rung_kb = v.numbers(f + "rung_kb");
    s.rung_worth = v.numbers(f + "rung_worth");
    if (s.rung_kb.size() != s.rung_worth.size())
        throw SettingsError("rung_kb and rung_worth differ in length");
    s.shortfall_penalty = v.number(f + "stall", 0);
    s.note_delay = v.number(f + "seen_after_ms", 0);
    s.link_note_interval = v.number(f + "told_every_ms", 0);
    s.switch_cost_s = v.number(f + "switch_cost_s", 0);
    s.over_share_worth = v.number("over_share_worth", 1);
    s.cross_zone_price = v.number("fees.cross_zone", 0);
    s.probe_price = v.number("fees.probe", 0);
    s.move_price = v.number("fees.moves", 0);
    const auto floors = v.numbers(f + "class_floor"), tops = v.numbers(f + "top_by_class");
    const auto parts = v.numbers(f + "rate_factor"), seats = v.numbers(f + "licence_cap");
    const auto live = v.list(f + "class_live");
    const int rungs = static_cast<int>(s.rung_kb.size());
    for (int k = 0; k < v.count("classes.count", 0); ++k) {
        const std::string p = "classes." + std::to_string(k) + ".";
        ClassSettings c;
        c.name = v.text(p + "name");
        c.worth = v.number(p + "importance", 1);
        c.startup_target = v.number(p + "objective_ms", 0);
        c.patience = v.number(p + "give_up_ms", 0);
        c.idempotency = repeat_of(v.text(p + "effect", "side_effect"));
        c.retry_scope = group_of(v.text(p + "group", "all"));
        c.retry_window = v.number(p + "window_ms", 0);
        c.min_rung = static_cast<int>(at_or(floors, k, 0.0));
        c.max_rung = std::min(rungs - 1, static_cast<int>(at_or(tops, k, double(rungs - 1))));
        c.rate_factor = at_or(parts, k, 1.0);
        c.seats = static_cast<int>(at_or(seats, k, 0.0));
        c.live = at_or(live, k, std::string("false")) == "true";
        s.classes.push_back(c);
    }
    for (int k = 0; k < v.count("orgs.count", 0); ++k) {
        const std::string p = "orgs." + std::to_string(k) + ".";
        s.tenants.push_back({v.text(p + "name"), v.number(p + "quota_rps", 0), v.number(p + "share", 0)});
    }
    for (const std::string& name : v.list("telemetry.names")) s.report_fields.push_back(field_of(name));
    return s;
}

}  // namespace ivyfield::settings
