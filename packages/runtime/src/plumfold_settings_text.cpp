#include "plumfold_settings_text.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace plumfold::runtime {

namespace {

constexpr std::size_t maxLineLength = 200;

/// Milliseconds by unit. A unit that ends with another one comes first.
constexpr std::array<std::pair<const char*, double>, 3> units { { { "ms", 1 }, { "min", 60'000 },
    { "s", 1'000 } } };

} // namespace

std::optional<double> parseDuration(absl::string_view text)
{
    for (const auto& [unit, factor] : units) {
        absl::string_view number = text;
        if (!absl::ConsumeSuffix(&number, unit))
            continue;
        double value = 0;
        if (!absl::SimpleAtod(absl::StripTrailingAsciiWhitespace(number), &value))
            return std::nullopt;
        value *= factor;
        return std::isfinite(value) ? std::make_optional(value) : std::nullopt;
    }
    return std::nullopt;
}

std::string lineBefore(absl::string_view text, std::size_t byte)
{
    auto before = text.substr(0, std::max<std::size_t>(std::min(byte, text.size()), 1) - 1);
    before = absl::StripTrailingAsciiWhitespace(before);
    auto lineBreak = before.rfind('\n');
    auto begin = lineBreak == absl::string_view::npos ? 0 : lineBreak + 1;
    auto line = text.substr(begin, maxLineLength);
    line = line.substr(0, line.find('\n'));
    auto number = std::count(before.begin(), before.end(), '\n') + 1;
    return absl::StrCat("line ", number, " (", absl::StripAsciiWhitespace(line), ")");
}

} // namespace plumfold::runtime
