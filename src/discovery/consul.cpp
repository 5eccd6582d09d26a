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

std::optional<double> parse_number(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return value;
}

std::string string_field(const json& from, const char* key) {
    return from.contains(key) && from.at(key).is_string() ? from.at(key).get<std::string>() : std::string();
}
json object_field(const json& from, const char* key) {
    return from.contains(key) && from.at(key).is_object() ? from.at(key) : json::object();
}

Instance parse_instance(const json& source, const std::vector<std::string>& kinds, io::Time now,
                        double wall_ms) {
    const json service = object_field(source, "Service"), meta = object_field(service, "Meta"),
               node = object_field(source, "Node");
    Instance instance;
    instance.id = string_field(service, "ID");
    if (instance.id.empty()) throw std::invalid_argument("an instance without Service.ID");
    std::string host = string_field(service, "Address");
    if (host.empty()) host = string_field(node, "Address");
    const json port = service.contains("Port") ? service.at("Port") : json();
    if (host.empty() || !port.is_number_integer() || port.get<int>() < 1 || port.get<int>() > 65535)
        throw std::invalid_argument(instance.id + ": no valid address and port");
    instance.address = {host, port.get<std::uint16_t>()};
    ServerEntry& entry = instance.entry;
    // Hash of id and address: the same at every director and after each of its restarts.
    const std::string identity = instance.id + "|" + instance.address.text();
    entry.id = XXH64(identity.data(), identity.size(), 0);
    const auto meta_number = [&](const char* key, double default_value) {
        const std::string text = string_field(meta, key);
        if (text.empty()) return default_value;
        const auto value = parse_number(text);
        if (!value || !(*value >= 0))
            throw std::invalid_argument(instance.id + ": Meta." + key + " is not a number");
        return *value;
    };
    const json weights = object_field(service, "Weights");
    const double passing = weights.contains("Passing") && weights.at("Passing").is_number()
                               ? weights.at("Passing").get<double>()
                               : 1.0;
    entry.position = static_cast<int>(std::min(meta_number("position", 0), 1e6));
    entry.weight = meta_number("weight", passing);
    entry.zone = static_cast<int>(std::min(meta_number("zone", 0), 255.0));
    const std::string kind = string_field(meta, "kind");
    const auto it = std::find(kinds.begin(), kinds.end(), kind);
    if (kind.empty()) entry.kind = 0;
    else if (it == kinds.end())
        throw std::invalid_argument(instance.id + ": kind \"" + kind + "\" is not configured");
    else entry.kind = static_cast<int>(it - kinds.begin());
    if (const double started = meta_number("started_ms", 0); started > 0)
        // last_start 0 means long ago. A start before this director's clock began is set to the clock's first
        // moment, so that the node is taken for cold rather than warm.
        entry.last_start = std::max(1.0, now - std::max(0.0, wall_ms - started));
    entry.state = string_field(meta, "state") == "draining" ? ServerState::draining : ServerState::ready;
    for (const json& check : source.contains("Checks") ? source.at("Checks") : json::array()) {
        if (string_field(check, "Status") != "critical") continue;
        const std::string id = string_field(check, "CheckID");
        const bool maintenance = id == "_node_maintenance" || id.rfind("_service_maintenance:", 0) == 0;
        if (!maintenance) entry.state = ServerState::gone;
        else if (entry.state == ServerState::ready) entry.state = ServerState::draining;
    }
    return instance;
}

}  // namespace

HealthResponse parse_health_response(const std::string& body, const std::vector<std::string>& kinds,
                                     io::Time now, double wall_ms) {
    const json doc = json::parse(body, nullptr, false);
    if (!doc.is_array()) throw std::invalid_argument("the response body is not a JSON array");
    HealthResponse response;
    std::map<std::string, std::size_t> ids;
    std::map<ServerId, std::string> server_ids;
    for (const json& source : doc) {
        try {
            Instance instance = parse_instance(source, kinds, now, wall_ms);
            if (!ids.emplace(instance.id, response.instances.size()).second)
                throw std::invalid_argument(instance.id + ": listed twice");
            if (!server_ids.emplace(instance.entry.id, instance.id).second)
                throw std::invalid_argument(instance.id + ": has the same server id as another instance");
            response.instances.push_back(std::move(instance));
        } catch (const std::exception& e) {
            response.errors.push_back(e.what());
        }
    }
    return response;
}

