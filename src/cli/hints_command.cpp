#include "cli/hints_command.hpp"

#include <cmath>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "hints/keys.hpp"

namespace ivyfield::cli {

namespace {

using nlohmann::json;
using namespace ivyfield::hints;

json to_json(const BareItem& value) {
    if (const auto* v = std::get_if<std::int64_t>(&value)) return *v;
    if (const auto* v = std::get_if<Decimal>(&value))
        return v->thousandths % 1000 ? json(v->value()) : json(v->thousandths / 1000);
    if (const auto* v = std::get_if<std::string>(&value)) return *v;
    if (const auto* v = std::get_if<Token>(&value)) return v->text;
    if (const auto* v = std::get_if<bool>(&value)) return *v;
    return nullptr;
}
json to_json(const Keys& keys) {
    json out = json::object();
    for (const auto& [key, value] : keys.values) out[key] = to_json(value);
    return out;
}
json to_json(const std::vector<DroppedKey>& dropped) {
    json out = json::array();
    for (const DroppedKey& d : dropped) out.push_back({{"key", d.key}, {"why", d.reason}});
    return out;
}
// Payloads may hold any bytes; JSON may not.
std::string line_of(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

Vocabulary vocabulary_of(const std::string& kind) {
    if (kind == "cmcd") return Vocabulary::cmcd;
    if (kind == "cmsd-static") return Vocabulary::cmsd_static;
    if (kind == "cmsd-dynamic") return Vocabulary::cmsd_dynamic;
    throw std::invalid_argument("unknown kind \"" + kind + "\"; known: cmcd, cmsd-static, cmsd-dynamic");
}

// JSON has no tokens: a string is sent as one where the key wants one.
BareItem from_json(Vocabulary vocabulary, const std::string& key, const json& value) {
    if (value.is_boolean()) return value.get<bool>();
    if (value.is_number_integer()) return value.get<std::int64_t>();
    if (value.is_number()) {
        const double number = value.get<double>();
        if (!(std::abs(number) < 1e12)) throw std::invalid_argument("\"" + key + "\": a number too large");
        // Where an integer is wanted, a fraction is rounded; else three digits stand behind the point.
        if (check_key(vocabulary, key, Decimal{0}).empty()) return Decimal{std::llround(number * 1000)};
        return static_cast<std::int64_t>(std::llround(number));
    }
    if (value.is_string()) {
        const std::string text = value.get<std::string>();
        const std::string why = check_key(vocabulary, key, text);
        if (why == "wanted a token" || why.rfind("wanted one of", 0) == 0) return Token{text};
        return text;
    }
    throw std::invalid_argument("\"" + key + "\": neither number, string nor flag");
}
// Keys that can't be sent are left out and told.
Keys keys_from(Vocabulary vocabulary, const json& from, std::vector<std::string>& faults) {
    Keys keys;
    if (!from.is_object()) throw std::invalid_argument("\"keys\" is not an object");
    for (const auto& [key, value] : from.items()) {
        try {
            BareItem item = from_json(vocabulary, key, value);
            Keys alone;
            alone.values.emplace(key, item);
            if (vocabulary == Vocabulary::cmsd_dynamic) encode_cmsd_dynamic({{"x", alone}});
            else encode_keys(vocabulary, alone);
            keys.values.emplace(key, std::move(item));
        } catch (const std::invalid_argument& e) {
            faults.push_back(e.what());
        }
    }
    return keys;
}

}  // namespace

int decode_hints(const std::string& kind, std::istream& in, std::ostream& out) {
    const Vocabulary vocabulary = vocabulary_of(kind);
    std::string line;
    while (std::getline(in, line)) {
        if (!line.empty() && line.back() == '\r') line.pop_back();
        json result;
        if (vocabulary == Vocabulary::cmsd_dynamic) {
            const DecodedCmsdEntries decoded = decode_cmsd_dynamic(line);
            result["entries"] = json::array();
            for (const CmsdEntry& e : decoded.entries)
                result["entries"].push_back({{"name", e.name}, {"keys", to_json(e.keys)}});
            result["dropped"] = to_json(decoded.dropped);
        } else {
            const DecodedKeys decoded = decode_keys(vocabulary, line);
            result = {{"keys", to_json(decoded.keys)}, {"dropped", to_json(decoded.dropped)}};
        }
        out << line_of(result) << "\n";
    }
    return 0;
}

int encode_hints(const std::string& kind, std::istream& in, std::ostream& out, std::ostream& errors) {
    const Vocabulary vocabulary = vocabulary_of(kind);
    std::string line;
    int number = 0, code = 0;
    while (std::getline(in, line)) {
        ++number;
        std::vector<std::string> faults;
        std::string payload;
        try {
            const json from = json::parse(line);
            if (!from.is_object()) throw std::invalid_argument("not a JSON object");
            if (vocabulary == Vocabulary::cmsd_dynamic) {
                std::vector<CmsdEntry> entries;
                for (const json& e : from.at("entries"))
                    entries.push_back(
                        {e.at("name").get<std::string>(), keys_from(vocabulary, e.at("keys"), faults)});
                payload = encode_cmsd_dynamic(entries);
            } else {
                payload = encode_keys(vocabulary, keys_from(vocabulary, from.at("keys"), faults));
            }
        } catch (const json::exception& e) {
            faults.push_back(e.what());
        } catch (const std::invalid_argument& e) {
            faults.push_back(e.what());
        }
        out << payload << "\n";  // a line for each line, empty where nothing could be made of it
        for (const std::string& fault : faults) errors << "line " << number << ": " << fault << "\n";
        if (!faults.empty()) code = 1;
    }
    return code;
}

}  // namespace ivyfield::cli
