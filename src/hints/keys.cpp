#include "hints/keys.hpp"

#include <cmath>
#include <stdexcept>

#include "http/message.hpp"  // percent-encoding

namespace ivyfield::hints {

namespace {

enum class Type { integer, decimal, string, url, range, token, flag };

// A key that the specification defines.
struct ReservedKey {
    const char* key;
    Type type;
    Carrier carrier = Carrier::session;
    bool round_to_hundreds = false;  // when encoding
    std::size_t max_length = kMaxStringLength;
    const char* allowed_tokens = nullptr;  // separated and enclosed by spaces
};

constexpr const char* kObjectTypes = " m a v av i c tt k o ";
constexpr const char* kStreamingFormats = " d h s o ";
constexpr const char* kStreamTypes = " v l ";

// CTA-5004, table 1.
constexpr ReservedKey kCmcd[] = {
    {"bl", Type::integer, Carrier::request, true},
    {"br", Type::integer, Carrier::object},
    {"bs", Type::flag, Carrier::status},
    {"cid", Type::string, Carrier::session, false, kMaxIdLength},
    {"d", Type::integer, Carrier::object},
    {"dl", Type::integer, Carrier::request, true},
    {"mtp", Type::integer, Carrier::request, true},
    {"nor", Type::url, Carrier::request},
    {"nrr", Type::range, Carrier::request},
    {"ot", Type::token, Carrier::object, false, 0, kObjectTypes},
    {"pr", Type::decimal, Carrier::session},
    {"rtp", Type::integer, Carrier::status, true},
    {"sf", Type::token, Carrier::session, false, 0, kStreamingFormats},
    {"sid", Type::string, Carrier::session, false, kMaxIdLength},
    {"st", Type::token, Carrier::session, false, 0, kStreamTypes},
    {"su", Type::flag, Carrier::request},
    {"tb", Type::integer, Carrier::object},
    {"v", Type::integer, Carrier::session},
};
// CTA-5006, static keys.
constexpr ReservedKey kCmsdStatic[] = {
    {"at", Type::integer},
    {"br", Type::integer},
    {"d", Type::integer},
    {"ht", Type::integer},
    {"n", Type::string},
    {"nor", Type::url},
    {"nrr", Type::range},
    {"ot", Type::token, Carrier::session, false, 0, kObjectTypes},
    {"sf", Type::token, Carrier::session, false, 0, kStreamingFormats},
    {"st", Type::token, Carrier::session, false, 0, kStreamTypes},
    {"su", Type::flag},
    {"v", Type::integer},
};
// CTA-5006, dynamic keys.
constexpr ReservedKey kCmsdDynamic[] = {
    {"du", Type::flag},    {"etp", Type::integer}, {"mb", Type::integer},
    {"rd", Type::integer}, {"rtt", Type::integer},
};

template <std::size_t N>
const ReservedKey* find_key(const ReservedKey (&table)[N], std::string_view key) {
    for (const ReservedKey& reserved : table)
        if (key == reserved.key) return &reserved;
    return nullptr;
}
const ReservedKey* find_reserved(Vocabulary vocabulary, std::string_view key) {
    switch (vocabulary) {
        case Vocabulary::cmcd:
            return find_key(kCmcd, key);
        case Vocabulary::cmsd_static:
            return find_key(kCmsdStatic, key);
        case Vocabulary::cmsd_dynamic:
            return find_key(kCmsdDynamic, key);
    }
    return nullptr;
}

bool is_all_digits(std::string_view s) {
    for (const char c : s)
        if (c < '0' || c > '9') return false;
    return !s.empty();
}
// A byte range: "start-", "start-end" or "-length".
bool is_range(std::string_view s) {
    const std::size_t dash = s.find('-');
    if (dash == std::string_view::npos) return false;
    const std::string_view from = s.substr(0, dash), to = s.substr(dash + 1);
    if (from.empty()) return is_all_digits(to);
    if (!is_all_digits(from) || (!to.empty() && !is_all_digits(to))) return false;
    const auto number = [](std::string_view d) {
        while (d.size() > 1 && d.front() == '0') d.remove_prefix(1);
        return std::make_pair(d.size(), d);
    };
    return to.empty() || number(from) <= number(to);
}

// Checks a value against its key's type and normalizes it (an integer for a decimal key becomes a decimal).
// Returns what is wrong, or an empty string.
std::string normalize_value(Vocabulary vocabulary, const std::string& key, BareItem& value) {
    const ReservedKey* reserved = find_reserved(vocabulary, key);
    if (std::holds_alternative<Bytes>(value)) return "a byte sequence is no type of these hints";
    if (!reserved) {
        if (key.find('-') == std::string::npos) return "not a reserved key, and a custom key has a hyphen";
        if (const auto* s = std::get_if<std::string>(&value); s && s->size() > kMaxStringLength)
            return "longer than " + std::to_string(kMaxStringLength) + " characters";
        return {};
    }
    const auto* text = std::get_if<std::string>(&value);
    if (text && reserved->max_length && text->size() > reserved->max_length)
        return "longer than " + std::to_string(reserved->max_length) + " characters";
    switch (reserved->type) {
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
            if (std::string(reserved->allowed_tokens).find(" " + token->text + " ") == std::string::npos)
                return std::string("wanted one of:") + reserved->allowed_tokens;
            return {};
        }
        case Type::flag:
            return std::holds_alternative<bool>(value) ? "" : "wanted a flag without value";
    }
    return {};
}

// Adds a decoded key to the keys, or to the dropped ones with the reason.
void add_key(Vocabulary vocabulary, const std::string& key, BareItem value, DecodedKeys& out) {
    std::string reason = normalize_value(vocabulary, key, value);
    const ReservedKey* reserved = find_reserved(vocabulary, key);
    if (reason.empty() && reserved && reserved->type == Type::url) {
        auto decoded_path = http::percent_decode(std::get<std::string>(value));
        if (decoded_path) value = std::move(*decoded_path);
        else reason = "wanted a percent-encoded path";
    }
    if (!reason.empty()) {
        out.dropped.push_back({key, reason});
        return;
    }
    const auto [it, inserted] = out.keys.values.insert_or_assign(key, std::move(value));
    if (!inserted) out.dropped.push_back({key, "given again later"});
}

std::int64_t round_to_hundred(std::int64_t value) { return (value + 50) / 100 * 100; }

// The value in the form that is sent; nothing if the key is omitted because it has its default value. Throws
// std::invalid_argument.
std::optional<BareItem> encode_value(Vocabulary vocabulary, const std::string& key, BareItem value) {
    const ReservedKey* reserved = find_reserved(vocabulary, key);
    if (!is_valid_key(key)) throw std::invalid_argument("\"" + key + "\": not a key");
    if (const std::string reason = normalize_value(vocabulary, key, value); !reason.empty())
        throw std::invalid_argument("\"" + key + "\": " + reason);
    if (const bool* flag = std::get_if<bool>(&value); flag && !*flag && reserved) return std::nullopt;
    if (reserved && key == "v" && std::get<std::int64_t>(value) == 1) return std::nullopt;
    if (reserved && key == "pr" && std::get<Decimal>(value).thousandths == 1000) return std::nullopt;
    if (reserved && reserved->round_to_hundreds) value = round_to_hundred(std::get<std::int64_t>(value));
    if (reserved && reserved->type == Type::url) value = http::percent_encode(std::get<std::string>(value));
    return value;
}

// Encodes the keys as "key=value" with the separator between them, or also before the first.
std::string join_keys(Vocabulary vocabulary, const Keys& keys, const char* separator,
                      bool leading_separator) {
    std::string out;
    for (const auto& [key, value] : keys.values) {
        const auto encoded = encode_value(vocabulary, key, value);
        if (!encoded) continue;
        if (leading_separator || !out.empty()) out += separator;
        out += key;
        const bool* flag = std::get_if<bool>(&*encoded);
        if (!flag || !*flag) {
            try {
                out += "=" + serialize(*encoded);
            } catch (const std::invalid_argument& e) {
                throw std::invalid_argument("\"" + key + "\": " + e.what());
            }
        }
    }
    return out;
}

// True, and reported in `dropped`, if the payload exceeds the limit.
bool drop_if_too_long(std::string_view payload, std::vector<DroppedKey>& dropped) {
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
    if (!is_valid_key(key)) return "not a key";
    BareItem copy = value;
    return normalize_value(vocabulary, key, copy);
}

DecodedKeys decode_keys(Vocabulary vocabulary, std::string_view payload) {
    DecodedKeys out;
    if (drop_if_too_long(payload, out.dropped)) return out;
    std::size_t key_count = 0;
    for (ParsedMember& piece : parse_dictionary_members(payload)) {
        if (++key_count > kMaxKeys) {
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
        else add_key(vocabulary, piece.key, std::move(item->value), out);
    }
    return out;
}

std::string encode_keys(Vocabulary vocabulary, const Keys& keys) {
    return join_keys(vocabulary, keys, ",", false);
}

DecodedKeys decode_cmcd(const CmcdSources& sources) {
    DecodedKeys out;
    std::map<std::string, int> contradictory;
    for (const std::string& payload : sources.payload) {
        DecodedKeys decoded = decode_keys(Vocabulary::cmcd, payload);
        out.dropped.insert(out.dropped.end(), decoded.dropped.begin(), decoded.dropped.end());
        for (auto& [key, value] : decoded.keys.values) {
            const auto [it, inserted] = out.keys.values.try_emplace(key, value);
            if (!inserted && !(it->second == value)) contradictory[key] += 1;
        }
    }
    for (const auto& [key, count] : contradictory) {
        out.keys.values.erase(key);
        out.dropped.push_back({key, "two values in two places"});
    }
    return out;
}

Carrier carrier_of(const std::string& key) {
    const ReservedKey* reserved = find_reserved(Vocabulary::cmcd, key);
    return reserved ? reserved->carrier : Carrier::session;
}
std::array<std::string, 4> encode_cmcd_headers(const Keys& keys) {
    std::array<Keys, 4> keys_by_header;
    for (const auto& [key, value] : keys.values)
        keys_by_header[static_cast<std::size_t>(carrier_of(key))].values.emplace(key, value);
    std::array<std::string, 4> out;
    for (std::size_t k = 0; k < out.size(); ++k) out[k] = encode_keys(Vocabulary::cmcd, keys_by_header[k]);
    return out;
}

DecodedCmsdEntries decode_cmsd_dynamic(std::string_view payload) {
    DecodedCmsdEntries out;
    if (drop_if_too_long(payload, out.dropped)) return out;
    for (ParsedListItem& piece : parse_list_items(payload)) {
        if (out.entries.size() >= kMaxKeys) {
            out.dropped.push_back({"", "more than " + std::to_string(kMaxKeys) + " entries"});
            break;
        }
        std::string reason = piece.reason;
        CmsdEntry entry;
        if (piece.value) {
            if (const auto* name = std::get_if<std::string>(&*piece.value)) entry.name = *name;
            else if (const auto* token = std::get_if<Token>(&*piece.value)) entry.name = token->text;
            else reason = "an entry's name is a string";
        }
        if (!reason.empty()) {
            out.dropped.push_back({piece.text, reason});
            continue;
        }
        DecodedKeys keys;
        for (ParsedParameter& parameter : piece.parameters) {
            if (keys.keys.values.size() >= kMaxKeys) {
                out.dropped.push_back({parameter.key, "more than " + std::to_string(kMaxKeys) + " keys"});
                break;
            }
            if (parameter.value)
                add_key(Vocabulary::cmsd_dynamic, parameter.key, std::move(*parameter.value), keys);
            else keys.dropped.push_back({parameter.key, parameter.reason});
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
        out += serialize(BareItem(entry.name)) + join_keys(Vocabulary::cmsd_dynamic, entry.keys, ";", true);
    }
    return out;
}
std::string append_cmsd_dynamic(std::string_view earlier, const CmsdEntry& ours) {
    std::string out(earlier);
    if (!out.empty()) out += ", ";
    return out += encode_cmsd_dynamic({ours});
}

}  // namespace ivyfield::hints
