// Tests of AttemptTracker: each state transition, then a simulated node with random crashes, losses and
// delays. Against it the tracker must never report an attempt as over that may still play, and must agree
// with the node once no more faults occur.
#include "nodes/attempt_tracker.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <random>

using namespace ivyfield;
using namespace ivyfield::nodes;

namespace {

using Kind = AttemptChange::Kind;

std::vector<std::pair<Kind, SessionId>> kinds_of(const AttemptTracker::Changes& changes) {
    std::vector<std::pair<Kind, SessionId>> out;
    for (const AttemptChange& change : changes) out.emplace_back(change.kind, change.key.first);
    return out;
}
using ExpectedChanges = std::vector<std::pair<Kind, SessionId>>;

struct AttemptTrackerTest : testing::Test {
    AttemptTracker tracker;
    // Connects an event stream to an incarnation that plays nothing yet.
    void connect_stream(const std::string& boot, std::uint64_t seq = 0) {
        tracker.record_stream_request();
        tracker.begin_sync(boot, true);
        tracker.finish_sync(seq);
    }
    void start_playing(SessionId id, const std::string& boot, std::uint64_t start_seq) {
        tracker.record_request({id, 0});
        ASSERT_EQ(kinds_of(tracker.record_answer({id, 0}, boot, start_seq)),
                  (ExpectedChanges{{Kind::started, id}}));
    }
};

TEST_F(AttemptTrackerTest, PlaysAndEnds) {
    connect_stream("A");
    start_playing(1, "A", 1);
    EXPECT_TRUE(tracker.is_playing({1, 0}));
    EXPECT_EQ(kinds_of(tracker.record_end({1, 0}, Outcome::ended, 2)), (ExpectedChanges{{Kind::ended, 1}}));
    EXPECT_TRUE(tracker.empty());
    EXPECT_EQ(tracker.resume_from(), 2u);
    EXPECT_TRUE(tracker.record_end({1, 0}, Outcome::ended, 2).empty()) << "reported twice";
}
TEST_F(AttemptTrackerTest, ANewIncarnationEndsThePreviousOnesSessionsButNotItsOwn) {
    connect_stream("A");
    start_playing(1, "A", 1);
    start_playing(2, "B", 1);  // the node has restarted and answers the set-up before the stream request
    EXPECT_TRUE(tracker.needs_hello());
    tracker.record_stream_request();
    EXPECT_EQ(kinds_of(tracker.begin_sync("B", true)), (ExpectedChanges{{Kind::ended, 1}}));
    EXPECT_TRUE(tracker.add_listed({2, 0}).empty());
    EXPECT_TRUE(tracker.finish_sync(1).empty());
    EXPECT_TRUE(tracker.is_playing({2, 0}));
    EXPECT_FALSE(tracker.needs_hello());
}
TEST_F(AttemptTrackerTest, AHelloOfAnOldStreamDoesNotEndASessionOfANewerIncarnation) {
    tracker.record_stream_request();
    start_playing(1, "B", 1);  // answered after the stream was requested
    EXPECT_TRUE(tracker.begin_sync("A", true).empty());
    EXPECT_TRUE(tracker.finish_sync(0).empty());
    EXPECT_TRUE(tracker.is_playing({1, 0}));
    EXPECT_TRUE(tracker.needs_hello());
    tracker.record_stream_request();
    tracker.begin_sync("B", true);
    tracker.add_listed({1, 0});
    EXPECT_TRUE(tracker.finish_sync(1).empty());
    EXPECT_TRUE(tracker.is_playing({1, 0}));
}
TEST_F(AttemptTrackerTest, AnAnswerOfAPastIncarnationEndsAtOnce) {
    connect_stream("A");
    tracker.record_request({1, 0});
    connect_stream("B");
    EXPECT_EQ(kinds_of(tracker.record_answer({1, 0}, "A", 1)),
              (ExpectedChanges{{Kind::started, 1}, {Kind::ended, 1}}));
    EXPECT_TRUE(tracker.empty());
}
TEST_F(AttemptTrackerTest, ASessionMissingFromTheSnapshotEndsOnlyIfItStartedBeforeIt) {
    connect_stream("A");
    start_playing(1, "A", 1);
    tracker.record_stream_request();
    tracker.begin_sync("A", true);
    start_playing(2, "A", 4);  // started after the snapshot was taken, answered while it was being read
    EXPECT_EQ(kinds_of(tracker.finish_sync(3)), (ExpectedChanges{{Kind::ended, 1}}));
    EXPECT_TRUE(tracker.is_playing({2, 0}));
}
TEST_F(AttemptTrackerTest, AnAnswerThatArrivesAfterItsEndStartsAndEnds) {
    connect_stream("A");
    tracker.record_request({1, 0});
    tracker.record_request({2, 0});
    EXPECT_TRUE(tracker.record_end({1, 0}, Outcome::ended, 2).empty());
    EXPECT_EQ(kinds_of(tracker.record_answer({1, 0}, "A", 1)),
              (ExpectedChanges{{Kind::started, 1}, {Kind::ended, 1}}));
    tracker.record_stream_request();
    tracker.begin_sync("A", true);
    tracker.finish_sync(4);  // the second has started and ended, and both events lie before the snapshot
    EXPECT_EQ(kinds_of(tracker.record_answer({2, 0}, "A", 3)),
              (ExpectedChanges{{Kind::started, 2}, {Kind::ended, 2}}));
    EXPECT_TRUE(tracker.empty());
}
TEST_F(AttemptTrackerTest, AFailedAttemptIsUnreleasedUnlessItsOutcomeProvesThatItNeverRan) {
    for (const Outcome outcome : {Outcome::full, Outcome::not_connected, Outcome::not_sent}) {
        tracker.record_request({1, 0});
        EXPECT_EQ(kinds_of(tracker.record_failure({1, 0}, outcome)), (ExpectedChanges{{Kind::ended, 1}}));
    }
    for (const Outcome outcome : {Outcome::error, Outcome::reset, Outcome::timed_out}) {
        tracker.record_request({2, 0});
        EXPECT_EQ(kinds_of(tracker.record_failure({2, 0}, outcome)), (ExpectedChanges{{Kind::lost, 2}}));
        EXPECT_EQ(tracker.unreleased_count(), 1u);
        EXPECT_EQ(kinds_of(tracker.confirm_release({2, 0})), (ExpectedChanges{{Kind::released, 2}}));
    }
}
TEST_F(AttemptTrackerTest, ACancelledAttemptStaysUnreleasedThroughHelloAndSnapshotUntilTheReleaseIsAnswered) {
    connect_stream("A");
    tracker.record_request({1, 0});
    EXPECT_TRUE(tracker.cancel({1, 0}).empty());
    EXPECT_TRUE(tracker.record_answer({1, 0}, "A", 1).empty()) << "it was cancelled";
    connect_stream("A", 1);
    connect_stream("B", 0);
    EXPECT_EQ(tracker.unreleased_count(), 1u) << "its request may still arrive";
    tracker.record_stream_request();
    tracker.begin_sync("B", true);
    EXPECT_EQ(kinds_of(tracker.add_listed({1, 0})), (ExpectedChanges{{Kind::cancel, 1}}));
    tracker.finish_sync(1);
    EXPECT_EQ(kinds_of(tracker.confirm_release({1, 0})), (ExpectedChanges{{Kind::released, 1}}));
}
TEST_F(AttemptTrackerTest, SessionsOfAnUnreachableNodeAreUnreleasedAndARefusedDialEndsThem) {
    connect_stream("A");
    start_playing(1, "A", 1);
    EXPECT_EQ(kinds_of(tracker.mark_unreachable()), (ExpectedChanges{{Kind::lost, 1}}));
    EXPECT_EQ(tracker.playing_count(), 0u);
    start_playing(2, "A", 2);
    tracker.record_stream_request();
    start_playing(3, "B", 1);  // of a process that started after the dial
    EXPECT_EQ(kinds_of(tracker.record_refused_dial()),
              (ExpectedChanges{{Kind::released, 1}, {Kind::ended, 2}}));
    EXPECT_TRUE(tracker.is_playing({3, 0}));
}
TEST_F(AttemptTrackerTest, ANodeThatReturnsWithItsSessionsMustEndThoseGivenUp) {
    connect_stream("A");
    start_playing(1, "A", 1);
    tracker.mark_unreachable();
    tracker.record_stream_request();
    tracker.begin_sync("A", true);
    EXPECT_EQ(kinds_of(tracker.add_listed({1, 0})), (ExpectedChanges{{Kind::cancel, 1}}));
    tracker.add_listed({7, 0});
    EXPECT_TRUE(tracker.finish_sync(1).empty());
    EXPECT_EQ(kinds_of(tracker.record_end({1, 0}, Outcome::ended, 2)),
              (ExpectedChanges{{Kind::released, 1}}));
}
TEST_F(AttemptTrackerTest, ASnapshotWithoutAnUnreleasedSessionReleasesIt) {
    connect_stream("A");
    start_playing(1, "A", 1);
    tracker.mark_unreachable();
    tracker.record_stream_request();
    tracker.begin_sync("A", true);
    EXPECT_EQ(kinds_of(tracker.finish_sync(2)), (ExpectedChanges{{Kind::released, 1}}));
}
TEST_F(AttemptTrackerTest, AListedSessionThatIsNotTrackedIsOrphaned) {
    tracker.record_stream_request();
    tracker.begin_sync("A", true);
    EXPECT_EQ(kinds_of(tracker.add_listed({9, 0})), (ExpectedChanges{{Kind::orphaned, 9}}));
}
TEST_F(AttemptTrackerTest, AStreamIsResumedOnlyAfterAFullSnapshotOfThatIncarnation) {
    EXPECT_FALSE(tracker.resume_from());
    tracker.record_stream_request();
    tracker.begin_sync("A", true);
    EXPECT_FALSE(tracker.resume_from());
    tracker.finish_sync(0);
    EXPECT_EQ(tracker.resume_from(), 0u) << "an empty snapshot is a snapshot too";
    tracker.record_end({1, 0}, Outcome::ended, 5);
    EXPECT_EQ(tracker.resume_from(), 5u);
    tracker.record_stream_request();
    tracker.begin_sync("B", true);
    EXPECT_FALSE(tracker.resume_from());
}
TEST_F(AttemptTrackerTest, PresumeEndedReleasesOnlyUnreleasedAttempts) {
    connect_stream("A");
    start_playing(1, "A", 1);
    tracker.record_request({2, 0});
    tracker.cancel({2, 0});
    EXPECT_EQ(kinds_of(tracker.presume_ended()), (ExpectedChanges{{Kind::released, 2}}));
    EXPECT_TRUE(tracker.is_playing({1, 0}));
}
TEST_F(AttemptTrackerTest, AnAttemptCannotBeSentTwice) {
    tracker.record_request({1, 0});
    EXPECT_THROW(tracker.record_request({1, 0}), std::logic_error);
}

// Simulates a node and the network to it: each set-up has its own connection, events come on one ordered
// stream, and releases are sent beside them. Everything is delayed at random; the node may crash and the
// stream may break at any time.
struct RandomNode {
    explicit RandomNode(unsigned seed) : random(seed) {}
    std::mt19937_64 random;
    AttemptTracker tracker;

