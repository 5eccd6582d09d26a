#include "codec.hpp"

#include <cmath>
#include <cstring>
#include <type_traits>

#include "settings/settings.hpp"

namespace ivyfield::benchlink {

namespace {

template <typename T>
T read_little_endian(std::string_view bytes, std::size_t& position) {
    if (bytes.size() - position < sizeof(T)) throw WireError("record is truncated");
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        bits |= std::uint64_t(static_cast<unsigned char>(bytes[position + i])) << (8 * i);
    position += sizeof(T);
    T value;
    if constexpr (std::is_same_v<T, float>) {
        const auto float_bits = static_cast<std::uint32_t>(bits);
        std::memcpy(&value, &float_bits, sizeof value);
    } else if constexpr (std::is_same_v<T, double>) {
        std::memcpy(&value, &bits, sizeof value);
    } else {
        value = static_cast<T>(bits);
    }
    return value;
}

template <typename T>
void append_little_endian(std::string& out, T value) {
    std::uint64_t bits = 0;
    if constexpr (std::is_same_v<T, double>) std::memcpy(&bits, &value, sizeof bits);
    else bits = value;
    for (std::size_t i = 0; i < sizeof(T); ++i) out.push_back(static_cast<char>(bits >> (8 * i)));
}

// ServerId holds the six bytes that identify a server, unchanged.
void append_server(std::string& out, ServerId id) {
    append_little_endian(out, static_cast<std::uint32_t>(id >> 16));
    append_little_endian(out, static_cast<std::uint16_t>(id));
}

LoadReport read_report(Reader& in) {
    LoadReport report(in.u8());
    for (float& value : report) value = in.f32();
    return report;
}

double require_finite(double value) {
    if (!std::isfinite(value)) throw WireError("number is not finite");
    return value;
}

int require_count(float value) {
    if (!(value >= 0 && value < 1e6f)) throw WireError("number is out of range");
    return static_cast<int>(value);
}

Outcome decode_outcome(std::uint16_t code) {
    switch (code) {
        case 200:
            return Outcome::ended;
        case 500:
            return Outcome::error;
        case 503:
            return Outcome::full;
        case 504:
            return Outcome::timed_out;
        case 502:
            return Outcome::not_connected;
        case 598:
            return Outcome::reset;
        case 499:
            return Outcome::cancelled;
        case 410:
            return Outcome::not_sent;
        default:
            throw WireError("unknown outcome " + std::to_string(code));
    }
}

NoteKind decode_note_kind(std::uint8_t kind) {
    switch (kind) {
        case 1:
            return NoteKind::delivered_share;
        case 2:
            return NoteKind::rung;
        case 3:
            return NoteKind::link;
        case 4:
            return NoteKind::uplink;
        default:
            return NoteKind::other;
    }
}

SessionRequest read_request(Reader& in) {
    SessionRequest request;
    request.id = in.u64();
    request.cls = in.u16();
    const std::uint32_t tenant = in.u32();
    if (tenant > 0xffffff) throw WireError("tenant is out of range");
    request.tenant = static_cast<int>(tenant);
    request.viewer = in.u64();
    request.title = in.u64();
    request.deadline = require_finite(in.f64());
    const double hint = require_finite(in.f64());
    request.first_cell = require_count(in.f32());
    request.cell_count = require_count(in.f32());
    request.top_rung = require_count(in.f32());
    const int flags = in.u8();
    if (flags & 1) request.length_hint = hint;
    request.moved = flags & 8;
    request.returning = flags & 16;
    return request;
}

struct ActionWriter {
    std::string& out;
    std::uint16_t instance_id;
    void append_header(int code) const {
        append_little_endian(out, static_cast<std::uint8_t>(code));
        append_little_endian(out, instance_id);
    }
    void operator()(const SendSetup& action) const {
        append_header(1), append_little_endian(out, action.id), append_server(out, action.server),
            append_little_endian(out, action.expires);
    }
    void operator()(const Reject& action) const {
        append_header(2), append_little_endian(out, action.id), append_little_endian(out, action.retry_after);
    }
    void operator()(const Fail& action) const { append_header(3), append_little_endian(out, action.id); }
    void operator()(const Cancel& action) const {
        append_header(4), append_little_endian(out, action.id),
            append_little_endian(out, static_cast<std::uint8_t>(action.attempt));
    }
    void operator()(const SetTimer& action) const {
        append_header(5), append_little_endian(out, action.timer_id), append_little_endian(out, action.at);
    }
    void operator()(const Probe& action) const { append_header(6), append_server(out, action.server); }
    void operator()(const Log& action) const {
        const std::string text = action.text.substr(0, 0xffff);
        append_header(9), append_little_endian(out, static_cast<std::uint16_t>(text.size())), out += text;
    }
    void operator()(const SubscribeServerList& action) const {
        append_header(11), append_little_endian(out, static_cast<std::uint8_t>(action.enabled));
    }
    void operator()(const FetchServerList&) const { append_header(12); }
    void operator()(const SetRung& action) const {
        append_header(13), append_little_endian(out, action.id),
            append_little_endian(out, static_cast<std::uint8_t>(action.rung));
    }
    void operator()(const Move& action) const { append_header(14), append_little_endian(out, action.id); }
};

}  // namespace

std::uint8_t Reader::u8() { return read_little_endian<std::uint8_t>(bytes_, position_); }
std::uint16_t Reader::u16() { return read_little_endian<std::uint16_t>(bytes_, position_); }
std::uint32_t Reader::u32() { return read_little_endian<std::uint32_t>(bytes_, position_); }
std::uint64_t Reader::u64() { return read_little_endian<std::uint64_t>(bytes_, position_); }
float Reader::f32() { return read_little_endian<float>(bytes_, position_); }
double Reader::f64() { return read_little_endian<double>(bytes_, position_); }
ServerId Reader::server() {
    const ServerId address = u32();
    return address << 16 | u16();
}
std::string_view Reader::text(std::size_t size) {
    if (bytes_.size() - position_ < size) throw WireError("record is truncated");
    position_ += size;
    return bytes_.substr(position_ - size, size);
}

Settings parse_settings(std::string_view text) {
    try {
        return settings::parse(text);
    } catch (const settings::SettingsError& e) {
        throw WireError(e.what());
    }
}

DirectorHost::Instance* DirectorHost::find_instance(int instance_id) {
    const auto it = instances_.find(instance_id);
    if (it == instances_.end()) throw WireError("event for unknown instance " + std::to_string(instance_id));
    return &it->second;
}

std::string DirectorHost::process_batch(std::string_view batch) {
    Reader in(batch);
    const std::uint32_t count = in.u32();
    const Time now = require_finite(in.f64());
    std::string out(4, '\0');
    for (std::uint32_t k = 0; k < count; ++k) process_record(in, now, out);
    if (!in.is_at_end()) throw WireError("trailing bytes after the last record");
    std::string size;
    append_little_endian(size, static_cast<std::uint32_t>(out.size() - 4));
    return out.replace(0, 4, size);
}

void DirectorHost::process_record(Reader& in, Time now, std::string& out) {
    const int code = in.u8();
    if (code == 13) {  // a server list, shared by all instances
        auto& list = lists_[in.u32()];
        const std::uint32_t n = in.u32();
        list.clear();
        for (std::uint32_t k = 0; k < n; ++k) {
            ServerEntry entry;
            entry.position = in.u16();
            entry.weight = require_finite(in.f32());
            entry.id = in.server();
            entry.last_start = require_finite(in.f64());
            entry.zone = in.u8();
            const int state = in.u8();
            if (state > 2) throw WireError("unknown server condition " + std::to_string(state));
            entry.state = static_cast<ServerState>(state);
            entry.kind = in.u8();
            list.push_back(entry);
        }
        return;
    }
    const std::uint16_t instance_id = in.u16();
    if (code == 1) {
        const std::uint64_t seed = in.u64();
        const Settings settings = parse_settings(in.text(in.u32()));
        instances_.erase(instance_id);
        instances_.emplace(instance_id,
                           Instance{Director(settings, seed), static_cast<int>(settings.classes.size()),
                                    static_cast<int>(settings.tenants.size())});
        return;
    }
    Instance* instance = find_instance(instance_id);
    if (code == 10) {
        instances_.erase(instance_id);
        return;
    }
    if (code == 9) {  // a message of another director: the design has no communication among them
        in.u16();
        in.text(in.u16());
        return;
    }
    Event event;
    switch (code) {
        case 2: {
            ServerList server_list;
            in.u32();  // version
            const int kind = in.u8();
            const std::uint32_t list = in.u32();
            if (kind > 3) throw WireError("unknown kind of list " + std::to_string(kind));
            server_list.kind = static_cast<ListKind>(kind);
            if (server_list.kind != ListKind::failed) {
                const auto it = lists_.find(list);
                if (it == lists_.end()) throw WireError("list " + std::to_string(list) + " was never sent");
                server_list.entries = it->second;
            }
            event = server_list;
            break;
        }
        case 3:
            event = read_request(in);
            break;
        case 11: {
            SessionAdopted adopted;
            adopted.request = read_request(in);
            adopted.server = in.server();
            event = adopted;
            break;
        }
        case 4: {
            SessionEstablished established;
            established.id = in.u64();
            established.attempt = in.u8();
            established.server = in.server();
            established.elapsed = require_finite(in.f64());
            event = established;
            break;
        }
        case 5: {
            AttemptEnded ended;
            ended.id = in.u64();
            ended.attempt = in.u8();
            ended.server = in.server();
            ended.outcome = decode_outcome(in.u16());
            ended.elapsed = require_finite(in.f64());
            ended.session_ended = in.u8() != 0;
            ended.report = read_report(in);
            event = ended;
            break;
        }
        case 6:
            event = SessionAbandoned{in.u64()};
            break;
        case 7:
            event = TimerExpired{in.u64()};
            break;
        case 8: {
            ProbeCompleted completed;
            completed.server = in.server();
            completed.outcome = decode_outcome(in.u16());
            completed.elapsed = require_finite(in.f64());
            completed.report = read_report(in);
            event = completed;
            break;
        }
        case 12: {
            SessionNote note;
            note.id = in.u64();
            note.attempt = in.u8();
            note.value = require_finite(in.f32());
            note.server = in.server();
            note.kind = decode_note_kind(in.u8());
            event = note;
            break;
        }
        default:
            throw WireError("unknown event code " + std::to_string(code));
    }
    const SessionRequest* request = std::get_if<SessionRequest>(&event);
    if (const auto* adopted = std::get_if<SessionAdopted>(&event)) request = &adopted->request;
    if (request && request->cls >= instance->classes) throw WireError("unknown class of session");
    if (request && request->tenant >= std::max(1, instance->tenants)) throw WireError("unknown tenant");
    std::vector<Action> actions;
    instance->director.handle(now, event, actions);
    for (const Action& action : actions) std::visit(ActionWriter{out, instance_id}, action);
}

}  // namespace ivyfield::benchlink
