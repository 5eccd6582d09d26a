// CMCD (CTA-5004) and CMSD (CTA-5006): the reserved keys with their types, decoded from payloads and encoded
// to them. A malformed key is dropped alone and reported in `dropped`; it never invalidates the payload.
//
// Rounding follows CTA-5004: bl, dl, mtp and rtp are rounded to hundreds when encoding; decoded values are
// left as they were sent. When encoding, `v` and `pr` are omitted if they are 1, flags if they are false.
// Custom keys contain a hyphen.
#pragma once

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hints/structured.hpp"

namespace ivyfield::hints {

// The set of keys that a payload uses.
enum class Vocabulary { cmcd, cmsd_static, cmsd_dynamic };

// Where CMCD keys are sent: in four headers, by how often the keys change (CTA-5004, 2.1), or in the query.
enum class Carrier { request, object, status, session, query };
const char* header_name(Carrier carrier);  // "CMCD-Request"; the query argument's name is "CMCD"

// A key that was not decoded; its name may be empty or the raw text.
struct DroppedKey {
    std::string key, reason;
};

// Keys with their values.
class Keys {
  public:
    std::map<std::string, BareItem> values;  // by the key's name

    bool has(const std::string& key) const { return values.count(key) != 0; }
    std::optional<std::int64_t> integer(const std::string& key) const;
    std::optional<std::string> text(const std::string& key) const;  // strings and tokens
    bool flag(const std::string& key) const;                        // false if absent
};

// The result of decoding a payload.
struct DecodedKeys {
    Keys keys;
    std::vector<DroppedKey> dropped;
};

// A payload longer than this is dropped as a whole; so are the keys beyond the maximum number.
constexpr std::size_t kMaxPayloadBytes = 8192, kMaxKeys = 64, kMaxStringLength = 1024;
constexpr std::size_t kMaxIdLength = 64;  // of sid and cid (CTA-5004)

// Decodes a payload of CMCD or CMSD-Static: key=value, separated by commas; already percent-decoded.
DecodedKeys decode_keys(Vocabulary vocabulary, std::string_view payload);
// Encodes the keys in the order of their names. Throws std::invalid_argument that names the invalid key.
std::string encode_keys(Vocabulary vocabulary, const Keys& keys);
// Returns why this key and value can't be sent, or an empty string if they can.
std::string check_key(Vocabulary vocabulary, const std::string& key, const BareItem& value);

// The CMCD payloads of a request. A key with different values in two of them is contradictory and dropped; a
// key in a header other than its own is accepted.
struct CmcdSources {
    std::array<std::string, 5> payload;  // by Carrier; the query's argument percent-decoded
};
DecodedKeys decode_cmcd(const CmcdSources& sources);
// The header that a CMCD key belongs to (CTA-5004, table 1); custom keys go into CMCD-Session.
Carrier carrier_of(const std::string& key);
// The values of the four headers for these keys, by Carrier; empty if a header has no keys.
std::array<std::string, 4> encode_cmcd_headers(const Keys& keys);

// CMSD-Dynamic: one entry for each server on the path, the one nearest to the player last (CTA-5006).
struct CmsdEntry {
    std::string name;
    Keys keys;
};
// The result of decoding a CMSD-Dynamic payload.
struct DecodedCmsdEntries {
    std::vector<CmsdEntry> entries;
    std::vector<DroppedKey> dropped;
};
DecodedCmsdEntries decode_cmsd_dynamic(std::string_view payload);
std::string encode_cmsd_dynamic(const std::vector<CmsdEntry>& entries);
// Appends our entry to those of earlier hops, which are kept byte for byte even if they can't be decoded.
std::string append_cmsd_dynamic(std::string_view earlier, const CmsdEntry& ours);

}  // namespace ivyfield::hints
