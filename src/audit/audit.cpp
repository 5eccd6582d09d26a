#include "audit/audit.hpp"

#include <algorithm>
#include <deque>
#include <set>
#include <sstream>
#include <tuple>

namespace ivyfield::audit {

using standins::SocketEvent;

const char* rule_name(int rule) {
    static constexpr const char* names[] = {
        "",           "no session lost",       "no set-up twice", "drains kept", "no cold node pushed over",
        "terms kept", "attempts within budget"};
    return rule >= 1 && rule <= 6 ? names[rule] : "?";
}
bool AuditResult::is_kept(int rule) const {
    return std::none_of(violations.begin(), violations.end(),
                        [&](const Violation& b) { return b.rule == rule; });
}

namespace {

class Judge {
  public:
    Judge(const std::vector<SocketEvent>& taps, const RuleLimits& terms, const std::vector<Outage>& outages)
        : taps_(taps), terms_(terms), outages_(outages) {}
    AuditResult run() {
        // The second of two alike requests is one more that the director took, unless it joined the session
        // of the first: both play. It comes as a new one where it has no sid, or the first was refused
        // before.
        std::map<std::string, int> first, second;
        std::set<std::string> apart;
        for (const SocketEvent& t : taps_) {
            if (t.type == "ask_again" && t.details == "unknown") apart.insert(t.source);
            if (t.type == "answer") first.emplace(t.source, t.status);
            if (t.type == "answer_again") second.emplace(t.source, t.status);
        }
        for (const auto& [who, status] : second)
            if (status == 200 && !apart.count(who) && first.count(who) && first.at(who) == 200)
                joined_.insert(who);
        for (const SocketEvent& t : taps_) {
            if (t.type == "ask") on_ask(t);
            else if (t.type == "ask_again" || t.type == "answer_again" || t.type == "gave_up_again" ||
                     t.type == "left_again")
                on_twin(t);
            else if (t.type == "answer" || t.type == "gave_up" || t.type == "left") on_answer(t);
            else if (t.type == "setup") on_setup(t);
            else if (t.type == "setup_over") on_setup_over(t);
            else if (t.type == "ran") on_ran(t);
            else if (t.type == "rung") on_rung(t);
            else if (t.type == "end" || t.type == "cancel") leave_seat({t.director, t.session, t.attempt});
            else if (t.type == "list_sent") on_list(t);
            else if (t.type == "node_fell") on_fell(t);
            else if (t.type == "node_start") on_start(t);
            else if (t.type == "node_down") on_node_down(t);
            else if (t.type == "hang") hung_.insert(t.source);
            else if (t.type == "thaw") hung_.erase(t.source);
        }
        for (const auto& [who, ask] : asks_)
            if (!down(ask.director, ask.at, ask.at + patience(ask.cls)))
                breach(1, ask.at,
                       ask.source + " (sid " + ask.sid + ") never heard an answer of " + ask.director);
        for (const auto& [who, ask] : twins_)
            if (!down(ask.director, ask.at, ask.at + patience(ask.cls)))
                breach(1, ask.at, ask.source + "'s second request never heard an answer of " + ask.director);
        return result_;
    }

  private:
    void breach(int rule, double at, const std::string& what) {
        result_.violations.push_back({rule, at, what});
    }
    double patience(const std::string& cls) const {
        const auto it = terms_.classes.find(cls);
        return it == terms_.classes.end() ? 0 : it->second.patience;
    }
    bool paid(const std::string& cls) const {
        const auto it = terms_.classes.find(cls);
        return it != terms_.classes.end() && it->second.paid;
    }
    bool down(const std::string& director, double from, double to) const {
        for (const Outage& o : outages_)
            if (o.director == director && o.from <= to && from <= o.to) return true;
        return false;
    }

