// Test fixture with a director of the platform in the virtual world and scripted peers: media nodes, viewers
// and a name server.
#pragma once

#include <gtest/gtest.h>
#include <ldns/ldns.h>

#include <deque>

#include "cli/relay.hpp"
#include "io/virtual/world.hpp"

namespace ivyfield::relaytest {

using relay::MessageType;
using relay::NodeMessage;
using relay::ParameterCode;
using relay::ViewerMessage;

// A media node that records all messages; `on_message` may answer them. By default set-ups and pings succeed.
struct Node : io::StreamHandler {
    struct Link : io::StreamHandler {
        Node& owner;
        std::unique_ptr<io::Stream> stream;
        relay::FrameDecoder decoder;
        bool open = true;
        explicit Link(Node& node) : owner(node) {}
        void on_data(std::string_view bytes) override {
            while (!bytes.empty()) {
                const auto result = decoder.next(bytes);
                if (!result) continue;
                ASSERT_TRUE(std::holds_alternative<NodeMessage>(*result));
                const auto m = std::get<NodeMessage>(*result);
                owner.received.push_back(m);
                if (owner.on_message) owner.on_message(*this, m);
            }
        }
        void on_end() override {
            if (owner.on_link_end) owner.on_link_end(*this);
            stream->end();
        }
        void on_closed(io::CloseStatus) override { open = false; }
        void send(const NodeMessage& m) { stream->write(relay::encode_frame(m)); }
        void send(MessageType type, std::uint64_t session, int cause = -1,
                  std::map<int, std::string> parameters = {}) {
            NodeMessage m;
            m.type = type, m.session = session, m.parameters = std::move(parameters);
            if (cause >= 0) m.cause = cause;
            send(m);
        }
    };
    std::list<Link> links;
    std::vector<NodeMessage> received;
    std::function<void(Link&, const NodeMessage&)> on_message;
    std::function<void(Link&)> on_link_open, on_link_end;  // the director opens or ends a connection
    std::unique_ptr<io::Listener> listener;

