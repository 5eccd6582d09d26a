#include "fronts/http/front.hpp"

#include <algorithm>
#include <cmath>

#include "hls/playlist.hpp"

namespace ivyfield::fronts {

namespace {

constexpr std::size_t kLongestTitle = 200;
// What a page of another origin may send and read.
constexpr const char* kAllowed = "CMCD-Request, CMCD-Object, CMCD-Status, CMCD-Session";
constexpr const char* kExposed = "CMSD-Dynamic, CMSD-Static, Retry-After";
constexpr int kPreflightAge_s = 7200;  // the longest that browsers keep one

std::vector<std::string> path_parts(std::string_view path) {
    std::vector<std::string> out;
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::size_t slash = std::min(path.find('/'), path.size());
        auto part = http::percent_decode(path.substr(0, slash));
        if (!part) return {};
        out.push_back(std::move(*part));
        path.remove_prefix(slash);
    }
    return out;
}

hints::CmcdSources cmcd_sources(const http::Request& request) {
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
int index_of(const Items& items, const std::string& name) {
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

std::string master_playlist(const Settings& settings, int cls, int rung, int top, const core::Media& media) {
    std::vector<hls::Variant> variants;
    const auto variant = [&](int r) {
        hls::Variant v;
        v.bandwidth = v.average_bandwidth = rung_kbps(settings, cls, r) * 1000;
        if (static_cast<std::size_t>(r) < media.renditions.size()) {
            v.codecs = media.renditions[static_cast<std::size_t>(r)].codecs;
            v.resolution = media.renditions[static_cast<std::size_t>(r)].resolution;
        }
        v.uri = media.url + std::to_string(r) + "/index.m3u8";
        variants.push_back(std::move(v));
    };
    variant(rung);
    for (int r = settings.classes[static_cast<std::size_t>(cls)].min_rung; r <= top; ++r)
        if (r != rung) variant(r);
    return hls::write_master_playlist(variants);
}

// One HTTP request that waits for its session's answer.
struct HttpFront::Pending : core::AnswerHandler {
    HttpFront& front;
    std::uint64_t number;
    http::ExchangePtr exchange;
    core::ViewerRequest ask;
    io::Time began;
    SessionId session = 0;
    bool done = false;

    Pending(HttpFront& owner, std::uint64_t n, http::ExchangePtr e, core::ViewerRequest a)
        : front(owner), number(n), exchange(std::move(e)), ask(std::move(a)), began(owner.loop_.now()) {}

    hints::Keys dynamic_keys() const {
        hints::Keys keys;
        keys.values["rd"] = static_cast<std::int64_t>(std::llround(front.loop_.now() - began));
        return keys;
    }
    void send(http::Response response, const hints::Keys& keys) {
        response.headers.add("CMSD-Dynamic",
                             hints::encode_cmsd_dynamic({{"ivyfield-" + front.config_.name, keys}}));
        response.headers.add("Cache-Control", "no-store");
        http::allow_any_origin(response.headers, kExposed);
        exchange->respond(response);
        done = true;
        // The engine may still be in the call that told us.
        front.loop_.post([owner = &front, n = number] { owner->pending_.erase(n); });
    }
    void on_established(const core::Placement& where) override {
        const Settings& s = front.config_.settings;
        hints::Keys keys = dynamic_keys();
        keys.values["mb"] = rung_kbps(s, ask.cls, where.rung);
        http::Response r;
        r.headers.add("Content-Type", "application/vnd.apple.mpegurl");
        hints::Keys fixed;
        fixed.values = {{"ot", hints::Token{"m"}}, {"sf", hints::Token{"h"}}};
        fixed.values["st"] = hints::Token{s.classes[static_cast<std::size_t>(ask.cls)].live ? "l" : "v"};
        r.headers.add("CMSD-Static", hints::encode_keys(hints::Vocabulary::cmsd_static, fixed));
        const int top = std::max(
            where.rung, std::min(s.classes[static_cast<std::size_t>(ask.cls)].max_rung, ask.top_rung));
        r.body = master_playlist(s, ask.cls, where.rung, top, where.media);
        send(std::move(r), keys);
    }
    void on_rejected(Time retry_after) override {
        hints::Keys keys = dynamic_keys();
        keys.values["du"] = true;
        http::Response r = http::text_response(503, "no room now");
        // Whole seconds (RFC 9110, 10.2.3), rounded up: sooner would be no better than now.
        r.headers.add("Retry-After",
                      std::to_string(std::max(1L, std::lround(std::ceil(retry_after / 1000)))));
        send(std::move(r), keys);
    }
    void on_failed() override {
        send(http::text_response(504, "the session could not be set up"), dynamic_keys());
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
              limits.max_connections = config.player_connections;
              limits.idle_timeout = config.player_idle_ms;
              limits.parse.max_body_bytes = 64 * 1024;
              return limits;
          }(),
          [this](const http::ExchangePtr& e) { serve(e); }) {}
HttpFront::~HttpFront() = default;

std::string HttpFront::make_sid() {
    counts_.sids_made += 1;
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    for (int k = 0; k < 2; ++k)
        for (std::uint64_t bits = loop_.random()(), n = 0; n < 16; ++n, bits >>= 4) out += digits[bits & 15];
    return out;
}

void HttpFront::serve(const http::ExchangePtr& exchange) {
    counts_.requests += 1;
    const http::Request& request = exchange->request();
    const auto parts = path_parts(request.path());
    const auto bad = [&](int code, const char* why) {
        counts_.bad += 1;
        http::Response r = http::text_response(code, why);
        http::allow_any_origin(r.headers, kExposed);
        exchange->respond(r);
    };
    const bool is_watch =
        parts.size() == 6 && parts[0] == "v1" && parts[1] == "watch" && parts[5] == "master.m3u8";
    const bool is_status = parts.size() == 2 && parts[0] == "v1" && parts[1] == "status";
    if (!is_watch && !is_status)
        return bad(404, "nothing here; players ask /v1/watch/TENANT/CLASS/TITLE/master.m3u8");
    if (http::is_preflight(request)) {
        counts_.preflights += 1;
        return exchange->respond(http::preflight_response(kAllowed, kPreflightAge_s));
    }
    if (request.method != "GET") return bad(405, "only GET");
    if (is_status) {
        http::Response r;
        r.headers.add("Content-Type", "application/json");
        r.body = status ? status() : "{}";
        return exchange->respond(r);
    }
    watch(exchange, parts[2], parts[3], parts[4]);
}

void HttpFront::watch(const http::ExchangePtr& exchange, const std::string& tenant, const std::string& cls,
                      const std::string& title) {
    const Settings& s = config_.settings;
    core::ViewerRequest ask;
    ask.tenant = index_of(s.tenants, tenant);
    ask.cls = index_of(s.classes, cls);
    if (ask.tenant < 0 || ask.cls < 0 || title.empty() || title.size() > kLongestTitle) {
        counts_.bad += 1;
        http::Response r = http::text_response(404, ask.tenant < 0 ? "no such tenant"
                                                    : ask.cls < 0  ? "no such class"
                                                                   : "no such title");
        http::allow_any_origin(r.headers, kExposed);
        return exchange->respond(r);
    }
    const hints::DecodedKeys cmcd = hints::decode_cmcd(cmcd_sources(exchange->request()));
    counts_.hints_dropped += cmcd.dropped.size();
    ask.sid = cmcd.keys.text("sid").value_or("");
    if (ask.sid.empty()) ask.sid = make_sid();
    ask.title_name = title;
    ask.title = core::compute_title_id(title);
    ask.cell_count = config_.copies;
    ask.first_cell = s.cells > 0 ? static_cast<int>(ask.title % static_cast<std::uint64_t>(s.cells)) : 0;
    const ClassSettings& c = s.classes[static_cast<std::size_t>(ask.cls)];
    ask.top_rung = c.max_rung;
    // tb: the highest rate that this player can use. Under the lowest rung it can use none; it gets the
    // floor.
    if (const auto top = cmcd.keys.integer("tb")) {
        while (ask.top_rung > c.min_rung && rung_kbps(s, ask.cls, ask.top_rung) > *top) ask.top_rung -= 1;
    }
    const std::uint64_t number = ++next_;
    auto owned = std::make_unique<Pending>(*this, number, exchange, ask);
    Pending& pending = *owned;
    pending_.emplace(number, std::move(owned));
    exchange->on_disconnect([this, number] {
        const auto it = pending_.find(number);
        if (it == pending_.end() || it->second->done) return;
        counts_.gone += 1;
        Pending& p = *it->second;
        p.done = true;
        engine_.withdraw_request(p.session, &p);
        loop_.post([this, number] { pending_.erase(number); });
    });
    const SessionId session = engine_.open_session(ask, &pending);
    pending.session = session;
}

}  // namespace ivyfield::fronts
