// `ivyfield hints`: payloads to JSON and back, a line each.
#pragma once

#include <iosfwd>
#include <string>

namespace ivyfield::cli {

// kind: "cmcd", "cmsd-static" or "cmsd-dynamic". Return the exit code.
int decode_hints(const std::string& kind, std::istream& in, std::ostream& out);
int encode_hints(const std::string& kind, std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace ivyfield::cli
