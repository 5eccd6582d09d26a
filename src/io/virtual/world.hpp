// The loop on simulated time with an in-memory network. A World is one simulation: its clock, its network and
// all its processes, in one thread and fully determined by one seed. Each process has a Loop of its own, so
// that a process can be killed with all its connections.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "io/loop.hpp"
#include "io/timers.hpp"

namespace ivyfield::io {

// Properties of the simulated network. All random draws come from the world's seed.
struct NetworkConditions {
    Time min_delay = 0.05, max_delay = 0.3;  // ms, of each piece, one way; a stream keeps its order
    std::size_t max_piece_size = 1460;       // bytes; writes are split and merged into such pieces
    bool random_piece_sizes = false;         // pieces of 1 byte up to the maximum, instead of full ones
    std::size_t window = 64 * 1024;          // maximum of bytes sent and not yet read by the peer
    double datagram_loss_probability = 0;    // of each datagram
    double reset_probability = 0;            // of each piece: instead of it, both sides see a reset
};

class VirtualLoop;

// A simulation of processes that communicate over an in-memory network.
class World {
  public:
    explicit World(std::uint64_t seed);
    ~World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    NetworkConditions network;
    // Starts a process. The reference is valid until kill(); its listeners and streams must not outlive it.
    VirtualLoop& start(const std::string& name);
    // Ends the process: its timers never fire, peers of its streams see a reset, its ports are free.
    // The caller has to destroy what the process owned, before or after.
    void kill(VirtualLoop& loop);
    // Stops the process, or continues it for false: its events are deferred and all run when it continues.
    void stall(VirtualLoop& loop, bool on);

    Time now() const { return now_; }
    std::uint64_t steps() const { return steps_; }
    // Runs the next event; false if there is none.
    bool step();
    void run_until(Time when);
    // Runs until no event is left, at most `max_steps` events; false if that was not enough.
    bool run_until_idle(std::uint64_t max_steps);

    struct Pipe;
    struct Endpoint;

  private:
    friend class VirtualLoop;
    friend class VirtualStream;
    friend class VirtualListener;
    friend class VirtualDatagramSocket;
    void schedule(Time when, Loop::Task task) { tasks_.add(when, std::move(task)); }
    Time delay();
    // Runs the task in the process; defers it while the process is stalled, drops it if the process was
    // killed.
    static void run_in_process(VirtualLoop& loop, Loop::Task task);

    Time now_ = 0;
    std::uint64_t steps_ = 0;
    TimerQueue tasks_;
    std::mt19937_64 random_;
    std::uint16_t next_port_ = 40000;
    std::map<std::string, std::unique_ptr<VirtualLoop>> loops_;
    std::vector<std::unique_ptr<VirtualLoop>> killed_loops_;  // kept for objects that still refer to them
    std::map<Address, class VirtualListener*> listeners_;
    std::map<Address, class VirtualDatagramSocket*> datagram_sockets_;
};

// The loop of one simulated process.
class VirtualLoop : public Loop {
  public:
    VirtualLoop(World& world, std::string name, std::uint64_t seed);
    Time now() const override { return world_.now_; }
    double wall_ms() const override { return 1.7e12 + world_.now_; }
    std::unique_ptr<Listener> listen(const Address& address, AcceptHandler on_accept) override;
    std::unique_ptr<Stream> dial(const Address& address, Time timeout, StreamHandler* handler) override;
    std::unique_ptr<DatagramSocket> open_datagram_socket(const Address& local,
                                                         DatagramSocket::ReceiveHandler on_receive) override;
    std::mt19937_64& random() override { return random_; }
    const std::string& name() const { return name_; }
    bool is_killed() const { return killed_; }
    std::size_t timer_count() const { return pending_timers_.size(); }
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
    bool killed_ = false, stalled_ = false;
    std::vector<Task> deferred_tasks_;        // became due while the process was stalled
    std::set<std::uint64_t> pending_timers_;  // this process's timers in the world's queue
    std::vector<std::weak_ptr<World::Endpoint>> endpoints_;
};

}  // namespace ivyfield::io
