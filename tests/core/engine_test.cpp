// The engine against nodes that do what a test says, on simulated time: one answer each, no set-up twice.
#include "core/engine.hpp"

#include <gtest/gtest.h>

#include "core/outcomes.hpp"
#include "io/virtual/world.hpp"

using namespace ivyfield;
using namespace ivyfield::core;

namespace {

struct FakeNodes : NodePort {
    std::vector<SetupRequest> set_ups;
    std::vector<std::pair<SessionId, int>> rungs, moves, cancels;
    std::vector<ServerId> probes;
    void set_up(const SetupRequest& what) override { set_ups.push_back(what); }
    void set_rung(ServerId, SessionId s, int, int rung) override { rungs.emplace_back(s, rung); }
    void move(ServerId, SessionId s, int attempt) override { moves.emplace_back(s, attempt); }
    std::function<void(SessionId, int)> at_cancel;
    void cancel(ServerId, SessionId s, int attempt) override {
        cancels.emplace_back(s, attempt);
        if (at_cancel) at_cancel(s, attempt);
    }
    void probe(ServerId server) override { probes.push_back(server); }
};
struct FakeAnswerHandler : AnswerHandler {
    std::vector<Answer> heard;
    Placement where;
    Time retry_after = -1;
    void on_established(const Placement& w) override { heard.push_back(Answer::established), where = w; }
    void on_rejected(Time after) override { heard.push_back(Answer::rejected), retry_after = after; }
    void on_failed() override { heard.push_back(Answer::failed); }
};

Settings small() {
    Settings s;
    s.max_attempts = 4;
    s.max_retry_after = 2000;
    s.connect_timeout = 250;
    s.answer_slack = 40;
    s.stop_within = 500;
    s.kind_streams = {25};
    s.weight_kb = 5000;
    s.rung_kb = {100, 200, 400};
    s.rung_worth = {0.3, 0.7, 1};
    s.budget = BudgetSettings{0.3, 5, 10000};
    ClassSettings paid;
    paid.name = "paid", paid.worth = 3, paid.aim = 1500, paid.patience = 5000;
    paid.repeat = Repeat::paid, paid.top = 2, paid.rate_part = 1;
    ClassSettings free = paid;
    free.name = "free", free.repeat = Repeat::harmless, free.worth = 1, free.aim = 800;
    s.classes = {paid, free};
    s.tenants = {{"t", 0, 1}};
    return s;
}

struct EngineTest : testing::Test {
    io::World world{1};
    io::VirtualLoop& loop = world.start("director");
    FakeNodes nodes;
    Settings settings = small();
    std::unique_ptr<Engine> engine;
    std::vector<SessionRecord> ended;
    void SetUp() override {
        engine = std::make_unique<Engine>(loop, settings, 7, nodes, nullptr);
        engine->on_session_record = [this](const SessionRecord& r) { ended.push_back(r); };
        ServerList list;
        for (ServerId id : {1, 2, 3}) {
            ServerEntry e;
            e.id = id, e.weight = 1;
            list.entries.push_back(e);
        }
        engine->update_server_list(list);
    }
    ViewerRequest ask(const std::string& sid, int cls) {
        ViewerRequest a;
        a.sid = sid, a.cls = cls, a.title_name = "title", a.title = 9, a.top_rung = 2;
        return a;
    }
};

TEST_F(EngineTest, PlaysAndEnds) {
    FakeAnswerHandler w;
    const SessionId id = engine->open_session(ask("a", 0), &w);
    ASSERT_EQ(nodes.set_ups.size(), 1u);
    EXPECT_TRUE(nodes.set_ups[0].paid);
    engine->on_attempt_started(id, 0, {"http://n/m/", {}});
    ASSERT_EQ(w.heard, std::vector<Answer>{Answer::established});
    EXPECT_EQ(w.where.media.url, "http://n/m/");
    EXPECT_EQ(engine->established_sessions(), 1u);
    world.run_until(20000);
    engine->on_attempt_ended(id, 0, Outcome::ended, {});
    ASSERT_EQ(ended.size(), 1u);
    EXPECT_EQ(ended[0].ended_by, "node");
    EXPECT_EQ(engine->open_sessions(), 0u);
    EXPECT_EQ(w.heard.size(), 1u);
}
TEST_F(EngineTest, TheSameSidTwiceIsOneSetUpAndTwoAnswers) {
    FakeAnswerHandler first, second, third;
    const SessionId id = engine->open_session(ask("a", 0), &first);
    EXPECT_EQ(engine->open_session(ask("a", 0), &second), id);
    EXPECT_EQ(nodes.set_ups.size(), 1u);
    engine->on_attempt_started(id, 0, {"http://n/m/", {}});
    EXPECT_EQ(first.heard.size(), 1u);
    EXPECT_EQ(second.heard.size(), 1u);
    engine->open_session(ask("a", 0), &third);
    EXPECT_EQ(third.heard, std::vector<Answer>{Answer::established});
    EXPECT_EQ(third.where.media.url, "http://n/m/");
    EXPECT_EQ(nodes.set_ups.size(), 1u);
    EXPECT_EQ(engine->counts().accepted, 1u);
}
TEST_F(EngineTest, AnotherSidOrTitleIsAnotherSession) {
    FakeAnswerHandler a, b, c;
    ViewerRequest other = ask("a", 0);
    other.title_name = "else";
    engine->open_session(ask("a", 0), &a);
    engine->open_session(ask("b", 0), &b);
    engine->open_session(other, &c);
    EXPECT_EQ(nodes.set_ups.size(), 3u);
}
TEST_F(EngineTest, EveryOutcomeOfAPaidSetUpKeepsTheRule) {
    for (const Outcome outcome : {Outcome::error, Outcome::full, Outcome::not_connected, Outcome::reset,
                                  Outcome::cancelled, Outcome::not_sent}) {
        SCOPED_TRACE(name(outcome));
        FakeAnswerHandler w;
        nodes.set_ups.clear();
        const SessionId id = engine->open_session(ask(name(outcome), 0), &w);
        ASSERT_EQ(nodes.set_ups.size(), 1u);
        engine->on_attempt_ended(id, 0, outcome, {});
        if (proves_never_ran(outcome)) {
            EXPECT_TRUE(nodes.set_ups.size() == 2 || w.heard == std::vector<Answer>{Answer::rejected});
        } else {
            EXPECT_EQ(nodes.set_ups.size(), 1u) << "sent again, though it may have run";
            EXPECT_EQ(w.heard, std::vector<Answer>{Answer::failed});
        }
        world.run_until(world.now() + 20000);
        EXPECT_EQ(w.heard.size(), 1u);
    }
}
TEST_F(EngineTest, ASilentNodeEndsInOneFailureInTime) {
    FakeAnswerHandler w;
    engine->open_session(ask("a", 0), &w);
    world.run_until(5040);
    EXPECT_EQ(w.heard, std::vector<Answer>{Answer::failed});
    EXPECT_EQ(nodes.set_ups.size(), 1u);
    EXPECT_EQ(nodes.cancels.size(), 1u);
    EXPECT_EQ(engine->open_sessions(), 0u);
    EXPECT_EQ(engine->counts().missed_deadlines, 0u);
}
TEST_F(EngineTest, AnAnswerAfterItsTimeIsNoAnswer) {
    FakeAnswerHandler w;
    const SessionId id = engine->open_session(ask("a", 1), &w);
    world.run_until(3000);  // the first attempt has timed out
    const std::size_t sent = nodes.set_ups.size();
    EXPECT_GE(sent, 2u);
    engine->on_attempt_started(id, 0, {"http://late/", {}});
    engine->on_attempt_ended(id, 0, Outcome::error, {});
    EXPECT_TRUE(w.heard.empty() || w.heard.front() != Answer::established);
    world.run_until(10000);
    EXPECT_EQ(w.heard.size(), 1u);
}
TEST_F(EngineTest, NeverTwoAttemptsOutAtOnce) {
    FakeAnswerHandler w;
    engine->open_session(ask("a", 1), &w);
    world.run_until(10000);
    for (std::size_t k = 1; k < nodes.set_ups.size(); ++k)
        EXPECT_GE(nodes.cancels.size(), k) << "attempt " << k << " went out before the last was over";
    EXPECT_LE(nodes.set_ups.size(), 4u);
    EXPECT_EQ(w.heard.size(), 1u);
}
TEST_F(EngineTest, AViewerWhoLeavesIsOwedNothing) {
    FakeAnswerHandler w;
    const SessionId id = engine->open_session(ask("a", 0), &w);
    engine->withdraw_request(id, &w);
    EXPECT_EQ(engine->counts().abandoned, 1u);
    EXPECT_EQ(engine->open_sessions(), 1u) << "its attempt is still out";
    engine->on_attempt_started(id, 0, {"http://n/m/", {}});
    EXPECT_TRUE(w.heard.empty());
    engine->on_attempt_ended(id, 0, Outcome::ended, {});
    EXPECT_EQ(engine->open_sessions(), 0u);
    engine->withdraw_request(id, &w);  // once more: no harm
}
TEST_F(EngineTest, OneOfTwoWhoLeavesDoesNotAbandonTheOther) {
    FakeAnswerHandler first, second;
    const SessionId id = engine->open_session(ask("a", 0), &first);
    engine->open_session(ask("a", 0), &second);
    engine->withdraw_request(id, &first);
    engine->on_attempt_started(id, 0, {"http://n/m/", {}});
    EXPECT_TRUE(first.heard.empty());
    EXPECT_EQ(second.heard.size(), 1u);
}
// A seat is not given again while its attempt may play at a node that fell silent.
struct SeatTest : EngineTest {
    SeatTest() {
        settings.classes[0].seats = 1;
        settings.classes[1].seats = 1;
    }
};
TEST_F(SeatTest, ATimedOutSetUpHoldsItsSeatUntilItIsReleased) {
    FakeAnswerHandler first, second, third;
    const SessionId id = engine->open_session(ask("a", 0), &first);
    world.run_until(5030);
    ASSERT_EQ(first.heard, std::vector<Answer>{Answer::failed});
    EXPECT_EQ(engine->unreleased_attempts(), 1u);
    engine->open_session(ask("b", 0), &second);
    EXPECT_EQ(second.heard, std::vector<Answer>{Answer::rejected});
    engine->on_attempt_released(id, 0);
    engine->on_attempt_released(id, 0);  // told twice: no harm
    EXPECT_EQ(engine->unreleased_attempts(), 0u);
    engine->open_session(ask("c", 0), &third);
    EXPECT_EQ(nodes.set_ups.size(), 2u);
    EXPECT_TRUE(third.heard.empty());
}
TEST_F(SeatTest, TheSessionsOwnFurtherAttemptDoesNotTakeASecondSeat) {
    FakeAnswerHandler w;
    engine->open_session(ask("a", 1), &w);  // may be sent again; its first attempt gets no answer
    world.run_until(5030);
    EXPECT_EQ(nodes.set_ups.size(), 1u);
    EXPECT_EQ(w.heard, std::vector<Answer>{Answer::rejected});
}
TEST_F(SeatTest, APlayingSessionLostInSilenceHoldsItsSeat) {
    FakeAnswerHandler first, second, third;
    const SessionId id = engine->open_session(ask("a", 0), &first);
    engine->on_attempt_started(id, 0, {"http://n/m/", {}});
    engine->on_attempt_lost(id, 0, Outcome::reset);
    EXPECT_EQ(engine->open_sessions(), 0u);
    engine->open_session(ask("b", 0), &second);
    EXPECT_EQ(second.heard, std::vector<Answer>{Answer::rejected});
    engine->on_attempt_released(id, 0);
    engine->open_session(ask("c", 0), &third);
    EXPECT_TRUE(third.heard.empty());
}
TEST_F(SeatTest, ACancelledAttemptReleasedAtOnceLeavesNothing) {
    nodes.at_cancel = [this](SessionId s, int attempt) {
        loop.post([this, s, attempt] { engine->on_attempt_released(s, attempt); });
    };
    FakeAnswerHandler w;
    engine->open_session(ask("a", 0), &w);
    world.run_until(10000);
    EXPECT_EQ(engine->unreleased_attempts(), 0u);
    EXPECT_EQ(engine->open_sessions(), 0u);
}
TEST_F(EngineTest, AnEndedSidThatComesBackIsReturning) {
    FakeAnswerHandler w, again;
    const SessionId id = engine->open_session(ask("a", 0), &w);
    engine->on_attempt_started(id, 0, {"http://n/m/", {}});
    engine->on_attempt_ended(id, 0, Outcome::reset, {});
    const SessionId next = engine->open_session(ask("a", 0), &again);
    EXPECT_NE(next, id);
    engine->on_attempt_started(next, 0, {"http://n/m2/", {}});
    engine->on_attempt_ended(next, 0, Outcome::ended, {});
    ASSERT_EQ(ended.size(), 2u);
    EXPECT_FALSE(ended[0].returning);
    EXPECT_TRUE(ended[1].returning);
}
TEST_F(EngineTest, ABrokenInvariantFailsItsSessionAlone) {
    EngineLimits limits;
    limits.throw_on_violation = false;
    engine = std::make_unique<Engine>(loop, settings, 7, nodes, nullptr, limits);
    std::vector<std::string> told;
    std::vector<SessionId> gone;
    engine->on_invariant_violation = [&](const std::string& history) { told.push_back(history); };
    engine->on_session_terminated = [&](SessionId id, bool owed, bool) {
        if (owed) gone.push_back(id);
    };
    engine->on_session_record = [this](const SessionRecord& record) { ended.push_back(record); };
    ServerList list;
    ServerEntry entry;
    entry.id = 1, entry.weight = 1;
    list.entries.push_back(entry);
    engine->update_server_list(list);
    FakeAnswerHandler broken, other;
    const SessionId first = engine->open_session(ask("a", 0), &broken),
                    second = engine->open_session(ask("b", 0), &other);
    engine->on_attempt_started(first, 0, {"http://n/m/", {}});
    engine->on_attempt_started(first, 0, {"http://n/m/", {}});
    ASSERT_EQ(told.size(), 1u);
    EXPECT_NE(told[0].find("started, though no attempt is out"), std::string::npos);
    EXPECT_EQ(engine->counts().invariant_violations, 1u);
    EXPECT_EQ(broken.heard, std::vector<Answer>{Answer::established}) << "answered once";
    EXPECT_EQ(gone, std::vector<SessionId>{first}) << "its client is told that it is over";
    EXPECT_EQ(nodes.cancels, (std::vector<std::pair<SessionId, int>>{{first, 0}})) << "and so is its node";
    EXPECT_FALSE(engine->has_session(first));
    engine->on_attempt_started(second, 0, {"http://n/m/", {}});
    EXPECT_EQ(other.heard, std::vector<Answer>{Answer::established});
    EXPECT_EQ(engine->established_sessions(), 1u);
    EXPECT_EQ(ended.size(), 1u);
}

TEST_F(EngineTest, ManySessionsWithRandomEndingsAreEachAnsweredOnce) {
    std::mt19937_64 random(11);
    std::vector<std::unique_ptr<FakeAnswerHandler>> waiters;
    std::vector<io::Timer> timers;
    std::size_t seen = 0;
    nodes.at_cancel = [&](SessionId s, int attempt) {
        timers.push_back(loop.after(static_cast<double>(random() % 3000),
                                    [this, s, attempt] { engine->on_attempt_released(s, attempt); }));
    };
    for (int k = 0; k < 1500; ++k) {
        waiters.push_back(std::make_unique<FakeAnswerHandler>());
        engine->open_session(ask("s" + std::to_string(k), static_cast<int>(random() % 2)),
                             waiters.back().get());
        for (; seen < nodes.set_ups.size(); ++seen) {
            const auto s = nodes.set_ups[seen];
            const double after = static_cast<double>(random() % 600);
            const unsigned how = random() % 8;
            if (how == 7) continue;  // lost
            timers.push_back(loop.after(after, [this, s, how] {
                if (how < 4) engine->on_attempt_started(s.session, s.attempt, {"http://n/", {}});
                else engine->on_attempt_ended(s.session, s.attempt, static_cast<Outcome>(how - 3), {});
            }));
            timers.push_back(loop.after(after + 3000, [this, s] {
                engine->on_attempt_ended(s.session, s.attempt, Outcome::ended, {});
            }));
        }
        world.run_until(world.now() + 150);
    }
    world.run_until(world.now() + 60000);
    for (const auto& w : waiters) EXPECT_EQ(w->heard.size(), 1u);
    const EngineCounts& c = engine->counts();
    EXPECT_EQ(c.accepted, c.established + c.rejected + c.failed + c.abandoned);
    EXPECT_EQ(engine->open_sessions(), 0u);
    EXPECT_EQ(engine->established_sessions(), 0u);
    EXPECT_EQ(engine->unreleased_attempts(), 0u);
    EXPECT_EQ(c.missed_deadlines, 0u);
    EXPECT_GT(c.retries, 20u);
}

}  // namespace
