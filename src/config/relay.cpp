#include "config/relay.hpp"

#include <cmath>
#include <set>
#include <stdexcept>

#include "relay/message.hpp"
#include "settings/settings.hpp"

namespace ivyfield::config {

using nlohmann::json;

namespace {

// Throws the error of the value at `path`, a JSON pointer.
[[noreturn]] void fail(const std::string& path, const std::string& message) {
    throw std::runtime_error(path + ": " + message);
}

// Returns a value as text without the characters that separate values and lines.
std::string format_value(const json& value) {
    std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    for (char& c : text)
        if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
    return text;
}

void flatten(const json& value, const std::string& path, std::string& out) {
    const std::string prefix = path.empty() ? "" : path + ".";
    if (value.is_object()) {
        for (const auto& [key, member] : value.items()) flatten(member, prefix + key, out);
    } else if (value.is_array() && !value.empty() && value[0].is_structured()) {
        out += prefix + "count=" + std::to_string(value.size()) + "\n";
        for (std::size_t k = 0; k < value.size(); ++k) flatten(value[k], prefix + std::to_string(k), out);
    } else if (value.is_array()) {
        out += path + "=";
        for (std::size_t k = 0; k < value.size(); ++k) out += (k ? "," : "") + format_value(value[k]);
        out += "\n";
    } else {
        out += path + "=" + format_value(value) + "\n";
    }
}

// The functions get_... return a member of an object and throw if it is missing, of the wrong type or out of
// range.
const json& get_member(const json& object, const char* key, const std::string& path) {
    const auto it = object.is_object() ? object.find(key) : object.end();
    if (!object.is_object() || it == object.end()) fail(path + "/" + key, "missing");
    return *it;
}
std::string get_text(const json& object, const char* key, const std::string& path) {
    const json& value = get_member(object, key, path);
    if (!value.is_string()) fail(path + "/" + key, "not a string");
    return value.get<std::string>();
}
double get_number(const json& object, const char* key, const std::string& path, double min, double max) {
    const json& value = get_member(object, key, path);
    if (!value.is_number()) fail(path + "/" + key, "not a number");
    const auto n = value.get<double>();
    if (!(n >= min && n <= max)) fail(path + "/" + key, "out of range: " + value.dump());
    return n;
}
io::Address get_address(const json& object, const char* key, const std::string& path) {
    try {
        return io::Address::parse(get_text(object, key, path));
    } catch (const std::invalid_argument& e) {
        fail(path + "/" + key, e.what());
    }
}
// Returns the names of a list, whose elements are strings or objects with a name.
std::vector<std::string> get_names(const json& object, const char* key) {
    std::vector<std::string> out;
    const auto list = object.find(key);
    if (list == object.end() || !list->is_array()) return out;
    for (const json& element : *list) {
        const json& name = element.is_object() && element.contains("name") ? element.at("name") : element;
        if (!name.is_string()) fail(std::string("/settings/") + key, "a name is not a string");
        out.push_back(name.get<std::string>());
    }
    return out;
}

// Applies an event of the list at the start: the first one holds the whole list, later ones only the changes.
void apply_event(const json& event, const std::string& path, discovery::Members& members) {
    const json& body = get_member(event, "members", path);
    const json& targets = get_member(body, "targets", path + "/members");
    if (!targets.is_array()) fail(path + "/members/targets", "not an array");
    if (body.value("all", false)) members.clear();
    std::size_t index = 0;
    for (const json& target : targets) {
        const std::string target_path = path + "/members/targets/" + std::to_string(index++);
        discovery::Member member;
        member.uid = get_text(target, "uid", target_path);
        const std::string state = get_text(target, "state", target_path);
        if (state == "gone") {
            members.erase(member.uid);
            continue;
        }
        if (state != "ready" && state != "draining") fail(target_path + "/state", "unknown state: " + state);
        member.state = state == "ready" ? ServerState::ready : ServerState::draining;
        member.address = get_address(target, "endpoint", target_path);
        member.zone = get_text(target, "az", target_path);
        member.kind = get_text(target, "model", target_path);
        member.cell = static_cast<int>(get_number(target, "pod_group", target_path, 0, 65535));
        member.weight = get_number(target, "capacity_hint", target_path, 0, 1e9);
        member.started_unix_ms = get_number(target, "boot_ms", target_path, 0, 1e15);
        members[member.uid] = member;
    }
}

}  // namespace

std::string flatten(const json& settings) {
    std::string out;
    flatten(settings, "", out);
    return out;
}

RelayConfig parse_relay_config(const std::string& file_text) {
    json doc;
    try {
        doc = json::parse(file_text);
    } catch (const json::exception& e) {
        fail("/", e.what());
    }
    if (!doc.is_object()) fail("/", "not a JSON object");
    RelayConfig config;
    config.name = get_text(doc, "name", "");
    config.listen = get_address(doc, "listen", "");
    config.dns = get_address(doc, "dns", "");
    const auto seed = relay::parse_hex(get_text(doc, "seed", ""));
    if (!seed) fail("/seed", "not 16 hex digits");
    config.seed = *seed;
    const json& limits = get_member(doc, "limits", "");
    config.cores = get_number(limits, "cores", "/limits", 0, 1e6);
    config.memory_mb = static_cast<std::size_t>(get_number(limits, "memory_mb", "/limits", 1, 1e9));
    config.sockets = static_cast<std::size_t>(get_number(limits, "sockets", "/limits", 16, 1e9));
    const json& known = get_member(doc, "known", "");
    config.last_event = static_cast<std::uint32_t>(get_number(known, "n", "/known", 0, 4294967295.0));
    const json& events = get_member(known, "events", "/known");
    if (!events.is_array()) fail("/known/events", "not an array");
    for (std::size_t k = 0; k < events.size(); ++k)
        apply_event(events[k], "/known/events/" + std::to_string(k), config.members);

    const json& settings = get_member(doc, "settings", "");
    if (!settings.is_object()) fail("/settings", "not an object");
    try {
        config.settings = settings::parse(flatten(settings));
    } catch (const settings::SettingsError& e) {
        fail("/settings", e.what());
    }
    config.classes = get_names(settings, "classes");
    config.tenants = get_names(settings, "orgs");
    config.zones = get_names(settings, "zones");
    config.kinds = get_names(settings, "flavors");
    if (const auto it = settings.find("telemetry"); it != settings.end() && it->is_object())
        config.report_fields = get_names(*it, "names");
    if (config.classes.empty()) fail("/settings/classes", "no class is given");
    if (config.report_fields.size() != config.settings.report_fields.size())
        fail("/settings/telemetry/names", "not an array");
    config.idle_connection_timeout = 0;
    if (const auto it = settings.find("limits"); it != settings.end() && it->contains("idle_close_ms"))
        config.idle_connection_timeout = get_number(*it, "idle_close_ms", "/settings/limits", 0, 1e9);
    return config;
}

}  // namespace ivyfield::config
