#include "fleet/fleet.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <tuple>

namespace ivyfield::fleet {

int Fleet::add_node(const NodeSpec& spec) {
    if (spec.rack < 0 || spec.rack >= rack_count())
        throw std::invalid_argument("node in a rack that does not exist");
    nodes_.push_back({});
    nodes_.back().spec = spec;
    return static_cast<int>(nodes_.size()) - 1;
}

void Fleet::start_node(int number, Time now, bool warm) {
    NodeState& node = node_state(number);
    const NodeSpec spec = node.spec;
    node = {};
    node.spec = spec;
    node.up = true;
    node.started = warm ? now - spec_.warmup_time - 1 : now;
}
void Fleet::stop_node(int number) {
    NodeState& node = node_state(number);
    node.up = false;
    node.streams.clear();
    node.pending_setups = 0;
}

double Fleet::warmth(int number, Time now) const {
    if (spec_.warmup_time <= 0) return 1;
    const double warmup_progress =
        std::clamp((now - node_state(number).started) / spec_.warmup_time, 0.0, 1.0);
    return spec_.initial_warmth + (1 - spec_.initial_warmth) * warmup_progress;
}

SetupResult Fleet::begin_setup(int number, Time now) {
    NodeState& node = node_state(number);
    if (spec_.overload_multiple > 0 && now < node.started + spec_.warmup_time) {
        while (!node.recent_setups.empty() && node.recent_setups.front() <= now - spec_.overload_window)
            node.recent_setups.pop_front();
        node.recent_setups.push_back(now);
        const double sustainable_rate = node.spec.max_streams / spec_.warmup_time * warmth(number, now);
        // Two set-ups above the sustainable number are tolerated: a single one never overloads a node, nor do
        // two that arrive together by chance.
        if (static_cast<double>(node.recent_setups.size()) >
            spec_.overload_multiple * sustainable_rate * spec_.overload_window + 2) {
            stop_node(number);
            node.overloaded = true;
            return SetupResult::overloaded;
        }
    }
    if (stream_count(number) + node.pending_setups >= node.spec.max_streams) return SetupResult::full;
    if (spec_.full_utilization > 0 && link_utilization(number, now) >= spec_.full_utilization)
        return SetupResult::full;
    node.pending_setups += 1;
    return SetupResult::accepted;
}
void Fleet::cancel_setup(int number) {
    NodeState& node = node_state(number);
    if (node.pending_setups > 0) node.pending_setups -= 1;
}
std::uint64_t Fleet::start_stream(int number, const StreamSpec& stream) {
    cancel_setup(number);
    node_state(number).streams.emplace(++last_stream_id_, stream);
    return last_stream_id_;
}
void Fleet::set_rung(int number, std::uint64_t stream, int rung, double kb) {
    const auto it = node_state(number).streams.find(stream);
    if (it != node_state(number).streams.end()) it->second.rung = rung, it->second.rate_kb = kb;
}
void Fleet::end_stream(int number, std::uint64_t stream) { node_state(number).streams.erase(stream); }

double Fleet::link_capacity(int number) const {
    return node_state(number).spec.link_kb * node_state(number).link_factor;
}

double Fleet::requested_kb(int number) const {
    std::set<std::tuple<std::string, int>> shared;
    double total_kb = node_state(number).background_kb;
    for (const auto& [id, stream] : node_state(number).streams) {
        const bool joins =
            !stream.sharing_key.empty() && !shared.insert({stream.sharing_key, stream.rung}).second;
        total_kb += stream.rate_kb * (joins ? spec_.join_rate_factor : 1);
    }
    return total_kb;
}
int Fleet::stream_count(int number) const {
    std::set<std::tuple<std::string, int>> shared;
    int count = 0;
    for (const auto& [id, stream] : node_state(number).streams)
        count += stream.sharing_key.empty() || shared.insert({stream.sharing_key, stream.rung}).second;
    return count;
}
double Fleet::link_utilization(int number, Time now) const {
    const double capacity = link_capacity(number) * warmth(number, now);
    return capacity > 0 ? requested_kb(number) / capacity : 0;
}
// An uplink carries what the links of its rack can carry.
double Fleet::uplink_utilization(int rack, Time now) const {
    const double capacity = spec_.rack_kb.at(static_cast<std::size_t>(rack));
    if (capacity <= 0) return 0;
    const auto background = uplink_background_.find(rack);
    double total_kb = background == uplink_background_.end() ? 0 : background->second;
    for (int number = 0; number < static_cast<int>(nodes_.size()); ++number)
        if (node_state(number).up && node_state(number).spec.rack == rack)
            total_kb += std::min(requested_kb(number), link_capacity(number) * warmth(number, now));
    return total_kb / capacity;
}
double Fleet::delivered_share(int number, Time now) const {
    const double link_share = 1 / std::max(1.0, link_utilization(number, now));
    return link_share / std::max(1.0, uplink_utilization(node_state(number).spec.rack, now));
}

}  // namespace ivyfield::fleet
