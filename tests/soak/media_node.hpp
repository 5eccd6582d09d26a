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

// One emulated media node, to which all directors connect. It records attempts and ends in the ledger.
class MediaNode {
  public:
    // Each director gets an address of its own, so that the node knows which director a connection belongs
    // to.
    MediaNode(io::Loop& loop, std::string name, int directors, std::uint64_t seed, Ledger& ledger)
        : loop_(loop), name_(std::move(name)), random_(seed), ledger_(ledger) {
        for (int k = 0; k < directors; ++k)
            listeners_.push_back(loop.listen(
                {"127.0.0.1", 0}, [this, k](auto stream) { handle_accepted(std::move(stream), k); }));
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
        for (const auto& connection : connections_)
            if (connection->stream) connection->stream->pause();
        hang_timer_ = loop_.after(duration, [this] {
            hanging_ = false;
            hang_ended_ = loop_.now();
            for (const auto& connection : connections_)
                if (connection->stream) connection->stream->resume();
            const auto waiting = std::move(waiting_);
            waiting_.clear();
            for (const auto& task : waiting) task();
        });
    }
    // Resets every connection, as a middlebox does; the sessions continue.
    void reset_connections() {
        for (const auto& connection : connections_) connection->drop();
    }

  private:
    // A connection of one director; `pending` has the set-ups received on it and not answered.
    struct Connection : io::StreamHandler {
        MediaNode& owner;
        const int director;
        std::unique_ptr<io::Stream> stream;
        relay::FrameDecoder decoder;
        std::set<RequestId> pending;
        Connection(MediaNode& node, int director_index) : owner(node), director(director_index) {}
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
            owner.loop_.post([closed_stream = std::shared_ptr<io::Stream>(std::move(stream))] {});
            for (const RequestId id : pending)
                owner.ledger_.attempt_ended(id, owner.name_, AttemptEnd::unknown, owner.loop_.now());
            pending.clear();
        }
    };
    struct Session {
        std::weak_ptr<Connection> connection;
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

    void handle_accepted(std::unique_ptr<io::Stream> stream, int director) {
        connections_.remove_if([](const auto& connection) { return !connection->stream; });
        auto connection = std::make_shared<Connection>(*this, director);
        connection->stream = std::move(stream);
        connection->stream->set_handler(connection.get());
        if (hanging_) connection->stream->pause();
        connections_.push_back(connection);
        // An end is reported on the next connection too: the one it was reported on may have broken.
        for (auto it = unreported_ends_.begin(); it != unreported_ends_.end();) {
            if (it->director != director) {
                ++it;
                continue;
            }
            send(*connection, MessageType::release, it->id, it->cause);
            if (Request* request = ledger_.find(it->id); request && !request->end_reported)
                request->end_reported = loop_.now();
            it = unreported_ends_.erase(it);
        }
    }
    void run_unless_hung(std::function<void()> task) {
        if (hanging_) waiting_.push_back(std::move(task));
        else task();
    }
    void send(Connection& connection, MessageType type, RequestId id, int cause = -1,
              const std::string& description = "") {
        if (!connection.stream) return;
        NodeMessage message;
        message.type = type;
        message.session = id;
        if (cause >= 0) message.cause = cause;
        if (!description.empty())
            message.parameters[static_cast<int>(relay::ParameterCode::sdp)] = description;
        connection.stream->write(relay::encode_frame(message));
    }

    void handle_message(Connection& connection, const NodeMessage& message) {
        switch (message.type) {
            case MessageType::setup:
                return handle_setup(connection, message);
            case MessageType::release:
                return handle_release(connection, message.session);
            case MessageType::move:
                sessions_.erase(message.session);
                return;
            case MessageType::ping: {
                NodeMessage pong;
                pong.type = MessageType::pong;
                pong.session = message.session;
                pong.cause = relay::kPongPassed;
                pong.parameters[static_cast<int>(relay::ParameterCode::report)] = "inflight:1;x0:0.1;x1:0.1";
                connection.stream->write(relay::encode_frame(pong));
                return;
            }
            default:
                return;
        }
    }

    void handle_release(Connection& connection, RequestId id) {
        if (connection.pending.erase(id)) ledger_.attempt_ended(id, name_, AttemptEnd::unknown, loop_.now());
        sessions_.erase(id);
    }

    void handle_setup(Connection& connection, const NodeMessage& message) {
        const RequestId id = message.session;
        const bool read_late = loop_.now() < hang_ended_ + kCatchUp;
        ledger_.received(id, name_, loop_.now(), read_late ? hang_began_ : loop_.now());
        connection.pending.insert(id);
        const double drawn = chance();
        const NodeBehaviour& params = behaviour;
        std::weak_ptr<Connection> weak_connection;
        for (const auto& one : connections_)
            if (one.get() == &connection) weak_connection = one;
        if (drawn < params.silent) return;
        const Time when = between(params.least_answer, params.most_answer);
        const std::string* offer = message.find(relay::ParameterCode::sdp);
        const std::string answer = "answer to " + (offer ? *offer : "nothing");
        timers_.push_back(loop_.after(when, [this, weak_connection, id, drawn, answer] {
            run_unless_hung([this, weak_connection, id, drawn, answer] {
                finish_setup(weak_connection, id, drawn, answer);
            });
        }));
        if (timers_.size() > kTimersKept) timers_.pop_front();
    }

    void finish_setup(const std::weak_ptr<Connection>& weak_connection, RequestId id, double drawn,
                      const std::string& answer) {
        const auto connection = weak_connection.lock();
        if (!connection || !connection->stream || !connection->pending.count(id)) return;  // given up
        const NodeBehaviour& params = behaviour;
        const double full = params.silent + params.full, error = full + params.error,
                     reset = error + params.reset;
        if (drawn < full) return reject(*connection, id, relay::kCauseFull, AttemptEnd::never_ran);
        if (drawn < error) return reject(*connection, id, relay::kCauseError, AttemptEnd::unknown);
        if (drawn < reset) return connection->drop();
        connection->pending.erase(id);
        ledger_.attempt_ended(id, name_, AttemptEnd::answered, loop_.now());
        send(*connection, MessageType::answer, id, -1, answer);
        const double life = chance();
        auto& session = sessions_[id];
        session.connection = weak_connection;
        session.director = connection->director;
        if (life < params.ends_at_once) return end(id, relay::kCauseGivenUp);
        const bool leaves = life < params.ends_at_once + params.client_leaves_soon;
        session.life = loop_.after(
            leaves ? between(0, 3) : between(params.least_life, params.most_life), [this, id, leaves] {
                const int cause = leaves ? relay::kCauseCancelled : relay::kCauseGivenUp;
                run_unless_hung([this, id, cause] { end(id, cause); });
            });
    }
    void reject(Connection& connection, RequestId id, int cause, AttemptEnd how) {
        connection.pending.erase(id);
        ledger_.attempt_ended(id, name_, how, loop_.now());
        send(connection, MessageType::release, id, cause);
    }

    // Ends the session and reports it on the connection of its set-up, else on any, else on the next one.
    void end(RequestId id, int cause) {
        const auto it = sessions_.find(id);
        if (it == sessions_.end()) return;
        auto connection = it->second.connection.lock();
        const auto ended_session = std::move(it->second);
        sessions_.erase(it);
        if (Request* request = ledger_.find(id); request && cause != relay::kCauseCancelled)
            request->terminated = loop_.now();
        const bool on_own_connection = connection && connection->stream;
        if (!on_own_connection) {
            connection = nullptr;
            for (const auto& one : connections_)
                if (one->stream && one->director == ended_session.director) connection = one;
        }
        ledger_.add_history(id,
                            "ended at " + name_ + " with " + std::to_string(cause) +
                                (on_own_connection ? ""
                                 : connection      ? ", told on another connection"
                                                   : ", to be told on the next"),
                            loop_.now());
        if (Request* request = ledger_.find(id); request && connection) request->end_reported = loop_.now();
        if (connection) send(*connection, MessageType::release, id, cause);
        unreported_ends_.push_back({id, cause, ended_session.director});
    }

    static constexpr Time kCatchUp = 50;  // after a hang, until everything that arrived in it has been read
    static constexpr std::size_t kTimersKept = 4096;  // longer than any of them runs

    io::Loop& loop_;
    const std::string name_;
    std::mt19937_64 random_;
    Ledger& ledger_;
    std::vector<std::unique_ptr<io::Listener>> listeners_;  // by director
    std::list<std::shared_ptr<Connection>> connections_;
    std::map<RequestId, Session> sessions_;
    std::vector<UnreportedEnd> unreported_ends_;  // reported on the next connection
    std::list<io::Timer> timers_;
    std::vector<std::function<void()>> waiting_;
    bool hanging_ = false;
    Time hang_began_ = 0, hang_ended_ = -kCatchUp;
    io::Timer hang_timer_;
};

}  // namespace ivyfield::soak
