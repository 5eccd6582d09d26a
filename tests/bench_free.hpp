// A small harness for tests: settings of an invented site, and a watcher that follows one director's events
// and actions and fails the test when one of the six rules breaks. It models no servers.
#pragma once

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "ivyfield/director.hpp"

namespace ivyfield::testing {

inline Settings small_site() {
    Settings s;
    s.directors = 2;
    s.can_cancel = s.use_weights = true;
    s.max_attempts = 4;
    s.max_retry_after = 2000;
    s.answer_slack = 40;
    s.drain_stop_within = 500;
    s.initial_warmth = 0.5;
    s.warmup_time = 10000;
    s.overload_multiple = 3;
    s.overload_window = 1000;
    s.cells = 6;
    s.racks = 2;
    s.max_streams_by_kind = {20};
    s.rack_kb = 24000;
    s.link_kb = 10000;
    s.fleet_kb = 60000;
    s.rung_kb = {100, 250, 500, 1000, 1600};
    s.rung_worth = {0.2, 0.45, 0.65, 0.85, 1.0};
    s.note_delay = 700;
    ClassSettings paid;
    paid.name = "paid";
    paid.worth = 2;
    paid.startup_target = 1000;
    paid.patience = 4000;
    paid.idempotency = Idempotency::non_idempotent;
    paid.min_rung = 1;
    paid.max_rung = 4;
    paid.rate_factor = 1;
    ClassSettings free = paid;
    free.name = "free";
    free.worth = 1;
    free.idempotency = Idempotency::idempotent;
    free.min_rung = 0;
    s.classes = {paid, free};
    s.report_fields = {ReportField::streams, ReportField::link, ReportField::uplink};
    return s;
}

inline ServerEntry entry(ServerId id, int position, ServerState state = ServerState::ready,
                         Time started = 0) {
    ServerEntry e;
    e.id = id;
    e.position = position;
    e.weight = 1;
    e.state = state;
    e.last_start = started;
    return e;
}

// Drives one director and checks the rules at every step.
class Watch {
  public:
    explicit Watch(const Settings& settings, std::uint64_t seed = 7)
        : set(settings), director(settings, seed) {}

    Settings set;
    Director director;
    Time now = 1000;
    std::vector<Action> last;  // actions of the last event

    struct Seen {
        SessionRequest q;
        bool answered = false, out = false, playing = false, may_have_run = false;
        int sends = 0, attempt = -1, rung = 0;
        ServerId server = 0;
        Time expires = 0;
    };
    std::map<SessionId, Seen> sessions;
    std::map<ServerId, Time> stopped;  // when told that it drains or is gone
    std::map<ServerId, Time> cold;     // starts that the director was told of
    std::map<ServerId, std::deque<Time>> cold_sends;
    std::deque<Time> taken, repeats;
    std::set<Time> alarms;

    void list(ListKind kind, std::vector<ServerEntry> entries) {
        for (const ServerEntry& e : entries) {
            if (e.state == ServerState::ready) stopped.erase(e.id);
            else stopped.try_emplace(e.id, now);
            if (e.last_start > 0) cold[e.id] = e.last_start;
        }
        feed(ServerList{kind, entries});
    }
    SessionId ask(int cls, TitleId title = 1, int tenant = 0, std::uint64_t viewer = 0, bool held = true) {
        SessionRequest q;
        q.id = ++next_id_;
        q.cls = cls;
        q.tenant = tenant;
        q.title = title;
        q.deadline = now + set.classes[cls].patience;
        q.cell_count = held ? set.cells : 0;
        q.viewer = viewer;
        q.top_rung = int(set.rung_kb.size()) - 1;
        sessions[q.id].q = q;
        taken.push_back(now);
        feed(q);
        return q.id;
    }
    void adopt(SessionId id, int cls, ServerId server, TitleId title, int rung) {
        SessionAdopted a;
        a.request.id = id;
        a.request.cls = cls;
        a.request.title = title;
        a.request.top_rung = int(set.rung_kb.size()) - 1;
        a.server = server;
        Seen& s = sessions[id];
        s.q = a.request;
        s.playing = s.answered = true;
        s.server = server;
        s.rung = rung;
        s.sends = 1;
        s.attempt = 0;
        feed(a);
        feed(SessionNote{id, 0, server, NoteKind::rung, double(rung)});
    }
    void start(SessionId id) {
        Seen& s = sessions.at(id);
        s.playing = s.answered = true;
        s.out = false;
        feed(SessionEstablished{id, s.attempt, s.server, 80});
    }
    void over(SessionId id, Outcome outcome, bool session_over, LoadReport report = {}) {
        Seen& s = sessions.at(id);
        s.out = s.playing = false;
        if (session_over) s.answered = true;
        if (outcome != Outcome::full && outcome != Outcome::not_connected && outcome != Outcome::not_sent)
            s.may_have_run = true;
        AttemptEnded e{id, s.attempt, s.server, outcome, 80, session_over, report};
        feed(e);
    }
    // Lets time pass, firing alarms and expiring attempts as the world would.
    void pass(Time ms) {
        const Time end = now + ms;
        while (true) {
            Time at = end;
            if (!alarms.empty()) at = std::min(at, *alarms.begin());
            SessionId due = 0;
            for (auto& [id, s] : sessions)
                if (s.out && s.expires < at) at = s.expires, due = id;
            now = std::max(now, at);
            if (due != 0) {
                over(due, Outcome::timed_out, false);
            } else if (!alarms.empty() && *alarms.begin() <= now && at < end) {
                alarms.erase(alarms.begin());
                feed(TimerExpired{0});
            } else {
                break;
            }
        }
    }
    void feed(const Event& event) {
        last.clear();
        director.handle(now, event, last);
        for (const Action& a : last) std::visit([this](const auto& x) { check(x); }, a);
        for (const auto& [id, s] : sessions)
            EXPECT_TRUE(s.answered || now <= s.q.deadline + set.answer_slack)
                << "session " << id << " is lost";
    }
    bool sent(SessionId id) const { return sessions.at(id).out; }
    template <typename A>
    int count() const {
        int n = 0;
        for (const Action& a : last) n += std::holds_alternative<A>(a);
        return n;
    }