ConsulClient::ConsulClient(io::Loop& loop, const ConsulSettings& settings, ChangeHandler on_change)
    : loop_(loop), settings_(settings), on_change_(std::move(on_change)), client_(loop, [&] {
          http::ClientLimits limits;
          limits.parse.max_body_bytes = settings.max_body;
          return limits;
      }()) {
    send_query();
}
ConsulClient::~ConsulClient() = default;

void ConsulClient::send_query() {
    http::Request request;
    request.target = "/v1/health/service/" + settings_.service +
                     "?wait=" + std::to_string(static_cast<long>(settings_.max_wait)) + "ms";
    if (index_ > 0) request.target += "&index=" + std::to_string(index_);
    if (settings_.allow_stale) request.target += "&stale";
    request.headers.add("User-Agent", settings_.user_agent);
    http::CallOptions options;
    options.connect_timeout = settings_.connect_timeout;
    // Consul lengthens the wait by up to a sixteenth, so that not all clients return at the same time.
    options.timeout = (index_ > 0 ? settings_.max_wait * 17 / 16 : 0) + 5000;
    call_ = client_.send(settings_.address, std::move(request), std::move(options),
                         [this](const http::CallResult& result) {
                             const std::shared_ptr<http::Call> self(std::move(call_));
                             loop_.post([self] {});
                             handle_response(result);
                         });
}

void ConsulClient::schedule_query(io::Time wait) {
    query_timer_ = loop_.after(wait, [this] { send_query(); });
}

void ConsulClient::handle_response(const http::CallResult& result) {
    const auto failed = [this](std::string why) {
        counts_.failures += 1;
        last_error_ = std::move(why);
        retry_delay_ = std::clamp(retry_delay_ * 2, settings_.min_retry_delay, settings_.max_retry_delay);
        schedule_query(retry_delay_);
    };
    if (result.outcome != http::CallOutcome::response) return failed(http::name(result.outcome));
    const http::Response& response = result.response;
    if (response.status != 200) return failed("HTTP status " + std::to_string(response.status));
    const double last_contact =
        parse_number(response.headers.get("X-Consul-LastContact").value_or("0")).value_or(0);
    if (last_contact > settings_.max_staleness || response.headers.get("X-Consul-KnownLeader") == "false") {
        counts_.too_old += 1;
        return failed("the response is too old: last contact with the leader " +
                      std::to_string(last_contact) + " ms ago");
    }
    HealthResponse parsed;
    try {
        parsed = parse_health_response(response.body, settings_.kinds, loop_.now(), loop_.wall_ms());
    } catch (const std::invalid_argument& e) {
        return failed(e.what());
    }
    counts_.answers += 1;
    counts_.left_out += parsed.errors.size();
    last_error_ = parsed.errors.empty() ? "" : parsed.errors.front();
    retry_delay_ = 0;
    const double reported_index =
        parse_number(response.headers.get("X-Consul-Index").value_or("0")).value_or(0);
    const auto index = reported_index >= 1 ? static_cast<std::uint64_t>(reported_index) : 0;
    const bool same = index > 0 && index == index_;
    if (index < index_ || index == 0) counts_.resets += index_ > 0, index_ = 0;
    else index_ = index;
    if (!same) on_change_(parsed.instances);  // same index: the blocking query timed out without a change
    // At least 50 ms between queries, so that a server that always answers at once does not make this a busy
    // loop.
    schedule_query(result.elapsed < 50 ? 50 : 0);
}

}  // namespace ivyfield::discovery
