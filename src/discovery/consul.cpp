#include "discovery/consul.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace ivyfield::discovery {

using nlohmann::json;

namespace {

std::optional<double> number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return value;
}

std::string text_of(const json& from, const char* key) {
    return from.contains(key) && from.at(key).is_string() ? from.at(key).get<std::string>() : std::string();
}
json child(const json& from, const char* key) {
    return from.contains(key) && from.at(key).is_object() ? from.at(key) : json::object();
}

Instance read_instance(const json& one, const std::vector<std::string>& kinds, io::Time now, double wall_ms) {
    const json service = child(one, "Service"), meta = child(service, "Meta"), node = child(one, "Node");
    Instance out;
    out.id = text_of(service, "ID");
    if (out.id.empty()) throw std::invalid_argument("an instance without Service.ID");
    std::string host = text_of(service, "Address");
    if (host.empty()) host = text_of(node, "Address");
    const json port = service.contains("Port") ? service.at("Port") : json();
    if (host.empty() || !port.is_number_integer() || port.get<int>() < 1 || port.get<int>() > 65535)
        throw std::invalid_argument(out.id + ": no address and port");
    out.address = {host, port.get<std::uint16_t>()};
    ServerEntry& e = out.entry;
    // One id for one instance at one address, alike at each director and after each restart.
    const std::string whole = out.id + "|" + out.address.text();
    e.id = XXH64(whole.data(), whole.size(), 0);
    const auto meta_number = [&](const char* key, double absent) {
        const std::string text = text_of(meta, key);
        if (text.empty()) return absent;
        const auto value = number(text);
        if (!value || !(*value >= 0))
            throw std::invalid_argument(out.id + ": Meta." + key + " is not a number");
        return *value;
    };
    const json weights = child(service, "Weights");
    const double passing = weights.contains("Passing") && weights.at("Passing").is_number()
                               ? weights.at("Passing").get<double>()
                               : 1.0;
    e.position = static_cast<int>(std::min(meta_number("position", 0), 1e6));
    e.weight = meta_number("weight", passing);
    e.zone = static_cast<int>(std::min(meta_number("zone", 0), 255.0));
    const std::string kind = text_of(meta, "kind");
    const auto found = std::find(kinds.begin(), kinds.end(), kind);
    if (kind.empty()) e.kind = 0;
    else if (found == kinds.end())
        throw std::invalid_argument(out.id + ": kind \"" + kind + "\" is not configured");
    else e.kind = static_cast<int>(found - kinds.begin());
    if (const double started = meta_number("started_ms", 0); started > 0)
        // 0 means long ago, so a start before this clock began is set to its first moment: cold rather than
        // warm.
        e.last_start = std::max(1.0, now - std::max(0.0, wall_ms - started));
    e.state = text_of(meta, "state") == "draining" ? ServerState::draining : ServerState::ready;
    for (const json& check : one.contains("Checks") ? one.at("Checks") : json::array()) {
        if (text_of(check, "Status") != "critical") continue;
        const std::string id = text_of(check, "CheckID");
        const bool maintenance = id == "_node_maintenance" || id.rfind("_service_maintenance:", 0) == 0;
        if (!maintenance) e.state = ServerState::gone;
        else if (e.state == ServerState::ready) e.state = ServerState::draining;
    }
    return out;
}

}  // namespace

Parsed parse_health(const std::string& body, const std::vector<std::string>& kinds, io::Time now,
                    double wall_ms) {
    const json doc = json::parse(body, nullptr, false);
    if (!doc.is_array()) throw std::invalid_argument("the answer is not a JSON array");
    Parsed out;
    std::map<std::string, std::size_t> ids;
    std::map<ServerId, std::string> numbers;
    for (const json& one : doc) {
        try {
            Instance instance = read_instance(one, kinds, now, wall_ms);
            if (!ids.emplace(instance.id, out.instances.size()).second)
                throw std::invalid_argument(instance.id + ": listed twice");
            if (!numbers.emplace(instance.entry.id, instance.id).second)
                throw std::invalid_argument(instance.id + ": its number is taken by another");
            out.instances.push_back(std::move(instance));
        } catch (const std::exception& e) {
            out.left_out.push_back(e.what());
        }
    }
    return out;
}

Consul::Consul(io::Loop& loop, const ConsulSettings& settings, Changed changed)
    : loop_(loop), settings_(settings), changed_(std::move(changed)), client_(loop, [&] {
          http::ClientLimits limits;
          limits.parse.max_body_bytes = settings.body;
          return limits;
      }()) {
    ask();
}
Consul::~Consul() = default;

void Consul::ask() {
    http::Request request;
    request.target = "/v1/health/service/" + settings_.service +
                     "?wait=" + std::to_string(static_cast<long>(settings_.wait)) + "ms";
    if (index_ > 0) request.target += "&index=" + std::to_string(index_);
    if (settings_.stale) request.target += "&stale";
    request.headers.add("User-Agent", settings_.agent);
    http::CallOptions options;
    options.connect_timeout = settings_.connect_timeout;
    // Consul adds up to a sixteenth of the wait, so that not all askers come back at once.
    options.timeout = (index_ > 0 ? settings_.wait * 17 / 16 : 0) + 5000;
    call_ = client_.send(settings_.address, std::move(request), std::move(options),
                         [this](const http::CallResult& result) {
                             const std::shared_ptr<http::Call> self(std::move(call_));
                             loop_.post([self] {});
                             answered(result);
                         });
}

void Consul::again(io::Time wait) {
    retry_ = loop_.after(wait, [this] { ask(); });
}

void Consul::answered(const http::CallResult& result) {
    const auto failed = [this](std::string why) {
        counts_.failures += 1;
        fault_ = std::move(why);
        wait_ = std::clamp(wait_ * 2, settings_.retry, settings_.retry_most);
        again(wait_);
    };
    if (result.outcome != http::CallOutcome::response) return failed(http::name(result.outcome));
    const http::Response& r = result.response;
    if (r.status != 200) return failed("status " + std::to_string(r.status));
    const double last_contact = number(r.headers.get("X-Consul-LastContact").value_or("0")).value_or(0);
    if (last_contact > settings_.longest_stale || r.headers.get("X-Consul-KnownLeader") == "false") {
        counts_.too_old += 1;
        return failed("the answer is too old: last contact " + std::to_string(last_contact) + " ms ago");
    }
    Parsed parsed;
    try {
        parsed = parse_health(r.body, settings_.kinds, loop_.now(), loop_.wall_ms());
    } catch (const std::invalid_argument& e) {
        return failed(e.what());
    }
    counts_.answers += 1;
    counts_.left_out += parsed.left_out.size();
    fault_ = parsed.left_out.empty() ? "" : parsed.left_out.front();
    wait_ = 0;
    const double told = number(r.headers.get("X-Consul-Index").value_or("0")).value_or(0);
    const auto index = told >= 1 ? static_cast<std::uint64_t>(told) : 0;
    const bool same = index > 0 && index == index_;
    if (index < index_ || index == 0) counts_.resets += index_ > 0, index_ = 0;
    else index_ = index;
    if (!same) changed_(parsed.instances);  // the same index: the wait ran out, nothing is new
    // A server that answers at once again and again must not make us spin.
    again(result.elapsed < 50 ? 50 : 0);
}

}  // namespace ivyfield::discovery
