#include "nodes/attempt_tracker.hpp"

#include <algorithm>
#include <stdexcept>

#include "core/outcomes.hpp"

namespace ivyfield::nodes {

namespace {

constexpr std::size_t kMaxPastBoots = 8;  // earlier incarnations that are remembered

}  // namespace

bool AttemptTracker::is_playing(AttemptKey key) const {
    const auto it = entries_.find(key);
    return it != entries_.end() && it->second.state == State::playing;
}

void AttemptTracker::remove_ended(std::map<AttemptKey, Entry>::iterator it, Outcome outcome, Changes& out) {
    const AttemptKey key = it->first;
    const State state = it->second.state;
    if (state == State::playing) playing_count_ -= 1;
    unreleased_.erase(key);
    entries_.erase(it);
    out.push_back({state == State::unreleased ? AttemptChange::Kind::released : AttemptChange::Kind::ended,
                   key, outcome});
}
void AttemptTracker::mark_unreleased(std::map<AttemptKey, Entry>::iterator it) {
    if (it->second.state == State::playing) playing_count_ -= 1;
    it->second.state = State::unreleased;
    unreleased_.insert(it->first);
}

// ---- Set-ups ----

void AttemptTracker::record_request(AttemptKey key) {
    if (!entries_.emplace(key, Entry{}).second)
        throw std::logic_error("attempt " + std::to_string(key.second) + " of session " +
                               std::to_string(key.first) + " is sent twice to current node");
}

AttemptTracker::Changes AttemptTracker::record_answer(AttemptKey key, const std::string& boot,
                                                      std::uint64_t start_seq) {
    Changes out;
    const auto it = entries_.find(key);
    if (it == entries_.end() || it->second.state != State::pending) return out;  // cancelled meanwhile
    Entry& entry = it->second;
    entry.state = State::playing;
    entry.boot = boot;
    entry.start_seq = start_seq;
    entry.answered_at = ++local_order_;
    playing_count_ += 1;
    out.push_back({AttemptChange::Kind::started, key});
    if (entry.end_reported) remove_ended(it, entry.end_outcome, out);
    else if (std::find(past_boots_.begin(), past_boots_.end(), boot) != past_boots_.end())
        remove_ended(it, Outcome::reset, out);
    else if (entry.unlisted_boot == boot && start_seq <= entry.unlisted_seq)
        remove_ended(it, Outcome::ended, out);
    return out;
}

AttemptTracker::Changes AttemptTracker::record_failure(AttemptKey key, Outcome outcome) {
    Changes out;
    const auto it = entries_.find(key);
    if (it == entries_.end() || it->second.state != State::pending) return out;
    // Its end has been reported already, or it never ran: nothing can be left at the node.
    if (it->second.end_reported || core::proves_never_ran(outcome)) {
        remove_ended(it, outcome, out);
        return out;
    }
    mark_unreleased(it);
    out.push_back({AttemptChange::Kind::lost, key, outcome});
    return out;
}

AttemptTracker::Changes AttemptTracker::cancel(AttemptKey key) {
    Changes out;
    const auto it = entries_.find(key);
    if (it == entries_.end() || it->second.state != State::pending) return out;
    const bool end_reported = it->second.end_reported;
    mark_unreleased(it);
    if (end_reported) remove_ended(it, Outcome::cancelled, out);
    return out;
}

AttemptTracker::Changes AttemptTracker::confirm_release(AttemptKey key) {
    Changes out;
    const auto it = entries_.find(key);
    if (it != entries_.end() && it->second.state != State::pending) remove_ended(it, Outcome::cancelled, out);
    return out;
}

// ---- The event stream ----

void AttemptTracker::record_stream_request() { stream_requested_at_ = ++local_order_; }

AttemptTracker::Changes AttemptTracker::begin_sync(const std::string& boot, bool full) {
    Changes out;
    if (boot != boot_) {
        if (!boot_.empty()) past_boots_.push_back(boot_);
        if (past_boots_.size() > kMaxPastBoots) past_boots_.pop_front();
        past_boots_.erase(std::remove(past_boots_.begin(), past_boots_.end(), boot), past_boots_.end());
        boot_ = boot;
        seq_ = 0;
        has_snapshot_ = false;
    }
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto current = it++;
        const Entry& entry = current->second;
        // Ends what is known to play in another incarnation than the one that answers now. An answer that
        // came after this stream was requested may be from a newer incarnation than the stream's; it is kept,
        // and needs_hello() asks for a newer hello.
        if (entry.state != State::pending && !entry.boot.empty() && entry.boot != boot &&
            (entry.answered_at < stream_requested_at_ ||
             std::find(past_boots_.begin(), past_boots_.end(), entry.boot) != past_boots_.end()))
            remove_ended(current, Outcome::reset, out);
    }
    syncing_ = true;
    in_snapshot_ = full;
    listed_.clear();
    return out;
}

