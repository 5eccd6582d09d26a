#include "decide/node_incarnation.hpp"

namespace ivyfield::decide {

bool NodeIncarnation::update(Time started, bool moved, Time now) {
    const bool restarted = started > started_;
    if (restarted) started_ = started;
    else if (moved) started_ = now;
    return restarted || moved;
}

}  // namespace ivyfield::decide
