#include "config/relay.hpp"

#include <cmath>
#include <set>
#include <stdexcept>

#include "relay/message.hpp"
#include "settings/settings.hpp"

namespace ivyfield::config {

using nlohmann::json;

namespace {

[[noreturn]] void fail(const std::string& place, const std::string& why) {
    throw std::runtime_error(place + ": " + why);
}

std::string plain(const json& value) {
    std::string text = value.is_string() ? value.get<std::string>() : value.dump();
    for (char& c : text)
        if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
    return text;
}

void flatten(const json& value, const std::string& path, std::string& out) {
    const std::string under = path.empty() ? "" : path + ".";
    if (value.is_object()) {
        for (const auto& [key, one] : value.items()) flatten(one, under + key, out);
    } else if (value.is_array() && !value.empty() && value[0].is_structured()) {
        out += under + "count=" + std::to_string(value.size()) + "\n";
        for (std::size_t k = 0; k < value.size(); ++k) flatten(value[k], under + std::to_string(k), out);
    } else if (value.is_array()) {
        out += path + "=";
        for (std::size_t k = 0; k < value.size(); ++k) out += (k ? "," : "") + plain(value[k]);
        out += "\n";
    } else {
        out += path + "=" + plain(value) + "\n";
    }
}

const json& part(const json& at, const char* key, const std::string& place) {
    const auto it = at.is_object() ? at.find(key) : at.end();
    if (!at.is_object() || it == at.end()) fail(place + "/" + key, "missing");
    return *it;
}
std::string text(const json& at, const char* key, const std::string& place) {
    const json& value = part(at, key, place);
    if (!value.is_string()) fail(place + "/" + key, "not text");
    return value.get<std::string>();
}
double number(const json& at, const char* key, const std::string& place, double least, double most) {
    const json& value = part(at, key, place);
    if (!value.is_number()) fail(place + "/" + key, "not a number");
    const auto n = value.get<double>();
    if (!(n >= least && n <= most)) fail(place + "/" + key, "out of range: " + value.dump());
    return n;
}
io::Address address(const json& at, const char* key, const std::string& place) {
    try {
        return io::Address::parse(text(at, key, place));
    } catch (const std::invalid_argument& e) {
        fail(place + "/" + key, e.what());
    }
}
// Names of a list, plain or of objects with a name.
std::vector<std::string> names(const json& at, const char* key) {
    std::vector<std::string> out;
    const auto list = at.find(key);
    if (list == at.end() || !list->is_array()) return out;
    for (const json& one : *list) {
        const json& name = one.is_object() && one.contains("name") ? one.at("name") : one;
        if (!name.is_string()) fail(std::string("/settings/") + key, "a name is not text");
        out.push_back(name.get<std::string>());
    }
    return out;
}

// The events of the start: the first holds the whole list, later ones what has changed.
void take_event(const json& event, const std::string& place, discovery::Members& members) {
    const json& body = part(event, "members", place);
    const json& targets = part(body, "targets", place + "/members");
    if (!targets.is_array()) fail(place + "/members/targets", "not a list");
    if (body.value("all", false)) members.clear();
    std::size_t k = 0;
    for (const json& one : targets) {
        const std::string at = place + "/members/targets/" + std::to_string(k++);
        discovery::Member m;
        m.uid = text(one, "uid", at);
        const std::string state = text(one, "state", at);
        if (state == "gone") {
            members.erase(m.uid);
            continue;
        }
        if (state != "ready" && state != "draining") fail(at + "/state", "unknown: " + state);
        m.state = state == "ready" ? ServerState::ready : ServerState::draining;
        m.address = address(one, "endpoint", at);
        m.zone = text(one, "az", at);
        m.kind = text(one, "model", at);
        m.cell = static_cast<int>(number(one, "pod_group", at, 0, 65535));
        m.weight = number(one, "capacity_hint", at, 0, 1e9);
        m.started_unix_ms = number(one, "boot_ms", at, 0, 1e15);
        members[m.uid] = m;
    }
}

}  // namespace

std::string flatten(const json& settings) {
    std::string out;
    flatten(settings, "", out);
    return out;
}

RelayConfig read_relay_config(const std::string& whole) {
    json doc;
    try {
        doc = json::parse(whole);
    } catch (const json::exception& e) {
        fail("/", e.what());
    }
    if (!doc.is_object()) fail("/", "not a JSON object");
    RelayConfig c;
    c.name = text(doc, "name", "");
    c.listen = address(doc, "listen", "");
    c.dns = address(doc, "dns", "");
    const auto seed = relay::parse_hex(text(doc, "seed", ""));
    if (!seed) fail("/seed", "not 16 hex digits");
    c.seed = *seed;
    const json& limits = part(doc, "limits", "");
    c.cores = number(limits, "cores", "/limits", 0, 1e6);
    c.memory_mb = static_cast<std::size_t>(number(limits, "memory_mb", "/limits", 1, 1e9));
    c.sockets = static_cast<std::size_t>(number(limits, "sockets", "/limits", 16, 1e9));
    const json& known = part(doc, "known", "");
    c.known = static_cast<std::uint32_t>(number(known, "n", "/known", 0, 4294967295.0));
    const json& events = part(known, "events", "/known");
    if (!events.is_array()) fail("/known/events", "not a list");
    for (std::size_t k = 0; k < events.size(); ++k)
        take_event(events[k], "/known/events/" + std::to_string(k), c.members);

    const json& settings = part(doc, "settings", "");
    if (!settings.is_object()) fail("/settings", "not an object");
    try {
        c.settings = settings::parse(flatten(settings));
    } catch (const settings::SettingsError& e) {
        fail("/settings", e.what());
    }
    c.classes = names(settings, "classes");
    c.tenants = names(settings, "orgs");
    c.zones = names(settings, "zones");
    c.kinds = names(settings, "flavors");
    if (const auto it = settings.find("telemetry"); it != settings.end() && it->is_object())
        c.report = names(*it, "names");
    if (c.classes.empty()) fail("/settings/classes", "no class");
    if (c.report.size() != c.settings.report_fields.size()) fail("/settings/telemetry/names", "not a list");
    c.idle_close = 0;
    if (const auto it = settings.find("limits"); it != settings.end() && it->contains("idle_close_ms"))
        c.idle_close = number(*it, "idle_close_ms", "/settings/limits", 0, 1e9);
    return c;
}

}  // namespace ivyfield::config