AttemptTracker::Changes AttemptTracker::add_listed(AttemptKey key) {
    Changes out;
    if (!in_snapshot_) return out;
    listed_.insert(key);
    const auto it = entries_.find(key);
    if (it == entries_.end()) out.push_back({AttemptChange::Kind::orphaned, key});
    else if (it->second.state == State::unreleased) out.push_back({AttemptChange::Kind::cancel, key});
    return out;
}

void AttemptTracker::resolve_orphan(AttemptKey key, std::uint64_t start_seq, bool reclaimed) {
    Entry entry;
    entry.state = reclaimed ? State::playing : State::unreleased;
    entry.boot = boot_, entry.start_seq = start_seq, entry.answered_at = ++local_order_;
    if (!entries_.emplace(key, entry).second)
        throw std::logic_error("session " + std::to_string(key.first) +
                               " has an orphaned attempt that is tracked already");
    if (reclaimed) playing_count_ += 1;
    else unreleased_.insert(key);
}

AttemptTracker::Changes AttemptTracker::finish_sync(std::uint64_t seq) {
    Changes out;
    if (!syncing_) return out;
    syncing_ = false;
    seq_ = std::max(seq_, seq);
    if (!in_snapshot_) return out;
    in_snapshot_ = false;
    has_snapshot_ = true;
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto current = it++;
        Entry& entry = current->second;
        if (listed_.count(current->first)) continue;
        if (entry.state == State::pending) {
            entry.unlisted_boot = boot_, entry.unlisted_seq = seq;
        } else if (entry.boot == boot_ && entry.start_seq <= seq) {
            // It started before the snapshot was taken and is not in it. It is known to have run; how it
            // ended is not known.
            remove_ended(current, Outcome::ended, out);
        }
    }
    listed_.clear();
    return out;
}

AttemptTracker::Changes AttemptTracker::record_end(AttemptKey key, Outcome outcome, std::uint64_t seq) {
    Changes out;
    seq_ = std::max(seq_, seq);
    const auto it = entries_.find(key);
    if (it == entries_.end()) return out;
    if (it->second.state == State::pending) it->second.end_reported = true, it->second.end_outcome = outcome;
    else remove_ended(it, outcome, out);
    return out;
}

// ---- The node ----

AttemptTracker::Changes AttemptTracker::record_refused_dial() {
    Changes out;
    // A pending attempt is kept: the connection of its set-up reports how it ends. So is one that was
    // answered after the dial: it belongs to a newer process.
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto current = it++;
        const Entry& entry = current->second;
        if (entry.state != State::pending && !entry.boot.empty() && entry.answered_at < stream_requested_at_)
            remove_ended(current, Outcome::reset, out);
    }
    return out;
}

AttemptTracker::Changes AttemptTracker::mark_unreachable() {
    Changes out;
    for (auto it = entries_.begin(); it != entries_.end(); ++it) {
        if (it->second.state != State::playing) continue;
        mark_unreleased(it);
        out.push_back({AttemptChange::Kind::lost, it->first, Outcome::reset});
    }
    return out;
}

AttemptTracker::Changes AttemptTracker::presume_ended() {
    Changes out;
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto current = it++;
        if (current->second.state == State::unreleased) remove_ended(current, Outcome::reset, out);
    }
    return out;
}

bool AttemptTracker::needs_hello() const {
    if (syncing_) return false;
    return std::any_of(entries_.begin(), entries_.end(), [this](const auto& current) {
        const Entry& entry = current.second;
        return entry.state == State::playing && entry.boot != boot_ &&
               entry.answered_at > stream_requested_at_;
    });
}

}  // namespace ivyfield::nodes
