// Judges the six rules from what crossed the sockets of nodes, list and players. Shares no code with the
// director, asks it nothing and knows nothing of its decisions.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "standins/tap.hpp"

namespace ivyfield::audit {

struct ClassTerms {
    bool paid = false;
    int floor = 0, seats = 0;
    double patience = 0;
};
struct Terms {
    std::map<std::string, ClassTerms> classes;
    double answer_slack = 40, stop_within = 500;
    double network_slack = 60;  // what sockets, scheduling and the taps' own delay may add
    bool budget = false;
    double budget_free = 0, budget_per_request = 0, budget_window = 10000;
};
// A time in which a director's process did not run: what was lost there, or late, was not its doing.
struct Outage {
    std::string director;
    double from = 0, to = 0;
    bool died = true;  // else it stood still and went on: its sessions are its own still
};

struct Breach {
    int rule = 0;  // 1 to 6
    double at = 0;
    std::string what;
};
struct Verdict {
    std::vector<Breach> breaches;
    std::map<int, int> checked;  // how often each rule was put to the test
    bool kept(int rule) const;
};

Verdict judge(const std::vector<standins::Tap>& taps, const Terms& terms, const std::vector<Outage>& outages);
const char* rule_name(int rule);

}  // namespace ivyfield::audit
