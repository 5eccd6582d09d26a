// The clients of one director. They keep connections open, send set-ups on them at random times until the
// process has ended, cancel some, and resend once what crossed the close of a connection.
#pragma once

#include <list>
#include <memory>
#include <random>

#include "relay/message.hpp"
#include "tests/relay/rig.hpp"
#include "tests/soak/director.hpp"
#include "tests/soak/ledger.hpp"

namespace ivyfield::soak {

using relay::ViewerMessage;

// Number of connections, and times and probabilities of what clients do.
struct ClientSettings {
    int connections = 6;
    Time least_gap = 2, most_gap = 30;  // between two set-ups of one connection
    Time least_patience = 300, most_patience = 2500;
    double paid = 0.5, cancels = 0.05, hangs_up = 0.2;
};

// All clients of one director, on a pool of connections.
class ClientPool {
  public:
    ClientPool(io::Loop& loop, DirectorProcess& director, std::uint64_t seed, Ledger& ledger,
               const ClientSettings& settings, std::function<Time()> lateness)
        : loop_(loop),
          director_(director),
          random_(seed),
          ledger_(ledger),
          settings_(settings),
          lateness_(std::move(lateness)) {}

    // The director is in service: connections are opened, and replaced when one closes.
    void begin() {
        accepting_connections_ = true;
        sending_ = true;
        fill();
    }
    // No new connections from now on; those that are open are used until they end.
    void no_new_connections() { accepting_connections_ = false; }
    void no_new_requests() { sending_ = false; }
    // The process has ended; its unanswered requests were checked when their connections closed.
    void forget_connections() {
        accepting_connections_ = sending_ = false;
        connections_.remove_if([](const auto& connection) { return !connection->stream; });
    }
    std::size_t open_connections() const {
        std::size_t n = 0;
        for (const auto& connection : connections_) n += connection->stream != nullptr;
        return n;
    }

  private:
    // One connection to the director; `pending` has the requests sent on it and not answered.
    struct Connection : io::StreamHandler {
        ClientPool& owner;
        std::unique_ptr<io::Stream> stream;
        relay::LineDecoder decoder;
        std::set<RequestId> pending;
        std::uint64_t number = 0;
        std::string first_line;  // a resent request, written once the connection is open
        bool is_open = false;
        io::Timer next;
        explicit Connection(ClientPool& pool) : owner(pool) {}
        void on_open() override { owner.handle_opened(*this); }
        void on_data(std::string_view bytes) override {
            while (!bytes.empty()) {
                const auto line = decoder.next(bytes);
                if (line) owner.handle_line(*this, *line);
                else if (decoder.is_too_long()) return owner.ledger_.fault("a line without end");
            }
        }
        void on_end() override {
            if (stream) stream->end();
            owner.handle_closed(*this);
        }
        void on_closed(io::CloseStatus) override { owner.handle_closed(*this); }
    };

    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    Time between(Time least, Time most) { return std::uniform_real_distribution<Time>(least, most)(random_); }

    void fill() {
        while (accepting_connections_ && open_connections() < static_cast<std::size_t>(settings_.connections))
            dial("");
    }
    Connection& dial(const std::string& first_line) {
        connections_.remove_if([](const auto& connection) { return !connection->stream; });
        connections_.push_back(std::make_shared<Connection>(*this));
        Connection& connection = *connections_.back();
        connection.number = ++connection_count_;
        connection.first_line = first_line;
        connection.stream = loop_.dial(director_.address(), kDialTimeout, &connection);
        return connection;
    }
    void handle_opened(Connection& connection) {
        connection.is_open = true;
        if (!connection.first_line.empty()) connection.stream->write(connection.first_line);
        schedule(connection);
    }
    void schedule(Connection& connection) {
        connection.next = loop_.after(between(settings_.least_gap, settings_.most_gap), [this, &connection] {
            if (!connection.stream || !sending_) return;
            send_set_up(connection);
            schedule(connection);
        });
    }
    std::string make_request_line(const Request& request) const {
        const Time left = std::max<Time>(1, request.sent + request.patience - loop_.now());
        return relaytest::make_setup_line(request.id, request.cls == RequestClass::paid ? "paid" : "free one",
                                          static_cast<int>(left)) +
               "\n";
    }
    void send_set_up(Connection& connection) {
        Request request;
        request.id = random_();
        request.cls = chance() < settings_.paid ? RequestClass::paid : RequestClass::repeatable;
        request.director = director_.index();
        request.incarnation = director_.incarnation();
        request.sent = loop_.now();
        request.patience = between(settings_.least_patience, settings_.most_patience);
        ledger_.add(request);
        connection.pending.insert(request.id);
        connection.stream->write(make_request_line(request));
        if (chance() >= settings_.cancels) return;
        keep_timer(loop_.after(between(1, 60), [this, id = request.id] { cancel(id); }));
    }
    // Cancels the set-up on its own connection.
    void cancel(RequestId id) {
        Request* request = ledger_.find(id);
        if (!request || request->reply != Reply::none) return;
        for (const auto& connection : connections_) {
            if (!connection->stream || !connection->pending.erase(id)) continue;
            request->cancelled = loop_.now();
            ledger_.add_history(id, "cancelled on connection " + std::to_string(connection->number),
                                loop_.now());
            connection->stream->write(relaytest::make_release_line(id, relay::kCauseGivenUp) + "\n");
            return;
        }
    }
    // Ends an established session, on any connection.
    void end_by_client(RequestId id) {
        Request* request = ledger_.find(id);
        if (!request || request->notified) return;
        for (const auto& connection : connections_) {
            if (!connection->stream || !connection->is_open) continue;
            request->ended_by_client = true;
            ledger_.add_history(id, "hung up on connection " + std::to_string(connection->number),
                                loop_.now());
            connection->stream->write(relaytest::make_release_line(id, relay::kCauseGivenUp) + "\n");
            return;
        }
    }

