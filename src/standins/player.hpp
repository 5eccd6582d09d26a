// A viewer's player as a stand-in: asks a director with CMCD, follows the playlist's first variant at its
// node, heeds CMSD's mb, goes back to a director when it is moved or its node is lost, gives up, comes again.
#pragma once

#include <functional>
#include <memory>

#include "hints/keys.hpp"
#include "http/client.hpp"
#include "standins/tap.hpp"

namespace ivyfield::standins {

enum class HintStyle { query, headers, missing, malformed, contradictory, over_long };

struct PlayerSettings {
    std::string name, sid, tenant, cls, title;
    bool non_idempotent = false;
    io::Time patience = 5000, startup_target = 1500, watch_duration = 30000;
    std::vector<double> rung_kb, rung_worth;  // the class's ladder
    double worth = 1;                         // of a second at worth 1
    int max_rung = 0;
    HintStyle hint_style = HintStyle::query;
    bool sends_duplicate = false;      // the same request again while the first is out
    io::Time leave_after = -1;         // closes its connection unanswered so soon; below 0: never
    double return_probability = 0.85;  // after a break, a refusal, a failure of a harmless class
    io::Time min_return_delay = 1600, max_return_delay = 2900;
    int max_tries = 4;
    io::Time segment_duration = 1000;
    double shortfall_penalty = 6;  // worth lost for each point of rate missing under 98 in 100
};

struct PlayerResult {
    std::string tenant, cls;
    bool started = false,
         in_time = false;  // in_time: playing within the aim, by the first try or a later one
    int tries = 0, rejected = 0, failed = 0, abandoned = 0, errors = 0, rung_changes = 0, moves = 0;
    io::Time startup_time = -1;  // to the first playlist, from the first ask
    double offered_worth = 0, earned_worth = 0;
};

class PlayerEmulator {
  public:
    // `director` gives the address to ask this time.
    PlayerEmulator(io::Loop& loop, http::Client& client, PlayerSettings settings,
                   std::function<std::pair<std::string, io::Address>()> director, EventSink tap,
                   std::function<void(const PlayerResult&)> done);
    ~PlayerEmulator();

  private:
    void ask();
    http::Request request() const;
    void answered(std::uint64_t asked, const http::CallResult& result);
    void gave_up();
    void again(io::Time least);
    void play(const std::string& base);
    void fetch();
    void segment_came(const http::CallResult& result);
    void drop_twin();
    void finish();
    SocketEvent tap_of(const char* what) const;

    io::Loop& loop_;
    http::Client& client_;
    PlayerSettings s_;
    std::function<std::pair<std::string, io::Address>()> director_;
    EventSink tap_;
    std::function<void(const PlayerResult&)> done_;
    PlayerResult result_;
    std::string asked_director_, base_path_;
    io::Address node_;
    std::unique_ptr<http::Call> call_, second_, media_;
    io::Timer patience_, leave_, pause_, twin_due_;
    io::Time began_ = 0, asked_at_ = 0, ends_ = 0, segment_began_ = 0;
    std::uint64_t segment_ = 0;
    int rung_ = 0, best_rung_ = 0, misses_ = 0;
    bool playing_ = false, over_ = false;
};

}  // namespace ivyfield::standins