    Node(io::Loop& loop, const io::Address& at) {
        listener = loop.listen(at, [this](auto stream) {
            auto& link = links.emplace_back(*this);
            link.stream = std::move(stream);
            link.stream->set_handler(&link);
            if (on_link_open) on_link_open(link);
        });
        on_message = [](Link& link, const NodeMessage& m) {
            if (m.type == MessageType::setup)
                link.send(MessageType::answer, m.session, -1,
                          {{63, "answer to " + *m.find(ParameterCode::sdp)}});
            if (m.type == MessageType::ping)
                link.send(MessageType::pong, m.session, 1, {{51, "inflight:1;x0:0.1;x1:0.1"}});
        };
    }
    void on_data(std::string_view) override {}
    void on_end() override {}
    void on_closed(io::CloseStatus) override {}
    std::size_t count_open_links() const {
        std::size_t n = 0;
        for (const Link& link : links) n += link.open;
        return n;
    }
    std::vector<NodeMessage> received_of(MessageType type) const {
        std::vector<NodeMessage> out;
        for (const auto& m : received)
            if (m.type == type) out.push_back(m);
        return out;
    }
};

// A client connection that records all messages.
struct Viewer : io::StreamHandler {
    std::unique_ptr<io::Stream> stream;
    relay::LineDecoder decoder;
    std::vector<ViewerMessage> received;
    bool open = true;
    Viewer(io::Loop& loop, const io::Address& at) { stream = loop.dial(at, 1000, this); }
    void on_data(std::string_view bytes) override {
        while (!bytes.empty()) {
            const auto line = decoder.next(bytes);
            if (!line) continue;
            const auto read = relay::parse_line(*line);
            ASSERT_TRUE(std::holds_alternative<ViewerMessage>(read)) << *line;
            received.push_back(std::get<ViewerMessage>(read));
        }
    }
    void on_end() override { stream->end(); }
    void on_closed(io::CloseStatus) override { open = false; }
    void send_line(const std::string& line) { stream->write(line + "\n"); }
    std::vector<ViewerMessage> received_of(MessageType type) const {
        std::vector<ViewerMessage> out;
        for (const auto& m : received)
            if (m.type == type) out.push_back(m);
        return out;
    }
};

// A media node as the name server lists it.
struct ListedNode {
    std::string uid;
    io::Address address;
    std::string state = "ready";
    double started_unix_ms = 0;  // 0: long ago
};

// Returns the DNS response to `query` with these nodes.
inline std::string make_dns_response(std::string_view query, std::uint32_t serial,
                                     const std::vector<ListedNode>& nodes) {
    ldns_pkt* request = nullptr;
    if (ldns_wire2pkt(&request, reinterpret_cast<const std::uint8_t*>(query.data()), query.size())) return "";
    ldns_pkt* response = ldns_pkt_new();
    ldns_pkt_set_id(response, ldns_pkt_id(request));
    ldns_pkt_set_qr(response, true);
    ldns_pkt_push_rr(response, LDNS_SECTION_QUESTION,
                     ldns_rr_clone(ldns_rr_list_rr(ldns_pkt_question(request), 0)));
    const auto add_record = [&](ldns_pkt_section section, const std::string& text) {
        ldns_rr* rr = nullptr;
        ASSERT_EQ(ldns_rr_new_frm_str(&rr, text.c_str(), 0, nullptr, nullptr), LDNS_STATUS_OK) << text;
        ldns_pkt_push_rr(response, section, rr);
    };
    for (const ListedNode& n : nodes) {
        const std::string host = n.uid + ".room.hosts.";
        add_record(LDNS_SECTION_ANSWER, "_api._tcp.svc.local. 5 IN SRV " +
                                            std::string(n.state == "ready" ? "0" : "1") + " 40 " +
                                            std::to_string(n.address.port) + " " + host);
        add_record(LDNS_SECTION_ADDITIONAL, host + " 5 IN A " + n.address.host);
        add_record(LDNS_SECTION_ADDITIONAL, host + " 5 IN TXT \"kind=std\" \"cell=2\" \"started=" +
                                                std::to_string(std::llround(n.started_unix_ms)) + "\"");
    }
    add_record(LDNS_SECTION_AUTHORITY,
               "svc.local. 5 IN SOA ns.svc.local. ops.svc.local. " + std::to_string(serial) + " 5 5 5 5");
    std::uint8_t* wire = nullptr;
    std::size_t size = 0;
    ldns_pkt2wire(&wire, response, &size);
    std::string out(reinterpret_cast<char*>(wire), size);
    LDNS_FREE(wire);
    ldns_pkt_free(response);
    ldns_pkt_free(request);
    return out;
}

// A name server whose responses can be changed, delayed or suppressed.
struct NameServer {
    std::unique_ptr<io::DatagramSocket> socket;
    std::uint32_t serial;
    std::vector<ListedNode> nodes;
    int query_count = 0;
    std::function<std::string(std::string)> corrupt;  // changes the bytes of a response
    double response_delay = 0;                        // ms; negative: no response
    std::list<io::Timer> pending_responses;
    NameServer(io::Loop& loop, const io::Address& at, std::uint32_t first_serial,
               std::vector<ListedNode> first_nodes)
        : serial(first_serial), nodes(std::move(first_nodes)) {
        socket =
            loop.open_datagram_socket(at, [this, &loop](const io::Address& from, std::string_view query) {
                query_count += 1;
                std::string response = make_dns_response(query, serial, nodes);
                if (corrupt) response = corrupt(response);
                if (response.empty() || response_delay < 0) return;
                pending_responses.push_back(
                    loop.after(response_delay, [this, from, response] { socket->send(from, response); }));
            });
    }
};

// Returns a director's configuration. `cold_ms`: how long after its start a node takes set-ups only at a slow
// pace; 0: no such rule.
inline std::string make_director_config(const std::vector<ListedNode>& nodes, const std::string& dns,
                                        int sockets = 256, int cold_ms = 0) {
    std::string targets;
    for (const ListedNode& n : nodes)
        targets += std::string(targets.empty() ? "" : ",") + R"({"uid":")" + n.uid + R"(","endpoint":")" +
                   n.address.text() + R"(","az":"room","model":"std","pod_group":2,"state":")" + n.state +
                   R"(","capacity_hint":4,"boot_ms":0})";
    return R"({"name":"n0","listen":"127.0.0.1:5060","seed":"8c1f30d27a5be964",
        "limits":{"cores":1.0,"memory_mb":64,"sockets":)" +
           std::to_string(sockets) + R"(},"dns":")" + dns +
           R"(","known":{"n":3,"events":[{"n":3,"members":{"rev":1,"all":true,"targets":[)" + targets +
           R"(]}}]},
        "settings":{"az":0,"balancers":1,"self_index":0,"discovery":"pushed",
          "zones":["room"],"flavors":["std"],
          "limits":{"probes":true,"cancel":true,"max_attempts":4,
            "retry_after":true,"max_retry_after_ms":2000.0,
            "connect_timeout_ms":250.0,"idle_close_ms":15000.0},
          "safety":{"answer_slack_ms":40.0,"stop_sending_within_ms":500.0,"cold_from":0.5,
            "tip_multiple":)" +
           std::to_string(cold_ms ? 4 : 0) + R"(,"tip_after_ms":1000.0,
            "cold_ms":)" +
           std::to_string(cold_ms) + R"(},
          "telemetry":{"how":"probe","names":["inflight","x0","x1"]},"weight_source":"nominal",
          "classes":[{"name":"paid","effect":"side_effect","objective_ms":1500.0,"give_up_ms":5000.0,
              "importance":3.0},
            {"name":"free one","effect":"pure","objective_ms":800.0,"give_up_ms":4000.0,"importance":1.0}],
          "orgs":[{"name":"acme","quota_rps":0.0,"share":1.0}],
          "family_info":{"places":12,"racks":2,"rung_kb":[100.0,200.0],"rung_worth":[0.5,1.0],
            "weight_kb":1000.0,"rack_kb":100000.0,"fleet_kb":8000.0,"kind_slots":[50],"class_floor":[0,0],
            "class_live":[false,false],"rate_factor":[1.0,1.0],"top_by_class":[1,1],"licence_cap":[0,0]}}})";
}

