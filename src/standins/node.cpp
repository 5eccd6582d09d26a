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

std::vector<std::string> parts_of(std::string_view path) {
    std::vector<std::string> out;
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::size_t slash = std::min(path.find('/'), path.size());
        out.push_back(http::percent_decode(path.substr(0, slash)).value_or(""));
        path.remove_prefix(slash);
    }
    return out;
}
std::optional<std::uint64_t> number_of(const std::string& text) {
    if (text.empty() || text.size() > 16 || text.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return std::stoull(text);
}
std::optional<std::string> file_text(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) return std::nullopt;
    std::ostringstream all;
    all << in.rdbuf();
    return all.str();
}
bool ends_with(const std::string& text, std::string_view end) {
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}
// What pages may send and read, as the director's front has it.
constexpr const char* kAllowed = "CMCD-Request, CMCD-Object, CMCD-Status, CMCD-Session, Range";
constexpr const char* kExposed = "CMSD-Dynamic, CMSD-Static, X-Ivyfield-Moved";
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
                           EventSink tap)
    : loop_(loop),
      fleet_(fleet),
      number_(number),
      settings_(std::move(settings)),
      tap_(std::move(tap)),
      address_(settings_.listen) {
    if (!settings_.media.empty()) read_folder();
}
// Connections first, while all that hears of their end is still here.
NodeEmulator::~NodeEmulator() { server_.reset(); }

void NodeEmulator::read_folder() {
    const auto read = [](const std::string& path, auto&& parse) {
        const auto text = file_text(path);
        if (!text) throw std::runtime_error(path + ": can't be read");
        try {
            return parse(*text);
        } catch (const std::invalid_argument& e) {
            throw std::runtime_error(path + ": " + e.what());
        }
    };
    for (std::size_t rung = 0; rung < settings_.rung_kb.size(); ++rung) {
        const std::string path = settings_.media + "/" + std::to_string(rung) + "/index.m3u8";
        titles_.push_back(read(path, hls::parse_media_playlist));
        for (const hls::Segment& s : titles_.back().segments)
            if (s.uri.find('/') != std::string::npos)
                throw std::runtime_error(path + ": segment \"" + s.uri + "\" does not lie beside it");
    }
    const std::string master = settings_.media + "/master.m3u8";
    renditions_.resize(settings_.rung_kb.size());
    if (!file_text(master)) return;
    for (const hls::Variant& v : read(master, hls::parse_master_playlist))
        for (std::size_t rung = 0; rung < renditions_.size(); ++rung)
            if (v.uri == std::to_string(rung) + "/index.m3u8") renditions_[rung] = v;
}
json NodeEmulator::renditions() const {
    json out = json::array();
    for (const hls::Variant& r : renditions_)
        out.push_back({{"codecs", r.codecs}, {"resolution", r.resolution}});
    return out;
}
bool NodeEmulator::live(const std::string& cls) const {
    return std::any_of(settings_.classes.begin(), settings_.classes.end(),
                       [&](const EmulatedClass& c) { return c.name == cls && c.live; });
}

void NodeEmulator::tap(SocketEvent t) {
    t.at = loop_.now();
    t.source = settings_.name;
    if (tap_) tap_(t);
}

void NodeEmulator::start(bool warm) {
    fleet_.start_node(number_, loop_.now(), warm);
    boot_ = hex(loop_.random()());
    http::ServerLimits limits;
    limits.write_timeout = 5000;
    server_ = std::make_unique<http::Server>(loop_, address_, limits,
                                             [this](const http::ExchangePtr& e) { serve(e); });
    address_ = server_->address();
    hung_ = false;
    reports_.clear();
    refresh();
    tick();
    SocketEvent t;
    t.type = "node_start";
    t.outcome = warm ? "warm" : "cold";
    tap(t);
}
void NodeEmulator::crash() {
    if (hung_) {
        SocketEvent t;
        t.type = "thaw";
        tap(t);
    }
    hung_ = false;
    SocketEvent down;
    down.type = "node_down";
    tap(down);
    server_.reset();  // first: what is dropped unanswered behind it has no connection to be answered on
    setting_.clear();
    sessions_.clear();
    tokens_.clear();
    tellers_.clear();
    let_go_.clear();
    let_go_order_.clear();
    later_.clear();
    stopped_.clear();
    moved_.clear();
    tick_.stop(), refresh_.stop();
    if (fleet_.is_up(number_)) fleet_.stop_node(number_);
}
void NodeEmulator::set_hung(bool on) {
    if (on == hung_ || !server_) return;
    hung_ = on;
    SocketEvent t;
    t.type = on ? "hang" : "thaw";
    tap(t);
    if (on) return server_->pause();
    server_->resume();
    const auto work = std::move(stopped_);
    stopped_.clear();
    for (const auto& one : work) one();
}

