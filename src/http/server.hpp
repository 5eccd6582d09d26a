// An HTTP/1.1 server over the seam: keep-alive, pipelining (answers in the order of the requests), chunked
// bodies both ways, and a bound on everything that a peer controls.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "http/parser.hpp"
#include "io/loop.hpp"

namespace ivyfield::http {

struct ServerLimits {
    ParseLimits parse;
    std::size_t max_connections = 20000;  // further ones wait in the system's queue
    std::size_t max_pipelined_requests =
        8;  // requests of one connection that wait for answers; then reading stops
    std::size_t max_unsent_bytes =
        1024 * 1024;                 // unsent bytes of one connection before Exchange::write says false
    io::Time idle_timeout = 60000;   // between two messages with nothing owed
    io::Time head_timeout = 10000;   // from a request's first byte to the end of its head
    io::Time body_timeout = 30000;   // from there to the end of its body
    io::Time write_timeout = 30000;  // a peer that takes none of its answer for so long is cut off
    io::Time linger_timeout = 1000;  // after an error answer, for the peer to read it
};

struct ServerCounts {
    std::uint64_t connections = 0, requests = 0, rejected = 0;  // refused: answered 4xx by the server itself
    std::uint64_t timed_out = 0;                                // cut off for slowness, either way
};

class Connection;

// One request and its answer. Kept by whoever is to answer; an exchange that is dropped unanswered is
// answered 500, so that no peer waits for ever.
class Exchange {
  public:
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    const Request& request() const { return request_; }
    const io::Address& peer() const { return peer_; }
    // The whole answer; once.
    void respond(const Response& response);
    // Or in pieces: start, write as often as wanted, finish. A length in the headers is kept to by the
    // caller; without one the body is chunked.
    void start(int status, Headers headers);
    bool write(std::string_view bytes);  // false: wait for on_writable before the next
    void finish();
    // Closes the connection as if this process had died.
    void abort_connection();

    bool response_started() const { return started_; }
    bool is_disconnected() const { return connection_ == nullptr; }  // the peer is away: answers are dropped
    // The peer has closed the connection before the whole answer was written.
    void on_disconnect(std::function<void()> call) { on_disconnect_ = std::move(call); }
    void on_writable(std::function<void()> call) { on_writable_ = std::move(call); }

  private:
    friend class Connection;
    Exchange(Connection* connection, Request request, io::Address peer, bool keep, int minor)
        : connection_(connection),
          request_(std::move(request)),
          peer_(std::move(peer)),
          keep_alive_(keep),
          minor_(minor) {}
    void put(std::string_view bytes);

    Connection* connection_;
    Request request_;
    io::Address peer_;
    bool keep_alive_;
    int minor_;
    bool started_ = false, finished_ = false, chunked_ = false, bodiless_ = false;
    std::string waiting_;  // written before it was this exchange's turn
    std::function<void()> on_disconnect_, on_writable_;
};
using ExchangePtr = std::shared_ptr<Exchange>;

class Server {
  public:
    using Handler = std::function<void(const ExchangePtr&)>;
    // Throws std::runtime_error when the address can't be had.
    Server(io::Loop& loop, const io::Address& address, const ServerLimits& limits, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    io::Address address() const { return listener_ ? listener_->address() : io::Address{}; }
    std::size_t open_connections() const { return connections_.size(); }
    const ServerCounts& counts() const { return counts_; }
    void stop_listening() { listener_.reset(); }
    // Ends connections that owe nothing, and each other one after its last answer. New ones are still taken,
    // so that what the system has accepted is answered; stop_listening() ends that.
    void drain();
    // For stand-ins that stand still: nothing is accepted or read until resume.
    void pause();
    void resume();

  private:
    friend class Connection;
    void remove(std::uint64_t id);
    std::string_view date();
    std::weak_ptr<int> life() const { return life_; }

    io::Loop& loop_;
    ServerLimits limits_;
    Handler handler_;
    ServerCounts counts_;
    std::uint64_t next_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
    std::unique_ptr<io::Listener> listener_;
    bool draining_ = false, frozen_ = false;
    std::int64_t date_second_ = -1;
    std::string date_;
    std::shared_ptr<int> life_ = std::make_shared<int>(0);  // tasks on the loop may come after our end
};

// Head of a message as bytes. Chunked where the caller says so; no check of the values but for line ends,
// which would split the message: a value with CR or LF is an assertion.
std::string serialize_head(const Request& request, bool with_length);
std::string serialize_head(int status, const Headers& headers);

}  // namespace ivyfield::http
