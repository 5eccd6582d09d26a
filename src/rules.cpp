// The decision module of ivyfield; its interface (settings, events, actions) is
// include/ivyfield/director.hpp. The mechanism is the pure rate control of Almeroth et al., 5.1;
// docs/design.md says what was added.
#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>
#ifdef IVYFIELD_CHECKS
#include <stdexcept>
#endif

#include "ivyfield/director.hpp"

namespace ivyfield {

namespace {

// ---- Constants, each with its reason ----

constexpr Time kNever = -1e18, kAlways = 1e18;
// The design: grants go unpaced while a server is counted under this part of its streams and link.
constexpr double kPacedFrom = 0.70;
// The design: T int is at least this; T view where no hint has come.
constexpr Time kLeastInterval = 10000, kUsualView = 45000;
// The design: a session rises at most once in this time. Read as a bound on each session's rises.
constexpr Time kRiseEvery = 30000;
// Links and uplinks are filled up to here: true rates and reports stray, and 1% short costs many points.
constexpr double kMark = 0.95;
// On a link not heard of lately so much more is left: it may be used above the mean as well as below, and
// what is short costs many times what is idle.
constexpr double kUnsure = 0.2;
// A new session starts above the rung that earns most for its rate only where that takes no more than this
// part of the room left: worth grows ever slower with rate, so equal rungs earn most, and a later step down
// costs more than a later step up wins.
constexpr double kRoomPart = 0.2;
// In a crowd others take of the same room before word of it comes: the part shrinks with the sessions that
// come to a server in that time, by our own arrivals of late. Word is never newer than the first of these.
constexpr Time kArrivals = 5000, kNewest = 1000;
// Rungs move only when use is off the mark by more than the noise of one smoothed report.
constexpr double kFallOver = 0.08, kRiseUnder = 0.2;
// Without news, others may have risen on the same old word: only a link this far under the mark is used.
constexpr double kRiseUnheard = 0.5;
// One report moves the estimate of the others' load by this part: reports are noisy.
constexpr double kGain = 0.4;
// A report describes a server this long ago: half a usual refresh period and the way.
constexpr Time kReportLag = 400;
// Others' load is believed this long after the last word, then fades towards the mean of the fleet.
constexpr Time kFresh = 5000, kStale = 30000;
// That mean forgets words at this rate; own load of the whole fleet, times the directors, counts as one word.
constexpr Time kPoolMemory = 10000;
// A set-up takes this long on a loaded server: a hold ends so long before the aim.
constexpr Time kSetUp = 200;
// An attempt that may be repeated gets this part of the time left to its aim, and this much at least.
constexpr double kTryPart = 0.5;
constexpr Time kLeastTry = 250;
// An attempt unanswered for this long makes its server doubtful for paid sessions.
constexpr Time kOverdue = 400;
// After silence a server rests this long, doubling up to a limit so that its return is soon noticed.
constexpr Time kRest = 500, kLongestRest = 8000;
// Each strike weighs like this part of a link in the choice of a server.
constexpr double kStrikeCost = 0.1;
// After "full" a server rests this long: its link is asked for whole, and sessions end every few seconds.
constexpr Time kFullRest = 1000;
// Share of failed set-ups at which a server gets no paid session; weight of one outcome in that share.
constexpr double kFailing = 0.15, kFailGain = 0.3;
// A title is known to play once a server has played it; so many are remembered. Until then an error may be
// the request's own fault (a title that no server knows): it is held against the server only when the session
// plays elsewhere, and after so many the session is given up, since its attempts come out of everyone's
// budget.
constexpr std::size_t kTitles = 10000, kErrors = 2;
// A success forgives less than a failure adds, and failures weigh double in the choice of a server: one that
// fails fast is idle and would draw everything.
constexpr double kFailEase = 0.1, kFailCost = 2;
// Part of the bearable pace that all directors together send to a cold server: the rest is for chance.
constexpr double kColdPart = 0.5;
// Where servers can be probed, the one chosen is asked before the grant unless it was heard of so lately; at
// most so many a session, since each is paid for. One that does not answer within this wait is passed over.
constexpr Time kAskAge = 2000, kAskWait = 60;
constexpr int kAsks = 2;
// A server that seems to have room for rises is asked for word of it this often: a rise wins several seconds
// of worth, a probe costs a part of one.
constexpr Time kRiseAsk = 10000;
// Tenants' requests are counted over this window; over share means so far above the quota.
constexpr Time kShareWindow = 5000, kRemember = 60000;
constexpr double kOverShare = 1.2;
// A drop to make room must cost less than this part of what it wins: the change itself costs.
constexpr double kSwapGain = 0.8;
// All directors fall on the same word, and word of that comes late: the next fall waits for it, and so long.
constexpr Time kSettle = 1000;
// The list tells of a server's start some seconds late. A whole list that came so long after our own start
// tells of every start before it.
constexpr Time kTold = 2000;
// Rungs are looked at this often where no news comes; they only rise then.
constexpr Time kLook = 2000;
// An alarm that comes so late tells that this director itself stood still.
constexpr Time kLate = 100;
// The module looks at holds and at news this often at most.
constexpr Time kTick = 20;

// ---- Account ----

// What all things of one kind (links, say) are used on average. One director among many has no session or one
// on most servers, which tells nothing of that server; over the whole fleet its sessions tell a little more,
// and every word of any server counts.
struct Pool {
    int directors = 1;
    double total = 0, own = 0, sum = 0, words = 0;
    Time heard = 0;

