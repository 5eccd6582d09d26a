#include "config/config.hpp"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "config/schema_text.hpp"  // generated from config/schema.json by the build

namespace ivyfield::config {

using nlohmann::json;

const char* schema_text() { return kSchemaText; }

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw std::runtime_error("can't read file " + path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

std::vector<ConfigError> check_schema(const std::string& schema, const json& document) {
    valijson::Schema parsed_schema;
    valijson::SchemaParser parser;
    const json schema_json = json::parse(schema);
    const valijson::adapters::NlohmannJsonAdapter schema_adapter(schema_json);
    parser.populateSchema(schema_adapter, parsed_schema);
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter target(document);
    std::vector<ConfigError> errors;
    if (validator.validate(parsed_schema, target, &results)) return errors;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        std::string path;
        for (const std::string& part : error.context) {
            if (part == "<root>") continue;
            // valijson writes a path as [key]; a JSON pointer is written /key.
            path += "/" + (part.size() >= 2 && part.front() == '[' ? part.substr(1, part.size() - 2) : part);
        }
        // valijson describes the constraint that failed; for an unknown field the field is named instead.
        std::string message = error.description;
        const std::string unknown_field = "Object contains a property that could not be validated";
        if (message.compare(0, unknown_field.size(), unknown_field) == 0 &&
            message.find(": ") != std::string::npos)
            message = "unknown field " + message.substr(message.rfind(": ") + 2);
        errors.push_back({path, message});
    }
    // valijson reports "Failed to validate against child schema" for each parent of a value with an error.
    // Such an error is omitted if there is one with a longer path, which is more precise.
    std::vector<ConfigError> reported;
    for (const ConfigError& candidate : errors) {
        bool has_deeper_error = false;
        for (const ConfigError& other : errors)
            has_deeper_error =
                has_deeper_error || (other.path.size() > candidate.path.size() &&
                                     other.path.compare(0, candidate.path.size(), candidate.path) == 0);
        if (!(has_deeper_error &&
              candidate.message.find("Failed to validate against schema") != std::string::npos))
            reported.push_back(candidate);
    }
    return reported;
}

namespace {

// Reads fields of a JSON object that has been validated against the schema, and reports errors with their
// path.
class Reader {
  public:
    Reader(const json& object, std::string path, std::vector<ConfigError>& errors)
        : object_(object), path_(std::move(path)), errors_(errors) {}
    template <typename T>
    void get(const char* key, T& target) const {
        if (object_.contains(key)) target = object_.at(key).get<T>();
    }
    Reader child(const char* key) const {
        static const json empty = json::object();
        return {object_.contains(key) ? object_.at(key) : empty, path_ + "/" + key, errors_};
    }
    void get_address(const char* key, io::Address& target) const {
        try {
            target = io::Address::parse(object_.at(key).get<std::string>());
        } catch (const std::invalid_argument& e) {
            report_error(std::string("/") + key, e.what());
        }
    }
    void report_error(const std::string& subpath, const std::string& message) const {
        errors_.push_back({path_ + subpath, message});
    }
    bool has(const char* key) const { return object_.contains(key); }
    const json& object() const { return object_; }

