#include "codec.hpp"

#include <cmath>
#include <cstring>
#include <type_traits>

#include "settings/settings.hpp"

namespace ivyfield::benchlink {

namespace {

template <typename T>
T take(std::string_view bytes, std::size_t& at) {
    if (bytes.size() - at < sizeof(T)) throw WireError("record is cut short");
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        bits |= std::uint64_t(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
    at += sizeof(T);
    T value;
    if constexpr (std::is_same_v<T, float>) {
        const auto narrow = static_cast<std::uint32_t>(bits);
        std::memcpy(&value, &narrow, sizeof value);
    } else if constexpr (std::is_same_v<T, double>) {
        std::memcpy(&value, &bits, sizeof value);
    } else {
        value = static_cast<T>(bits);
    }
    return value;
}

template <typename T>
void put(std::string& out, T value) {
    std::uint64_t bits = 0;
    if constexpr (std::is_same_v<T, double>) std::memcpy(&bits, &value, sizeof bits);
    else bits = value;
    for (std::size_t i = 0; i < sizeof(T); ++i) out.push_back(static_cast<char>(bits >> (8 * i)));
}

// A server's six bytes travel through ServerId unchanged.
void put_server(std::string& out, ServerId id) {
    put(out, static_cast<std::uint32_t>(id >> 16));
    put(out, static_cast<std::uint16_t>(id));
}

LoadReport read_report(Reader& in) {
    LoadReport report(in.u8());
    for (float& value : report) value = in.f32();
    return report;
}

double finite(double value) {
    if (!std::isfinite(value)) throw WireError("number is not finite");
    return value;
}

int whole(float value) {
    if (!(value >= 0 && value < 1e6f)) throw WireError("number is out of range");
    return static_cast<int>(value);
}

Outcome outcome_of(std::uint16_t code) {
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

NoteKind note_of(std::uint8_t kind) {
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
    SessionRequest r;
    r.id = in.u64();
    r.cls = in.u16();
    const std::uint32_t tenant = in.u32();
    if (tenant > 0xffffff) throw WireError("tenant is out of range");
    r.tenant = static_cast<int>(tenant);
    r.viewer = in.u64();
    r.title = in.u64();
    r.deadline = finite(in.f64());
    const double hint = finite(in.f64());
    r.first_cell = whole(in.f32());
    r.cell_count = whole(in.f32());
    r.top_rung = whole(in.f32());
    const int flags = in.u8();
    if (flags & 1) r.length_hint = hint;
    r.moved = flags & 8;
    r.returning = flags & 16;
    return r;
}

struct Writer {
    std::string& out;
    std::uint16_t i;
    void head(int code) const {
        put(out, static_cast<std::uint8_t>(code));
        put(out, i);
    }
    void operator()(const SendSetup& a) const {
        head(1), put(out, a.id), put_server(out, a.server), put(out, a.expires);
    }
    void operator()(const Reject& a) const { head(2), put(out, a.id), put(out, a.retry_after); }
    void operator()(const Fail& a) const { head(3), put(out, a.id); }
    void operator()(const Cancel& a) const {
        head(4), put(out, a.id), put(out, static_cast<std::uint8_t>(a.attempt));
    }
    void operator()(const SetTimer& a) const { head(5), put(out, a.timer_id), put(out, a.at); }
    void operator()(const Probe& a) const { head(6), put_server(out, a.server); }
    void operator()(const Log& a) const {
        const std::string text = a.text.substr(0, 0xffff);
        head(9), put(out, static_cast<std::uint16_t>(text.size())), out += text;
    }
    void operator()(const SubscribeServerList& a) const {
        head(11), put(out, static_cast<std::uint8_t>(a.enabled));
    }
    void operator()(const FetchServerList&) const { head(12); }
    void operator()(const SetRung& a) const {
        head(13), put(out, a.id), put(out, static_cast<std::uint8_t>(a.rung));
    }
    void operator()(const Move& a) const { head(14), put(out, a.id); }
};

}  // namespace

std::uint8_t Reader::u8() { return take<std::uint8_t>(bytes_, at_); }
std::uint16_t Reader::u16() { return take<std::uint16_t>(bytes_, at_); }
std::uint32_t Reader::u32() { return take<std::uint32_t>(bytes_, at_); }
std::uint64_t Reader::u64() { return take<std::uint64_t>(bytes_, at_); }
float Reader::f32() { return take<float>(bytes_, at_); }
double Reader::f64() { return take<double>(bytes_, at_); }
ServerId Reader::server() {
    const ServerId address = u32();
    return address << 16 | u16();
}
std::string_view Reader::text(std::size_t size) {
    if (bytes_.size() - at_ < size) throw WireError("record is cut short");
    at_ += size;
    return bytes_.substr(at_ - size, size);
}

Settings parse_settings(std::string_view text) {
    try {
        return settings::parse(text);
    } catch (const settings::SettingsError& e) {
        throw WireError(e.what());
    }
}

Host::Instance* Host::find(int number) {
    const auto it = instances_.find(number);
    if (it == instances_.end()) throw WireError("event for unknown instance " + std::to_string(number));
    return &it->second;
}

std::string Host::reply(std::string_view batch) {
    Reader in(batch);
    const std::uint32_t count = in.u32();
    const Time now = finite(in.f64());
    std::string out(4, '\0');
    for (std::uint32_t k = 0; k < count; ++k) record(in, now, out);
    if (!in.done()) throw WireError("bytes left over after the last record");
    std::string size;
    put(size, static_cast<std::uint32_t>(out.size() - 4));
    return out.replace(0, 4, size);
}

void Host::record(Reader& in, Time now, std::string& out) {
    const int code = in.u8();
    if (code == 13) {  // a list, owned by the process
        auto& list = lists_[in.u32()];
        const std::uint32_t n = in.u32();
        list.clear();
        for (std::uint32_t k = 0; k < n; ++k) {
            ServerEntry e;
            e.position = in.u16();
            e.weight = finite(in.f32());
            e.id = in.server();
            e.last_start = finite(in.f64());
            e.zone = in.u8();
            const int state = in.u8();
            if (state > 2) throw WireError("unknown server condition " + std::to_string(state));
            e.state = static_cast<ServerState>(state);
            e.kind = in.u8();
            list.push_back(e);
        }
        return;
    }
    const std::uint16_t number = in.u16();
    if (code == 1) {
        const std::uint64_t seed = in.u64();
        const Settings settings = parse_settings(in.text(in.u32()));
        instances_.erase(number);
        instances_.emplace(number,
                           Instance{Director(settings, seed), static_cast<int>(settings.classes.size()),
                                    static_cast<int>(settings.tenants.size())});
        return;
    }
    Instance* instance = find(number);
    if (code == 10) {
        instances_.erase(number);
        return;
    }
    if (code == 9) {  // a peer's message: the design has no talk among directors
        in.u16();
        in.text(in.u16());
        return;
    }
    Event event;
    switch (code) {
        case 2: {
            ServerList e;
            in.u32();  // version
            const int kind = in.u8();
            const std::uint32_t list = in.u32();
            if (kind > 3) throw WireError("unknown kind of list " + std::to_string(kind));
            e.kind = static_cast<ListKind>(kind);
            if (e.kind != ListKind::failed) {
                const auto it = lists_.find(list);
                if (it == lists_.end()) throw WireError("list " + std::to_string(list) + " was never sent");
                e.entries = it->second;
            }
            event = e;
            break;
        }
        case 3:
            event = read_request(in);
            break;
        case 11: {
            SessionAdopted e;
            e.request = read_request(in);
            e.server = in.server();
            event = e;
            break;
        }
        case 4: {
            SessionEstablished e;
            e.id = in.u64();
            e.attempt = in.u8();
            e.server = in.server();
            e.elapsed = finite(in.f64());
            event = e;
            break;
        }
        case 5: {
            AttemptEnded e;
            e.id = in.u64();
            e.attempt = in.u8();
            e.server = in.server();
            e.outcome = outcome_of(in.u16());
            e.elapsed = finite(in.f64());
            e.session_ended = in.u8() != 0;
            e.report = read_report(in);
            event = e;
            break;
        }
        case 6:
            event = SessionAbandoned{in.u64()};
            break;
        case 7:
            event = TimerExpired{in.u64()};
            break;
        case 8: {
            ProbeCompleted e;
            e.server = in.server();
            e.outcome = outcome_of(in.u16());
            e.elapsed = finite(in.f64());
            e.report = read_report(in);
            event = e;
            break;
        }
        case 12: {
            SessionNote e;
            e.id = in.u64();
            e.attempt = in.u8();
            e.value = finite(in.f32());
            e.server = in.server();
            e.kind = note_of(in.u8());
            event = e;
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
    for (const Action& action : actions) std::visit(Writer{out, number}, action);
}

}  // namespace ivyfield::benchlink