    // Since when the director's present life can have acted; what an earlier one did is not its own.
    double life_of(const std::string& director, double at) const {
        double born = -1;
        for (const Outage& o : outages_)
            if (o.process_ended && o.director == director && o.from <= at) born = std::max(born, o.from);
        return born;
    }

    // ---- 1: one answer, in time ----
    void on_ask(const SocketEvent& t) {
        result_.check_counts[1] += 1;
        asks_[t.source] = t;
        requests_[t.director].push_back(t.at);
    }
    // The second of two alike requests is owed an answer of its own, unless its player closes it before.
    void on_twin(const SocketEvent& t) {
        if (t.type == "ask_again") {
            result_.check_counts[1] += 1;
            twins_[t.source] = t;
            if (!joined_.count(t.source)) requests_[t.director].push_back(t.at);
            return;
        }
        const auto it = twins_.find(t.source);
        if (it == twins_.end())
            return t.type == "left_again"
                       ? void()
                       : breach(1, t.at, t.source + " heard a second answer to its second request");
        const SocketEvent ask = it->second;
        twins_.erase(it);
        if (t.type == "left_again" || down(ask.director, ask.at, t.at)) return;
        if (t.type == "gave_up_again")
            breach(1, t.at, t.source + "'s second request heard nothing of " + ask.director + " in its time");
        else if (t.status != 200 && t.status != 503 && t.status != 504)
            breach(1, t.at, t.source + "'s second request heard status " + std::to_string(t.status));
        else if (t.at - ask.at > patience(ask.cls) + terms_.answer_tolerance + terms_.network_tolerance)
            breach(1, t.at, t.source + "'s second request was answered late");
    }
    void on_answer(const SocketEvent& t) {
        const auto it = asks_.find(t.source);
        if (it == asks_.end()) return breach(1, t.at, t.source + " heard a second answer");
        const SocketEvent ask = it->second;
        asks_.erase(it);
        if (t.type == "left" || down(ask.director, ask.at, t.at)) return;
        const double late =
            t.at - ask.at - patience(ask.cls) - terms_.answer_tolerance - terms_.network_tolerance;
        if (t.type == "gave_up")
            breach(1, t.at,
                   t.source + " (sid " + t.sid + ") heard nothing of " + t.director + " in its time");
        else if (t.status != 200 && t.status != 503 && t.status != 504)
            breach(
                1, t.at,
                t.source + " (sid " + t.sid + ") heard \"" + t.outcome + "\" of " + t.director + " that ran");
        else if (late > 0)
            breach(1, t.at,
                   t.source + " (sid " + t.sid + ") was answered " + std::to_string(late) + " ms late");
        // 2: refused though an attempt may have run.
        if (t.status == 503 && paid(t.cls) && ask.details != "unknown") {
            result_.check_counts[2] += 1;
            for (const auto& [key, doubt] : doubts_)
                if (doubt.director == t.director && doubt.sid == t.sid && doubt.title == t.title &&
                    doubt.at >= ask.at)
                    breach(2, t.at,
                           "sid " + t.sid + " was refused by " + t.director + ", though an attempt at " +
                               doubt.source + " may have run");
        }
    }

