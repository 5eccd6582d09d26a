#include "decide/claims.hpp"

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
    Found good;
    good.cls = 0, good.tenant = 0, good.rung = 1, good.held = 1;
    EXPECT_EQ(claim(s, good), Claim::take);
    const auto with = [&](auto change) {
        Found f = good;
        change(f);
        return claim(s, f);
    };
    EXPECT_EQ(with([](Found& f) { f.own_life = true; }), Claim::given_up);
    EXPECT_EQ(with([](Found& f) { f.cls = -1; }), Claim::no_such_class);
    EXPECT_EQ(with([](Found& f) { f.cls = 2; }), Claim::no_such_class);
    EXPECT_EQ(with([](Found& f) { f.tenant = -1; }), Claim::no_such_tenant);
    EXPECT_EQ(with([](Found& f) { f.rung = 0; }), Claim::rung_not_allowed);
    EXPECT_EQ(with([](Found& f) { f.rung = 3; }), Claim::rung_not_allowed);
    EXPECT_EQ(with([](Found& f) { f.asked_again = true; }), Claim::asked_again);
    EXPECT_EQ(with([](Found& f) { f.held = 2; }), Claim::no_seat);
    EXPECT_EQ(with([](Found& f) { f.cls = 1, f.held = 99; }), Claim::take) << "no cap on that class";
}

}  // namespace
