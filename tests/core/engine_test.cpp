// Tests of the session engine against scripted nodes in simulated time: each request gets one answer and no
// set-up is sent twice without proof.
#include "core/engine.hpp"

#include <gtest/gtest.h>

#include "core/outcomes.hpp"
#include "io/virtual/world.hpp"

using namespace ivyfield;
using namespace ivyfield::core;

namespace {

struct FakeNodes : NodePort {
    std::vector<SetupRequest> setups;
    std::vector<std::pair<SessionId, int>> rungs, moves, cancels;
    std::vector<ServerId> probes;
    void set_up(const SetupRequest& setup) override { setups.push_back(setup); }
    void set_rung(ServerId, SessionId session, int, int rung) override { rungs.emplace_back(session, rung); }
    void move(ServerId, SessionId session, int attempt) override { moves.emplace_back(session, attempt); }
    std::function<void(SessionId, int)> on_cancel;
    void cancel(ServerId, SessionId session, int attempt) override {
        cancels.emplace_back(session, attempt);
        if (on_cancel) on_cancel(session, attempt);
    }
    void probe(ServerId server) override { probes.push_back(server); }
};
struct FakeAnswerHandler : AnswerHandler {
    std::vector<Answer> answers;
    Placement placement;
    Time retry_after = -1;
    void on_established(const Placement& established_at) override {
        answers.push_back(Answer::established), placement = established_at;
    }
    void on_rejected(Time after) override { answers.push_back(Answer::rejected), retry_after = after; }
    void on_failed() override { answers.push_back(Answer::failed); }
};

// A non-idempotent class (0) and an idempotent one (1) on a fleet of one kind of server.
Settings make_settings() {
    Settings settings;
    settings.max_attempts = 4;
    settings.max_retry_after = 2000;
    settings.connect_timeout = 250;
    settings.answer_slack = 40;
    settings.drain_stop_within = 500;
    settings.max_streams_by_kind = {25};
    settings.link_kb = 5000;
    settings.rung_kb = {100, 200, 400};
    settings.rung_worth = {0.3, 0.7, 1};
    settings.retry_budget = RetryBudgetSettings{0.3, 5, 10000};
    ClassSettings non_idempotent;
    non_idempotent.name = "paid", non_idempotent.worth = 3, non_idempotent.startup_target = 1500,
    non_idempotent.patience = 5000;
    non_idempotent.idempotency = Idempotency::non_idempotent, non_idempotent.max_rung = 2,
    non_idempotent.rate_factor = 1;
    ClassSettings idempotent = non_idempotent;
    idempotent.name = "free", idempotent.idempotency = Idempotency::idempotent, idempotent.worth = 1,
    idempotent.startup_target = 800;
    settings.classes = {non_idempotent, idempotent};
    settings.tenants = {{"t", 0, 1}};
    return settings;
}

struct EngineTest : testing::Test {
    io::World world{1};
    io::VirtualLoop& loop = world.start("director");
    FakeNodes nodes;
    Settings settings = make_settings();
    std::unique_ptr<Engine> engine;
    std::vector<SessionRecord> records;
    void SetUp() override {
        engine = std::make_unique<Engine>(loop, settings, 7, nodes, nullptr);
        engine->on_session_record = [this](const SessionRecord& record) { records.push_back(record); };
        ServerList list;
        for (ServerId id : {1, 2, 3}) {
            ServerEntry entry;
            entry.id = id, entry.weight = 1;
            list.entries.push_back(entry);
        }
        engine->update_server_list(list);
    }
    ViewerRequest make_request(const std::string& sid, int cls) {
        ViewerRequest request;
        request.sid = sid, request.cls = cls, request.title_name = "title", request.title = 9,
        request.top_rung = 2;
        return request;
    }
};

TEST_F(EngineTest, ASessionIsEstablishedAndEnds) {
    FakeAnswerHandler handler;
    const SessionId id = engine->open_session(make_request("a", 0), &handler);
    ASSERT_EQ(nodes.setups.size(), 1u);
    EXPECT_TRUE(nodes.setups[0].non_idempotent);
    engine->on_attempt_started(id, 0, {"http://n/m/", {}});
    ASSERT_EQ(handler.answers, std::vector<Answer>{Answer::established});
    EXPECT_EQ(handler.placement.media.url, "http://n/m/");
    EXPECT_EQ(engine->established_sessions(), 1u);
    world.run_until(20000);
    engine->on_attempt_ended(id, 0, Outcome::ended, {});
    ASSERT_EQ(records.size(), 1u);
    EXPECT_EQ(records[0].ended_by, "node");
    EXPECT_EQ(engine->open_sessions(), 0u);
    EXPECT_EQ(handler.answers.size(), 1u);
}

TEST_F(EngineTest, ARepeatedSidJoinsItsSession) {
    FakeAnswerHandler first, second, third;
    const SessionId id = engine->open_session(make_request("a", 0), &first);
    EXPECT_EQ(engine->open_session(make_request("a", 0), &second), id);
    EXPECT_EQ(nodes.setups.size(), 1u);
    engine->on_attempt_started(id, 0, {"http://n/m/", {}});
    EXPECT_EQ(first.answers.size(), 1u);
    EXPECT_EQ(second.answers.size(), 1u);
    engine->open_session(make_request("a", 0), &third);
    EXPECT_EQ(third.answers, std::vector<Answer>{Answer::established});
    EXPECT_EQ(third.placement.media.url, "http://n/m/");
    EXPECT_EQ(nodes.setups.size(), 1u);
    EXPECT_EQ(engine->counts().accepted, 1u);
}

TEST_F(EngineTest, AnotherSidOrTitleOpensAnotherSession) {
    FakeAnswerHandler first, second, third;
    ViewerRequest other = make_request("a", 0);
    other.title_name = "else";
    engine->open_session(make_request("a", 0), &first);
    engine->open_session(make_request("b", 0), &second);
    engine->open_session(other, &third);
    EXPECT_EQ(nodes.setups.size(), 3u);
}

TEST_F(EngineTest, ANonIdempotentSetupIsRepeatedOnlyWithProofThatItNeverRan) {
    for (const Outcome outcome : {Outcome::error, Outcome::full, Outcome::not_connected, Outcome::reset,
                                  Outcome::cancelled, Outcome::not_sent}) {
        SCOPED_TRACE(name(outcome));
        FakeAnswerHandler handler;
        nodes.setups.clear();
        const SessionId id = engine->open_session(make_request(name(outcome), 0), &handler);
        ASSERT_EQ(nodes.setups.size(), 1u);
        engine->on_attempt_ended(id, 0, outcome, {});
        if (proves_never_ran(outcome)) {
            EXPECT_TRUE(nodes.setups.size() == 2 || handler.answers == std::vector<Answer>{Answer::rejected});
        } else {
            EXPECT_EQ(nodes.setups.size(), 1u) << "sent again, though it may have run";
            EXPECT_EQ(handler.answers, std::vector<Answer>{Answer::failed});
        }
        world.run_until(world.now() + 20000);
        EXPECT_EQ(handler.answers.size(), 1u);
    }
}

TEST_F(EngineTest, ASilentNodeCausesOneFailureByTheDeadline) {
    FakeAnswerHandler handler;
    engine->open_session(make_request("a", 0), &handler);
    world.run_until(5040);
    EXPECT_EQ(handler.answers, std::vector<Answer>{Answer::failed});
    EXPECT_EQ(nodes.setups.size(), 1u);
    EXPECT_EQ(nodes.cancels.size(), 1u);
    EXPECT_EQ(engine->open_sessions(), 0u);
    EXPECT_EQ(engine->counts().missed_deadlines, 0u);
}

TEST_F(EngineTest, AnAnswerToATimedOutAttemptIsIgnored) {
    FakeAnswerHandler handler;
    const SessionId id = engine->open_session(make_request("a", 1), &handler);
    world.run_until(3000);  // the first attempt has timed out
    const std::size_t sent = nodes.setups.size();
    EXPECT_GE(sent, 2u);
    engine->on_attempt_started(id, 0, {"http://late/", {}});
    engine->on_attempt_ended(id, 0, Outcome::error, {});
    EXPECT_TRUE(handler.answers.empty() || handler.answers.front() != Answer::established);
    world.run_until(10000);
    EXPECT_EQ(handler.answers.size(), 1u);
}

TEST_F(EngineTest, NeverTwoAttemptsPendingAtOnce) {
    FakeAnswerHandler handler;
    engine->open_session(make_request("a", 1), &handler);
    world.run_until(10000);
    for (std::size_t k = 1; k < nodes.setups.size(); ++k)
        EXPECT_GE(nodes.cancels.size(), k) << "attempt " << k << " was sent before the last one ended";
    EXPECT_LE(nodes.setups.size(), 4u);
    EXPECT_EQ(handler.answers.size(), 1u);
}

TEST_F(EngineTest, AWithdrawnRequestGetsNoAnswer) {
    FakeAnswerHandler handler;
    const SessionId id = engine->open_session(make_request("a", 0), &handler);
    engine->withdraw_request(id, &handler);
    EXPECT_EQ(engine->counts().abandoned, 1u);
    EXPECT_EQ(engine->open_sessions(), 1u) << "its attempt is still pending";
    engine->on_attempt_started(id, 0, {"http://n/m/", {}});
    EXPECT_TRUE(handler.answers.empty());
    engine->on_attempt_ended(id, 0, Outcome::ended, {});
    EXPECT_EQ(engine->open_sessions(), 0u);
    engine->withdraw_request(id, &handler);  // a second withdrawal is ignored
}

TEST_F(EngineTest, WithdrawingOneOfTwoRequestsKeepsTheOther) {
    FakeAnswerHandler first, second;
    const SessionId id = engine->open_session(make_request("a", 0), &first);
    engine->open_session(make_request("a", 0), &second);
    engine->withdraw_request(id, &first);
    engine->on_attempt_started(id, 0, {"http://n/m/", {}});
    EXPECT_TRUE(first.answers.empty());
    EXPECT_EQ(second.answers.size(), 1u);
}

// A seat must not be assigned again while its attempt may still play at a node that stopped answering.
struct SeatTest : EngineTest {
    SeatTest() {
        settings.classes[0].seats = 1;
        settings.classes[1].seats = 1;
    }
};
TEST_F(SeatTest, ATimedOutSetupHoldsItsSeatUntilReleased) {
    FakeAnswerHandler first, second, third;
    const SessionId id = engine->open_session(make_request("a", 0), &first);
    world.run_until(5030);
    ASSERT_EQ(first.answers, std::vector<Answer>{Answer::failed});
    EXPECT_EQ(engine->unreleased_attempts(), 1u);
    engine->open_session(make_request("b", 0), &second);
    EXPECT_EQ(second.answers, std::vector<Answer>{Answer::rejected});
    engine->on_attempt_released(id, 0);
    engine->on_attempt_released(id, 0);  // a second report is ignored
    EXPECT_EQ(engine->unreleased_attempts(), 0u);
    engine->open_session(make_request("c", 0), &third);
    EXPECT_EQ(nodes.setups.size(), 2u);
    EXPECT_TRUE(third.answers.empty());
}

TEST_F(SeatTest, ARetryOfTheSameSessionTakesNoSecondSeat) {
    FakeAnswerHandler handler;
    engine->open_session(make_request("a", 1),
                         &handler);  // may be sent again; its first attempt gets no answer
    world.run_until(5030);
    EXPECT_EQ(nodes.setups.size(), 1u);
    EXPECT_EQ(handler.answers, std::vector<Answer>{Answer::rejected});
}

TEST_F(SeatTest, ALostEstablishedSessionHoldsItsSeatUntilReleased) {
    FakeAnswerHandler first, second, third;
    const SessionId id = engine->open_session(make_request("a", 0), &first);
    engine->on_attempt_started(id, 0, {"http://n/m/", {}});
    engine->on_attempt_lost(id, 0, Outcome::reset);
    EXPECT_EQ(engine->open_sessions(), 0u);
    engine->open_session(make_request("b", 0), &second);
    EXPECT_EQ(second.answers, std::vector<Answer>{Answer::rejected});
    engine->on_attempt_released(id, 0);
    engine->open_session(make_request("c", 0), &third);
    EXPECT_TRUE(third.answers.empty());
}

TEST_F(SeatTest, ACancelledAttemptReleasedAtOnceLeavesNothingBehind) {
    nodes.on_cancel = [this](SessionId session, int attempt) {
        loop.post([this, session, attempt] { engine->on_attempt_released(session, attempt); });
    };
    FakeAnswerHandler handler;
    engine->open_session(make_request("a", 0), &handler);
    world.run_until(10000);
    EXPECT_EQ(engine->unreleased_attempts(), 0u);
    EXPECT_EQ(engine->open_sessions(), 0u);
}

TEST_F(EngineTest, AnEndedSidThatAsksAgainIsReturning) {
    FakeAnswerHandler handler, returning;
    const SessionId id = engine->open_session(make_request("a", 0), &handler);
    engine->on_attempt_started(id, 0, {"http://n/m/", {}});
    engine->on_attempt_ended(id, 0, Outcome::reset, {});
    const SessionId next = engine->open_session(make_request("a", 0), &returning);
    EXPECT_NE(next, id);
    engine->on_attempt_started(next, 0, {"http://n/m2/", {}});
    engine->on_attempt_ended(next, 0, Outcome::ended, {});
    ASSERT_EQ(records.size(), 2u);
    EXPECT_FALSE(records[0].returning);
    EXPECT_TRUE(records[1].returning);
}

TEST_F(EngineTest, AnInvariantViolationFailsItsSessionAlone) {
    EngineLimits limits;
    limits.throw_on_violation = false;
    engine = std::make_unique<Engine>(loop, settings, 7, nodes, nullptr, limits);
    std::vector<std::string> violations;
    std::vector<SessionId> notified;
    engine->on_invariant_violation = [&](const std::string& history) { violations.push_back(history); };
    engine->on_session_terminated = [&](SessionId id, bool notify_viewer, bool) {
        if (notify_viewer) notified.push_back(id);
    };
    engine->on_session_record = [this](const SessionRecord& record) { records.push_back(record); };
    ServerList list;
    ServerEntry entry;
    entry.id = 1, entry.weight = 1;
    list.entries.push_back(entry);
    engine->update_server_list(list);
    FakeAnswerHandler broken, other;
    const SessionId first = engine->open_session(make_request("a", 0), &broken),
                    second = engine->open_session(make_request("b", 0), &other);
    engine->on_attempt_started(first, 0, {"http://n/m/", {}});
    engine->on_attempt_started(first, 0, {"http://n/m/", {}});
    ASSERT_EQ(violations.size(), 1u);
    EXPECT_NE(violations[0].find("attempt started, but no attempt is pending"), std::string::npos);
    EXPECT_EQ(engine->counts().invariant_violations, 1u);
    EXPECT_EQ(broken.answers, std::vector<Answer>{Answer::established}) << "answered once";
    EXPECT_EQ(notified, std::vector<SessionId>{first}) << "its client is told that it has ended";
    EXPECT_EQ(nodes.cancels, (std::vector<std::pair<SessionId, int>>{{first, 0}})) << "and so is its node";
    EXPECT_FALSE(engine->has_session(first));
    engine->on_attempt_started(second, 0, {"http://n/m/", {}});
    EXPECT_EQ(other.answers, std::vector<Answer>{Answer::established});
    EXPECT_EQ(engine->established_sessions(), 1u);
    EXPECT_EQ(records.size(), 1u);
}

TEST_F(EngineTest, SessionsWithRandomOutcomesAreEachAnsweredOnce) {
    std::mt19937_64 random(11);
    std::vector<std::unique_ptr<FakeAnswerHandler>> handlers;
    std::vector<io::Timer> timers;
    std::size_t scheduled = 0;
    nodes.on_cancel = [&](SessionId session, int attempt) {
        timers.push_back(loop.after(static_cast<double>(random() % 3000), [this, session, attempt] {
            engine->on_attempt_released(session, attempt);
        }));
    };
    for (int k = 0; k < 1500; ++k) {
        handlers.push_back(std::make_unique<FakeAnswerHandler>());
        engine->open_session(make_request("s" + std::to_string(k), static_cast<int>(random() % 2)),
                             handlers.back().get());
        for (; scheduled < nodes.setups.size(); ++scheduled) {
            const auto setup = nodes.setups[scheduled];
            const double delay = static_cast<double>(random() % 600);
            const unsigned kind = random() % 8;
            if (kind == 7) continue;  // no outcome at all
            timers.push_back(loop.after(delay, [this, setup, kind] {
                if (kind < 4) engine->on_attempt_started(setup.session, setup.attempt, {"http://n/", {}});
                else
                    engine->on_attempt_ended(setup.session, setup.attempt, static_cast<Outcome>(kind - 3),
                                             {});
            }));
            timers.push_back(loop.after(delay + 3000, [this, setup] {
                engine->on_attempt_ended(setup.session, setup.attempt, Outcome::ended, {});
            }));
        }
        world.run_until(world.now() + 150);
    }
    world.run_until(world.now() + 60000);
    for (const auto& handler : handlers) EXPECT_EQ(handler->answers.size(), 1u);
    const EngineCounts& counts = engine->counts();
    EXPECT_EQ(counts.accepted, counts.established + counts.rejected + counts.failed + counts.abandoned);
    EXPECT_EQ(engine->open_sessions(), 0u);
    EXPECT_EQ(engine->established_sessions(), 0u);
    EXPECT_EQ(engine->unreleased_attempts(), 0u);
    EXPECT_EQ(counts.missed_deadlines, 0u);
    EXPECT_GT(counts.retries, 20u);
}

}  // namespace