    // State of the node.
    int incarnation = 1;
    bool running = true;
    std::uint64_t seq = 0;
    std::map<AttemptKey, std::uint64_t> plays;
    std::set<AttemptKey> released;
    std::deque<std::pair<std::uint64_t, AttemptKey>> ends;
    std::string boot() const { return "incarnation-" + std::to_string(incarnation); }

    struct SetUp {
        AttemptKey key;
        enum { to_node, to_director, broken } where = to_node;
        std::string boot;
        std::uint64_t start_seq = 0;
    };
    std::vector<SetUp> setups;
    struct Line {
        enum { hello, plays, sync_end, end } kind;
        AttemptKey key;
        std::string boot;
        std::uint64_t seq = 0;
        bool full = false;
    };
    enum class Stream { none, asked, open, broken, refused } stream = Stream::none;
    std::optional<std::uint64_t> since;
    std::string since_boot;
    std::deque<Line> lines;
    struct Release {
        std::vector<AttemptKey> keys;
        bool answered = false;
    };
    std::optional<Release> release;

    SessionId last_session = 0;
    // What the tracker has reported.
    std::set<AttemptKey> playing_sessions;  // started and not ended
    std::set<AttemptKey> awaiting_release;  // lost or cancelled, and not released
    std::set<AttemptKey> cancelled;
    int started = 0, ended = 0, reconciled = 0;

