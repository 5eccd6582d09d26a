// The player's path over HTTP (RFC 8216 for the playlist, CTA-5004 and CTA-5006 for hints).
//
//   GET /v1/watch/TENANT/CLASS/TITLE/master.m3u8      a request for a session, with CMCD
//     200  plays: a multivariant playlist whose media URIs lie at the chosen node; CMSD-Dynamic mb, rd
//     503  refused: Retry-After, CMSD-Dynamic du
//     504  failed
//   OPTIONS of it, as a browser's preflight          204, what is allowed; no session is taken
//   GET /v1/status                                    counts, as JSON
//
// The session's id is CMCD's sid; where none comes one is made, and the playlist's URIs carry it. A request
// that repeats a sid joins the session that it has.
#pragma once

#include <map>
#include <memory>

#include "config/config.hpp"
#include "core/engine.hpp"
#include "hints/keys.hpp"
#include "http/server.hpp"

namespace ivyfield::fronts {

struct FrontCounts {
    std::uint64_t requests = 0, bad = 0, hints_dropped = 0, sids_made = 0, gone = 0, preflights = 0;
};

class HttpFront {
  public:
    HttpFront(io::Loop& loop, const config::Config& config, core::Engine& engine);
    ~HttpFront();
    io::Address address() const { return server_.address(); }
    // Graceful shutdown, see http::Server.
    void drain() { server_.drain(); }
    void stop_listening() { server_.stop_listening(); }
    std::size_t connections() const { return server_.open_connections(); }
    const FrontCounts& counts() const { return counts_; }
    const http::ServerCounts& http_counts() const { return server_.counts(); }
    std::function<std::string()> status;  // the body of /v1/status

    struct Pending;

  private:
    void serve(const http::ExchangePtr& exchange);
    void watch(const http::ExchangePtr& exchange, const std::string& tenant, const std::string& cls,
               const std::string& title);
    std::string make_sid();

    io::Loop& loop_;
    config::Config config_;
    core::Engine& engine_;
    FrontCounts counts_;
    std::uint64_t next_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Pending>> pending_;
    http::Server server_;
};

// The playlist that sends a player to a node: the rung in force first, for players that start with the first.
std::string master_playlist(const Settings& settings, int cls, int rung, int top, const core::Media& media);
// Kilobits a second of a rung of the class's ladder, as CMSD's mb and HLS's BANDWIDTH tell it.
std::int64_t rung_kbps(const Settings& settings, int cls, int rung);

}  // namespace ivyfield::fronts