    double fade(Time now) const { return std::exp((heard - now) / kPoolMemory); }
    double guess() const { return total > 0 ? own * directors / total : 0; }
    // Words correct the guess; between them it moves as own load does, so that a surge shows at once.
    void learn(Time now, double use) {
        const double left = fade(now);
        sum = sum * left + use - guess(), words = words * left + 1;
        heard = now;
    }
    double use(Time now) const { return std::max(0.0, guess() + sum * fade(now) / (words * fade(now) + 1)); }
};

// Use of one shared thing (a server's streams, a link, an uplink): own part counted, the others' estimated.
struct Account {
    double total = 0, own = 0, others = 0;
    Pool* pool = nullptr;
    Time seen = kNever;
    std::deque<std::pair<Time, double>> past;  // own use before each change, for late reports

    void set_own(Time now, double value) {
        if (value == own) return;
        past.emplace_back(now, own);
        while (past.front().first < now - 10000) past.pop_front();
        if (pool) pool->own += value - own;
        own = value;
    }
    double own_at(Time when) const {
        for (const auto& [changed, before] : past)
            if (changed > when) return before;
        return own;
    }
    // A report says that `use` of the total was asked for `lag` ago. Words that come of short servers only
    // (`biased`) tell nothing of the others.
    void learn(Time now, double use, Time lag, double gain, bool biased = false) {
        const double sample = use * total - own_at(now - lag);
        others = now - seen > kFresh ? sample : others + gain * (sample - others);
        seen = now;
        if (pool && !biased) pool->learn(now, use);
    }
    double trust(Time now) const { return std::clamp((kStale - (now - seen)) / (kStale - kFresh), 0.0, 1.0); }
    // Without word it is taken to be used as the mean.
    double use(Time now) const {
        if (total <= 0) return 0;
        const double trust = this->trust(now);
        const double guess = pool ? pool->use(now) * total * (1 - 1.0 / pool->directors) : 0;
        return std::max(0.0, own + trust * others + (1 - trust) * guess) / total;
    }
};

struct Server {
    ServerEntry entry;
    bool listed = true;
    Account streams, link;
    std::set<SessionId> sessions;  // set-ups and plays of ours
    // How many of them are alike in what they take: class, rung and, where viewers share a stream, title.
    std::map<std::tuple<TitleId, int, int>, int> alike;
    // The clock.
    Time interval_end = kNever, last_grant = kNever;
    double granted = 0;
    // Health.
    int strikes = 0;
    double failing = 0;
    Time rest_until = kNever, full_until = kNever, last_ok = kNever;
    Time cold_since = kNever, next_cold = kNever;
    bool broke = false;
    bool doubted = false;  // paced as cold for no other reason than that the list was a saved one
    // Reports.
    Time asked = kNever;                  // a probe is out since then
    Time looked = kNever, fell = kNever;  // when rungs were last looked at, and last fell
    bool news = false;
};

struct Session {
    SessionRequest request;
    enum class State { held, out, playing } state = State::held;
    bool answered = false;      // nothing is owed any more
    bool may_have_run = false;  // some attempt was not proved never to have run
    ServerId server = 0, asking = 0;
    std::set<ServerId> tried;
    std::vector<ServerId> errors;  // servers that answered it with an error and were not blamed yet
    int rung = 0, told = 0, attempts = 0, asks = 0;  // told: the rung that the server has been told
    double worth = 1;
    Time taken = 0, sent = 0, risen = kNever;
};

}  // namespace

class Director::Rules {
  public:
    Rules(const Settings& settings, std::uint64_t seed) : set_(settings), random_(seed) {
        set_.directors = std::max(1, set_.directors);
        stream_pool_.directors = link_pool_.directors = uplink_pool_.directors = set_.directors;
    }

    void handle(Time now, const Event& event, std::vector<Action>& actions) {
        now_ = now;
        out_ = &actions;
        if (now > next_alarm_ + kLate) stalled_ = now;
        if (born_ == kNever) {
            born_ = now;
            if (set_.list_on_request) act(SubscribeServerList{true}), asked_ = now, wake(now);
        }
        std::visit([this](const auto& e) { on(e); }, event);
    }

  private:
    template <typename A>
    void act(A action) {
        out_->emplace_back(std::in_place_type<A>, std::move(action));
    }

    // Alarms cannot be unset: one is set only where none comes sooner. Idle directors sleep, large fleets
    // would spend their time on alarms otherwise.
    void wake(Time at) {
        at = std::max(at, now_ + kTick);
        if (at >= next_alarm_) return;
        next_alarm_ = at;
        act(SetTimer{0, at});
    }

    const ClassSettings& cls(const Session& s) const { return set_.classes[s.request.cls]; }
    bool shares(const Session& s) const { return cls(s).live && set_.join_rate_factor < 1; }
    // What a session takes of its rate. A live stream that all directors send to one server is shared with
    // theirs.
    double first_part(const Session& s) const {
        return shares(s) ? set_.join_rate_factor + (1 - set_.join_rate_factor) / set_.directors : 1;
    }
    double rate(const Session& s, int rung) const { return set_.rung_kb[rung] * cls(s).rate_factor; }
    int top(const Session& s) const {
        return std::max(cls(s).min_rung, std::min(cls(s).max_rung, s.request.top_rung));
    }
    Time aim(const Session& s) const { return std::min(s.taken + cls(s).startup_target, s.request.deadline); }
    int rack(const Server& v) const { return set_.racks > 0 ? v.entry.position % set_.racks : 0; }

    Server* server(ServerId id) {
        const auto it = servers_.find(id);
        return it == servers_.end() ? nullptr : &it->second;
    }

    double use(const Server& v) { return std::max(v.link.use(now_), uplinks_[rack(v)].use(now_)); }

