// What the session engine speaks to: nodes and players. No protocol here; each port is implemented once on
// the wire and again in tests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ivyfield/director.hpp"

namespace ivyfield::core {

// What a viewer asks for. Indices into Settings; names travel beside them, for nodes and logs only.
struct ViewerRequest {
    std::string cls_name;
    std::string sid;  // the player's own id of its session; stays over all its tries
    std::string title_name;
    int cls = 0, tenant = 0;
    TitleId title = 0;
    int first_cell = 0, cell_count = 0, top_rung = 0;
    // Of protocols that number their sessions themselves: then each request is a session of its own, under
    // that number, and says itself who asks, until when, and whether it comes again.
    std::optional<SessionId> preassigned_id;
    std::uint64_t viewer = 0;
    Time deadline = 0;
    bool returning = false;
    std::string description;  // opaque, for the node
};

// What a node plays at a rung, where it says so: as HLS tells it to players.
struct Rendition {
    std::string codecs, resolution;
};
// Where a node serves a session's media.
struct Media {
    std::string url;                    // absolute, ends with '/'
    std::vector<Rendition> renditions;  // by rung; may be fewer
    std::string description = {};       // opaque, for the viewer
};

// One number for one title, alike at each director and after each restart.
TitleId compute_title_id(const std::string& title_name);

// A session that a node plays and this life of the director knows nothing of.
struct OrphanedSession {
    SessionId session = 0;
    int attempt = 0;
    ServerId server = 0;
    int rung = 0;
    ViewerRequest request;  // cls or tenant -1: the settings name it no more
    Media media;
};

struct Placement {
    SessionId session = 0;
    int attempt = 0;
    ServerId server = 0;
    int rung = 0;
    Media media;
};

enum class Answer { established, rejected, failed, abandoned };
const char* name(Answer answer);

// One request of a player that waits for an answer. It hears exactly one of these, once.
class AnswerHandler {
  public:
    virtual ~AnswerHandler() = default;
    virtual void on_established(const Placement& where) = 0;
    virtual void on_rejected(Time retry_after) = 0;
    virtual void on_failed() = 0;
};

struct SetupRequest {
    SessionId session = 0;
    int attempt = 0;
    ServerId server = 0;
    int rung = 0;
    Time expires = 0;
    ViewerRequest request;
    bool paid = false;
};

// The media nodes. Every call that begins something ends in one call of NodeEvents, never from within.
class NodePort {
  public:
    virtual ~NodePort() = default;
    virtual void set_up(const SetupRequest& what) = 0;  // ends in started() or over()
    virtual void set_rung(ServerId server, SessionId session, int attempt, int rung) = 0;
    // The session leaves its node; over() tells when it has.
    virtual void move(ServerId server, SessionId session, int attempt) = 0;
    // The attempt is given up. If it was out, it may be at the node still: released() tells, once, when it is
    // known not to be. If it plays, over() tells.
    virtual void cancel(ServerId server, SessionId session, int attempt) = 0;
    virtual void probe(ServerId server) = 0;  // ends in probed()
    // Whether a cancelled attempt that was out is over at its node with the call: then released() never comes
    // and nothing of it is in doubt.
    virtual bool is_cancel_final() const { return false; }
};

// What nodes tell the engine.
class NodeEvents {
  public:
    virtual ~NodeEvents() = default;
    virtual void on_attempt_started(SessionId session, int attempt, const Media& media) = 0;
    // Over, and nothing of it is left at the node.
    virtual void on_attempt_ended(SessionId session, int attempt, Outcome outcome,
                                  const LoadReport& report) = 0;
    // Over for its session, but the node may hold it still; released() follows, once.
    virtual void on_attempt_lost(SessionId session, int attempt, Outcome outcome) = 0;
    // An attempt that was lost or cancelled is known to be over at the node.
    virtual void on_attempt_released(SessionId session, int attempt) = 0;
    virtual void on_session_note(SessionId session, int attempt, ServerId server, NoteKind kind,
                                 double value) = 0;
    // True: the session is taken back and counts from now on. False: the node is to end it.
    virtual bool reclaim_session(const OrphanedSession& one) = 0;
    // The process that answers at the node, now or when one answers again, has not run since before
    // `started`.
    virtual void on_node_incarnation(ServerId server, Time started) = 0;
    virtual void on_probe_result(ServerId server, Outcome outcome, Time waited, const LoadReport& report) = 0;
};

// The list of servers, for modules that ask for it; a pushed list needs neither.
class ServerListPort {
  public:
    virtual ~ServerListPort() = default;
    virtual void follow(bool on) = 0;
    virtual void fetch() = 0;
};

}  // namespace ivyfield::core
