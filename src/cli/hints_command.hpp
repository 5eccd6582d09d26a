// `ivyfield hints`: converts CMCD and CMSD payloads to JSON and back, one per line.
#pragma once

#include <iosfwd>
#include <string>

namespace ivyfield::cli {

// Both take as `kind` "cmcd", "cmsd-static" or "cmsd-dynamic", throw std::invalid_argument on any other, and
// return the exit code.

// Reads payloads and writes one JSON object per line, with the keys that were dropped and why. Returns 0.
int decode_hints(const std::string& kind, std::istream& in, std::ostream& out);
// Reads JSON objects as decode_hints writes them and writes one payload per line. Keys that can't be sent are
// left out and reported to `errors`; the exit code is 1 then.
int encode_hints(const std::string& kind, std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace ivyfield::cli