    // A session at the server is counted (by 1) or not any more (-1); recount() follows. In between neither
    // its rung nor its place may change.
    void count(Server& v, const Session& s, int by) {
        const auto it =
            v.alike.try_emplace({shares(s) ? s.request.title : 0, s.request.cls, s.rung}, 0).first;
        it->second += by;
        if (it->second == 0) v.alike.erase(it);
    }
#ifdef IVYFIELD_CHECKS
    // In the tests: the sums are those of a walk over the sessions.
    void check_count(const Server& v, double kb, double streams) const {
        std::set<std::tuple<TitleId, int, int>> shared;
        for (const SessionId id : v.sessions) {
            const Session& s = sessions_.at(id);
            const bool further = shares(s) && !shared.insert({s.request.title, s.request.cls, s.rung}).second;
            kb -= rate(s, s.rung) * (further ? set_.join_rate_factor : first_part(s));
            streams -= further ? 0 : 1;
        }
        if (std::abs(kb) > 1e-6 || std::abs(streams) > 1e-6)
            throw std::logic_error("a server's count of sessions is off by " + std::to_string(kb) +
                                   " kB a second and " + std::to_string(streams) + " streams");
    }
#endif
    // Own streams and rates of a server. Viewers of one live title, class and rung share a stream. Summed
    // over kinds of sessions, not over sessions: it is done at each change.
    void recount(Server& v) {
        double kb = 0, streams = 0;
        for (const auto& [kind, n] : v.alike) {
            const auto& [title, c, rung] = kind;
            const bool joins = set_.classes[c].live && set_.join_rate_factor < 1;
            const double first =
                joins ? set_.join_rate_factor + (1 - set_.join_rate_factor) / set_.directors : 1;
            kb += set_.rung_kb[rung] * set_.classes[c].rate_factor *
                  (joins ? first + (n - 1) * set_.join_rate_factor : n);
            streams += joins ? 1 : n;
        }
#ifdef IVYFIELD_CHECKS
        check_count(v, kb, streams);
#endif
        Account& up = uplinks_[rack(v)];
        up.set_own(now_, up.own + kb - v.link.own);
        v.link.set_own(now_, kb);
        v.streams.set_own(now_, streams);
        if (v.sessions.empty()) mine_.erase(v.entry.id);
        else mine_.insert(v.entry.id), wake(now_ + kLook);
    }

    // Sessions handed over played before we knew of them: reports from then hold them too.
    void forget_past(Server& v) {
        for (Account* a : {&v.streams, &v.link, &uplinks_[rack(v)]}) a->past.clear();
    }

    void learn(Server& v, const LoadReport& report) {
        for (std::size_t k = 0; k < report.size() && k < set_.report_fields.size(); ++k) {
            const double value = report[k];
            if (!std::isfinite(value) || value < 0) continue;
            switch (set_.report_fields[k]) {
                case ReportField::streams:
                    if (v.streams.total > 0)
                        v.streams.learn(now_, value / v.streams.total, kReportLag, kGain);
                    break;
                case ReportField::link:
                case ReportField::link_capped:
                    v.link.learn(now_, value, kReportLag, kGain);
                    break;
                case ReportField::uplink:
                    uplinks_[rack(v)].learn(now_, value, kReportLag, kGain / 2);
                    break;
                default:
                    continue;
            }
            v.news = true;
            wake(now_);
        }
    }

    // A delivered share below 1 is a link smaller than thought: what is asked of it is 1 over that share.
    void on(const SessionNote& e) {
        Server* v = server(e.server);
        const auto it = sessions_.find(e.id);
        if (e.kind == NoteKind::rung && it != sessions_.end() && v) {
            const bool here = v->sessions.count(e.id) != 0;
            if (here) count(*v, it->second, -1);
            it->second.rung = std::clamp(static_cast<int>(e.value), 0, int(set_.rung_kb.size()) - 1);
            it->second.told = it->second.rung;
            if (here) count(*v, it->second, 1);
            recount(*v);
            return forget_past(*v);
        }
        if (!v || !(e.value >= 0)) return;
        Account& up = uplinks_[rack(*v)];
        if (e.kind == NoteKind::delivered_share && e.value < 0.98) {
            const double asked = 1 / std::max(e.value, 0.2);
            if (up.use(now_) < asked) v->link.learn(now_, asked, set_.note_delay, 1, true);
        } else if (e.kind == NoteKind::link) {
            v->link.learn(now_, e.value, set_.note_delay, kGain);
        } else if (e.kind == NoteKind::uplink) {
            up.learn(now_, e.value, set_.note_delay, kGain);
        }
        v->news = true;
        wake(now_);
    }

    void on(const ProbeCompleted& e) {
        Server* v = server(e.server);
        if (!v) return;
        const bool awaited = v->asked != kNever;
        v->asked = kNever;
        if (e.outcome == Outcome::ended) learn(*v, e.report);
        else if (awaited && e.outcome != Outcome::full) strike(*v, false);
        const std::set<SessionId> held = held_;
        for (const SessionId id : held)
            if (held_.count(id) && sessions_.at(id).asking == e.server) place(id);
    }

    // Asks the server chosen before a grant rests on old word. True: its answer is awaited. A director among
    // many has no other way to know a server: it sends a session every few seconds and hears of its own
    // servers only.
    bool ask(Server& v, Session& s) {
        if (!set_.can_probe || set_.report_fields.empty()) return false;
        if (s.asks >= kAsks || now_ - v.link.seen < kAskAge) return false;
        if (v.asked == kNever) {
            s.asks += 1;
            v.asked = now_;
            act(Probe{v.entry.id});
        }
        s.asking = v.entry.id;
        return true;
    }
    bool awaits_word(const Session& s) {
        const Server* v = server(s.asking);
        return v && v->asked != kNever && now_ - v->asked <= kAskWait;
    }

