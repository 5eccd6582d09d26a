// Reads the server list from Consul's health API: GET /v1/health/service/NAME with blocking queries.
//
// As Consul's documentation asks: the index is reset to 0 when it decreases or is not above 0; a query may
// take up to `wait` plus a sixteenth; X-Consul-KnownLeader and X-Consul-LastContact tell how old a stale
// response is. A response that is too old, malformed or missing leaves the list as it was.
//
// Fields read of an instance: Service.ID, Service.Address (else Node.Address), Service.Port, Service.Weights
// (.Passing, unless Meta has "weight"), Service.Meta: position, weight, kind, zone, started_ms (Unix time),
// state ("draining"). An instance with a critical check is gone, or draining if that is a maintenance check.
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

// One instance of the service, as the decision module takes it.
struct Instance {
    std::string id;  // Service.ID, unique in the service
    io::Address address;
    ServerEntry entry;
};

struct HealthResponse {
    std::vector<Instance> instances;
    std::vector<std::string> errors;  // one for each instance that was left out
};
// Parses a response body. `now` and `wall_ms` are the same moment on the loop's clock and in Unix time; start
// times are converted with them. Throws std::invalid_argument if the body is not a list; instances that can't
// be used are left out, with an error.
HealthResponse parse_health_response(const std::string& body, const std::vector<std::string>& kinds,
                                     io::Time now, double wall_ms);

// Settings of a ConsulClient. Times in ms, sizes in bytes.
struct ConsulSettings {
    io::Address address;
    std::string service;
    std::string user_agent = "ivyfield";  // tells directors apart in Consul's log
    std::vector<std::string> kinds;
    io::Time max_wait = 30000, connect_timeout = 1000, min_retry_delay = 500, max_retry_delay = 10000,
             max_staleness = 60000;
    bool allow_stale = true;
    std::size_t max_body = 16 * 1024 * 1024;
};

// Counters of a ConsulClient: responses accepted (answers), queries that failed, resets of the index,
// responses that were too old (also counted as failures), instances left out.
struct ConsulCounts {
    std::uint64_t answers = 0, failures = 0, resets = 0, too_old = 0, left_out = 0;
};

// Follows the list of one service and calls the handler with each new list, from construction to destruction.
class ConsulClient {
  public:
    using ChangeHandler = std::function<void(const std::vector<Instance>&)>;
    ConsulClient(io::Loop& loop, const ConsulSettings& settings, ChangeHandler on_change);
    ~ConsulClient();
    const ConsulCounts& counts() const { return counts_; }
    std::string last_error() const { return last_error_; }

  private:
    void send_query();
    void handle_response(const http::CallResult& result);
    void schedule_query(io::Time wait);

    io::Loop& loop_;
    ConsulSettings settings_;
    ChangeHandler on_change_;
    http::Client client_;
    std::unique_ptr<http::Call> call_;
    io::Timer query_timer_;
    io::Time retry_delay_ = 0;  // doubles with each failure
    std::uint64_t index_ = 0;   // of the last response; 0: the next query does not block
    ConsulCounts counts_;
    std::string last_error_;
};

}  // namespace ivyfield::discovery
