// Player requests through the director's own parts (front, engine, node link, list) to a scripted node, in
// simulated time: good and bad hints, the same sid twice, closed and half-closed connections, moves, rung
// changes and crashes.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "cli/director.hpp"
#include "http/client.hpp"
#include "io/virtual/world.hpp"
#include "standins/list.hpp"
#include "standins/node.hpp"

using namespace ivyfield;
using nlohmann::json;

namespace {

const io::Address kDirector{"127.0.0.1", 8080};

struct HttpFrontTest : testing::Test {
    io::World world{9};
    io::VirtualLoop& peer_loop = world.start("rig");
    io::VirtualLoop& director_loop = world.start("director");
    std::vector<standins::SocketEvent> taps;
    fleet::Fleet fleet{[] {
        fleet::FleetSpec s;
        s.rack_kb = {1e6};
        return s;
    }()};
    std::vector<std::unique_ptr<standins::NodeEmulator>> nodes;
    std::unique_ptr<standins::ServerListEmulator> list;
    std::unique_ptr<cli::DirectorProcess> director;
    http::Client client{peer_loop, {}};

    void SetUp() override {
        list = std::make_unique<standins::ServerListEmulator>(peer_loop, io::Address{"127.0.0.1", 8500},
                                                              "media", standins::EventSink{});
        for (int k = 0; k < 2; ++k) add_node(k);
        config::LoadResult loaded = config::load(make_config());
        for (const auto& f : loaded.errors) ADD_FAILURE() << f.path << f.message;
        director = std::make_unique<cli::DirectorProcess>(director_loop, loaded.config, 3);
        run_for(500);
    }
    void TearDown() override {
        if (!director_loop.is_killed()) world.kill(director_loop);
        director.reset();
    }
    void add_node(int k) {
        standins::NodeSettings s;
        s.name = "n" + std::to_string(k);
        s.rung_kb = {100, 200, 400};
        s.classes = {{"check", 1, true}, {"prep", 1, false}};
        s.listen = {"127.0.0.1", static_cast<std::uint16_t>(9000 + k)};
        nodes.push_back(std::make_unique<standins::NodeEmulator>(
            peer_loop, fleet, fleet.add_node({0, 4000, 20}), s,
            [this](const standins::SocketEvent& t) { taps.push_back(t); }));
        nodes.back()->start(true);
        standins::ListedServer one;
        one.id = s.name, one.kind = "k", one.address = s.listen, one.position = k;
        list->set_server(one);
    }
    static std::string make_config() {
        return json{{"name", "d"},
                    {"listen", kDirector.text()},
                    {"log", {{"path", ""}}},
                    {"list", {{"consul", "127.0.0.1:8500"}, {"service", "media"}}},
                    {"fleet",
                     {{"directors", 1},
                      {"kinds", {{{"name", "k"}, {"streams", 20}}}},
                      {"rung_kb", {100, 200, 400}},
                      {"rung_worth", {0.3, 0.7, 1}},
                      {"link_kb", 4000},
                      {"racks", 1},
                      {"rack_kb", 1000000}}},
                    {"rules", {{"max_attempts", 4}, {"retry_after_ms", 2000}}},
                    {"classes",
                     {{{"name", "check"},
                       {"worth", 3},
                       {"aim_ms", 1500},
                       {"patience_ms", 5000},
                       {"repeat", "paid"},
                       {"live", true}},
                      {{"name", "prep"},
                       {"worth", 1},
                       {"aim_ms", 800},
                       {"patience_ms", 5000},
                       {"repeat", "harmless"}}}},
                    {"tenants", {{{"name", "t"}}}}}
            .dump();
    }
    void run_for(double ms) { world.run_until(world.now() + ms); }
    struct SessionCall {
        std::unique_ptr<http::Call> call;
        http::CallResult result;
        int answers = 0;
    };
    std::unique_ptr<SessionCall> request_session(const std::string& cls, const std::string& cmcd,
                                                 http::Headers headers = {}) {
        auto out = std::make_unique<SessionCall>();
        http::Request r;
        r.target = "/v1/watch/t/" + cls + "/title/master.m3u8" +
                   (cmcd.empty() ? "" : "?CMCD=" + http::percent_encode(cmcd));
        r.headers = std::move(headers);
        http::CallOptions options;
        options.timeout = 0, options.new_connection = true;
        out->call = client.send(kDirector, r, options, [at = out.get()](http::CallResult c) {
            at->result = std::move(c);
            at->answers += 1;
        });
        return out;
    }
    int count_taps(const std::string& what) {
        return static_cast<int>(
            std::count_if(taps.begin(), taps.end(), [&](const auto& t) { return t.type == what; }));
    }
    std::int64_t announced_kbps(const http::Response& r) {
        const auto d = hints::decode_cmsd_dynamic(r.headers.get_all("CMSD-Dynamic"));
        return d.entries.empty() ? -1 : d.entries.back().keys.integer("mb").value_or(-1);
    }
    std::string media_url(const http::Response& r) {
        const std::size_t at = r.body.find("http://");
        return r.body.substr(at, r.body.find('\n', at) - at);
    }
    http::CallResult fetch(const std::string& url) {
        http::Request r;
        const std::size_t slash = url.find('/', 7);
        r.target = url.substr(slash);
        http::CallResult out;
        const auto call = client.send(io::Address::parse(url.substr(7, slash - 7)), r, {},
                                      [&](http::CallResult c) { out = std::move(c); });
        run_for(300);
        return out;
    }
};

// On stop there are a pending request, a request on a connection opened a moment later, and an idle
// connection.
TEST_F(HttpFrontTest, AStoppingDirectorAnswersPendingAndLateRequests) {
    const auto idle = request_session("prep", "sid=\"rests\"");
    run_for(300);
    ASSERT_EQ(idle->result.response.status, 200);
    const auto pending = request_session("check", "sid=\"a\"");
    run_for(2);
    ASSERT_EQ(pending->answers, 0);
    bool done = false;
    director->stop([&] { done = true; });
    director->stop([&] { ADD_FAILURE() << "the second stop() was called back"; });
    const auto late = request_session("prep", "sid=\"b\"");
    run_for(100);
    EXPECT_FALSE(done);
    run_for(1000);
    for (const auto* asked : {pending.get(), late.get()}) {
        EXPECT_EQ(asked->result.outcome, http::CallOutcome::response);
        EXPECT_EQ(asked->result.response.status, 200) << asked->result.response.body;
    }
    EXPECT_TRUE(done);
    const auto after = request_session("prep", "sid=\"c\"");
    run_for(300);
    EXPECT_EQ(after->result.outcome, http::CallOutcome::not_connected) << "the director still listens";
}

TEST_F(HttpFrontTest, AnswersWithAPlaylistAtTheNodeAndHints) {
    const auto a = request_session("prep", "sid=\"a\",sf=h,su");
    run_for(300);
    ASSERT_EQ(a->result.response.status, 200) << a->result.response.body;
    EXPECT_EQ(a->result.response.headers.get("Content-Type"), "application/vnd.apple.mpegurl");
    EXPECT_EQ(a->result.response.headers.get("CMSD-Static"), "ot=m,sf=h,st=v");
    const auto segment = fetch(media_url(a->result.response));
    EXPECT_EQ(segment.response.status, 200);
    EXPECT_EQ(announced_kbps(segment.response), announced_kbps(a->result.response));
    EXPECT_GT(announced_kbps(segment.response), 0);
}
TEST_F(HttpFrontTest, MissingMalformedContradictoryOrLongHintsStillGetAnAnswer) {
    http::Headers contradictory, over_long, both;
    contradictory.add("CMCD-Session", "sid=\"x\"");
    over_long.add("CMCD-Session", "sid=\"" + std::string(9000, 'a') + "\"");
    std::vector<std::unique_ptr<SessionCall>> all;
    all.push_back(request_session("prep", ""));
    all.push_back(request_session("prep", "%%%,,=;br=abc,sid=,\"\"\""));
    all.push_back(request_session("prep", "sid=\"y\"", contradictory));
    all.push_back(request_session("prep", "", over_long));
    run_for(500);
    for (const auto& one : all) EXPECT_EQ(one->result.response.status, 200);
    EXPECT_EQ(director->engine().counts().accepted, 4u);
    EXPECT_EQ(director->front().counts().generated_sids, 4u);
    EXPECT_GT(director->front().counts().hints_dropped, 3u);
}
TEST_F(HttpFrontTest, TopBitrateBoundsTheRung) {
    const auto a = request_session("prep", "sid=\"a\",tb=1600");  // 200 kB/s
    run_for(300);
    EXPECT_LE(announced_kbps(a->result.response), 1600);
    EXPECT_EQ(a->result.response.body.find("BANDWIDTH=3200000"), std::string::npos);
}
TEST_F(HttpFrontTest, TheSameSidTwiceIsOneSetUpAndTwoAnswers) {
    const auto a = request_session("check", "sid=\"same\"");
    const auto b = request_session("check", "sid=\"same\"");
    run_for(500);
    EXPECT_EQ(a->result.response.status, 200);
    EXPECT_EQ(b->result.response.status, 200);
    EXPECT_EQ(media_url(a->result.response), media_url(b->result.response));
    EXPECT_EQ(count_taps("ran"), 1);
    const auto c = request_session("check", "sid=\"same\"");
    run_for(300);
    EXPECT_EQ(media_url(c->result.response), media_url(a->result.response));
    EXPECT_EQ(count_taps("ran"), 1);
}
TEST_F(HttpFrontTest, AFrozenNodeFailsThePaidSessionOnceInTime) {
    for (auto& node : nodes) node->set_hang_after_paid_setup(true);
    const auto a = request_session("check", "sid=\"a\"");
    run_for(4900);
    EXPECT_EQ(a->answers, 0);
    run_for(200);
    EXPECT_EQ(a->result.response.status, 504);
    EXPECT_EQ(count_taps("setup"), 1);
    for (auto& node : nodes) node->set_hung(false);
    run_for(5000);
    EXPECT_EQ(a->answers, 1);
    EXPECT_EQ(nodes[0]->session_count() + nodes[1]->session_count(), 0u)
        << "sessions without a player are cancelled";
}
TEST_F(HttpFrontTest, ADisconnectedPlayerIsAbandonedAndItsCapacityFreed) {
    {
        const auto a = request_session("check", "sid=\"a\"");
        run_for(20);
    }
    run_for(100);
    EXPECT_EQ(director->engine().counts().abandoned, 1u);
    run_for(10000);
    EXPECT_EQ(director->engine().open_sessions(), 0u);
    EXPECT_EQ(nodes[0]->session_count() + nodes[1]->session_count(), 0u);
}
TEST_F(HttpFrontTest, AHalfClosedPlayerStillGetsItsAnswer) {
    struct Raw : io::StreamHandler {
        std::unique_ptr<io::Stream> stream;
        std::string received;
        void on_data(std::string_view b) override { received += b; }
        void on_end() override {}
        void on_closed(io::CloseStatus) override {}
    } raw;
    raw.stream = peer_loop.dial(kDirector, 1000, &raw);
    raw.stream->write("GET /v1/watch/t/prep/x/master.m3u8?CMCD=sid%3D%22h%22 HTTP/1.1\r\nHost: d\r\n\r\n");
    raw.stream->end();
    run_for(500);
    EXPECT_EQ(raw.received.substr(0, 15), "HTTP/1.1 200 OK") << raw.received;
}
TEST_F(HttpFrontTest, ASetUpThatArrivesAsItsNodeStartsToDrainIsAnswered) {
    standins::ListedServer one;
    one.id = "n0", one.kind = "k", one.address = {"127.0.0.1", 9000}, one.state = "draining";
    list->set_server(one);
    const auto a = request_session("check", "sid=\"a\"");
    run_for(1000);
    EXPECT_EQ(a->result.response.status, 200);
    taps.clear();
    for (int k = 0; k < 5; ++k) {
        const auto b = request_session("check", "sid=\"b" + std::to_string(k) + "\"");
        run_for(300);
        EXPECT_EQ(b->result.response.status, 200);
    }
    for (const auto& t : taps)
        if (t.type == "setup") {
            EXPECT_EQ(t.source, "n1");
        }
}
TEST_F(HttpFrontTest, WithoutNodesTheRefusalCarriesARetryAfter) {
    list->remove_server("n0");
    list->remove_server("n1");
    run_for(200);
    const auto a = request_session("check", "sid=\"a\"");
    run_for(2000);
    EXPECT_EQ(a->result.response.status, 503);
    EXPECT_TRUE(a->result.response.headers.get("Retry-After"));
    const auto d = hints::decode_cmsd_dynamic(a->result.response.headers.get_all("CMSD-Dynamic"));
    ASSERT_EQ(d.entries.size(), 1u);
    EXPECT_TRUE(d.entries[0].keys.flag("du"));
}
TEST_F(HttpFrontTest, ACrashedNodeEndsItsSessionsAndTheSidMayReturn) {
    const auto a = request_session("check", "sid=\"a\"");
    run_for(500);
    const std::string where = media_url(a->result.response);
    const std::size_t lost = where.find(":9000/") != std::string::npos ? 0 : 1;
    nodes[lost]->crash();
    EXPECT_EQ(fetch(where).outcome, http::CallOutcome::not_connected);
    run_for(3000);
    EXPECT_EQ(director->engine().established_sessions(), 0u);
    EXPECT_EQ(director->engine().counts().reset, 1u);
    const auto b = request_session("check", "sid=\"a\"");
    run_for(1000);
    EXPECT_EQ(b->result.response.status, 200);
    EXPECT_NE(media_url(b->result.response), where);
}
TEST_F(HttpFrontTest, ARungSetDuringPlaybackReachesThePlayer) {
    const auto a = request_session("prep", "sid=\"a\"");
    run_for(300);
    const std::string url = media_url(a->result.response);
    const auto before = announced_kbps(fetch(url).response);
    for (const auto& t : std::vector<standins::SocketEvent>(taps)) {
        if (t.type != "setup") continue;
        http::Request r;
        r.method = "PUT", r.body = "{\"rung\":0}";
        r.target = "/v1/sessions/d/" + std::to_string(t.session) + "/0/rung";
        const auto call =
            client.send({"127.0.0.1", static_cast<std::uint16_t>(t.source == "n0" ? 9000 : 9001)}, r, {},
                        [](const http::CallResult&) {});
        run_for(200);
    }
    EXPECT_EQ(announced_kbps(fetch(url).response), 800);
    EXPECT_NE(before, 800);
}
TEST_F(HttpFrontTest, AMovedPlayerComesBackAndIsPlacedElsewhere) {
    const auto a = request_session("prep", "sid=\"a\"");
    run_for(300);
    const std::string url = media_url(a->result.response);
    const auto t =
        *std::find_if(taps.begin(), taps.end(), [](const auto& one) { return one.type == "setup"; });
    http::Request r;
    r.method = "POST", r.target = "/v1/sessions/d/" + std::to_string(t.session) + "/0/move";
    const auto call = client.send({"127.0.0.1", static_cast<std::uint16_t>(t.source == "n0" ? 9000 : 9001)},
                                  r, {}, [](const http::CallResult&) {});
    run_for(300);
    const auto gone = fetch(url);
    EXPECT_EQ(gone.response.status, 410);
    EXPECT_EQ(gone.response.headers.get("X-Ivyfield-Moved"), "1");
    const auto b = request_session("prep", "sid=\"a\"");
    run_for(500);
    EXPECT_EQ(b->result.response.status, 200);
    EXPECT_NE(media_url(b->result.response), url);
}
TEST_F(HttpFrontTest, ARestartedDirectorTakesItsSessionsBack) {
    const auto a = request_session("check", "sid=\"a\"");
    run_for(500);
    const std::string url = media_url(a->result.response);
    world.kill(director_loop);
    director.reset();
    run_for(1000);
    io::VirtualLoop& again = world.start("director again");
    director = std::make_unique<cli::DirectorProcess>(again, config::load(make_config()).config, 4);
    for (int k = 0; k < 4; ++k) fetch(url), run_for(500);  // the viewer goes on watching
    EXPECT_EQ(director->engine().counts().reclaimed, 1u);
    EXPECT_EQ(director->engine().established_sessions(), 1u);
    // The same sid joins its session: a paid class is not set up a second time.
    const auto b = request_session("check", "sid=\"a\"");
    run_for(300);
    EXPECT_EQ(media_url(b->result.response), url);
    EXPECT_EQ(count_taps("ran"), 1);
    run_for(10000);
    EXPECT_EQ(director->engine().established_sessions(), 0u) << "the session's end was not received";
    EXPECT_EQ(nodes[0]->session_count() + nodes[1]->session_count(), 0u);
    world.kill(again);
    director.reset();
}
TEST_F(HttpFrontTest, ASessionThatMayNotBeTakenBackIsEndedAtItsNode) {
    const auto a = request_session("prep", "sid=\"a\"");
    run_for(500);
    const std::string url = media_url(a->result.response);
    world.kill(director_loop);
    director.reset();
    auto doc = json::parse(make_config());
    doc["classes"].erase(1);  // the class is no longer configured
    io::VirtualLoop& again = world.start("director again");
    director = std::make_unique<cli::DirectorProcess>(again, config::load(doc.dump()).config, 4);
    run_for(1000);
    EXPECT_EQ(director->engine().counts().not_reclaimed, 1u);
    EXPECT_EQ(fetch(url).response.status, 410);
    world.kill(again);
    director.reset();
}
TEST_F(HttpFrontTest, ABrowserPreflightIsAnsweredAndOpensNoSession) {
    const auto a = request_session("prep", "sid=\"a\"");
    run_for(300);
    const std::string url = media_url(a->result.response);
    const auto preflight = [&](const io::Address& to, const std::string& target, bool asks) {
        http::Request r;
        r.method = "OPTIONS", r.target = target;
        r.headers.add("Origin", "http://player.example");
        if (asks) {
            r.headers.add("Access-Control-Request-Method", "GET");
            r.headers.add("Access-Control-Request-Headers",
                          "cmcd-object,cmcd-request,cmcd-session,cmcd-status");
        }
        http::CallResult out;
        const auto call = client.send(to, r, {}, [&](http::CallResult c) { out = std::move(c); });
        run_for(200);
        return out.response;
    };
    const std::size_t slash = url.find('/', 7);
    for (const auto& [to, target] :
         {std::pair<io::Address, std::string>{kDirector, "/v1/watch/t/prep/title/master.m3u8"},
          {io::Address::parse(url.substr(7, slash - 7)), url.substr(slash)}}) {
        const auto r = preflight(to, target, true);
        EXPECT_EQ(r.status, 204) << target;
        EXPECT_EQ(r.headers.get("Access-Control-Allow-Origin"), "*");
        for (const char* header : {"CMCD-Request", "CMCD-Object", "CMCD-Status", "CMCD-Session"})
            EXPECT_TRUE(r.headers.has_token("Access-Control-Allow-Headers", header)) << header;
        EXPECT_TRUE(r.headers.get("Access-Control-Max-Age"));
    }
    EXPECT_EQ(preflight(kDirector, "/v1/watch/t/prep/title/master.m3u8", false).status, 405);
    EXPECT_EQ(director->engine().counts().accepted, 1u);
    EXPECT_EQ(director->front().counts().preflights, 1u);
    // Pages of other origins can read error responses too.
    http::Request r;
    r.target = "/v1/watch/t/none/x/master.m3u8";
    http::CallResult out;
    const auto call = client.send(kDirector, r, {}, [&](http::CallResult c) { out = std::move(c); });
    run_for(100);
    EXPECT_EQ(out.response.headers.get("Access-Control-Allow-Origin"), "*");
}
TEST_F(HttpFrontTest, UnknownPathsAre404) {
    for (const auto& [target, status] : std::vector<std::pair<std::string, int>>{
             {"/", 404},
             {"/v1/watch/nobody/prep/x/master.m3u8", 404},
             {"/v1/watch/t/none/x/master.m3u8", 404},
             {"/v1/watch/t/prep/" + std::string(300, 'x') + "/master.m3u8", 404},
             {"/v1/watch/t/prep/%zz/master.m3u8", 404},
             {"/v1/status", 200}}) {
        http::Request r;
        r.target = target;
        int received = 0;
        const auto call =
            client.send(kDirector, r, {}, [&](const http::CallResult& c) { received = c.response.status; });
        run_for(100);
        EXPECT_EQ(received, status) << target;
    }
    EXPECT_EQ(director->engine().counts().accepted, 0u);
}

}  // namespace
