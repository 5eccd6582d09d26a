// The list of media nodes from the platform's name server: DNS over UDP (RFC 1035, RFC 2782), read and built
// with ldns. The serial of the SOA record numbers the list; an answer is taken whole or not at all. What
// can't be read, is not ours, is cut short, reports a failure or is older than what is known changes nothing
// and is asked for again. What can't be had for seconds leaves the last list in force.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "decide/poll_schedule.hpp"
#include "io/loop.hpp"
#include "ivyfield/director.hpp"

namespace ivyfield::discovery {

// A media node as the platform lists it.
struct Member {
    std::string uid;
    io::Address address;
    std::string zone, kind;
    int cell = 0;
    ServerState state = ServerState::ready;
    double weight = 0;
    double started_unix_ms = 0;  // 0: long ago

    friend bool operator==(const Member& a, const Member& b) {
        return a.uid == b.uid && a.address == b.address && a.zone == b.zone && a.kind == b.kind &&
               a.cell == b.cell && a.state == b.state && a.weight == b.weight &&
               a.started_unix_ms == b.started_unix_ms;
    }
};
using Members = std::map<std::string, Member>;  // by uid

struct SrvAnswer {
    std::uint32_t serial = 0;
    Members members;
};
// A query's bytes.
std::string srv_query(const std::string& name, std::uint16_t id);
// The answer to that query, or why it is none (`fault`).
std::optional<SrvAnswer> read_srv(std::string_view bytes, const std::string& name, std::uint16_t id,
                                  std::string& fault);

struct SrvCounts {
    std::uint64_t asked = 0, taken = 0, same = 0, bad = 0, older = 0, unanswered = 0;
};

class SrvList {
  public:
    // What a good answer that is not older than the last one tells.
    struct Events {
        std::function<void(const Members& all)> changed;  // a whole list, newer than the last
        std::function<void()> confirmed;                  // the last one holds at this moment
    };
    // `known`: the number of the last event that `members` holds.
    SrvList(io::Loop& loop, const io::Address& server, const std::string& name, std::uint32_t known,
            Events events);
    void move_to(const io::Address& server);  // the numbers go on
    const SrvCounts& counts() const { return counts_; }
    const std::string& last_fault() const { return fault_; }

  private:
    void ask();
    void heard(const io::Address& from, std::string_view bytes);
    void take(const SrvAnswer& answer, std::string_view bytes, bool fresh);
    void confirm(bool fresh);

    io::Loop& loop_;
    io::Address server_;
    std::string name_;
    std::string query_;  // built once; its first two bytes are the id
    std::uint32_t serial_;
    std::string last_answer_;  // bytes of the newest list, without the id of its query; empty: none yet
    Events events_;
    std::unique_ptr<io::DatagramSocket> socket_;
    struct Query {
        std::uint16_t id;
        io::Time asked;
    };
    std::deque<Query> open_;  // that may still be answered, oldest first
    decide::PollSchedule polling_;
    io::Timer next_;
    SrvCounts counts_;
    std::string fault_;
};

}  // namespace ivyfield::discovery
