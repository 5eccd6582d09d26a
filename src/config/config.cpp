#include "config/config.hpp"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "config/schema_text.hpp"  // made from config/schema.json by the build

namespace ivyfield::config {

using nlohmann::json;

const char* schema_text() { return kSchemaText; }

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw std::runtime_error("can't read " + path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

std::vector<Fault> check_schema(const std::string& schema, const json& document) {
    valijson::Schema parsed;
    valijson::SchemaParser parser;
    const json schema_json = json::parse(schema);
    const valijson::adapters::NlohmannJsonAdapter schema_adapter(schema_json);
    parser.populateSchema(schema_adapter, parsed);
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter target(document);
    std::vector<Fault> faults;
    if (validator.validate(parsed, target, &results)) return faults;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        std::string path;
        for (const std::string& part : error.context) {
            if (part == "<root>") continue;
            // valijson writes [key]; a JSON pointer has /key.
            path += "/" + (part.size() >= 2 && part.front() == '[' ? part.substr(1, part.size() - 2) : part);
        }
        // In words that help: valijson names its own constraints.
        std::string why = error.description;
        const std::string unknown = "Object contains a property that could not be validated";
        if (why.compare(0, unknown.size(), unknown) == 0 && why.find(": ") != std::string::npos)
            why = "unknown field " + why.substr(why.rfind(": ") + 2);
        faults.push_back({path, why});
    }
    // "Failed to validate against child schema" of a parent says nothing that its child has not said better.
    std::vector<Fault> told;
    for (const Fault& f : faults) {
        bool deeper = false;
        for (const Fault& g : faults)
            deeper =
                deeper || (g.path.size() > f.path.size() && g.path.compare(0, f.path.size(), f.path) == 0);
        if (!(deeper && f.why.find("Failed to validate against schema") != std::string::npos))
            told.push_back(f);
    }
    return told;
}

namespace {

class Reader {
  public:
    Reader(const json& at, std::string path, std::vector<Fault>& faults)
        : at_(at), path_(std::move(path)), faults_(faults) {}
    template <typename T>
    void get(const char* key, T& into) const {
        if (at_.contains(key)) into = at_.at(key).get<T>();
    }
    Reader child(const char* key) const {
        static const json empty = json::object();
        return {at_.contains(key) ? at_.at(key) : empty, path_ + "/" + key, faults_};
    }
    void address(const char* key, io::Address& into) const {
        try {
            into = io::Address::parse(at_.at(key).get<std::string>());
        } catch (const std::invalid_argument& e) {
            fault(std::string("/") + key, e.what());
        }
    }
    void fault(const std::string& below, const std::string& why) const {
        faults_.push_back({path_ + below, why});
    }
    bool has(const char* key) const { return at_.contains(key); }
    const json& raw() const { return at_; }

