// A media node as a stand-in: the node protocol (docs/node-protocol.md) and HLS media over HTTP, on the
// physics of src/fleet. Its faults are set from outside, by a day's script.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <vector>

#include "fleet/fleet.hpp"
#include "hls/playlist.hpp"
#include "http/server.hpp"
#include "standins/tap.hpp"

namespace ivyfield::standins {

struct EmulatedClass {
    std::string name;
    double rate_part = 1;
    bool live = false;
};
struct NodeSettings {
    std::string name = "node";
    io::Address listen;
    std::vector<double> rung_kb;
    std::vector<EmulatedClass> classes;
    io::Time min_setup_time = 30, max_setup_time = 120;  // the work of a set-up
    io::Time segment = 1000;                             // length of a media segment
    io::Time idle = 4000;                             // a session that fetches nothing for so long has ended
    io::Time note_interval = 1000, note_delay = 680;  // delivered-share notes
    io::Time report_interval = 500;                   // load reports are refreshed so often
    io::Time lease = 60000;       // sessions of a director without a stream for so long are ended
    io::Time remember = 60000;    // attempts let go are turned away for so long, should they still come
    std::size_t log = 1024;       // ends of each director's sessions kept, to take a stream up again
    double byte_fraction = 0.01;  // made-up segments carry this part of their bytes
    std::string media;            // a folder with RUNG/NUMBER.ts to serve instead
};

class NodeEmulator {
  public:
    // Throws std::runtime_error that names the file, when the folder of media can't be used.
    NodeEmulator(io::Loop& loop, fleet::Fleet& fleet, int number, NodeSettings settings, EventSink tap);
    ~NodeEmulator();
    const std::string& name() const { return settings_.name; }
    io::Address address() const { return address_; }
    int number() const { return number_; }

    // Faults.
    void start(bool warm);   // a new life at the same address
    void crash();            // connections break, all is lost
    void set_hung(bool on);  // accepts, reads and answers nothing; work under way stops too
    void set_answer_loss_probability(double part) {
        lose_ = part;
    }                                                          // the work is done, the answer never leaves
    void set_error_probability(double part) { fail_ = part; }  // an error at once, nothing is done
    void set_hang_after_paid_setup(bool on) {
        freeze_paid_ = on;
    }  // hangs just after the next paid set-up is accepted
    void set_report_delay(io::Time by) { late_ = by; }

    std::size_t session_count() const { return sessions_.size(); }

  private:
    using Key = std::tuple<std::string, std::uint64_t, int>;  // director, session, attempt
    struct Session {
        std::string token, sid, tenant, cls, title;
        std::uint64_t stream = 0, begun = 0;
        int rung = 0;
        bool non_idempotent = false;
        io::Timer idle;
    };
    struct Setting {  // a set-up under way
        http::ExchangePtr exchange;
        io::Timer timer;
    };

    void serve(const http::ExchangePtr& e);
    void set_up(const http::ExchangePtr& e);
    void set_up_done(const Key& key, const SocketEvent& from, int rung);
    // What this node knows of one director's sessions and tells it.
    struct Teller {
        http::ExchangePtr stream;
        std::uint64_t seq = 0, forgotten = 0;  // events numbered so far; those no longer in the log
        std::deque<std::pair<std::uint64_t, std::string>> ends;
        bool was_short = false;
        io::Timer lease;
    };
    void command(const http::ExchangePtr& e, const std::vector<std::string>& parts);
    void release(const http::ExchangePtr& e, const std::string& director);
    void let_go(const Key& key);
    std::string media_url(const std::string& token) const;
    void stream_gone(const std::string& director);
    void after(io::Time wait, std::function<void()> task);
    void media(const http::ExchangePtr& e, const std::vector<std::string>& parts);
    void read_folder();
    nlohmann::json renditions() const;
    bool live(const std::string& cls) const;
    void events(const http::ExchangePtr& e);
    void tell(const std::string& director, const std::string& line);
    void end(const Key& key, const char* how);
    void tick();
    void refresh();
    double kb(const std::string& cls, int rung) const;
    void tap(SocketEvent t);

    io::Loop& loop_;
    fleet::Fleet& fleet_;
    int number_;
    NodeSettings settings_;
    EventSink tap_;
    std::vector<hls::MediaPlaylist> titles_;  // of the folder, by rung
    std::vector<hls::Variant> renditions_;
    io::Address address_;
    std::unique_ptr<http::Server> server_;
    std::string boot_;
    std::map<Key, std::unique_ptr<Setting>> setting_;
    std::map<Key, std::unique_ptr<Session>> sessions_;
    std::map<std::string, Key> tokens_;
    std::set<std::string> moved_;            // tokens of moved sessions: their players are sent back
    std::map<std::string, Teller> tellers_;  // by director
    std::set<Key> let_go_;                   // attempts that will not be set up should they still come
    std::deque<std::pair<io::Time, Key>> let_go_order_;
    std::map<std::uint64_t, io::Timer> later_;
    std::uint64_t last_later_ = 0;
    std::vector<std::pair<io::Time, std::string>> reports_;  // made at, text
    io::Timer tick_, refresh_;
    double lose_ = 0, fail_ = 0;
    io::Time late_ = 0;
    bool freeze_paid_ = false, hung_ = false;
    std::vector<std::function<void()>> stopped_;  // work that waits for the end of a hang
};

}  // namespace ivyfield::standins
