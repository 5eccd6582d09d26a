// Ports of the session engine to media nodes, players and the server list. They are independent of any
// protocol: each is implemented for each wire protocol and again in tests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ivyfield/director.hpp"

namespace ivyfield::core {

// A viewer's request for a session. Class and tenant are indices into Settings; their names are carried
// along for nodes and logs only.
struct ViewerRequest {
    std::string cls_name;
    std::string sid;  // the player's own id of its session, the same on all its retries
    std::string title_name;
    int cls = 0, tenant = 0;
    TitleId title = 0;
    int first_cell = 0, cell_count = 0, top_rung = 0;
    // Set in protocols where clients number sessions: each request is then a session of its own with
    // this id, and itself states the viewer, the deadline and whether the viewer returns (the next
    // three members).
    std::optional<SessionId> preassigned_id;
    std::uint64_t viewer = 0;
    Time deadline = 0;
    bool returning = false;
    std::string description;  // opaque, passed to the node
};

// What a node plays at a rung, as HLS describes it to players; empty where the node does not say.
struct Rendition {
    std::string codecs, resolution;
};

// Where a node serves a session's media.
struct Media {
    std::string url;                    // absolute, ends with '/'
    std::vector<Rendition> renditions;  // by rung; may be fewer than there are rungs
    std::string description = {};       // opaque, passed to the viewer
};

// Maps a title's name to its id, the same at every director and after every restart.
TitleId compute_title_id(const std::string& title_name);

// A session that a node plays but this incarnation of the director does not know.
struct OrphanedSession {
    SessionId session = 0;
    int attempt = 0;
    ServerId server = 0;
    int rung = 0;
    ViewerRequest request;  // cls or tenant is -1 if the settings no longer name it
    Media media;
};

// Where an established session plays.
struct Placement {
    SessionId session = 0;
    int attempt = 0;
    ServerId server = 0;
    int rung = 0;
    Media media;
};

// The result of a session request.
enum class Answer { established, rejected, failed, abandoned };
const char* name(Answer answer);  // as it is written to the log

// Receives the answer to one request of a player: exactly one of these calls, once.
class AnswerHandler {
  public:
    virtual ~AnswerHandler() = default;
    virtual void on_established(const Placement& placement) = 0;
    virtual void on_rejected(Time retry_after) = 0;  // after how long to ask again, ms
    virtual void on_failed() = 0;
};

// One attempt to set up a session at a node.
struct SetupRequest {
    SessionId session = 0;
    int attempt = 0;
    ServerId server = 0;
    int rung = 0;
    Time expires = 0;  // when the engine gives the attempt up, on the loop's clock
    ViewerRequest request;
    bool non_idempotent = false;  // must not be sent again unless it provably never ran
};

// The media nodes. Every call that begins an operation is completed by one call of NodeEvents, never from
// within the call itself.
class NodePort {
  public:
    virtual ~NodePort() = default;
    // Completed by on_attempt_started(), on_attempt_ended() or on_attempt_lost().
    virtual void set_up(const SetupRequest& setup) = 0;
    virtual void set_rung(ServerId server, SessionId session, int attempt, int rung) = 0;
    // Has the session leave its node; on_attempt_ended() reports when it has.
    virtual void move(ServerId server, SessionId session, int attempt) = 0;
    // Gives the attempt up. If it was pending, the node may still hold it: on_attempt_released() reports,
    // once, when it is known not to. If it plays, on_attempt_ended() reports its end.
    virtual void cancel(ServerId server, SessionId session, int attempt) = 0;
    virtual void probe(ServerId server) = 0;  // completed by on_probe_result()
    // Whether cancel() ends a pending attempt at its node immediately: then on_attempt_released() is never
    // called and the attempt is never unreleased.
    virtual bool is_cancel_final() const { return false; }
};

// Events from the nodes to the engine.
class NodeEvents {
  public:
    virtual ~NodeEvents() = default;
    virtual void on_attempt_started(SessionId session, int attempt, const Media& media) = 0;
    // The attempt has ended and the node holds nothing of it.
    virtual void on_attempt_ended(SessionId session, int attempt, Outcome outcome,
                                  const LoadReport& report) = 0;
    // The attempt is over for its session, but the node may still hold it; on_attempt_released()
    // follows, once.
    virtual void on_attempt_lost(SessionId session, int attempt, Outcome outcome) = 0;
    // An attempt that was lost or cancelled is known to be over at the node.
    virtual void on_attempt_released(SessionId session, int attempt) = 0;
    virtual void on_session_note(SessionId session, int attempt, ServerId server, NoteKind kind,
                                 double value) = 0;
    // True: the session is reclaimed and counts from now on. False: the node must end it.
    virtual bool reclaim_session(const OrphanedSession& orphan) = 0;
    // The process that answers at the node, now or when one answers again, did not start before `started`.
    virtual void on_node_incarnation(ServerId server, Time started) = 0;
    virtual void on_probe_result(ServerId server, Outcome outcome, Time elapsed,
                                 const LoadReport& report) = 0;
};

// Controls the server list, for decision modules that request it; a pushed list needs neither call.
class ServerListPort {
  public:
    virtual ~ServerListPort() = default;
    virtual void follow(bool on) = 0;  // starts or stops reporting changes
    virtual void fetch() = 0;          // requests the list once
};

}  // namespace ivyfield::core
