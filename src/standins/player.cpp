#include "standins/player.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace ivyfield::standins {

PlayerEmulator::PlayerEmulator(io::Loop& loop, http::Client& client, PlayerSettings settings,
                               std::function<std::pair<std::string, io::Address>()> director,
                               EventSink event_sink, std::function<void(const PlayerResult&)> on_finished)
    : loop_(loop),
      client_(client),
      settings_(std::move(settings)),
      choose_director_(std::move(director)),
      event_sink_(std::move(event_sink)),
      on_finished_(std::move(on_finished)),
      started_at_(loop.now()),
      ends_at_(loop.now() + settings_.watch_duration) {
    result_.tenant = settings_.tenant;
    result_.cls = settings_.cls;
    result_.offered_worth = settings_.worth *
                            settings_.rung_worth.at(static_cast<std::size_t>(settings_.max_rung)) *
                            settings_.watch_duration / 1000;
    send_request();
}
PlayerEmulator::~PlayerEmulator() = default;

SocketEvent PlayerEmulator::make_event(const char* what) const {
    SocketEvent event;
    event.type = what;
    event.at = loop_.now();
    event.source = settings_.name;
    event.director = current_director_;
    event.sid = settings_.sid, event.cls = settings_.cls, event.title = settings_.title,
    event.tenant = settings_.tenant, event.non_idempotent = settings_.non_idempotent;
    event.attempt = result_.tries;
    return event;
}

http::Request PlayerEmulator::make_request() const {
    hints::Keys keys;
    keys.values["sid"] = settings_.sid;
    keys.values["sf"] = hints::Token{"h"};
    keys.values["ot"] = hints::Token{"m"};
    keys.values["su"] = true;
    keys.values["tb"] = static_cast<std::int64_t>(
        std::llround(settings_.rung_kb.at(static_cast<std::size_t>(settings_.max_rung)) * 8));
    http::Request request;
    request.target = "/v1/watch/" + http::percent_encode(settings_.tenant) + "/" +
                     http::percent_encode(settings_.cls) + "/" + http::percent_encode(settings_.title) +
                     "/master.m3u8";
    const auto query = [&request](const std::string& payload) {
        request.target += "?CMCD=" + http::percent_encode(payload);
    };
    switch (settings_.hint_style) {
        case HintStyle::query:
            query(hints::encode_keys(hints::Vocabulary::cmcd, keys));
            break;
        case HintStyle::headers: {
            const auto headers = hints::encode_cmcd_headers(keys);
            for (const auto carrier : {hints::Carrier::request, hints::Carrier::object,
                                       hints::Carrier::status, hints::Carrier::session})
                if (const std::string& value = headers[static_cast<std::size_t>(carrier)]; !value.empty())
                    request.headers.add(hints::header_name(carrier), value);
            break;
        }
        case HintStyle::missing:
            break;
        case HintStyle::malformed:
            query("br=abc,,sid=\"" + settings_.sid + "\",tb=x,ot=zz,su=?7,nor=\"%%\"");
            break;
        case HintStyle::contradictory:
            query("sid=\"" + settings_.sid + "\",tb=1");
            request.headers.add("CMCD-Session", "sid=\"someone-else\"");
            request.headers.add("CMCD-Object", "tb=999999");
            break;
        case HintStyle::over_long:
            request.headers.add("CMCD-Session", "sid=\"" + std::string(9000, 'a') + "\"");
            break;
    }
    return request;
}

