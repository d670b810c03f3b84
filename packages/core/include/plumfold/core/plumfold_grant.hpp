#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <compare>

namespace plumfold::core {

/// How long after it was requested a granted start may be used.
constexpr milliseconds startGrantLifetime { 300 };

/// Whether a shared limit allows what was asked for.
struct grant_decision {
    bool isGranted = false;
    milliseconds retryAfter { 0 }; ///< If refused, time until it may be granted; 0 if not known.
    auto operator<=>(const grant_decision&) const = default;
};

} // namespace plumfold::core
