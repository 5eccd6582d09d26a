// Parses and serializes Structured Field Values for HTTP (RFC 8941). The grammar is in structured.cpp, on
// PEGTL.
//
// There are two kinds of parsers: strict ones according to section 4.2, where any error fails the whole
// field, and lenient ones, which split a dictionary or list into its members first, so that a malformed
// member is dropped alone. Hints need the latter: a player's error in one key is no reason to lose the other
// keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace ivyfield::hints {

// A token (RFC 8941, 3.3.4).
struct Token {
    std::string text;
    friend bool operator==(const Token& a, const Token& b) { return a.text == b.text; }
};
// A byte sequence (RFC 8941, 3.3.5), decoded.
struct Bytes {
    std::string data;
    friend bool operator==(const Bytes& a, const Bytes& b) { return a.data == b.data; }
};
// A decimal in thousandths: it has at most three digits after the point (RFC 8941, 3.3.2).
struct Decimal {
    std::int64_t thousandths = 0;
    double value() const { return static_cast<double>(thousandths) / 1000; }
    friend bool operator==(const Decimal& a, const Decimal& b) { return a.thousandths == b.thousandths; }
};
using BareItem = std::variant<std::int64_t, Decimal, std::string, Token, Bytes, bool>;
using Parameters = std::vector<std::pair<std::string, BareItem>>;  // unique keys, in order

// A bare item with its parameters (RFC 8941, 3.3).
struct Item {
    BareItem value = true;
    Parameters parameters;
};
// A list of items in parentheses (RFC 8941, 3.1.1).
struct InnerList {
    std::vector<Item> items;
    Parameters parameters;
};
using Member = std::variant<Item, InnerList>;
using List = std::vector<Member>;
using Dictionary = std::vector<std::pair<std::string, Member>>;  // unique keys, in order

// Strict parsers (4.2): return nothing if the field is malformed.
std::optional<Item> parse_item(std::string_view text);
std::optional<List> parse_list(std::string_view text);
std::optional<Dictionary> parse_dictionary(std::string_view text);

// Serialization (4.1). Throws std::invalid_argument that says which value can't be serialized.
std::string serialize(const BareItem& item);
std::string serialize(const Item& item);
std::string serialize(const List& list);
std::string serialize(const Dictionary& dictionary);

// Lenient parsers. In their results, `text` is the truncated raw text of the member, item or parameter, and
// either the value or `reason` is set.

// A member of a dictionary.
struct ParsedMember {
    std::string key, text;  // the key as far as it can be determined
    std::optional<Member> member;
    std::string reason;
};
std::vector<ParsedMember> parse_dictionary_members(std::string_view text);

// A parameter of a list item.
struct ParsedParameter {
    std::string key, text;
    std::optional<BareItem> value;
    std::string reason;
};
// An item of a list.
struct ParsedListItem {
    std::string text;
    std::optional<BareItem> value;  // the item without its parameters
    std::vector<ParsedParameter> parameters;
    std::string reason;
};
std::vector<ParsedListItem> parse_list_items(std::string_view text);

// key = ( lcalpha / "*" ) *( lcalpha / DIGIT / "_" / "-" / "." / "*" )
bool is_valid_key(std::string_view key);

}  // namespace ivyfield::hints