void PlayerEmulator::send_request() {
    result_.tries += 1;
    io::Address address;
    std::tie(current_director_, address) = choose_director_();
    request_sent_at_ = loop_.now();
    SocketEvent event = make_event("ask");
    // Requests with these hints carry no sid that identifies the viewer to the director.
    event.details = settings_.hint_style == HintStyle::missing ||
                            settings_.hint_style == HintStyle::contradictory ||
                            settings_.hint_style == HintStyle::over_long
                        ? "unknown"
                        : "";
    event_sink_(event);
    http::CallOptions options;
    options.connect_timeout = 1000;
    options.timeout = 0;
    options.new_connection = true;
    const auto number = static_cast<std::uint64_t>(result_.tries);
    request_call_ =
        client_.send(address, make_request(), options,
                     [this, number](const http::CallResult& result) { handle_answer(number, result); });
    if (settings_.sends_duplicate && result_.tries == 1) {
        SocketEvent duplicate_event = make_event("ask_again");
        duplicate_event.details = event.details;
        event_sink_(duplicate_event);
        duplicate_timer_ = loop_.after(settings_.patience + 100, [this] {
            duplicate_call_.reset();
            event_sink_(make_event("gave_up_again"));
        });
        duplicate_call_ =
            client_.send(address, make_request(), options, [this](const http::CallResult& result) {
                SocketEvent event = make_event("answer_again");
                event.status = result.outcome == http::CallOutcome::response ? result.response.status : 0;
                event_sink_(event);
                duplicate_timer_.stop();
                const std::shared_ptr<http::Call> finished_call(std::move(duplicate_call_));
                loop_.post([finished_call] {});
            });
    }
    answer_timer_ = loop_.after(settings_.patience + 100, [this] { handle_answer_timeout(); });
    if (settings_.leave_after >= 0 && result_.tries == 1)
        leave_timer_ = loop_.after(settings_.leave_after, [this] {
            if (!request_call_) return;
            request_call_.reset();
            cancel_duplicate();
            event_sink_(make_event("left"));
            result_.abandoned += 1;
            finish();
        });
}

// No answer arrived in time, which breaks a rule unless the director itself was down.
void PlayerEmulator::handle_answer_timeout() {
    event_sink_(make_event("gave_up"));
    request_call_.reset();
    result_.abandoned += 1;
    schedule_return(0);
}

void PlayerEmulator::handle_answer(std::uint64_t, const http::CallResult& result) {
    const std::shared_ptr<http::Call> finished_call(std::move(request_call_));
    loop_.post([finished_call] {});
    answer_timer_.stop();
    leave_timer_.stop();
    SocketEvent event = make_event("answer");
    event.status = result.outcome == http::CallOutcome::response ? result.response.status : 0;
    event.outcome = result.outcome != http::CallOutcome::response ? http::name(result.outcome)
                    : event.status == 200                         ? "plays"
                    : event.status == 503                         ? "refused"
                    : event.status == 504                         ? "failed"
                                                                  : "other";
    event_sink_(event);
    if (event.outcome == "plays") {
        // Starts with the first variant, as RFC 8216 allows.
        const std::string& body = result.response.body;
        const std::size_t at = body.find("\nhttp://");
        if (at == std::string::npos) return finish();
        const std::string uri = body.substr(at + 1, body.find('\n', at + 1) - at - 1);
        return start_playback(uri);
    }
    io::Time min_wait = 0;
    if (event.outcome == "refused") {
        result_.rejected += 1;
        min_wait =
            std::atof(std::string(result.response.headers.get("Retry-After").value_or("0")).c_str()) * 1000;
    } else if (event.outcome == "failed") {
        result_.failed += 1;
        if (settings_.non_idempotent)
            return finish();  // the set-up may have run: this viewer does not return
    } else {
        result_.errors += 1;
    }
    schedule_return(min_wait);
}

void PlayerEmulator::schedule_return(io::Time min_wait) {
    auto& random = loop_.random();
    const io::Time wait = std::uniform_real_distribution<double>(settings_.min_return_delay,
                                                                 settings_.max_return_delay)(random);
    const bool returns = std::bernoulli_distribution(settings_.return_probability)(random);
    if (!returns || result_.tries >= settings_.max_tries || loop_.now() + wait >= ends_at_) return finish();
    pause_timer_ = loop_.after(std::max(wait, std::min(min_wait, 3000.0)), [this] { send_request(); });
}

void PlayerEmulator::start_playback(const std::string& uri) {
    // http://ADDRESS/media/TOKEN/RUNG/index.m3u8
    const std::size_t slash = uri.find('/', 7);
    const std::size_t rung_end = uri.rfind('/');
    const std::size_t rung_at = uri.rfind('/', rung_end - 1);
    node_ = io::Address::parse(uri.substr(7, slash - 7));
    base_path_ = uri.substr(slash, rung_at + 1 - slash);
    rung_ = std::atoi(uri.substr(rung_at + 1, rung_end - rung_at - 1).c_str());
    const io::Time waited = loop_.now() - started_at_;
    if (!result_.started) {
        result_.startup_time = waited;
        // The wait counts from the first request, so that a viewer who had to return is late.
        result_.in_time = waited <= settings_.startup_target;
    }
    result_.started = true;
    consecutive_timeouts_ = 0;
    fetch_segment();
}

