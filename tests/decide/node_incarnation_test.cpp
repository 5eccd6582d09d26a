#include "decide/node_incarnation.hpp"

#include <gtest/gtest.h>

using ivyfield::decide::NodeIncarnation;

namespace {

TEST(NodeIncarnation, ALaterStartIsAnotherProcessAndTheSameStartIsNot) {
    NodeIncarnation incarnation(0);
    EXPECT_FALSE(incarnation.update(0, false, 1000));
    EXPECT_FALSE(incarnation.precedes(500));
    EXPECT_TRUE(incarnation.update(2000, false, 3000));
    EXPECT_FALSE(incarnation.update(2000, false, 3100));
    EXPECT_TRUE(incarnation.precedes(1999));
    EXPECT_FALSE(incarnation.precedes(2500)) << "heard between its start and the list that tells of it";
}

// A saved or delayed list may still show an earlier start.
TEST(NodeIncarnation, AnEarlierStartChangesNothing) {
    NodeIncarnation incarnation(2000);
    EXPECT_FALSE(incarnation.update(0, false, 3000));
    EXPECT_FALSE(incarnation.update(1000, false, 3000));
    EXPECT_TRUE(incarnation.precedes(1500));
}

TEST(NodeIncarnation, AnotherAddressIsAnotherProcess) {
    NodeIncarnation incarnation(0);
    EXPECT_TRUE(incarnation.update(0, true, 3000));
    EXPECT_TRUE(incarnation.precedes(2999));
    EXPECT_FALSE(incarnation.precedes(3000));
}

}  // namespace
