#include "standins/node.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "hints/keys.hpp"

namespace ivyfield::standins {

using nlohmann::json;

namespace {

std::vector<std::string> split_path(std::string_view path) {
    std::vector<std::string> out;
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::size_t slash = std::min(path.find('/'), path.size());
        out.push_back(http::percent_decode(path.substr(0, slash)).value_or(""));
        path.remove_prefix(slash);
    }
    return out;
}
std::optional<std::uint64_t> parse_number(const std::string& text) {
    if (text.empty() || text.size() > 16 || text.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return std::stoull(text);
}
std::optional<std::string> read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) return std::nullopt;
    std::ostringstream all;
    all << in.rdbuf();
    return all.str();
}
bool ends_with(const std::string& text, std::string_view end) {
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}
// Headers that web pages may send and read; the same as at the director's HTTP front.
constexpr const char* kAllowedRequestHeaders = "CMCD-Request, CMCD-Object, CMCD-Status, CMCD-Session, Range";
constexpr const char* kExposedResponseHeaders = "CMSD-Dynamic, CMSD-Static, X-Ivyfield-Moved";
http::Response json_response(int status, const json& body) {
    http::Response r;
    r.status = status;
    r.headers.add("Content-Type", "application/json");
    r.body = body.dump();
    return r;
}
std::string hex(std::uint64_t bits) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    for (int k = 0; k < 16; ++k, bits >>= 4) out += digits[bits & 15];
    return out;
}

}  // namespace

NodeEmulator::NodeEmulator(io::Loop& loop, fleet::Fleet& fleet, int number, NodeSettings settings,
                           EventSink event_sink)
    : loop_(loop),
      fleet_(fleet),
      number_(number),
      settings_(std::move(settings)),
      event_sink_(std::move(event_sink)),
      address_(settings_.listen) {
    if (!settings_.media_folder.empty()) load_media_folder();
}
// Closes the connections first, while the state that their disconnect handlers use still exists.
NodeEmulator::~NodeEmulator() { server_.reset(); }

void NodeEmulator::load_media_folder() {
    const auto read = [](const std::string& path, auto&& parse) {
        const auto text = read_file(path);
        if (!text) throw std::runtime_error(path + ": can't be read");
        try {
            return parse(*text);
        } catch (const std::invalid_argument& e) {
            throw std::runtime_error(path + ": " + e.what());
        }
    };
    for (std::size_t rung = 0; rung < settings_.rung_kb.size(); ++rung) {
        const std::string path = settings_.media_folder + "/" + std::to_string(rung) + "/index.m3u8";
        playlists_.push_back(read(path, hls::parse_media_playlist));
        for (const hls::Segment& s : playlists_.back().segments)
            if (s.uri.find('/') != std::string::npos)
                throw std::runtime_error(path + ": segment \"" + s.uri + "\" does not lie beside it");
    }
    const std::string master = settings_.media_folder + "/master.m3u8";
    renditions_.resize(settings_.rung_kb.size());
    if (!read_file(master)) return;
    for (const hls::Variant& v : read(master, hls::parse_master_playlist))
        for (std::size_t rung = 0; rung < renditions_.size(); ++rung)
            if (v.uri == std::to_string(rung) + "/index.m3u8") renditions_[rung] = v;
}
json NodeEmulator::renditions_json() const {
    json out = json::array();
    for (const hls::Variant& r : renditions_)
        out.push_back({{"codecs", r.codecs}, {"resolution", r.resolution}});
    return out;
}
bool NodeEmulator::is_live(const std::string& cls) const {
    return std::any_of(settings_.classes.begin(), settings_.classes.end(),
                       [&](const EmulatedClass& c) { return c.name == cls && c.live; });
}

void NodeEmulator::record_event(SocketEvent t) {
    t.at = loop_.now();
    t.source = settings_.name;
    if (event_sink_) event_sink_(t);
}