void PlayerEmulator::fetch_segment() {
    if (loop_.now() >= ends_at_) return finish();
    segment_started_at_ = loop_.now();
    http::Request request;
    hints::Keys keys;
    keys.values["sid"] = settings_.sid;
    keys.values["ot"] = hints::Token{"v"};
    keys.values["br"] =
        static_cast<std::int64_t>(std::llround(settings_.rung_kb.at(static_cast<std::size_t>(rung_)) * 8));
    request.target = base_path_ + std::to_string(rung_) + "/" + std::to_string(next_segment_++) +
                     ".ts?CMCD=" + http::percent_encode(hints::encode_keys(hints::Vocabulary::cmcd, keys));
    http::CallOptions options;
    options.connect_timeout = 1000;
    options.timeout = 8000;
    segment_call_ = client_.send(node_, std::move(request), options,
                                 [this](const http::CallResult& result) { handle_segment(result); });
}

void PlayerEmulator::handle_segment(const http::CallResult& result) {
    const std::shared_ptr<http::Call> finished_call(std::move(segment_call_));
    loop_.post([finished_call] {});
    if (result.outcome != http::CallOutcome::response || result.response.status != 200) {
        // Moved, over, or the node is lost: asks a director again with the same sid.
        const bool moved = result.outcome == http::CallOutcome::response &&
                           result.response.headers.get("X-Ivyfield-Moved") == "1";
        if (moved) result_.moves += 1;
        else result_.errors += 1;
        if (result.outcome == http::CallOutcome::timed_out && ++consecutive_timeouts_ < 3)
            return fetch_segment();
        if (moved) {
            pause_timer_ = loop_.after(300, [this] { send_request(); });
            return;
        }
        return schedule_return(0);
    }
    consecutive_timeouts_ = 0;
    const io::Time took = std::max(result.elapsed, 1.0);
    const double share =
        std::min(1.0, settings_.segment_duration / std::max(settings_.segment_duration, took));
    const double lost = share < 0.98 ? (0.98 - share) * settings_.shortfall_penalty : 0;
    const double played = std::min(settings_.segment_duration, ends_at_ - segment_started_at_) / 1000;
    result_.earned_worth += settings_.worth * settings_.rung_worth.at(static_cast<std::size_t>(rung_)) *
                            played * std::max(0.0, 1 - lost);
    // The node announces the rate in mb; a change of it comes from the director.
    const auto dynamic = hints::decode_cmsd_dynamic(result.response.headers.get_all("CMSD-Dynamic"));
    for (const auto& entry : dynamic.entries)
        if (const auto mb = entry.keys.integer("mb")) {
            int rung = 0;
            for (std::size_t k = 0; k < settings_.rung_kb.size(); ++k)
                if (std::llround(settings_.rung_kb[k] * 8) <= *mb) rung = static_cast<int>(k);
            rung = std::min(rung, settings_.max_rung);
            if (rung != rung_) result_.rung_changes += 1;
            rung_ = rung;
        }
    if (share < 0.75 && std::bernoulli_distribution(0.1)(loop_.random())) return finish();
    pause_timer_ = loop_.after(std::max(0.0, settings_.segment_duration - took), [this] { fetch_segment(); });
}

// The player closes its duplicate request itself, so that it no longer needs an answer.
void PlayerEmulator::cancel_duplicate() {
    if (!duplicate_call_) return;
    duplicate_call_.reset();
    duplicate_timer_.stop();
    event_sink_(make_event("left_again"));
}

void PlayerEmulator::finish() {
    if (finished_) return;
    finished_ = true;
    cancel_duplicate();
    // Reported from the loop, because the owner destroys this object.
    pause_timer_ = loop_.after(0, [this] {
        const auto done = on_finished_;
        done(result_);
    });
}

}  // namespace ivyfield::standins
