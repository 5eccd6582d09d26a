// Judges the six rules from what crossed the sockets of nodes, list and players. Shares no code with the
// director, asks it nothing and knows nothing of its decisions.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "standins/tap.hpp"

namespace ivyfield::audit {

struct ClassLimits {
    bool paid = false;
    int min_rung = 0, seats = 0;
    double patience = 0;
};
struct RuleLimits {
    std::map<std::string, ClassLimits> classes;
    double answer_tolerance = 40, drain_stop_within = 500;
    double network_tolerance = 60;  // what sockets, scheduling and the taps' own delay may add
    bool has_retry_budget = false;
    double free_retries = 0, retries_per_request = 0, retry_window = 10000;
};
// A time in which a director's process did not run: what was lost there, or late, was not its doing.
struct Outage {
    std::string director;
    double from = 0, to = 0;
    bool process_ended = true;  // else it stood still and went on: its sessions are its own still
};

struct Violation {
    int rule = 0;  // 1 to 6
    double at = 0;
    std::string description;
};
struct AuditResult {
    std::vector<Violation> violations;
    std::map<int, int> check_counts;  // how often each rule was put to the test
    bool is_kept(int rule) const;
};

AuditResult check_rules(const std::vector<standins::SocketEvent>& taps, const RuleLimits& terms,
                        const std::vector<Outage>& outages);
const char* rule_name(int rule);

}  // namespace ivyfield::audit
