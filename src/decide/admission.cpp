#include "decide/admission.hpp"

#include <utility>

namespace ivyfield::decide {

// A connection with a pending set-up is never evicted, because the set-up would be lost. Of the others,
// those that have carried no set-up go first, and of these the least recently used.
std::optional<std::size_t> select_eviction(const std::vector<ConnectionLoad>& connections) {
    std::optional<std::size_t> victim;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        if (connections[i].pending_setups > 0) continue;
        if (!victim ||
            std::make_pair(connections[i].has_carried_setup, connections[i].last_used) <
                std::make_pair(connections[*victim].has_carried_setup, connections[*victim].last_used))
            victim = i;
    }
    return victim;
}

bool can_admit_setup(const AdmissionLimits& limits, std::size_t pending_on_connection, bool stopping) {
    return !stopping && pending_on_connection < limits.max_pending_per_connection;
}

}  // namespace ivyfield::decide
