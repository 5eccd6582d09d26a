// The account of one node: each transition, and a node with random lives, losses and delays against which the
// account must never call over what still plays, and must come right at rest.
#include "nodes/account.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <random>

using namespace ivyfield;
using namespace ivyfield::nodes;

namespace {

using What = Change::What;

std::vector<std::pair<What, SessionId>> of(const NodeAccount::Changes& changes) {
    std::vector<std::pair<What, SessionId>> out;
    for (const Change& c : changes) out.emplace_back(c.what, c.key.first);
    return out;
}
using Told = std::vector<std::pair<What, SessionId>>;

struct AccountTest : testing::Test {
    NodeAccount account;
    // A stream to a life that holds nothing yet.
    void live(const std::string& boot, std::uint64_t seq = 0) {
        account.stream_asked();
        account.hello(boot, true);
        account.complete(seq);
    }
    void playing(SessionId id, const std::string& boot, std::uint64_t begun) {
        account.sent({id, 0});
        ASSERT_EQ(of(account.answered({id, 0}, boot, begun)), (Told{{What::started, id}}));
    }
};

TEST_F(AccountTest, PlaysAndEnds) {
    live("A");
    playing(1, "A", 1);
    EXPECT_TRUE(account.plays({1, 0}));
    EXPECT_EQ(of(account.ended({1, 0}, Outcome::ended, 2)), (Told{{What::over, 1}}));
    EXPECT_TRUE(account.empty());
    EXPECT_EQ(account.resume_from(), 2u);
    EXPECT_TRUE(account.ended({1, 0}, Outcome::ended, 2).empty()) << "told twice";
}
TEST_F(AccountTest, ANewLifeEndsTheOldOnesSessionsAndNotItsOwn) {
    live("A");
    playing(1, "A", 1);
    playing(2, "B", 1);  // the node is back, and its set-up answered before the stream was
    EXPECT_TRUE(account.needs_hello());
    account.stream_asked();
    EXPECT_EQ(of(account.hello("B", true)), (Told{{What::over, 1}}));
    EXPECT_TRUE(account.listed({2, 0}).empty());
    EXPECT_TRUE(account.complete(1).empty());
    EXPECT_TRUE(account.plays({2, 0}));
    EXPECT_FALSE(account.needs_hello());
}
TEST_F(AccountTest, AnOldStreamsHelloDoesNotEndANewerLifesSession) {
    account.stream_asked();
    playing(1, "B", 1);  // answered after the stream was asked for
    EXPECT_TRUE(account.hello("A", true).empty());
    EXPECT_TRUE(account.complete(0).empty());
    EXPECT_TRUE(account.plays({1, 0}));
    EXPECT_TRUE(account.needs_hello());
    account.stream_asked();
    account.hello("B", true);
    account.listed({1, 0});
    EXPECT_TRUE(account.complete(1).empty());
    EXPECT_TRUE(account.plays({1, 0}));
}
TEST_F(AccountTest, AnAnswerOfALifeThatIsPastIsOverAtOnce) {
    live("A");
    account.sent({1, 0});
    live("B");
    EXPECT_EQ(of(account.answered({1, 0}, "A", 1)), (Told{{What::started, 1}, {What::over, 1}}));
    EXPECT_TRUE(account.empty());
}
TEST_F(AccountTest, WhatTheListLacksIsOverOnlyIfItHadBegunBefore) {
    live("A");
    playing(1, "A", 1);
    account.stream_asked();
    account.hello("A", true);
    playing(2, "A", 4);  // begun after the list was made, its answer came while it was read
    EXPECT_EQ(of(account.complete(3)), (Told{{What::over, 1}}));
    EXPECT_TRUE(account.plays({2, 0}));
}
TEST_F(AccountTest, AnAnswerThatComesAfterItsEndIsPlayedAndOver) {
    live("A");
    account.sent({1, 0});
    account.sent({2, 0});
    EXPECT_TRUE(account.ended({1, 0}, Outcome::ended, 2).empty());
    EXPECT_EQ(of(account.answered({1, 0}, "A", 1)), (Told{{What::started, 1}, {What::over, 1}}));
    account.stream_asked();
    account.hello("A", true);
    account.complete(4);  // the second began and ended, and both words of it are behind
    EXPECT_EQ(of(account.answered({2, 0}, "A", 3)), (Told{{What::started, 2}, {What::over, 2}}));
    EXPECT_TRUE(account.empty());
}
TEST_F(AccountTest, OnlyProofLeavesNoDoubt) {
    for (const Outcome outcome : {Outcome::full, Outcome::not_connected, Outcome::not_sent}) {
        account.sent({1, 0});
        EXPECT_EQ(of(account.ended_unanswered({1, 0}, outcome)), (Told{{What::over, 1}}));
    }
    for (const Outcome outcome : {Outcome::error, Outcome::reset, Outcome::timed_out}) {
        account.sent({2, 0});
        EXPECT_EQ(of(account.ended_unanswered({2, 0}, outcome)), (Told{{What::lost, 2}}));
        EXPECT_EQ(account.doubtful(), 1u);
        EXPECT_EQ(of(account.release_answered({2, 0})), (Told{{What::released, 2}}));
    }
}
TEST_F(AccountTest, CalledOffStaysDoubtfulThroughHelloAndListUntilTheReleaseIsAnswered) {
    live("A");
    account.sent({1, 0});
    EXPECT_TRUE(account.called_off({1, 0}).empty());
    EXPECT_TRUE(account.answered({1, 0}, "A", 1).empty()) << "nobody waits";
    live("A", 1);
    live("B", 0);
    EXPECT_EQ(account.doubtful(), 1u) << "its request may still be on the way";
    account.stream_asked();
    account.hello("B", true);
    EXPECT_EQ(of(account.listed({1, 0})), (Told{{What::call_off, 1}}));
    account.complete(1);
    EXPECT_EQ(of(account.release_answered({1, 0})), (Told{{What::released, 1}}));
}
TEST_F(AccountTest, SilenceIsDoubtAndRefusalIsProof) {
    live("A");
    playing(1, "A", 1);
    EXPECT_EQ(of(account.node_unheard()), (Told{{What::lost, 1}}));
    EXPECT_EQ(account.playing(), 0u);
    playing(2, "A", 2);
    account.stream_asked();
    playing(3, "B", 1);  // of a process that started after that dial
    EXPECT_EQ(of(account.stream_refused()), (Told{{What::released, 1}, {What::over, 2}}));
    EXPECT_TRUE(account.plays({3, 0}));
}
TEST_F(AccountTest, ANodeThatComesBackWithItsSessionsIsToldToEndThoseGivenUp) {
    live("A");
    playing(1, "A", 1);
    account.node_unheard();
    account.stream_asked();
    account.hello("A", true);
    EXPECT_EQ(of(account.listed({1, 0})), (Told{{What::call_off, 1}}));
    account.listed({7, 0});
    EXPECT_TRUE(account.complete(1).empty());
    EXPECT_EQ(of(account.ended({1, 0}, Outcome::ended, 2)), (Told{{What::released, 1}}));
}
TEST_F(AccountTest, AListThatLacksADoubtfulSessionReleasesIt) {
    live("A");
    playing(1, "A", 1);
    account.node_unheard();
    account.stream_asked();
    account.hello("A", true);
    EXPECT_EQ(of(account.complete(2)), (Told{{What::released, 1}}));
}
TEST_F(AccountTest, WhatNoLifeOfOursSetUpIsUnclaimed) {
    account.stream_asked();
    account.hello("A", true);
    EXPECT_EQ(of(account.listed({9, 0})), (Told{{What::unclaimed, 9}}));
}
TEST_F(AccountTest, AStreamIsResumedOnlyAfterAWholeAccountOfThatLife) {
    EXPECT_FALSE(account.resume_from());
    account.stream_asked();
    account.hello("A", true);
    EXPECT_FALSE(account.resume_from());
    account.complete(0);
    EXPECT_EQ(account.resume_from(), 0u) << "nothing had happened, which is an account too";
    account.ended({1, 0}, Outcome::ended, 5);
    EXPECT_EQ(account.resume_from(), 5u);
    account.stream_asked();
    account.hello("B", true);
    EXPECT_FALSE(account.resume_from());
}
TEST_F(AccountTest, WrittenOffEndsDoubtsOnly) {
    live("A");
    playing(1, "A", 1);
    account.sent({2, 0});
    account.called_off({2, 0});
    EXPECT_EQ(of(account.written_off()), (Told{{What::released, 2}}));
    EXPECT_TRUE(account.plays({1, 0}));
}
TEST_F(AccountTest, OneAttemptIsSentOnce) {
    account.sent({1, 0});
    EXPECT_THROW(account.sent({1, 0}), std::logic_error);
}

// A node and the ways to it, as the wire has them: each set-up on a connection of its own, one ordered stream
// of events, releases beside them; all delayed by chance, the node dying and the stream breaking at any time.
struct RandomNode {
    explicit RandomNode(unsigned seed) : random(seed) {}
    std::mt19937_64 random;
    NodeAccount account;

