// The decision module of ivyfield; its interface (settings, events, actions) is
// include/ivyfield/director.hpp. The mechanism is the pure rate control of Almeroth et al., "Long Term
// Channel Allocation Strategies for Video Applications", section 5.1; docs/design.md lists the additions.
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

// ---- Constants ----

constexpr Time kFarPast = -1e18, kFarFuture = 1e18;  // before and after any time of the clock
// From the design: streams are granted unpaced while a server's streams and link are used less than this.
constexpr double kPacingUtilization = 0.70;
// From the design: lower bound of the pacing interval (T int); viewing time (T view) without a length hint.
constexpr Time kMinPacingInterval = 10000, kDefaultViewTime = 45000;
// From the design, read as a limit for each session: it steps up at most once in this time.
constexpr Time kMinStepUpInterval = 30000;
// Links and uplinks are filled up to here: real rates and reports vary, and 1% short costs many points.
constexpr double kTargetUtilization = 0.95;
// Additional utilization left free on a link without a recent report: it may be used above the mean as well
// as below, and missing rate costs many times what idle rate does.
constexpr double kStaleMargin = 0.2;
// A new session starts above the rung of the highest worth per rate only where that takes at most this share
// of the headroom. Worth grows ever more slowly with rate, so equal rungs yield the most, and a later step
// down costs more than a later step up gains.
constexpr double kHeadroomShare = 0.2;
// At high arrival rates other directors use the same headroom before a report shows it: that share shrinks
// with the sessions expected at a server since its last report (at least kMinReportAge ago), estimated from
// own arrivals averaged with the time constant kArrivalMemory.
constexpr Time kArrivalMemory = 5000, kMinReportAge = 1000;
// Rungs change only when utilization is off its target by more than the noise of one smoothed report.
constexpr double kStepDownMargin = 0.08, kStepUpMargin = 0.2;
// The margin without a new report: other directors may already have stepped up on the same old one.
constexpr double kBlindStepUpMargin = 0.5;
// Weight of one report in the estimate of the other directors' load: reports are noisy.
constexpr double kLoadGain = 0.4;
// A report describes the server this long ago: half a usual refresh period plus network delay.
constexpr Time kReportLag = 400;
// Others' load is used as estimated until kFreshAge after a report, then fades to the fleet's mean.
constexpr Time kFreshAge = 5000, kStaleAge = 30000;
// Time constant of that mean. Own load of the whole fleet, times the directors, counts in it as one report.
constexpr Time kFleetMemory = 10000;
// Duration of a set-up on a loaded server: queueing ends this long before the startup deadline.
constexpr Time kSetupTime = 200;
// An attempt that may be repeated gets this share of the time to its startup deadline, and this at least.
constexpr double kAttemptTimeShare = 0.5;
constexpr Time kMinAttemptTime = 250;
// A server with an attempt unanswered for this long gets no sessions that can't be repeated.
constexpr Time kOverdueAnswer = 400;
// Backoff of a server that did not answer; it doubles up to a limit, so that a recovery is noticed soon.
constexpr Time kMinBackoff = 500, kMaxBackoff = 8000;
// Each consecutive failure counts like this part of a link in the choice of a server.
constexpr double kFailureCost = 0.1;
// Backoff after "full": the whole link is in demand, and sessions on it end every few seconds.
constexpr Time kFullBackoff = 1000;
// Error rate from which a server gets no sessions that can't be repeated, and the weight of one error in it.
constexpr double kMaxErrorRate = 0.15, kErrorRateGain = 0.3;
// Titles that have played are remembered, at most so many. An error for any other may be caused by the
// request (a title that no server knows): it counts against the server only if the session then plays
// elsewhere. After kMaxErrors of them the session is given up, since its attempts use up the retry budget of
// all sessions.
constexpr std::size_t kMaxPlayedTitles = 10000, kMaxRecentViewers = 10000, kMaxErrors = 2;
// A success lowers the error rate by less than an error raises it, and the rate counts double in the choice
// of a server: a server that fails fast is idle and would otherwise attract all sessions.
constexpr double kErrorRateDecay = 0.1, kErrorRateCost = 2;
// Part of the set-up rate a cold server can take that all directors together send it; the rest is for chance.
constexpr double kColdPaceShare = 0.5;
// Where servers can be probed, the chosen one is probed before the grant unless its last report is younger
// than kMaxReportAge. A session causes at most kMaxProbes probes, since each has a price. A server that does
// not answer within kProbeTimeout is skipped.
constexpr Time kMaxReportAge = 2000, kProbeTimeout = 60;
constexpr int kMaxProbes = 2;
// A server that seems to have headroom for steps up is probed at most this often: a step up gains several
// seconds of worth, a probe costs a part of one.
constexpr Time kStepUpProbeInterval = 10000;
// A tenant's requests are counted over kQuotaWindow; a viewer's classification is kept for kViewerMemory. A
// request is over its tenant's share when the count exceeds the quota by the factor kOverShareFactor.
constexpr Time kQuotaWindow = 5000, kViewerMemory = 60000;
constexpr double kOverShareFactor = 1.2;
// A step down to make room must cost less than this part of what it gains: the change of rung costs, too.
constexpr double kMaxStepDownCost = 0.8;
// All directors step down on the same report, and reports of the effect arrive late: the next step down waits
// for Settings::note_delay and this much longer.
constexpr Time kStepDownSettleTime = 1000;
// The server list shows a server's start some seconds late. A full list that arrives this long after our own
// start shows every start before it.
constexpr Time kStartListDelay = 2000;
// Rungs are checked this often where no new report arrives; sessions only step up then.
constexpr Time kRungCheckInterval = 2000;
// A timer that fires this late shows that this director itself was stalled.
constexpr Time kStallDelay = 100;
// Queued sessions and new reports are handled at most this often.
constexpr Time kMinTimerDelay = 20;

// ---- Load estimates ----

// Mean utilization of all resources of one kind in the fleet, for example of all links. A director among many
// has one session or none on most servers, which says nothing about such a server. Over the whole fleet its
// sessions say a little more, and a report of any server counts.
struct FleetLoad {
    int directors = 1;
    double capacity = 0, own_load = 0, correction = 0, reports = 0;
    Time last_report = 0;

    double decay(Time now) const { return std::exp((last_report - now) / kFleetMemory); }
    double extrapolation() const { return capacity > 0 ? own_load * directors / capacity : 0; }
    // Reports correct the extrapolation; between them it follows our own load, so that a surge shows at once.
    void add_report(Time now, double utilization) {
        const double remaining = decay(now);
        correction = correction * remaining + utilization - extrapolation(),
        reports = reports * remaining + 1;
        last_report = now;
    }
    double utilization(Time now) const {
        return std::max(0.0, extrapolation() + correction * decay(now) / (reports * decay(now) + 1));
    }
};