    void handle_line(Connection& connection, const std::string& text) {
        const auto read = relay::parse_line(text);
        const auto* message = std::get_if<ViewerMessage>(&read);
        if (!message) return ledger_.fault("a client received what can't be read: " + text);
        Request* request = ledger_.find(message->session);
        if (message->type == relay::MessageType::released || message->type == relay::MessageType::pong)
            return;
        ledger_.add_history(message->session,
                            std::string(relay::name(message->type)) + " " +
                                std::to_string(message->cause.value_or(0)) + " on connection " +
                                std::to_string(connection.number),
                            loop_.now());
        if (!request)
            return ledger_.fault("a client received a message for a request it never sent: " + text);
        const bool open = request->reply == Reply::none;
        if (message->type == relay::MessageType::answer) {
            connection.pending.erase(message->session);
            const std::string wanted = "answer to offer " + relay::to_hex(message->session);
            if (message->sdp.value_or("") != wanted) ledger_.lost(*request, "answered wrongly", loop_.now());
            ledger_.replied(message->session, Reply::established, loop_.now());
            if (chance() < settings_.hangs_up)
                keep_timer(
                    loop_.after(between(20, 600), [this, id = message->session] { end_by_client(id); }));
            return;
        }
        if (message->type == relay::MessageType::release && open) {
            connection.pending.erase(message->session);
            const bool rejected = message->cause == 34 || message->cause == 42 || message->cause == 102;
            return ledger_.replied(message->session, rejected ? Reply::rejected : Reply::failed, loop_.now());
        }
        request->notified = loop_.now();
    }

    // Requests pending on a closed connection either crossed the close or are lost.
    void handle_closed(Connection& connection) {
        if (!connection.stream) return;
        connection.next.stop();
        connection.stream->set_handler(nullptr);
        loop_.post([closed_stream = std::shared_ptr<io::Stream>(std::move(connection.stream))] {});
        const auto pending = std::move(connection.pending);
        connection.pending.clear();
        // Sending a request again removes closed connections, this one included.
        const std::uint64_t number = connection.number;
        for (const RequestId id : pending) check_unanswered(number, id);
        loop_.post([this] { fill(); });
    }
    void check_unanswered(std::uint64_t connection_number, RequestId id) {
        Request& request = *ledger_.find(id);
        if (request.cancelled || request.reply != Reply::none) return;
        if (director_.killed() && request.incarnation == director_.incarnation()) {
            request.excused = true;
            return;
        }
        const Time ago = loop_.now() - request.sent;
        if (request.resent) return ledger_.lost(request, "sent again and closed again", loop_.now());
        if (ago > kCloseCrossing + lateness_())
            return ledger_.lost(request,
                                "its connection closed unanswered after " + std::to_string(ago) + " ms",
                                loop_.now());
        request.resent = true;
        ledger_.add_history(id, "connection " + std::to_string(connection_number) + " closed, sent again",
                            loop_.now());
        request.sent = loop_.now();
        dial(make_request_line(request)).pending.insert(id);
    }

    void keep_timer(io::Timer timer) {
        timers_.push_back(std::move(timer));
        if (timers_.size() > kTimersKept) timers_.pop_front();
    }

    static constexpr Time kDialTimeout = 1000;
    static constexpr std::size_t kTimersKept = 8192;  // longer than any of them runs

    io::Loop& loop_;
    DirectorProcess& director_;
    std::mt19937_64 random_;
    Ledger& ledger_;
    const ClientSettings settings_;
    std::function<Time()> lateness_;
    std::list<std::shared_ptr<Connection>> connections_;
    std::list<io::Timer> timers_;
    std::uint64_t connection_count_ = 0;
    bool accepting_connections_ = false, sending_ = false;
};

}  // namespace ivyfield::soak
