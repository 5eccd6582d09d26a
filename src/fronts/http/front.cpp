#include "fronts/http/front.hpp"

#include <algorithm>
#include <cmath>

#include "hls/playlist.hpp"

namespace ivyfield::fronts {

namespace {

constexpr std::size_t kMaxTitleLength = 200;
constexpr std::size_t kBytesPerMegabyte = 1024 * 1024;
// Headers that pages of other origins may send and read (CORS).
constexpr const char* kAllowedRequestHeaders = "CMCD-Request, CMCD-Object, CMCD-Status, CMCD-Session";
constexpr const char* kExposedResponseHeaders = "CMSD-Dynamic, CMSD-Static, Retry-After";
constexpr int kPreflightMaxAge_s = 7200;  // browsers cache a preflight no longer

std::vector<std::string> split_path(std::string_view path) {
    std::vector<std::string> parts;
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::size_t slash = std::min(path.find('/'), path.size());
        auto part = http::percent_decode(path.substr(0, slash));
        if (!part) return {};
        parts.push_back(std::move(*part));
        path.remove_prefix(slash);
    }
    return parts;
}

hints::CmcdSources collect_cmcd_sources(const http::Request& request) {
    hints::CmcdSources sources;
    for (const auto carrier :
         {hints::Carrier::request, hints::Carrier::object, hints::Carrier::status, hints::Carrier::session})
        sources.payload[static_cast<std::size_t>(carrier)] =
            request.headers.get_all(hints::header_name(carrier));
    sources.payload[static_cast<std::size_t>(hints::Carrier::query)] =
        http::query_argument(request.query(), "CMCD").value_or("");
    return sources;
}

template <typename Items>
int find_index(const Items& items, const std::string& name) {
    for (std::size_t k = 0; k < items.size(); ++k)
        if (items[k].name == name) return static_cast<int>(k);
    return -1;
}

}  // namespace

std::int64_t rung_kbps(const Settings& settings, int cls, int rung) {
    const double kb = settings.rung_kb[static_cast<std::size_t>(rung)] *
                      settings.classes[static_cast<std::size_t>(cls)].rate_factor;
    return std::llround(kb * 8);
}

std::string make_master_playlist(const Settings& settings, int cls, int rung, int top,
                                 const core::Media& media) {
    std::vector<hls::Variant> variants;
    const auto add_variant = [&](int variant_rung) {
        hls::Variant variant;
        variant.bandwidth = variant.average_bandwidth = rung_kbps(settings, cls, variant_rung) * 1000;
        if (static_cast<std::size_t>(variant_rung) < media.renditions.size()) {
            variant.codecs = media.renditions[static_cast<std::size_t>(variant_rung)].codecs;
            variant.resolution = media.renditions[static_cast<std::size_t>(variant_rung)].resolution;
        }
        variant.uri = media.url + std::to_string(variant_rung) + "/index.m3u8";
        variants.push_back(std::move(variant));
    };
    add_variant(rung);
    for (int other = settings.classes[static_cast<std::size_t>(cls)].min_rung; other <= top; ++other)
        if (other != rung) add_variant(other);
    return hls::write_master_playlist(variants);
}

// An HTTP request that waits for its session's answer.
struct HttpFront::PendingRequest : core::AnswerHandler {
    HttpFront& front;
    std::uint64_t number;
    http::ExchangePtr exchange;
    core::ViewerRequest request;
    io::Time received_at;
    SessionId session = 0;
    bool finished = false;

    PendingRequest(HttpFront& owner, std::uint64_t request_number, http::ExchangePtr http_exchange,
                   core::ViewerRequest viewer_request)
        : front(owner),
          number(request_number),
          exchange(std::move(http_exchange)),
          request(std::move(viewer_request)),
          received_at(owner.loop_.now()) {}

    hints::Keys make_dynamic_keys() const {
        hints::Keys keys;
        keys.values["rd"] = static_cast<std::int64_t>(std::llround(front.loop_.now() - received_at));
        return keys;
    }
    void send(http::Response response, const hints::Keys& keys) {
        response.headers.add("CMSD-Dynamic",
                             hints::encode_cmsd_dynamic({{"ivyfield-" + front.config_.name, keys}}));
        response.headers.add("Cache-Control", "no-store");
        http::allow_any_origin(response.headers, kExposedResponseHeaders);
        exchange->respond(response);
        finished = true;
        // Deferred: the engine may still be in the call that delivered the answer.
        front.loop_.post(
            [owner = &front, request_number = number] { owner->pending_requests_.erase(request_number); });
    }
    void on_established(const core::Placement& placement) override {
        const Settings& settings = front.config_.settings;
        hints::Keys keys = make_dynamic_keys();
        keys.values["mb"] = rung_kbps(settings, request.cls, placement.rung);
        http::Response response;
        response.headers.add("Content-Type", "application/vnd.apple.mpegurl");
        hints::Keys static_keys;
        static_keys.values = {{"ot", hints::Token{"m"}}, {"sf", hints::Token{"h"}}};
        static_keys.values["st"] =
            hints::Token{settings.classes[static_cast<std::size_t>(request.cls)].live ? "l" : "v"};
        response.headers.add("CMSD-Static", hints::encode_keys(hints::Vocabulary::cmsd_static, static_keys));
        const int top = std::max(
            placement.rung,
            std::min(settings.classes[static_cast<std::size_t>(request.cls)].max_rung, request.top_rung));
        response.body = make_master_playlist(settings, request.cls, placement.rung, top, placement.media);
        send(std::move(response), keys);
    }
    void on_rejected(Time retry_after) override {
        hints::Keys keys = make_dynamic_keys();
        keys.values["du"] = true;
        http::Response response = http::text_response(503, "no room now");
        // Whole seconds (RFC 9110, 10.2.3), rounded up: an earlier retry would be no better than one now.
        response.headers.add("Retry-After",
                             std::to_string(std::max(1L, std::lround(std::ceil(retry_after / 1000)))));
        send(std::move(response), keys);
    }
    void on_failed() override {
        send(http::text_response(504, "the session could not be set up"), make_dynamic_keys());
    }
};

