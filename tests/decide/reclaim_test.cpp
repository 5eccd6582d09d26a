#include "decide/reclaim.hpp"

#include <gtest/gtest.h>

using namespace ivyfield;
using namespace ivyfield::decide;

namespace {

TEST(Reclaim, EachReasonAloneRejectsAndNoneReclaims) {
    Settings settings;
    settings.rung_kb = {1, 2, 3};
    settings.tenants = {{"t", 0, 1}};
    ClassSettings capped, uncapped;
    capped.seats = 2, capped.min_rung = 1;
    settings.classes = {capped, uncapped};
    ReclaimCandidate acceptable;
    acceptable.cls = 0, acceptable.tenant = 0, acceptable.rung = 1, acceptable.held_sessions = 1;
    EXPECT_EQ(evaluate_reclaim(settings, acceptable), ReclaimVerdict::reclaim);
    const auto evaluate_with = [&](auto change) {
        ReclaimCandidate changed = acceptable;
        change(changed);
        return evaluate_reclaim(settings, changed);
    };
    EXPECT_EQ(evaluate_with([](ReclaimCandidate& candidate) { candidate.from_this_incarnation = true; }),
              ReclaimVerdict::already_given_up);
    EXPECT_EQ(evaluate_with([](ReclaimCandidate& candidate) { candidate.cls = -1; }),
              ReclaimVerdict::unknown_class);
    EXPECT_EQ(evaluate_with([](ReclaimCandidate& candidate) { candidate.cls = 2; }),
              ReclaimVerdict::unknown_class);
    EXPECT_EQ(evaluate_with([](ReclaimCandidate& candidate) { candidate.tenant = -1; }),
              ReclaimVerdict::unknown_tenant);
    EXPECT_EQ(evaluate_with([](ReclaimCandidate& candidate) { candidate.rung = 0; }),
              ReclaimVerdict::rung_not_allowed);
    EXPECT_EQ(evaluate_with([](ReclaimCandidate& candidate) { candidate.rung = 3; }),
              ReclaimVerdict::rung_not_allowed);
    EXPECT_EQ(evaluate_with([](ReclaimCandidate& candidate) { candidate.superseded = true; }),
              ReclaimVerdict::superseded);
    EXPECT_EQ(evaluate_with([](ReclaimCandidate& candidate) { candidate.held_sessions = 2; }),
              ReclaimVerdict::no_free_seat);
    EXPECT_EQ(
        evaluate_with([](ReclaimCandidate& candidate) { candidate.cls = 1, candidate.held_sessions = 99; }),
        ReclaimVerdict::reclaim)
        << "class 1 has no seat limit";
}

// Guards against handed-over sessions that are believed beyond what their node can play.
TEST(Reclaim, ANodeIsNotBelievedToPlayMoreThanItHasStreamsFor) {
    Settings settings;
    settings.max_streams_by_kind = {50, 0};
    ClassSettings cls;
    ServerEntry server;
    EXPECT_TRUE(decide::is_plausible_handover(settings, cls, server, 49));
    EXPECT_FALSE(decide::is_plausible_handover(settings, cls, server, 50));
    server.kind = 1;
    EXPECT_TRUE(decide::is_plausible_handover(settings, cls, server, 5000)) << "capacity unknown";
    server.kind = 0;
    cls.live = true;
    EXPECT_TRUE(decide::is_plausible_handover(settings, cls, server, 5000)) << "viewers share streams";
}

}  // namespace
