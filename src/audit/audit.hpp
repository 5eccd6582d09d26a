// Checks the six rules of a director against the traffic that the emulated nodes, server list and players
// recorded at their sockets. Shares no code with the director, asks it nothing and knows none of its
// decisions.
//
// Times are milliseconds on the clock of the recorded events.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "standins/tap.hpp"

namespace ivyfield::audit {

// What a director promises for one class.
struct ClassLimits {
    bool non_idempotent = false;
    int min_rung = 0, seats = 0;
    double patience = 0;
};
// What a director promises: the limits that the six rules are checked against.
struct RuleLimits {
    std::map<std::string, ClassLimits> classes;
    double answer_tolerance = 40, drain_stop_within = 500;
    double network_tolerance = 60;  // added delay of sockets, scheduling and the recording itself
    bool has_retry_budget = false;
    double free_retries = 0, retries_per_request = 0, retry_window = 10000;
};
// An interval in which a director's process did not run. Losses and delays within it are not held against the
// director.
struct Outage {
    std::string director;
    double from = 0, to = 0;
    bool process_ended = true;  // false: the process was stalled, then continued and still owns its sessions
};

// One breach of a rule: when it happened and a description for the report.
struct Violation {
    int rule = 0;  // 1 to 6
    double at = 0;
    std::string description;
};
// The violations found, and how often each rule could have been broken.
struct AuditResult {
    std::vector<Violation> violations;
    std::map<int, int> check_counts;  // by rule
    // Whether no violation of `rule` was found.
    bool is_kept(int rule) const;
};

// Checks `events`, which are in the order of their recording.
AuditResult check_rules(const std::vector<standins::SocketEvent>& events, const RuleLimits& limits,
                        const std::vector<Outage>& outages);
// The name of a rule in reports; "?" for a number outside 1 to 6.
const char* rule_name(int rule);

}  // namespace ivyfield::audit
