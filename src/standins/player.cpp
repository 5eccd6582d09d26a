#include "standins/player.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace ivyfield::standins {

PlayerEmulator::PlayerEmulator(io::Loop& loop, http::Client& client, PlayerSettings settings,
                               std::function<std::pair<std::string, io::Address>()> director, EventSink tap,
                               std::function<void(const PlayerResult&)> done)
    : loop_(loop),
      client_(client),
      s_(std::move(settings)),
      director_(std::move(director)),
      tap_(std::move(tap)),
      done_(std::move(done)),
      began_(loop.now()),
      ends_(loop.now() + s_.watch_duration) {
    result_.tenant = s_.tenant;
    result_.cls = s_.cls;
    result_.offered_worth =
        s_.worth * s_.rung_worth.at(static_cast<std::size_t>(s_.max_rung)) * s_.watch_duration / 1000;
    ask();
}
PlayerEmulator::~PlayerEmulator() = default;

SocketEvent PlayerEmulator::tap_of(const char* what) const {
    SocketEvent t;
    t.type = what;
    t.at = loop_.now();
    t.source = s_.name;
    t.director = asked_director_;
    t.sid = s_.sid, t.cls = s_.cls, t.title = s_.title, t.tenant = s_.tenant,
    t.non_idempotent = s_.non_idempotent;
    t.attempt = result_.tries;
    return t;
}

http::Request PlayerEmulator::request() const {
    hints::Keys keys;
    keys.values["sid"] = s_.sid;
    keys.values["sf"] = hints::Token{"h"};
    keys.values["ot"] = hints::Token{"m"};
    keys.values["su"] = true;
    keys.values["tb"] =
        static_cast<std::int64_t>(std::llround(s_.rung_kb.at(static_cast<std::size_t>(s_.max_rung)) * 8));
    http::Request r;
    r.target = "/v1/watch/" + http::percent_encode(s_.tenant) + "/" + http::percent_encode(s_.cls) + "/" +
               http::percent_encode(s_.title) + "/master.m3u8";
    const auto query = [&r](const std::string& payload) {
        r.target += "?CMCD=" + http::percent_encode(payload);
    };
    switch (s_.hint_style) {
        case HintStyle::query:
            query(hints::encode_keys(hints::Vocabulary::cmcd, keys));
            break;
        case HintStyle::headers: {
            const auto headers = hints::encode_cmcd_headers(keys);
            for (const auto c : {hints::Carrier::request, hints::Carrier::object, hints::Carrier::status,
                                 hints::Carrier::session})
                if (const std::string& value = headers[static_cast<std::size_t>(c)]; !value.empty())
                    r.headers.add(hints::header_name(c), value);
            break;
        }
        case HintStyle::missing:
            break;
        case HintStyle::malformed:
            query("br=abc,,sid=\"" + s_.sid + "\",tb=x,ot=zz,su=?7,nor=\"%%\"");
            break;
        case HintStyle::contradictory:
            query("sid=\"" + s_.sid + "\",tb=1");
            r.headers.add("CMCD-Session", "sid=\"someone-else\"");
            r.headers.add("CMCD-Object", "tb=999999");
            break;
        case HintStyle::over_long:
            r.headers.add("CMCD-Session", "sid=\"" + std::string(9000, 'a') + "\"");
            break;
    }
    return r;
}

