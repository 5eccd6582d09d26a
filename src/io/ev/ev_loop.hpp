// The loop on libev and non-blocking sockets: the only place that asks the operating system for time and
// sockets.
#pragma once

#include "io/loop.hpp"

namespace ivyfield::io {

// A Loop on the operating system's sockets and clock.
class EvLoop : public Loop {
  public:
    explicit EvLoop(std::uint64_t seed);
    ~EvLoop() override;
    EvLoop(const EvLoop&) = delete;
    EvLoop& operator=(const EvLoop&) = delete;

    Time now() const override;
    double wall_ms() const override;
    std::unique_ptr<Listener> listen(const Address& address, AcceptHandler on_accept) override;
    std::unique_ptr<Stream> dial(const Address& address, Time timeout, StreamHandler* handler) override;
    std::unique_ptr<DatagramSocket> open_datagram_socket(const Address& local,
                                                         DatagramSocket::ReceiveHandler on_receive) override;
    std::mt19937_64& random() override;

    void run();  // until stop() is called
    void stop();
    // Runs the task on the loop for each signal of that number.
    void on_signal(int number, Task task);

    struct Impl;

  protected:
    std::uint64_t schedule(Time when, Task task) override;
    void cancel(std::uint64_t id) override;

  private:
    std::unique_ptr<Impl> impl_;
};

// A random seed from the operating system, for programs that were given none.
std::uint64_t system_seed();

}  // namespace ivyfield::io