// Load of one resource shared by all directors (a server's streams, its link, an uplink): our own part is
// counted, the other directors' part estimated from reports.
struct ResourceLoad {
    double capacity = 0, own_load = 0, others_load = 0;
    FleetLoad* fleet = nullptr;
    Time last_report = kFarPast;
    std::deque<std::pair<Time, double>> own_history;  // own load before each change, for reports of the past

    void set_own_load(Time now, double value) {
        if (value == own_load) return;
        // Only the first change of each moment is ever looked up.
        if (own_history.empty() || own_history.back().first < now) own_history.emplace_back(now, own_load);
        while (own_history.front().first < now - 10000) own_history.pop_front();
        if (fleet) fleet->own_load += value - own_load;
        own_load = value;
    }
    double own_load_at(Time when) const {
        for (const auto& [changed_at, load_before] : own_history)
            if (changed_at > when) return load_before;
        return own_load;
    }
    // Adds a report that this fraction of the capacity was requested `lag` ago. Reports that only overloaded
    // servers send (`biased`) say nothing about the rest of the fleet.
    void add_report(Time now, double utilization, Time lag, double gain, bool biased = false) {
        const double sample = utilization * capacity - own_load_at(now - lag);
        others_load = now - last_report > kFreshAge ? sample : others_load + gain * (sample - others_load);
        last_report = now;
        if (fleet && !biased) fleet->add_report(now, utilization);
    }
    // Weight of the estimate of the others' load: 1 soon after a recent report, 0 without one.
    double freshness(Time now) const {
        return std::clamp((kStaleAge - (now - last_report)) / (kStaleAge - kFreshAge), 0.0, 1.0);
    }
    // Without a recent report the mean of the fleet is assumed.
    double utilization(Time now) const {
        if (capacity <= 0) return 0;
        const double freshness = this->freshness(now);
        const double estimate = fleet ? fleet->utilization(now) * capacity * (1 - 1.0 / fleet->directors) : 0;
        return std::max(0.0, own_load + freshness * others_load + (1 - freshness) * estimate) / capacity;
    }
};

struct Server {
    ServerEntry entry;
    bool listed = true;
    ResourceLoad streams, link;
    std::set<SessionId> sessions;  // own sessions, pending or established
    // Number of them by title (0 where viewers do not share streams), class and rung.
    std::map<std::tuple<TitleId, int, int>, int> session_counts;
    // Pacing.
    Time interval_end = kFarPast, last_grant = kFarPast;
    double granted_streams = 0;
    // Health.
    int failures = 0;  // consecutive: no answer, or the connection broke
    double error_rate = 0;
    Time backoff_until = kFarPast, full_until = kFarPast, last_answer = kFarPast;
    Time cold_since = kFarPast, next_cold_setup = kFarPast;
    bool connection_broke = false;
    bool from_saved_list = false;  // treated as cold only because a saved list named it
    // Reports.
    Time probed_at = kFarPast;  // when the pending probe was sent; kFarPast: none is pending
    Time last_rung_check = kFarPast, last_step_down = kFarPast;
    bool new_report = false;
};

struct Session {
    SessionRequest request;
    enum class State { queued, pending, established } state = State::queued;
    bool abandoned = false;     // withdrawn while an attempt was pending: no answer is owed
    bool may_have_run = false;  // some attempt is not known never to have run
    ServerId server = 0, probed_server = 0;
    std::set<ServerId> tried_servers;
    std::vector<ServerId> error_servers;  // whose error for it does not count against them yet
    int rung = 0, sent_rung = 0, attempts = 0, probes = 0;  // sent_rung: the rung last sent to the server
    double worth = 1;
    Time received_at = 0, sent_at = 0, last_step_up = kFarPast;
};

}  // namespace

class Director::Rules {
  public:
    Rules(const Settings& settings, std::uint64_t seed) : cfg_(settings), random_(seed) {
        cfg_.directors = std::max(1, cfg_.directors);
        fleet_streams_.directors = fleet_links_.directors = fleet_uplinks_.directors = cfg_.directors;
    }

    void handle(Time now, const Event& event, std::vector<Action>& actions) {
        now_ = now;
        actions_ = &actions;
        if (now > next_timer_ + kStallDelay) stalled_at_ = now;
        if (started_at_ == kFarPast) {
            started_at_ = now;
            if (cfg_.list_on_request) emit(SubscribeServerList{true}), list_fetched_at_ = now, set_timer(now);
        }
        std::visit([this](const auto& e) { handle_event(e); }, event);
    }

  private:
    template <typename A>
    void emit(A action) {
        actions_->emplace_back(std::in_place_type<A>, std::move(action));
    }

    // Timers cannot be cancelled, so one is set only where none expires sooner. Idle directors set none:
    // large fleets would otherwise spend their time on timers.
    void set_timer(Time at) {
        at = std::max(at, now_ + kMinTimerDelay);
        if (at >= next_timer_) return;
        next_timer_ = at;
        emit(SetTimer{0, at});
    }

    const ClassSettings& class_of(const Session& s) const { return cfg_.classes[s.request.cls]; }
    bool shares_stream(const Session& s) const { return class_of(s).live && cfg_.join_rate_factor < 1; }
    // Part of its rate that the first own viewer of a stream adds at a server. All directors send the viewers
    // of a live title to one server, so its stream is shared with theirs.
    double first_share(const Session& s) const {
        return shares_stream(s) ? cfg_.join_rate_factor + (1 - cfg_.join_rate_factor) / cfg_.directors : 1;
    }
    double rate(const Session& s, int rung) const { return cfg_.rung_kb[rung] * class_of(s).rate_factor; }
    int max_rung(const Session& s) const {
        return std::max(class_of(s).min_rung, std::min(class_of(s).max_rung, s.request.top_rung));
    }
    Time startup_deadline(const Session& s) const {
        return std::min(s.received_at + class_of(s).startup_target, s.request.deadline);
    }
    int rack_of(const Server& s) const { return cfg_.racks > 0 ? s.entry.position % cfg_.racks : 0; }

    Server* find_server(ServerId id) {
        const auto it = servers_.find(id);
        return it == servers_.end() ? nullptr : &it->second;
    }

    double utilization(const Server& s) {
        return std::max(s.link.utilization(now_), uplinks_[rack_of(s)].utilization(now_));
    }