void PlayerEmulator::ask() {
    result_.tries += 1;
    io::Address address;
    std::tie(asked_director_, address) = director_();
    asked_at_ = loop_.now();
    SocketEvent t = tap_of("ask");
    // Only these carry a sid that the director can know the viewer by.
    t.details = s_.hint_style == HintStyle::missing || s_.hint_style == HintStyle::contradictory ||
                        s_.hint_style == HintStyle::over_long
                    ? "unknown"
                    : "";
    tap_(t);
    http::CallOptions options;
    options.connect_timeout = 1000;
    options.timeout = 0;
    options.new_connection = true;
    const auto number = static_cast<std::uint64_t>(result_.tries);
    call_ = client_.send(address, request(), options,
                         [this, number](const http::CallResult& r) { answered(number, r); });
    if (s_.sends_duplicate && result_.tries == 1) {
        SocketEvent twice = tap_of("ask_again");
        twice.details = t.details;
        tap_(twice);
        twin_due_ = loop_.after(s_.patience + 100, [this] {
            second_.reset();
            tap_(tap_of("gave_up_again"));
        });
        second_ = client_.send(address, request(), options, [this](const http::CallResult& r) {
            SocketEvent t = tap_of("answer_again");
            t.status = r.outcome == http::CallOutcome::response ? r.response.status : 0;
            tap_(t);
            twin_due_.stop();
            const std::shared_ptr<http::Call> keep(std::move(second_));
            loop_.post([keep] {});
        });
    }
    patience_ = loop_.after(s_.patience + 100, [this] { gave_up(); });
    if (s_.leave_after >= 0 && result_.tries == 1)
        leave_ = loop_.after(s_.leave_after, [this] {
            if (!call_) return;
            call_.reset();
            drop_twin();
            tap_(tap_of("left"));
            result_.abandoned += 1;
            finish();
        });
}

// The answer did not come: a broken rule, unless the director itself was down.
void PlayerEmulator::gave_up() {
    tap_(tap_of("gave_up"));
    call_.reset();
    result_.abandoned += 1;
    again(0);
}

void PlayerEmulator::answered(std::uint64_t, const http::CallResult& r) {
    const std::shared_ptr<http::Call> keep(std::move(call_));
    loop_.post([keep] {});
    patience_.stop();
    leave_.stop();
    SocketEvent t = tap_of("answer");
    t.status = r.outcome == http::CallOutcome::response ? r.response.status : 0;
    t.outcome = r.outcome != http::CallOutcome::response ? http::name(r.outcome)
                : t.status == 200                        ? "plays"
                : t.status == 503                        ? "refused"
                : t.status == 504                        ? "failed"
                                                         : "other";
    tap_(t);
    if (t.outcome == "plays") {
        // The first variant, as RFC 8216 lets a player begin with.
        const std::string& body = r.response.body;
        const std::size_t at = body.find("\nhttp://");
        if (at == std::string::npos) return finish();
        const std::string uri = body.substr(at + 1, body.find('\n', at + 1) - at - 1);
        return play(uri);
    }
    io::Time least = 0;
    if (t.outcome == "refused") {
        result_.rejected += 1;
        least = std::atof(std::string(r.response.headers.get("Retry-After").value_or("0")).c_str()) * 1000;
    } else if (t.outcome == "failed") {
        result_.failed += 1;
        if (s_.non_idempotent) return finish();  // it may have run: this viewer stays away
    } else {
        result_.errors += 1;
    }
    again(least);
}

void PlayerEmulator::again(io::Time least) {
    auto& random = loop_.random();
    const io::Time wait =
        std::uniform_real_distribution<double>(s_.min_return_delay, s_.max_return_delay)(random);
    const bool comes = std::bernoulli_distribution(s_.return_probability)(random);
    if (!comes || result_.tries >= s_.max_tries || loop_.now() + wait >= ends_) return finish();
    pause_ = loop_.after(std::max(wait, std::min(least, 3000.0)), [this] { ask(); });
}

void PlayerEmulator::play(const std::string& uri) {
    // http://ADDRESS/media/TOKEN/RUNG/index.m3u8
    const std::size_t slash = uri.find('/', 7);
    const std::size_t rung_end = uri.rfind('/');
    const std::size_t rung_at = uri.rfind('/', rung_end - 1);
    node_ = io::Address::parse(uri.substr(7, slash - 7));
    base_path_ = uri.substr(slash, rung_at + 1 - slash);
    rung_ = std::atoi(uri.substr(rung_at + 1, rung_end - rung_at - 1).c_str());
    const io::Time waited = loop_.now() - began_;
    if (!result_.started) {
        result_.startup_time = waited;
        // Waiting counts from each try on its own; a viewer who had to come again is late.
        result_.in_time = waited <= s_.startup_target;
    }
    result_.started = true;
    misses_ = 0;
    fetch();
}

