// The HTTP interface for players (RFC 8216 for the playlist, CTA-5004 and CTA-5006 for hints).
//
//   GET /v1/watch/TENANT/CLASS/TITLE/master.m3u8      requests a session; takes CMCD
//     200  plays: a multivariant playlist with media URIs at the chosen node; CMSD-Dynamic mb, rd
//     503  refused: Retry-After, CMSD-Dynamic du
//     504  failed
//   OPTIONS of that path (a browser's preflight)      204 with what is allowed; opens no session
//   GET /v1/status                                    counters, as JSON
//
// The session is identified by CMCD's sid; without one, a sid is generated, and the playlist's URIs carry it.
// A request that repeats a sid joins its session.
#pragma once

#include <map>
#include <memory>

#include "config/config.hpp"
#include "core/engine.hpp"
#include "hints/keys.hpp"
#include "http/server.hpp"

namespace ivyfield::fronts {

// Counters of an HttpFront since its start. `gone`: players that closed before their answer.
struct HttpFrontCounts {
    std::uint64_t requests = 0, bad = 0, hints_dropped = 0, generated_sids = 0, gone = 0, preflights = 0;
};

// Serves players. The engine must outlive the front.
class HttpFront {
  public:
    HttpFront(io::Loop& loop, const config::Config& config, core::Engine& engine);
    ~HttpFront();
    io::Address address() const { return server_.address(); }
    // For a graceful shutdown; see http::Server.
    void drain() { server_.drain(); }
    void stop_listening() { server_.stop_listening(); }
    std::size_t connection_count() const { return server_.open_connections(); }
    const HttpFrontCounts& counts() const { return counts_; }
    const http::ServerCounts& http_counts() const { return server_.counts(); }
    std::function<std::string()> render_status;  // returns the body of /v1/status

    struct PendingRequest;

  private:
    void handle_request(const http::ExchangePtr& exchange);
    void handle_watch(const http::ExchangePtr& exchange, const std::string& tenant, const std::string& cls,
                      const std::string& title);
    std::string generate_sid();

    io::Loop& loop_;
    config::Config config_;
    core::Engine& engine_;
    HttpFrontCounts counts_;
    std::uint64_t last_request_number_ = 0;
    std::map<std::uint64_t, std::unique_ptr<PendingRequest>> pending_requests_;
    http::Server server_;
};

// Returns the multivariant playlist that sends a player to its node. The chosen rung comes first, since some
// players start with the first variant; the other rungs of the class up to `top` follow.
std::string make_master_playlist(const Settings& settings, int cls, int rung, int top,
                                 const core::Media& media);
// Returns the bitrate of a rung for a class, in kbit/s as in CMSD's mb (HLS's BANDWIDTH is the same in
// bit/s).
std::int64_t rung_kbps(const Settings& settings, int cls, int rung);

}  // namespace ivyfield::fronts
