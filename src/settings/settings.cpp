#include "settings/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

namespace ivyfield::settings {

namespace {

// The settings text as a map of keys to values. Lookups of an absent key give the fallback; a value of the
// wrong form throws SettingsError.
class SettingsText {
  public:
    explicit SettingsText(std::string_view text) {
        while (!text.empty()) {
            const std::size_t end = std::min(text.find('\n'), text.size());
            const std::string_view line = text.substr(0, end);
            text.remove_prefix(std::min(end + 1, text.size()));
            if (line.empty() || line == "\r") continue;
            const std::size_t equals_sign = line.find('=');
            if (equals_sign == std::string_view::npos)
                throw SettingsError("setting without '=': " + std::string(line));
            values_[std::string(line.substr(0, equals_sign))] = std::string(line.substr(equals_sign + 1));
        }
    }
    bool has(const std::string& key) const { return values_.count(key) != 0; }
    std::string text(const std::string& key, const std::string& fallback = "") const {
        const auto it = values_.find(key);
        return it == values_.end() ? fallback : it->second;
    }
    double number(const std::string& key, double fallback) const {
        return has(key) ? parse_number(key, values_.at(key)) : fallback;
    }
    int count(const std::string& key, int fallback) const {
        const double value = number(key, fallback);
        if (!(value >= 0 && value <= 1e6)) throw SettingsError("setting out of range (0 to 1000000): " + key);
        return static_cast<int>(value);
    }
    bool flag(const std::string& key, bool fallback) const {
        const std::string value = text(key, fallback ? "true" : "false");
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
        std::vector<double> values;
        for (const std::string& item : list(key)) values.push_back(parse_number(key, item));
        return values;
    }

