#include "discovery/srv/srv.hpp"

#include <ldns/ldns.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>

namespace ivyfield::discovery {

namespace {

// So many queries are remembered: an answer that is late by some ten seconds is still known as one. Numbered
// as it is, it tells what it knew.
constexpr std::size_t kOpenQueries = 64;
constexpr std::size_t kMostMembers = 4096;
constexpr std::size_t kIdSize = 2;  // of a message, at its head

template <typename T, void (*Free)(T*)>
struct Freed {
    T* p = nullptr;
    Freed() = default;
    Freed(const Freed&) = delete;
    Freed& operator=(const Freed&) = delete;
    ~Freed() {
        if (p) Free(p);
    }
};
using Packet = Freed<ldns_pkt, ldns_pkt_free>;

std::string lower(std::string text) {
    for (char& c : text) c = static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c);
    return text;
}
using Buffer = Freed<ldns_buffer, ldns_buffer_free>;
// The longest name as text: 255 bytes, each as \ddd at worst.
constexpr std::size_t kNameText = 4 * 255 + 1;
// A name as text, small letters (names are alike in any, RFC 1035 2.3.3), without its last dot. Not by
// ldns_rdf2str(): it takes 64 KB for each name, and small things that stay settle in the gaps these leave, so
// that the heap grew by 6 KB a second though less than 1 MB of it was in use.
std::string text_of(const ldns_rdf* name) {
    Buffer buffer;
    buffer.p = ldns_buffer_new(kNameText);
    if (!name || !buffer.p || ldns_rdf2buffer_str(buffer.p, name) != LDNS_STATUS_OK) return "";
    std::string text = lower(std::string(reinterpret_cast<const char*>(ldns_buffer_begin(buffer.p)),
                                         ldns_buffer_position(buffer.p)));
    if (!text.empty() && text.back() == '.') text.pop_back();
    return text;
}
std::optional<double> number(const std::string& text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

// The strings of a TXT record, each "key=value".
std::map<std::string, std::string> pairs_of(const ldns_rr* rr) {
    std::map<std::string, std::string> out;
    for (std::size_t k = 0; k < ldns_rr_rd_count(rr); ++k) {
        const ldns_rdf* f = ldns_rr_rdf(rr, k);
        const std::uint8_t* data = ldns_rdf_data(f);
        if (ldns_rdf_size(f) < 1) continue;
        const std::string one(reinterpret_cast<const char*>(data) + 1,
                              std::min<std::size_t>(data[0], ldns_rdf_size(f) - 1));
        const std::size_t eq = one.find('=');
        if (eq != std::string::npos) out[one.substr(0, eq)] = one.substr(eq + 1);
    }
    return out;
}

}  // namespace

std::string srv_query(const std::string& name, std::uint16_t id) {
    Packet packet;
    ldns_rdf* dname = ldns_dname_new_frm_str(name.c_str());
    if (!dname) throw std::invalid_argument("\"" + name + "\" is no domain name");
    packet.p = ldns_pkt_query_new(dname, LDNS_RR_TYPE_SRV, LDNS_RR_CLASS_IN, 0);
    ldns_pkt_set_id(packet.p, id);
    std::uint8_t* wire = nullptr;
    std::size_t size = 0;
    const ldns_status status = ldns_pkt2wire(&wire, packet.p, &size);
    std::string out = status == LDNS_STATUS_OK ? std::string(reinterpret_cast<char*>(wire), size) : "";
    LDNS_FREE(wire);
    return out;
}

std::optional<SrvAnswer> read_srv(std::string_view bytes, const std::string& name, std::uint16_t id,
                                  std::string& fault) {
    const auto bad = [&](const std::string& why) -> std::optional<SrvAnswer> {
        fault = why;
        return std::nullopt;
    };
    Packet packet;
    const ldns_status status =
        ldns_wire2pkt(&packet.p, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (status != LDNS_STATUS_OK) {
        packet.p = nullptr;
        return bad(std::string("not a DNS message: ") + ldns_get_errorstr_by_id(status));
    }
    const ldns_pkt* p = packet.p;
    if (!ldns_pkt_qr(p) || ldns_pkt_id(p) != id) return bad("not the answer to the query");
    if (ldns_pkt_tc(p)) return bad("cut short");
    if (ldns_pkt_get_rcode(p) != LDNS_RCODE_NOERROR)
        return bad("failure " + std::to_string(ldns_pkt_get_rcode(p)));
    const ldns_rr_list* questions = ldns_pkt_question(p);
    const std::string wanted = lower(name);
    if (ldns_rr_list_rr_count(questions) != 1) return bad("not one question");
    const ldns_rr* question = ldns_rr_list_rr(questions, 0);
    if (text_of(ldns_rr_owner(question)) != wanted || ldns_rr_get_type(question) != LDNS_RR_TYPE_SRV)
        return bad("another question");

    SrvAnswer answer;
    bool serial = false;
    const ldns_rr_list* authority = ldns_pkt_authority(p);
    for (std::size_t k = 0; k < ldns_rr_list_rr_count(authority); ++k) {
        const ldns_rr* rr = ldns_rr_list_rr(authority, k);
        if (ldns_rr_get_type(rr) != LDNS_RR_TYPE_SOA || ldns_rr_rd_count(rr) < 3) continue;
        answer.serial = ldns_rdf2native_int32(ldns_rr_rdf(rr, 2));
        serial = true;
    }
    if (!serial) return bad("no serial");

    struct Host {
        std::string address;
        std::map<std::string, std::string> text;
        bool has_text = false;
    };
    std::map<std::string, Host> hosts;
    struct Service {
        int priority, weight, port;
    };
    std::map<std::string, Service> services;
    for (const ldns_rr_list* section : {ldns_pkt_answer(p), ldns_pkt_additional(p)}) {
        for (std::size_t k = 0; k < ldns_rr_list_rr_count(section); ++k) {
            const ldns_rr* rr = ldns_rr_list_rr(section, k);
            const std::string owner = text_of(ldns_rr_owner(rr));
            switch (ldns_rr_get_type(rr)) {
                case LDNS_RR_TYPE_SRV: {
                    if (owner != wanted || ldns_rr_rd_count(rr) < 4) break;
                    const auto at = [&](std::size_t n) { return ldns_rdf2native_int16(ldns_rr_rdf(rr, n)); };
                    if (!services.emplace(text_of(ldns_rr_rdf(rr, 3)), Service{at(0), at(1), at(2)}).second)
                        return bad("a node is listed twice");
                    break;
                }
                case LDNS_RR_TYPE_A:
                    if (ldns_rr_rd_count(rr) >= 1) hosts[owner].address = text_of(ldns_rr_rdf(rr, 0));
                    break;
                case LDNS_RR_TYPE_TXT:
                    hosts[owner].text = pairs_of(rr);
                    hosts[owner].has_text = true;
                    break;
                default:
                    break;
            }
        }
    }
    if (services.size() > kMostMembers) return bad("too many nodes");
    for (const auto& [target, service] : services) {
        const auto host = hosts.find(target);
        if (host == hosts.end() || host->second.address.empty() || !host->second.has_text)
            return bad("node " + target + " without its address or description");
        Member m;
        const std::size_t dot = target.find('.');
        const std::size_t second = dot == std::string::npos ? dot : target.find('.', dot + 1);
        if (dot == std::string::npos || dot == 0) return bad("node " + target + " without its zone");
        m.uid = target.substr(0, dot);
        m.zone = target.substr(dot + 1, second == std::string::npos ? second : second - dot - 1);
        m.address = {host->second.address, static_cast<std::uint16_t>(service.port)};
        m.state = service.priority == 0 ? ServerState::ready : ServerState::draining;
        m.weight = service.weight / 10.0;
        const auto& text = host->second.text;
        const auto find = [&](const char* key) {
            const auto it = text.find(key);
            return it == text.end() ? std::string() : it->second;
        };
        m.kind = find("kind");
        const auto cell = number(find("cell")), started = number(find("started"));
        if (!cell || *cell < 0 || *cell > 65535 || !started || *started < 0)
            return bad("node " + target + ": its cell or start can't be read");
        m.cell = static_cast<int>(*cell);
        m.started_unix_ms = *started;
        answer.members.emplace(m.uid, m);
    }
    return answer;
}

SrvList::SrvList(io::Loop& loop, const io::Address& server, const std::string& name, std::uint32_t known,
                 Events events)
    : loop_(loop),
      server_(server),
      name_(name),
      query_(srv_query(name, 0)),
      serial_(known),
      events_(std::move(events)),
      polling_(loop.now()) {
    const char* any = server.host.find(':') == std::string::npos ? "0.0.0.0" : "::";
    socket_ = loop.open_datagram_socket(
        {any, 0}, [this](const io::Address& from, std::string_view bytes) { heard(from, bytes); });
    next_ = loop_.after(0, [this] { ask(); });
}

void SrvList::move_to(const io::Address& server) {
    if (server == server_) return;
    server_ = server;
    open_.clear();
    polling_ = decide::PollSchedule(loop_.now());
    next_ = loop_.after(0, [this] { ask(); });
}

void SrvList::ask() {
    next_ = loop_.after(polling_.next_interval(loop_.now()), [this] { ask(); });
    const auto id = static_cast<std::uint16_t>(loop_.random()());
    if (open_.size() >= kOpenQueries) open_.pop_front(), counts_.unanswered += 1;
    open_.push_back({id, loop_.now()});
    counts_.asked += 1;
    query_[0] = static_cast<char>(id >> 8), query_[1] = static_cast<char>(id & 0xff);
    socket_->send(server_, query_);
}

void SrvList::heard(const io::Address& from, std::string_view bytes) {
    if (from != server_ || bytes.size() < 2) {
        counts_.bad += 1;
        return;
    }
    const auto id = static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[0]) << 8 |
                                               static_cast<unsigned char>(bytes[1]));
    const auto it = std::find_if(open_.begin(), open_.end(), [&](const Query& q) { return q.id == id; });
    if (it == open_.end()) {
        counts_.bad += 1;
        return;
    }
    const bool fresh = decide::PollSchedule::is_fresh(it->asked, loop_.now());
    // Parsing costs as much as some ten answers to clients, and four times a second it brings nothing new.
    if (!last_answer_.empty() && bytes.substr(kIdSize) == last_answer_) {
        open_.erase(it);
        return confirm(fresh);
    }
    const auto answer = read_srv(bytes, name_, id, fault_);
    if (!answer) {
        counts_.bad += 1;
        return;
    }
    open_.erase(it);
    take(*answer, bytes, fresh);
}

void SrvList::take(const SrvAnswer& answer, std::string_view bytes, bool fresh) {
    if (answer.serial < serial_) {
        polling_.record_answer(loop_.now());
        counts_.older += 1;
        return;
    }
    last_answer_ = bytes.substr(kIdSize);
    if (answer.serial == serial_) return confirm(fresh);
    polling_.record_answer(loop_.now());
    counts_.taken += 1;
    serial_ = answer.serial;
    events_.changed(answer.members);
}

void SrvList::confirm(bool fresh) {
    polling_.record_answer(loop_.now());
    counts_.same += 1;
    if (fresh) events_.confirmed();
}

}  // namespace ivyfield::discovery
