// An HTTP/1.1 client on io::Loop: pooled connections, limited per address, with results that say whether the
// peer can have seen a request.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "http/parser.hpp"
#include "io/loop.hpp"

namespace ivyfield::http {

// Limits of a client. Times are milliseconds.
struct ClientLimits {
    ParseLimits parse;
    std::size_t max_connections_per_address = 64;  // further calls wait for a connection
    // A connection idle for this long is closed. Shorter than servers keep theirs, so that a request does not
    // meet a connection that its server is closing.
    io::Time idle_timeout = 5000;
};

// How a call ended.
enum class CallOutcome {
    response,         // a complete response was received
    not_connected,    // no connection was established or free in time: the peer saw nothing of the request
    connection_lost,  // the connection ended after the request may have left: the peer may have seen it
    bad_response,     // what was received is not a valid response
    timed_out         // no complete response in time
};
const char* name(CallOutcome outcome);

// The result of a call.
struct CallResult {
    CallOutcome outcome = CallOutcome::connection_lost;
    Response response;     // with CallOutcome::response; the body is empty if it was streamed
    io::Time elapsed = 0;  // from send() to the result
    // With not_connected and connection_lost.
    io::CloseStatus close_status = io::CloseStatus::clean;
};

// Options of a call. Times are milliseconds.
struct CallOptions {
    io::Time connect_timeout = 1000;
    io::Time timeout = 10000;     // of the whole call; 0: none
    bool new_connection = false;  // don't reuse an idle connection: the peer may be closing it just now
    std::function<void(const Response& head)> on_head;
    std::function<void(std::string_view)> on_body;  // gets the body in pieces; the result's body stays empty
};

// A request in progress. Destroying it cancels the call; if it had a connection, that is closed.
class Call {
  public:
    virtual ~Call() = default;
    // True once bytes of the request may have been sent: from then on no failure proves that the peer has not
    // seen it.
    virtual bool sent() const = 0;
};

// Sends requests and pools connections per address.
class Client {
  public:
    using CallHandler = std::function<void(CallResult)>;
    Client(io::Loop& loop, const ClientLimits& limits);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Sends the request. `on_done` is called once, never within this call, unless the Call is destroyed
    // first.
    [[nodiscard]] std::unique_ptr<Call> send(const io::Address& to, Request request, CallOptions options,
                                             CallHandler on_done);
    std::size_t open_connections(const io::Address& to) const;
    std::size_t open_connections() const;    // to all addresses
    void close_idle(const io::Address& to);  // closes the idle connections to that address

    struct Pool;
    struct PooledConnection;
    class PendingCall;

  private:
    friend struct PooledConnection;
    friend class PendingCall;
    void dispatch(Pool& pool);
    void schedule_dispatch(const io::Address& to);

    io::Loop& loop_;
    ClientLimits limits_;
    std::map<io::Address, std::unique_ptr<Pool>> pools_;
    // Expires with the client, so that tasks that are still on the loop can detect it.
    std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

}  // namespace ivyfield::http