    // Adds a session of the server to the counts (1) or removes it (-1); the caller then calls
    // update_own_load(). While a session is counted, its rung and its server must not change.
    void count_session(Server& server, const Session& s, int delta) {
        const auto it = server.session_counts
                            .try_emplace({shares_stream(s) ? s.request.title : 0, s.request.cls, s.rung}, 0)
                            .first;
        it->second += delta;
        if (it->second == 0) server.session_counts.erase(it);
    }
#ifdef IVYFIELD_CHECKS
    // For tests: compares the sums with those over single sessions.
    void check_own_load(const Server& server, double kb, double streams) const {
        std::set<std::tuple<TitleId, int, int>> shared;
        for (const SessionId id : server.sessions) {
            const Session& s = sessions_.at(id);
            const bool is_further =
                shares_stream(s) && !shared.insert({s.request.title, s.request.cls, s.rung}).second;
            kb -= rate(s, s.rung) * (is_further ? cfg_.join_rate_factor : first_share(s));
            streams -= is_further ? 0 : 1;
        }
        if (std::abs(kb) > 1e-6 || std::abs(streams) > 1e-6)
            throw std::logic_error("a server's count of sessions is off by " + std::to_string(kb) +
                                   " kB a second and " + std::to_string(streams) + " streams");
    }
#endif
    // Updates own load of a server and of its uplink. Viewers of one live title, class and rung share a
    // stream. It sums over kinds of sessions, not over sessions, since it runs at each change.
    void update_own_load(Server& server) {
        double kb = 0, streams = 0;
        for (const auto& [kind, count] : server.session_counts) {
            const auto& [title, cls, rung] = kind;
            const bool shared = cfg_.classes[cls].live && cfg_.join_rate_factor < 1;
            const double first =
                shared ? cfg_.join_rate_factor + (1 - cfg_.join_rate_factor) / cfg_.directors : 1;
            kb += cfg_.rung_kb[rung] * cfg_.classes[cls].rate_factor *
                  (shared ? first + (count - 1) * cfg_.join_rate_factor : count);
            streams += shared ? 1 : count;
        }
#ifdef IVYFIELD_CHECKS
        check_own_load(server, kb, streams);
#endif
        ResourceLoad& uplink = uplinks_[rack_of(server)];
        uplink.set_own_load(now_, uplink.own_load + kb - server.link.own_load);
        server.link.set_own_load(now_, kb);
        server.streams.set_own_load(now_, streams);
        if (server.sessions.empty()) servers_in_use_.erase(server.entry.id);
        else servers_in_use_.insert(server.entry.id), set_timer(now_ + kRungCheckInterval);
    }

    // An adopted session played before it was known here, so earlier reports already include it.
    void clear_own_history(Server& s) {
        for (ResourceLoad* load : {&s.streams, &s.link, &uplinks_[rack_of(s)]}) load->own_history.clear();
    }

    void add_report(Server& server, const LoadReport& report) {
        for (std::size_t k = 0; k < report.size() && k < cfg_.report_fields.size(); ++k) {
            const double value = report[k];
            if (!std::isfinite(value) || value < 0) continue;
            switch (cfg_.report_fields[k]) {
                case ReportField::streams:
                    if (server.streams.capacity > 0)
                        server.streams.add_report(now_, value / server.streams.capacity, kReportLag,
                                                  kLoadGain);
                    break;
                case ReportField::link:
                case ReportField::link_capped:
                    server.link.add_report(now_, value, kReportLag, kLoadGain);
                    break;
                case ReportField::uplink:
                    uplinks_[rack_of(server)].add_report(now_, value, kReportLag, kLoadGain / 2);
                    break;
                default:
                    continue;
            }
            server.new_report = true;
            set_timer(now_);
        }
    }

    // A delivered share below 1 shows a link smaller than assumed: its requested utilization is 1 / share.
    void handle_event(const SessionNote& event) {
        Server* server = find_server(event.server);
        const auto it = sessions_.find(event.id);
        if (event.kind == NoteKind::rung && it != sessions_.end() && server) {
            const bool is_counted = server->sessions.count(event.id) != 0;
            if (is_counted) count_session(*server, it->second, -1);
            it->second.rung = std::clamp(static_cast<int>(event.value), 0, int(cfg_.rung_kb.size()) - 1);
            it->second.sent_rung = it->second.rung;
            if (is_counted) count_session(*server, it->second, 1);
            update_own_load(*server);
            return clear_own_history(*server);
        }
        if (!server || !(event.value >= 0)) return;
        ResourceLoad& uplink = uplinks_[rack_of(*server)];
        if (event.kind == NoteKind::delivered_share && event.value < 0.98) {
            const double requested = 1 / std::max(event.value, 0.2);
            if (uplink.utilization(now_) < requested)
                server->link.add_report(now_, requested, cfg_.note_delay, 1, true);
        } else if (event.kind == NoteKind::link) {
            server->link.add_report(now_, event.value, cfg_.note_delay, kLoadGain);
        } else if (event.kind == NoteKind::uplink) {
            uplink.add_report(now_, event.value, cfg_.note_delay, kLoadGain);
        }
        server->new_report = true;
        set_timer(now_);
    }

    void handle_event(const ProbeCompleted& event) {
        Server* server = find_server(event.server);
        if (!server) return;
        const bool was_pending = server->probed_at != kFarPast;
        server->probed_at = kFarPast;
        if (event.outcome == Outcome::ended) add_report(*server, event.report);
        else if (was_pending && event.outcome != Outcome::full) record_failure(*server, false);
        const std::set<SessionId> queued = queued_;
        for (const SessionId id : queued)
            if (queued_.count(id) && sessions_.at(id).probed_server == event.server) place(id);
    }

    // Probes the chosen server when its last report is too old for a grant. True: the session waits for the
    // answer. A director among many has no other way to know a server's load: it sends a session every few
    // seconds and gets reports of its own servers only.
    bool request_probe(Server& server, Session& session) {
        if (!cfg_.can_probe || cfg_.report_fields.empty()) return false;
        if (session.probes >= kMaxProbes || now_ - server.link.last_report < kMaxReportAge) return false;
        if (server.probed_at == kFarPast) {
            session.probes += 1;
            server.probed_at = now_;
            emit(Probe{server.entry.id});
        }
        session.probed_server = server.entry.id;
        return true;
    }
    bool is_probe_pending(const Session& session) {
        const Server* server = find_server(session.probed_server);
        return server && server->probed_at != kFarPast && now_ - server->probed_at <= kProbeTimeout;
    }

    // ---- Pacing ----

