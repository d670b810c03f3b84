#pragma once

#include <absl/strings/string_view.h>

#include <cstddef>
#include <optional>
#include <string>

namespace plumfold::runtime {

/// @param text a number with the unit ms, s or min, such as "2.5 s".
/// @return the duration in milliseconds, which may have a fraction, or nothing if the text is none.
std::optional<double> parseDuration(absl::string_view text);

/// @param byte position after the first character that cannot be read, counted from 1.
/// @return number and text of the line that ends before that character; blank lines are left out.
std::string lineBefore(absl::string_view text, std::size_t byte);

} // namespace plumfold::runtime