    // ---- Clock ----

    Time view() const { return hints_ > 0 ? hint_sum_ / hints_ : kUsualView; }

    // When the server's clock grants the next stream; kNever: at once.
    Time opens(Server& v) {
        if (v.streams.total <= 0) return kNever;
        if (v.streams.use(now_) < kPacedFrom && use(v) < kPacedFrom) return kNever;
        const Time interval = std::max(kLeastInterval, view() / v.streams.total);
        if (now_ >= v.interval_end) v.interval_end = now_ + interval, v.granted = 0;
        const double most = std::max(1.0, std::floor(interval * v.streams.total / view()));
        if (v.granted >= most) return v.interval_end;
        return v.last_grant + (v.interval_end - now_) / (most - v.granted);
    }

    // A cold server takes set-ups at a slowly rising pace; ours is our part of it among all directors. The
    // first send waits for a part of the gap drawn by chance: a hundred directors that hear of a fresh, idle
    // server at once would each send it one at once.
    Time cold_opens(Server& v) {
        if (set_.overload_multiple <= 0 || now_ >= v.cold_since + set_.warmup_time) return kNever;
        if (v.next_cold == kNever) spend_cold(v, std::uniform_real_distribution<double>(0, 1)(random_));
        return v.next_cold;
    }
    void chill(Server& v, Time since) {
        if (now_ >= v.cold_since + set_.warmup_time) v.next_cold = kNever;  // else the pace goes on
        v.cold_since = since;
        v.doubted = false;
    }
    void spend_cold(Server& v, double part) {
        const double age = std::clamp((now_ - v.cold_since) / std::max(1.0, set_.warmup_time), 0.0, 1.0);
        const double warmth = set_.initial_warmth + (1 - set_.initial_warmth) * age * age;
        const double pace = std::max(1.0, v.streams.total) / std::max(1.0, set_.warmup_time) * warmth *
                            set_.overload_multiple * kColdPart / set_.directors;
        v.next_cold = now_ + part / pace;
    }

    // ---- Holds and the choice of a server ----

    bool holds_title(const Server& v, const SessionRequest& q) const {
        if (set_.cells <= 0) return true;
        const int from = ((v.entry.position - q.first_cell) % set_.cells + set_.cells) % set_.cells;
        return from < q.cell_count;
    }

    // Paid sessions go only where set-ups are answered; the others also test doubtful servers.
    bool fit(const Server& v, const Session& s, bool strict) const {
        if (!v.listed || v.entry.state != ServerState::ready || !holds_title(v, s.request)) return false;
        if (now_ < v.rest_until || now_ < v.full_until) return false;
        if (strict && v.asked != kNever && now_ - v.asked > kAskWait && now_ != stalled_) return false;
        if (s.tried.count(v.entry.id) && strict) return false;
        if (cls(s).idempotency == Idempotency::idempotent || !strict) return true;
        if (v.strikes > 0 || v.failing >= kFailing) return false;
        for (const SessionId id : v.sessions) {
            const Session& o = sessions_.at(id);
            if (o.state == Session::State::out && now_ - o.sent > kOverdue && now_ != stalled_) return false;
        }
        return true;
    }

    bool seat_free(const Session& s) const {
        if (cls(s).seats <= 0) return true;
        const auto it = seats_.find({s.request.title, s.request.cls});
        return it == seats_.end() || it->second < cls(s).seats;
    }

    // Kilobytes a second that the server's link and its rack's uplink still have under the mark.
    double link_room(const Server& v) const {
        return (kMark - kUnsure * (1 - v.link.trust(now_)) - v.link.use(now_)) * v.link.total;
    }
    double room(Server& v) {
        Account& up = uplinks_[rack(v)];
        const double link = link_room(v);
        return up.total > 0 ? std::min(link, (kMark - up.use(now_)) * up.total) : link;
    }

    // A number from 0 to 1 that all directors draw alike for a title and a server.
    static double meeting(TitleId title, ServerId server) {
        std::uint64_t x = title * 0x9e3779b97f4a7c15u ^ server;
        for (const int shift : {30, 27, 31}) x = (x ^ (x >> shift)) * 0xbf58476d1ce4e5b9u;
        return static_cast<double>(x >> 11) / 9007199254740992.0;
    }
    double value(Server& v, const Session& s) {
        double value = 1 - std::max(use(v), v.streams.use(now_));
        // Directors that cannot speak to each other meet at one server for a live title, and at the next when
        // that is full: viewers of one stream add a part of its rate only.
        if (shares(s) && room(v) > rate(s, top(s)) * first_part(s))
            value = 1 + meeting(s.request.title, v.entry.id);
        if (v.entry.zone != set_.zone) value -= set_.cross_zone_price * 5;
        // A doubtful server that has rested is tested by one session that may be sent again.
        if (v.strikes > 0 && cls(s).idempotency == Idempotency::idempotent && s.attempts == 0) return 2;
        value -= kFailCost * v.failing + kStrikeCost * v.strikes + (s.tried.count(v.entry.id) ? 1 : 0);
        return value + std::uniform_real_distribution<double>(0, 0.02)(random_);
    }

