#include "hints/keys.hpp"

#include <cmath>
#include <stdexcept>

#include "http/message.hpp"  // percent-encoding

namespace ivyfield::hints {

namespace {

enum class Type { integer, decimal, string, url, range, token, flag };

struct Reserved {
    const char* key;
    Type type;
    Carrier carrier = Carrier::session;
    bool hundreds = false;  // rounded to the nearest hundred when sent
    std::size_t longest = kMaxStringLength;
    const char* tokens = nullptr;  // the ones defined, each between blanks
};

constexpr const char* kObjects = " m a v av i c tt k o ";
constexpr const char* kFormats = " d h s o ";
constexpr const char* kStreams = " v l ";

// CTA-5004, table 1.
constexpr Reserved kCmcd[] = {
    {"bl", Type::integer, Carrier::request, true},
    {"br", Type::integer, Carrier::object},
    {"bs", Type::flag, Carrier::status},
    {"cid", Type::string, Carrier::session, false, kMaxIdLength},
    {"d", Type::integer, Carrier::object},
    {"dl", Type::integer, Carrier::request, true},
    {"mtp", Type::integer, Carrier::request, true},
    {"nor", Type::url, Carrier::request},
    {"nrr", Type::range, Carrier::request},
    {"ot", Type::token, Carrier::object, false, 0, kObjects},
    {"pr", Type::decimal, Carrier::session},
    {"rtp", Type::integer, Carrier::status, true},
    {"sf", Type::token, Carrier::session, false, 0, kFormats},
    {"sid", Type::string, Carrier::session, false, kMaxIdLength},
    {"st", Type::token, Carrier::session, false, 0, kStreams},
    {"su", Type::flag, Carrier::request},
    {"tb", Type::integer, Carrier::object},
    {"v", Type::integer, Carrier::session},
};
// CTA-5006, static keys.
constexpr Reserved kCmsdStatic[] = {
    {"at", Type::integer},
    {"br", Type::integer},
    {"d", Type::integer},
    {"ht", Type::integer},
    {"n", Type::string},
    {"nor", Type::url},
    {"nrr", Type::range},
    {"ot", Type::token, Carrier::session, false, 0, kObjects},
    {"sf", Type::token, Carrier::session, false, 0, kFormats},
    {"st", Type::token, Carrier::session, false, 0, kStreams},
    {"su", Type::flag},
    {"v", Type::integer},
};
// CTA-5006, dynamic keys.
constexpr Reserved kCmsdDynamic[] = {
    {"du", Type::flag},    {"etp", Type::integer}, {"mb", Type::integer},
    {"rd", Type::integer}, {"rtt", Type::integer},
};

template <std::size_t N>
const Reserved* find_in(const Reserved (&table)[N], std::string_view key) {
    for (const Reserved& r : table)
        if (key == r.key) return &r;
    return nullptr;
}
const Reserved* reserved(Vocabulary vocabulary, std::string_view key) {
    switch (vocabulary) {
        case Vocabulary::cmcd:
            return find_in(kCmcd, key);
        case Vocabulary::cmsd_static:
            return find_in(kCmsdStatic, key);
        case Vocabulary::cmsd_dynamic:
            return find_in(kCmsdDynamic, key);
    }
    return nullptr;
}

bool all_digits(std::string_view s) {
    for (const char c : s)
        if (c < '0' || c > '9') return false;
    return !s.empty();
}
// "start-", "start-end" or "-length".
bool is_range(std::string_view s) {
    const std::size_t dash = s.find('-');
    if (dash == std::string_view::npos) return false;
    const std::string_view from = s.substr(0, dash), to = s.substr(dash + 1);
    if (from.empty()) return all_digits(to);
    if (!all_digits(from) || (!to.empty() && !all_digits(to))) return false;
    const auto number = [](std::string_view d) {
        while (d.size() > 1 && d.front() == '0') d.remove_prefix(1);
        return std::make_pair(d.size(), d);
    };
    return to.empty() || number(from) <= number(to);
}

// Checks a value against its key's type and brings it to one form (an integer rate becomes a decimal).
std::string settle(Vocabulary vocabulary, const std::string& key, BareItem& value) {
    const Reserved* r = reserved(vocabulary, key);
    if (std::holds_alternative<Bytes>(value)) return "a byte sequence is no type of these hints";
    if (!r) {
        if (key.find('-') == std::string::npos) return "not a reserved key, and a custom key has a hyphen";
        if (const auto* s = std::get_if<std::string>(&value); s && s->size() > kMaxStringLength)
            return "longer than " + std::to_string(kMaxStringLength) + " characters";
        return {};
    }
    const auto* text = std::get_if<std::string>(&value);
    if (text && r->longest && text->size() > r->longest)
        return "longer than " + std::to_string(r->longest) + " characters";
    switch (r->type) {
        case Type::integer: {
            const auto* number = std::get_if<std::int64_t>(&value);
            if (!number) return "wanted an integer";
            if (*number < (key == "v" ? 1 : 0))
                return "wanted a number that is not below " + std::string(key == "v" ? "1" : "0");
            return {};
        }
        case Type::decimal:
            if (const auto* number = std::get_if<std::int64_t>(&value)) {
                if (std::abs(*number) > 999999999999) return "wanted at most 12 digits before the point";
                value = Decimal{*number * 1000};
            }
            return std::holds_alternative<Decimal>(value) ? "" : "wanted a decimal";
        case Type::string:
            if (!text) return "wanted a string";
            return text->empty() ? "an empty string" : "";
        case Type::url:
            if (!text) return "wanted a string";
            if (text->empty()) return "an empty string";
            return {};
        case Type::range:
            if (!text) return "wanted a string";
            return is_range(*text) ? "" : "wanted a byte range like 0-499, 500- or -500";
        case Type::token: {
            const auto* token = std::get_if<Token>(&value);
            if (!token) return "wanted a token";
            if (std::string(r->tokens).find(" " + token->text + " ") == std::string::npos)
                return std::string("wanted one of:") + r->tokens;
            return {};
        }
        case Type::flag:
            return std::holds_alternative<bool>(value) ? "" : "wanted a flag without value";
    }
    return {};
}

// One decoded key: kept, or told why not.
void keep(Vocabulary vocabulary, const std::string& key, BareItem value, DecodedKeys& into) {
    std::string why = settle(vocabulary, key, value);
    const Reserved* r = reserved(vocabulary, key);
    if (why.empty() && r && r->type == Type::url) {
        auto plain = http::percent_decode(std::get<std::string>(value));
        if (plain) value = std::move(*plain);
        else why = "wanted a percent-encoded path";
    }
    if (!why.empty()) {
        into.dropped.push_back({key, why});
        return;
    }
    const auto [it, fresh] = into.keys.values.insert_or_assign(key, std::move(value));
    if (!fresh) into.dropped.push_back({key, "given again later"});
}

std::int64_t to_hundred(std::int64_t value) { return (value + 50) / 100 * 100; }

// As it is sent; nothing when the key is left out.
std::optional<BareItem> as_sent(Vocabulary vocabulary, const std::string& key, BareItem value) {
    const Reserved* r = reserved(vocabulary, key);
    if (!valid_key(key)) throw std::invalid_argument("\"" + key + "\": not a key");
    if (const std::string why = settle(vocabulary, key, value); !why.empty())
        throw std::invalid_argument("\"" + key + "\": " + why);
    if (const bool* flag = std::get_if<bool>(&value); flag && !*flag && r) return std::nullopt;
    if (r && key == "v" && std::get<std::int64_t>(value) == 1) return std::nullopt;
    if (r && key == "pr" && std::get<Decimal>(value).thousandths == 1000) return std::nullopt;
    if (r && r->hundreds) value = to_hundred(std::get<std::int64_t>(value));
    if (r && r->type == Type::url) value = http::percent_encode(std::get<std::string>(value));
    return value;
}

std::string join(Vocabulary vocabulary, const Keys& keys, const char* separator, bool lead) {
    std::string out;
    for (const auto& [key, value] : keys.values) {
        const auto sent = as_sent(vocabulary, key, value);
        if (!sent) continue;
        if (lead || !out.empty()) out += separator;
        out += key;
        const bool* flag = std::get_if<bool>(&*sent);
        if (!flag || !*flag) {
            try {
                out += "=" + serialize(*sent);
            } catch (const std::invalid_argument& e) {
                throw std::invalid_argument("\"" + key + "\": " + e.what());
            }
        }
    }
    return out;
}

bool too_long(std::string_view payload, std::vector<DroppedKey>& dropped) {
    if (payload.size() <= kMaxPayloadBytes) return false;
    dropped.push_back({"", "the payload is longer than " + std::to_string(kMaxPayloadBytes) + " bytes"});
    return true;
}

}  // namespace

const char* header_name(Carrier carrier) {
    switch (carrier) {
        case Carrier::request:
            return "CMCD-Request";
        case Carrier::object:
            return "CMCD-Object";
        case Carrier::status:
            return "CMCD-Status";
        case Carrier::session:
            return "CMCD-Session";
        case Carrier::query:
            return "CMCD";
    }
    return "";
}

std::optional<std::int64_t> Keys::integer(const std::string& key) const {
    const auto it = values.find(key);
    if (it == values.end()) return std::nullopt;
    if (const auto* number = std::get_if<std::int64_t>(&it->second)) return *number;
    return std::nullopt;
}
std::optional<std::string> Keys::text(const std::string& key) const {
    const auto it = values.find(key);
    if (it == values.end()) return std::nullopt;
    if (const auto* text = std::get_if<std::string>(&it->second)) return *text;
    if (const auto* token = std::get_if<Token>(&it->second)) return token->text;
    return std::nullopt;
}
bool Keys::flag(const std::string& key) const {
    const auto it = values.find(key);
    if (it == values.end()) return false;
    const bool* flag = std::get_if<bool>(&it->second);
    return flag && *flag;
}

std::string check_key(Vocabulary vocabulary, const std::string& key, const BareItem& value) {
    if (!valid_key(key)) return "not a key";
    BareItem copy = value;
    return settle(vocabulary, key, copy);
}

DecodedKeys decode_keys(Vocabulary vocabulary, std::string_view payload) {
    DecodedKeys out;
    if (too_long(payload, out.dropped)) return out;
    std::size_t seen = 0;
    for (ParsedMember& piece : parse_dictionary_members(payload)) {
        if (++seen > kMaxKeys) {
            out.dropped.push_back({piece.key, "more than " + std::to_string(kMaxKeys) + " keys"});
            break;
        }
        if (!piece.member) {
            out.dropped.push_back({piece.key, piece.reason});
            continue;
        }
        Item* item = std::get_if<Item>(&*piece.member);
        if (!item) out.dropped.push_back({piece.key, "a list is no value of these hints"});
        else if (!item->parameters.empty()) out.dropped.push_back({piece.key, "a value with parameters"});
        else keep(vocabulary, piece.key, std::move(item->value), out);
    }
    return out;
}

std::string encode_keys(Vocabulary vocabulary, const Keys& keys) {
    return join(vocabulary, keys, ",", false);
}

DecodedKeys decode_cmcd(const CmcdSources& sources) {
    DecodedKeys out;
    std::map<std::string, int> contradictory;
    for (const std::string& payload : sources.payload) {
        DecodedKeys one = decode_keys(Vocabulary::cmcd, payload);
        out.dropped.insert(out.dropped.end(), one.dropped.begin(), one.dropped.end());
        for (auto& [key, value] : one.keys.values) {
            const auto [it, fresh] = out.keys.values.try_emplace(key, value);
            if (!fresh && !(it->second == value)) contradictory[key] += 1;
        }
    }
    for (const auto& [key, times] : contradictory) {
        out.keys.values.erase(key);
        out.dropped.push_back({key, "two values in two places"});
    }
    return out;
}

Carrier carrier_of(const std::string& key) {
    const Reserved* r = reserved(Vocabulary::cmcd, key);
    return r ? r->carrier : Carrier::session;
}
std::array<std::string, 4> encode_cmcd_headers(const Keys& keys) {
    std::array<Keys, 4> parts;
    for (const auto& [key, value] : keys.values)
        parts[static_cast<std::size_t>(carrier_of(key))].values.emplace(key, value);
    std::array<std::string, 4> out;
    for (std::size_t k = 0; k < out.size(); ++k) out[k] = encode_keys(Vocabulary::cmcd, parts[k]);
    return out;
}

DecodedCmsdEntries decode_cmsd_dynamic(std::string_view payload) {
    DecodedCmsdEntries out;
    if (too_long(payload, out.dropped)) return out;
    for (ParsedListItem& piece : parse_list_items(payload)) {
        if (out.entries.size() >= kMaxKeys) {
            out.dropped.push_back({"", "more than " + std::to_string(kMaxKeys) + " entries"});
            break;
        }
        std::string why = piece.reason;
        CmsdEntry entry;
        if (piece.value) {
            if (const auto* name = std::get_if<std::string>(&*piece.value)) entry.name = *name;
            else if (const auto* token = std::get_if<Token>(&*piece.value)) entry.name = token->text;
            else why = "an entry's name is a string";
        }
        if (!why.empty()) {
            out.dropped.push_back({piece.text, why});
            continue;
        }
        DecodedKeys keys;
        for (ParsedParameter& p : piece.parameters) {
            if (keys.keys.values.size() >= kMaxKeys) {
                out.dropped.push_back({p.key, "more than " + std::to_string(kMaxKeys) + " keys"});
                break;
            }
            if (p.value) keep(Vocabulary::cmsd_dynamic, p.key, std::move(*p.value), keys);
            else keys.dropped.push_back({p.key, p.reason});
        }
        out.dropped.insert(out.dropped.end(), keys.dropped.begin(), keys.dropped.end());
        entry.keys = std::move(keys.keys);
        out.entries.push_back(std::move(entry));
    }
    return out;
}

std::string encode_cmsd_dynamic(const std::vector<CmsdEntry>& entries) {
    std::string out;
    for (const CmsdEntry& entry : entries) {
        if (entry.name.empty()) throw std::invalid_argument("an entry has no name");
        if (!out.empty()) out += ",";
        out += serialize(BareItem(entry.name)) + join(Vocabulary::cmsd_dynamic, entry.keys, ";", true);
    }
    return out;
}
std::string append_cmsd_dynamic(std::string_view earlier, const CmsdEntry& ours) {
    std::string out(earlier);
    if (!out.empty()) out += ", ";
    return out += encode_cmsd_dynamic({ours});
}

}  // namespace ivyfield::hints
