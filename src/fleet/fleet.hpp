// Model of the capacity of a fleet: links and rack uplinks whose streams all get the same share, a maximum
// number of streams per node, and cold nodes that crash when they are overloaded. It has no sockets, no clock
// of its own and no randomness, so that the emulators on sockets, the simulated world and the large-scale
// model use the same one.
//
// Units: milliseconds, kilobytes a second.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace ivyfield::fleet {

using Time = double;

// Capacity of one node.
struct NodeSpec {
    int rack = 0;
    double link_kb = 0;
    int max_streams = 0;
};
// Capacity of the racks and the behaviour that all nodes share.
struct FleetSpec {
    std::vector<double> rack_kb;  // capacity of each uplink
    double full_utilization = 0;  // link utilization from which a node rejects set-ups; 0: never
    double join_rate_factor = 1;  // of each further viewer of a live title at one node, class and rung
    Time warmup_time = 0;
    double initial_warmth = 1, overload_multiple = 0;
    Time overload_window = 1000;
};

// One stream and its current rung.
struct StreamSpec {
    double rate_kb = 0;       // requested rate
    std::string sharing_key;  // sessions with the same non-empty key at one node and rung share a stream
    int rung = 0;
};

// Outcome of a set-up's arrival at a node.
enum class SetupResult { accepted, full, overloaded };

// Tracks the streams, set-ups and background load of each node. Nodes are identified by the index that
// add_node() returned.
class Fleet {
  public:
    explicit Fleet(FleetSpec spec) : spec_(std::move(spec)) {}
    // Throws std::invalid_argument if the rack does not exist.
    int add_node(const NodeSpec& spec);
    const NodeSpec& node_spec(int number) const { return nodes_.at(static_cast<std::size_t>(number)).spec; }

    // Starts the node's process with no streams. It is cold unless `warm`, which means it has run for long.
    void start_node(int number, Time now, bool warm);
    void stop_node(int number);
    bool is_up(int number) const { return node_state(number).up; }
    bool is_overloaded(int number) const { return node_state(number).overloaded; }
    Time started_at(int number) const { return node_state(number).started; }
    // Share of its full capacity that the node has now; below 1 while it is cold.
    double warmth(int number, Time now) const;

    // Handles the arrival of a set-up. accepted: a stream slot is reserved until start_stream() or
    // cancel_setup(). overloaded: it was one too many for a cold node, which has crashed.
    SetupResult begin_setup(int number, Time now);
    void cancel_setup(int number);  // releases the slot of a set-up that failed
    // Turns a pending set-up into a stream and returns the stream's id.
    std::uint64_t start_stream(int number, const StreamSpec& stream);
    void set_rung(int number, std::uint64_t stream, int rung, double kb);
    void end_stream(int number, std::uint64_t stream);

    // Injected faults: the link keeps only this part of its capacity; other traffic on a link or uplink
    // requests `kb` of it.
    void set_link_factor(int number, double factor) { node_state(number).link_factor = factor; }
    void set_link_background(int number, double kb) { node_state(number).background_kb = kb; }
    void set_uplink_background(int rack, double kb) { uplink_background_[rack] = kb; }

    double link_capacity(int number) const;  // current capacity
    double requested_kb(int number) const;   // rate requested of its link
    double link_utilization(int number,
                            Time now) const;  // requested over capacity, which is lower while cold
    double uplink_utilization(int rack, Time now) const;
    double delivered_share(int number, Time now) const;  // part of its rate that each session gets
    int stream_count(int number) const;
    std::size_t session_count(int number) const { return node_state(number).streams.size(); }
    int rack_count() const { return static_cast<int>(spec_.rack_kb.size()); }

  private:
    struct NodeState {
        NodeSpec spec;
        bool up = false, overloaded = false;
        Time started = 0;
        double link_factor = 1, background_kb = 0;
        int pending_setups = 0;
        std::map<std::uint64_t, StreamSpec> streams;
        std::deque<Time> recent_setups;  // times of set-ups that arrived while the node was cold
    };
    NodeState& node_state(int number) { return nodes_.at(static_cast<std::size_t>(number)); }
    const NodeState& node_state(int number) const { return nodes_.at(static_cast<std::size_t>(number)); }

    FleetSpec spec_;
    std::vector<NodeState> nodes_;
    std::map<int, double> uplink_background_;
    std::uint64_t last_stream_id_ = 0;
};

}  // namespace ivyfield::fleet