    // ---- 2: no set-up twice, never two out ----
    using Attempt = std::tuple<std::string, std::uint64_t, int>;
    using Session = std::pair<std::string, std::uint64_t>;
    void on_setup(const SocketEvent& t) {
        const Session session{t.director, t.session};
        if (const auto it = out_.find(session); it != out_.end()) {
            // Called off by closing its connection: that word may come a little after the next attempt.
            // A node that stands still can't tell when that was.
            if (!hung_.count(it->second.source)) pending_overlap_[session] = {it->second, t};
        }
        out_[session] = t;
        if (t.attempt > 0 && paid(t.cls)) {
            result_.check_counts[2] += 1;
            for (const auto& [key, doubt] : doubts_)
                if (std::get<0>(key) == t.director && std::get<1>(key) == t.session &&
                    std::get<2>(key) < t.attempt)
                    breach(2, t.at,
                           "sid " + t.sid + ": " + t.director + " sent its paid set-up again to " + t.source +
                               ", though an attempt at " + doubt.source + " may have run");
        }
        if (paid(t.cls)) doubts_[{t.director, t.session, t.attempt}] = t;
        on_drained(t);
        on_budget(t);
        on_terms(t);
    }
    void on_setup_over(const SocketEvent& t) {
        const Session session{t.director, t.session};
        if (const auto it = pending_overlap_.find(session);
            it != pending_overlap_.end() && it->second.first.attempt == t.attempt) {
            result_.check_counts[2] += 1;
            if (t.at - it->second.second.at > terms_.network_tolerance &&
                !down(t.director, it->second.first.at, t.at))
                breach(2, t.at, "sid " + t.sid + ": two attempts of " + t.director + " were out at once");
            pending_overlap_.erase(it);
        }
        if (const auto it = out_.find(session); it != out_.end() && it->second.attempt == t.attempt)
            out_.erase(it);
        // "Full" proves that it never ran.
        if (t.outcome == "full") doubts_.erase({t.director, t.session, t.attempt});
        // Its seat is held for as long as the node may play it: an answer lost is a session that plays, and a
        // node that stands still goes on with its work afterwards.
        const bool may_play =
            t.status == 200 || t.outcome == "lost" || (t.outcome == "gone" && hung_.count(t.source));
        if (!may_play) leave_seat({t.director, t.session, t.attempt});
    }
    void on_ran(const SocketEvent& t) {
        if (!paid(t.cls)) return;
        result_.check_counts[2] += 1;
        const auto [it, fresh] = ran_.emplace(Session{t.director, t.session}, t);
        if (!fresh)
            breach(2, t.at,
                   "sid " + t.sid + " was set up twice by " + t.director + ": at " + it->second.source +
                       " and at " + t.source);
    }

    // ---- 3: drains ----
    void on_list(const SocketEvent& t) {
        std::istringstream words(t.details);
        std::map<std::string, std::string> states;
        for (std::string word; words >> word;) {
            const std::size_t eq = word.rfind('=');
            states[word.substr(0, eq)] = word.substr(eq + 1);
        }
        auto& told = told_[t.director];
        for (auto& [node, since] : told)
            if (!states.count(node) && since < 0) since = t.at;  // taken away
        for (const auto& [node, state] : states) {
            const auto it = told.find(node);
            if (state == "ready") told[node] = -1;
            else if (it == told.end() || it->second < 0) told[node] = t.at, result_.check_counts[3] += 1;
        }
    }
    void on_drained(const SocketEvent& t) {
        const auto it = told_.find(t.director);
        if (it == told_.end()) return;
        const auto since = it->second.find(t.source);
        if (since == it->second.end() || since->second < 0) return;
        if (t.at > since->second + terms_.drain_stop_within + terms_.network_tolerance &&
            !down(t.director, since->second, t.at))
            breach(3, t.at,
                   t.director + " sent to " + t.source + " " + std::to_string(t.at - since->second) +
                       " ms after it was told that it drains or is gone");
    }

    // ---- 4: cold nodes ----
    void on_start(const SocketEvent& t) {
        if (t.outcome == "cold") result_.check_counts[4] += 1;
    }
    void on_fell(const SocketEvent& t) {
        breach(4, t.at, t.source + " was pushed over while cold, last by " + t.director);
    }

