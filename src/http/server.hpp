// An HTTP/1.1 server on io::Loop: keep-alive, pipelining (responses in the order of the requests), chunked
// bodies in both directions, and a limit on everything that a peer controls.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "decide/memory_budget.hpp"
#include "http/parser.hpp"
#include "io/loop.hpp"

namespace ivyfield::http {

// Limits of a server. Times are milliseconds.
struct ServerLimits {
    ParseLimits parse;
    std::size_t max_connections = 20000;         // further ones wait in the system's backlog
    std::size_t max_pipelined_requests = 8;      // unanswered requests of a connection before reading stops
    std::size_t memory = 256 * 1024 * 1024;      // of the process; see decide::MemoryBudget
    std::size_t max_unsent_bytes = 1024 * 1024;  // of a connection, before Exchange::write returns false
    io::Time idle_timeout = 60000;               // between two messages with no response pending
    io::Time head_timeout = 10000;               // from a request's first byte to the end of its head
    io::Time body_timeout = 30000;               // from there to the end of its body
    io::Time write_timeout = 30000;              // without write progress, the connection is closed
    io::Time linger_timeout = 1000;              // after our end was sent, for the peer to read the response
};

// Counters since the server was created.
struct ServerCounts {
    std::uint64_t connections = 0, requests = 0, rejected = 0;  // rejected: answered 4xx by the server itself
    std::uint64_t over_memory = 0;  // requests rejected because clients hold too much
    std::uint64_t timed_out = 0;    // connections closed because the peer sent or received too slowly
};

class Connection;

// One request and its response. Owned by the code that responds; an exchange that is destroyed unanswered is
// answered with 500, so that no peer waits forever.
class Exchange {
  public:
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    const Request& request() const { return request_; }
    const io::Address& peer() const { return peer_; }
    // Sends the whole response; at most once.
    void respond(const Response& response);
    // Or sends it in pieces: start, any number of writes, finish. If the headers contain a Content-Length,
    // the caller has to write that many bytes; without one the body is chunked.
    void start(int status, Headers headers);
    bool write(std::string_view bytes);  // false: wait for on_writable before the next write
    void finish();
    // Closes the connection with a reset, as if this process had crashed.
    void abort_connection();

    bool response_started() const { return started_; }
    bool is_disconnected() const { return connection_ == nullptr; }  // responses are then discarded
    // Called when the peer closes the connection before the whole response was written.
    void on_disconnect(std::function<void()> call) { on_disconnect_ = std::move(call); }
    // Called when all bytes written so far were sent, while this exchange's response is the one being sent.
    void on_writable(std::function<void()> call) { on_writable_ = std::move(call); }

  private:
    friend class Connection;
    Exchange(Connection* connection, Request request, io::Address peer, bool keep_alive, int minor_version)
        : connection_(connection),
          request_(std::move(request)),
          peer_(std::move(peer)),
          keep_alive_(keep_alive),
          minor_version_(minor_version) {}
    void enqueue(std::string_view bytes);

    Connection* connection_;
    Request request_;
    io::Address peer_;
    bool keep_alive_;
    int minor_version_;
    bool started_ = false, finished_ = false, chunked_ = false, no_body_ = false;
    std::string buffered_;  // written before the responses to earlier requests were complete
    std::function<void()> on_disconnect_, on_writable_;
};
using ExchangePtr = std::shared_ptr<Exchange>;

// Accepts connections and passes their requests to a handler.
class Server {
  public:
    using Handler = std::function<void(const ExchangePtr&)>;
    // Throws std::runtime_error if the address can't be bound.
    Server(io::Loop& loop, const io::Address& address, const ServerLimits& limits, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    io::Address address() const { return listener_ ? listener_->address() : io::Address{}; }
    std::size_t open_connections() const { return connections_.size(); }
    const ServerCounts& counts() const { return counts_; }
    // Memory held for messages that are not complete and for responses that are not read, in bytes.
    std::size_t held_bytes() const { return held_bytes_; }
    void stop_listening() { listener_.reset(); }
    // Closes connections without pending responses, and each other one after its last response. New ones are
    // still accepted, so that connections in the system's backlog are answered; stop_listening() ends that.
    void drain();
    // For simulated nodes that hang: nothing is accepted or read until resume().
    void pause();
    void resume();

  private:
    friend class Connection;
    void remove(std::uint64_t id);
    std::string_view date();
    std::weak_ptr<int> lifetime() const { return lifetime_; }

    io::Loop& loop_;
    ServerLimits limits_;
    decide::MemoryBudget memory_budget_;
    std::size_t held_bytes_ = 0;
    Handler handler_;
    ServerCounts counts_;
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
    std::unique_ptr<io::Listener> listener_;
    bool draining_ = false, paused_ = false;
    std::int64_t date_second_ = -1;
    std::string date_;
    // Expires with the server, so that tasks that are still on the loop can detect it.
    std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

// The head of a message as bytes. Adds no Transfer-Encoding. Header values are only checked for characters
// that would split the message: CR, LF or NUL throws std::logic_error.
std::string serialize_head(const Request& request, bool with_length);
std::string serialize_head(int status, const Headers& headers);

}  // namespace ivyfield::http
