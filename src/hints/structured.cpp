#include "hints/structured.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <stdexcept>
#include <tao/pegtl.hpp>

namespace ivyfield::hints {

namespace {

namespace peg = tao::pegtl;

constexpr std::string_view kBase64 = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

// ---- The grammar, RFC 8941 section 3 ----

struct lcalpha : peg::range<'a', 'z'> {};
struct key_first : peg::sor<lcalpha, peg::one<'*'>> {};
struct key_rest : peg::sor<lcalpha, peg::digit, peg::one<'_', '-', '.', '*'>> {};
struct key : peg::seq<key_first, peg::star<key_rest>> {};

struct sign : peg::opt<peg::one<'-'>> {};
struct decimal
    : peg::seq<sign, peg::rep_min_max<1, 12, peg::digit>, peg::one<'.'>, peg::rep_min_max<1, 3, peg::digit>,
               peg::not_at<peg::sor<peg::digit, peg::one<'.'>>>> {};
struct integer
    : peg::seq<sign, peg::rep_min_max<1, 15, peg::digit>, peg::not_at<peg::sor<peg::digit, peg::one<'.'>>>> {
};

struct plain_char : peg::sor<peg::range<' ', '!'>, peg::range<'#', '['>, peg::range<']', '~'>> {};
struct escaped_char : peg::one<'"', '\\'> {};
struct escape : peg::seq<peg::one<'\\'>, escaped_char> {};
struct string : peg::seq<peg::one<'"'>, peg::star<peg::sor<plain_char, escape>>, peg::one<'"'>> {};

struct tchar
    : peg::sor<peg::alnum,
               peg::one<'!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~'>> {};
struct token : peg::seq<peg::sor<peg::alpha, peg::one<'*'>>, peg::star<peg::sor<tchar, peg::one<':', '/'>>>> {
};

struct base64 : peg::star<peg::sor<peg::alnum, peg::one<'+', '/', '='>>> {};
struct bytes : peg::seq<peg::one<':'>, base64, peg::one<':'>> {};
struct boolean_value : peg::one<'0', '1'> {};
struct boolean : peg::seq<peg::one<'?'>, boolean_value> {};

struct bare_item : peg::sor<decimal, integer, string, token, bytes, boolean> {};

struct sp : peg::star<peg::one<' '>> {};
struct ows : peg::star<peg::one<' ', '\t'>> {};
struct parameter_key : key {};
struct parameter_value : bare_item {};
struct parameter : peg::seq<peg::one<';'>, sp, parameter_key, peg::opt<peg::one<'='>, parameter_value>> {};
struct parameters : peg::star<parameter> {};
struct item : peg::seq<bare_item, parameters> {};
struct inner_open : peg::one<'('> {};
struct inner_close : peg::one<')'> {};
struct inner_list : peg::seq<inner_open, sp, peg::opt<peg::list<item, peg::plus<peg::one<' '>>>, sp>,
                             inner_close, parameters> {};
struct member : peg::sor<inner_list, item> {};
struct comma : peg::seq<ows, peg::one<','>, ows> {};
struct list_member : member {};
struct list : peg::list<list_member, comma> {};

struct member_key : key {};
struct member_true : peg::success {};
struct dict_member
    : peg::seq<member_key, peg::sor<peg::seq<peg::one<'='>, member>, peg::seq<member_true, parameters>>> {};
struct dictionary : peg::list<dict_member, comma> {};

template <typename Rule>
struct whole : peg::seq<sp, Rule, sp, peg::eof> {};

// ---- Actions ----

// The result of a parse, and what is collected for the member that is being parsed.
struct ParseState {
    BareItem bare = true;        // the last bare item
    std::string text;            // characters of the current string
    std::string parameter, key;  // name of the current parameter; key of the current member
    std::vector<Item> items;     // of the current member: one, or those of an inner list
    Parameters* parameters = nullptr;
    bool in_inner_list = false;
    InnerList inner_list;
    List list;
    Dictionary dictionary;

