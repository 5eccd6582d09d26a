// Structured Field Values for HTTP (RFC 8941): parse and serialize. The grammar is in structured.cpp, on
// PEGTL.
//
// Two ways in: the strict ones, by the letter of section 4.2 (any fault fails the whole field), and the ones
// that split a dictionary or list into its members first, so that one malformed member is dropped alone. The
// latter are what hints need: a player's slip in one key is no reason to lose the others.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace ivyfield::hints {

struct Token {
    std::string text;
    friend bool operator==(const Token& a, const Token& b) { return a.text == b.text; }
};
struct Bytes {
    std::string data;
    friend bool operator==(const Bytes& a, const Bytes& b) { return a.data == b.data; }
};
// In thousandths: three digits at most stand behind the point (RFC 8941, 3.3.2).
struct Decimal {
    std::int64_t thousandths = 0;
    double value() const { return static_cast<double>(thousandths) / 1000; }
    friend bool operator==(const Decimal& a, const Decimal& b) { return a.thousandths == b.thousandths; }
};
using BareItem = std::variant<std::int64_t, Decimal, std::string, Token, Bytes, bool>;
using Parameters = std::vector<std::pair<std::string, BareItem>>;  // unique keys, in order

struct Item {
    BareItem value = true;
    Parameters parameters;
};
struct InnerList {
    std::vector<Item> items;
    Parameters parameters;
};
using Member = std::variant<Item, InnerList>;
using List = std::vector<Member>;
using Dictionary = std::vector<std::pair<std::string, Member>>;  // unique keys, in order

// Strict (4.2): nothing when the field fails to parse.
std::optional<Item> parse_item(std::string_view text);
std::optional<List> parse_list(std::string_view text);
std::optional<Dictionary> parse_dictionary(std::string_view text);

// Serialization (4.1). Throws std::invalid_argument that says which value can't be written.
std::string serialize(const BareItem& item);
std::string serialize(const Item& item);
std::string serialize(const List& list);
std::string serialize(const Dictionary& dictionary);

// Member by member. `text` is the member as it stood; one of `member` and `why` is set.
struct ParsedMember {
    std::string key, text;  // the key as far as it can be told
    std::optional<Member> member;
    std::string reason;
};
std::vector<ParsedMember> parse_dictionary_members(std::string_view text);

struct ParsedParameter {
    std::string key, text;
    std::optional<BareItem> value;
    std::string reason;
};
struct ParsedListItem {
    std::string text;
    std::optional<BareItem> value;  // the item without its parameters
    std::vector<ParsedParameter> parameters;
    std::string reason;
};
std::vector<ParsedListItem> parse_list_items(std::string_view text);

bool valid_key(std::string_view key);  // key = ( lcalpha / "*" ) *( lcalpha / DIGIT / "_" / "-" / "." / "*" )

}  // namespace ivyfield::hints