    // Decides on a session that is owed an answer and has no attempt out.
    void place(SessionId id) {
        Session& s = sessions_.at(id);
        if (s.attempts >= std::max(1, set_.max_attempts) || now_ >= s.request.deadline - 1 ||
            (s.attempts > 0 && !may_repeat(s)) || !seat_free(s))
            return give_up(id);
        if (awaits_word(s)) return hold(id, now_);
        for (const bool strict : {true, false}) {
            Server *best = nullptr, *roomiest = nullptr, *joined = nullptr;
            double best_value = 0, most_room = 0;
            int join_rung = -1;
            Time soonest = kAlways;
            for (auto& [sid, v] : servers_) {
                if (!fit(v, s, strict)) continue;
                const Time cold = cold_opens(v);
                if (const int rung = joinable(v, s); rung > join_rung && cold <= now_)
                    joined = &v, join_rung = rung;
                if (v.streams.total > 0 && v.streams.use(now_) >= 1) continue;
                const Time open = std::max(opens(v), cold);
                soonest = std::min(soonest, open);
                const double val = value(v, s);
                if (cold <= now_ && (!roomiest || val > most_room)) roomiest = &v, most_room = val;
                if (open <= now_ && (!best || val > best_value)) best = &v, best_value = val;
            }
            if (joined) return send(id, *joined, join_rung, false);
            const Time last = aim(s) - kSetUp;
            if (!best && now_ >= last) best = roomiest;
            if (best && now_ < last && ask(*best, s)) return hold(id, now_);
            if (best) {
                const int rung = rung_for(*best, s);
                if (rung >= 0) return send(id, *best, rung, true);
            } else if (soonest < last) {
                return hold(id, now_);
            } else if (soonest < kAlways) {
                return give_up(id, soonest - now_);
            }
            if (best) return give_up(id, view() / std::max(1.0, best->streams.total));
        }
        give_up(id, kRest);
    }

    void hold(SessionId id, Time until) {
        sessions_.at(id).state = Session::State::held;
        held_.insert(id);
        wake(until);
    }

    // The rung at which the session can join a live stream of ours at the server, else -1.
    int joinable(Server& v, const Session& s) {
        if (!shares(s)) return -1;
        int rung = -1;
        for (const SessionId id : v.sessions) {
            const Session& o = sessions_.at(id);
            if (o.request.title == s.request.title && o.request.cls == s.request.cls && o.rung <= top(s) &&
                o.rung >= cls(s).min_rung)
                rung = std::max(rung, o.rung);
        }
        return rung >= 0 && use(v) < kMark ? rung : -1;
    }

    void send(SessionId id, Server& v, int rung, bool grant) {
        Session& s = sessions_.at(id);
        held_.erase(id);
        if (grant) v.last_grant = now_, v.granted += 1;
        if (now_ < v.cold_since + set_.warmup_time) spend_cold(v, 1);
        if (v.strikes > 0) v.rest_until = now_ + kRest;  // one test at a time
        if (s.attempts > 0) repeats_.push_back(now_);
        s.attempts += 1;
        s.tried.insert(v.entry.id);
        s.state = Session::State::out;
        s.server = v.entry.id;
        s.sent = now_;
        s.rung = s.told = rung;
        Time expires = s.request.deadline;
        if (cls(s).idempotency == Idempotency::idempotent && aim(s) > now_) {
            const bool again = s.attempts < set_.max_attempts && budget_left(1);
            expires = again ? std::max(now_ + kLeastTry, now_ + kTryPart * (aim(s) - now_)) : aim(s);
            expires = std::min(expires, s.request.deadline);
        }
        if (cls(s).seats > 0) seats_[{s.request.title, s.request.cls}] += 1;
        wake(expires);  // also to know of an own stall
        if (v.sessions.insert(id).second) count(v, s, 1);
        recount(v);
        act(SetRung{id, rung});
        act(SendSetup{id, v.entry.id, expires});
    }

    // ---- Rungs ----

    // Worth a second won for each kB a second in going from one rung to another (from -1: from nothing).
    double density(const Session& s, int from, int to) const {
        const double kb = rate(s, to) - (from < 0 ? 0 : rate(s, from));
        return s.worth * (set_.rung_worth[to] - (from < 0 ? 0 : set_.rung_worth[from])) / std::max(kb, 1e-9);
    }

    double recent() const { return arrivals_ * std::exp((arrived_ - now_) / kArrivals); }
    double arrivals() const { return std::max(0.0, recent() - 1) / kArrivals; }  // beside the one decided on

    // The highest rung with room under the mark. Where even the rung that earns most for its rate has none,
    // own sessions that earn less for theirs step down first.
    int rung_for(Server& v, const Session& s) {
        int best = cls(s).min_rung;
        for (int r = best + 1; r <= top(s); ++r)
            if (density(s, -1, r) > density(s, -1, best)) best = r;
        // Where the uplink is what is short, sessions on all servers of the rack can make room.
        const double price = density(s, -1, best) * kSwapGain;
        if (const double lack = rate(s, best) - room(v); lack > 0) lower(v, lack, price);
        for (auto& [id, other] : servers_) {
            if (rack(other) != rack(v) || link_room(v) < rate(s, best)) continue;
            if (const double lack = rate(s, best) - room(v); lack > 0) lower(other, lack, price);
        }
        const double left = room(v);
        const Time age = std::clamp(now_ - v.link.seen, kNewest, kFresh);
        const double part =
            kRoomPart / (1 + arrivals() * age * set_.directors / std::max<std::size_t>(1, ready_));
        int rung = -1;
        for (int r = cls(s).min_rung;
             r <= top(s) && rate(s, r) * first_part(s) <= left * (r > best ? part : 1); ++r)
            rung = r;
        return rung;
    }

