#include "decide/reclaim.hpp"

#include <gtest/gtest.h>

using namespace ivyfield;
using namespace ivyfield::decide;

namespace {

TEST(Claims, EachReasonAloneAndNoneOfThem) {
    Settings s;
    s.rung_kb = {1, 2, 3};
    s.tenants = {{"t", 0, 1}};
    ClassSettings seats, free;
    seats.seats = 2, seats.floor = 1;
    s.classes = {seats, free};
    ReclaimCandidate good;
    good.cls = 0, good.tenant = 0, good.rung = 1, good.held_sessions = 1;
    EXPECT_EQ(evaluate_reclaim(s, good), ReclaimVerdict::reclaim);
    const auto with = [&](auto change) {
        ReclaimCandidate f = good;
        change(f);
        return evaluate_reclaim(s, f);
    };
    EXPECT_EQ(with([](ReclaimCandidate& f) { f.from_this_incarnation = true; }),
              ReclaimVerdict::already_given_up);
    EXPECT_EQ(with([](ReclaimCandidate& f) { f.cls = -1; }), ReclaimVerdict::unknown_class);
    EXPECT_EQ(with([](ReclaimCandidate& f) { f.cls = 2; }), ReclaimVerdict::unknown_class);
    EXPECT_EQ(with([](ReclaimCandidate& f) { f.tenant = -1; }), ReclaimVerdict::unknown_tenant);
    EXPECT_EQ(with([](ReclaimCandidate& f) { f.rung = 0; }), ReclaimVerdict::rung_not_allowed);
    EXPECT_EQ(with([](ReclaimCandidate& f) { f.rung = 3; }), ReclaimVerdict::rung_not_allowed);
    EXPECT_EQ(with([](ReclaimCandidate& f) { f.superseded = true; }), ReclaimVerdict::superseded);
    EXPECT_EQ(with([](ReclaimCandidate& f) { f.held_sessions = 2; }), ReclaimVerdict::no_free_seat);
    EXPECT_EQ(with([](ReclaimCandidate& f) { f.cls = 1, f.held_sessions = 99; }), ReclaimVerdict::reclaim)
        << "no cap on that class";
}

}  // namespace
