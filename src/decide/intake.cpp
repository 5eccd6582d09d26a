#include "decide/intake.hpp"

#include <utility>

namespace ivyfield::decide {

// A connection with a set-up that was taken never gives way: the set-up would be lost. Of the others those
// that have brought nothing go first, and of these the one that was silent longest.
std::optional<std::size_t> gives_way(const std::vector<Held>& all) {
    std::optional<std::size_t> worst;
    for (std::size_t k = 0; k < all.size(); ++k) {
        if (all[k].open > 0) continue;
        if (!worst || std::make_pair(all[k].carried, all[k].used) <
                          std::make_pair(all[*worst].carried, all[*worst].used))
            worst = k;
    }
    return worst;
}

bool takes(const IntakeLimits& limits, std::size_t open_here, bool stopping) {
    return !stopping && open_here < limits.open_a_connection;
}

}  // namespace ivyfield::decide
