// The list of media nodes, polled from the platform's name server: SRV records by DNS over UDP (RFC 1035,
// RFC 2782), encoded and decoded with ldns. The serial of the SOA record is the version of the list. A
// response is accepted whole or not at all: one that can't be parsed, does not match a query, is truncated,
// reports an error or is older than the known list changes nothing, and the server is queried again. If no
// response arrives for seconds, the last list stays in force.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "decide/poll_schedule.hpp"
#include "io/loop.hpp"
#include "ivyfield/director.hpp"

namespace ivyfield::discovery {

// A media node as it is listed by the platform.
struct Member {
    std::string uid;
    io::Address address;
    std::string zone, kind;
    int cell = 0;
    ServerState state = ServerState::ready;
    double weight = 0;
    double started_unix_ms = 0;  // when its process started; 0: long ago

    friend bool operator==(const Member& a, const Member& b) {
        return a.uid == b.uid && a.address == b.address && a.zone == b.zone && a.kind == b.kind &&
               a.cell == b.cell && a.state == b.state && a.weight == b.weight &&
               a.started_unix_ms == b.started_unix_ms;
    }
};
using Members = std::map<std::string, Member>;  // by uid

// A parsed response: the version of the list and the whole list.
struct SrvResponse {
    std::uint32_t serial = 0;
    Members members;
};
// Returns the bytes of an SRV query for `name`. Throws std::invalid_argument if that is not a domain name.
std::string build_srv_query(const std::string& name, std::uint16_t id);
// Parses the response to the query with that name and id. Returns nothing, with the reason in `error`, if
// `bytes` are not such a response or can't be used.
std::optional<SrvResponse> parse_srv_response(std::string_view bytes, const std::string& name,
                                              std::uint16_t id, std::string& error);

// Counters of a SrvPoller: queries sent (asked), responses with a newer (taken), the same (same) or an older
// list, bad responses, and queries given up without a response.
struct SrvCounts {
    std::uint64_t asked = 0, taken = 0, same = 0, bad = 0, older = 0, unanswered = 0;
};

// Polls the name server for the list of media nodes.
class SrvPoller {
  public:
    struct Events {
        std::function<void(const Members& all)> on_changed;  // a response with a newer list
        std::function<void()> on_confirmed;                  // a fresh response with the list already known
    };
    // `known_serial`: the version of the list that the caller has already.
    SrvPoller(io::Loop& loop, const io::Address& server, const std::string& name, std::uint32_t known_serial,
              Events events);
    void set_server(const io::Address& server);  // the known serial is kept
    const SrvCounts& counts() const { return counts_; }
    const std::string& last_error() const { return last_error_; }

  private:
    void send_query();
    void handle_datagram(const io::Address& from, std::string_view bytes);
    void handle_response(const SrvResponse& response, std::string_view bytes, bool fresh);
    void confirm_list(bool fresh);

    io::Loop& loop_;
    io::Address server_;
    std::string name_;
    std::string query_;  // built once; the first two bytes are replaced by each query's id
    std::uint32_t serial_;
    std::string last_response_;  // bytes of the last accepted response without its id; empty: none yet
    Events events_;
    std::unique_ptr<io::DatagramSocket> socket_;
    struct Query {
        std::uint16_t id;
        io::Time sent_at;
    };
    std::deque<Query> open_queries_;  // oldest first
    decide::PollSchedule poll_schedule_;
    io::Timer query_timer_;
    SrvCounts counts_;
    std::string last_error_;
};

}  // namespace ivyfield::discovery
