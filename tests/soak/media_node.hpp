// Emulator of a media node on the platform's binary protocol. A seeded random source decides whether it
// answers, rejects, fails, resets the connection or stays silent, and when it ends a session.
#pragma once

#include <list>
#include <memory>
#include <random>

#include "io/loop.hpp"
#include "relay/message.hpp"
#include "tests/soak/ledger.hpp"

namespace ivyfield::soak {

using relay::MessageType;
using relay::NodeMessage;

// Probabilities of what a node does with a set-up; the others are answered.
struct NodeBehaviour {
    double full = 0.05, error = 0.03, reset = 0.02, silent = 0.02;
    double ends_at_once = 0.05;       // answer and end of the session in one write
    double client_leaves_soon = 0.1;  // ended by its client at the node within milliseconds
    Time least_answer = 1, most_answer = 40;
    Time least_life = 30, most_life = 2500;
};

class MediaNode {
  public:
    // Each director gets an address of its own, so that the node knows which director a connection belongs
    // to.
    MediaNode(io::Loop& loop, std::string name, int directors, std::uint64_t seed, Ledger& ledger)
        : loop_(loop), name_(std::move(name)), random_(seed), ledger_(ledger) {
        for (int k = 0; k < directors; ++k)
            listeners_.push_back(
                loop.listen({"127.0.0.1", 0}, [this, k](auto stream) { accepted(std::move(stream), k); }));
    }

    io::Address address(int director) const { return listeners_.at(director)->address(); }
    const std::string& name() const { return name_; }
    std::size_t playing() const { return sessions_.size(); }
    NodeBehaviour behaviour;

    // Reads and sends nothing for a while, like a hung process.
    void hang(Time duration) {
        // A hang that follows at once continues the previous one: nothing was read in between.
        if (!hanging_ && loop_.now() > hang_ended_ + kCatchUp) hang_began_ = loop_.now();
        hanging_ = true;
        for (const auto& link : links_)
            if (link->stream) link->stream->pause();
        hang_timer_ = loop_.after(duration, [this] {
            hanging_ = false;
            hang_ended_ = loop_.now();
            for (const auto& link : links_)
                if (link->stream) link->stream->resume();
            const auto waiting = std::move(waiting_);
            waiting_.clear();
            for (const auto& task : waiting) task();
        });
    }
    // Resets every connection, as a middlebox does; the sessions continue.
    void reset_connections() {
        for (const auto& link : links_) link->drop();
    }

  private:
    struct Link : io::StreamHandler {
        MediaNode& owner;
        const int director;
        std::unique_ptr<io::Stream> stream;
        relay::FrameDecoder decoder;
        std::set<RequestId> open;
        Link(MediaNode& o, int d) : owner(o), director(d) {}
        void on_data(std::string_view bytes) override {
            while (stream && !bytes.empty()) {
                const auto result = decoder.next(bytes);
                if (!result) return;
                const auto* message = std::get_if<NodeMessage>(&*result);
                if (!message) return owner.ledger_.fault("node " + owner.name_ + " received no message");
                owner.handle_message(*this, *message);
            }
        }
        void on_end() override {
            if (stream) stream->end();
            drop();
        }
        void on_closed(io::CloseStatus) override { drop(); }
        void drop() {
            if (!stream) return;
            stream->set_handler(nullptr);
            owner.loop_.post([keep = std::shared_ptr<io::Stream>(std::move(stream))] {});
            for (const RequestId id : open)
                owner.ledger_.attempt_ended(id, owner.name_, AttemptEnd::unknown, owner.loop_.now());
            open.clear();
        }
    };
    struct Session {
        std::weak_ptr<Link> link;
        int director = 0;
        io::Timer life;
    };

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    Time between(Time least, Time most) { return std::uniform_real_distribution<Time>(least, most)(random_); }

    struct UnreportedEnd {
        RequestId id;
        int cause;
        int director;
    };

    void accepted(std::unique_ptr<io::Stream> stream, int director) {
        links_.remove_if([](const auto& link) { return !link->stream; });
        auto link = std::make_shared<Link>(*this, director);
        link->stream = std::move(stream);
        link->stream->set_handler(link.get());
        if (hanging_) link->stream->pause();
        links_.push_back(link);
        // An end is reported on the next connection too: the one it was reported on may have broken.
        for (auto it = unreported_ends_.begin(); it != unreported_ends_.end();) {
            if (it->director != director) {
                ++it;
                continue;
            }
            send(*link, MessageType::release, it->id, it->cause);
            if (Request* request = ledger_.find(it->id); request && !request->told)
                request->told = loop_.now();
            it = unreported_ends_.erase(it);
        }
    }
    void run_unless_hung(std::function<void()> task) {
        if (hanging_) waiting_.push_back(std::move(task));
        else task();
    }
    void send(Link& link, MessageType type, RequestId id, int cause = -1,
              const std::string& description = "") {
        if (!link.stream) return;
        NodeMessage message;
        message.type = type;
        message.session = id;
        if (cause >= 0) message.cause = cause;
        if (!description.empty())
            message.parameters[static_cast<int>(relay::ParameterCode::sdp)] = description;
        link.stream->write(relay::encode_frame(message));
    }

