#include "decide/session_end.hpp"

#include <gtest/gtest.h>

namespace ivyfield::decide {
namespace {

TEST(SessionEnd, AViewerThatDidNotEndTheSessionIsNotified) {
    for (const Outcome outcome : {Outcome::ended, Outcome::reset, Outcome::error}) {
        EXPECT_TRUE(must_notify_viewer({outcome, true, false, false}));
        EXPECT_FALSE(must_notify_viewer({outcome, true, true, false}));
        EXPECT_FALSE(must_notify_viewer({outcome, true, false, true}));
        EXPECT_FALSE(must_notify_viewer({outcome, false, false, false}))
            << "the viewer was never told that it was established";
    }
    EXPECT_FALSE(must_notify_viewer({Outcome::cancelled, true, false, false}))
        << "the viewer ended it at its node";
}

TEST(SessionEnd, OnlyRecentMessagesCanHaveCrossed) {
    EXPECT_TRUE(can_have_crossed(0));
    EXPECT_TRUE(can_have_crossed(50));
    EXPECT_FALSE(can_have_crossed(51));
}

TEST(SessionEnd, AnEndNoticeDoesNotOvertakeItsAnswer) {
    EXPECT_EQ(earliest_end_notice_elsewhere(1000), 1050);
    EXPECT_FALSE(can_have_crossed(earliest_end_notice_elsewhere(1000) + 1 - 1000));
}

TEST(SessionEnd, AnEndNoticeIsSentOnlyWhereItHasARecipient) {
    EXPECT_TRUE(can_carry_end_notice(true, false, 0));
    EXPECT_FALSE(can_carry_end_notice(false, true, 0))
        << "a connection that has carried a set-up may still come";
    EXPECT_TRUE(can_carry_end_notice(false, true, 7000)) << "must be reported within 8 s";
    EXPECT_FALSE(can_carry_end_notice(false, false, 60000));
}

}  // namespace
}  // namespace ivyfield::decide