double NodeEmulator::kb(const std::string& cls, int rung) const {
    for (const EmulatedClass& c : settings_.classes)
        if (c.name == cls) return settings_.rung_kb.at(static_cast<std::size_t>(rung)) * c.rate_part;
    return settings_.rung_kb.at(static_cast<std::size_t>(rung));
}

void NodeEmulator::serve(const http::ExchangePtr& e) {
    const auto parts = parts_of(e->request().path());
    const std::string& method = e->request().method;
    if (parts.size() == 2 && parts[0] == "v1" && parts[1] == "sessions" && method == "POST") return set_up(e);
    if (parts.size() == 4 && parts[0] == "v1" && parts[1] == "sessions" && parts[3] == "release" &&
        method == "POST")
        return release(e, parts[2]);
    if (parts.size() >= 5 && parts[0] == "v1" && parts[1] == "sessions") return command(e, parts);
    if (parts.size() == 2 && parts[0] == "v1" && parts[1] == "load" && method == "GET") {
        const io::Time seen = loop_.now() - late_;
        std::string text = reports_.front().second;
        for (const auto& [made, report] : reports_)
            if (made <= seen) text = report;
        http::Response r;
        r.headers.add("Content-Type", "application/json");
        r.body = text;
        return e->respond(r);
    }
    if (parts.size() == 2 && parts[0] == "v1" && parts[1] == "events" && method == "GET") return events(e);
    if (parts.size() == 4 && parts[0] == "media")
        return http::is_preflight(e->request()) ? e->respond(http::preflight_response(kAllowed, 7200))
                                                : media(e, parts);
    e->respond(http::text_response(404, "nothing here"));
}

void NodeEmulator::after(io::Time wait, std::function<void()> task) {
    const std::uint64_t id = ++last_later_;
    later_[id] = loop_.after(wait, [this, id, task = std::move(task)] {
        const io::Timer self = std::move(later_.at(id));
        later_.erase(id);
        task();
    });
}
std::string NodeEmulator::media_url(const std::string& token) const {
    return "http://" + address_.text() + "/media/" + token + "/";
}

// ---- Set-ups ----