    struct Step {
        std::vector<SessionId> members;
        int to;
        double kb, density;
    };
    // The cheapest step down (or the best step up) among own playing streams at a server; members move
    // together.
    std::optional<Step> step(const Server& v, int by) {
        std::optional<Step> best;
        std::set<std::tuple<TitleId, int, int>> seen;
        for (const SessionId id : v.sessions) {
            const Session& s = sessions_.at(id);
            if (shares(s) && !seen.insert({s.request.title, s.request.cls, s.rung}).second) continue;
            Step one{{}, s.rung + by, 0, 0};
            double worth = 0;
            bool able = true;
            for (const SessionId other : shares(s) ? v.sessions : std::set<SessionId>{id}) {
                const Session& o = sessions_.at(other);
                if (o.answered) continue;  // nobody waits for it any more
                if (o.request.title != s.request.title || o.request.cls != s.request.cls || o.rung != s.rung)
                    continue;
                able = able && o.state != Session::State::held && one.to >= cls(o).min_rung &&
                       one.to <= top(o) && (by < 0 || now_ - o.risen >= kRiseEvery || now_ == o.risen);
                worth += o.worth;
                one.members.push_back(other);
            }
            if (!able || one.members.empty()) continue;
            const double unit = std::abs(rate(s, one.to) - rate(s, s.rung));
            one.kb = unit * (first_part(s) + set_.join_rate_factor * (one.members.size() - 1));
            one.density = worth * std::abs(set_.rung_worth[one.to] - set_.rung_worth[s.rung]) / one.kb;
            if (!best || (by < 0 ? one.density < best->density : one.density > best->density)) best = one;
        }
        return best;
    }
    void take(Server& v, const Step& step, bool up) {
        for (const SessionId id : step.members) {
            Session& s = sessions_.at(id);
            count(v, s, -1);
            s.rung = step.to;
            count(v, s, 1);
            if (up) s.risen = now_;
            changed_.insert(id);
        }
        wake(now_);
        recount(v);
    }
    void lower(Server& v, double kb, double below) {
        while (kb > 0) {
            const auto down = step(v, -1);
            if (!down || down->density >= below) return;
            kb -= down->kb;
            take(v, *down, false);
        }
    }

    // What a step of one of our sessions, on any server, earns or costs for its rate: with one session a
    // server, the cheapest of all directors' steps come first only if each weighs its own against the usual.
    double usual_density(int by) const {
        double kb = 0, sum = 0;
        for (const auto& [id, s] : sessions_) {
            const int to = s.rung + by;
            if (s.state == Session::State::held || to < cls(s).min_rung || to > top(s)) continue;
            const double one = std::abs(rate(s, to) - rate(s, s.rung)) * first_part(s);
            const double density = s.worth * std::abs(set_.rung_worth[to] - set_.rung_worth[s.rung]) / one;
            kb += one;
            sum += by < 0 ? one / std::max(density, 1e-9) : one * density;
        }
        return kb <= 0 || sum <= 0 ? 1 : by < 0 ? kb / sum : sum / kb;
    }

    // On news, own rates go towards the mark in proportion: if all directors do so the whole meets it. A step
    // that is more than the own part is taken by chance in that proportion: rounded up, every director with
    // one session there would fall on one word, and rounded down none would ever rise.
    bool chance(double part) { return std::uniform_real_distribution<double>(0, 1)(random_) < part; }
    void regulate(Server& v) {
        const bool news = v.news;
        v.news = false;
        v.looked = now_;
        const double now_used = use(v);
        if (news && now_used > kMark + kFallOver) {
            if (now_ < v.fell + set_.note_delay + kSettle) return;
            v.fell = now_;
            double kb = v.link.own * (1 - kMark / now_used);
            while (const auto down = step(v, -1)) {
                if (!chance(kb / down->kb * usual_density(-1) / down->density)) break;
                kb -= down->kb;
                take(v, *down, false);
            }
        } else if (!news && set_.can_probe && !set_.report_fields.empty() && v.asked == kNever &&
                   now_ - v.link.seen > kRiseAsk && now_used < kMark - kRiseUnder) {
            v.asked = now_;
            act(Probe{v.entry.id});
        } else if (now_used < kMark - (news ? kRiseUnder : kRiseUnheard) && now_ >= v.rest_until) {
            double kb = v.link.own * (kMark / std::max(now_used, 0.1) - 1);
            while (const auto up = step(v, +1)) {
                if (up->kb > room(v) || !chance(kb / up->kb * up->density / usual_density(+1))) break;
                kb -= up->kb;
                take(v, *up, true);
            }
        }
    }

    // ---- Health ----

    void answered(Server& v) {
        if (v.broke || v.strikes > 1) chill(v, now_);  // it may have started anew
        v.broke = false;
        v.strikes = 0;
        v.rest_until = kNever;
        v.last_ok = now_;
    }
    // What a director that stood still finds in one moment tells of itself: no server is blamed for silence
    // then.
    void strike(Server& v, bool broke) {
        if (!broke && now_ == stalled_) return;
        v.strikes += 1;
        v.broke = v.broke || broke;
        if (broke) chill(v, now_);
        v.rest_until = now_ + std::min(kLongestRest, kRest * std::pow(2, std::min(v.strikes, 6)));
    }

    // ---- Attempts and answers ----

    bool budget_left(int more) {
        if (!set_.retry_budget) return true;
        const Time from = now_ - set_.retry_budget->window;
        while (!repeats_.empty() && repeats_.front() < from) repeats_.pop_front();
        while (!requests_.empty() && requests_.front() <= from) requests_.pop_front();
        return repeats_.size() + more <=
               set_.retry_budget->free_retries + set_.retry_budget->retries_per_request * requests_.size();
    }
    bool may_repeat(const Session& s) {
        if (!budget_left(1)) return false;
        if (!s.may_have_run || cls(s).idempotency == Idempotency::idempotent) return true;
        return cls(s).idempotency == Idempotency::keyed && cls(s).retry_scope == RetryScope::anywhere &&
               now_ < s.sent + cls(s).retry_window;
    }

