// Emulator of a viewer's player: requests a session from a director with CMCD hints, plays the first variant
// of the playlist at its node and follows CMSD's mb. It asks a director again when it is moved or its node is
// lost, gives up after its patience, and may return after a pause. Times are milliseconds.
#pragma once

#include <functional>
#include <memory>

#include "hints/keys.hpp"
#include "http/client.hpp"
#include "standins/tap.hpp"

namespace ivyfield::standins {

// How a player sends its CMCD keys, if at all.
enum class HintStyle { query, headers, missing, malformed, contradictory, over_long };

// Behaviour of one player.
struct PlayerSettings {
    std::string name, sid, tenant, cls, title;
    bool non_idempotent = false;
    io::Time patience = 5000, startup_target = 1500, watch_duration = 30000;
    std::vector<double> rung_kb, rung_worth;  // the ladder of the class
    double worth = 1;                         // of one second at a rung of worth 1
    int max_rung = 0;
    HintStyle hint_style = HintStyle::query;
    bool sends_duplicate = false;  // sends the same request again while the first is pending
    io::Time leave_after = -1;     // closes its connection without an answer after this time; below 0: never
    // After an interruption, a rejection or the failure of an idempotent class.
    double return_probability = 0.85;
    io::Time min_return_delay = 1600, max_return_delay = 2900;
    int max_tries = 4;
    io::Time segment_duration = 1000;
    double shortfall_penalty = 6;  // worth lost per percentage point of rate below 98 %
};

// What became of one player.
struct PlayerResult {
    std::string tenant, cls;
    bool started = false, in_time = false;  // in_time: playback within the startup target, in whichever try
    int tries = 0, rejected = 0, failed = 0, abandoned = 0, errors = 0, rung_changes = 0, moves = 0;
    io::Time startup_time = -1;  // from the first request to the first playlist
    double offered_worth = 0, earned_worth = 0;
};

// One player. `on_finished` is called from the loop, so that it may destroy the player.
class PlayerEmulator {
  public:
    // `director` returns the name and address of the director for the next request.
    PlayerEmulator(io::Loop& loop, http::Client& client, PlayerSettings settings,
                   std::function<std::pair<std::string, io::Address>()> director, EventSink event_sink,
                   std::function<void(const PlayerResult&)> on_finished);
    ~PlayerEmulator();

  private:
    void send_request();
    http::Request make_request() const;
    void handle_answer(std::uint64_t asked, const http::CallResult& result);
    void handle_answer_timeout();
    void schedule_return(io::Time min_wait);
    void start_playback(const std::string& base);
    void fetch_segment();
    void handle_segment(const http::CallResult& result);
    void cancel_duplicate();
    void finish();
    SocketEvent make_event(const char* what) const;

    io::Loop& loop_;
    http::Client& client_;
    PlayerSettings settings_;
    std::function<std::pair<std::string, io::Address>()> choose_director_;
    EventSink event_sink_;
    std::function<void(const PlayerResult&)> on_finished_;
    PlayerResult result_;
    std::string current_director_, base_path_;
    io::Address node_;
    std::unique_ptr<http::Call> request_call_, duplicate_call_, segment_call_;
    io::Timer answer_timer_, leave_timer_, pause_timer_, duplicate_timer_;
    io::Time started_at_ = 0, request_sent_at_ = 0, ends_at_ = 0, segment_started_at_ = 0;
    std::uint64_t next_segment_ = 0;
    int rung_ = 0, best_rung_ = 0, consecutive_timeouts_ = 0;
    bool playing_ = false, finished_ = false;
};

}  // namespace ivyfield::standins
