// An HTTP/1.1 client over the seam: pooled connections, capped for each address, with results that say what
// the peer can have seen of a request.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "http/parser.hpp"
#include "io/loop.hpp"

namespace ivyfield::http {

struct ClientLimits {
    ParseLimits parse;
    std::size_t max_connections_per_address = 64;  // open connections; further calls wait for one
    io::Time idle_timeout = 5000;  // a connection unused for so long is closed: less than servers keep theirs
};

// How a call ended.
enum class CallOutcome {
    response,         // a whole answer came
    not_connected,    // no connection was made or came free in time: the peer has seen nothing of the request
    connection_lost,  // the connection ended after the request may have left: the peer may have seen it
    bad_response,     // something came that is no answer
    timed_out         // no whole answer in time
};
const char* name(CallOutcome outcome);

struct CallResult {
    CallOutcome outcome = CallOutcome::connection_lost;
    Response response;  // with CallOutcome::response; the body is empty if it was streamed
    io::Time elapsed = 0;
    io::CloseReason close_reason = io::CloseReason::clean;  // why, with not_connected and broke
};

struct CallOptions {
    io::Time connect_timeout = 1000;
    io::Time timeout = 10000;     // of the whole call; 0: none
    bool new_connection = false;  // on a new connection: an idle one may be ending at the other side just now
    std::function<void(const Response& head)> on_head;
    std::function<void(std::string_view)> on_body;  // the body in pieces instead of in the result
};

// One request under way. Destroying it calls it off; the connection is closed if the request had left.
class Call {
  public:
    virtual ~Call() = default;
    // The request's bytes may have left: what ends the call now proves nothing.
    virtual bool sent() const = 0;
};

class Client {
  public:
    using Done = std::function<void(CallResult)>;
    Client(io::Loop& loop, const ClientLimits& limits);
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // `done` is called once, never within this call, unless the Call is destroyed first.
    [[nodiscard]] std::unique_ptr<Call> send(const io::Address& to, Request request, CallOptions options,
                                             Done done);
    std::size_t open_connections(const io::Address& to) const;
    std::size_t open_connections() const;
    void close_idle(const io::Address& to);

    struct Pool;
    struct Link;
    class Pending;

  private:
    friend struct Link;
    friend class Pending;
    void serve(Pool& pool);
    void serve_later(const io::Address& to);

    io::Loop& loop_;
    ClientLimits limits_;
    std::map<io::Address, std::unique_ptr<Pool>> pools_;
    std::shared_ptr<int> life_ = std::make_shared<int>(0);  // tasks on the loop may come after our end
};

}  // namespace ivyfield::http