void NodeEmulator::start(bool warm) {
    fleet_.start_node(number_, loop_.now(), warm);
    boot_ = hex(loop_.random()());
    http::ServerLimits limits;
    limits.write_timeout = 5000;
    server_ = std::make_unique<http::Server>(loop_, address_, limits,
                                             [this](const http::ExchangePtr& e) { handle_request(e); });
    address_ = server_->address();
    hung_ = false;
    load_reports_.clear();
    refresh_load_report();
    send_notes();
    SocketEvent t;
    t.type = "node_start";
    t.outcome = warm ? "warm" : "cold";
    record_event(t);
}
void NodeEmulator::crash() {
    if (hung_) {
        SocketEvent t;
        t.type = "thaw";
        record_event(t);
    }
    hung_ = false;
    SocketEvent down;
    down.type = "node_down";
    record_event(down);
    server_.reset();  // first, so that requests dropped below have no connection left to be answered on
    pending_setups_.clear();
    sessions_.clear();
    keys_by_token_.clear();
    directors_.clear();
    released_attempts_.clear();
    release_expiry_queue_.clear();
    scheduled_tasks_.clear();
    deferred_work_.clear();
    moved_tokens_.clear();
    note_timer_.stop(), report_timer_.stop();
    if (fleet_.is_up(number_)) fleet_.stop_node(number_);
}
void NodeEmulator::set_hung(bool on) {
    if (on == hung_ || !server_) return;
    hung_ = on;
    SocketEvent t;
    t.type = on ? "hang" : "thaw";
    record_event(t);
    if (on) return server_->pause();
    server_->resume();
    const auto work = std::move(deferred_work_);
    deferred_work_.clear();
    for (const auto& one : work) one();
}

double NodeEmulator::rate_kb(const std::string& cls, int rung) const {
    for (const EmulatedClass& c : settings_.classes)
        if (c.name == cls) return settings_.rung_kb.at(static_cast<std::size_t>(rung)) * c.rate_factor;
    return settings_.rung_kb.at(static_cast<std::size_t>(rung));
}

void NodeEmulator::handle_request(const http::ExchangePtr& e) {
    const auto parts = split_path(e->request().path());
    const std::string& method = e->request().method;
    if (parts.size() == 2 && parts[0] == "v1" && parts[1] == "sessions" && method == "POST")
        return handle_setup(e);
    if (parts.size() == 4 && parts[0] == "v1" && parts[1] == "sessions" && parts[3] == "release" &&
        method == "POST")
        return handle_release(e, parts[2]);
    if (parts.size() >= 5 && parts[0] == "v1" && parts[1] == "sessions") return handle_command(e, parts);
    if (parts.size() == 2 && parts[0] == "v1" && parts[1] == "load" && method == "GET") {
        const io::Time seen = loop_.now() - report_delay_;
        std::string text = load_reports_.front().second;
        for (const auto& [made, report] : load_reports_)
            if (made <= seen) text = report;
        http::Response r;
        r.headers.add("Content-Type", "application/json");
        r.body = text;
        return e->respond(r);
    }
    if (parts.size() == 2 && parts[0] == "v1" && parts[1] == "events" && method == "GET")
        return serve_events(e);
    if (parts.size() == 4 && parts[0] == "media")
        return http::is_preflight(e->request())
                   ? e->respond(http::preflight_response(kAllowedRequestHeaders, 7200))
                   : serve_media(e, parts);
    e->respond(http::text_response(404, "nothing here"));
}

void NodeEmulator::schedule(io::Time wait, std::function<void()> task) {
    const std::uint64_t id = ++last_task_id_;
    scheduled_tasks_[id] = loop_.after(wait, [this, id, task = std::move(task)] {
        const io::Timer self = std::move(scheduled_tasks_.at(id));
        scheduled_tasks_.erase(id);
        task();
    });
}
std::string NodeEmulator::media_url(const std::string& token) const {
    return "http://" + address_.text() + "/media/" + token + "/";
}

// ---- Set-ups ----