    // The node.
    int life = 1;
    bool up = true;
    std::uint64_t seq = 0;
    std::map<Key, std::uint64_t> plays;
    std::set<Key> let_go;
    std::deque<std::pair<std::uint64_t, Key>> ends;
    std::string boot() const { return "life-" + std::to_string(life); }

    struct SetUp {
        Key key;
        enum { to_node, to_director, dead } where = to_node;
        std::string boot;
        std::uint64_t begun = 0;
    };
    std::vector<SetUp> set_ups;
    struct Line {
        enum { hello, plays, account, end } what;
        Key key;
        std::string boot;
        std::uint64_t seq = 0;
        bool whole = false;
    };
    enum class Stream { none, asked, open, broken, refused } stream = Stream::none;
    std::optional<std::uint64_t> since;
    std::string since_boot;
    std::deque<Line> lines;
    struct Release {
        std::vector<Key> keys;
        bool answered = false;
    };
    std::optional<Release> release;

    SessionId last = 0;
    std::set<Key> engine_playing;  // started and not over
    std::set<Key> lost;            // owed a release
    std::set<Key> given_up;
    int started = 0, overs = 0, put_right = 0;

    bool chance(int in) { return random() % static_cast<unsigned>(in) == 0; }
    // May the node play it, now or later?
    bool may_play(Key key) const {
        if (plays.count(key)) return true;
        if (let_go.count(key)) return false;
        for (const SetUp& s : set_ups)
            if (s.key == key && s.where == SetUp::to_node) return true;
        return false;
    }
    void carry(const NodeAccount::Changes& changes) {
        for (const Change& c : changes) {
            switch (c.what) {
                case What::started:
                    EXPECT_TRUE(engine_playing.insert(c.key).second) << "started twice";
                    started += 1;
                    break;
                case What::over:
                    EXPECT_FALSE(may_play(c.key)) << "session " << c.key.first << " is over, but may play";
                    engine_playing.erase(c.key);
                    overs += 1;
                    break;
                case What::lost:
                    engine_playing.erase(c.key);
                    EXPECT_TRUE(lost.insert(c.key).second) << "lost twice";
                    break;
                case What::released:
                    EXPECT_FALSE(may_play(c.key))
                        << "session " << c.key.first << " is released, but may play";
                    EXPECT_EQ(lost.erase(c.key), 1u) << "released without a loss";
                    break;
                default:
                    break;
            }
        }
    }
    void kill() {
        up = false;
        plays.clear(), let_go.clear(), ends.clear();
        seq = 0;
        for (SetUp& s : set_ups)
            if (s.where == SetUp::to_node) s.where = SetUp::dead;
        if (stream == Stream::open || stream == Stream::asked) stream = Stream::broken;
        if (release && !release->answered) release.reset();
    }
    void step(bool quiet) {
        switch (random() % 9) {
            case 0:  // the director sends
                if (quiet) break;
                account.sent({++last, 0});
                set_ups.push_back({{last, 0}, SetUp::to_node, {}, 0});
                break;
            case 1: {  // a set-up gets on
                if (set_ups.empty()) break;
                const std::size_t k = random() % set_ups.size();
                SetUp& s = set_ups[k];
                if (s.where == SetUp::to_node && !up) s.where = SetUp::dead;
                if (s.where == SetUp::to_node) {
                    if (let_go.count(s.key)) {
                        const Key key = s.key;
                        set_ups.erase(set_ups.begin() + static_cast<long>(k));
                        carry(account.ended_unanswered(key, Outcome::full));
                        break;
                    }
                    plays[s.key] = s.begun = ++seq;
                    s.boot = boot();
                    s.where = chance(8) ? SetUp::dead : SetUp::to_director;
                    break;
                }
                const SetUp word = s;
                set_ups.erase(set_ups.begin() + static_cast<long>(k));
                if (word.where == SetUp::to_director)
                    carry(account.answered(word.key, word.boot, word.begun));
                else carry(account.ended_unanswered(word.key, Outcome::reset));
                break;
            }
            case 2: {  // the director gives one up; its connection is closed, the request may still arrive
                if (set_ups.empty() || !chance(3)) break;
                const Key key = set_ups[random() % set_ups.size()].key;
                if (!given_up.insert(key).second || account.doubts().count(key)) break;
                lost.insert(key);
                carry(account.called_off(key));
                break;
            }
            case 3:  // one ends at the node
                if (up && !plays.empty() && chance(2)) {
                    auto it = plays.begin();
                    std::advance(it, static_cast<long>(random() % plays.size()));
                    const Key key = it->first;
                    plays.erase(it);
                    ends.emplace_back(++seq, key);
                    if (ends.size() > 4) ends.pop_front();
                    if (stream == Stream::open) lines.push_back({Line::end, key, boot(), seq});
                }
                break;
            case 4:  // the node dies or comes back
                if (quiet ? !up : chance(12)) {
                    if (up) kill();
                    else up = true, life += 1;
                }
                break;
            case 5:  // the stream
                if (!quiet && chance(15) && (stream == Stream::open || stream == Stream::asked))
                    stream = Stream::broken;
                if (stream == Stream::none ||
                    (stream == Stream::open && account.needs_hello() && lines.empty())) {
                    lines.clear();
                    account.stream_asked();
                    since = account.resume_from();
                    since_boot = account.boot();
                    stream = Stream::asked;
                } else if (stream == Stream::asked) {
                    if (!up) {
                        stream = Stream::refused;
                        break;
                    }
                    stream = Stream::open;
                    const std::uint64_t gone = ends.empty() ? seq : ends.front().first - 1;
                    const bool whole = !since || since_boot != boot() || *since < gone;
                    lines.push_back({Line::hello, {}, boot(), 0, whole});
                    if (whole)
                        for (const auto& [key, begun] : plays) lines.push_back({Line::plays, key, boot()});
                    else
                        for (const auto& [n, key] : ends)
                            if (n > *since) lines.push_back({Line::end, key, boot(), n});
                    lines.push_back({Line::account, {}, boot(), seq});
                } else if (stream == Stream::refused) {
                    stream = Stream::none;
                    carry(account.stream_refused());
                } else if (stream == Stream::broken && (lines.empty() || chance(3))) {
                    lines.clear();
                    stream = Stream::none;
                    if (chance(4)) carry(account.node_unheard());
                }
                break;
            case 6:
            case 7:  // a line arrives
                if (!lines.empty()) {
                    const Line line = lines.front();
                    lines.pop_front();
                    if (line.what == Line::hello) carry(account.hello(line.boot, line.whole));
                    if (line.what == Line::plays) carry(account.listed(line.key));
                    if (line.what == Line::account) carry(account.complete(line.seq));
                    if (line.what == Line::end) carry(account.ended(line.key, Outcome::ended, line.seq));
                }
                break;
            case 8:  // releases
                if (!release && account.doubtful() > 0)
                    release = Release{{account.doubts().begin(), account.doubts().end()}, false};
                else if (release && !release->answered) {
                    if (!up) {
                        release.reset();  // refused is proof as well, but here it is only lost
                        break;
                    }
                    for (const Key& key : release->keys) {
                        let_go.insert(key);
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
                    for (const Key& key : keys) carry(account.release_answered(key));
                }
                break;
        }
    }
};

TEST(AccountAgainstARandomNode, NothingIsOverThatMayPlayAndAtRestBothAgree) {
    int started = 0, overs = 0;
    for (unsigned seed = 1; seed <= 3000; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        RandomNode world(seed);
        for (int k = 0; k < 400; ++k) world.step(false);
        for (int k = 0; k < 4000; ++k) world.step(true);
        EXPECT_TRUE(world.lost.empty()) << "a release is still owed";
        EXPECT_EQ(world.account.doubtful(), 0u);
        EXPECT_EQ(world.account.playing(), world.plays.size());
        for (const auto& [key, begun] : world.plays)
            EXPECT_TRUE(world.account.plays(key)) << "session " << key.first << " is nobody's";
        if (testing::Test::HasFailure()) return;
        started += world.started, overs += world.overs;
    }
    EXPECT_GT(started, 30000);
    EXPECT_GT(overs, 15000);
}

}  // namespace
