// Parser for the settings of a director in the format of the operators' platform: one path=value pair a line.
// Used both for the benchmark's protocol and for the real director. Unknown keys are ignored.
#pragma once

#include <stdexcept>
#include <string_view>

#include "ivyfield/director.hpp"

namespace ivyfield::settings {

// A line without '=' or a value of the wrong form; what() names the line or the key.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Parses the lines; an absent key leaves the default, mostly "no such limit". Throws SettingsError.
Settings parse(std::string_view lines);

}  // namespace ivyfield::settings
