#include "fleet/fleet.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <tuple>

namespace ivyfield::fleet {

int Fleet::add(const NodeSpec& spec) {
    if (spec.rack < 0 || spec.rack >= racks())
        throw std::invalid_argument("a node in a rack that is not there");
    nodes_.push_back({});
    nodes_.back().spec = spec;
    return static_cast<int>(nodes_.size()) - 1;
}

void Fleet::start(int n, Time now, bool warm) {
    Node& v = at(n);
    const NodeSpec spec = v.spec;
    v = {};
    v.spec = spec;
    v.up = true;
    v.started = warm ? now - spec_.cold_time - 1 : now;
}
void Fleet::stop(int n) {
    Node& v = at(n);
    v.up = false;
    v.streams.clear();
    v.setting_up = 0;
}

double Fleet::warmth(int n, Time now) const {
    if (spec_.cold_time <= 0) return 1;
    const double age = std::clamp((now - at(n).started) / spec_.cold_time, 0.0, 1.0);
    return spec_.cold_from + (1 - spec_.cold_from) * age;
}

SetUpVerdict Fleet::set_up(int n, Time now) {
    Node& v = at(n);
    if (spec_.fall_multiple > 0 && now < v.started + spec_.cold_time) {
        while (!v.recent.empty() && v.recent.front() <= now - spec_.fall_window) v.recent.pop_front();
        v.recent.push_back(now);
        const double pace = v.spec.streams / spec_.cold_time * warmth(n, now);
        // Two more than the budget: one set-up is never too many, nor are two that meet by chance.
        if (static_cast<double>(v.recent.size()) > spec_.fall_multiple * pace * spec_.fall_window + 2) {
            stop(n);
            v.fallen = true;
            return SetUpVerdict::fell;
        }
    }
    if (streams(n) + v.setting_up >= v.spec.streams) return SetUpVerdict::full;
    if (spec_.refuses_from > 0 && link_use(n, now) >= spec_.refuses_from) return SetUpVerdict::full;
    v.setting_up += 1;
    return SetUpVerdict::taken;
}
void Fleet::drop(int n) {
    Node& v = at(n);
    if (v.setting_up > 0) v.setting_up -= 1;
}
std::uint64_t Fleet::begin(int n, const StreamSpec& stream) {
    drop(n);
    at(n).streams.emplace(++last_, stream);
    return last_;
}
void Fleet::set_rung(int n, std::uint64_t stream, int rung, double kb) {
    const auto it = at(n).streams.find(stream);
    if (it != at(n).streams.end()) it->second.rung = rung, it->second.kb = kb;
}
void Fleet::end(int n, std::uint64_t stream) { at(n).streams.erase(stream); }

double Fleet::link(int n) const { return at(n).spec.link_kb * at(n).part; }

double Fleet::asked(int n) const {
    std::set<std::tuple<std::string, int>> shared;
    double kb = at(n).neighbour;
    for (const auto& [id, s] : at(n).streams) {
        const bool further = !s.share.empty() && !shared.insert({s.share, s.rung}).second;
        kb += s.kb * (further ? spec_.join_part : 1);
    }
    return kb;
}
int Fleet::streams(int n) const {
    std::set<std::tuple<std::string, int>> shared;
    int count = 0;
    for (const auto& [id, s] : at(n).streams)
        count += s.share.empty() || shared.insert({s.share, s.rung}).second;
    return count;
}
double Fleet::link_use(int n, Time now) const {
    const double gives = link(n) * warmth(n, now);
    return gives > 0 ? asked(n) / gives : 0;
}
// An uplink is asked for what the rack's links let through.
double Fleet::uplink_use(int rack, Time now) const {
    const double gives = spec_.rack_kb.at(static_cast<std::size_t>(rack));
    if (gives <= 0) return 0;
    const auto neighbour = rack_neighbour_.find(rack);
    double kb = neighbour == rack_neighbour_.end() ? 0 : neighbour->second;
    for (int n = 0; n < static_cast<int>(nodes_.size()); ++n)
        if (at(n).up && at(n).spec.rack == rack) kb += std::min(asked(n), link(n) * warmth(n, now));
    return kb / gives;
}
double Fleet::delivered(int n, Time now) const {
    const double of_link = 1 / std::max(1.0, link_use(n, now));
    return of_link / std::max(1.0, uplink_use(at(n).spec.rack, now));
}

}  // namespace ivyfield::fleet