    void give_up(SessionId id, Time again = 0) {
        const Session& s = sessions_.at(id);
        const bool refusable =
            !s.may_have_run || cls(s).idempotency == Idempotency::idempotent ||
            (cls(s).idempotency == Idempotency::keyed && cls(s).retry_scope == RetryScope::anywhere);
        if (refusable) act(Reject{id, std::clamp(again, 0.0, set_.max_retry_after)});
        else act(Fail{id});
        held_.erase(id);
        sessions_.erase(id);
    }

    void on(const SessionRequest& q) {
        arrivals_ = recent() + 1, arrived_ = now_;
        if (set_.retry_budget) requests_.push_back(now_);
        budget_left(0);
        if (q.length_hint) hint_sum_ += *q.length_hint, hints_ += 1;
        Session s;
        s.request = q;
        s.taken = now_;
        s.worth = cls(s).worth * (over_share(q) ? set_.over_share_worth : 1);
        sessions_[q.id] = s;
        place(q.id);
    }

    // Each viewer counts once and keeps its verdict: those who come again after a refusal are no new demand.
    bool over_share(const SessionRequest& q) {
        if (q.tenant >= int(set_.tenants.size()) || set_.tenants[q.tenant].quota_per_s <= 0) return false;
        while (!viewers_.empty() && viewers_.front().first < now_ - kRemember) {
            verdicts_.erase(viewers_.front().second);
            viewers_.pop_front();
        }
        const auto [verdict, unseen] = verdicts_.try_emplace(q.viewer, false);
        if (!unseen) return verdict->second;
        viewers_.emplace_back(now_, q.viewer);
        auto& times = tenants_[q.tenant];
        while (!times.empty() && times.front() < now_ - kShareWindow) times.pop_front();
        const double part = set_.tenants[q.tenant].quota_per_s * kShareWindow / 1000 / set_.directors;
        verdict->second = times.size() >= kOverShare * part + 2;
        if (!verdict->second) times.push_back(now_);
        return verdict->second;
    }

    void on(const SessionAdopted& e) {
        // At the start of a day, not of this director alone, servers are warm unless listed so. What is
        // handed over later (an attempt that a server may hold still) tells nothing of the servers.
        if (!adopting_ && now_ == born_) {
            adopting_ = true;
            for (auto& [id, v] : servers_)
                v.cold_since = v.entry.last_start > 0 ? v.entry.last_start : kNever;
        }
        Session s;
        s.request = e.request;
        s.taken = now_;
        s.state = Session::State::playing;
        s.answered = false;
        s.server = e.server;
        s.attempts = 1;
        s.rung = cls(s).min_rung;
        s.worth = cls(s).worth;
        sessions_[e.request.id] = s;
        plays(e.request.title);
        if (cls(s).seats > 0) seats_[{s.request.title, s.request.cls}] += 1;
        if (Server* v = server(e.server); v && v->sessions.insert(e.request.id).second) {
            count(*v, s, 1);
            recount(*v), forget_past(*v);
        }
    }

    void on(const SessionEstablished& e) {
        if (Server* v = server(e.server)) {
            answered(*v);
            v->failing *= 1 - kFailEase;
        }
        const auto it = sessions_.find(e.id);
        if (it == sessions_.end()) return;
        Session& s = it->second;
        s.state = Session::State::playing;
        for (const ServerId id : s.errors)
            if (Server* v = server(id)) blame(*v);
        s.errors.clear();
        plays(s.request.title);
    }
    void blame(Server& v) { v.failing += kFailGain * (1 - v.failing); }
    void plays(TitleId title) {
        if (titles_.size() >= kTitles) titles_.clear();
        titles_.insert(title);
    }

    void on(const AttemptEnded& e) {
        Server* v = server(e.server);
        const auto it = sessions_.find(e.id);
        const bool was_out = it != sessions_.end() && it->second.state == Session::State::out;
        if (v) {
            learn(*v, e.report);
            if (was_out) {
                if (e.outcome == Outcome::timed_out) strike(*v, false);
                if (e.outcome == Outcome::full) {
                    // "Full" is word too, the freshest there is: of the link where servers refuse by it.
                    v->full_until = now_ + kFullRest;
                    Account& a = set_.full_utilization > 0 ? v->link : v->streams;
                    const double least = set_.full_utilization > 0 ? set_.full_utilization : 1;
                    if (a.use(now_) < least) a.learn(now_, least, 0, 1);
                }
                if (e.outcome == Outcome::error) {
                    if (titles_.count(it->second.request.title)) blame(*v);
                    else it->second.errors.push_back(e.server);
                }
            }
            if (e.outcome == Outcome::reset || e.outcome == Outcome::not_connected) strike(*v, true);
        }
        if (it == sessions_.end()) return;
        Session& s = it->second;
        if (v && v->sessions.erase(e.id) > 0) count(*v, s, -1);
        if (cls(s).seats > 0) seats_[{s.request.title, s.request.cls}] -= 1;
        const bool ended = e.session_ended || s.answered || !was_out;
        if (e.outcome != Outcome::full && e.outcome != Outcome::not_connected &&
            e.outcome != Outcome::not_sent)
            s.may_have_run = true;
        if (ended) held_.erase(e.id), sessions_.erase(it);
        if (v) recount(*v);
        if (ended) return;
        s.state = Session::State::held;
        if (s.may_have_run && cls(s).idempotency == Idempotency::non_idempotent) return give_up(e.id);
        if (now_ >= aim(s) - kSetUp / 2 || s.errors.size() >= kErrors) return give_up(e.id);
        place(e.id);
    }

