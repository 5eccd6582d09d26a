// The seam on libev and non-blocking sockets. The one place that asks the system for time and sockets.
#pragma once

#include "io/loop.hpp"

namespace ivyfield::io {

class EvLoop : public Loop {
  public:
    explicit EvLoop(std::uint64_t seed);
    ~EvLoop() override;
    EvLoop(const EvLoop&) = delete;
    EvLoop& operator=(const EvLoop&) = delete;

    Time now() const override;
    double wall_ms() const override;
    std::unique_ptr<Listener> listen(const Address& address, AcceptHandler accept) override;
    std::unique_ptr<Stream> dial(const Address& address, Time timeout, StreamHandler* handler) override;
    std::unique_ptr<DatagramSocket> open_datagram_socket(const Address& local,
                                                         DatagramSocket::ReceiveHandler heard) override;
    std::mt19937_64& random() override;

    // Runs until stop() is called. Signals named here call the handler on the loop.
    void run();
    void stop();
    void on_signal(int number, Task task);

    struct Impl;

  protected:
    std::uint64_t schedule(Time when, Task task) override;
    void cancel(std::uint64_t id) override;

  private:
    std::unique_ptr<Impl> impl_;
};

// A seed from the system, for programs that were told none.
std::uint64_t system_seed();

}  // namespace ivyfield::io