  private:
    SessionId next_id_ = 0;

    void check(const SendSetup& a) {
        Seen& s = sessions.at(a.id);
        EXPECT_FALSE(s.answered) << "sent after its answer";
        EXPECT_FALSE(s.out) << "two attempts out";
        if (set.classes[s.q.cls].idempotency == Idempotency::non_idempotent) {
            EXPECT_FALSE(s.may_have_run) << "paid set-up repeated";
        }
        if (stopped.count(a.server)) {
            EXPECT_LE(now, stopped[a.server] + set.drain_stop_within) << "drain not kept";
        }
        if (s.sends++ > 0) {
            repeats.push_back(now);
            if (set.retry_budget) {
                int more = 0, base = 0;
                for (const Time t : repeats) more += t >= now - set.retry_budget->window;
                for (const Time t : taken) base += t > now - set.retry_budget->window;
                EXPECT_LE(more, set.retry_budget->free_retries + set.retry_budget->retries_per_request * base)
                    << "over budget";
            }
        }
        if (cold.count(a.server) && now < cold[a.server] + set.warmup_time && set.overload_multiple > 0) {
            auto& times = cold_sends[a.server];
            times.push_back(now);
            int in_window = 0;
            for (const Time t : times) in_window += t > now - set.overload_window;
            const double part = set.max_streams_by_kind[0] / set.warmup_time * set.initial_warmth *
                                set.overload_multiple * set.overload_window / set.directors;
            EXPECT_LE(in_window, std::max(1.0, std::ceil(part))) << "cold server pushed";
        }
        s.attempt += 1;
        s.out = true;
        s.server = a.server;
        s.expires = a.expires > 0 ? std::min(a.expires, s.q.deadline) : s.q.deadline;
        EXPECT_LE(s.sends, set.max_attempts);
        const ClassSettings& c = set.classes[s.q.cls];
        EXPECT_GE(s.rung, c.min_rung) << "below the floor";
        if (c.seats > 0) {
            int held = 0;
            for (const auto& [id, o] : sessions)
                held += (o.out || o.playing) && o.q.title == s.q.title && o.q.cls == s.q.cls;
            EXPECT_LE(held, c.seats) << "over its seats";
        }
    }
    void check(const Reject& a) {
        Seen& s = sessions.at(a.id);
        EXPECT_FALSE(s.answered) << "answered twice";
        if (set.classes[s.q.cls].idempotency == Idempotency::non_idempotent) {
            EXPECT_FALSE(s.may_have_run || s.out);
        }
        EXPECT_LE(a.retry_after, set.max_retry_after);
        s.answered = true;
    }
    void check(const Fail& a) {
        EXPECT_FALSE(sessions.at(a.id).answered) << "answered twice";
        sessions.at(a.id).answered = true;
    }
    void check(const SetRung& a) {
        Seen& s = sessions.at(a.id);
        EXPECT_GE(a.rung, set.classes[s.q.cls].min_rung) << "below the floor";
        EXPECT_LE(a.rung, std::max(set.classes[s.q.cls].min_rung, s.q.top_rung)) << "above the viewer's best";
        s.rung = a.rung;
    }
    void check(const SetTimer& a) { alarms.insert(a.at); }
    void check(const Cancel& a) { EXPECT_TRUE(sessions.at(a.id).sends > 0); }
    template <typename A>
    void check(const A&) {}
};

}  // namespace ivyfield::testing
