// Test harness for one director: settings of a small invented site, and a class that passes events to the
// director, tracks its actions and fails the test when one of the six rules is broken. No servers are
// modelled.
#pragma once

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "ivyfield/director.hpp"

namespace ivyfield::testing {

inline Settings small_site_settings() {
    Settings settings;
    settings.directors = 2;
    settings.can_cancel = settings.use_weights = true;
    settings.max_attempts = 4;
    settings.max_retry_after = 2000;
    settings.answer_slack = 40;
    settings.drain_stop_within = 500;
    settings.initial_warmth = 0.5;
    settings.warmup_time = 10000;
    settings.overload_multiple = 3;
    settings.overload_window = 1000;
    settings.cells = 6;
    settings.racks = 2;
    settings.max_streams_by_kind = {20};
    settings.rack_kb = 24000;
    settings.link_kb = 10000;
    settings.fleet_kb = 60000;
    settings.rung_kb = {100, 250, 500, 1000, 1600};
    settings.rung_worth = {0.2, 0.45, 0.65, 0.85, 1.0};
    settings.note_delay = 700;
    ClassSettings non_idempotent;
    non_idempotent.name = "paid";
    non_idempotent.worth = 2;
    non_idempotent.startup_target = 1000;
    non_idempotent.patience = 4000;
    non_idempotent.idempotency = Idempotency::non_idempotent;
    non_idempotent.min_rung = 1;
    non_idempotent.max_rung = 4;
    non_idempotent.rate_factor = 1;
    ClassSettings idempotent = non_idempotent;
    idempotent.name = "free";
    idempotent.worth = 1;
    idempotent.idempotency = Idempotency::idempotent;
    idempotent.min_rung = 0;
    settings.classes = {non_idempotent, idempotent};
    settings.report_fields = {ReportField::streams, ReportField::link, ReportField::uplink};
    return settings;
}

inline ServerEntry make_entry(ServerId id, int position, ServerState state = ServerState::ready,
                              Time last_start = 0) {
    ServerEntry entry;
    entry.id = id;
    entry.position = position;
    entry.weight = 1;
    entry.state = state;
    entry.last_start = last_start;
    return entry;
}

// Drives one director and checks the rules at each action.
class DirectorHarness {
  public:
    explicit DirectorHarness(const Settings& settings, std::uint64_t seed = 7)
        : settings(settings), director(settings, seed) {}

    Settings settings;
    Director director;
    Time now = 1000;
    std::vector<Action> last_actions;  // of the last event

    struct TrackedSession {
        SessionRequest request;
        bool answered = false, is_pending = false, is_established = false, may_have_run = false;
        int setups = 0, attempt = -1, rung = 0;
        ServerId server = 0;
        Time expires = 0;
    };
    std::map<SessionId, TrackedSession> sessions;
    std::map<ServerId, Time> stopped_since;  // when the director was told that it drains or is gone
    std::map<ServerId, Time> cold_since;     // starts of which the director was told
    std::map<ServerId, std::deque<Time>> cold_setups;
    std::deque<Time> request_times, retry_times;
    std::set<Time> timers;

    void send_list(ListKind kind, std::vector<ServerEntry> entries) {
        for (const ServerEntry& e : entries) {
            if (e.state == ServerState::ready) stopped_since.erase(e.id);
            else stopped_since.try_emplace(e.id, now);
            if (e.last_start > 0) cold_since[e.id] = e.last_start;
        }
        handle(ServerList{kind, entries});
    }
    SessionId request_session(int cls, TitleId title = 1, int tenant = 0, std::uint64_t viewer = 0,
                              bool title_held = true) {
        SessionRequest request;
        request.id = ++last_id_;
        request.cls = cls;
        request.tenant = tenant;
        request.title = title;
        request.deadline = now + settings.classes[cls].patience;
        request.cell_count = title_held ? settings.cells : 0;
        request.viewer = viewer;
        request.top_rung = int(settings.rung_kb.size()) - 1;
        sessions[request.id].request = request;
        request_times.push_back(now);
        handle(request);
        return request.id;
    }
    void adopt(SessionId id, int cls, ServerId server, TitleId title, int rung) {
        SessionAdopted adopted;
        adopted.request.id = id;
        adopted.request.cls = cls;
        adopted.request.title = title;
        adopted.request.top_rung = int(settings.rung_kb.size()) - 1;
        adopted.server = server;
        TrackedSession& session = sessions[id];
        session.request = adopted.request;
        session.is_established = session.answered = true;
        session.server = server;
        session.rung = rung;
        session.setups = 1;
        session.attempt = 0;
        handle(adopted);
        handle(SessionNote{id, 0, server, NoteKind::rung, double(rung)});
    }
    void establish(SessionId id) {
        TrackedSession& session = sessions.at(id);
        session.is_established = session.answered = true;
        session.is_pending = false;
        handle(SessionEstablished{id, session.attempt, session.server, 80});
    }
    void end_attempt(SessionId id, Outcome outcome, bool session_ended, LoadReport report = {}) {
        TrackedSession& session = sessions.at(id);
        session.is_pending = session.is_established = false;
        if (session_ended) session.answered = true;
        if (outcome != Outcome::full && outcome != Outcome::not_connected && outcome != Outcome::not_sent)
            session.may_have_run = true;
        AttemptEnded event{id, session.attempt, session.server, outcome, 80, session_ended, report};
        handle(event);
    }
    // Lets time pass: timers fire and attempts expire when they are due.
    void advance(Time ms) {
        const Time end = now + ms;
        while (true) {
            Time next = end;
            if (!timers.empty()) next = std::min(next, *timers.begin());
            SessionId expired = 0;
            for (auto& [id, session] : sessions)
                if (session.is_pending && session.expires < next) next = session.expires, expired = id;
            now = std::max(now, next);
            if (expired != 0) {
                end_attempt(expired, Outcome::timed_out, false);
            } else if (!timers.empty() && *timers.begin() <= now && next < end) {
                timers.erase(timers.begin());
                handle(TimerExpired{0});
            } else {
                break;
            }
        }
    }
    void handle(const Event& event) {
        last_actions.clear();
        director.handle(now, event, last_actions);
        for (const Action& action : last_actions)
            std::visit([this](const auto& alternative) { check(alternative); }, action);
        for (const auto& [id, session] : sessions)
            EXPECT_TRUE(session.answered || now <= session.request.deadline + settings.answer_slack)
                << "session " << id << " has no answer";
    }
    bool is_pending(SessionId id) const { return sessions.at(id).is_pending; }
    template <typename A>
    int count_actions() const {
        int n = 0;
        for (const Action& a : last_actions) n += std::holds_alternative<A>(a);
        return n;
    }

