#include "decide/reclaim.hpp"

namespace ivyfield::decide {

const char* name(ReclaimVerdict claim) {
    switch (claim) {
        case ReclaimVerdict::reclaim:
            return "taken back";
        case ReclaimVerdict::unknown_class:
            return "no such class";
        case ReclaimVerdict::unknown_tenant:
            return "no such tenant";
        case ReclaimVerdict::rung_not_allowed:
            return "its rung is not allowed";
        case ReclaimVerdict::already_given_up:
            return "given up before";
        case ReclaimVerdict::superseded:
            return "its viewer came again";
        case ReclaimVerdict::no_free_seat:
            return "no seat is free";
    }
    return "?";
}

ReclaimVerdict evaluate_reclaim(const Settings& settings, const ReclaimCandidate& found) {
    if (found.from_this_incarnation) return ReclaimVerdict::already_given_up;
    if (found.cls < 0 || found.cls >= static_cast<int>(settings.classes.size()))
        return ReclaimVerdict::unknown_class;
    if (found.tenant < 0 || found.tenant >= static_cast<int>(settings.tenants.size()))
        return ReclaimVerdict::unknown_tenant;
    const ClassSettings& cls = settings.classes[static_cast<std::size_t>(found.cls)];
    if (found.rung < cls.floor || found.rung >= static_cast<int>(settings.rung_kb.size()))
        return ReclaimVerdict::rung_not_allowed;
    if (found.superseded) return ReclaimVerdict::superseded;
    if (cls.seats > 0 && found.held_sessions >= cls.seats) return ReclaimVerdict::no_free_seat;
    return ReclaimVerdict::reclaim;
}

}  // namespace ivyfield::decide
