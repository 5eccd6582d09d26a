// The physics of what is served: links and rack uplinks shared alike, places for streams, cold nodes that can
// be pushed over. No sockets, no clock of its own, no randomness: the same for the stand-ins on sockets, the
// virtual world and the large-scale model.
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

struct NodeSpec {
    int rack = 0;
    double link_kb = 0;
    int max_streams = 0;
};
struct FleetSpec {
    std::vector<double> rack_kb;  // each uplink
    double full_utilization = 0;  // share of its link at which a node turns set-ups away; 0: never
    double join_rate_factor = 1;  // what a further viewer of a live title adds at one node, class and rung
    Time warmup_time = 0;
    double initial_warmth = 1, overload_multiple = 0;
    Time overload_window = 1000;
};

struct StreamSpec {
    double rate_kb = 0;       // the rate asked
    std::string sharing_key;  // viewers with one non-empty key at one node and rung share a stream
    int rung = 0;
};

enum class SetupResult { accepted, full, overloaded };

class Fleet {
  public:
    explicit Fleet(FleetSpec spec) : spec_(std::move(spec)) {}
    int add_node(const NodeSpec& spec);
    const NodeSpec& node_spec(int n) const { return nodes_.at(static_cast<std::size_t>(n)).spec; }

    // The node's process begins a life: cold, with nothing playing. `warm`: it has run for long.
    void start_node(int n, Time now, bool warm);
    void stop_node(int n);
    bool is_up(int n) const { return node_state(n).up; }
    bool is_overloaded(int n) const { return node_state(n).overloaded; }
    Time started_at(int n) const { return node_state(n).started; }
    double warmth(int n, Time now) const;

    // A set-up arrives. Taken: a place is held until begin() or drop(). Fell: it was one too many for a cold
    // node, which is down now.
    SetupResult begin_setup(int n, Time now);
    void cancel_setup(int n);  // a set-up that comes to nothing
    std::uint64_t start_stream(int n, const StreamSpec& stream);
    void set_rung(int n, std::uint64_t stream, int rung, double kb);
    void end_stream(int n, std::uint64_t stream);

    // Faults: the link gives only this part; others on it ask so much of it.
    void set_link_factor(int n, double factor) { node_state(n).link_factor = factor; }
    void set_link_background(int n, double kb) { node_state(n).background_kb = kb; }
    void set_uplink_background(int rack, double kb) { uplink_background_[rack] = kb; }

    double link_capacity(int n) const;               // what it gives now
    double requested_kb(int n) const;                // of its link
    double link_utilization(int n, Time now) const;  // asked over given; a cold link gives less
    double uplink_utilization(int rack, Time now) const;
    double delivered_share(int n, Time now) const;  // the share of its rate that each session there gets
    int stream_count(int n) const;
    std::size_t session_count(int n) const { return node_state(n).streams.size(); }
    int rack_count() const { return static_cast<int>(spec_.rack_kb.size()); }

  private:
    struct NodeState {
        NodeSpec spec;
        bool up = false, overloaded = false;
        Time started = 0;
        double link_factor = 1, background_kb = 0;
        int pending_setups = 0;
        std::map<std::uint64_t, StreamSpec> streams;
        std::deque<Time> recent_setups;  // set-ups while cold
    };
    NodeState& node_state(int n) { return nodes_.at(static_cast<std::size_t>(n)); }
    const NodeState& node_state(int n) const { return nodes_.at(static_cast<std::size_t>(n)); }

    FleetSpec spec_;
    std::vector<NodeState> nodes_;
    std::map<int, double> uplink_background_;
    std::uint64_t last_stream_id_ = 0;
};

}  // namespace ivyfield::fleet
