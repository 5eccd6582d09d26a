// Records what clients sent and received and what media nodes received, and checks it against the platform's
// protocol. Shares no code with the director. Times are milliseconds on the harness's clock.
#pragma once

#include <cstdint>
#include <iomanip>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace ivyfield::soak {

using Time = double;  // ms
using RequestId = std::uint64_t;

// Figures of the platform's protocol.
constexpr Time kSlack = 50;  // tolerance on every time limit
// A request that crosses the close of its connection within this is sent again, once.
constexpr Time kCloseCrossing = 50;
// An answer after the request's deadline earns nothing; later than this after it, the request counts as lost.
constexpr Time kLateAnswer = 500;
constexpr Time kForwardedLate = 100;  // nothing is forwarded this long after the request's end
// The client of a terminated session is notified within kNotifyBound of its node's message about the end, or
// within kUnreportedEndBound of the end itself if the node could not send one.
constexpr Time kNotifyBound = 1000;
constexpr Time kUnreportedEndBound = 8000;

enum class RequestClass { paid, repeatable };
enum class Reply { none, established, rejected, failed };

// One request of a client, including its second transmission if it is sent again.
struct Request {
    RequestId id = 0;
    RequestClass cls = RequestClass::paid;
    int director = 0;
    int incarnation = 0;
    Time sent = 0;
    Time patience = 0;
    bool resent = false;
    bool excused = false;  // its director was killed outright, or the client closed first
    std::optional<Time> cancelled;
    Reply reply = Reply::none;
    Time replied = 0;
    int replies = 0;
    bool ended_by_client = false;
    std::optional<Time> terminated;    // a media node ended the session; its client has to be notified
    std::optional<Time> end_reported;  // when the node sent its message about that end
    std::optional<Time> notified;
    std::optional<Time> over;          // when the process that received it ended
    std::vector<std::string> history;  // with times since the request was sent
};

enum class AttemptEnd { open, answered, never_ran, unknown };

// One set-up that a media node received.
struct Attempt {
    std::string node;
    Time received = 0;
    AttemptEnd end = AttemptEnd::open;
    Time ended = 0;
};

// All requests and attempts of a run, and the faults found in them.
class Ledger {
  public:
    Request& add(Request request) { return requests_[request.id] = request; }
    Request* find(RequestId id) {
        const auto it = requests_.find(id);
        return it == requests_.end() ? nullptr : &it->second;
    }
    void add_history(RequestId id, const std::string& what, Time now) {
        Request* request = find(id);
        if (request) request->history.push_back("+" + std::to_string(now - request->sent) + " " + what);
    }
    void fault(const std::string& what) { faults_.push_back(what); }
    void lost(const Request& request, const std::string& why, Time now) {
        if (request.excused || !reported_.insert(request.id).second) return;
        std::ostringstream text;
        text << std::fixed << std::setprecision(1);
        text << "lost: request " << std::hex << request.id << std::dec << " of director " << request.director
             << " (incarnation " << request.incarnation << "), sent at " << request.sent << ", " << why
             << " at " << now;
        for (const std::string& entry : request.history) text << "; " << entry;
        faults_.push_back(text.str());
    }

    void replied(RequestId id, Reply reply, Time now) {
        Request* request = find(id);
        if (!request) return fault("a reply to a request that was never sent: " + std::to_string(id));
        request->replies += 1;
        if (request->replies > 1) return lost(*request, "answered twice", now);
        request->reply = reply;
        request->replied = now;
        if (now > request->sent + request->patience + kSlack + kLateAnswer && !request->cancelled)
            lost(*request, "answered long after its time", now);
    }

    // `earliest`: when it may have arrived; a node that hung reads late what arrived in the meantime.
    Attempt& received(RequestId id, const std::string& node, Time now, Time earliest) {
        Request* request = find(id);
        auto& attempts = attempts_[id];
        add_history(id, "received by " + node + (earliest < now ? " after a hang" : ""), now);
        if (!request) {
            fault("node " + node + " received a set-up that no client sent: " + std::to_string(id));
        } else {
            check_forwarded(*request, attempts, earliest);
        }
        attempts.push_back({node, now, AttemptEnd::open, 0});
        return attempts.back();
    }
    void attempt_ended(RequestId id, const std::string& node, AttemptEnd end, Time now) {
        auto& attempts = attempts_[id];
        for (auto it = attempts.rbegin(); it != attempts.rend(); ++it) {
            if (it->node != node || it->end != AttemptEnd::open) continue;
            it->end = end;
            it->ended = now;
            static const char* const names[] = {"open", "answered", "turned away", "over"};
            return add_history(id, std::string(names[static_cast<int>(end)]) + " at " + node, now);
        }
    }

    // The process of that incarnation has ended and has lost its sessions.
    void incarnation_over(int director, int incarnation, Time now) {
        for (auto& [id, request] : requests_) {
            if (request.director != director || request.incarnation != incarnation) continue;
            if (!request.over) request.over = now;
        }
    }

    // Reports what is still open once nothing more can arrive.
    void close(Time now) {
        for (const auto& [id, request] : requests_) {
            if (request.reply == Reply::none && !request.cancelled) lost(request, "never answered", now);
            if (request.terminated && !request.notified && !request.ended_by_client &&
                request.reply == Reply::established && request.over.value_or(now) > notify_by(request))
                lost(request, "its end was never told", now);
        }
    }

    const std::vector<std::string>& faults() const { return faults_; }
    std::size_t requests() const { return requests_.size(); }
    std::size_t count(Reply reply) const {
        std::size_t n = 0;
        for (const auto& [id, request] : requests_) n += request.reply == reply;
        return n;
    }
    std::size_t resent() const {
        std::size_t n = 0;
        for (const auto& [id, request] : requests_) n += request.resent;
        return n;
    }
    std::map<RequestId, Request>& all() { return requests_; }

  private:
    // The protocol: within 1 s of the node's release, or within 8 s of the end where none could be sent.
    static Time notify_by(const Request& request) {
        if (request.end_reported) return *request.end_reported + kNotifyBound + kSlack;
        return *request.terminated + kUnreportedEndBound;
    }
    void check_forwarded(const Request& request, const std::vector<Attempt>& attempts, Time now) {
        if (request.cancelled && now > *request.cancelled + kForwardedLate + kSlack)
            lost(request, "forwarded after it was cancelled", now);
        if (request.reply != Reply::none && now > request.replied + kForwardedLate + kSlack)
            lost(request, "forwarded after its answer", now);
        if (request.cls != RequestClass::paid || request.resent) return;
        for (const Attempt& attempt : attempts)
            if (attempt.end != AttemptEnd::never_ran)
                fault("duplicate: paid request " + std::to_string(request.id) + " set up at " + attempt.node +
                      " and again");
    }

    std::map<RequestId, Request> requests_;
    std::map<RequestId, std::vector<Attempt>> attempts_;
    std::set<RequestId> reported_;
    std::vector<std::string> faults_;
};

}  // namespace ivyfield::soak
