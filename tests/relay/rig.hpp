// A director of the platform on the virtual world, among scripted peers: media nodes that do as they are
// told, viewers that send what they are given, a name server that answers or not.
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

// One media node. Everything that comes is kept; `react` may answer.
struct Node : io::StreamHandler {
    struct Link : io::StreamHandler {
        Node& owner;
        std::unique_ptr<io::Stream> stream;
        relay::FrameDecoder decoder;
        bool open = true;
        explicit Link(Node& o) : owner(o) {}
        void on_data(std::string_view bytes) override {
            while (!bytes.empty()) {
                const auto result = decoder.next(bytes);
                if (!result) continue;
                ASSERT_TRUE(std::holds_alternative<NodeMessage>(*result));
                const auto m = std::get<NodeMessage>(*result);
                owner.heard.push_back(m);
                if (owner.react) owner.react(*this, m);
            }
        }
        void on_end() override {
            if (owner.at_end) owner.at_end(*this);
            stream->end();
        }
        void on_closed(io::CloseStatus) override { open = false; }
        void send(const NodeMessage& m) { stream->write(relay::encode_frame(m)); }
        void send(MessageType type, std::uint64_t session, int cause = -1,
                  std::map<int, std::string> with = {}) {
            NodeMessage m;
            m.type = type, m.session = session, m.parameters = std::move(with);
            if (cause >= 0) m.cause = cause;
            send(m);
        }
    };
    std::list<Link> links;
    std::vector<NodeMessage> heard;
    std::function<void(Link&, const NodeMessage&)> react;
    std::function<void(Link&)> at_open, at_end;  // a connection comes; the director ends one
    std::unique_ptr<io::Listener> listener;