void NodeEmulator::handle_setup(const http::ExchangePtr& e) {
    const json body = json::parse(e->request().body, nullptr, false);
    SocketEvent t;
    t.type = "setup";
    try {
        if (body.at("protocol").get<int>() != 2)
            throw std::invalid_argument("this node speaks protocol 2 (docs/node-protocol.md)");
        t.director = body.at("director").get<std::string>();
        t.session = body.at("session").get<std::uint64_t>();
        t.attempt = body.at("attempt").get<int>();
        t.sid = body.at("sid").get<std::string>();
        t.cls = body.at("class").get<std::string>();
        t.title = body.at("title").get<std::string>();
        t.tenant = body.value("tenant", "");
        t.rung = body.at("rung").get<int>();
        t.non_idempotent = body.at("paid").get<bool>();
        if (t.rung < 0 || t.rung >= static_cast<int>(settings_.rung_kb.size()))
            throw std::invalid_argument("rung is not on the ladder");
    } catch (const std::exception& why) {
        return e->respond(http::text_response(400, why.what()));
    }
    const AttemptKey key{t.director, t.session, t.attempt};
    record_event(t);
    const auto over = [this, t](int status, const char* how) {
        SocketEvent o = t;
        o.type = "setup_over";
        o.status = status;
        o.outcome = how;
        record_event(o);
    };
    // Released before it arrived: no director waits for it.
    if (released_attempts_.count(key) || sessions_.count(key) || pending_setups_.count(key)) {
        http::Response r = json_response(503, {{"why", "called off, or here already"}});
        if (released_attempts_.count(key)) r.headers.add("X-Ivyfield-Unseen", "1");
        over(503, released_attempts_.count(key) ? "full" : "repeated");
        return e->respond(r);
    }
    const auto chance = [this](double p) { return p > 0 && std::bernoulli_distribution(p)(loop_.random()); };
    if (chance(error_probability_)) {
        over(500, "error");
        return e->respond(http::text_response(500, "this node is broken"));
    }
    switch (fleet_.begin_setup(number_, loop_.now())) {
        case fleet::SetupResult::overloaded: {
            SocketEvent fell = t;
            fell.type = "node_fell";
            record_event(fell);
            over(0, "broke");
            loop_.post([this] { crash(); });
            return e->abort_connection();
        }
        case fleet::SetupResult::full: {
            http::Response r = json_response(503, {{"why", "full"}});
            r.headers.add("X-Ivyfield-Unseen", "1");
            over(503, "full");
            return e->respond(r);
        }
        case fleet::SetupResult::accepted:
            break;
    }
    auto setting = std::make_unique<PendingSetup>();
    setting->exchange = e;
    e->on_disconnect([this, key, over] {
        // The director cancelled the set-up or went down: it does not run any more unless it already has.
        const auto it = pending_setups_.find(key);
        over(0, "gone");
        if (it == pending_setups_.end()) return;
        it->second->exchange.reset();
        if (hung_) return;
        pending_setups_.erase(it);
        fleet_.cancel_setup(number_);
    });
    const double work = std::uniform_real_distribution<double>(settings_.min_setup_time,
                                                               settings_.max_setup_time)(loop_.random());
    setting->work_timer = loop_.after(work, [this, key, t] { complete_setup(key, t, t.rung); });
    pending_setups_.emplace(key, std::move(setting));
    if (t.non_idempotent && hang_after_paid_setup_) {
        hang_after_paid_setup_ = false;
        loop_.post([this] { set_hung(true); });
    }
}

