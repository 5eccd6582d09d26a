// Tracks the attempts that a director has at one media node: which are pending, which play, and which may
// still exist at the node although no session waits for them. Pure bookkeeping: the node's messages come in,
// the state changes that they prove come out. It does no I/O, reads no clock and makes no decisions
// (docs/design/nodes.md describes the states and their transitions).
//
// States of an attempt:
//   pending     its set-up request has been sent and not been answered
//   playing     the node has answered that it plays, in the incarnation named by the answer
//   unreleased  over for its session, but not known to be over at the node: its place stays counted until a
//               message of the node, or the end of the node's incarnation, proves that nothing of it is left
//
// An incarnation of a node is one run of its process, identified by `boot`. Within an incarnation the node
// numbers the starts and ends of a director's sessions from 1 (`seq`). With these numbers a broken event
// stream can be resumed where it ended, and an answer can be ordered relative to a snapshot taken before or
// after it.
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

using AttemptKey = std::pair<SessionId, int>;  // session and attempt number

// A state change that a message of the node proves. The caller carries changes out in the order given.
struct AttemptChange {
    enum class Kind {
        started,   // the attempt plays
        ended,     // the attempt is over, with this outcome, and nothing of it is left at the node
        lost,      // the attempt is over for its session, but may still exist at the node: now unreleased
        released,  // an unreleased attempt is proved to be over
        cancel,    // the node must end it: no session uses it
        orphaned   // the node plays it, but this run of the director did not set it up
    };
    Kind kind;
    AttemptKey key;
    Outcome outcome = Outcome::ended;
};

// The attempts at one node and their states. Methods that take a message return the changes that it proves.
class AttemptTracker {
  public:
    using Changes = std::vector<AttemptChange>;

    // ---- Set-ups ----

    // A set-up request is about to be sent. Throws std::logic_error if the attempt is tracked already.
    void record_request(AttemptKey key);
    // The set-up was answered: the attempt plays in incarnation `boot` and started as its event `start_seq`.
    Changes record_answer(AttemptKey key, const std::string& boot, std::uint64_t start_seq);
    // The set-up ended without a usable answer. The attempt is unreleased afterwards, unless the outcome
    // proves that it never ran or its end has already been reported.
    Changes record_failure(AttemptKey key, Outcome outcome);
    // The session gives the attempt up, because its time is over or nobody waits for it. A pending attempt is
    // unreleased afterwards; one that plays keeps playing until the node reports its end.
    Changes cancel(AttemptKey key);
    // The node has answered a release that was sent after the attempt was cancelled: it plays nothing of it,
    // and will not set it up if the request arrives later.
    Changes confirm_release(AttemptKey key);

    // ---- The event stream ----

    void record_stream_request();  // the request for an event stream is about to be sent
    // The first line of a stream. `full`: a snapshot of all that the node plays follows; otherwise the ends
    // since resume_from().
    Changes begin_sync(const std::string& boot, bool full);
    Changes add_listed(AttemptKey key);  // one attempt of the snapshot
    // What becomes of an orphaned attempt: it plays if the session was reclaimed; otherwise it is unreleased
    // until it is released. Throws std::logic_error if the attempt is tracked already.
    void resolve_orphan(AttemptKey key, std::uint64_t start_seq, bool reclaimed);
    // The snapshot or the missed ends are complete: all events of the node up to `seq` are known.
    Changes finish_sync(std::uint64_t seq);
    Changes record_end(AttemptKey key, Outcome outcome, std::uint64_t seq);

    // The dial for the event stream was refused: nothing listens at the node's address, so the process is
    // gone, and everything known to have played there before that dial with it.
    Changes record_refused_dial();
    // The node has been silent for so long that its sessions are over for their viewers. What it still plays
    // is not known.
    Changes mark_unreachable();
    // No message can be expected any more: the node is off the server list and does not answer.
    Changes presume_ended();

    // The incarnation named by the latest hello; empty before the first.
    const std::string& boot() const { return boot_; }
    // The event number after which a new stream may resume. Without a value it needs a full snapshot.
    std::optional<std::uint64_t> resume_from() const {
        return has_snapshot_ ? std::optional<std::uint64_t>(seq_) : std::nullopt;
    }
    // Whether an answer named an incarnation that no hello has confirmed or ended: a newer hello must tell.
    bool needs_hello() const;
    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    std::size_t playing_count() const { return playing_count_; }
    std::size_t unreleased_count() const { return unreleased_.size(); }
    const std::set<AttemptKey>& unreleased() const { return unreleased_; }
    bool is_playing(AttemptKey key) const;

  private:
    enum class State { pending, playing, unreleased };
    struct Entry {
        State state = State::pending;
        std::string boot;               // playing, or unreleased after playing: the incarnation it played in
        std::uint64_t start_seq = 0;    // the node's event number of its start
        std::uint64_t answered_at = 0;  // local_order_ at the answer
        // Pending: messages that overtook the answer. Either its end was reported first, or a snapshot taken
        // at this event number of that incarnation did not list it.
        bool end_reported = false;
        Outcome end_outcome = Outcome::ended;
        std::string unlisted_boot;
        std::uint64_t unlisted_seq = 0;
    };
    // Removes the entry and appends its end, or its release if it was unreleased.
    void remove_ended(std::map<AttemptKey, Entry>::iterator it, Outcome outcome, Changes& out);
    void mark_unreleased(std::map<AttemptKey, Entry>::iterator it);

    std::string boot_;                    // the incarnation named by the latest hello
    std::deque<std::string> past_boots_;  // earlier incarnations, oldest first
    // seq_: the latest event known of that incarnation. local_order_ counts answers, orphans and stream
    // requests in the order in which this side saw them; stream_requested_at_ is its value at the latest
    // stream request.
    std::uint64_t seq_ = 0, local_order_ = 0, stream_requested_at_ = 0;
    bool has_snapshot_ = false, in_snapshot_ = false, syncing_ = false;
    std::set<AttemptKey> listed_;  // attempts of the snapshot being received
    std::map<AttemptKey, Entry> entries_;
    std::set<AttemptKey> unreleased_;
    std::size_t playing_count_ = 0;
};

}  // namespace ivyfield::nodes