    void add_item(BareItem value) {
        items.push_back({std::move(value), {}});
        parameters = &items.back().parameters;
    }
    // If a key occurs more than once, the last value is used (3.1.2).
    void set_parameter(BareItem value) {
        const auto has_same_key = [&](const auto& entry) { return entry.first == parameter; };
        const auto it = std::find_if(parameters->begin(), parameters->end(), has_same_key);
        if (it == parameters->end()) parameters->emplace_back(parameter, std::move(value));
        else it->second = std::move(value);
    }
    Member take_member() {
        Member member = in_inner_list ? Member(std::move(inner_list)) : Member(std::move(items.front()));
        in_inner_list = false;
        items.clear();
        return member;
    }
};

template <typename Rule>
struct action : peg::nothing<Rule> {};

template <>
struct action<integer> {
    template <typename In>
    static void apply(const In& in, ParseState& state) {
        std::int64_t value = 0;
        std::from_chars(in.begin(), in.end(), value);
        state.bare = value;
    }
};
template <>
struct action<decimal> {
    template <typename In>
    static void apply(const In& in, ParseState& state) {
        std::string digits = in.string();
        const std::size_t point = digits.find('.');
        const std::size_t fraction_digits = digits.size() - point - 1;
        digits.erase(point, 1).append(3 - fraction_digits, '0');
        std::int64_t value = 0;
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
        state.bare = Decimal{value};
    }
};
template <>
struct action<plain_char> {
    template <typename In>
    static void apply(const In& in, ParseState& state) {
        state.text.push_back(*in.begin());
    }
};
template <>
struct action<escaped_char> : action<plain_char> {};
template <>
struct action<string> {
    static void apply0(ParseState& state) { state.bare = std::move(state.text), state.text.clear(); }
};
template <>
struct action<token> {
    template <typename In>
    static void apply(const In& in, ParseState& state) {
        state.bare = Token{in.string()};
    }
};
template <>
struct action<boolean_value> {
    template <typename In>
    static void apply(const In& in, ParseState& state) {
        state.bare = *in.begin() == '1';
    }
};
template <>
struct action<base64> {
    template <typename In>
    static bool apply(const In& in, ParseState& state) {
        std::string out;
        unsigned bits = 0;
        int bit_count = 0, padding = 0;
        for (const char c : in.string_view()) {
            if (c == '=') {
                padding += 1;
                continue;
            }
            if (padding) return false;
            bits = (bits << 6 | static_cast<unsigned>(kBase64.find(c))) & 0xffffff;
            bit_count += 6;
            if (bit_count >= 8) bit_count -= 8, out.push_back(static_cast<char>(bits >> bit_count & 0xff));
        }
        if (padding > 2) return false;
        state.bare = Bytes{out};
        return true;
    }
};
template <>
struct action<bare_item> {
    static void apply0(ParseState& state) { state.add_item(state.bare); }
};
template <>
struct action<parameter_key> {
    template <typename In>
    static void apply(const In& in, ParseState& state) {
        state.parameter = in.string();
        state.set_parameter(true);
    }
};
template <>
struct action<parameter_value> {
    static void apply0(ParseState& state) { state.set_parameter(state.bare); }
};
template <>
struct action<inner_open> {
    static void apply0(ParseState& state) { state.in_inner_list = true, state.inner_list = {}; }
};
template <>
struct action<inner_close> {
    static void apply0(ParseState& state) {
        state.inner_list.items = std::move(state.items);
        state.items.clear();
        state.parameters = &state.inner_list.parameters;
    }
};
template <>
struct action<list_member> {
    static void apply0(ParseState& state) { state.list.push_back(state.take_member()); }
};
template <>
struct action<member_key> {
    template <typename In>
    static void apply(const In& in, ParseState& state) {
        state.key = in.string();
    }
};
template <>
struct action<member_true> {
    static void apply0(ParseState& state) { state.add_item(true); }
};
template <>
struct action<dict_member> {
    static void apply0(ParseState& state) {
        Member member = state.take_member();
        const auto has_same_key = [&](const auto& entry) { return entry.first == state.key; };
        const auto it = std::find_if(state.dictionary.begin(), state.dictionary.end(), has_same_key);
        if (it == state.dictionary.end()) state.dictionary.emplace_back(state.key, std::move(member));
        else it->second = std::move(member);
    }
};

// Parses the whole text with the rule, with optional spaces around it (4.2); nothing if it doesn't match.
template <typename Rule>
std::optional<ParseState> parse(std::string_view text) {
    ParseState state;
    peg::memory_input<peg::tracking_mode::lazy> in(text.data(), text.size(), "field");
    if (!peg::parse<whole<Rule>, action>(in, state)) return std::nullopt;
    return state;
}

std::string_view trim(std::string_view s) {
    while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
    while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
    return s;
}

// Splits at each separator outside of quotes and parentheses. An unclosed quote extends to the end of the
// text, because the end of its member can't be determined.
std::vector<std::string_view> split(std::string_view text, char separator) {
    std::vector<std::string_view> out;
    std::size_t begin = 0;
    int depth = 0;
    bool quoted = false;
    for (std::size_t k = 0; k < text.size(); ++k) {
        const char c = text[k];
        if (quoted) {
            if (c == '\\') ++k;
            else if (c == '"') quoted = false;
        } else if (c == '"') {
            quoted = true;
        } else if (c == '(') {
            depth += 1;
        } else if (c == ')') {
            depth -= depth > 0;
        } else if (c == separator && depth == 0) {
            out.push_back(trim(text.substr(begin, k - begin)));
            begin = k + 1;
        }
    }
    out.push_back(trim(text.substr(std::min(begin, text.size()))));
    return out;
}

// Describes why the text is not a valid value.
std::string describe_value_error(std::string_view text) {
    if (text.empty()) return "no value behind '='";
    if (text.front() == '"') {
        for (const char c : text)
            if (static_cast<unsigned char>(c) < 0x20 || static_cast<unsigned char>(c) > 0x7e)
                return "a string with a character that is not printable ASCII";
        return "a string that is not closed or wrongly escaped";
    }
    if ((text.front() >= '0' && text.front() <= '9') || text.front() == '-') return "not a number";
    return "not a value of any type";
}

// Splits "key" or "key=value" at the first '='; the key may be malformed.
std::pair<std::string_view, std::optional<std::string_view>> split_key(std::string_view text) {
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) return {text, std::nullopt};
    return {text.substr(0, equals), text.substr(equals + 1)};
}

// Limits the length of raw text that is reported.
std::string truncate(std::string_view text) {
    constexpr std::size_t max_length = 64;
    return std::string(text.substr(0, max_length));
}

template <typename... Ts>
struct overloaded : Ts... {
    using Ts::operator()...;
};
template <typename... Ts>
overloaded(Ts...) -> overloaded<Ts...>;

std::string encode_base64(const std::string& data) {
    std::string out;
    for (std::size_t k = 0; k < data.size(); k += 3) {
        unsigned bits = 0;
        const std::size_t n = std::min<std::size_t>(3, data.size() - k);
        for (std::size_t j = 0; j < 3; ++j)
            bits = bits << 8 | (j < n ? static_cast<unsigned char>(data[k + j]) : 0u);
        for (std::size_t j = 0; j < 4; ++j) out.push_back(j <= n ? kBase64[bits >> (18 - 6 * j) & 63] : '=');
    }
    return out;
}

std::string serialize_parameters(const Parameters& parameters) {
    std::string out;
    for (const auto& [name, value] : parameters) {
        if (!is_valid_key(name)) throw std::invalid_argument("not a parameter's name: \"" + name + "\"");
        out += ";" + name;
        const bool* flag = std::get_if<bool>(&value);
        if (!flag || !*flag) out += "=" + serialize(value);
    }
    return out;
}
std::string serialize_inner(const InnerList& inner) {
    std::string out = "(";
    for (std::size_t k = 0; k < inner.items.size(); ++k) out += (k ? " " : "") + serialize(inner.items[k]);
    return out + ")" + serialize_parameters(inner.parameters);
}

}  // namespace

