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
    int streams = 0;
};
struct FleetSpec {
    std::vector<double> rack_kb;  // each uplink
    double refuses_from = 0;      // share of its link at which a node turns set-ups away; 0: never
    double join_part = 1;         // what a further viewer of a live title adds at one node, class and rung
    Time cold_time = 0;
    double cold_from = 1, fall_multiple = 0;
    Time fall_window = 1000;
};

struct StreamSpec {
    double kb = 0;      // the rate asked
    std::string share;  // viewers with one non-empty key at one node and rung share a stream
    int rung = 0;
};

enum class SetUpVerdict { taken, full, fell };

class Fleet {
  public:
    explicit Fleet(FleetSpec spec) : spec_(std::move(spec)) {}
    int add(const NodeSpec& spec);
    const NodeSpec& node(int n) const { return nodes_.at(static_cast<std::size_t>(n)).spec; }

    // The node's process begins a life: cold, with nothing playing. `warm`: it has run for long.
    void start(int n, Time now, bool warm);
    void stop(int n);
    bool up(int n) const { return at(n).up; }
    bool fallen(int n) const { return at(n).fallen; }
    Time started(int n) const { return at(n).started; }
    double warmth(int n, Time now) const;

    // A set-up arrives. Taken: a place is held until begin() or drop(). Fell: it was one too many for a cold
    // node, which is down now.
    SetUpVerdict set_up(int n, Time now);
    void drop(int n);  // a set-up that comes to nothing
    std::uint64_t begin(int n, const StreamSpec& stream);
    void set_rung(int n, std::uint64_t stream, int rung, double kb);
    void end(int n, std::uint64_t stream);

    // Faults: the link gives only this part; others on it ask so much of it.
    void link_part(int n, double part) { at(n).part = part; }
    void link_neighbour(int n, double kb) { at(n).neighbour = kb; }
    void uplink_neighbour(int rack, double kb) { rack_neighbour_[rack] = kb; }

    double link(int n) const;                // what it gives now
    double asked(int n) const;               // of its link
    double link_use(int n, Time now) const;  // asked over given; a cold link gives less
    double uplink_use(int rack, Time now) const;
    double delivered(int n, Time now) const;  // the share of its rate that each session there gets
    int streams(int n) const;
    std::size_t sessions(int n) const { return at(n).streams.size(); }
    int racks() const { return static_cast<int>(spec_.rack_kb.size()); }

  private:
    struct Node {
        NodeSpec spec;
        bool up = false, fallen = false;
        Time started = 0;
        double part = 1, neighbour = 0;
        int setting_up = 0;
        std::map<std::uint64_t, StreamSpec> streams;
        std::deque<Time> recent;  // set-ups while cold
    };
    Node& at(int n) { return nodes_.at(static_cast<std::size_t>(n)); }
    const Node& at(int n) const { return nodes_.at(static_cast<std::size_t>(n)); }

    FleetSpec spec_;
    std::vector<Node> nodes_;
    std::map<int, double> rack_neighbour_;
    std::uint64_t last_ = 0;
};

}  // namespace ivyfield::fleet