    // ---- 5: floors and seats ----
    void on_terms(const SocketEvent& t) {
        const auto it = terms_.classes.find(t.cls);
        if (it == terms_.classes.end()) return;
        floor(t, it->second);
        if (it->second.seats <= 0) return;
        result_.check_counts[5] += 1;
        auto& held = seats_[{t.director, t.title, t.cls}];
        // What an earlier life of the director set up is not this one's.
        const double born = life_of(t.director, t.at);
        for (auto one = held.begin(); one != held.end();)
            one = one->second < born ? held.erase(one) : std::next(one);
        held[{t.director, t.session, t.attempt}] = t.at;
        seat_of_[{t.director, t.session, t.attempt}] = {{t.director, t.title, t.cls}, t.source};
        if (static_cast<int>(held.size()) > it->second.seats)
            breach(5, t.at,
                   t.director + " holds " + std::to_string(held.size()) + " sessions of title " + t.title +
                       " in class " + t.cls + ", which has " + std::to_string(it->second.seats) + " seats");
    }
    void floor(const SocketEvent& t, const ClassLimits& terms) {
        result_.check_counts[5] += 1;
        if (t.rung < terms.min_rung)
            breach(5, t.at,
                   t.director + " set rung " + std::to_string(t.rung) + " for class " + t.cls +
                       ", whose floor is " + std::to_string(terms.min_rung));
    }
    void on_rung(const SocketEvent& t) {
        const auto it = terms_.classes.find(t.cls);
        if (it != terms_.classes.end()) floor(t, it->second);
    }
    void leave_seat(const Attempt& key) {
        const auto it = seat_of_.find(key);
        if (it == seat_of_.end()) return;
        seats_[it->second.first].erase(key);
        seat_of_.erase(it);
    }
    // All that was at the node is over, whether its director has heard of it or not.
    void on_node_down(const SocketEvent& t) {
        std::vector<Attempt> gone;
        for (const auto& [key, seat] : seat_of_)
            if (seat.second == t.source) gone.push_back(key);
        for (const Attempt& key : gone) leave_seat(key);
    }

    // ---- 6: budget ----
    void on_budget(const SocketEvent& t) {
        if (!terms_.has_retry_budget || t.attempt == 0) return;
        result_.check_counts[6] += 1;
        auto& again = again_[t.director];
        auto& requests = requests_[t.director];
        again.push_back(t.at);
        // Taps are a little later than the director's own clock: the window of requests is a little longer.
        // Each life of a director counts from its start.
        const double from = t.at - terms_.retry_window, born = life_of(t.director, t.at);
        // And one that was long on its way to a node was sent before the window that its tap falls into.
        while (!again.empty() && again.front() <= std::max(from + terms_.network_tolerance, born))
            again.pop_front();
        while (!requests.empty() && requests.front() <= std::max(from - 2 * terms_.network_tolerance, born))
            requests.pop_front();
        const double most =
            terms_.free_retries + terms_.retries_per_request * static_cast<double>(requests.size());
        if (static_cast<double>(again.size()) > most + 1e-9)
            breach(6, t.at,
                   t.director + " made " + std::to_string(again.size()) +
                       " further attempts in a window that allows " + std::to_string(most));
    }

    const std::vector<SocketEvent>& taps_;
    const RuleLimits& terms_;
    const std::vector<Outage>& outages_;
    AuditResult result_;
    std::map<std::string, SocketEvent> twins_;
    std::map<std::string, SocketEvent> asks_;  // by player
    std::map<Session, SocketEvent> out_, ran_;
    std::map<Session, std::pair<SocketEvent, SocketEvent>> pending_overlap_;
    std::map<Attempt, SocketEvent> doubts_;  // paid attempts not proved never to have run
    std::map<std::string, std::map<std::string, double>>
        told_;  // director, node: told not to send since; -1: may
    std::map<std::tuple<std::string, std::string, std::string>, std::map<Attempt, double>> seats_;
    std::map<Attempt, std::pair<std::tuple<std::string, std::string, std::string>, std::string>> seat_of_;
    std::map<std::string, std::deque<double>> requests_, again_;
    std::set<std::string> hung_, joined_;
};

}  // namespace

AuditResult check_rules(const std::vector<SocketEvent>& taps, const RuleLimits& terms,
                        const std::vector<Outage>& outages) {
    return Judge(taps, terms, outages).run();
}

}  // namespace ivyfield::audit