    // Mean viewing time (T view), from the length hints of requests.
    Time view_time() const { return hint_count_ > 0 ? hint_sum_ / hint_count_ : kDefaultViewTime; }

    // Earliest time at which the pacing grants the next stream at the server; kFarPast: unpaced.
    Time next_grant_time(Server& server) {
        if (server.streams.capacity <= 0) return kFarPast;
        if (server.streams.utilization(now_) < kPacingUtilization && utilization(server) < kPacingUtilization)
            return kFarPast;
        const Time interval = std::max(kMinPacingInterval, view_time() / server.streams.capacity);
        if (now_ >= server.interval_end) server.interval_end = now_ + interval, server.granted_streams = 0;
        const double max_grants = std::max(1.0, std::floor(interval * server.streams.capacity / view_time()));
        if (server.granted_streams >= max_grants) return server.interval_end;
        return server.last_grant + (server.interval_end - now_) / (max_grants - server.granted_streams);
    }

    // Earliest time of the next set-up at a cold server; kFarPast: unpaced. A cold server takes set-ups at a
    // slowly rising rate, divided among all directors. The first one waits a random part of the interval:
    // else a hundred directors that learn of a new, idle server together would each send it one at once.
    Time next_cold_setup(Server& server) {
        if (cfg_.overload_multiple <= 0 || now_ >= server.cold_since + cfg_.warmup_time) return kFarPast;
        if (server.next_cold_setup == kFarPast)
            delay_cold_setup(server, std::uniform_real_distribution<double>(0, 1)(random_));
        return server.next_cold_setup;
    }
    // Treats the server as started at `since`.
    void mark_cold(Server& server, Time since) {
        if (now_ >= server.cold_since + cfg_.warmup_time)
            server.next_cold_setup = kFarPast;  // else its pace continues
        server.cold_since = since;
        server.from_saved_list = false;
    }
    // Delays the next set-up at a cold server by this many of the intervals of its current pace.
    void delay_cold_setup(Server& server, double intervals) {
        const double age = std::clamp((now_ - server.cold_since) / std::max(1.0, cfg_.warmup_time), 0.0, 1.0);
        const double warmth = cfg_.initial_warmth + (1 - cfg_.initial_warmth) * age * age;
        const double pace = std::max(1.0, server.streams.capacity) / std::max(1.0, cfg_.warmup_time) *
                            warmth * cfg_.overload_multiple * kColdPaceShare / cfg_.directors;
        server.next_cold_setup = now_ + intervals / pace;
    }

    // ---- Queueing and the choice of a server ----

    bool holds_title(const Server& server, const SessionRequest& request) const {
        if (cfg_.cells <= 0) return true;
        const int offset =
            ((server.entry.position - request.first_cell) % cfg_.cells + cfg_.cells) % cfg_.cells;
        return offset < request.cell_count;
    }

    // Whether the session may be sent to the server. Sessions that can't be repeated go only where set-ups
    // are answered; the others also try suspect servers. Without `strict` only hard conditions apply.
    bool is_eligible(const Server& server, const Session& session, bool strict) const {
        if (!server.listed || server.entry.state != ServerState::ready ||
            !holds_title(server, session.request))
            return false;
        if (now_ < server.backoff_until || now_ < server.full_until) return false;
        if (strict && server.probed_at != kFarPast && now_ - server.probed_at > kProbeTimeout &&
            now_ != stalled_at_)
            return false;
        if (session.tried_servers.count(server.entry.id) && strict) return false;
        if (class_of(session).idempotency == Idempotency::idempotent || !strict) return true;
        if (server.failures > 0 || server.error_rate >= kMaxErrorRate) return false;
        for (const SessionId id : server.sessions) {
            const Session& other = sessions_.at(id);
            if (other.state == Session::State::pending && now_ - other.sent_at > kOverdueAnswer &&
                now_ != stalled_at_)
                return false;
        }
        return true;
    }

    bool has_free_seat(const Session& s) const {
        if (class_of(s).seats <= 0) return true;
        const auto it = seats_taken_.find({s.request.title, s.request.cls});
        return it == seats_taken_.end() || it->second < class_of(s).seats;
    }

    // Rate in kB/s that the server's link can take until it reaches the target utilization.
    double link_headroom(const Server& s) const {
        return (kTargetUtilization - kStaleMargin * (1 - s.link.freshness(now_)) - s.link.utilization(now_)) *
               s.link.capacity;
    }
    // The same for the server's link and its rack's uplink together.
    double headroom(Server& s) {
        ResourceLoad& uplink = uplinks_[rack_of(s)];
        const double link_room = link_headroom(s);
        return uplink.capacity > 0
                   ? std::min(link_room, (kTargetUtilization - uplink.utilization(now_)) * uplink.capacity)
                   : link_room;
    }

    // Rendezvous hash of a title and a server, from 0 to 1: the same at all directors.
    static double rendezvous_hash(TitleId title, ServerId server) {
        std::uint64_t hash = title * 0x9e3779b97f4a7c15u ^ server;
        for (const int shift : {30, 27, 31}) hash = (hash ^ (hash >> shift)) * 0xbf58476d1ce4e5b9u;
        return static_cast<double>(hash >> 11) / 9007199254740992.0;
    }
    double score_server(Server& server, const Session& session) {
        double score = 1 - std::max(utilization(server), server.streams.utilization(now_));
        // Directors do not communicate. By the hash they all choose the same server for a live title, and the
        // same next one when that is full, since further viewers of a stream add only a part of its rate.
        if (shares_stream(session) &&
            headroom(server) > rate(session, max_rung(session)) * first_share(session))
            score = 1 + rendezvous_hash(session.request.title, server.entry.id);
        if (server.entry.zone != cfg_.zone) score -= cfg_.cross_zone_price * 5;
        // A suspect server whose backoff is over is tried with one session that may be sent again.
        if (server.failures > 0 && class_of(session).idempotency == Idempotency::idempotent &&
            session.attempts == 0)
            return 2;
        score -= kErrorRateCost * server.error_rate + kFailureCost * server.failures +
                 (session.tried_servers.count(server.entry.id) ? 1 : 0);
        return score + std::uniform_real_distribution<double>(0, 0.02)(random_);
    }

