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
    http::Response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = body.dump();
    return response;
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

void NodeEmulator::record_event(SocketEvent event) {
    event.at = loop_.now();
    event.source = settings_.name;
    if (event_sink_) event_sink_(event);
}

void NodeEmulator::start(bool warm) {
    fleet_.start_node(number_, loop_.now(), warm);
    boot_ = hex(loop_.random()());
    http::ServerLimits limits;
    limits.write_timeout = 5000;
    server_ = std::make_unique<http::Server>(
        loop_, address_, limits, [this](const http::ExchangePtr& exchange) { handle_request(exchange); });
    address_ = server_->address();
    hung_ = false;
    load_reports_.clear();
    refresh_load_report();
    send_notes();
    SocketEvent event;
    event.type = "node_start";
    event.outcome = warm ? "warm" : "cold";
    record_event(event);
}
void NodeEmulator::crash() {
    if (hung_) {
        SocketEvent event;
        event.type = "thaw";
        record_event(event);
    }
    hung_ = false;
    SocketEvent down_event;
    down_event.type = "node_down";
    record_event(down_event);
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
    SocketEvent event;
    event.type = on ? "hang" : "thaw";
    record_event(event);
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

void NodeEmulator::handle_request(const http::ExchangePtr& exchange) {
    const auto parts = split_path(exchange->request().path());
    const std::string& method = exchange->request().method;
    if (parts.size() == 2 && parts[0] == "v1" && parts[1] == "sessions" && method == "POST")
        return handle_setup(exchange);
    if (parts.size() == 4 && parts[0] == "v1" && parts[1] == "sessions" && parts[3] == "release" &&
        method == "POST")
        return handle_release(exchange, parts[2]);
    if (parts.size() >= 5 && parts[0] == "v1" && parts[1] == "sessions")
        return handle_command(exchange, parts);
    if (parts.size() == 2 && parts[0] == "v1" && parts[1] == "load" && method == "GET") {
        const io::Time seen = loop_.now() - report_delay_;
        std::string text = load_reports_.front().second;
        for (const auto& [made, report] : load_reports_)
            if (made <= seen) text = report;
        http::Response response;
        response.headers.add("Content-Type", "application/json");
        response.body = text;
        return exchange->respond(response);
    }
    if (parts.size() == 2 && parts[0] == "v1" && parts[1] == "events" && method == "GET")
        return serve_events(exchange);
    if (parts.size() == 4 && parts[0] == "media")
        return http::is_preflight(exchange->request())
                   ? exchange->respond(http::preflight_response(kAllowedRequestHeaders, 7200))
                   : serve_media(exchange, parts);
    exchange->respond(http::text_response(404, "nothing here"));
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

void NodeEmulator::handle_setup(const http::ExchangePtr& exchange) {
    const json body = json::parse(exchange->request().body, nullptr, false);
    SocketEvent event;
    event.type = "setup";
    try {
        if (body.at("protocol").get<int>() != 2)
            throw std::invalid_argument("this node speaks protocol 2 (docs/node-protocol.md)");
        event.director = body.at("director").get<std::string>();
        event.session = body.at("session").get<std::uint64_t>();
        event.attempt = body.at("attempt").get<int>();
        event.sid = body.at("sid").get<std::string>();
        event.cls = body.at("class").get<std::string>();
        event.title = body.at("title").get<std::string>();
        event.tenant = body.value("tenant", "");
        event.rung = body.at("rung").get<int>();
        event.non_idempotent = body.at("paid").get<bool>();
        if (event.rung < 0 || event.rung >= static_cast<int>(settings_.rung_kb.size()))
            throw std::invalid_argument("rung is not on the ladder");
    } catch (const std::exception& why) {
        return exchange->respond(http::text_response(400, why.what()));
    }
    const AttemptKey key{event.director, event.session, event.attempt};
    record_event(event);
    const auto record_setup_over = [this, event](int status, const char* how) {
        SocketEvent end_event = event;
        end_event.type = "setup_over";
        end_event.status = status;
        end_event.outcome = how;
        record_event(end_event);
    };
    // Released before it arrived: no director waits for it.
    if (released_attempts_.count(key) || sessions_.count(key) || pending_setups_.count(key)) {
        http::Response response = json_response(503, {{"why", "called off, or here already"}});
        if (released_attempts_.count(key)) response.headers.add("X-Ivyfield-Unseen", "1");
        record_setup_over(503, released_attempts_.count(key) ? "full" : "repeated");
        return exchange->respond(response);
    }
    const auto chance = [this](double p) { return p > 0 && std::bernoulli_distribution(p)(loop_.random()); };
    if (chance(error_probability_)) {
        record_setup_over(500, "error");
        return exchange->respond(http::text_response(500, "this node is broken"));
    }
    switch (fleet_.begin_setup(number_, loop_.now())) {
        case fleet::SetupResult::overloaded: {
            SocketEvent overload_event = event;
            overload_event.type = "node_fell";
            record_event(overload_event);
            record_setup_over(0, "broke");
            loop_.post([this] { crash(); });
            return exchange->abort_connection();
        }
        case fleet::SetupResult::full: {
            http::Response response = json_response(503, {{"why", "full"}});
            response.headers.add("X-Ivyfield-Unseen", "1");
            record_setup_over(503, "full");
            return exchange->respond(response);
        }
        case fleet::SetupResult::accepted:
            break;
    }
    auto pending_setup = std::make_unique<PendingSetup>();
    pending_setup->exchange = exchange;
    exchange->on_disconnect([this, key, record_setup_over] {
        // The director cancelled the set-up or went down: it does not run any more unless it already has.
        const auto it = pending_setups_.find(key);
        record_setup_over(0, "gone");
        if (it == pending_setups_.end()) return;
        it->second->exchange.reset();
        if (hung_) return;
        pending_setups_.erase(it);
        fleet_.cancel_setup(number_);
    });
    const double work = std::uniform_real_distribution<double>(settings_.min_setup_time,
                                                               settings_.max_setup_time)(loop_.random());
    pending_setup->work_timer =
        loop_.after(work, [this, key, event] { complete_setup(key, event, event.rung); });
    pending_setups_.emplace(key, std::move(pending_setup));
    if (event.non_idempotent && hang_after_paid_setup_) {
        hang_after_paid_setup_ = false;
        loop_.post([this] { set_hung(true); });
    }
}

void NodeEmulator::complete_setup(const AttemptKey& key, const SocketEvent& setup_event, int rung) {
    if (hung_) {
        deferred_work_.push_back([this, key, setup_event, rung] { complete_setup(key, setup_event, rung); });
        return;
    }
    const auto it = pending_setups_.find(key);
    if (it == pending_setups_.end()) return;
    const std::unique_ptr<PendingSetup> pending_setup = std::move(it->second);
    pending_setups_.erase(it);
    SocketEvent ran = setup_event;
    ran.type = "ran";
    record_event(ran);
    auto session = std::make_unique<Session>();
    session->token = hex(loop_.random()());
    session->sid = setup_event.sid, session->cls = setup_event.cls, session->title = setup_event.title;
    session->tenant = setup_event.tenant, session->non_idempotent = setup_event.non_idempotent;
    session->rung = rung;
    DirectorState& state = directors_[setup_event.director];
    const std::uint64_t start_seq = session->start_seq = ++state.last_seq;
    if (!state.event_stream) start_lease(setup_event.director);
    fleet::StreamSpec stream;
    stream.rate_kb = rate_kb(setup_event.cls, rung);
    stream.rung = rung;
    if (is_live(setup_event.cls)) stream.sharing_key = setup_event.cls + "/" + setup_event.title;
    session->stream_id = fleet_.start_stream(number_, stream);
    session->idle_timer = loop_.after(settings_.idle_timeout, [this, key] { end_session(key, "ended"); });
    keys_by_token_[session->token] = key;
    const std::string token = session->token;
    sessions_.emplace(key, std::move(session));
    const http::ExchangePtr exchange = pending_setup->exchange;
    if (!exchange || exchange->is_disconnected()) return;
    exchange->on_disconnect(nullptr);
    SocketEvent over_event = setup_event;
    over_event.type = "setup_over";
    if (answer_loss_probability_ > 0 &&
        std::bernoulli_distribution(answer_loss_probability_)(loop_.random())) {
        // The request stays open unanswered until the director's own timeout ends it.
        over_event.outcome = "lost";
        auto open_exchange = std::make_shared<http::ExchangePtr>(exchange);
        exchange->on_disconnect([this, over_event, open_exchange] {
            record_event(over_event);
            open_exchange->reset();
        });
        return;
    }
    over_event.status = 200;
    over_event.outcome = "started";
    record_event(over_event);
    json answer = {{"media", media_url(token)}, {"boot", boot_}, {"seq", start_seq}};
    if (!renditions_.empty()) answer["renditions"] = renditions_json();
    exchange->respond(json_response(200, answer));
}

// ---- Commands to playing sessions ----

void NodeEmulator::handle_command(const http::ExchangePtr& exchange, const std::vector<std::string>& parts) {
    const auto session = parse_number(parts[3]), attempt = parse_number(parts[4]);
    if (!session || !attempt) return exchange->respond(http::text_response(400, "not a session and attempt"));
    const AttemptKey key{parts[2], *session, static_cast<int>(*attempt)};
    const std::string& method = exchange->request().method;
    const auto it = sessions_.find(key);
    SocketEvent event;
    event.director = parts[2], event.session = *session, event.attempt = static_cast<int>(*attempt);
    if (method == "DELETE" && parts.size() == 5) {
        release_attempt(key);
        return exchange->respond({204, {}, ""});
    }
    if (it == sessions_.end()) return exchange->respond(http::text_response(404, "no such session"));
    Session& playing_session = *it->second;
    if (method == "PUT" && parts.size() == 6 && parts[5] == "rung") {
        const json body = json::parse(exchange->request().body, nullptr, false);
        if (!body.is_object() || !body.contains("rung") || !body.at("rung").is_number_integer())
            return exchange->respond(http::text_response(400, "no rung"));
        const int rung = body.at("rung").get<int>();
        if (rung < 0 || rung >= static_cast<int>(settings_.rung_kb.size()))
            return exchange->respond(http::text_response(400, "rung is not on the ladder"));
        playing_session.rung = rung;
        fleet_.set_rung(number_, playing_session.stream_id, rung, rate_kb(playing_session.cls, rung));
        event.type = "rung", event.rung = rung, event.cls = playing_session.cls,
        event.sid = playing_session.sid;
        record_event(event);
        return exchange->respond({204, {}, ""});
    }
    if (method == "POST" && parts.size() == 6 && parts[5] == "move") {
        moved_tokens_.insert(playing_session.token);
        end_session(key, "cancelled");
        return exchange->respond({204, {}, ""});
    }
    exchange->respond(http::text_response(405, "not this"));
}

void NodeEmulator::handle_release(const http::ExchangePtr& exchange, const std::string& director) {
    const json body = json::parse(exchange->request().body, nullptr, false);
    std::vector<AttemptKey> keys;
    try {
        for (const json& one : body.at("sessions"))
            keys.emplace_back(director, one.at(0).get<std::uint64_t>(), one.at(1).get<int>());
    } catch (const std::exception& why) {
        return exchange->respond(http::text_response(400, why.what()));
    }
    for (const AttemptKey& key : keys) release_attempt(key);
    exchange->respond(json_response(200, json::object()));
}
// Ends whatever the attempt has at this node. A set-up that arrives after this is rejected.
void NodeEmulator::release_attempt(const AttemptKey& key) {
    SocketEvent event;
    event.type = "cancel";
    event.director = std::get<0>(key), event.session = std::get<1>(key), event.attempt = std::get<2>(key);
    record_event(event);
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
    const std::unique_ptr<Session> ended_session = std::move(it->second);
    sessions_.erase(it);
    keys_by_token_.erase(ended_session->token);
    fleet_.end_stream(number_, ended_session->stream_id);
    const auto& [director, session, attempt] = key;
    SocketEvent event;
    event.type = "end", event.director = director, event.session = session, event.attempt = attempt;
    event.sid = ended_session->sid, event.cls = ended_session->cls, event.title = ended_session->title,
    event.outcome = how;
    record_event(event);
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

void NodeEmulator::serve_events(const http::ExchangePtr& exchange) {
    const std::string_view query = exchange->request().query();
    const auto director = http::query_argument(query, "director");
    if (!director || director->empty()) return exchange->respond(http::text_response(400, "no director"));
    if (http::query_argument(query, "protocol").value_or("1") != "2")
        return exchange->respond(
            http::text_response(400, "this node speaks protocol 2 (docs/node-protocol.md)"));
    if (directors_.size() >= 2000 && !directors_.count(*director))
        return exchange->respond(http::text_response(503, "too many directors"));
    DirectorState& state = directors_[*director];
    const auto since = parse_number(http::query_argument(query, "since").value_or(""));
    const bool resumes = since && http::query_argument(query, "boot").value_or("") == boot_ &&
                         *since >= state.last_dropped_seq && *since <= state.last_seq;
    http::Headers headers;
    headers.add("Content-Type", "application/x-ndjson");
    exchange->start(200, headers);
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
            const Session& session = *it->second;
            json line{{"event", "plays"},
                      {"boot", boot_},
                      {"session", std::get<1>(it->first)},
                      {"attempt", std::get<2>(it->first)},
                      {"seq", session.start_seq},
                      {"sid", session.sid},
                      {"tenant", session.tenant},
                      {"class", session.cls},
                      {"title", session.title},
                      {"rung", session.rung},
                      {"paid", session.non_idempotent},
                      {"media", media_url(session.token)}};
            if (!renditions_.empty()) line["renditions"] = renditions_json();
            out += line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
        }
    }
    out += json{{"event", "account"}, {"boot", boot_}, {"seq", state.last_seq}}.dump() + "\n";
    exchange->write(out);
    state.lease_timer.stop();
    state.event_stream = exchange;  // one per director: an older stream is dropped, which closes it
    exchange->on_disconnect([this, director = *director, raw = exchange.get()] {
        const auto it = directors_.find(director);
        if (it == directors_.end() || it->second.event_stream.get() != raw) return;
        const http::ExchangePtr dropped_stream = std::move(it->second.event_stream);
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

void NodeEmulator::serve_media(const http::ExchangePtr& exchange, const std::vector<std::string>& parts) {
    const auto it = keys_by_token_.find(parts[1]);
    if (it == keys_by_token_.end()) {
        // The session was moved or is over: the player has to ask a director again with the same sid.
        http::Response response =
            http::text_response(410, "this session is over here; ask the director again");
        if (moved_tokens_.count(parts[1])) response.headers.add("X-Ivyfield-Moved", "1");
        http::allow_any_origin(response.headers, kExposedResponseHeaders);
        return exchange->respond(response);
    }
    const AttemptKey key = it->second;
    Session& session = *sessions_.at(key);
    session.idle_timer = loop_.after(settings_.idle_timeout, [this, key] { end_session(key, "ended"); });
    const auto rung = parse_number(parts[2]);
    if (!rung || *rung >= settings_.rung_kb.size())
        return exchange->respond(http::text_response(404, "no such rung"));
    const io::Time now = loop_.now();
    const double share = fleet_.delivered_share(number_, now);
    hints::Keys keys;
    keys.values["mb"] = static_cast<std::int64_t>(std::llround(rate_kb(session.cls, session.rung) * 8));
    keys.values["etp"] =
        static_cast<std::int64_t>(std::llround(rate_kb(session.cls, session.rung) * 8 * share));
    if (share < 0.98) keys.values["du"] = true;
    http::Response response;
    http::allow_any_origin(response.headers, kExposedResponseHeaders);
    if (parts[3] == "index.m3u8" && !playlists_.empty()) {
        response.headers.add("Content-Type", "application/vnd.apple.mpegurl");
        response.headers.add("CMSD-Dynamic", hints::encode_cmsd_dynamic({{settings_.name, keys}}));
        hls::MediaPlaylist shown = playlists_.at(*rung);
        if (is_live(session.cls)) shown = hls::live_window(shown, now / 1000, 3);
        else shown.ended = true;
        response.body = hls::write_media_playlist(shown);
        return exchange->respond(response);
    }
    if (parts[3] == "index.m3u8") {
        const auto first = static_cast<std::uint64_t>(now / settings_.segment_duration);
        response.headers.add("Content-Type", "application/vnd.apple.mpegurl");
        response.headers.add("CMSD-Dynamic", hints::encode_cmsd_dynamic({{settings_.name, keys}}));
        hls::MediaPlaylist list;
        list.version = 6;
        list.media_sequence = first;
        for (std::uint64_t k = first; k < first + 3; ++k)
            list.segments.push_back({settings_.segment_duration / 1000, std::to_string(k) + ".ts", false});
        response.body = hls::write_media_playlist(list);
        return exchange->respond(response);
    }
    io::Time length = settings_.segment_duration;
    const char* type = "video/mp2t";
    if (playlists_.empty()) {
        const std::size_t dot = parts[3].find('.');
        if (!parse_number(parts[3].substr(0, dot)) ||
            parts[3].substr(std::min(dot, parts[3].size())) != ".ts")
            return exchange->respond(http::text_response(404, "no such segment"));
        const double bytes = rate_kb(session.cls, static_cast<int>(*rung)) * settings_.segment_duration *
                             settings_.byte_fraction;
        response.body.assign(static_cast<std::size_t>(std::max(1.0, bytes)), 'x');
    } else {
        // Serves only files that the playlist names, so that a requested path can't reach other files.
        const hls::MediaPlaylist& playlist = playlists_.at(*rung);
        const auto found = std::find_if(playlist.segments.begin(), playlist.segments.end(),
                                        [&](const hls::Segment& one) { return one.uri == parts[3]; });
        if (found == playlist.segments.end() && parts[3] != playlist.map_uri)
            return exchange->respond(http::text_response(404, "no such segment"));
        auto bytes = read_file(settings_.media_folder + "/" + parts[2] + "/" + parts[3]);
        if (!bytes) return exchange->respond(http::text_response(404, "no such file in the media folder"));
        response.body = std::move(*bytes);
        length = found == playlist.segments.end() ? 0 : found->duration_s * 1000;
        if (!ends_with(parts[3], ".ts")) type = "video/mp4";
    }
    response.headers.add("Content-Type", type);
    // A short link delays the media: a segment takes its duration divided by the delivered share, and its
    // first byte waits for the time in excess of the duration.
    const io::Time excess = std::min(20000.0, length * (1 / std::max(share, 0.05) - 1));
    keys.values["rd"] = static_cast<std::int64_t>(std::llround(excess));
    response.headers.add("CMSD-Dynamic", hints::encode_cmsd_dynamic({{settings_.name, keys}}));
    if (excess < 1) return exchange->respond(response);
    schedule(excess, [exchange, response] { exchange->respond(response); });
}

}  // namespace ivyfield::standins
