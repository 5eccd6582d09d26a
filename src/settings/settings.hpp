// The settings of a director as the operators' platform words them: path=value lines to Settings. The one
// parser for the bench's wire and for the real director. Unknown keys are ignored.
#pragma once

#include <stdexcept>
#include <string_view>

#include "ivyfield/director.hpp"

namespace ivyfield::settings {

struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Throws SettingsError that names the setting.
Settings parse(std::string_view lines);

}  // namespace ivyfield::settings
