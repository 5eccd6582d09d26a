// The seam on simulated time with an in-memory network. One World is the whole of it: its clock, its network
// and every process in it, in one thread, decided by one seed. Each process has a Loop of its own, so that a
// process can be killed with all its connections.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "io/loop.hpp"
#include "io/timers.hpp"

namespace ivyfield::io {

// How the network treats what is sent. All draws come from the world's seed.
struct NetworkConditions {
    Time min_delay = 0.05, max_delay = 0.3;  // of each piece, one way; order within a stream is kept
    std::size_t max_piece_size = 1460;       // writes are split and merged into pieces of 1 to so many bytes
    bool random_piece_sizes = false;         // pieces of any size up to the largest, not full ones
    std::size_t window = 64 * 1024;          // sent and not yet read by the peer
    double datagram_loss_probability = 0;    // of each datagram
    double reset_probability = 0;            // of each piece: both sides see a reset in its place
};

class VirtualLoop;

class World {
  public:
    explicit World(std::uint64_t seed);
    ~World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    NetworkConditions network;
    // A process. The reference is good until kill(); its listeners and streams must not outlive it.
    VirtualLoop& start(const std::string& name);
    // The process is gone: its timers never fire, peers of its streams see a reset, its ports are free.
    // What it owned must be destroyed by the caller, before or after.
    void kill(VirtualLoop& loop);
    // The process stands still: what would happen in it waits, and all of it happens when it goes on.
    void stall(VirtualLoop& loop, bool on);

    Time now() const { return now_; }
    std::uint64_t steps() const { return steps_; }
    // Runs the next event; false when there is none.
    bool step();
    void run_until(Time when);
    // Runs until nothing is left to happen, at most so many steps; false when that was not enough.
    bool run_until_idle(std::uint64_t max_steps);

    struct Pipe;
    struct End;

  private:
    friend class VirtualLoop;
    friend class VirtualStream;
    friend class VirtualListener;
    friend class VirtualDatagramSocket;
    void later(Time when, Loop::Task task) { tasks_.add(when, std::move(task)); }
    Time delay();
    // Runs the task in the process, or keeps it while that stands still; drops it when that is dead.
    static void in(VirtualLoop& loop, Loop::Task task);

    Time now_ = 0;
    std::uint64_t steps_ = 0;
    TimerQueue tasks_;
    std::mt19937_64 random_;
    std::uint16_t next_port_ = 40000;
    std::map<std::string, std::unique_ptr<VirtualLoop>> loops_;
    std::vector<std::unique_ptr<VirtualLoop>> dead_;  // kept, for what still holds a reference
    std::map<Address, class VirtualListener*> listeners_;
    std::map<Address, class VirtualDatagramSocket*> datagrams_;
};

class VirtualLoop : public Loop {
  public:
    VirtualLoop(World& world, std::string name, std::uint64_t seed);
    Time now() const override { return world_.now_; }
    double wall_ms() const override { return 1.7e12 + world_.now_; }
    std::unique_ptr<Listener> listen(const Address& address, AcceptHandler accept) override;
    std::unique_ptr<Stream> dial(const Address& address, Time timeout, StreamHandler* handler) override;
    std::unique_ptr<DatagramSocket> open_datagram_socket(const Address& local,
                                                         DatagramSocket::ReceiveHandler heard) override;
    std::mt19937_64& random() override { return random_; }
    const std::string& name() const { return name_; }
    bool is_killed() const { return dead_; }
    std::size_t timer_count() const { return live_.size(); }
    std::size_t open_stream_count() const;

  protected:
    std::uint64_t schedule(Time when, Task task) override;
    void cancel(std::uint64_t id) override;

  private:
    friend class World;
    friend class VirtualStream;
    friend class VirtualListener;
    friend class VirtualDatagramSocket;
    World& world_;
    std::string name_;
    std::mt19937_64 random_;
    bool dead_ = false, stalled_ = false;
    std::vector<Task> waiting_;     // what fell due while the process stood still
    std::set<std::uint64_t> live_;  // own timers in the world's queue
    std::vector<std::weak_ptr<World::End>> ends_;
};

}  // namespace ivyfield::io