inline std::string make_setup_line(
    std::uint64_t id, const std::string& cls, int left = 4000,
    const std::string& extras = "home:0;copies:12;top:1;viewer:00000000b4d65521",
    const std::string& more = "") {
    return R"({"type":"setup","id":")" + relay::to_hex(id) + R"(","fields":{"class":")" + cls +
           R"(","left":")" + std::to_string(left) +
           R"(","tenant":"acme","key":"7f3a9c21e0b4d655","extras":")" + extras + "\"" + more +
           R"(},"sdp":"offer )" + relay::to_hex(id) + "\"}";
}
inline std::string make_release_line(std::uint64_t id, int cause) {
    return R"({"type":"release","id":")" + relay::to_hex(id) + R"(","fields":{},"cause":)" +
           std::to_string(cause) + "}";
}

// A director with `count` media nodes, its name server and viewers, each on an event loop of its own.
struct Rig {
    io::World world{11};
    const io::Address dns_address{"127.0.0.1", 5300}, director_address{"127.0.0.1", 5060};
    std::vector<ListedNode> listed;
    io::VirtualLoop& names_loop = world.start("names");
    io::VirtualLoop& nodes_loop = world.start("nodes");
    io::VirtualLoop& viewers_loop = world.start("viewers");
    io::VirtualLoop& loop = world.start("director");
    std::vector<std::unique_ptr<Node>> nodes;
    std::unique_ptr<NameServer> name_server;
    std::unique_ptr<cli::RelayProcess> director;
    std::list<Viewer> viewers;

    explicit Rig(int count = 1, int sockets = 256, int cold_ms = 0) {
        for (int k = 0; k < count; ++k) {
            listed.push_back({"s-" + std::to_string(k), {"127.0.0.1", static_cast<std::uint16_t>(9001 + k)}});
            nodes.push_back(std::make_unique<Node>(nodes_loop, listed.back().address));
        }
        name_server = std::make_unique<NameServer>(names_loop, dns_address, 3, listed);
        director = std::make_unique<cli::RelayProcess>(
            loop,
            config::parse_relay_config(make_director_config(listed, dns_address.text(), sockets, cold_ms)),
            "");
    }
    ~Rig() {
        viewers.clear();
        director.reset();
        nodes.clear();
        name_server.reset();
    }
    Viewer& connect_viewer() { return viewers.emplace_back(viewers_loop, director_address); }
    void run_for(double ms) { world.run_until(world.now() + ms); }
    // Changes the name server's list and waits until the director has it.
    void publish_list(std::vector<ListedNode> nodes_now) {
        name_server->nodes = std::move(nodes_now);
        name_server->serial += 1;
        run_for(600);
    }
};

}  // namespace ivyfield::relaytest
