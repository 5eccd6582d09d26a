#include "nodes/account.hpp"

#include <algorithm>
#include <stdexcept>

#include "core/outcomes.hpp"

namespace ivyfield::nodes {

namespace {

constexpr std::size_t kPastLives = 8;

}  // namespace

bool NodeAccount::plays(Key key) const {
    const auto it = entries_.find(key);
    return it != entries_.end() && it->second.phase == Phase::playing;
}

void NodeAccount::end(std::map<Key, Entry>::iterator it, Outcome outcome, Changes& out) {
    const Key key = it->first;
    const Phase phase = it->second.phase;
    if (phase == Phase::playing) playing_ -= 1;
    doubts_.erase(key);
    entries_.erase(it);
    out.push_back({phase == Phase::doubtful ? Change::What::released : Change::What::over, key, outcome});
}
void NodeAccount::doubt(std::map<Key, Entry>::iterator it) {
    if (it->second.phase == Phase::playing) playing_ -= 1;
    it->second.phase = Phase::doubtful;
    doubts_.insert(it->first);
}

// ---- Set-ups ----

void NodeAccount::sent(Key key) {
    if (!entries_.emplace(key, Entry{}).second)
        throw std::logic_error("attempt " + std::to_string(key.second) + " of session " +
                               std::to_string(key.first) + " is sent twice to one node");
}

NodeAccount::Changes NodeAccount::answered(Key key, const std::string& boot, std::uint64_t begun) {
    Changes out;
    const auto it = entries_.find(key);
    if (it == entries_.end() || it->second.phase != Phase::out) return out;  // given up a moment ago
    Entry& e = it->second;
    e.phase = Phase::playing;
    e.boot = boot;
    e.begun = begun;
    e.heard = ++words_;
    playing_ += 1;
    out.push_back({Change::What::started, key});
    if (e.ended) end(it, e.how, out);
    else if (std::find(past_.begin(), past_.end(), boot) != past_.end()) end(it, Outcome::reset, out);
    else if (e.missing_in == boot && begun <= e.missing_at) end(it, Outcome::ended, out);
    return out;
}

NodeAccount::Changes NodeAccount::ended_unanswered(Key key, Outcome outcome) {
    Changes out;
    const auto it = entries_.find(key);
    if (it == entries_.end() || it->second.phase != Phase::out) return out;
    // Its end has been told already, or nothing was ever done: no doubt is left.
    if (it->second.ended || core::proves_never_ran(outcome)) {
        end(it, outcome, out);
        return out;
    }
    doubt(it);
    out.push_back({Change::What::lost, key, outcome});
    return out;
}

NodeAccount::Changes NodeAccount::called_off(Key key) {
    Changes out;
    const auto it = entries_.find(key);
    if (it == entries_.end() || it->second.phase != Phase::out) return out;
    const bool ended_there = it->second.ended;
    doubt(it);
    if (ended_there) end(it, Outcome::cancelled, out);
    return out;
}

NodeAccount::Changes NodeAccount::release_answered(Key key) {
    Changes out;
    const auto it = entries_.find(key);
    if (it != entries_.end() && it->second.phase != Phase::out) end(it, Outcome::cancelled, out);
    return out;
}

// ---- The stream of events ----

void NodeAccount::stream_asked() { asked_at_ = ++words_; }

NodeAccount::Changes NodeAccount::hello(const std::string& boot, bool whole) {
    Changes out;
    if (boot != boot_) {
        if (!boot_.empty()) past_.push_back(boot_);
        if (past_.size() > kPastLives) past_.pop_front();
        past_.erase(std::remove(past_.begin(), past_.end(), boot), past_.end());
        boot_ = boot;
        seq_ = 0;
        whole_account_ = false;
    }
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto one = it++;
        const Entry& e = one->second;
        // Known to play in another life than the one that answers now. An answer that came after this
        // stream was asked for may be of a newer life than the stream's: needs_hello() then.
        if (e.phase != Phase::out && !e.boot.empty() && e.boot != boot &&
            (e.heard < asked_at_ || std::find(past_.begin(), past_.end(), e.boot) != past_.end()))
            end(one, Outcome::reset, out);
    }
    in_account_ = true;
    listing_ = whole;
    there_.clear();
    return out;
}

NodeAccount::Changes NodeAccount::listed(Key key) {
    Changes out;
    if (!listing_) return out;
    there_.insert(key);
    const auto it = entries_.find(key);
    if (it == entries_.end()) out.push_back({Change::What::unclaimed, key});
    else if (it->second.phase == Phase::doubtful) out.push_back({Change::What::call_off, key});
    return out;
}

void NodeAccount::claimed(Key key, std::uint64_t begun, bool taken_back) {
    Entry e;
    e.phase = taken_back ? Phase::playing : Phase::doubtful;
    e.boot = boot_, e.begun = begun, e.heard = ++words_;
    if (!entries_.emplace(key, e).second)
        throw std::logic_error("session " + std::to_string(key.first) + " is claimed, though it is known");
    if (taken_back) playing_ += 1;
    else doubts_.insert(key);
}

NodeAccount::Changes NodeAccount::complete(std::uint64_t seq) {
    Changes out;
    if (!in_account_) return out;
    in_account_ = false;
    seq_ = std::max(seq_, seq);
    if (!listing_) return out;
    listing_ = false;
    whole_account_ = true;
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto one = it++;
        Entry& e = one->second;
        if (there_.count(one->first)) continue;
        if (e.phase == Phase::out) {
            e.missing_in = boot_, e.missing_at = seq;
        } else if (e.boot == boot_ && e.begun <= seq) {
            // It had begun before the list was made and is not on it. That it ran is known, how it ended is
            // not.
            end(one, Outcome::ended, out);
        }
    }
    there_.clear();
    return out;
}

NodeAccount::Changes NodeAccount::ended(Key key, Outcome outcome, std::uint64_t seq) {
    Changes out;
    seq_ = std::max(seq_, seq);
    const auto it = entries_.find(key);
    if (it == entries_.end()) return out;
    if (it->second.phase == Phase::out) it->second.ended = true, it->second.how = outcome;
    else end(it, outcome, out);
    return out;
}

// ---- The node ----

NodeAccount::Changes NodeAccount::stream_refused() {
    Changes out;
    // What is out has a connection of its own that tells its end; what was answered since the dial is of a
    // newer process.
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto one = it++;
        const Entry& e = one->second;
        if (e.phase != Phase::out && !e.boot.empty() && e.heard < asked_at_) end(one, Outcome::reset, out);
    }
    return out;
}

NodeAccount::Changes NodeAccount::node_unheard() {
    Changes out;
    for (auto it = entries_.begin(); it != entries_.end(); ++it) {
        if (it->second.phase != Phase::playing) continue;
        doubt(it);
        out.push_back({Change::What::lost, it->first, Outcome::reset});
    }
    return out;
}

NodeAccount::Changes NodeAccount::written_off() {
    Changes out;
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto one = it++;
        if (one->second.phase == Phase::doubtful) end(one, Outcome::reset, out);
    }
    return out;
}

bool NodeAccount::needs_hello() const {
    if (in_account_) return false;
    return std::any_of(entries_.begin(), entries_.end(), [this](const auto& one) {
        const Entry& e = one.second;
        return e.phase == Phase::playing && e.boot != boot_ && e.heard > asked_at_;
    });
}

}  // namespace ivyfield::nodes