HttpFront::HttpFront(io::Loop& loop, const config::Config& config, core::Engine& engine)
    : loop_(loop),
      config_(config),
      engine_(engine),
      server_(
          loop, config.listen,
          [&] {
              http::ServerLimits limits;
              limits.max_connections = config.max_player_connections;
              limits.memory = config.memory_mb * kBytesPerMegabyte;
              limits.idle_timeout = config.player_idle_timeout_ms;
              limits.parse.max_body_bytes = 64 * 1024;
              return limits;
          }(),
          [this](const http::ExchangePtr& exchange) { handle_request(exchange); }) {}
HttpFront::~HttpFront() = default;

std::string HttpFront::generate_sid() {
    counts_.generated_sids += 1;
    static constexpr char kHexDigits[] = "0123456789abcdef";
    std::string sid;
    for (int k = 0; k < 2; ++k)
        for (std::uint64_t bits = loop_.random()(), n = 0; n < 16; ++n, bits >>= 4)
            sid += kHexDigits[bits & 15];
    return sid;
}

void HttpFront::handle_request(const http::ExchangePtr& exchange) {
    counts_.requests += 1;
    const http::Request& request = exchange->request();
    const auto parts = split_path(request.path());
    const auto respond_error = [&](int code, const char* why) {
        counts_.bad += 1;
        http::Response response = http::text_response(code, why);
        http::allow_any_origin(response.headers, kExposedResponseHeaders);
        exchange->respond(response);
    };
    const bool is_watch =
        parts.size() == 6 && parts[0] == "v1" && parts[1] == "watch" && parts[5] == "master.m3u8";
    const bool is_status = parts.size() == 2 && parts[0] == "v1" && parts[1] == "status";
    if (!is_watch && !is_status)
        return respond_error(404, "nothing here; players ask /v1/watch/TENANT/CLASS/TITLE/master.m3u8");
    if (http::is_preflight(request)) {
        counts_.preflights += 1;
        return exchange->respond(http::preflight_response(kAllowedRequestHeaders, kPreflightMaxAge_s));
    }
    if (request.method != "GET") return respond_error(405, "only GET");
    if (is_status) {
        http::Response response;
        response.headers.add("Content-Type", "application/json");
        response.body = render_status ? render_status() : "{}";
        return exchange->respond(response);
    }
    handle_watch(exchange, parts[2], parts[3], parts[4]);
}

void HttpFront::handle_watch(const http::ExchangePtr& exchange, const std::string& tenant,
                             const std::string& cls, const std::string& title) {
    const Settings& settings = config_.settings;
    core::ViewerRequest request;
    request.tenant = find_index(settings.tenants, tenant);
    request.cls = find_index(settings.classes, cls);
    if (request.tenant < 0 || request.cls < 0 || title.empty() || title.size() > kMaxTitleLength) {
        counts_.bad += 1;
        http::Response response = http::text_response(404, request.tenant < 0 ? "no such tenant"
                                                           : request.cls < 0  ? "no such class"
                                                                              : "no such title");
        http::allow_any_origin(response.headers, kExposedResponseHeaders);
        return exchange->respond(response);
    }
    const hints::DecodedKeys cmcd = hints::decode_cmcd(collect_cmcd_sources(exchange->request()));
    counts_.hints_dropped += cmcd.dropped.size();
    request.sid = cmcd.keys.text("sid").value_or("");
    if (request.sid.empty()) request.sid = generate_sid();
    request.title_name = title;
    request.title = core::compute_title_id(title);
    request.cell_count = config_.copies;
    request.first_cell =
        settings.cells > 0 ? static_cast<int>(request.title % static_cast<std::uint64_t>(settings.cells)) : 0;
    const ClassSettings& class_settings = settings.classes[static_cast<std::size_t>(request.cls)];
    request.top_rung = class_settings.max_rung;
    // tb is the highest bitrate that this player can use. If even the class's lowest rung is above it, the
    // player can use none and gets the lowest.
    if (const auto top = cmcd.keys.integer("tb")) {
        while (request.top_rung > class_settings.min_rung &&
               rung_kbps(settings, request.cls, request.top_rung) > *top)
            request.top_rung -= 1;
    }
    const std::uint64_t number = ++last_request_number_;
    auto owned = std::make_unique<PendingRequest>(*this, number, exchange, request);
    PendingRequest& pending = *owned;
    pending_requests_.emplace(number, std::move(owned));
    exchange->on_disconnect([this, number] {
        const auto it = pending_requests_.find(number);
        if (it == pending_requests_.end() || it->second->finished) return;
        counts_.gone += 1;
        PendingRequest& abandoned = *it->second;
        abandoned.finished = true;
        engine_.withdraw_request(abandoned.session, &abandoned);
        loop_.post([this, number] { pending_requests_.erase(number); });
    });
    const SessionId session = engine_.open_session(request, &pending);
    pending.session = session;
}

}  // namespace ivyfield::fronts
