// Emulator of a media node: the node protocol (docs/node-protocol.md) and HLS media over HTTP, with the
// capacity model of src/fleet. Faults are injected from outside, by a scenario. Times are milliseconds.
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

// What a node knows of a class: the factor on the rates of its ladder and whether its titles are live.
struct EmulatedClass {
    std::string name;
    double rate_factor = 1;
    bool live = false;
};
// Settings of one emulated node.
struct NodeSettings {
    std::string name = "node";
    io::Address listen;
    std::vector<double> rung_kb;
    std::vector<EmulatedClass> classes;
    io::Time min_setup_time = 30, max_setup_time = 120;  // how long a set-up takes
    io::Time segment_duration = 1000;                    // of a media segment
    io::Time idle_timeout = 4000;                        // a session that fetches nothing for this long ends
    io::Time note_interval = 1000, note_delay = 680;     // notes about the delivered share
    io::Time report_interval = 500;                      // interval of new load reports
    io::Time lease_time = 60000;         // a director's sessions end after this time without an event stream
    io::Time release_retention = 60000;  // released attempts that arrive within this time are rejected
    // Session ends kept per director, so that it can resume its event stream.
    std::size_t max_logged_ends = 1024;
    double byte_fraction = 0.01;  // part of their nominal bytes that generated segments carry
    std::string media_folder;     // folder with RUNG/NUMBER.ts to serve instead; empty: generated
};

// One media node. Its fleet entry `number` models its capacity.
class NodeEmulator {
  public:
    // Throws std::runtime_error, which names the file, if the media folder can't be used.
    NodeEmulator(io::Loop& loop, fleet::Fleet& fleet, int number, NodeSettings settings,
                 EventSink event_sink);
    ~NodeEmulator();
    const std::string& name() const { return settings_.name; }
    io::Address address() const { return address_; }
    int number() const { return number_; }

    // Injected faults.
    void start(bool warm);   // starts a new incarnation at the same address
    void crash();            // closes all connections and loses all sessions
    void set_hung(bool on);  // accepts, reads and answers nothing, pending work stops
    void set_answer_loss_probability(double part) {
        answer_loss_probability_ = part;
    }  // the set-up runs, its answer is not sent
    void set_error_probability(double part) {
        error_probability_ = part;
    }  // answers with an error at once, the set-up does not run
    void set_hang_after_paid_setup(bool on) {
        hang_after_paid_setup_ = on;
    }  // hangs right after accepting the next non-idempotent set-up
    void set_report_delay(io::Time by) { report_delay_ = by; }

    std::size_t session_count() const { return sessions_.size(); }

  private:
    using AttemptKey = std::tuple<std::string, std::uint64_t, int>;  // director, session, attempt
    struct Session {
        std::string token, sid, tenant, cls, title;
        std::uint64_t stream_id = 0, start_seq = 0;
        int rung = 0;
        bool non_idempotent = false;
        io::Timer idle_timer;
    };
    struct PendingSetup {  // a set-up that was accepted and has not run yet
        http::ExchangePtr exchange;
        io::Timer work_timer;
    };

    void handle_request(const http::ExchangePtr& exchange);
    void handle_setup(const http::ExchangePtr& exchange);
    void complete_setup(const AttemptKey& key, const SocketEvent& setup_event, int rung);
    // Event stream and event log of one director's sessions.
    struct DirectorState {
        http::ExchangePtr event_stream;
        std::uint64_t last_seq = 0,
                      last_dropped_seq = 0;  // last event numbered; last one dropped from the log
        std::deque<std::pair<std::uint64_t, std::string>> end_log;
        bool was_short_of_rate = false;
        io::Timer lease_timer;
    };
    void handle_command(const http::ExchangePtr& exchange, const std::vector<std::string>& parts);
    void handle_release(const http::ExchangePtr& exchange, const std::string& director);
    void release_attempt(const AttemptKey& key);
    std::string media_url(const std::string& token) const;
    void start_lease(const std::string& director);
    void schedule(io::Time wait, std::function<void()> task);
    void serve_media(const http::ExchangePtr& exchange, const std::vector<std::string>& parts);
    void load_media_folder();
    nlohmann::json renditions_json() const;
    bool is_live(const std::string& cls) const;
    void serve_events(const http::ExchangePtr& exchange);
    void send_event(const std::string& director, const std::string& line);
    void end_session(const AttemptKey& key, const char* how);
    void send_notes();
    void refresh_load_report();
    double rate_kb(const std::string& cls, int rung) const;
    void record_event(SocketEvent event);

    io::Loop& loop_;
    fleet::Fleet& fleet_;
    int number_;
    NodeSettings settings_;
    EventSink event_sink_;
    std::vector<hls::MediaPlaylist> playlists_;  // of the media folder, by rung
    std::vector<hls::Variant> renditions_;
    io::Address address_;
    std::unique_ptr<http::Server> server_;
    std::string boot_;
    std::map<AttemptKey, std::unique_ptr<PendingSetup>> pending_setups_;
    std::map<AttemptKey, std::unique_ptr<Session>> sessions_;
    std::map<std::string, AttemptKey> keys_by_token_;
    std::set<std::string>
        moved_tokens_;  // tokens of moved sessions, whose players have to ask a director again
    std::map<std::string, DirectorState> directors_;  // by director
    std::set<AttemptKey> released_attempts_;          // attempts that are rejected if they still arrive
    std::deque<std::pair<io::Time, AttemptKey>> release_expiry_queue_;
    std::map<std::uint64_t, io::Timer> scheduled_tasks_;
    std::uint64_t last_task_id_ = 0;
    std::vector<std::pair<io::Time, std::string>> load_reports_;  // creation time and text
    io::Timer note_timer_, report_timer_;
    double answer_loss_probability_ = 0, error_probability_ = 0;
    io::Time report_delay_ = 0;
    bool hang_after_paid_setup_ = false, hung_ = false;
    std::vector<std::function<void()>> deferred_work_;  // work to be done when a hang ends
};

}  // namespace ivyfield::standins