void NodeEmulator::complete_setup(const AttemptKey& key, const SocketEvent& from, int rung) {
    if (hung_) {
        deferred_work_.push_back([this, key, from, rung] { complete_setup(key, from, rung); });
        return;
    }
    const auto it = pending_setups_.find(key);
    if (it == pending_setups_.end()) return;
    const std::unique_ptr<PendingSetup> setting = std::move(it->second);
    pending_setups_.erase(it);
    SocketEvent ran = from;
    ran.type = "ran";
    record_event(ran);
    auto session = std::make_unique<Session>();
    session->token = hex(loop_.random()());
    session->sid = from.sid, session->cls = from.cls, session->title = from.title;
    session->tenant = from.tenant, session->non_idempotent = from.non_idempotent;
    session->rung = rung;
    DirectorState& state = directors_[from.director];
    const std::uint64_t start_seq = session->start_seq = ++state.last_seq;
    if (!state.event_stream) start_lease(from.director);
    fleet::StreamSpec stream;
    stream.rate_kb = rate_kb(from.cls, rung);
    stream.rung = rung;
    if (is_live(from.cls)) stream.sharing_key = from.cls + "/" + from.title;
    session->stream_id = fleet_.start_stream(number_, stream);
    session->idle_timer = loop_.after(settings_.idle_timeout, [this, key] { end_session(key, "ended"); });
    keys_by_token_[session->token] = key;
    const std::string token = session->token;
    sessions_.emplace(key, std::move(session));
    const http::ExchangePtr e = setting->exchange;
    if (!e || e->is_disconnected()) return;
    e->on_disconnect(nullptr);
    SocketEvent over = from;
    over.type = "setup_over";
    if (answer_loss_probability_ > 0 &&
        std::bernoulli_distribution(answer_loss_probability_)(loop_.random())) {
        // The request stays open unanswered until the director's own timeout ends it.
        over.outcome = "lost";
        auto held = std::make_shared<http::ExchangePtr>(e);
        e->on_disconnect([this, over, held] {
            record_event(over);
            held->reset();
        });
        return;
    }
    over.status = 200;
    over.outcome = "started";
    record_event(over);
    json answer = {{"media", media_url(token)}, {"boot", boot_}, {"seq", start_seq}};
    if (!renditions_.empty()) answer["renditions"] = renditions_json();
    e->respond(json_response(200, answer));
}

// ---- Commands to playing sessions ----

void NodeEmulator::handle_command(const http::ExchangePtr& e, const std::vector<std::string>& parts) {
    const auto session = parse_number(parts[3]), attempt = parse_number(parts[4]);
    if (!session || !attempt) return e->respond(http::text_response(400, "not a session and attempt"));
    const AttemptKey key{parts[2], *session, static_cast<int>(*attempt)};
    const std::string& method = e->request().method;
    const auto it = sessions_.find(key);
    SocketEvent t;
    t.director = parts[2], t.session = *session, t.attempt = static_cast<int>(*attempt);
    if (method == "DELETE" && parts.size() == 5) {
        release_attempt(key);
        return e->respond({204, {}, ""});
    }
    if (it == sessions_.end()) return e->respond(http::text_response(404, "no such session"));
    Session& s = *it->second;
    if (method == "PUT" && parts.size() == 6 && parts[5] == "rung") {
        const json body = json::parse(e->request().body, nullptr, false);
        if (!body.is_object() || !body.contains("rung") || !body.at("rung").is_number_integer())
            return e->respond(http::text_response(400, "no rung"));
        const int rung = body.at("rung").get<int>();
        if (rung < 0 || rung >= static_cast<int>(settings_.rung_kb.size()))
            return e->respond(http::text_response(400, "rung is not on the ladder"));
        s.rung = rung;
        fleet_.set_rung(number_, s.stream_id, rung, rate_kb(s.cls, rung));
        t.type = "rung", t.rung = rung, t.cls = s.cls, t.sid = s.sid;
        record_event(t);
        return e->respond({204, {}, ""});
    }
    if (method == "POST" && parts.size() == 6 && parts[5] == "move") {
        moved_tokens_.insert(s.token);
        end_session(key, "cancelled");
        return e->respond({204, {}, ""});
    }
    e->respond(http::text_response(405, "not this"));
}

