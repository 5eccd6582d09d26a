#include "decide/claims.hpp"

namespace ivyfield::decide {

const char* name(Claim claim) {
    switch (claim) {
        case Claim::take:
            return "taken back";
        case Claim::no_such_class:
            return "no such class";
        case Claim::no_such_tenant:
            return "no such tenant";
        case Claim::rung_not_allowed:
            return "its rung is not allowed";
        case Claim::given_up:
            return "given up before";
        case Claim::asked_again:
            return "its viewer came again";
        case Claim::no_seat:
            return "no seat is free";
    }
    return "?";
}

Claim claim(const Settings& settings, const Found& found) {
    if (found.own_life) return Claim::given_up;
    if (found.cls < 0 || found.cls >= static_cast<int>(settings.classes.size())) return Claim::no_such_class;
    if (found.tenant < 0 || found.tenant >= static_cast<int>(settings.tenants.size()))
        return Claim::no_such_tenant;
    const ClassSettings& cls = settings.classes[static_cast<std::size_t>(found.cls)];
    if (found.rung < cls.floor || found.rung >= static_cast<int>(settings.rung_kb.size()))
        return Claim::rung_not_allowed;
    if (found.asked_again) return Claim::asked_again;
    if (cls.seats > 0 && found.held >= cls.seats) return Claim::no_seat;
    return Claim::take;
}

}  // namespace ivyfield::decide