    // Sends, queues or gives up a session that is owed an answer and has no attempt pending.
    void place(SessionId id) {
        Session& session = sessions_.at(id);
        if (session.attempts >= std::max(1, cfg_.max_attempts) || now_ >= session.request.deadline - 1 ||
            (session.attempts > 0 && !may_retry(session)) || !has_free_seat(session))
            return reject_or_fail(id);
        if (is_probe_pending(session)) return enqueue(id, now_);
        for (const bool strict : {true, false}) {
            Server *best = nullptr, *unpaced = nullptr, *join_server = nullptr;
            double best_score = 0, unpaced_score = 0;
            int join_rung = -1;
            Time soonest = kFarFuture;
            for (auto& [server_id, server] : servers_) {
                if (!is_eligible(server, session, strict)) continue;
                const Time cold_opening = next_cold_setup(server);
                if (const int rung = joinable_rung(server, session); rung > join_rung && cold_opening <= now_)
                    join_server = &server, join_rung = rung;
                if (server.streams.capacity > 0 && server.streams.utilization(now_) >= 1) continue;
                const Time opening = std::max(next_grant_time(server), cold_opening);
                soonest = std::min(soonest, opening);
                const double score = score_server(server, session);
                if (cold_opening <= now_ && (!unpaced || score > unpaced_score))
                    unpaced = &server, unpaced_score = score;
                if (opening <= now_ && (!best || score > best_score)) best = &server, best_score = score;
            }
            if (join_server) return send_setup(id, *join_server, join_rung, false);
            const Time latest_start = startup_deadline(session) - kSetupTime;
            if (!best && now_ >= latest_start) best = unpaced;
            if (best && now_ < latest_start && request_probe(*best, session)) return enqueue(id, now_);
            if (best) {
                const int rung = choose_rung(*best, session);
                if (rung >= 0) return send_setup(id, *best, rung, true);
            } else if (soonest < latest_start) {
                return enqueue(id, now_);
            } else if (soonest < kFarFuture) {
                return reject_or_fail(id, soonest - now_);
            }
            if (best) return reject_or_fail(id, view_time() / std::max(1.0, best->streams.capacity));
        }
        reject_or_fail(id, kMinBackoff);
    }

    void enqueue(SessionId id, Time until) {
        sessions_.at(id).state = Session::State::queued;
        queued_.insert(id);
        set_timer(until);
    }

    // Rung at which the session can join a live stream of this director at the server, or -1.
    int joinable_rung(Server& server, const Session& session) {
        if (!shares_stream(session)) return -1;
        int rung = -1;
        for (const SessionId id : server.sessions) {
            const Session& other = sessions_.at(id);
            if (other.request.title == session.request.title && other.request.cls == session.request.cls &&
                other.rung <= max_rung(session) && other.rung >= class_of(session).min_rung)
                rung = std::max(rung, other.rung);
        }
        return rung >= 0 && utilization(server) < kTargetUtilization ? rung : -1;
    }

    // Sends the set-up of a session. `is_new_stream`: it takes a new stream, which counts in the pacing.
    void send_setup(SessionId id, Server& server, int rung, bool is_new_stream) {
        Session& session = sessions_.at(id);
        queued_.erase(id);
        if (is_new_stream) server.last_grant = now_, server.granted_streams += 1;
        if (now_ < server.cold_since + cfg_.warmup_time) delay_cold_setup(server, 1);
        if (server.failures > 0) server.backoff_until = now_ + kMinBackoff;  // one trial at a time
        if (session.attempts > 0) retries_.push_back(now_);
        session.attempts += 1;
        session.tried_servers.insert(server.entry.id);
        session.state = Session::State::pending;
        session.server = server.entry.id;
        session.sent_at = now_;
        session.rung = session.sent_rung = rung;
        Time expires = session.request.deadline;
        if (class_of(session).idempotency == Idempotency::idempotent && startup_deadline(session) > now_) {
            const bool can_retry = session.attempts < cfg_.max_attempts && has_retry_budget(1);
            expires = can_retry ? std::max(now_ + kMinAttemptTime,
                                           now_ + kAttemptTimeShare * (startup_deadline(session) - now_))
                                : startup_deadline(session);
            expires = std::min(expires, session.request.deadline);
        }
        if (class_of(session).seats > 0) seats_taken_[{session.request.title, session.request.cls}] += 1;
        set_timer(expires);  // also to detect a stall of this director
        if (server.sessions.insert(id).second) count_session(server, session, 1);
        update_own_load(server);
        emit(SetRung{id, rung});
        emit(SendSetup{id, server.entry.id, expires});
    }

    // ---- Rungs ----

    // Worth a second gained for each kB/s by going from one rung to another (from -1: from no stream).
    double worth_per_kb(const Session& s, int from, int to) const {
        const double kb = rate(s, to) - (from < 0 ? 0 : rate(s, from));
        return s.worth * (cfg_.rung_worth[to] - (from < 0 ? 0 : cfg_.rung_worth[from])) / std::max(kb, 1e-9);
    }

    double recent_arrivals() const {
        return arrival_count_ * std::exp((last_arrival_ - now_) / kArrivalMemory);
    }
    // Arrivals per millisecond, without the session that is being decided.
    double arrival_rate() const { return std::max(0.0, recent_arrivals() - 1) / kArrivalMemory; }

    // The highest rung that fits in the headroom, or -1. Where even the rung of the highest worth per rate
    // does not fit, own sessions with a lower worth per rate step down first.
    int choose_rung(Server& server, const Session& session) {
        int best = class_of(session).min_rung;
        for (int r = best + 1; r <= max_rung(session); ++r)
            if (worth_per_kb(session, -1, r) > worth_per_kb(session, -1, best)) best = r;
        // If the uplink is the bottleneck, sessions on all servers of the rack can make room.
        const double max_cost = worth_per_kb(session, -1, best) * kMaxStepDownCost;
        if (const double shortage = rate(session, best) - headroom(server); shortage > 0)
            free_rate(server, shortage, max_cost);
        for (auto& [id, other] : servers_) {
            if (rack_of(other) != rack_of(server) || link_headroom(server) < rate(session, best)) continue;
            if (const double shortage = rate(session, best) - headroom(server); shortage > 0)
                free_rate(other, shortage, max_cost);
        }
        const double room = headroom(server);
        const Time age = std::clamp(now_ - server.link.last_report, kMinReportAge, kFreshAge);
        const double room_share = kHeadroomShare / (1 + arrival_rate() * age * cfg_.directors /
                                                            std::max<std::size_t>(1, ready_servers_));
        int rung = -1;
        for (int r = class_of(session).min_rung;
             r <= max_rung(session) &&
             rate(session, r) * first_share(session) <= room * (r > best ? room_share : 1);
             ++r)
            rung = r;
        return rung;
    }