    bool one_in(int n) { return random() % static_cast<unsigned>(n) == 0; }
    // Whether the node plays the attempt or may yet do so.
    bool may_still_play(AttemptKey key) const {
        if (plays.count(key)) return true;
        if (released.count(key)) return false;
        for (const SetUp& setup : setups)
            if (setup.key == key && setup.where == SetUp::to_node) return true;
        return false;
    }
    void apply(const AttemptTracker::Changes& changes) {
        for (const AttemptChange& change : changes) {
            switch (change.kind) {
                case Kind::started:
                    EXPECT_TRUE(playing_sessions.insert(change.key).second) << "started twice";
                    started += 1;
                    break;
                case Kind::ended:
                    EXPECT_FALSE(may_still_play(change.key))
                        << "session " << change.key.first << " has ended, but may still play";
                    playing_sessions.erase(change.key);
                    ended += 1;
                    break;
                case Kind::lost:
                    playing_sessions.erase(change.key);
                    EXPECT_TRUE(awaiting_release.insert(change.key).second) << "lost twice";
                    break;
                case Kind::released:
                    EXPECT_FALSE(may_still_play(change.key))
                        << "session " << change.key.first << " is released, but may still play";
                    EXPECT_EQ(awaiting_release.erase(change.key), 1u) << "released without a loss";
                    break;
                default:
                    break;
            }
        }
    }
    void crash() {
        running = false;
        plays.clear(), released.clear(), ends.clear();
        seq = 0;
        for (SetUp& setup : setups)
            if (setup.where == SetUp::to_node) setup.where = SetUp::broken;
        if (stream == Stream::open || stream == Stream::asked) stream = Stream::broken;
        if (release && !release->answered) release.reset();
    }
    void step(bool settling) {
        switch (random() % 9) {
            case 0:  // the director sends a set-up
                if (settling) break;
                tracker.record_request({++last_session, 0});
                setups.push_back({{last_session, 0}, SetUp::to_node, {}, 0});
                break;
            case 1: {  // a set-up makes progress: request, then answer
                if (setups.empty()) break;
                const std::size_t k = random() % setups.size();
                SetUp& setup = setups[k];
                if (setup.where == SetUp::to_node && !running) setup.where = SetUp::broken;
                if (setup.where == SetUp::to_node) {
                    if (released.count(setup.key)) {
                        const AttemptKey key = setup.key;
                        setups.erase(setups.begin() + static_cast<long>(k));
                        apply(tracker.record_failure(key, Outcome::full));
                        break;
                    }
                    plays[setup.key] = setup.start_seq = ++seq;
                    setup.boot = boot();
                    setup.where = one_in(8) ? SetUp::broken : SetUp::to_director;
                    break;
                }
                const SetUp message = setup;
                setups.erase(setups.begin() + static_cast<long>(k));
                if (message.where == SetUp::to_director)
                    apply(tracker.record_answer(message.key, message.boot, message.start_seq));
                else apply(tracker.record_failure(message.key, Outcome::reset));
                break;
            }
            case 2: {  // the director cancels a set-up and closes its connection; the request may still
                       // arrive
                if (setups.empty() || !one_in(3)) break;
                const AttemptKey key = setups[random() % setups.size()].key;
                if (!cancelled.insert(key).second || tracker.unreleased().count(key)) break;
                awaiting_release.insert(key);
                apply(tracker.cancel(key));
                break;
            }
            case 3:  // a session ends at the node
                if (running && !plays.empty() && one_in(2)) {
                    auto it = plays.begin();
                    std::advance(it, static_cast<long>(random() % plays.size()));
                    const AttemptKey key = it->first;
                    plays.erase(it);
                    ends.emplace_back(++seq, key);
                    if (ends.size() > 4) ends.pop_front();
                    if (stream == Stream::open) lines.push_back({Line::end, key, boot(), seq});
                }
                break;
            case 4:  // the node crashes or restarts
                if (settling ? !running : one_in(12)) {
                    if (running) crash();
                    else running = true, incarnation += 1;
                }
                break;
            case 5:  // the event stream breaks, is requested, opened or refused
                if (!settling && one_in(15) && (stream == Stream::open || stream == Stream::asked))
                    stream = Stream::broken;
                if (stream == Stream::none ||
                    (stream == Stream::open && tracker.needs_hello() && lines.empty())) {
                    lines.clear();
                    tracker.record_stream_request();
                    since = tracker.resume_from();
                    since_boot = tracker.boot();
                    stream = Stream::asked;
                } else if (stream == Stream::asked) {
                    if (!running) {
                        stream = Stream::refused;
                        break;
                    }
                    stream = Stream::open;
                    const std::uint64_t dropped_until = ends.empty() ? seq : ends.front().first - 1;
                    const bool full = !since || since_boot != boot() || *since < dropped_until;
                    lines.push_back({Line::hello, {}, boot(), 0, full});
                    if (full)
                        for (const auto& [key, start_seq] : plays)
                            lines.push_back({Line::plays, key, boot()});
                    else
                        for (const auto& [n, key] : ends)
                            if (n > *since) lines.push_back({Line::end, key, boot(), n});
                    lines.push_back({Line::sync_end, {}, boot(), seq});
                } else if (stream == Stream::refused) {
                    stream = Stream::none;
                    apply(tracker.record_refused_dial());
                } else if (stream == Stream::broken && (lines.empty() || one_in(3))) {
                    lines.clear();
                    stream = Stream::none;
                    if (one_in(4)) apply(tracker.mark_unreachable());
                }
                break;
            case 6:
            case 7:  // a line of the event stream arrives
                if (!lines.empty()) {
                    const Line line = lines.front();
                    lines.pop_front();
                    if (line.kind == Line::hello) apply(tracker.begin_sync(line.boot, line.full));
                    if (line.kind == Line::plays) apply(tracker.add_listed(line.key));
                    if (line.kind == Line::sync_end) apply(tracker.finish_sync(line.seq));
                    if (line.kind == Line::end) apply(tracker.record_end(line.key, Outcome::ended, line.seq));
                }
                break;
            case 8:  // a release is sent, handled by the node or answered
                if (!release && tracker.unreleased_count() > 0)
                    release = Release{{tracker.unreleased().begin(), tracker.unreleased().end()}, false};
                else if (release && !release->answered) {
                    if (!running) {
                        release.reset();  // a refusal would be proof as well; here the release is only lost
                        break;
                    }
                    for (const AttemptKey& key : release->keys) {
                        released.insert(key);
                        if (plays.erase(key)) {
                            ends.emplace_back(++seq, key);
                            if (ends.size() > 4) ends.pop_front();
                            if (stream == Stream::open) lines.push_back({Line::end, key, boot(), seq});
                        }
                    }
                    release->answered = true;
                } else if (release) {
                    const auto keys = release->keys;
                    release.reset();
                    for (const AttemptKey& key : keys) apply(tracker.confirm_release(key));
                }
                break;
        }
    }
};

TEST(AttemptTrackerWithRandomNode, NoAttemptEndsThatMayStillPlayAndBothAgreeOnceFaultsStop) {
    int started = 0, ended = 0;
    for (unsigned seed = 1; seed <= 3000; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        RandomNode node(seed);
        for (int k = 0; k < 400; ++k) node.step(false);
        for (int k = 0; k < 4000; ++k) node.step(true);
        EXPECT_TRUE(node.awaiting_release.empty()) << "a lost or cancelled attempt was never released";
        EXPECT_EQ(node.tracker.unreleased_count(), 0u);
        EXPECT_EQ(node.tracker.playing_count(), node.plays.size());
        for (const auto& [key, start_seq] : node.plays)
            EXPECT_TRUE(node.tracker.is_playing(key))
                << "session " << key.first << " plays at the node, but not for the tracker";
        if (testing::Test::HasFailure()) return;
        started += node.started, ended += node.ended;
    }
    EXPECT_GT(started, 30000);
    EXPECT_GT(ended, 15000);
}

}  // namespace