  private:
    static double parse_number(const std::string& key, const std::string& text) {
        double value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
            throw SettingsError("setting is not a number: " + key + "=" + text);
        return value;
    }
    std::map<std::string, std::string> values_;
};

// What the platform calls the effect of a class.
Idempotency parse_idempotency(const std::string& value) {
    if (value == "pure") return Idempotency::idempotent;
    if (value == "token") return Idempotency::keyed;
    if (value == "side_effect") return Idempotency::non_idempotent;
    throw SettingsError("unknown effect of a class: " + value);
}

RetryScope parse_retry_scope(const std::string& value) {
    if (value == "zone") return RetryScope::same_zone;
    if (value == "cell") return RetryScope::same_cell;
    return RetryScope::anywhere;
}

// From the platform's names of telemetry fields; unknown ones become ReportField::other.
ReportField parse_report_field(const std::string& name) {
    static const std::map<std::string, ReportField> names = {
        {"inflight", ReportField::streams}, {"queue", ReportField::queue},
        {"util", ReportField::link_capped}, {"latency_ms", ReportField::setup_ms},
        {"qps", ReportField::setups_per_s}, {"eps", ReportField::errors_per_s},
        {"x0", ReportField::link},          {"x1", ReportField::uplink}};
    const auto it = names.find(name);
    return it == names.end() ? ReportField::other : it->second;
}

template <typename T>
T value_or(const std::vector<T>& list, std::size_t index, T fallback) {
    return index < list.size() ? list[index] : fallback;
}

}  // namespace

Settings parse(std::string_view text) {
    const SettingsText values(text);
    Settings settings;
    settings.directors = values.count("balancers", 1);
    settings.self_index = values.count("self_index", 0);
    settings.zone = values.count("az", 0);
    settings.list_on_request = values.text("discovery", "pushed") == "on_request";
    settings.can_probe = values.flag("limits.probes", false);
    settings.can_cancel = values.flag("limits.cancel", false);
    settings.use_weights = values.text("weight_source", "none") != "none";
    settings.max_attempts = values.count("limits.max_attempts", 1);
    settings.max_retry_after =
        values.flag("limits.retry_after", false) ? values.number("limits.max_retry_after_ms", 0) : 0;
    settings.connect_timeout = values.number("limits.connect_timeout_ms", 0);
    settings.answer_slack = values.number("safety.answer_slack_ms", 0);
    settings.drain_stop_within = values.number("safety.stop_sending_within_ms", 0);
    settings.max_list_poll_interval = values.number("safety.ask_within_ms", 0);
    settings.initial_warmth = values.number("safety.cold_from", 1);
    settings.warmup_time = values.number("safety.cold_ms", 0);
    settings.overload_multiple = values.number("safety.tip_multiple", 0);
    settings.overload_window = values.number("safety.tip_after_ms", 0);
    if (values.has("safety.resend_ratio") && values.has("safety.resend_span_ms"))
        settings.retry_budget = RetryBudgetSettings{values.number("safety.resend_ratio", 0),
                                                    values.number("safety.free_resends", 0),
                                                    values.number("safety.resend_span_ms", 0)};
    const std::string family = "family_info.";
    settings.cells = values.count(family + "places", 0);
    settings.racks = values.count(family + "racks", 0);
    settings.max_streams_by_kind = values.numbers(family + "kind_slots");
    settings.fleet_kb = values.number(family + "fleet_kb", 0);
    settings.rack_kb = values.number(family + "rack_kb", 0);
    settings.link_kb = values.number(family + "weight_kb", 0);
    settings.full_utilization = values.number(family + "refuses_from", 0);
    settings.join_rate_factor = values.number(family + "shared_adds", 1);
    settings.rung_kb = values.numbers(family + "rung_kb");
    settings.rung_worth = values.numbers(family + "rung_worth");
    if (settings.rung_kb.size() != settings.rung_worth.size())
        throw SettingsError("rung_kb and rung_worth differ in length");
    settings.shortfall_penalty = values.number(family + "stall", 0);
    settings.note_delay = values.number(family + "seen_after_ms", 0);
    settings.link_note_interval = values.number(family + "told_every_ms", 0);
    settings.switch_cost_s = values.number(family + "switch_cost_s", 0);
    settings.over_share_worth = values.number("over_share_worth", 1);
    settings.cross_zone_price = values.number("fees.cross_zone", 0);
    settings.probe_price = values.number("fees.probe", 0);
    settings.move_price = values.number("fees.moves", 0);
    const auto min_rungs = values.numbers(family + "class_floor"),
               max_rungs = values.numbers(family + "top_by_class");
    const auto rate_factors = values.numbers(family + "rate_factor"),
               seats = values.numbers(family + "licence_cap");
    const auto live = values.list(family + "class_live");
    const int rungs = static_cast<int>(settings.rung_kb.size());
    for (int k = 0; k < values.count("classes.count", 0); ++k) {
        const std::string prefix = "classes." + std::to_string(k) + ".";
        ClassSettings cls;
        cls.name = values.text(prefix + "name");
        cls.worth = values.number(prefix + "importance", 1);
        cls.startup_target = values.number(prefix + "objective_ms", 0);
        cls.patience = values.number(prefix + "give_up_ms", 0);
        cls.idempotency = parse_idempotency(values.text(prefix + "effect", "side_effect"));
        cls.retry_scope = parse_retry_scope(values.text(prefix + "group", "all"));
        cls.retry_window = values.number(prefix + "window_ms", 0);
        cls.min_rung = static_cast<int>(value_or(min_rungs, k, 0.0));
        cls.max_rung = std::min(rungs - 1, static_cast<int>(value_or(max_rungs, k, double(rungs - 1))));
        cls.rate_factor = value_or(rate_factors, k, 1.0);
        cls.seats = static_cast<int>(value_or(seats, k, 0.0));
        cls.live = value_or(live, k, std::string("false")) == "true";
        settings.classes.push_back(cls);
    }
    for (int k = 0; k < values.count("orgs.count", 0); ++k) {
        const std::string prefix = "orgs." + std::to_string(k) + ".";
        settings.tenants.push_back({values.text(prefix + "name"), values.number(prefix + "quota_rps", 0),
                                    values.number(prefix + "share", 0)});
    }
    for (const std::string& name : values.list("telemetry.names"))
        settings.report_fields.push_back(parse_report_field(name));
    return settings;
}

}  // namespace ivyfield::settings