    void handle_message(Link& link, const NodeMessage& message) {
        switch (message.type) {
            case MessageType::setup:
                return handle_setup(link, message);
            case MessageType::release:
                return handle_release(link, message.session);
            case MessageType::move:
                sessions_.erase(message.session);
                return;
            case MessageType::ping: {
                NodeMessage pong;
                pong.type = MessageType::pong;
                pong.session = message.session;
                pong.cause = relay::kPongPassed;
                pong.parameters[static_cast<int>(relay::ParameterCode::report)] = "inflight:1;x0:0.1;x1:0.1";
                link.stream->write(relay::encode_frame(pong));
                return;
            }
            default:
                return;
        }
    }

    void handle_release(Link& link, RequestId id) {
        if (link.open.erase(id)) ledger_.attempt_ended(id, name_, AttemptEnd::unknown, loop_.now());
        sessions_.erase(id);
    }

    void handle_setup(Link& link, const NodeMessage& message) {
        const RequestId id = message.session;
        const bool read_late = loop_.now() < hang_ended_ + kCatchUp;
        ledger_.received(id, name_, loop_.now(), read_late ? hang_began_ : loop_.now());
        link.open.insert(id);
        const double drawn = chance();
        const NodeBehaviour& b = behaviour;
        std::weak_ptr<Link> weak;
        for (const auto& one : links_)
            if (one.get() == &link) weak = one;
        if (drawn < b.silent) return;
        const Time when = between(b.least_answer, b.most_answer);
        const std::string* offer = message.find(relay::ParameterCode::sdp);
        const std::string answer = "answer to " + (offer ? *offer : "nothing");
        timers_.push_back(loop_.after(when, [this, weak, id, drawn, answer] {
            run_unless_hung([this, weak, id, drawn, answer] { finish_setup(weak, id, drawn, answer); });
        }));
        if (timers_.size() > kTimersKept) timers_.pop_front();
    }

    void finish_setup(const std::weak_ptr<Link>& weak, RequestId id, double drawn,
                      const std::string& answer) {
        const auto link = weak.lock();
        if (!link || !link->stream || !link->open.count(id)) return;  // given up
        const NodeBehaviour& b = behaviour;
        const double full = b.silent + b.full, error = full + b.error, reset = error + b.reset;
        if (drawn < full) return reject(*link, id, relay::kCauseFull, AttemptEnd::never_ran);
        if (drawn < error) return reject(*link, id, relay::kCauseError, AttemptEnd::unknown);
        if (drawn < reset) return link->drop();
        link->open.erase(id);
        ledger_.attempt_ended(id, name_, AttemptEnd::answered, loop_.now());
        send(*link, MessageType::answer, id, -1, answer);
        const double life = chance();
        auto& session = sessions_[id];
        session.link = weak;
        session.director = link->director;
        if (life < b.ends_at_once) return end(id, relay::kCauseGivenUp);
        const bool leaves = life < b.ends_at_once + b.client_leaves_soon;
        session.life =
            loop_.after(leaves ? between(0, 3) : between(b.least_life, b.most_life), [this, id, leaves] {
                const int cause = leaves ? relay::kCauseCancelled : relay::kCauseGivenUp;
                run_unless_hung([this, id, cause] { end(id, cause); });
            });
    }
    void reject(Link& link, RequestId id, int cause, AttemptEnd how) {
        link.open.erase(id);
        ledger_.attempt_ended(id, name_, how, loop_.now());
        send(link, MessageType::release, id, cause);
    }

    // Ends the session and reports it on the connection of its set-up, else on any, else on the next one.
    void end(RequestId id, int cause) {
        const auto it = sessions_.find(id);
        if (it == sessions_.end()) return;
        auto link = it->second.link.lock();
        const auto gone = std::move(it->second);
        sessions_.erase(it);
        if (Request* request = ledger_.find(id); request && cause != relay::kCauseCancelled)
            request->terminated = loop_.now();
        const bool own = link && link->stream;
        if (!own) {
            link = nullptr;
            for (const auto& one : links_)
                if (one->stream && one->director == gone.director) link = one;
        }
        ledger_.add_history(id,
                            "ended at " + name_ + " with " + std::to_string(cause) +
                                (own    ? ""
                                 : link ? ", told on another connection"
                                        : ", to be told on the next"),
                            loop_.now());
        if (Request* request = ledger_.find(id); request && link) request->told = loop_.now();
        if (link) send(*link, MessageType::release, id, cause);
        unreported_ends_.push_back({id, cause, gone.director});
    }

    static constexpr Time kCatchUp = 50;  // after a hang, until everything that arrived in it has been read
    static constexpr std::size_t kTimersKept = 4096;  // longer than any of them runs

    io::Loop& loop_;
    const std::string name_;
    std::mt19937_64 random_;
    Ledger& ledger_;
    std::vector<std::unique_ptr<io::Listener>> listeners_;  // by director
    std::list<std::shared_ptr<Link>> links_;
    std::map<RequestId, Session> sessions_;
    std::vector<UnreportedEnd> unreported_ends_;  // reported on the next connection
    std::list<io::Timer> timers_;
    std::vector<std::function<void()>> waiting_;
    bool hanging_ = false;
    Time hang_began_ = 0, hang_ended_ = -kCatchUp;
    io::Timer hang_timer_;
};

}  // namespace ivyfield::soak