    // A change of rung of one session or of all sessions that share a stream.
    struct RungStep {
        std::vector<SessionId> sessions;
        int rung;
        double kb, worth_per_kb;
    };
    // The cheapest step down (-1) or the most valuable step up (+1) among our own streams at the server. All
    // viewers of a stream step together.
    std::optional<RungStep> best_step(const Server& server, int direction) {
        std::optional<RungStep> best;
        std::set<std::tuple<TitleId, int, int>> seen;
        for (const SessionId id : server.sessions) {
            const Session& session = sessions_.at(id);
            if (shares_stream(session) &&
                !seen.insert({session.request.title, session.request.cls, session.rung}).second)
                continue;
            RungStep step{{}, session.rung + direction, 0, 0};
            double worth = 0;
            bool allowed = true;
            for (const SessionId peer_id :
                 shares_stream(session) ? server.sessions : std::set<SessionId>{id}) {
                const Session& peer = sessions_.at(peer_id);
                if (peer.abandoned) continue;
                if (peer.request.title != session.request.title || peer.request.cls != session.request.cls ||
                    peer.rung != session.rung)
                    continue;
                allowed = allowed && peer.state != Session::State::queued &&
                          step.rung >= class_of(peer).min_rung && step.rung <= max_rung(peer) &&
                          (direction < 0 || now_ - peer.last_step_up >= kMinStepUpInterval ||
                           now_ == peer.last_step_up);
                worth += peer.worth;
                step.sessions.push_back(peer_id);
            }
            if (!allowed || step.sessions.empty()) continue;
            const double kb_change = std::abs(rate(session, step.rung) - rate(session, session.rung));
            step.kb = kb_change * (first_share(session) + cfg_.join_rate_factor * (step.sessions.size() - 1));
            step.worth_per_kb =
                worth * std::abs(cfg_.rung_worth[step.rung] - cfg_.rung_worth[session.rung]) / step.kb;
            if (!best || (direction < 0 ? step.worth_per_kb < best->worth_per_kb
                                        : step.worth_per_kb > best->worth_per_kb))
                best = step;
        }
        return best;
    }
    void apply_step(Server& server, const RungStep& step, bool is_step_up) {
        for (const SessionId id : step.sessions) {
            Session& session = sessions_.at(id);
            count_session(server, session, -1);
            session.rung = step.rung;
            count_session(server, session, 1);
            if (is_step_up) session.last_step_up = now_;
            changed_rungs_.insert(id);
        }
        set_timer(now_);
        update_own_load(server);
    }
    // Frees `kb` kB/s by steps down that cost less than this worth per kB/s.
    void free_rate(Server& server, double kb, double max_cost) {
        while (kb > 0) {
            const auto down = best_step(server, -1);
            if (!down || down->worth_per_kb >= max_cost) return;
            kb -= down->kb;
            apply_step(server, *down, false);
        }
    }

    // Mean worth per kB/s of a step of one of our own sessions on any server. With one session on a server,
    // the cheapest steps of all directors come first only if each compares its own step with this mean.
    double mean_worth_per_kb(int direction) const {
        double kb = 0, sum = 0;
        for (const auto& [id, s] : sessions_) {
            const int to = s.rung + direction;
            if (s.state == Session::State::queued || to < class_of(s).min_rung || to > max_rung(s)) continue;
            const double kb_change = std::abs(rate(s, to) - rate(s, s.rung)) * first_share(s);
            const double step_worth =
                s.worth * std::abs(cfg_.rung_worth[to] - cfg_.rung_worth[s.rung]) / kb_change;
            kb += kb_change;
            sum += direction < 0 ? kb_change / std::max(step_worth, 1e-9) : kb_change * step_worth;
        }
        return kb <= 0 || sum <= 0 ? 1 : direction < 0 ? kb / sum : sum / kb;
    }

