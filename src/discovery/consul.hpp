// The server list by Consul's health API: GET /v1/health/service/NAME with blocking queries.
//
// Followed from its documentation: the index goes back to 0 when it falls or is not above 0; a query waits up
// to `wait` plus a sixteenth; X-Consul-KnownLeader and X-Consul-LastContact tell how old a stale answer may
// be. An answer that is too old, malformed or no answer leaves the list as it was.
//
// What is read of an instance: Service.ID, Service.Address (else Node.Address), Service.Port, Service.Weights
// (.Passing, unless Meta has "weight"), Service.Meta: position, weight, kind, zone, started_ms (since 1970),
// state
// ("draining"). A check that is critical: gone, unless it is a maintenance check: draining.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/client.hpp"
#include "io/loop.hpp"
#include "ivyfield/director.hpp"

namespace ivyfield::discovery {

struct Instance {
    std::string id;  // unique in the service
    io::Address address;
    ServerEntry entry;
};

// Reads the answer's body. Times of start are set against the loop's clock with the two clocks given.
// Throws std::invalid_argument that says what is wrong; instances that can't be used are left out and told.
struct HealthResponse {
    std::vector<Instance> instances;
    std::vector<std::string> errors;
};
HealthResponse parse_health_response(const std::string& body, const std::vector<std::string>& kinds,
                                     io::Time now, double wall_ms);

struct ConsulSettings {
    io::Address address;
    std::string service;
    std::string user_agent = "ivyfield";  // User-Agent, by which the list's log tells its askers apart
    std::vector<std::string> kinds;
    io::Time max_wait = 30000, connect_timeout = 1000, min_retry_delay = 500, max_retry_delay = 10000,
             max_staleness = 60000;
    bool allow_stale = true;
    std::size_t max_body = 16 * 1024 * 1024;
};

struct ConsulCounts {
    std::uint64_t answers = 0, failures = 0, resets = 0, too_old = 0, left_out = 0;
};

class ConsulClient {
  public:
    using Changed = std::function<void(const std::vector<Instance>&)>;
    ConsulClient(io::Loop& loop, const ConsulSettings& settings, Changed changed);
    ~ConsulClient();
    const ConsulCounts& counts() const { return counts_; }
    std::string last_error() const { return fault_; }

  private:
    void ask();
    void answered(const http::CallResult& result);
    void again(io::Time wait);

    io::Loop& loop_;
    ConsulSettings settings_;
    Changed changed_;
    http::Client client_;
    std::unique_ptr<http::Call> call_;
    io::Timer retry_;
    io::Time wait_ = 0;
    std::uint64_t index_ = 0;
    ConsulCounts counts_;
    std::string fault_;
};

}  // namespace ivyfield::discovery
