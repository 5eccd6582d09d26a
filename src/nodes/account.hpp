// A director's account of one media node: which of its attempts are out there, which play, and which may be
// there still though nobody waits for them. Pure bookkeeping: words of the node come in, changes that they
// prove come out; no I/O, no clock, no choice (docs/design/nodes.md has the states and their transitions).
//
// An attempt is
//   out       its set-up has been sent and not been answered
//   playing   the node has said that it plays, in the life that the answer named
//   doubtful  over for the session, but not known to be over at the node: its place stays counted until the
//             node's word, or the end of the node's life, proves that nothing of it is left
//
// A life of a node is one run of its process, named by `boot`. Within a life the node numbers the beginnings
// and ends of a director's sessions from 1 (`seq`), so that a stream of events which broke can be taken up
// where it ended, and an answer can be held against an account that was given before or after it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ivyfield/director.hpp"

namespace ivyfield::nodes {

using Key = std::pair<SessionId, int>;  // session and attempt

// What a word of the node proves, to be carried out in this order.
struct Change {
    enum class What {
        started,   // the attempt plays
        over,      // the attempt is over, with this outcome, and nothing of it is left
        lost,      // the attempt is over for its session, but may be there still: now doubtful
        released,  // a doubtful attempt is proved to be over
        call_off,  // the node is to end it: it plays for nobody
        unclaimed  // the node plays it, and this life of the director has not set it up
    };
    What what;
    Key key;
    Outcome outcome = Outcome::ended;
};

class NodeAccount {
  public:
    using Changes = std::vector<Change>;

    // ---- Set-ups ----
    void sent(Key key);
    // The set-up was answered: it plays in that life, as the node's event number `begun`.
    Changes answered(Key key, const std::string& boot, std::uint64_t begun);
    // Ended otherwise. Only what proves that it never ran leaves no doubt.
    Changes ended_unanswered(Key key, Outcome outcome);
    // The session gives the attempt up (its time is over, or nobody waits): doubtful if it is out. One that
    // plays stays so until the node says that it has ended.
    Changes called_off(Key key);
    // The node has answered a release that was sent after the attempt was called off: it plays nothing of
    // it, and will not set it up should the request still come.
    Changes release_answered(Key key);

    // ---- The stream of events ----
    void stream_asked();  // the request for a stream is about to leave
    // The first line. `whole`: a list of all that the node holds follows; else the ends since resume_from().
    Changes hello(const std::string& boot, bool whole);
    Changes listed(Key key);  // a line of that list
    // What is to become of one that was unclaimed: taken back, it plays; else it is doubtful until released.
    void claimed(Key key, std::uint64_t begun, bool taken_back);
    // All that was promised by hello has been told; the node's events until `seq` are known.
    Changes complete(std::uint64_t seq);
    Changes ended(Key key, Outcome outcome, std::uint64_t seq);

    // The stream's dial was refused: nobody listens at the node's address, so the process is gone, and with
    // it all that was known to play there before that dial.
    Changes stream_refused();
    // The node has been silent so long that its sessions are over for their viewers; what it holds is
    // not known.
    Changes node_unheard();
    // No word can come any more (the list has taken the node away, and it does not answer).
    Changes written_off();

    const std::string& boot() const { return boot_; }
    // What a new stream may ask to be told from; nothing: it needs the whole account.
    std::optional<std::uint64_t> resume_from() const {
        return whole_account_ ? std::optional<std::uint64_t>(seq_) : std::nullopt;
    }
    // An answer names a life that no hello has confirmed or ended: only a newer hello tells.
    bool needs_hello() const;
    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    std::size_t playing() const { return playing_; }
    std::size_t doubtful() const { return doubts_.size(); }
    const std::set<Key>& doubts() const { return doubts_; }
    bool plays(Key key) const;

  private:
    enum class Phase { out, playing, doubtful };
    struct Entry {
        Phase phase = Phase::out;
        std::string boot;         // playing, or doubtful after playing: the life it was in
        std::uint64_t begun = 0;  // the node's number of its beginning
        std::uint64_t heard = 0;  // our own count of words at the answer
        // Out: words that overtook the answer. Its end came first; or a whole list without it ended at
        // this number of that life.
        bool ended = false;
        Outcome how = Outcome::ended;
        std::string missing_in;
        std::uint64_t missing_at = 0;
    };
    void end(std::map<Key, Entry>::iterator it, Outcome outcome, Changes& out);
    void doubt(std::map<Key, Entry>::iterator it);

    std::string boot_;  // the life that the last hello named
    std::deque<std::string> past_;
    std::uint64_t seq_ = 0, words_ = 0, asked_at_ = 0;
    bool whole_account_ = false, listing_ = false, in_account_ = false;
    std::set<Key> there_;  // told by the list that is under way
    std::map<Key, Entry> entries_;
    std::set<Key> doubts_;
    std::size_t playing_ = 0;
};

}  // namespace ivyfield::nodes