void NodeEmulator::handle_release(const http::ExchangePtr& e, const std::string& director) {
    const json body = json::parse(e->request().body, nullptr, false);
    std::vector<AttemptKey> keys;
    try {
        for (const json& one : body.at("sessions"))
            keys.emplace_back(director, one.at(0).get<std::uint64_t>(), one.at(1).get<int>());
    } catch (const std::exception& why) {
        return e->respond(http::text_response(400, why.what()));
    }
    for (const AttemptKey& key : keys) release_attempt(key);
    e->respond(json_response(200, json::object()));
}
// Ends whatever the attempt has at this node. A set-up that arrives after this is rejected.
void NodeEmulator::release_attempt(const AttemptKey& key) {
    SocketEvent t;
    t.type = "cancel";
    t.director = std::get<0>(key), t.session = std::get<1>(key), t.attempt = std::get<2>(key);
    record_event(t);
    const io::Time now = loop_.now();
    while (!release_expiry_queue_.empty() &&
           (release_expiry_queue_.front().first <= now || release_expiry_queue_.size() >= 100000)) {
        released_attempts_.erase(release_expiry_queue_.front().second);
        release_expiry_queue_.pop_front();
    }
    if (released_attempts_.insert(key).second)
        release_expiry_queue_.emplace_back(now + settings_.release_retention, key);
    if (const auto s = pending_setups_.find(key); s != pending_setups_.end()) {
        pending_setups_.erase(s);
        fleet_.cancel_setup(number_);
    }
    end_session(key, "cancelled");
}

void NodeEmulator::end_session(const AttemptKey& key, const char* how) {
    if (hung_) {
        deferred_work_.push_back([this, key, how] { end_session(key, how); });
        return;
    }
    const auto it = sessions_.find(key);
    if (it == sessions_.end()) return;
    const std::unique_ptr<Session> s = std::move(it->second);
    sessions_.erase(it);
    keys_by_token_.erase(s->token);
    fleet_.end_stream(number_, s->stream_id);
    const auto& [director, session, attempt] = key;
    SocketEvent t;
    t.type = "end", t.director = director, t.session = session, t.attempt = attempt;
    t.sid = s->sid, t.cls = s->cls, t.title = s->title, t.outcome = how;
    record_event(t);
    DirectorState& state = directors_[director];
    const std::string line = json{{"event", "end"},     {"boot", boot_},      {"seq", ++state.last_seq},
                                  {"session", session}, {"attempt", attempt}, {"how", how}}
                                 .dump();
    state.end_log.emplace_back(state.last_seq, line);
    if (state.end_log.size() > settings_.max_logged_ends) {
        state.last_dropped_seq = state.end_log.front().first;
        state.end_log.pop_front();
    }
    send_event(director, line);
}

// ---- Events ----