  private:
    const json& at_;
    std::string path_;
    std::vector<Fault>& faults_;
};

void read_fleet(const Reader& f, Config& c) {
    Settings& s = c.settings;
    f.get("directors", s.directors);
    f.get("self", s.self_index);
    f.get("zone", s.zone);
    f.get("cells", s.cells);
    f.get("racks", s.racks);
    c.copies = std::max(1, s.cells);
    f.get("copies", c.copies);
    for (const json& kind : f.raw().at("kinds")) {
        c.kinds.push_back(kind.at("name"));
        s.max_streams_by_kind.push_back(kind.at("streams"));
    }
    f.get("rung_kb", s.rung_kb);
    f.get("rung_worth", s.rung_worth);
    f.get("link_kb", s.link_kb);
    f.get("rack_kb", s.rack_kb);
    f.get("fleet_kb", s.fleet_kb);
    s.use_weights = true;
    f.get("weighted", s.use_weights);
    f.get("refuses_from", s.full_utilization);
    f.get("join_part", s.join_rate_factor);
    f.get("short_points", s.shortfall_penalty);
    f.get("notes_late_ms", s.note_delay);
    f.get("switch_cost_s", s.switch_cost_s);
    f.get("over_share_worth", s.over_share_worth);
    f.get("move_price", s.move_price);
    f.get("probe_price", s.probe_price);
    f.get("cross_zone_price", s.cross_zone_price);
    if (s.rung_kb.size() != s.rung_worth.size())
        f.fault("/rung_worth", "has " + std::to_string(s.rung_worth.size()) + " rungs, rung_kb has " +
                                   std::to_string(s.rung_kb.size()));
    for (std::size_t k = 1; k < s.rung_kb.size(); ++k)
        if (s.rung_kb[k] <= s.rung_kb[k - 1])
            f.fault("/rung_kb/" + std::to_string(k), "a ladder rises: not above the rung before it");
    if (s.self_index >= s.directors)
        f.fault("/self", "not below directors, which is " + std::to_string(s.directors));
    if (s.cells > 0 && c.copies > s.cells) f.fault("/copies", "more copies than cells");
}

void read_rules(const Reader& r, Config& c) {
    Settings& s = c.settings;
    s.max_attempts = 4;
    s.connect_timeout = 250;
    s.answer_slack = 40;
    s.drain_stop_within = 500;
    s.can_probe = true;
    s.can_cancel = true;
    s.max_retry_after = 2000;
    r.get("max_attempts", s.max_attempts);
    r.get("retry_after_ms", s.max_retry_after);
    r.get("connect_timeout_ms", s.connect_timeout);
    r.get("answer_slack_ms", s.answer_slack);
    r.get("stop_within_ms", s.drain_stop_within);
    r.get("probes", s.can_probe);
    const Reader cold = r.child("cold");
    cold.get("time_ms", s.warmup_time);
    cold.get("from", s.initial_warmth);
    cold.get("fall_multiple", s.overload_multiple);
    cold.get("fall_window_ms", s.overload_window);
    if (r.has("budget")) {
        const Reader b = r.child("budget");
        RetryBudgetSettings budget;
        b.get("per_request", budget.retries_per_request);
        b.get("free", budget.free_retries);
        b.get("window_ms", budget.window);
        s.retry_budget = budget;
    }
}

void read_classes(const json& doc, Config& c, std::vector<Fault>& faults) {
    const int rungs = static_cast<int>(c.settings.rung_kb.size());
    int k = 0;
    for (const json& one : doc.at("classes")) {
        const Reader r(one, "/classes/" + std::to_string(k++), faults);
        ClassSettings cls;
        r.get("name", cls.name);
        r.get("worth", cls.worth);
        r.get("aim_ms", cls.startup_target);
        r.get("patience_ms", cls.patience);
        cls.idempotency = one.at("repeat") == "paid" ? Idempotency::non_idempotent : Idempotency::idempotent;
        r.get("floor", cls.min_rung);
        cls.max_rung = rungs - 1;
        r.get("top", cls.max_rung);
        cls.rate_factor = 1;
        r.get("rate_part", cls.rate_factor);
        r.get("seats", cls.seats);
        r.get("live", cls.live);
        if (cls.max_rung >= rungs)
            r.fault("/top", "the ladder's highest rung is " + std::to_string(rungs - 1));
        if (cls.min_rung > cls.max_rung) r.fault("/floor", "above the class's top");
        if (cls.startup_target > cls.patience)
            r.fault("/aim_ms", "later than patience_ms: the viewer would be gone");
        for (const ClassSettings& other : c.settings.classes)
            if (other.name == cls.name) r.fault("/name", "another class has this name");
        c.settings.classes.push_back(cls);
    }
}
void read_tenants(const json& doc, Config& c, std::vector<Fault>& faults) {
    int k = 0;
    double shares = 0;
    for (const json& one : doc.at("tenants")) {
        const Reader r(one, "/tenants/" + std::to_string(k++), faults);
        TenantSettings t;
        r.get("name", t.name);
        r.get("quota_per_s", t.quota_per_s);
        r.get("share", t.share);
        shares += t.share;
        for (const TenantSettings& other : c.settings.tenants)
            if (other.name == t.name) r.fault("/name", "another tenant has this name");
        c.settings.tenants.push_back(t);
    }
    if (shares > 1 + 1e-9) faults.push_back({"/tenants", "the shares add up to more than 1"});
}

}  // namespace

Loaded load(const std::string& text) {
    Loaded out;
    json doc;
    try {
        doc = json::parse(text);
    } catch (const json::parse_error& e) {
        out.faults.push_back({"", e.what()});
        return out;
    }
    out.faults = check_schema(kSchemaText, doc);
    if (!out.faults.empty()) return out;
    Config& c = out.config;
    const Reader r(doc, "", out.faults);
    r.get("name", c.name);
    r.address("listen", c.listen);
    if (r.has("seed")) c.seed = doc.at("seed").get<std::uint64_t>();
    r.child("log").get("path", c.log_path);
    r.child("log").get("level", c.log_level);
    const Reader list = r.child("list");
    list.address("consul", c.consul);
    list.get("service", c.service);
    list.get("wait_ms", c.list_wait_ms);
    list.get("stale", c.list_stale);
    list.get("longest_stale_ms", c.longest_stale_ms);
    r.child("nodes").get("connections", c.node_connections);
    r.child("nodes").get("silent_ms", c.node_silent_ms);
    r.child("players").get("connections", c.player_connections);
    r.child("players").get("idle_ms", c.player_idle_ms);
    read_fleet(r.child("fleet"), c);
    read_rules(r.child("rules"), c);
    read_classes(doc, c, out.faults);
    read_tenants(doc, c, out.faults);
    // What nodes report when probed, in the order of docs/node-protocol.md.
    c.settings.report_fields = {ReportField::streams, ReportField::link, ReportField::uplink};
    return out;
}

Loaded load_file(const std::string& path) {
    try {
        return load(read_file(path));
    } catch (const std::runtime_error& e) {
        Loaded out;
        out.faults.push_back({"", e.what()});
        return out;
    }
}

}  // namespace ivyfield::config