  private:
    const json& object_;
    std::string path_;
    std::vector<ConfigError>& errors_;
};

void read_fleet(const Reader& fleet, Config& config) {
    Settings& settings = config.settings;
    fleet.get("directors", settings.directors);
    fleet.get("self", settings.self_index);
    fleet.get("zone", settings.zone);
    fleet.get("cells", settings.cells);
    fleet.get("racks", settings.racks);
    config.copies = std::max(1, settings.cells);
    fleet.get("copies", config.copies);
    for (const json& kind : fleet.object().at("kinds")) {
        config.kinds.push_back(kind.at("name"));
        settings.max_streams_by_kind.push_back(kind.at("streams"));
    }
    fleet.get("rung_kb", settings.rung_kb);
    fleet.get("rung_worth", settings.rung_worth);
    fleet.get("link_kb", settings.link_kb);
    fleet.get("rack_kb", settings.rack_kb);
    fleet.get("fleet_kb", settings.fleet_kb);
    settings.use_weights = true;
    fleet.get("weighted", settings.use_weights);
    fleet.get("refuses_from", settings.full_utilization);
    fleet.get("join_part", settings.join_rate_factor);
    fleet.get("short_points", settings.shortfall_penalty);
    fleet.get("notes_late_ms", settings.note_delay);
    fleet.get("switch_cost_s", settings.switch_cost_s);
    fleet.get("over_share_worth", settings.over_share_worth);
    fleet.get("move_price", settings.move_price);
    fleet.get("probe_price", settings.probe_price);
    fleet.get("cross_zone_price", settings.cross_zone_price);
    if (settings.rung_kb.size() != settings.rung_worth.size())
        fleet.report_error("/rung_worth", "has " + std::to_string(settings.rung_worth.size()) +
                                              " rungs, rung_kb has " +
                                              std::to_string(settings.rung_kb.size()));
    for (std::size_t k = 1; k < settings.rung_kb.size(); ++k)
        if (settings.rung_kb[k] <= settings.rung_kb[k - 1])
            fleet.report_error("/rung_kb/" + std::to_string(k),
                               "not above the rung before it: rung_kb must be strictly increasing");
    if (settings.self_index >= settings.directors)
        fleet.report_error("/self",
                           "must be less than directors, which is " + std::to_string(settings.directors));
    if (settings.cells > 0 && config.copies > settings.cells)
        fleet.report_error("/copies", "greater than cells");
}

void read_rules(const Reader& rules, Config& config) {
    Settings& settings = config.settings;
    settings.max_attempts = 4;
    settings.connect_timeout = 250;
    settings.answer_slack = 40;
    settings.drain_stop_within = 500;
    settings.can_probe = true;
    settings.can_cancel = true;
    settings.max_retry_after = 2000;
    rules.get("max_attempts", settings.max_attempts);
    rules.get("retry_after_ms", settings.max_retry_after);
    rules.get("connect_timeout_ms", settings.connect_timeout);
    rules.get("answer_slack_ms", settings.answer_slack);
    rules.get("stop_within_ms", settings.drain_stop_within);
    rules.get("probes", settings.can_probe);
    const Reader cold = rules.child("cold");
    cold.get("time_ms", settings.warmup_time);
    cold.get("from", settings.initial_warmth);
    cold.get("fall_multiple", settings.overload_multiple);
    cold.get("fall_window_ms", settings.overload_window);
    if (rules.has("budget")) {
        const Reader budget_reader = rules.child("budget");
        RetryBudgetSettings budget;
        budget_reader.get("per_request", budget.retries_per_request);
        budget_reader.get("free", budget.free_retries);
        budget_reader.get("window_ms", budget.window);
        settings.retry_budget = budget;
    }
}

void read_classes(const json& doc, Config& config, std::vector<ConfigError>& errors) {
    const int rungs = static_cast<int>(config.settings.rung_kb.size());
    int index = 0;
    for (const json& class_json : doc.at("classes")) {
        const Reader reader(class_json, "/classes/" + std::to_string(index++), errors);
        ClassSettings cls;
        reader.get("name", cls.name);
        reader.get("worth", cls.worth);
        reader.get("aim_ms", cls.startup_target);
        reader.get("patience_ms", cls.patience);
        cls.idempotency =
            class_json.at("repeat") == "paid" ? Idempotency::non_idempotent : Idempotency::idempotent;
        reader.get("floor", cls.min_rung);
        cls.max_rung = rungs - 1;
        reader.get("top", cls.max_rung);
        cls.rate_factor = 1;
        reader.get("rate_part", cls.rate_factor);
        reader.get("seats", cls.seats);
        reader.get("live", cls.live);
        if (cls.max_rung >= rungs)
            reader.report_error("/top",
                                "not on the ladder: the highest rung is " + std::to_string(rungs - 1));
        if (cls.min_rung > cls.max_rung) reader.report_error("/floor", "greater than top");
        if (cls.startup_target > cls.patience)
            reader.report_error("/aim_ms", "greater than patience_ms: the viewer would have left");
        for (const ClassSettings& other : config.settings.classes)
            if (other.name == cls.name) reader.report_error("/name", "another class has this name");
        config.settings.classes.push_back(cls);
    }
}
void read_tenants(const json& doc, Config& config, std::vector<ConfigError>& errors) {
    int index = 0;
    double total_share = 0;
    for (const json& tenant_json : doc.at("tenants")) {
        const Reader reader(tenant_json, "/tenants/" + std::to_string(index++), errors);
        TenantSettings tenant;
        reader.get("name", tenant.name);
        reader.get("quota_per_s", tenant.quota_per_s);
        reader.get("share", tenant.share);
        total_share += tenant.share;
        for (const TenantSettings& other : config.settings.tenants)
            if (other.name == tenant.name) reader.report_error("/name", "another tenant has this name");
        config.settings.tenants.push_back(tenant);
    }
    if (total_share > 1 + 1e-9) errors.push_back({"/tenants", "the shares add up to more than 1"});
}

}  // namespace

LoadResult load(const std::string& text) {
    LoadResult result;
    json doc;
    try {
        doc = json::parse(text);
    } catch (const json::parse_error& e) {
        result.errors.push_back({"", e.what()});
        return result;
    }
    result.errors = check_schema(kSchemaText, doc);
    if (!result.errors.empty()) return result;
    Config& config = result.config;
    const Reader reader(doc, "", result.errors);
    reader.get("name", config.name);
    reader.get_address("listen", config.listen);
    if (reader.has("seed")) config.seed = doc.at("seed").get<std::uint64_t>();
    reader.child("log").get("path", config.log_path);
    reader.child("log").get("level", config.log_level);
    const Reader list = reader.child("list");
    list.get_address("consul", config.consul);
    list.get("service", config.service);
    list.get("wait_ms", config.max_list_wait_ms);
    list.get("stale", config.allow_stale_list);
    list.get("longest_stale_ms", config.max_staleness_ms);
    reader.child("nodes").get("connections", config.max_connections_per_node);
    reader.child("nodes").get("silent_ms", config.node_silence_timeout_ms);
    reader.child("players").get("connections", config.max_player_connections);
    reader.child("players").get("memory_mb", config.memory_mb);
    reader.child("players").get("idle_ms", config.player_idle_timeout_ms);
    read_fleet(reader.child("fleet"), config);
    read_rules(reader.child("rules"), config);
    read_classes(doc, config, result.errors);
    read_tenants(doc, config, result.errors);
    // The values that a node reports when it is probed, in the order of docs/node-protocol.md.
    config.settings.report_fields = {ReportField::streams, ReportField::link, ReportField::uplink};
    return result;
}

LoadResult load_file(const std::string& path) {
    try {
        return load(read_file(path));
    } catch (const std::runtime_error& e) {
        LoadResult result;
        result.errors.push_back({"", e.what()});
        return result;
    }
}

}  // namespace ivyfield::config