void PlayerEmulator::fetch() {
    if (loop_.now() >= ends_) return finish();
    segment_began_ = loop_.now();
    http::Request r;
    hints::Keys keys;
    keys.values["sid"] = s_.sid;
    keys.values["ot"] = hints::Token{"v"};
    keys.values["br"] =
        static_cast<std::int64_t>(std::llround(s_.rung_kb.at(static_cast<std::size_t>(rung_)) * 8));
    r.target = base_path_ + std::to_string(rung_) + "/" + std::to_string(segment_++) +
               ".ts?CMCD=" + http::percent_encode(hints::encode_keys(hints::Vocabulary::cmcd, keys));
    http::CallOptions options;
    options.connect_timeout = 1000;
    options.timeout = 8000;
    media_ =
        client_.send(node_, std::move(r), options, [this](const http::CallResult& c) { segment_came(c); });
}

void PlayerEmulator::segment_came(const http::CallResult& r) {
    const std::shared_ptr<http::Call> keep(std::move(media_));
    loop_.post([keep] {});
    if (r.outcome != http::CallOutcome::response || r.response.status != 200) {
        // Moved, over, or the node is lost: back to a director with the same sid.
        const bool moved =
            r.outcome == http::CallOutcome::response && r.response.headers.get("X-Ivyfield-Moved") == "1";
        if (moved) result_.moves += 1;
        else result_.errors += 1;
        if (r.outcome == http::CallOutcome::timed_out && ++misses_ < 3) return fetch();
        if (moved) {
            pause_ = loop_.after(300, [this] { ask(); });
            return;
        }
        return again(0);
    }
    misses_ = 0;
    const io::Time took = std::max(r.elapsed, 1.0);
    const double share = std::min(1.0, s_.segment_duration / std::max(s_.segment_duration, took));
    const double lost = share < 0.98 ? (0.98 - share) * s_.shortfall_penalty : 0;
    const double played = std::min(s_.segment_duration, ends_ - segment_began_) / 1000;
    result_.earned_worth +=
        s_.worth * s_.rung_worth.at(static_cast<std::size_t>(rung_)) * played * std::max(0.0, 1 - lost);
    // The node's word on the rate; a change is the director's.
    const auto dynamic = hints::decode_cmsd_dynamic(r.response.headers.get_all("CMSD-Dynamic"));
    for (const auto& entry : dynamic.entries)
        if (const auto mb = entry.keys.integer("mb")) {
            int best = 0;
            for (std::size_t k = 0; k < s_.rung_kb.size(); ++k)
                if (std::llround(s_.rung_kb[k] * 8) <= *mb) best = static_cast<int>(k);
            best = std::min(best, s_.max_rung);
            if (best != rung_) result_.rung_changes += 1;
            rung_ = best;
        }
    if (share < 0.75 && std::bernoulli_distribution(0.1)(loop_.random())) return finish();
    pause_ = loop_.after(std::max(0.0, s_.segment_duration - took), [this] { fetch(); });
}

// The viewer closes its second request itself: no answer is owed to it any more.
void PlayerEmulator::drop_twin() {
    if (!second_) return;
    second_.reset();
    twin_due_.stop();
    tap_(tap_of("left_again"));
}

void PlayerEmulator::finish() {
    if (over_) return;
    over_ = true;
    drop_twin();
    // Told from the loop: the owner destroys this.
    pause_ = loop_.after(0, [this] {
        const auto done = done_;
        done(result_);
    });
}

}  // namespace ivyfield::standins
