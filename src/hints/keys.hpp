// CMCD (CTA-5004) and CMSD (CTA-5006): the reserved keys with their types, decoded from payloads and encoded
// to them. What a peer sends wrongly is dropped key by key and told in `dropped`; it never fails the whole.
//
// Rounding follows CTA-5004: bl, dl, mtp and rtp to hundreds, when encoding; what is decoded is left as sent.
// `v` is left out when it is 1, `pr` when it is 1, flags when they are false. Custom keys carry a hyphen.
#pragma once

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hints/structured.hpp"

namespace ivyfield::hints {

enum class Vocabulary { cmcd, cmsd_static, cmsd_dynamic };

// The headers that carry CMCD, by how often their keys change (CTA-5004, 2.1).
enum class Carrier { request, object, status, session, query };
const char* header_name(Carrier carrier);  // "CMCD-Request"; the query argument's name is "CMCD"

struct DroppedKey {
    std::string key, reason;
};

class Keys {
  public:
    std::map<std::string, BareItem> values;  // by name, as they are sent

    bool has(const std::string& key) const { return values.count(key) != 0; }
    std::optional<std::int64_t> integer(const std::string& key) const;
    std::optional<std::string> text(const std::string& key) const;  // strings and tokens
    bool flag(const std::string& key) const;                        // false when absent
};

struct DecodedKeys {
    Keys keys;
    std::vector<DroppedKey> dropped;
};

// Longest payload that is looked at, and most keys of it: what is beyond is dropped as a whole.
constexpr std::size_t kMaxPayloadBytes = 8192, kMaxKeys = 64, kMaxStringLength = 1024;
constexpr std::size_t kMaxIdLength = 64;  // of sid and cid (CTA-5004)

// A payload of CMCD or CMSD-Static: key=value, joined by commas; already percent-decoded.
DecodedKeys decode_keys(Vocabulary vocabulary, std::string_view payload);
// In the order of the keys' names. Throws std::invalid_argument that names the key that can't be sent.
std::string encode_keys(Vocabulary vocabulary, const Keys& keys);
// Whether the key may be sent so; empty: yes, else why not.
std::string check_key(Vocabulary vocabulary, const std::string& key, const BareItem& value);

// A whole request's CMCD, wherever it stands. A key that stands in two places with two values is
// contradictory and dropped; one in a header that is not its own is taken all the same.
struct CmcdSources {
    std::array<std::string, 5> payload;  // by Carrier; the query's argument percent-decoded
};
DecodedKeys decode_cmcd(const CmcdSources& sources);
// Which header a CMCD key belongs into (CTA-5004, table 1); custom keys go with the session.
Carrier carrier_of(const std::string& key);
// The four headers' values for these keys, by Carrier; empty where there is nothing to send.
std::array<std::string, 4> encode_cmcd_headers(const Keys& keys);

// CMSD-Dynamic: one entry for each server on the way, the nearest to the player last (CTA-5006).
struct CmsdEntry {
    std::string name;
    Keys keys;
};
struct DecodedCmsdEntries {
    std::vector<CmsdEntry> entries;
    std::vector<DroppedKey> dropped;
};
DecodedCmsdEntries decode_cmsd_dynamic(std::string_view payload);
std::string encode_cmsd_dynamic(const std::vector<CmsdEntry>& entries);
// Appends our entry to what earlier hops sent, which is kept to the byte even where we can't read it.
std::string append_cmsd_dynamic(std::string_view earlier, const CmsdEntry& ours);

}  // namespace ivyfield::hints
