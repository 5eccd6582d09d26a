#include "discovery/srv/srv.hpp"

#include <ldns/ldns.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>

namespace ivyfield::discovery {

namespace {

// The number of queries that may be unanswered. It is large enough to recognise a response that is about ten
// seconds late; such a response is useful, since its serial tells how new it is.
constexpr std::size_t kMaxOpenQueries = 64;
constexpr std::size_t kMaxMembers = 4096;
constexpr std::size_t kMessageIdSize = 2;  // bytes at the start of a DNS message

// Owns an object of ldns and frees it with Release.
template <typename T, void (*Release)(T*)>
struct LdnsOwner {
    T* object = nullptr;
    LdnsOwner() = default;
    LdnsOwner(const LdnsOwner&) = delete;
    LdnsOwner& operator=(const LdnsOwner&) = delete;
    ~LdnsOwner() {
        if (object) Release(object);
    }
};
using Packet = LdnsOwner<ldns_pkt, ldns_pkt_free>;

std::string to_lower(std::string text) {
    for (char& c : text) c = static_cast<char>(c >= 'A' && c <= 'Z' ? c + 32 : c);
    return text;
}
using Buffer = LdnsOwner<ldns_buffer, ldns_buffer_free>;
// The longest name as text: 255 bytes, each written as \ddd in the worst case.
constexpr std::size_t kMaxNameText = 4 * 255 + 1;
// Converts a domain name to lower-case text (names are case-insensitive, RFC 1035 2.3.3) without the final
// dot. ldns_rdf2str() is avoided: it allocates 64 KB per name, and small long-lived allocations settled in
// the gaps that these left, so that the heap grew by 6 KB per second with less than 1 MB of it in use.
std::string name_to_text(const ldns_rdf* name) {
    Buffer buffer;
    buffer.object = ldns_buffer_new(kMaxNameText);
    if (!name || !buffer.object || ldns_rdf2buffer_str(buffer.object, name) != LDNS_STATUS_OK) return "";
    std::string text = to_lower(std::string(reinterpret_cast<const char*>(ldns_buffer_begin(buffer.object)),
                                            ldns_buffer_position(buffer.object)));
    if (!text.empty() && text.back() == '.') text.pop_back();
    return text;
}
std::optional<double> parse_number(const std::string& text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

// Reads the "key=value" strings of a TXT record; others are ignored.
std::map<std::string, std::string> read_txt_pairs(const ldns_rr* rr) {
    std::map<std::string, std::string> pairs;
    for (std::size_t k = 0; k < ldns_rr_rd_count(rr); ++k) {
        const ldns_rdf* rdata = ldns_rr_rdf(rr, k);
        const std::uint8_t* data = ldns_rdf_data(rdata);
        if (ldns_rdf_size(rdata) < 1) continue;
        const std::string pair(reinterpret_cast<const char*>(data) + 1,
                               std::min<std::size_t>(data[0], ldns_rdf_size(rdata) - 1));
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos) pairs[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
    return pairs;
}

}  // namespace

std::string build_srv_query(const std::string& name, std::uint16_t id) {
    Packet packet;
    ldns_rdf* dname = ldns_dname_new_frm_str(name.c_str());
    if (!dname) throw std::invalid_argument("\"" + name + "\" is not a domain name");
    packet.object = ldns_pkt_query_new(dname, LDNS_RR_TYPE_SRV, LDNS_RR_CLASS_IN, 0);
    ldns_pkt_set_id(packet.object, id);
    std::uint8_t* wire = nullptr;
    std::size_t size = 0;
    const ldns_status status = ldns_pkt2wire(&wire, packet.object, &size);
    std::string query = status == LDNS_STATUS_OK ? std::string(reinterpret_cast<char*>(wire), size) : "";
    LDNS_FREE(wire);
    return query;
}

std::optional<SrvResponse> parse_srv_response(std::string_view bytes, const std::string& name,
                                              std::uint16_t id, std::string& error) {
    const auto fail = [&](const std::string& why) -> std::optional<SrvResponse> {
        error = why;
        return std::nullopt;
    };
    Packet packet_owner;
    const ldns_status status = ldns_wire2pkt(
        &packet_owner.object, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    if (status != LDNS_STATUS_OK) {
        packet_owner.object = nullptr;
        return fail(std::string("not a DNS message: ") + ldns_get_errorstr_by_id(status));
    }
    const ldns_pkt* packet = packet_owner.object;
    if (!ldns_pkt_qr(packet) || ldns_pkt_id(packet) != id) return fail("not a response to the query");
    if (ldns_pkt_tc(packet)) return fail("the response is truncated");
    if (ldns_pkt_get_rcode(packet) != LDNS_RCODE_NOERROR)
        return fail("the server returned error code " + std::to_string(ldns_pkt_get_rcode(packet)));
    const ldns_rr_list* questions = ldns_pkt_question(packet);
    const std::string wanted = to_lower(name);
    if (ldns_rr_list_rr_count(questions) != 1) return fail("the response does not have exactly one question");
    const ldns_rr* question = ldns_rr_list_rr(questions, 0);
    if (name_to_text(ldns_rr_owner(question)) != wanted || ldns_rr_get_type(question) != LDNS_RR_TYPE_SRV)
        return fail("the response is for another question");

    SrvResponse response;
    bool has_serial = false;
    const ldns_rr_list* authority = ldns_pkt_authority(packet);
    for (std::size_t k = 0; k < ldns_rr_list_rr_count(authority); ++k) {
        const ldns_rr* rr = ldns_rr_list_rr(authority, k);
        if (ldns_rr_get_type(rr) != LDNS_RR_TYPE_SOA || ldns_rr_rd_count(rr) < 3) continue;
        response.serial = ldns_rdf2native_int32(ldns_rr_rdf(rr, 2));
        has_serial = true;
    }
    if (!has_serial) return fail("no SOA record with a serial");

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
    for (const ldns_rr_list* section : {ldns_pkt_answer(packet), ldns_pkt_additional(packet)}) {
        for (std::size_t k = 0; k < ldns_rr_list_rr_count(section); ++k) {
            const ldns_rr* rr = ldns_rr_list_rr(section, k);
            const std::string owner = name_to_text(ldns_rr_owner(rr));
            switch (ldns_rr_get_type(rr)) {
                case LDNS_RR_TYPE_SRV: {
                    if (owner != wanted || ldns_rr_rd_count(rr) < 4) break;
                    const auto integer = [&](std::size_t index) {
                        return ldns_rdf2native_int16(ldns_rr_rdf(rr, index));
                    };
                    if (!services
                             .emplace(name_to_text(ldns_rr_rdf(rr, 3)),
                                      Service{integer(0), integer(1), integer(2)})
                             .second)
                        return fail("two SRV records name the same node");
                    break;
                }
                case LDNS_RR_TYPE_A:
                    if (ldns_rr_rd_count(rr) >= 1) hosts[owner].address = name_to_text(ldns_rr_rdf(rr, 0));
                    break;
                case LDNS_RR_TYPE_TXT:
                    hosts[owner].text = read_txt_pairs(rr);
                    hosts[owner].has_text = true;
                    break;
                default:
                    break;
            }
        }
    }
    if (services.size() > kMaxMembers) return fail("too many nodes");
    for (const auto& [target, service] : services) {
        const auto host = hosts.find(target);
        if (host == hosts.end() || host->second.address.empty() || !host->second.has_text)
            return fail("node " + target + " has no address or no TXT record");
        Member member;
        const std::size_t first_dot = target.find('.');
        const std::size_t second_dot =
            first_dot == std::string::npos ? first_dot : target.find('.', first_dot + 1);
        if (first_dot == std::string::npos || first_dot == 0)
            return fail("node " + target + " has no zone in its name");
        member.uid = target.substr(0, first_dot);
        member.zone = target.substr(
            first_dot + 1, second_dot == std::string::npos ? second_dot : second_dot - first_dot - 1);
        member.address = {host->second.address, static_cast<std::uint16_t>(service.port)};
        member.state = service.priority == 0 ? ServerState::ready : ServerState::draining;
        member.weight = service.weight / 10.0;
        const auto& text = host->second.text;
        const auto txt_value = [&](const char* key) {
            const auto it = text.find(key);
            return it == text.end() ? std::string() : it->second;
        };
        member.kind = txt_value("kind");
        const auto cell = parse_number(txt_value("cell")), started = parse_number(txt_value("started"));
        if (!cell || *cell < 0 || *cell > 65535 || !started || *started < 0)
            return fail("node " + target + ": cell or started is missing or invalid");
        member.cell = static_cast<int>(*cell);
        member.started_unix_ms = *started;
        response.members.emplace(member.uid, member);
    }
    return response;
}

SrvPoller::SrvPoller(io::Loop& loop, const io::Address& server, const std::string& name,
                     std::uint32_t known_serial, Events events)
    : loop_(loop),
      server_(server),
      name_(name),
      query_(build_srv_query(name, 0)),
      serial_(known_serial),
      events_(std::move(events)),
      poll_schedule_(loop.now()) {
    const char* any_address = server.host.find(':') == std::string::npos ? "0.0.0.0" : "::";
    socket_ = loop.open_datagram_socket(
        {any_address, 0},
        [this](const io::Address& from, std::string_view bytes) { handle_datagram(from, bytes); });
    query_timer_ = loop_.after(0, [this] { send_query(); });
}

void SrvPoller::set_server(const io::Address& server) {
    if (server == server_) return;
    server_ = server;
    open_queries_.clear();
    poll_schedule_ = decide::PollSchedule(loop_.now());
    query_timer_ = loop_.after(0, [this] { send_query(); });
}

void SrvPoller::send_query() {
    query_timer_ = loop_.after(poll_schedule_.next_interval(loop_.now()), [this] { send_query(); });
    const auto id = static_cast<std::uint16_t>(loop_.random()());
    if (open_queries_.size() >= kMaxOpenQueries) open_queries_.pop_front(), counts_.unanswered += 1;
    open_queries_.push_back({id, loop_.now()});
    counts_.asked += 1;
    query_[0] = static_cast<char>(id >> 8), query_[1] = static_cast<char>(id & 0xff);
    socket_->send(server_, query_);
}

void SrvPoller::handle_datagram(const io::Address& from, std::string_view bytes) {
    if (from != server_ || bytes.size() < 2) {
        counts_.bad += 1;
        return;
    }
    const auto id = static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[0]) << 8 |
                                               static_cast<unsigned char>(bytes[1]));
    const auto it = std::find_if(open_queries_.begin(), open_queries_.end(),
                                 [&](const Query& query) { return query.id == id; });
    if (it == open_queries_.end()) {
        counts_.bad += 1;
        return;
    }
    const bool fresh = decide::PollSchedule::is_fresh(it->sent_at, loop_.now());
    // An unchanged response is not parsed again: parsing costs as much as about ten answers to clients, and
    // responses come four times a second, most of them without anything new.
    if (!last_response_.empty() && bytes.substr(kMessageIdSize) == last_response_) {
        open_queries_.erase(it);
        return confirm_list(fresh);
    }
    const auto response = parse_srv_response(bytes, name_, id, last_error_);
    if (!response) {
        counts_.bad += 1;
        return;
    }
    open_queries_.erase(it);
    handle_response(*response, bytes, fresh);
}

void SrvPoller::handle_response(const SrvResponse& response, std::string_view bytes, bool fresh) {
    if (response.serial < serial_) {
        poll_schedule_.record_answer(loop_.now());
        counts_.older += 1;
        return;
    }
    last_response_ = bytes.substr(kMessageIdSize);
    if (response.serial == serial_) return confirm_list(fresh);
    poll_schedule_.record_answer(loop_.now());
    counts_.taken += 1;
    serial_ = response.serial;
    events_.on_changed(response.members);
}

void SrvPoller::confirm_list(bool fresh) {
    poll_schedule_.record_answer(loop_.now());
    counts_.same += 1;
    if (fresh) events_.on_confirmed();
}

}  // namespace ivyfield::discovery
