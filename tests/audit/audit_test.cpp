// The audit has to detect violations: each rule is checked with recorded traffic that breaks it and with the
// same traffic changed so that it complies.
#include "audit/audit.hpp"

#include <gtest/gtest.h>

using namespace ivyfield::audit;
using ivyfield::standins::SocketEvent;

namespace {

// Recorded events with the limits and outages to check them against.
struct Traffic {
    std::vector<SocketEvent> events;
    RuleLimits limits;
    std::vector<Outage> outages;
    Traffic() {
        limits.classes["paid"] = {true, 0, 0, 5000};
        limits.classes["free"] = {false, 1, 2, 5000};
        limits.has_retry_budget = true, limits.free_retries = 1, limits.retries_per_request = 0.5,
        limits.retry_window = 10000;
    }
    SocketEvent& add(double at, const std::string& what, const std::string& where,
                     const std::string& cls = "paid") {
        SocketEvent event;
        event.at = at, event.type = what, event.source = where, event.cls = cls, event.director = "d0",
        event.sid = "s", event.title = "t";
        event.session = 1, event.rung = 2;
        events.push_back(event);
        return events.back();
    }
    void answer(double at, const std::string& who, int status, const std::string& cls = "paid") {
        SocketEvent& event = add(at, "answer", who, cls);
        event.status = status;
        event.outcome = status == 200 ? "plays" : status == 503 ? "refused" : "failed";
    }
    void over(double at, const std::string& node, int attempt, int status, const char* how,
              const std::string& cls = "paid") {
        SocketEvent& event = add(at, "setup_over", node, cls);
        event.attempt = attempt, event.status = status, event.outcome = how;
    }
    std::vector<int> broken() {
        std::vector<int> out;
        const AuditResult result = check_rules(events, limits, outages);
        for (int rule = 1; rule <= 6; ++rule)
            if (!result.is_kept(rule)) out.push_back(rule);
        return out;
    }
};
using Rules = std::vector<int>;

TEST(Audit, AnOrdinarySessionBreaksNothing) {
    Traffic traffic;
    traffic.add(0, "ask", "v");
    traffic.add(10, "setup", "n0");
    traffic.add(100, "ran", "n0");
    traffic.over(100, "n0", 0, 200, "started");
    traffic.answer(110, "v", 200);
    traffic.add(9000, "end", "n0");
    EXPECT_EQ(traffic.broken(), Rules{});
}
TEST(Audit, Rule1AnswerThatNeverComesIsLateOrDouble) {
    Traffic never, gave_up, late, answered_twice, odd;
    never.add(0, "ask", "v");
    EXPECT_EQ(never.broken(), Rules{1});
    never.outages.push_back({"d0", 100, 200});
    EXPECT_EQ(never.broken(), Rules{}) << "the director was down";
    gave_up.add(0, "ask", "v");
    gave_up.add(5100, "gave_up", "v");
    EXPECT_EQ(gave_up.broken(), Rules{1});
    late.add(0, "ask", "v");
    late.answer(5300, "v", 504);
    EXPECT_EQ(late.broken(), Rules{1});
    answered_twice.add(0, "ask", "v");
    answered_twice.answer(10, "v", 503);
    answered_twice.answer(20, "v", 503);
    EXPECT_EQ(answered_twice.broken(), Rules{1});
    odd.add(0, "ask", "v");
    odd.answer(10, "v", 500);
    EXPECT_EQ(odd.broken(), Rules{1});
}
TEST(Audit, Rule1DuplicateRequestsNeedAnAnswerOfTheirOwn) {
    Traffic traffic;
    traffic.add(0, "ask_again", "v");
    traffic.add(10, "answer_again", "v").status = 200;
    EXPECT_EQ(traffic.broken(), Rules{});
    traffic.events[1].status = 500;
    EXPECT_EQ(traffic.broken(), Rules{1});
    traffic.events[1].status = 504, traffic.events[1].at = 5300;
    EXPECT_EQ(traffic.broken(), Rules{1});
    traffic.events[1].type = "left_again";
    EXPECT_EQ(traffic.broken(), Rules{}) << "its player closed it";
    traffic.events[1].type = "gave_up_again";
    EXPECT_EQ(traffic.broken(), Rules{1});
    traffic.events.pop_back();
    EXPECT_EQ(traffic.broken(), Rules{1}) << "never answered";
}
TEST(Audit, Rule6EachIncarnationOfADirectorCountsFromItsStart) {
    Traffic traffic;
    for (int k = 0; k < 2; ++k) traffic.add(k * 100, "setup", "n0", "free").attempt = 1;
    EXPECT_EQ(traffic.broken(), Rules{6});
    traffic.outages = {{"d0", 50, 60, true}};
    EXPECT_EQ(traffic.broken(), Rules{});
}
TEST(Audit, Rule2NonIdempotentSetupRetriedThoughItMayHaveRun) {
    Traffic traffic;
    traffic.add(0, "ask", "v");
    traffic.add(10, "setup", "n0");
    traffic.over(500, "n0", 0, 500, "error");
    traffic.add(510, "setup", "n1").attempt = 1;
    traffic.over(600, "n1", 1, 200, "started");
    traffic.answer(610, "v", 200);
    EXPECT_EQ(traffic.broken(), Rules{2});
    traffic.events[2].outcome = "full";
    EXPECT_EQ(traffic.broken(), Rules{}) << "full proves that it never ran";
}
TEST(Audit, Rule2NonIdempotentSetupRejectedThoughItMayHaveRun) {
    Traffic traffic;
    traffic.add(0, "ask", "v");
    traffic.add(10, "setup", "n0");
    traffic.over(500, "n0", 0, 0, "gone");
    traffic.answer(510, "v", 503);
    EXPECT_EQ(traffic.broken(), Rules{2});
    traffic.events[3].status = 504;
    EXPECT_EQ(traffic.broken(), Rules{});
}
TEST(Audit, Rule2RanTwice) {
    Traffic traffic;
    traffic.add(0, "ask", "v");
    traffic.add(10, "setup", "n0");
    traffic.over(20, "n0", 0, 503, "full");
    traffic.add(30, "ran", "n0");  // answered full but ran all the same
    traffic.add(40, "setup", "n1").attempt = 1;
    traffic.add(50, "ran", "n1").attempt = 1;
    traffic.over(50, "n1", 1, 200, "started");
    traffic.answer(60, "v", 200);
    EXPECT_EQ(traffic.broken(), Rules{2});
}
TEST(Audit, Rule2TwoAttemptsPendingAtOnce) {
    Traffic traffic;
    traffic.add(0, "ask", "v", "free");
    traffic.add(10, "setup", "n0", "free");
    traffic.add(300, "setup", "n1", "free").attempt = 1;
    traffic.over(2000, "n0", 0, 0, "gone", "free");
    traffic.over(2100, "n1", 1, 200, "started", "free");
    traffic.answer(2110, "v", 200, "free");
    EXPECT_EQ(traffic.broken(), Rules{2});
    traffic.events[3].at = 310;  // the cancellation was still on its way to the first node
    EXPECT_EQ(traffic.broken(), Rules{});
}
TEST(Audit, Rule3SentToADrainedOrVanishedNode) {
    for (const char* list : {"n0=draining n1=ready", "n0=gone n1=ready", "n1=ready"}) {
        Traffic traffic;
        traffic.add(0, "list_sent", "list").details = "n0=ready n1=ready";
        traffic.add(100, "list_sent", "list").details = list;
        traffic.add(500, "setup", "n0");
        EXPECT_EQ(traffic.broken(), Rules{}) << "within the grace";
        traffic.add(700, "setup", "n0").session = 2;
        EXPECT_EQ(traffic.broken(), Rules{3}) << list;
    }
    Traffic back;
    back.add(0, "list_sent", "list").details = "n0=draining";
    back.add(100, "list_sent", "list").details = "n0=ready";
    back.add(900, "setup", "n0");
    EXPECT_EQ(back.broken(), Rules{});
}
TEST(Audit, Rule4AColdNodeOverloaded) {
    Traffic traffic;
    traffic.add(0, "node_start", "n0").outcome = "cold";
    EXPECT_EQ(traffic.broken(), Rules{});
    traffic.add(10, "node_fell", "n0");
    EXPECT_EQ(traffic.broken(), Rules{4});
}
TEST(Audit, Rule5MinimumRungsAndSeats) {
    Traffic floor, seats;
    floor.add(0, "setup", "n0", "free").rung = 0;
    EXPECT_EQ(floor.broken(), Rules{5});
    floor.events[0].rung = 1;
    EXPECT_EQ(floor.broken(), Rules{});
    floor.add(10, "rung", "n0", "free").rung = 0;
    EXPECT_EQ(floor.broken(), Rules{5});
    for (int k = 1; k <= 2; ++k) seats.add(k, "setup", "n0", "free").session = static_cast<std::uint64_t>(k);
    EXPECT_EQ(seats.broken(), Rules{});
    seats.add(10, "end", "n0", "free").session = 1;
    seats.add(11, "setup", "n0", "free").session = 3;
    EXPECT_EQ(seats.broken(), Rules{}) << "a seat was free again";
    seats.add(12, "setup", "n1", "free").session = 4;
    EXPECT_EQ(seats.broken(), Rules{5});
}
TEST(Audit, Rule5ASeatIsHeldForAsLongAsTheNodeMayPlay) {
    for (const char* how : {"lost", "gone", "error"}) {
        SCOPED_TRACE(how);
        Traffic traffic;
        for (int k = 1; k <= 2; ++k)
            traffic.add(k, "setup", "n0", "free").session = static_cast<std::uint64_t>(k);
        traffic.add(5, "hang", "n0");
        traffic.over(6, "n0", 0, 0, how, "free");
        traffic.add(7, "setup", "n1", "free").session = 3;
        EXPECT_EQ(traffic.broken(), std::string(how) == "error" ? Rules{} : Rules{5});
        Traffic released = traffic;
        released.events.pop_back();
        released.add(7, "cancel", "n0", "free");
        released.add(8, "setup", "n1", "free").session = 3;
        EXPECT_EQ(released.broken(), Rules{});
        Traffic down = traffic;
        down.events.pop_back();
        down.add(7, "node_down", "n0");
        for (int k = 4; k <= 5; ++k)
            down.add(8, "setup", "n1", "free").session = static_cast<std::uint64_t>(k);
        EXPECT_EQ(down.broken(), Rules{});
    }
    // Without a hang, a set-up whose connection closes before it has run does not run.
    Traffic traffic;
    for (int k = 1; k <= 2; ++k)
        traffic.add(k, "setup", "n0", "free").session = static_cast<std::uint64_t>(k);
    traffic.over(6, "n0", 0, 0, "gone", "free");
    traffic.add(7, "setup", "n1", "free").session = 3;
    EXPECT_EQ(traffic.broken(), Rules{});
}
TEST(Audit, Rule6FurtherAttemptsBeyondTheBudget) {
    Traffic traffic;
    for (int k = 0; k < 4; ++k) {
        traffic.add(k, "ask", "v" + std::to_string(k), "free");
        traffic.answer(k + 0.5, "v" + std::to_string(k), 504, "free");
    }
    const auto again = [&traffic](double at, std::uint64_t session) {
        SocketEvent& s = traffic.add(at, "setup", "n0", "free");
        s.session = session, s.attempt = 1, s.title = "t" + std::to_string(session);
        traffic.over(at + 1, "n0", 1, 500, "error", "free");
        traffic.events.back().session = session;
    };
    for (std::uint64_t k = 0; k < 3; ++k) again(100.0 * static_cast<double>(k + 1), k + 10);
    EXPECT_EQ(traffic.broken(), Rules{}) << "one free retry and half of four requests";
    again(500, 20);
    EXPECT_EQ(traffic.broken(), Rules{6});
    traffic.events.resize(traffic.events.size() - 2);
    again(10200, 20);
    EXPECT_EQ(traffic.broken(), Rules{6}) << "the requests have left the window too";
}

}  // namespace
