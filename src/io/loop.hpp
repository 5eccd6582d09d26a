// The interface between the application code and its environment: clock, timers, byte streams, listeners,
// outgoing connections, datagram sockets and seeded randomness. Code above this header runs unchanged on
// sockets (io/ev) and on simulated time with an in-memory network (io/virtual); it never asks the operating
// system for any of these directly.
//
// Units: times are milliseconds as double, on a monotonic clock that has no meaning outside one machine.
// Threads: none; every callback runs on the loop, one at a time, and may destroy any object.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

namespace ivyfield::io {

using Time = double;  // milliseconds

// A numeric IP address and port. Host names are not resolved: server lists contain addresses.
struct Address {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;

    std::string text() const;  // "127.0.0.1:80", "[::1]:80"
    // Parses the form that text() writes; throws std::invalid_argument with the reason.
    static Address parse(std::string_view text);
    friend bool operator==(const Address& a, const Address& b) {
        return a.port == b.port && a.host == b.host;
    }
    friend bool operator!=(const Address& a, const Address& b) { return !(a == b); }
    friend bool operator<(const Address& a, const Address& b) {
        return a.host != b.host ? a.host < b.host : a.port < b.port;
    }
};

// How a stream ended. The values before `reset` prove that the peer received nothing on the stream.
enum class CloseStatus {
    refused,       // no listener at that address
    unreachable,   // no route, or no answer before the connect timeout
    no_resources,  // this process can't open another socket
    reset,         // connection error, or the peer closed it while our bytes were still in flight
    clean          // both sides have ended their direction
};
const char* name(CloseStatus close_status);

class Stream;

// Receives the events of one stream. on_closed is the last event.
class StreamHandler {
  public:
    virtual ~StreamHandler() = default;
    virtual void on_open() {}                          // a dialled stream is connected
    virtual void on_data(std::string_view bytes) = 0;  // `bytes` are valid during the call only
    virtual void on_end() = 0;                         // the peer ended its direction; we may still write
    virtual void on_flushed() {}                       // everything written has left this process
    virtual void on_closed(CloseStatus close_status) = 0;
};

// One connection. Destroying it closes it at once: unsent bytes are lost, the peer sees a reset, and the
// handler gets no further events.
class Stream {
  public:
    virtual ~Stream() = default;
    virtual void set_handler(StreamHandler* handler) = 0;
    // Buffers the bytes until the peer takes them. pending() is the number of buffered bytes; the owner has
    // to bound it.
    virtual void write(std::string_view bytes) = 0;
    virtual std::size_t pending() const = 0;
    // Ends our direction: no more writes are accepted, pending bytes are still sent, then the peer sees the
    // end.
    virtual void end() = 0;
    // While paused, on_data and on_end are not called; the peer is held back once the buffers are full.
    virtual void pause() = 0;
    virtual void resume() = 0;
    // Delivers, within this call, at most `max_bytes` that have arrived but were not read yet: a connection
    // that looks idle may have a request in its buffer. The handler may destroy the stream.
    virtual void read_available(std::size_t max_bytes) = 0;
    // Whether the peer is known to have ended its direction or the connection, even if bytes that it sent
    // before are still to be read.
    virtual bool has_peer_closed() const = 0;
    virtual Address peer() const = 0;
    virtual Address local() const = 0;
};

// A listening socket. Destroying it closes it.
class Listener {
  public:
    virtual ~Listener() = default;
    virtual Address address() const = 0;  // with the assigned port if port 0 was requested
    // While paused, nothing is accepted; connections wait in the system's backlog.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

// A datagram socket. A datagram that can't be sent is dropped without an error, as on any network.
class DatagramSocket {
  public:
    // `bytes` are valid during the call only.
    using ReceiveHandler = std::function<void(const Address& from, std::string_view bytes)>;
    virtual ~DatagramSocket() = default;
    virtual void send(const Address& to, std::string_view bytes) = 0;
    virtual Address address() const = 0;
};

class Loop;

// Owns a scheduled timer; destroying it or assigning to it cancels the timer.
class Timer {
  public:
    Timer() = default;
    Timer(Loop* loop, std::uint64_t id) : loop_(loop), id_(id) {}
    Timer(Timer&& other) noexcept : loop_(other.loop_), id_(other.id_) { other.loop_ = nullptr; }
    Timer& operator=(Timer&& other) noexcept;
    ~Timer() { stop(); }
    void stop();

  private:
    Loop* loop_ = nullptr;
    std::uint64_t id_ = 0;
};

// The event loop of one process.
class Loop {
  public:
    using Task = std::function<void()>;
    using AcceptHandler = std::function<void(std::unique_ptr<Stream>)>;

    virtual ~Loop() = default;
    // The monotonic time; does not advance during a callback.
    virtual Time now() const = 0;
    // Milliseconds since 1970, for logs and records only: the wall clock may jump.
    virtual double wall_ms() const = 0;
    // Runs the task at that time, never within this call; tasks due at the same time run in the order in
    // which they were scheduled.
    [[nodiscard]] Timer at(Time when, Task task) { return Timer(this, schedule(when, std::move(task))); }
    [[nodiscard]] Timer after(Time delay, Task task) { return at(now() + delay, std::move(task)); }
    // Runs the task as soon as possible, never within this call; it can't be cancelled.
    void post(Task task) { schedule(now(), std::move(task)); }

    // Throws std::runtime_error that names the address if it can't be bound.
    virtual std::unique_ptr<Listener> listen(const Address& address, AcceptHandler on_accept) = 0;
    // Connects to the address. Never fails within the call: errors are reported later by on_closed. Bytes may
    // be written at once.
    virtual std::unique_ptr<Stream> dial(const Address& address, Time timeout, StreamHandler* handler) = 0;

    // Port 0 binds any free port. Throws std::runtime_error that names the address if it can't be bound.
    virtual std::unique_ptr<DatagramSocket> open_datagram_socket(
        const Address& local, DatagramSocket::ReceiveHandler on_receive) = 0;

    // The only source of randomness; seeded when the loop is created.
    virtual std::mt19937_64& random() = 0;

  protected:
    friend class Timer;
    virtual std::uint64_t schedule(Time when, Task task) = 0;
    virtual void cancel(std::uint64_t id) = 0;
};

}  // namespace ivyfield::io
