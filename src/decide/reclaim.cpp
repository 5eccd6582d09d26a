#include "decide/reclaim.hpp"

namespace ivyfield::decide {

const char* name(ReclaimVerdict verdict) {
    switch (verdict) {
        case ReclaimVerdict::reclaim:
            return "reclaimed";
        case ReclaimVerdict::unknown_class:
            return "no such class";
        case ReclaimVerdict::unknown_tenant:
            return "no such tenant";
        case ReclaimVerdict::rung_not_allowed:
            return "rung not allowed";
        case ReclaimVerdict::already_given_up:
            return "already given up";
        case ReclaimVerdict::superseded:
            return "superseded by a new request";
        case ReclaimVerdict::no_free_seat:
            return "no free seat";
    }
    return "?";
}

ReclaimVerdict evaluate_reclaim(const Settings& settings, const ReclaimCandidate& candidate) {
    if (candidate.from_this_incarnation) return ReclaimVerdict::already_given_up;
    if (candidate.cls < 0 || candidate.cls >= static_cast<int>(settings.classes.size()))
        return ReclaimVerdict::unknown_class;
    if (candidate.tenant < 0 || candidate.tenant >= static_cast<int>(settings.tenants.size()))
        return ReclaimVerdict::unknown_tenant;
    const ClassSettings& cls = settings.classes[static_cast<std::size_t>(candidate.cls)];
    if (candidate.rung < cls.min_rung || candidate.rung >= static_cast<int>(settings.rung_kb.size()))
        return ReclaimVerdict::rung_not_allowed;
    if (candidate.superseded) return ReclaimVerdict::superseded;
    if (cls.seats > 0 && candidate.held_sessions >= cls.seats) return ReclaimVerdict::no_free_seat;
    return ReclaimVerdict::reclaim;
}

bool is_plausible_handover(const Settings& settings, const ClassSettings& cls, const ServerEntry& server,
                           int attempts_at_server) {
    if (cls.live || server.kind < 0) return true;
    const auto kind = static_cast<std::size_t>(server.kind);
    if (kind >= settings.max_streams_by_kind.size() || settings.max_streams_by_kind[kind] <= 0) return true;
    return attempts_at_server < settings.max_streams_by_kind[kind];
}

}  // namespace ivyfield::decide