void NodeEmulator::set_up(const http::ExchangePtr& e) {
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
    const Key key{t.director, t.session, t.attempt};
    tap(t);
    const auto over = [this, t](int status, const char* how) {
        SocketEvent o = t;
        o.type = "setup_over";
        o.status = status;
        o.outcome = how;
        tap(o);
    };
    // Called off before it came: nobody waits for it.
    if (let_go_.count(key) || sessions_.count(key) || setting_.count(key)) {
        http::Response r = json_response(503, {{"why", "called off, or here already"}});
        if (let_go_.count(key)) r.headers.add("X-Ivyfield-Unseen", "1");
        over(503, let_go_.count(key) ? "full" : "repeated");
        return e->respond(r);
    }
    const auto chance = [this](double p) { return p > 0 && std::bernoulli_distribution(p)(loop_.random()); };
    if (chance(fail_)) {
        over(500, "error");
        return e->respond(http::text_response(500, "this node is broken"));
    }
    switch (fleet_.begin_setup(number_, loop_.now())) {
        case fleet::SetupResult::overloaded: {
            SocketEvent fell = t;
            fell.type = "node_fell";
            tap(fell);
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
    auto setting = std::make_unique<Setting>();
    setting->exchange = e;
    e->on_disconnect([this, key, over] {
        // The director has called it off, or died: what was not done yet is not done.
        const auto it = setting_.find(key);
        over(0, "gone");
        if (it == setting_.end()) return;
        it->second->exchange.reset();
        if (hung_) return;
        setting_.erase(it);
        fleet_.cancel_setup(number_);
    });
    const double work = std::uniform_real_distribution<double>(settings_.min_setup_time,
                                                               settings_.max_setup_time)(loop_.random());
    setting->timer = loop_.after(work, [this, key, t] { set_up_done(key, t, t.rung); });
    setting_.emplace(key, std::move(setting));
    if (t.non_idempotent && freeze_paid_) {
        freeze_paid_ = false;
        loop_.post([this] { set_hung(true); });
    }
}

void NodeEmulator::set_up_done(const Key& key, const SocketEvent& from, int rung) {
    if (hung_) {
        stopped_.push_back([this, key, from, rung] { set_up_done(key, from, rung); });
        return;
    }
    const auto it = setting_.find(key);
    if (it == setting_.end()) return;
    const std::unique_ptr<Setting> setting = std::move(it->second);
    setting_.erase(it);
    SocketEvent ran = from;
    ran.type = "ran";
    tap(ran);
    auto session = std::make_unique<Session>();
    session->token = hex(loop_.random()());
    session->sid = from.sid, session->cls = from.cls, session->title = from.title;
    session->tenant = from.tenant, session->non_idempotent = from.non_idempotent;
    session->rung = rung;
    Teller& teller = tellers_[from.director];
    const std::uint64_t begun = session->begun = ++teller.seq;
    if (!teller.stream) stream_gone(from.director);
    fleet::StreamSpec stream;
    stream.rate_kb = kb(from.cls, rung);
    stream.rung = rung;
    if (live(from.cls)) stream.sharing_key = from.cls + "/" + from.title;
    session->stream = fleet_.start_stream(number_, stream);
    session->idle = loop_.after(settings_.idle, [this, key] { end(key, "ended"); });
    tokens_[session->token] = key;
    const std::string token = session->token;
    sessions_.emplace(key, std::move(session));
    const http::ExchangePtr e = setting->exchange;
    if (!e || e->is_disconnected()) return;
    e->on_disconnect(nullptr);
    SocketEvent over = from;
    over.type = "setup_over";
    if (lose_ > 0 && std::bernoulli_distribution(lose_)(loop_.random())) {
        // Held open unanswered: the director's own time must end it.
        over.outcome = "lost";
        auto held = std::make_shared<http::ExchangePtr>(e);
        e->on_disconnect([this, over, held] {
            tap(over);
            held->reset();
        });
        return;
    }
    over.status = 200;
    over.outcome = "started";
    tap(over);
    json answer = {{"media", media_url(token)}, {"boot", boot_}, {"seq", begun}};
    if (!renditions_.empty()) answer["renditions"] = renditions();
    e->respond(json_response(200, answer));
}

// ---- Commands to playing sessions ----

void NodeEmulator::command(const http::ExchangePtr& e, const std::vector<std::string>& parts) {
    const auto session = number_of(parts[3]), attempt = number_of(parts[4]);
    if (!session || !attempt) return e->respond(http::text_response(400, "not a session and attempt"));
    const Key key{parts[2], *session, static_cast<int>(*attempt)};
    const std::string& method = e->request().method;
    const auto it = sessions_.find(key);
    SocketEvent t;
    t.director = parts[2], t.session = *session, t.attempt = static_cast<int>(*attempt);
    if (method == "DELETE" && parts.size() == 5) {
        let_go(key);
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
        fleet_.set_rung(number_, s.stream, rung, kb(s.cls, rung));
        t.type = "rung", t.rung = rung, t.cls = s.cls, t.sid = s.sid;
        tap(t);
        return e->respond({204, {}, ""});
    }
    if (method == "POST" && parts.size() == 6 && parts[5] == "move") {
        moved_.insert(s.token);
        end(key, "cancelled");
        return e->respond({204, {}, ""});
    }
    e->respond(http::text_response(405, "not this"));
}

void NodeEmulator::release(const http::ExchangePtr& e, const std::string& director) {
    const json body = json::parse(e->request().body, nullptr, false);
    std::vector<Key> keys;
    try {
        for (const json& one : body.at("sessions"))
            keys.emplace_back(director, one.at(0).get<std::uint64_t>(), one.at(1).get<int>());
    } catch (const std::exception& why) {
        return e->respond(http::text_response(400, why.what()));
    }
    for (const Key& key : keys) let_go(key);
    e->respond(json_response(200, json::object()));
}
// Nothing of the attempt is left here, and nothing will be: a set-up that comes after this is turned away.
void NodeEmulator::let_go(const Key& key) {
    SocketEvent t;
    t.type = "cancel";
    t.director = std::get<0>(key), t.session = std::get<1>(key), t.attempt = std::get<2>(key);
    tap(t);
    const io::Time now = loop_.now();
    while (!let_go_order_.empty() && (let_go_order_.front().first <= now || let_go_order_.size() >= 100000)) {
        let_go_.erase(let_go_order_.front().second);
        let_go_order_.pop_front();
    }
    if (let_go_.insert(key).second) let_go_order_.emplace_back(now + settings_.remember, key);
    if (const auto s = setting_.find(key); s != setting_.end()) {
        setting_.erase(s);
        fleet_.cancel_setup(number_);
    }
    end(key, "cancelled");
}

void NodeEmulator::end(const Key& key, const char* how) {
    if (hung_) {
        stopped_.push_back([this, key, how] { end(key, how); });
        return;
    }
    const auto it = sessions_.find(key);
    if (it == sessions_.end()) return;
    const std::unique_ptr<Session> s = std::move(it->second);
    sessions_.erase(it);
    tokens_.erase(s->token);
    fleet_.end_stream(number_, s->stream);
    const auto& [director, session, attempt] = key;
    SocketEvent t;
    t.type = "end", t.director = director, t.session = session, t.attempt = attempt;
    t.sid = s->sid, t.cls = s->cls, t.title = s->title, t.outcome = how;
    tap(t);
    Teller& teller = tellers_[director];
    const std::string line = json{{"event", "end"},     {"boot", boot_},      {"seq", ++teller.seq},
                                  {"session", session}, {"attempt", attempt}, {"how", how}}
                                 .dump();
    teller.ends.emplace_back(teller.seq, line);
    if (teller.ends.size() > settings_.log) {
        teller.forgotten = teller.ends.front().first;
        teller.ends.pop_front();
    }
    tell(director, line);
}

// ---- Events ----

void NodeEmulator::events(const http::ExchangePtr& e) {
    const std::string_view query = e->request().query();
    const auto director = http::query_argument(query, "director");
    if (!director || director->empty()) return e->respond(http::text_response(400, "no director"));
    if (http::query_argument(query, "protocol").value_or("1") != "2")
        return e->respond(http::text_response(400, "this node speaks protocol 2 (docs/node-protocol.md)"));
    if (tellers_.size() >= 2000 && !tellers_.count(*director))
        return e->respond(http::text_response(503, "too many directors"));
    Teller& teller = tellers_[*director];
    const auto since = number_of(http::query_argument(query, "since").value_or(""));
    const bool resumes = since && http::query_argument(query, "boot").value_or("") == boot_ &&
                         *since >= teller.forgotten && *since <= teller.seq;
    http::Headers headers;
    headers.add("Content-Type", "application/x-ndjson");
    e->start(200, headers);
    std::string out = json{{"event", "hello"},  {"node", settings_.name},
                           {"boot", boot_},     {"protocol", 2},
                           {"whole", !resumes}, {"age_ms", loop_.now() - fleet_.started_at(number_)}}
                          .dump() +
                      "\n";
    if (resumes) {
        for (const auto& [seq, line] : teller.ends)
            if (seq > *since) out += line + "\n";
    } else {
        for (auto it = sessions_.lower_bound({*director, 0, 0});
             it != sessions_.end() && std::get<0>(it->first) == *director; ++it) {
            const Session& s = *it->second;
            json line{{"event", "plays"},
                      {"boot", boot_},
                      {"session", std::get<1>(it->first)},
                      {"attempt", std::get<2>(it->first)},
                      {"seq", s.begun},
                      {"sid", s.sid},
                      {"tenant", s.tenant},
                      {"class", s.cls},
                      {"title", s.title},
                      {"rung", s.rung},
                      {"paid", s.non_idempotent},
                      {"media", media_url(s.token)}};
            if (!renditions_.empty()) line["renditions"] = renditions();
            out += line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
        }
    }
    out += json{{"event", "account"}, {"boot", boot_}, {"seq", teller.seq}}.dump() + "\n";
    e->write(out);
    teller.lease.stop();
    teller.stream = e;  // one a director: an older one is dropped and so closed
    e->on_disconnect([this, director = *director, raw = e.get()] {
        const auto it = tellers_.find(director);
        if (it == tellers_.end() || it->second.stream.get() != raw) return;
        const http::ExchangePtr keep = std::move(it->second.stream);
        it->second.stream = nullptr;
        stream_gone(director);
    });
}
// A director that does not come back in its time claims nothing any more.
void NodeEmulator::stream_gone(const std::string& director) {
    tellers_[director].lease = loop_.after(settings_.lease, [this, director] {
        std::vector<Key> keys;
        for (auto it = sessions_.lower_bound({director, 0, 0});
             it != sessions_.end() && std::get<0>(it->first) == director; ++it)
            keys.push_back(it->first);
        for (const Key& key : keys) end(key, "reset");
    });
}
void NodeEmulator::tell(const std::string& director, const std::string& line) {
    const auto it = tellers_.find(director);
    if (it != tellers_.end() && it->second.stream && !it->second.stream->is_disconnected())
        it->second.stream->write(line + "\n");
}
void NodeEmulator::tick() {
    tick_ = loop_.after(settings_.note_interval, [this] { tick(); });
    if (hung_) return;
    const double share = fleet_.delivered_share(number_, loop_.now());
    for (auto& [director, teller] : tellers_) {
        if (!teller.stream || teller.stream->is_disconnected()) continue;
        tell(director, "{\"event\":\"tick\"}");
        if (share >= 0.98 && !teller.was_short) continue;
        teller.was_short = share < 0.98;
        // On one session of each director.
        const auto first = sessions_.lower_bound({director, 0, 0});
        if (first == sessions_.end() || std::get<0>(first->first) != director) continue;
        const std::string line = json{
            {"event", "delivered"},
            {"boot", boot_},
            {"session", std::get<1>(first->first)},
            {"attempt", std::get<2>(first->first)},
            {"value", share}}.dump();
        // Late, as a smoothed measurement is.
        after(settings_.note_delay, [this, line, director = director] { tell(director, line); });
    }
}
void NodeEmulator::refresh() {
    refresh_ = loop_.after(settings_.report_interval, [this] { refresh(); });
    const io::Time now = loop_.now();
    reports_.emplace_back(now,
                          json{{"streams", fleet_.stream_count(number_)},
                               {"link", fleet_.link_utilization(number_, now)},
                               {"uplink", fleet_.uplink_utilization(fleet_.node_spec(number_).rack, now)}}
                              .dump());
    while (reports_.size() > 1 && reports_[1].first < now - 10000) reports_.erase(reports_.begin());
}

// ---- Media ----

void NodeEmulator::media(const http::ExchangePtr& e, const std::vector<std::string>& parts) {
    const auto it = tokens_.find(parts[1]);
    if (it == tokens_.end()) {
        // Moved, or over: back to the director with the same sid.
        http::Response r = http::text_response(410, "this session is over here; ask the director again");
        if (moved_.count(parts[1])) r.headers.add("X-Ivyfield-Moved", "1");
        http::allow_any_origin(r.headers, kExposed);
        return e->respond(r);
    }
    const Key key = it->second;
    Session& s = *sessions_.at(key);
    s.idle = loop_.after(settings_.idle, [this, key] { end(key, "ended"); });
    const auto rung = number_of(parts[2]);
    if (!rung || *rung >= settings_.rung_kb.size())
        return e->respond(http::text_response(404, "no such rung"));
    const io::Time now = loop_.now();
    const double share = fleet_.delivered_share(number_, now);
    hints::Keys keys;
    keys.values["mb"] = static_cast<std::int64_t>(std::llround(kb(s.cls, s.rung) * 8));
    keys.values["etp"] = static_cast<std::int64_t>(std::llround(kb(s.cls, s.rung) * 8 * share));
    if (share < 0.98) keys.values["du"] = true;
    http::Response r;
    http::allow_any_origin(r.headers, kExposed);
    if (parts[3] == "index.m3u8" && !titles_.empty()) {
        r.headers.add("Content-Type", "application/vnd.apple.mpegurl");
        r.headers.add("CMSD-Dynamic", hints::encode_cmsd_dynamic({{settings_.name, keys}}));
        hls::MediaPlaylist shown = titles_.at(*rung);
        if (live(s.cls)) shown = hls::live_window(shown, now / 1000, 3);
        else shown.ended = true;
        r.body = hls::write_media_playlist(shown);
        return e->respond(r);
    }
    if (parts[3] == "index.m3u8") {
        const auto first = static_cast<std::uint64_t>(now / settings_.segment);
        r.headers.add("Content-Type", "application/vnd.apple.mpegurl");
        r.headers.add("CMSD-Dynamic", hints::encode_cmsd_dynamic({{settings_.name, keys}}));
        hls::MediaPlaylist list;
        list.version = 6;
        list.media_sequence = first;
        for (std::uint64_t k = first; k < first + 3; ++k)
            list.segments.push_back({settings_.segment / 1000, std::to_string(k) + ".ts", false});
        r.body = hls::write_media_playlist(list);
        return e->respond(r);
    }
    io::Time length = settings_.segment;
    const char* type = "video/mp2t";
    if (titles_.empty()) {
        const std::size_t dot = parts[3].find('.');
        if (!number_of(parts[3].substr(0, dot)) || parts[3].substr(std::min(dot, parts[3].size())) != ".ts")
            return e->respond(http::text_response(404, "no such segment"));
        const double bytes = kb(s.cls, static_cast<int>(*rung)) * settings_.segment * settings_.byte_fraction;
        r.body.assign(static_cast<std::size_t>(std::max(1.0, bytes)), 'x');
    } else {
        // Only what the playlist names is served: a path from outside opens nothing else.
        const hls::MediaPlaylist& title = titles_.at(*rung);
        const auto found = std::find_if(title.segments.begin(), title.segments.end(),
                                        [&](const hls::Segment& one) { return one.uri == parts[3]; });
        if (found == title.segments.end() && parts[3] != title.map_uri)
            return e->respond(http::text_response(404, "no such segment"));
        auto bytes = file_text(settings_.media + "/" + parts[2] + "/" + parts[3]);
        if (!bytes) return e->respond(http::text_response(404, "no such file in the media folder"));
        r.body = std::move(*bytes);
        length = found == title.segments.end() ? 0 : found->duration_s * 1000;
        if (!ends_with(parts[3], ".ts")) type = "video/mp4";
    }
    r.headers.add("Content-Type", type);
    // What the link does not give in time comes later: a segment takes 1 over its share of its length, and
    // the first byte waits for the excess.
    const io::Time excess = std::min(20000.0, length * (1 / std::max(share, 0.05) - 1));
    keys.values["rd"] = static_cast<std::int64_t>(std::llround(excess));
    r.headers.add("CMSD-Dynamic", hints::encode_cmsd_dynamic({{settings_.name, keys}}));
    if (excess < 1) return e->respond(r);
    after(excess, [e, r] { e->respond(r); });
}

}  // namespace ivyfield::standins
