// The seam between everything that acts and the world: clock, timers, byte streams, listeners, dialling and
// seeded randomness. Code above this header runs unchanged on sockets (io/ev) and on simulated time with an
// in-memory network (io/virtual); it never asks the operating system for any of these.
//
// Units: times are milliseconds as double, on a clock that never goes back and has no meaning outside one
// machine. Threads: none; every callback runs on the loop, one at a time, and may destroy any object.
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

// A numeric IP address and port. Names are not resolved: a list of servers names addresses.
struct Address {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;

    std::string text() const;  // "127.0.0.1:80", "[::1]:80"
    // Reads the form that text() writes; throws std::invalid_argument that names what is wrong.
    static Address parse(std::string_view text);
    friend bool operator==(const Address& a, const Address& b) {
        return a.port == b.port && a.host == b.host;
    }
    friend bool operator!=(const Address& a, const Address& b) { return !(a == b); }
    friend bool operator<(const Address& a, const Address& b) {
        return a.host != b.host ? a.host < b.host : a.port < b.port;
    }
};

// Why a stream is over. Those before `reset` prove that the peer received nothing from it.
enum class CloseReason {
    refused,       // nobody listens there
    unreachable,   // no way there, or no answer before the dial's time was up
    no_resources,  // this process may not open another
    reset,         // broke, or the peer closed it while bytes of ours were under way
    clean          // both sides have ended
};
const char* name(CloseReason why);

class Stream;

// What a stream tells its owner. After on_closed nothing more comes.
class StreamHandler {
  public:
    virtual ~StreamHandler() = default;
    virtual void on_open() {}                          // a dialled stream is connected
    virtual void on_data(std::string_view bytes) = 0;  // valid during the call only
    virtual void on_end() = 0;                         // the peer sends no more; we still may
    virtual void on_flushed() {}                       // everything written has left this process
    virtual void on_closed(CloseReason why) = 0;
};

// One connection. Destroying it closes at once, unsent bytes are lost and the peer sees a reset; the
// handler is told nothing then.
class Stream {
  public:
    virtual ~Stream() = default;
    virtual void set_handler(StreamHandler* handler) = 0;
    // Bytes are kept until the peer takes them; pending() is how many, and the owner bounds it.
    virtual void write(std::string_view bytes) = 0;
    virtual std::size_t pending() const = 0;
    // No more writes; what is pending still leaves, then the peer sees our end.
    virtual void end() = 0;
    // While paused no on_data and no on_end come, and the peer feels it once buffers are full.
    virtual void pause() = 0;
    virtual void resume() = 0;
    // Hands over, within this call, what has arrived and was not read yet, as far as one read takes it: a
    // connection that looks idle may have a request in its buffer. The handler may destroy the stream.
    virtual void read_available() = 0;
    virtual Address peer() const = 0;
    virtual Address local() const = 0;
};

class Listener {
  public:
    virtual ~Listener() = default;
    virtual Address address() const = 0;  // with the port chosen, where 0 was asked
    // While paused nothing is accepted; connections wait in the system's queue.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

// One socket for datagrams. What can't be sent is lost without a word, as on any network.
class DatagramSocket {
  public:
    using ReceiveHandler =
        std::function<void(const Address& from, std::string_view bytes)>;  // bytes: during the call
    virtual ~DatagramSocket() = default;
    virtual void send(const Address& to, std::string_view bytes) = 0;
    virtual Address address() const = 0;
};

class Loop;

// A timer that is called off when it is destroyed or set anew.
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

class Loop {
  public:
    using Task = std::function<void()>;
    using AcceptHandler = std::function<void(std::unique_ptr<Stream>)>;

    virtual ~Loop() = default;
    // Stands still during a callback.
    virtual Time now() const = 0;
    // Milliseconds since 1970, for logs and records only: it may jump.
    virtual double wall_ms() const = 0;
    // Runs the task at that time, never within this call; tasks of one time run in the order asked.
    [[nodiscard]] Timer at(Time when, Task task) { return Timer(this, schedule(when, std::move(task))); }
    [[nodiscard]] Timer after(Time delay, Task task) { return at(now() + delay, std::move(task)); }
    // Runs the task soon, for certain.
    void post(Task task) { schedule(now(), std::move(task)); }

    // Throws std::runtime_error that names the address when it can't be had.
    virtual std::unique_ptr<Listener> listen(const Address& address, AcceptHandler accept) = 0;
    // Never fails in the call: what goes wrong comes as on_closed, later. Bytes may be written at once.
    virtual std::unique_ptr<Stream> dial(const Address& address, Time timeout, StreamHandler* handler) = 0;

    // Port 0: any that is free. Throws std::runtime_error that names the address when it can't be had.
    virtual std::unique_ptr<DatagramSocket> open_datagram_socket(const Address& local,
                                                                 DatagramSocket::ReceiveHandler heard) = 0;

    // The one source of randomness, seeded when the loop is made.
    virtual std::mt19937_64& random() = 0;

  protected:
    friend class Timer;
    virtual std::uint64_t schedule(Time when, Task task) = 0;
    virtual void cancel(std::uint64_t id) = 0;
};

}  // namespace ivyfield::io