    Node(io::Loop& loop, const io::Address& at) {
        listener = loop.listen(at, [this](auto stream) {
            auto& link = links.emplace_back(*this);
            link.stream = std::move(stream);
            link.stream->set_handler(&link);
            if (at_open) at_open(link);
        });
        react = [](Link& link, const NodeMessage& m) {
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
    std::size_t open_links() const {
        std::size_t n = 0;
        for (const Link& link : links) n += link.open;
        return n;
    }
    std::vector<NodeMessage> of(MessageType type) const {
        std::vector<NodeMessage> out;
        for (const auto& m : heard)
            if (m.type == type) out.push_back(m);
        return out;
    }
};

struct Viewer : io::StreamHandler {
    std::unique_ptr<io::Stream> stream;
    relay::LineDecoder decoder;
    std::vector<ViewerMessage> heard;
    bool open = true;
    Viewer(io::Loop& loop, const io::Address& at) { stream = loop.dial(at, 1000, this); }
    void on_data(std::string_view bytes) override {
        while (!bytes.empty()) {
            const auto line = decoder.next(bytes);
            if (!line) continue;
            const auto read = relay::parse_line(*line);
            ASSERT_TRUE(std::holds_alternative<ViewerMessage>(read)) << *line;
            heard.push_back(std::get<ViewerMessage>(read));
        }
    }
    void on_end() override { stream->end(); }
    void on_closed(io::CloseStatus) override { open = false; }
    void say(const std::string& line) { stream->write(line + "\n"); }
    std::vector<ViewerMessage> of(MessageType type) const {
        std::vector<ViewerMessage> out;
        for (const auto& m : heard)
            if (m.type == type) out.push_back(m);
        return out;
    }
};

struct Listed {
    std::string uid;
    io::Address address;
    std::string state = "ready";
};

// A DNS answer with these nodes, for the query given.
inline std::string dns_answer(std::string_view query, std::uint32_t serial,
                              const std::vector<Listed>& nodes) {
    ldns_pkt* asked = nullptr;
    if (ldns_wire2pkt(&asked, reinterpret_cast<const std::uint8_t*>(query.data()), query.size())) return "";
    ldns_pkt* p = ldns_pkt_new();
    ldns_pkt_set_id(p, ldns_pkt_id(asked));
    ldns_pkt_set_qr(p, true);
    ldns_pkt_push_rr(p, LDNS_SECTION_QUESTION, ldns_rr_clone(ldns_rr_list_rr(ldns_pkt_question(asked), 0)));
    const auto put = [&](ldns_pkt_section section, const std::string& text) {
        ldns_rr* rr = nullptr;
        ASSERT_EQ(ldns_rr_new_frm_str(&rr, text.c_str(), 0, nullptr, nullptr), LDNS_STATUS_OK) << text;
        ldns_pkt_push_rr(p, section, rr);
    };
    for (const Listed& n : nodes) {
        const std::string host = n.uid + ".room.hosts.";
        put(LDNS_SECTION_ANSWER, "_api._tcp.svc.local. 5 IN SRV " +
                                     std::string(n.state == "ready" ? "0" : "1") + " 40 " +
                                     std::to_string(n.address.port) + " " + host);
        put(LDNS_SECTION_ADDITIONAL, host + " 5 IN A " + n.address.host);
        put(LDNS_SECTION_ADDITIONAL, host + " 5 IN TXT \"kind=std\" \"cell=2\" \"started=0\"");
    }
    put(LDNS_SECTION_AUTHORITY,
        "svc.local. 5 IN SOA ns.svc.local. ops.svc.local. " + std::to_string(serial) + " 5 5 5 5");
    std::uint8_t* wire = nullptr;
    std::size_t size = 0;
    ldns_pkt2wire(&wire, p, &size);
    std::string out(reinterpret_cast<char*>(wire), size);
    LDNS_FREE(wire);
    ldns_pkt_free(p);
    ldns_pkt_free(asked);
    return out;
}

struct NameServer {
    std::unique_ptr<io::DatagramSocket> socket;
    std::uint32_t serial;
    std::vector<Listed> nodes;
    int asked = 0;
    std::function<std::string(std::string)> spoil;  // of an answer's bytes
    double delay = 0;                               // of its answers; less than 0: none comes
    std::list<io::Timer> late;
    NameServer(io::Loop& loop, const io::Address& at, std::uint32_t n, std::vector<Listed> list)
        : serial(n), nodes(std::move(list)) {
        socket =
            loop.open_datagram_socket(at, [this, &loop](const io::Address& from, std::string_view query) {
                asked += 1;
                std::string answer = dns_answer(query, serial, nodes);
                if (spoil) answer = spoil(answer);
                if (answer.empty() || delay < 0) return;
                late.push_back(loop.after(delay, [this, from, answer] { socket->send(from, answer); }));
            });
    }
};

// `cold_ms`: how long a node that has started takes set-ups at a slow pace only; 0: no such rule.
inline std::string config_text(const std::vector<Listed>& nodes, const std::string& dns, int sockets = 256,
                               int cold_ms = 0) {
    std::string targets;
    for (const Listed& n : nodes)
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

inline std::string setup_line(std::uint64_t id, const std::string& cls, int left = 4000,
                              const std::string& extras = "home:0;copies:12;top:1;viewer:00000000b4d65521",
                              const std::string& more = "") {
    return R"({"type":"setup","id":")" + relay::to_hex(id) + R"(","fields":{"class":")" + cls +
           R"(","left":")" + std::to_string(left) +
           R"(","tenant":"acme","key":"7f3a9c21e0b4d655","extras":")" + extras + "\"" + more +
           R"(},"sdp":"offer )" + relay::to_hex(id) + "\"}";
}
inline std::string release_line(std::uint64_t id, int cause) {
    return R"({"type":"release","id":")" + relay::to_hex(id) + R"(","fields":{},"cause":)" +
           std::to_string(cause) + "}";
}

struct Rig {
    io::World world{11};
    const io::Address dns{"127.0.0.1", 5300}, at{"127.0.0.1", 5060};
    std::vector<Listed> listed;
    io::VirtualLoop& names_loop = world.start("names");
    io::VirtualLoop& nodes_loop = world.start("nodes");
    io::VirtualLoop& viewers_loop = world.start("viewers");
    io::VirtualLoop& loop = world.start("director");
    std::vector<std::unique_ptr<Node>> nodes;
    std::unique_ptr<NameServer> names;
    std::unique_ptr<cli::RelayProcess> director;
    std::list<Viewer> viewers;

    explicit Rig(int count = 1, int sockets = 256, int cold_ms = 0) {
        for (int k = 0; k < count; ++k) {
            listed.push_back({"s-" + std::to_string(k), {"127.0.0.1", static_cast<std::uint16_t>(9001 + k)}});
            nodes.push_back(std::make_unique<Node>(nodes_loop, listed.back().address));
        }
        names = std::make_unique<NameServer>(names_loop, dns, 3, listed);
        director = std::make_unique<cli::RelayProcess>(
            loop, config::read_relay_config(config_text(listed, dns.text(), sockets, cold_ms)), "");
    }
    ~Rig() {
        viewers.clear();
        director.reset();
        nodes.clear();
        names.reset();
    }
    Viewer& viewer() { return viewers.emplace_back(viewers_loop, at); }
    void run(double ms) { world.run_until(world.now() + ms); }
    void list(std::vector<Listed> now) {
        names->nodes = std::move(now);
        names->serial += 1;
        run(600);
    }
};

}  // namespace ivyfield::relaytest