void NodeEmulator::serve_events(const http::ExchangePtr& e) {
    const std::string_view query = e->request().query();
    const auto director = http::query_argument(query, "director");
    if (!director || director->empty()) return e->respond(http::text_response(400, "no director"));
    if (http::query_argument(query, "protocol").value_or("1") != "2")
        return e->respond(http::text_response(400, "this node speaks protocol 2 (docs/node-protocol.md)"));
    if (directors_.size() >= 2000 && !directors_.count(*director))
        return e->respond(http::text_response(503, "too many directors"));
    DirectorState& state = directors_[*director];
    const auto since = parse_number(http::query_argument(query, "since").value_or(""));
    const bool resumes = since && http::query_argument(query, "boot").value_or("") == boot_ &&
                         *since >= state.last_dropped_seq && *since <= state.last_seq;
    http::Headers headers;
    headers.add("Content-Type", "application/x-ndjson");
    e->start(200, headers);
    std::string out = json{{"event", "hello"},  {"node", settings_.name},
                           {"boot", boot_},     {"protocol", 2},
                           {"whole", !resumes}, {"age_ms", loop_.now() - fleet_.started_at(number_)}}
                          .dump() +
                      "\n";
    if (resumes) {
        for (const auto& [seq, line] : state.end_log)
            if (seq > *since) out += line + "\n";
    } else {
        for (auto it = sessions_.lower_bound({*director, 0, 0});
             it != sessions_.end() && std::get<0>(it->first) == *director; ++it) {
            const Session& s = *it->second;
            json line{{"event", "plays"},
                      {"boot", boot_},
                      {"session", std::get<1>(it->first)},
                      {"attempt", std::get<2>(it->first)},
                      {"seq", s.start_seq},
                      {"sid", s.sid},
                      {"tenant", s.tenant},
                      {"class", s.cls},
                      {"title", s.title},
                      {"rung", s.rung},
                      {"paid", s.non_idempotent},
                      {"media", media_url(s.token)}};
            if (!renditions_.empty()) line["renditions"] = renditions_json();
            out += line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
        }
    }
    out += json{{"event", "account"}, {"boot", boot_}, {"seq", state.last_seq}}.dump() + "\n";
    e->write(out);
    state.lease_timer.stop();
    state.event_stream = e;  // one per director: an older stream is dropped, which closes it
    e->on_disconnect([this, director = *director, raw = e.get()] {
        const auto it = directors_.find(director);
        if (it == directors_.end() || it->second.event_stream.get() != raw) return;
        const http::ExchangePtr keep = std::move(it->second.event_stream);
        it->second.event_stream = nullptr;
        start_lease(director);
    });
}
// Ends the director's sessions unless it opens an event stream within the lease time.
void NodeEmulator::start_lease(const std::string& director) {
    directors_[director].lease_timer = loop_.after(settings_.lease_time, [this, director] {
        std::vector<AttemptKey> keys;
        for (auto it = sessions_.lower_bound({director, 0, 0});
             it != sessions_.end() && std::get<0>(it->first) == director; ++it)
            keys.push_back(it->first);
        for (const AttemptKey& key : keys) end_session(key, "reset");
    });
}
void NodeEmulator::send_event(const std::string& director, const std::string& line) {
    const auto it = directors_.find(director);
    if (it != directors_.end() && it->second.event_stream && !it->second.event_stream->is_disconnected())
        it->second.event_stream->write(line + "\n");
}
void NodeEmulator::send_notes() {
    note_timer_ = loop_.after(settings_.note_interval, [this] { send_notes(); });
    if (hung_) return;
    const double share = fleet_.delivered_share(number_, loop_.now());
    for (auto& [director, state] : directors_) {
        if (!state.event_stream || state.event_stream->is_disconnected()) continue;
        send_event(director, "{\"event\":\"tick\"}");
        if (share >= 0.98 && !state.was_short_of_rate) continue;
        state.was_short_of_rate = share < 0.98;
        // The note is sent for one session of each director.
        const auto first = sessions_.lower_bound({director, 0, 0});
        if (first == sessions_.end() || std::get<0>(first->first) != director) continue;
        const std::string line = json{
            {"event", "delivered"},
            {"boot", boot_},
            {"session", std::get<1>(first->first)},
            {"attempt", std::get<2>(first->first)},
            {"value", share}}.dump();
        // Delayed, as a smoothed measurement is.
        schedule(settings_.note_delay, [this, line, director = director] { send_event(director, line); });
    }
}
void NodeEmulator::refresh_load_report() {
    report_timer_ = loop_.after(settings_.report_interval, [this] { refresh_load_report(); });
    const io::Time now = loop_.now();
    load_reports_.emplace_back(
        now, json{{"streams", fleet_.stream_count(number_)},
                  {"link", fleet_.link_utilization(number_, now)},
                  {"uplink", fleet_.uplink_utilization(fleet_.node_spec(number_).rack, now)}}
                 .dump());
    while (load_reports_.size() > 1 && load_reports_[1].first < now - 10000)
        load_reports_.erase(load_reports_.begin());
}

// ---- Media ----

