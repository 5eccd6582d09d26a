#include "decide/admission.hpp"

#include <utility>

namespace ivyfield::decide {

// A connection with a set-up that was taken never gives way: the set-up would be lost. Of the others those
// that have brought nothing go first, and of these the one that was silent longest.
std::optional<std::size_t> select_eviction(const std::vector<ConnectionLoad>& all) {
    std::optional<std::size_t> worst;
    for (std::size_t k = 0; k < all.size(); ++k) {
        if (all[k].pending_setups > 0) continue;
        if (!worst || std::make_pair(all[k].has_carried_setup, all[k].last_used) <
                          std::make_pair(all[*worst].has_carried_setup, all[*worst].last_used))
            worst = k;
    }
    return worst;
}

bool can_admit_setup(const AdmissionLimits& limits, std::size_t open_here, bool stopping) {
    return !stopping && open_here < limits.max_pending_per_connection;
}

}  // namespace ivyfield::decide