bool is_valid_key(std::string_view text) {
    peg::memory_input<peg::tracking_mode::lazy> in(text.data(), text.size(), "key");
    return peg::parse<peg::seq<key, peg::eof>>(in);
}

std::optional<Item> parse_item(std::string_view text) {
    auto parsed = parse<item>(text);
    if (!parsed) return std::nullopt;
    return std::move(parsed->items.front());
}
std::optional<List> parse_list(std::string_view text) {
    if (trim(text).empty()) return List{};
    auto parsed = parse<list>(text);
    if (!parsed) return std::nullopt;
    return std::move(parsed->list);
}
std::optional<Dictionary> parse_dictionary(std::string_view text) {
    if (trim(text).empty()) return Dictionary{};
    auto parsed = parse<dictionary>(text);
    if (!parsed) return std::nullopt;
    return std::move(parsed->dictionary);
}

std::string serialize(const BareItem& value) {
    return std::visit(
        overloaded{
            [](std::int64_t v) {
                if (v < -999999999999999 || v > 999999999999999)
                    throw std::invalid_argument("an integer of more than 15 digits: " + std::to_string(v));
                return std::to_string(v);
            },
            [](const Decimal& v) {
                const std::int64_t magnitude = std::abs(v.thousandths);
                if (magnitude > 999999999999999)
                    throw std::invalid_argument("a decimal of more than 12 digits before the point");
                std::string fraction = std::to_string(1000 + magnitude % 1000).substr(1);
                while (fraction.size() > 1 && fraction.back() == '0') fraction.pop_back();
                return (v.thousandths < 0 ? "-" : "") + std::to_string(magnitude / 1000) + "." + fraction;
            },
            [](const std::string& v) {
                std::string out = "\"";
                for (const char c : v) {
                    const auto byte = static_cast<unsigned char>(c);
                    if (byte < 0x20 || byte > 0x7e)
                        throw std::invalid_argument("a string with a character that is not printable ASCII");
                    if (c == '"' || c == '\\') out.push_back('\\');
                    out.push_back(c);
                }
                return out + "\"";
            },
            [](const Token& v) {
                peg::memory_input<peg::tracking_mode::lazy> in(v.text.data(), v.text.size(), "token");
                if (!peg::parse<peg::seq<token, peg::eof>>(in))
                    throw std::invalid_argument("not a token: \"" + v.text + "\"");
                return v.text;
            },
            [](const Bytes& v) { return ":" + encode_base64(v.data) + ":"; },
            [](bool v) { return std::string(v ? "?1" : "?0"); },
        },
        value);
}
std::string serialize(const Item& value) {
    return serialize(value.value) + serialize_parameters(value.parameters);
}
std::string serialize(const List& value) {
    std::string out;
    for (const Member& m : value) {
        if (!out.empty()) out += ", ";
        const Item* single_item = std::get_if<Item>(&m);
        out += single_item ? serialize(*single_item) : serialize_inner(std::get<InnerList>(m));
    }
    return out;
}
std::string serialize(const Dictionary& value) {
    std::string out;
    for (const auto& [name, m] : value) {
        if (!is_valid_key(name)) throw std::invalid_argument("not a dictionary's key: \"" + name + "\"");
        if (!out.empty()) out += ", ";
        out += name;
        const Item* single_item = std::get_if<Item>(&m);
        const bool* flag = single_item ? std::get_if<bool>(&single_item->value) : nullptr;
        if (flag && *flag) out += serialize_parameters(single_item->parameters);
        else out += "=" + (single_item ? serialize(*single_item) : serialize_inner(std::get<InnerList>(m)));
    }
    return out;
}