void NodeEmulator::serve_media(const http::ExchangePtr& e, const std::vector<std::string>& parts) {
    const auto it = keys_by_token_.find(parts[1]);
    if (it == keys_by_token_.end()) {
        // The session was moved or is over: the player has to ask a director again with the same sid.
        http::Response r = http::text_response(410, "this session is over here; ask the director again");
        if (moved_tokens_.count(parts[1])) r.headers.add("X-Ivyfield-Moved", "1");
        http::allow_any_origin(r.headers, kExposedResponseHeaders);
        return e->respond(r);
    }
    const AttemptKey key = it->second;
    Session& s = *sessions_.at(key);
    s.idle_timer = loop_.after(settings_.idle_timeout, [this, key] { end_session(key, "ended"); });
    const auto rung = parse_number(parts[2]);
    if (!rung || *rung >= settings_.rung_kb.size())
        return e->respond(http::text_response(404, "no such rung"));
    const io::Time now = loop_.now();
    const double share = fleet_.delivered_share(number_, now);
    hints::Keys keys;
    keys.values["mb"] = static_cast<std::int64_t>(std::llround(rate_kb(s.cls, s.rung) * 8));
    keys.values["etp"] = static_cast<std::int64_t>(std::llround(rate_kb(s.cls, s.rung) * 8 * share));
    if (share < 0.98) keys.values["du"] = true;
    http::Response r;
    http::allow_any_origin(r.headers, kExposedResponseHeaders);
    if (parts[3] == "index.m3u8" && !playlists_.empty()) {
        r.headers.add("Content-Type", "application/vnd.apple.mpegurl");
        r.headers.add("CMSD-Dynamic", hints::encode_cmsd_dynamic({{settings_.name, keys}}));
        hls::MediaPlaylist shown = playlists_.at(*rung);
        if (is_live(s.cls)) shown = hls::live_window(shown, now / 1000, 3);
        else shown.ended = true;
        r.body = hls::write_media_playlist(shown);
        return e->respond(r);
    }
    if (parts[3] == "index.m3u8") {
        const auto first = static_cast<std::uint64_t>(now / settings_.segment_duration);
        r.headers.add("Content-Type", "application/vnd.apple.mpegurl");
        r.headers.add("CMSD-Dynamic", hints::encode_cmsd_dynamic({{settings_.name, keys}}));
        hls::MediaPlaylist list;
        list.version = 6;
        list.media_sequence = first;
        for (std::uint64_t k = first; k < first + 3; ++k)
            list.segments.push_back({settings_.segment_duration / 1000, std::to_string(k) + ".ts", false});
        r.body = hls::write_media_playlist(list);
        return e->respond(r);
    }
    io::Time length = settings_.segment_duration;
    const char* type = "video/mp2t";
    if (playlists_.empty()) {
        const std::size_t dot = parts[3].find('.');
        if (!parse_number(parts[3].substr(0, dot)) ||
            parts[3].substr(std::min(dot, parts[3].size())) != ".ts")
            return e->respond(http::text_response(404, "no such segment"));
        const double bytes =
            rate_kb(s.cls, static_cast<int>(*rung)) * settings_.segment_duration * settings_.byte_fraction;
        r.body.assign(static_cast<std::size_t>(std::max(1.0, bytes)), 'x');
    } else {
        // Serves only files that the playlist names, so that a requested path can't reach other files.
        const hls::MediaPlaylist& title = playlists_.at(*rung);
        const auto found = std::find_if(title.segments.begin(), title.segments.end(),
                                        [&](const hls::Segment& one) { return one.uri == parts[3]; });
        if (found == title.segments.end() && parts[3] != title.map_uri)
            return e->respond(http::text_response(404, "no such segment"));
        auto bytes = read_file(settings_.media_folder + "/" + parts[2] + "/" + parts[3]);
        if (!bytes) return e->respond(http::text_response(404, "no such file in the media folder"));
        r.body = std::move(*bytes);
        length = found == title.segments.end() ? 0 : found->duration_s * 1000;
        if (!ends_with(parts[3], ".ts")) type = "video/mp4";
    }
    r.headers.add("Content-Type", type);
    // A short link delays the media: a segment takes its duration divided by the delivered share, and its
    // first byte waits for the time in excess of the duration.
    const io::Time excess = std::min(20000.0, length * (1 / std::max(share, 0.05) - 1));
    keys.values["rd"] = static_cast<std::int64_t>(std::llround(excess));
    r.headers.add("CMSD-Dynamic", hints::encode_cmsd_dynamic({{settings_.name, keys}}));
    if (excess < 1) return e->respond(r);
    schedule(excess, [e, r] { e->respond(r); });
}

}  // namespace ivyfield::standins