    bool draw(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
    // On a new report own rates change in proportion to the distance from the target: if all directors do so,
    // the total meets it. A step larger than the own part is taken with that proportion as probability:
    // rounded up, every director with one session there would step down at once, and rounded down none would
    // step up.
    void adjust_rungs(Server& server) {
        const bool new_report = server.new_report;
        server.new_report = false;
        server.last_rung_check = now_;
        const double used = utilization(server);
        if (new_report && used > kTargetUtilization + kStepDownMargin) {
            if (now_ < server.last_step_down + cfg_.note_delay + kStepDownSettleTime) return;
            server.last_step_down = now_;
            double kb = server.link.own_load * (1 - kTargetUtilization / used);
            while (const auto down = best_step(server, -1)) {
                if (!draw(kb / down->kb * mean_worth_per_kb(-1) / down->worth_per_kb)) break;
                kb -= down->kb;
                apply_step(server, *down, false);
            }
        } else if (!new_report && cfg_.can_probe && !cfg_.report_fields.empty() &&
                   server.probed_at == kFarPast && now_ - server.link.last_report > kStepUpProbeInterval &&
                   used < kTargetUtilization - kStepUpMargin) {
            server.probed_at = now_;
            emit(Probe{server.entry.id});
        } else if (used < kTargetUtilization - (new_report ? kStepUpMargin : kBlindStepUpMargin) &&
                   now_ >= server.backoff_until) {
            double kb = server.link.own_load * (kTargetUtilization / std::max(used, 0.1) - 1);
            while (const auto up = best_step(server, +1)) {
                if (up->kb > headroom(server) ||
                    !draw(kb / up->kb * up->worth_per_kb / mean_worth_per_kb(+1)))
                    break;
                kb -= up->kb;
                apply_step(server, *up, true);
            }
        }
    }

    // ---- Health ----

    void record_answer(Server& server) {
        if (server.connection_broke || server.failures > 1) mark_cold(server, now_);  // it may have restarted
        server.connection_broke = false;
        server.failures = 0;
        server.backoff_until = kFarPast;
        server.last_answer = now_;
    }
    // Records a missing answer or a broken connection. Time-outs that a director finds right after it was
    // stalled are caused by its own stall: no server is blamed for them.
    void record_failure(Server& server, bool connection_broke) {
        if (!connection_broke && now_ == stalled_at_) return;
        server.failures += 1;
        server.connection_broke = server.connection_broke || connection_broke;
        if (connection_broke) mark_cold(server, now_);
        server.backoff_until =
            now_ + std::min(kMaxBackoff, kMinBackoff * std::pow(2, std::min(server.failures, 6)));
    }

    // ---- Attempts and answers ----

    // Whether the retry budget allows this many more retries; drops entries older than the window.
    bool has_retry_budget(int retries) {
        if (!cfg_.retry_budget) return true;
        const Time from = now_ - cfg_.retry_budget->window;
        while (!retries_.empty() && retries_.front() < from) retries_.pop_front();
        while (!requests_.empty() && requests_.front() <= from) requests_.pop_front();
        return retries_.size() + retries <=
               cfg_.retry_budget->free_retries + cfg_.retry_budget->retries_per_request * requests_.size();
    }
    bool may_retry(const Session& s) {
        if (!has_retry_budget(1)) return false;
        if (!s.may_have_run || class_of(s).idempotency == Idempotency::idempotent) return true;
        return class_of(s).idempotency == Idempotency::keyed &&
               class_of(s).retry_scope == RetryScope::anywhere && now_ < s.sent_at + class_of(s).retry_window;
    }

    // Ends a session without placement: rejects it where it may be requested again, else reports failure.
    void reject_or_fail(SessionId id, Time retry_after = 0) {
        const Session& session = sessions_.at(id);
        const bool can_reject = !session.may_have_run ||
                                class_of(session).idempotency == Idempotency::idempotent ||
                                (class_of(session).idempotency == Idempotency::keyed &&
                                 class_of(session).retry_scope == RetryScope::anywhere);
        if (can_reject) emit(Reject{id, std::clamp(retry_after, 0.0, cfg_.max_retry_after)});
        else emit(Fail{id});
        queued_.erase(id);
        sessions_.erase(id);
    }

    void handle_event(const SessionRequest& request) {
        arrival_count_ = recent_arrivals() + 1, last_arrival_ = now_;
        if (cfg_.retry_budget) requests_.push_back(now_);
        has_retry_budget(0);
        if (request.length_hint) hint_sum_ += *request.length_hint, hint_count_ += 1;
        Session session;
        session.request = request;
        session.received_at = now_;
        session.worth = class_of(session).worth * (is_over_share(request) ? cfg_.over_share_worth : 1);
        sessions_[request.id] = session;
        place(request.id);
    }

    // Whether the request exceeds its tenant's share. Each viewer counts once and keeps its classification:
    // requests repeated after a rejection are no new demand.
    bool is_over_share(const SessionRequest& request) {
        if (request.tenant >= int(cfg_.tenants.size()) || cfg_.tenants[request.tenant].quota_per_s <= 0)
            return false;
        while (!recent_viewers_.empty() && (recent_viewers_.front().first < now_ - kViewerMemory ||
                                            recent_viewers_.size() >= kMaxRecentViewers)) {
            over_share_.erase(recent_viewers_.front().second);
            recent_viewers_.pop_front();
        }
        const auto [it, is_new] = over_share_.try_emplace(request.viewer, false);
        if (!is_new) return it->second;
        recent_viewers_.emplace_back(now_, request.viewer);
        auto& times = tenant_requests_[request.tenant];
        while (!times.empty() && times.front() < now_ - kQuotaWindow) times.pop_front();
        const double quota = cfg_.tenants[request.tenant].quota_per_s * kQuotaWindow / 1000 / cfg_.directors;
        it->second = times.size() >= kOverShareFactor * quota + 2;
        if (!it->second) times.push_back(now_);
        return it->second;
    }

    void handle_event(const SessionAdopted& event) {
        // Sessions adopted at our start show that the service was running: servers are warm unless listed
        // with a start. Later adoptions (attempts that a server may still hold) say nothing about the
        // servers.
        if (!has_adopted_ && now_ == started_at_) {
            has_adopted_ = true;
            for (auto& [id, server] : servers_)
                server.cold_since = server.entry.last_start > 0 ? server.entry.last_start : kFarPast;
        }
        Session session;
        session.request = event.request;
        session.received_at = now_;
        session.state = Session::State::established;
        session.abandoned = false;
        session.server = event.server;
        session.attempts = 1;
        session.rung = class_of(session).min_rung;
        session.worth = class_of(session).worth;
        sessions_[event.request.id] = session;
        remember_title(event.request.title);
        if (class_of(session).seats > 0) seats_taken_[{session.request.title, session.request.cls}] += 1;
        if (Server* server = find_server(event.server);
            server && server->sessions.insert(event.request.id).second) {
            count_session(*server, session, 1);
            update_own_load(*server), clear_own_history(*server);
        }
    }

    void handle_event(const SessionEstablished& event) {
        if (Server* server = find_server(event.server)) {
            record_answer(*server);
            server->error_rate *= 1 - kErrorRateDecay;
        }
        const auto it = sessions_.find(event.id);
        if (it == sessions_.end()) return;
        Session& session = it->second;
        session.state = Session::State::established;
        for (const ServerId id : session.error_servers)
            if (Server* server = find_server(id)) record_error(*server);
        session.error_servers.clear();
        remember_title(session.request.title);
    }
    void record_error(Server& server) { server.error_rate += kErrorRateGain * (1 - server.error_rate); }
    void remember_title(TitleId title) {
        if (played_titles_.size() >= kMaxPlayedTitles) played_titles_.clear();
        played_titles_.insert(title);
    }

    void handle_event(const AttemptEnded& event) {
        Server* server = find_server(event.server);
        const auto it = sessions_.find(event.id);
        const bool was_pending = it != sessions_.end() && it->second.state == Session::State::pending;
        if (server) {
            add_report(*server, event.report);
            if (was_pending) {
                if (event.outcome == Outcome::timed_out) record_failure(*server, false);
                if (event.outcome == Outcome::full) {
                    // "Full" is the newest report there is: of the link where it causes the answer.
                    server->full_until = now_ + kFullBackoff;
                    ResourceLoad& load = cfg_.full_utilization > 0 ? server->link : server->streams;
                    const double least = cfg_.full_utilization > 0 ? cfg_.full_utilization : 1;
                    if (load.utilization(now_) < least) load.add_report(now_, least, 0, 1);
                }
                if (event.outcome == Outcome::error) {
                    if (played_titles_.count(it->second.request.title)) record_error(*server);
                    else it->second.error_servers.push_back(event.server);
                }
            }
            if (event.outcome == Outcome::reset || event.outcome == Outcome::not_connected)
                record_failure(*server, true);
        }
        if (it == sessions_.end()) return;
        Session& session = it->second;
        if (server && server->sessions.erase(event.id) > 0) count_session(*server, session, -1);
        if (const auto seat = seats_taken_.find({session.request.title, session.request.cls});
            class_of(session).seats > 0 && seat != seats_taken_.end() && --seat->second == 0)
            seats_taken_.erase(seat);
        const bool is_over = event.session_ended || session.abandoned || !was_pending;
        if (event.outcome != Outcome::full && event.outcome != Outcome::not_connected &&
            event.outcome != Outcome::not_sent)
            session.may_have_run = true;
        if (is_over) queued_.erase(event.id), sessions_.erase(it);
        if (server) update_own_load(*server);
        if (is_over) return;
        session.state = Session::State::queued;
        if (session.may_have_run && class_of(session).idempotency == Idempotency::non_idempotent)
            return reject_or_fail(event.id);
        if (now_ >= startup_deadline(session) - kSetupTime / 2 || session.error_servers.size() >= kMaxErrors)
            return reject_or_fail(event.id);
        place(event.id);
    }

    void handle_event(const SessionAbandoned& event) {
        const auto it = sessions_.find(event.id);
        if (it == sessions_.end()) return;
        queued_.erase(event.id);
        // A withdrawn request adds nothing to the retry budget: otherwise one client that withdraws hundreds
        // at once would earn retries for everyone.
        const auto counted = std::lower_bound(requests_.begin(), requests_.end(), it->second.received_at);
        if (counted != requests_.end() && *counted == it->second.received_at) requests_.erase(counted);
        if (it->second.state == Session::State::queued) sessions_.erase(it);
        else it->second.abandoned = true;  // its attempt still occupies a stream and a seat
    }

    void handle_event(const TimerExpired&) {
        if (now_ >= next_timer_) next_timer_ = kFarFuture;
        const std::set<SessionId> queued = queued_;
        std::vector<std::pair<Time, SessionId>> arrival_order;  // in order of arrival
        for (const SessionId id : queued) arrival_order.emplace_back(sessions_.at(id).received_at, id);
        std::sort(arrival_order.begin(), arrival_order.end());
        for (const auto& [received_at, id] : arrival_order)
            if (queued_.count(id)) place(id);
        for (const ServerId id : servers_in_use_)
            if (Server& server = servers_.at(id);
                server.listed && (server.new_report || now_ >= server.last_rung_check + kRungCheckInterval))
                adjust_rungs(server);
        // Several steps of a session since the last check are sent as one change: each change costs.
        for (const SessionId id : changed_rungs_) {
            const auto it = sessions_.find(id);
            if (it == sessions_.end() || it->second.sent_rung == it->second.rung) continue;
            it->second.sent_rung = it->second.rung;
            emit(SetRung{id, it->second.rung});
        }
        changed_rungs_.clear();
        if (!servers_in_use_.empty()) set_timer(now_ + kRungCheckInterval);
        if (!cfg_.list_on_request) return;
        if (now_ - list_fetched_at_ > cfg_.max_list_poll_interval / 3)
            emit(FetchServerList{}), list_fetched_at_ = now_;
        set_timer(list_fetched_at_ + cfg_.max_list_poll_interval / 3);
    }

    // ---- Membership ----

    void handle_event(const ServerList& event) {
        if (event.kind == ListKind::failed) return;
        if (event.kind != ListKind::changes)
            for (auto& [id, server] : servers_) server.listed = false;
        for (const ServerEntry& entry : event.entries) {
            const auto it = servers_.try_emplace(entry.id).first;
            Server& server = it->second;
            // A saved list may be outdated: any server on it may have started since, so all are paced as
            // cold. A recent full list ends this, because after a restart many viewers arrive at once.
            if (event.kind == ListKind::saved) mark_cold(server, now_), server.from_saved_list = true;
            if (event.kind == ListKind::full && server.from_saved_list &&
                now_ >= started_at_ + kStartListDelay) {
                server.from_saved_list = false;
                server.cold_since = entry.last_start > 0 ? entry.last_start : kFarPast;
            }
            if (entry.last_start > server.entry.last_start)
                mark_cold(server, std::max(server.cold_since, entry.last_start));
            server.entry = entry;
            server.listed = entry.state != ServerState::gone;
            server.link.capacity = (cfg_.use_weights ? entry.weight : 1) * cfg_.link_kb;
            server.streams.capacity =
                entry.kind < int(cfg_.max_streams_by_kind.size()) ? cfg_.max_streams_by_kind[entry.kind] : 0;
            uplinks_[rack_of(server)].capacity = cfg_.rack_kb;
        }
        // The fleet has changed: its total capacity and our own load are summed again.
        ready_servers_ = 0;
        fleet_streams_.capacity = fleet_streams_.own_load = fleet_links_.capacity = fleet_links_.own_load = 0;
        fleet_uplinks_.capacity = fleet_uplinks_.own_load = 0;
        const auto add_to_fleet = [](ResourceLoad& load, FleetLoad& fleet) {
            load.fleet = &fleet, fleet.capacity += load.capacity, fleet.own_load += load.own_load;
        };
        for (auto& [id, server] : servers_) {
            server.streams.fleet = server.link.fleet = nullptr;
            ready_servers_ += server.listed && server.entry.state == ServerState::ready;
            if (server.listed)
                add_to_fleet(server.streams, fleet_streams_), add_to_fleet(server.link, fleet_links_);
        }
        for (auto& [rack, uplink] : uplinks_) add_to_fleet(uplink, fleet_uplinks_);
    }

    Settings cfg_;
    std::mt19937_64 random_;
    Time now_ = 0, started_at_ = kFarPast, stalled_at_ = kFarPast, list_fetched_at_ = kFarPast,
         next_timer_ = kFarFuture;
    std::vector<Action>* actions_ = nullptr;
    std::map<ServerId, Server> servers_;
    std::map<int, ResourceLoad> uplinks_;
    FleetLoad fleet_streams_, fleet_links_, fleet_uplinks_;
    std::map<SessionId, Session> sessions_;
    std::set<SessionId> queued_, changed_rungs_;
    std::set<ServerId> servers_in_use_;  // servers with own sessions
    std::map<std::pair<TitleId, int>, int> seats_taken_;
    std::set<TitleId> played_titles_;
    std::map<int, std::deque<Time>> tenant_requests_;  // requests within the share, by tenant
    std::deque<std::pair<Time, std::uint64_t>> recent_viewers_;
    std::map<std::uint64_t, bool> over_share_;
    std::deque<Time> requests_, retries_;  // for the retry budget
    double hint_sum_ = 0, hint_count_ = 0, arrival_count_ = 0;
    Time last_arrival_ = 0;
    std::size_t ready_servers_ = 0;  // number of servers listed as ready
    bool has_adopted_ = false;
};

Director::Director(const Settings& settings, std::uint64_t seed) : rules_(new Rules(settings, seed)) {}
Director::~Director() = default;
Director::Director(Director&&) noexcept = default;
Director& Director::operator=(Director&&) noexcept = default;
void Director::handle(Time now, const Event& event, std::vector<Action>& actions) {
    rules_->handle(now, event, actions);
}

}  // namespace ivyfield