std::vector<ParsedMember> parse_dictionary_members(std::string_view text) {
    std::vector<ParsedMember> out;
    if (trim(text).empty()) return out;
    for (const std::string_view piece : split(text, ',')) {
        ParsedMember parsed_member;
        parsed_member.text = truncate(piece);
        const auto [name, value] = split_key(piece);
        parsed_member.key = truncate(name.substr(0, name.find(';')));
        if (piece.empty()) {
            parsed_member.reason = "nothing between two commas";
        } else if (!is_valid_key(parsed_member.key)) {
            parsed_member.reason = "not a key";
        } else if (auto parsed = parse<dict_member>(piece)) {
            parsed_member.member = std::move(parsed->dictionary.front().second);
        } else {
            parsed_member.reason = value ? describe_value_error(*value) : "not a key";
        }
        out.push_back(std::move(parsed_member));
    }
    return out;
}

std::vector<ParsedListItem> parse_list_items(std::string_view text) {
    std::vector<ParsedListItem> out;
    if (trim(text).empty()) return out;
    for (const std::string_view piece : split(text, ',')) {
        ParsedListItem parsed_item;
        parsed_item.text = truncate(piece);
        const auto parts = split(piece, ';');
        if (auto parsed = parse<bare_item>(parts.front())) parsed_item.value = std::move(parsed->bare);
        else
            parsed_item.reason =
                piece.empty() ? "nothing between two commas" : describe_value_error(parts.front());
        for (std::size_t k = 1; k < parts.size(); ++k) {
            ParsedParameter parameter;
            parameter.text = truncate(parts[k]);
            const auto [name, value] = split_key(parts[k]);
            parameter.key = truncate(name);
            if (!is_valid_key(name))
                parameter.reason = parts[k].empty() ? "nothing between two semicolons" : "not a key";
            else if (!value) parameter.value = true;
            else if (auto parsed = parse<bare_item>(*value); parsed && trim(*value) == *value)
                parameter.value = std::move(parsed->bare);
            else parameter.reason = describe_value_error(*value);
            parsed_item.parameters.push_back(std::move(parameter));
        }
        out.push_back(std::move(parsed_item));
    }
    return out;
}

}  // namespace ivyfield::hints
