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
    for (const DroppedKey& key : dropped) out.push_back({{"key", key.key}, {"why", key.reason}});
    return out;
}
// Payloads may hold any bytes, JSON only valid UTF-8: invalid bytes are replaced.
std::string to_line(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

Vocabulary parse_vocabulary(const std::string& kind) {
    if (kind == "cmcd") return Vocabulary::cmcd;
    if (kind == "cmsd-static") return Vocabulary::cmsd_static;
    if (kind == "cmsd-dynamic") return Vocabulary::cmsd_dynamic;
    throw std::invalid_argument("unknown kind \"" + kind + "\"; known: cmcd, cmsd-static, cmsd-dynamic");
}

// JSON has no tokens: a string becomes a token where the key requires one.
BareItem from_json(Vocabulary vocabulary, const std::string& key, const json& value) {
    if (value.is_boolean()) return value.get<bool>();
    if (value.is_number_integer()) return value.get<std::int64_t>();
    if (value.is_number()) {
        const double number = value.get<double>();
        if (!(std::abs(number) < 1e12)) throw std::invalid_argument("\"" + key + "\": number out of range");
        // Rounded to an integer if the key takes no decimals, else to three decimal places.
        if (check_key(vocabulary, key, Decimal{0}).empty()) return Decimal{std::llround(number * 1000)};
        return static_cast<std::int64_t>(std::llround(number));
    }
    if (value.is_string()) {
        const std::string text = value.get<std::string>();
        const std::string why = check_key(vocabulary, key, text);
        if (why == "wanted a token" || why.rfind("wanted one of", 0) == 0) return Token{text};
        return text;
    }
    throw std::invalid_argument("\"" + key + "\": not a number, string or boolean");
}
// Keys that can't be sent are left out, each with an error message.
Keys parse_keys(Vocabulary vocabulary, const json& source, std::vector<std::string>& key_errors) {
    Keys keys;
    if (!source.is_object()) throw std::invalid_argument("\"keys\" is not an object");
    for (const auto& [key, value] : source.items()) {
        try {
            BareItem item = from_json(vocabulary, key, value);
            Keys single_key;
            single_key.values.emplace(key, item);
            if (vocabulary == Vocabulary::cmsd_dynamic) encode_cmsd_dynamic({{"x", single_key}});
            else encode_keys(vocabulary, single_key);
            keys.values.emplace(key, std::move(item));
        } catch (const std::invalid_argument& e) {
            key_errors.push_back(e.what());
        }
    }
    return keys;
}

}  // namespace

int decode_hints(const std::string& kind, std::istream& in, std::ostream& out) {
    const Vocabulary vocabulary = parse_vocabulary(kind);
    std::string line;
    while (std::getline(in, line)) {
        if (!line.empty() && line.back() == '\r') line.pop_back();
        json result;
        if (vocabulary == Vocabulary::cmsd_dynamic) {
            const DecodedCmsdEntries decoded = decode_cmsd_dynamic(line);
            result["entries"] = json::array();
            for (const CmsdEntry& entry : decoded.entries)
                result["entries"].push_back({{"name", entry.name}, {"keys", to_json(entry.keys)}});
            result["dropped"] = to_json(decoded.dropped);
        } else {
            const DecodedKeys decoded = decode_keys(vocabulary, line);
            result = {{"keys", to_json(decoded.keys)}, {"dropped", to_json(decoded.dropped)}};
        }
        out << to_line(result) << "\n";
    }
    return 0;
}

int encode_hints(const std::string& kind, std::istream& in, std::ostream& out, std::ostream& errors) {
    const Vocabulary vocabulary = parse_vocabulary(kind);
    std::string line;
    int line_number = 0, exit_code = 0;
    while (std::getline(in, line)) {
        ++line_number;
        std::vector<std::string> key_errors;
        std::string payload;
        try {
            const json source = json::parse(line);
            if (!source.is_object()) throw std::invalid_argument("not a JSON object");
            if (vocabulary == Vocabulary::cmsd_dynamic) {
                std::vector<CmsdEntry> entries;
                for (const json& entry : source.at("entries"))
                    entries.push_back({entry.at("name").get<std::string>(),
                                       parse_keys(vocabulary, entry.at("keys"), key_errors)});
                payload = encode_cmsd_dynamic(entries);
            } else {
                payload = encode_keys(vocabulary, parse_keys(vocabulary, source.at("keys"), key_errors));
            }
        } catch (const json::exception& e) {
            key_errors.push_back(e.what());
        } catch (const std::invalid_argument& e) {
            key_errors.push_back(e.what());
        }
        out << payload << "\n";  // one line for each input line, empty if it could not be encoded
        for (const std::string& error : key_errors) errors << "line " << line_number << ": " << error << "\n";
        if (!key_errors.empty()) exit_code = 1;
    }
    return exit_code;
}

}  // namespace ivyfield::cli