    void on(const SessionAbandoned& e) {
        const auto it = sessions_.find(e.id);
        if (it == sessions_.end()) return;
        held_.erase(e.id);
        // Taken back, it is no request that earns further attempts: one client that takes back hundreds at
        // once would pay for those of everybody.
        const auto counted = std::lower_bound(requests_.begin(), requests_.end(), it->second.taken);
        if (counted != requests_.end() && *counted == it->second.taken) requests_.erase(counted);
        if (it->second.state == Session::State::held) sessions_.erase(it);
        else it->second.answered = true;  // its attempt still holds a stream and a seat
    }

    void on(const TimerExpired&) {
        if (now_ >= next_alarm_) next_alarm_ = kAlways;
        const std::set<SessionId> held = held_;
        std::vector<std::pair<Time, SessionId>> order;  // first come, first served
        for (const SessionId id : held) order.emplace_back(sessions_.at(id).taken, id);
        std::sort(order.begin(), order.end());
        for (const auto& [taken, id] : order)
            if (held_.count(id)) place(id);
        for (const ServerId id : mine_)
            if (Server& v = servers_.at(id); v.listed && (v.news || now_ >= v.looked + kLook)) regulate(v);
        // Several steps of one session between two looks are one change: each change costs.
        for (const SessionId id : changed_) {
            const auto it = sessions_.find(id);
            if (it == sessions_.end() || it->second.told == it->second.rung) continue;
            it->second.told = it->second.rung;
            act(SetRung{id, it->second.rung});
        }
        changed_.clear();
        if (!mine_.empty()) wake(now_ + kLook);
        if (!set_.list_on_request) return;
        if (now_ - asked_ > set_.max_list_poll_interval / 3) act(FetchServerList{}), asked_ = now_;
        wake(asked_ + set_.max_list_poll_interval / 3);
    }

    // ---- Membership ----

    void on(const ServerList& e) {
        if (e.kind == ListKind::failed) return;
        if (e.kind != ListKind::changes)
            for (auto& [id, v] : servers_) v.listed = false;
        for (const ServerEntry& entry : e.entries) {
            const auto it = servers_.try_emplace(entry.id).first;
            Server& v = it->second;
            // A saved list may be old: any server on it may have started since, so all are paced as cold.
            // A whole list that is fresh ends the doubt: after a restart viewers come in crowds.
            if (e.kind == ListKind::saved) chill(v, now_), v.doubted = true;
            if (e.kind == ListKind::full && v.doubted && now_ >= born_ + kTold) {
                v.doubted = false;
                v.cold_since = entry.last_start > 0 ? entry.last_start : kNever;
            }
            if (entry.last_start > v.entry.last_start) chill(v, std::max(v.cold_since, entry.last_start));
            v.entry = entry;
            v.listed = entry.state != ServerState::gone;
            v.link.total = (set_.use_weights ? entry.weight : 1) * set_.link_kb;
            v.streams.total =
                entry.kind < int(set_.max_streams_by_kind.size()) ? set_.max_streams_by_kind[entry.kind] : 0;
            uplinks_[rack(v)].total = set_.rack_kb;
        }
        // The fleet has changed: what all its things can carry, and carry of ours, is summed anew.
        ready_ = 0;
        stream_pool_.total = stream_pool_.own = link_pool_.total = link_pool_.own = 0;
        uplink_pool_.total = uplink_pool_.own = 0;
        const auto pool = [](Account& a, Pool& p) { a.pool = &p, p.total += a.total, p.own += a.own; };
        for (auto& [id, v] : servers_) {
            v.streams.pool = v.link.pool = nullptr;
            ready_ += v.listed && v.entry.state == ServerState::ready;
            if (v.listed) pool(v.streams, stream_pool_), pool(v.link, link_pool_);
        }
        for (auto& [rack, up] : uplinks_) pool(up, uplink_pool_);
    }

    Settings set_;
    std::mt19937_64 random_;
    Time now_ = 0, born_ = kNever, stalled_ = kNever, asked_ = kNever, next_alarm_ = kAlways;
    std::vector<Action>* out_ = nullptr;
    std::map<ServerId, Server> servers_;
    std::map<int, Account> uplinks_;
    Pool stream_pool_, link_pool_, uplink_pool_;
    std::map<SessionId, Session> sessions_;
    std::set<SessionId> held_, changed_;
    std::set<ServerId> mine_;  // servers with sessions of ours
    std::map<std::pair<TitleId, int>, int> seats_;
    std::set<TitleId> titles_;                 // that have played
    std::map<int, std::deque<Time>> tenants_;  // sessions taken within the share
    std::deque<std::pair<Time, std::uint64_t>> viewers_;
    std::map<std::uint64_t, bool> verdicts_;
    std::deque<Time> requests_, repeats_;  // for the budget of further attempts
    double hint_sum_ = 0, hints_ = 0, arrivals_ = 0;
    Time arrived_ = 0;
    std::size_t ready_ = 0;  // servers that sessions may be sent to
    bool adopting_ = false;
};

Director::Director(const Settings& settings, std::uint64_t seed) : rules_(new Rules(settings, seed)) {}
Director::~Director() = default;
Director::Director(Director&&) noexcept = default;
Director& Director::operator=(Director&&) noexcept = default;
void Director::handle(Time now, const Event& event, std::vector<Action>& actions) {
    rules_->handle(now, event, actions);
}

}  // namespace ivyfield