  private:
    SessionId last_id_ = 0;

    void check(const SendSetup& action) {
        TrackedSession& session = sessions.at(action.id);
        EXPECT_FALSE(session.answered) << "set-up sent after the answer";
        EXPECT_FALSE(session.is_pending) << "second attempt while one is pending";
        if (settings.classes[session.request.cls].idempotency == Idempotency::non_idempotent) {
            EXPECT_FALSE(session.may_have_run) << "paid set-up repeated";
        }
        if (stopped_since.count(action.server)) {
            EXPECT_LE(now, stopped_since[action.server] + settings.drain_stop_within)
                << "set-up sent to a draining server";
        }
        if (session.setups++ > 0) {
            retry_times.push_back(now);
            if (settings.retry_budget) {
                int retries = 0, requests = 0;
                for (const Time t : retry_times) retries += t >= now - settings.retry_budget->window;
                for (const Time t : request_times) requests += t > now - settings.retry_budget->window;
                EXPECT_LE(retries, settings.retry_budget->free_retries +
                                       settings.retry_budget->retries_per_request * requests)
                    << "retry budget exceeded";
            }
        }
        if (cold_since.count(action.server) && now < cold_since[action.server] + settings.warmup_time &&
            settings.overload_multiple > 0) {
            auto& setup_times = cold_setups[action.server];
            setup_times.push_back(now);
            int in_window = 0;
            for (const Time t : setup_times) in_window += t > now - settings.overload_window;
            const double max_setups = settings.max_streams_by_kind[0] / settings.warmup_time *
                                      settings.initial_warmth * settings.overload_multiple *
                                      settings.overload_window / settings.directors;
            EXPECT_LE(in_window, std::max(1.0, std::ceil(max_setups))) << "too many set-ups at a cold server";
        }
        session.attempt += 1;
        session.is_pending = true;
        session.server = action.server;
        session.expires = action.expires > 0 ? std::min(action.expires, session.request.deadline)
                                             : session.request.deadline;
        EXPECT_LE(session.setups, settings.max_attempts);
        const ClassSettings& cls = settings.classes[session.request.cls];
        EXPECT_GE(session.rung, cls.min_rung) << "rung below the class's lowest";
        if (cls.seats > 0) {
            int seats_taken = 0;
            for (const auto& [id, other] : sessions)
                seats_taken += (other.is_pending || other.is_established) &&
                               other.request.title == session.request.title &&
                               other.request.cls == session.request.cls;
            EXPECT_LE(seats_taken, cls.seats) << "seats exceeded";
        }
    }
    void check(const Reject& action) {
        TrackedSession& session = sessions.at(action.id);
        EXPECT_FALSE(session.answered) << "answered twice";
        if (settings.classes[session.request.cls].idempotency == Idempotency::non_idempotent) {
            EXPECT_FALSE(session.may_have_run || session.is_pending);
        }
        EXPECT_LE(action.retry_after, settings.max_retry_after);
        session.answered = true;
    }
    void check(const Fail& action) {
        EXPECT_FALSE(sessions.at(action.id).answered) << "answered twice";
        sessions.at(action.id).answered = true;
    }
    void check(const SetRung& action) {
        TrackedSession& session = sessions.at(action.id);
        EXPECT_GE(action.rung, settings.classes[session.request.cls].min_rung)
            << "rung below the class's lowest";
        EXPECT_LE(action.rung,
                  std::max(settings.classes[session.request.cls].min_rung, session.request.top_rung))
            << "rung above the viewer's highest";
        session.rung = action.rung;
    }
    void check(const SetTimer& a) { timers.insert(a.at); }
    void check(const Cancel& a) { EXPECT_TRUE(sessions.at(a.id).setups > 0); }
    template <typename A>
    void check(const A&) {}
};

}  // namespace ivyfield::testing
