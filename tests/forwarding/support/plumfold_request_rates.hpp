#pragma once

#include "plumfold_scripted_target.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

namespace plumfold::tests {

/// @return the largest number of requests that a target received within any span of time.
/// @param since earlier requests are left out.
/// @param until requests from then on are left out.
inline std::size_t maxRequestsWithin(const scripted_target& target, std::chrono::milliseconds span,
    std::chrono::steady_clock::time_point since,
    std::chrono::steady_clock::time_point until = std::chrono::steady_clock::time_point::max())
{
    std::vector<std::chrono::steady_clock::time_point> times;
    for (const auto& each : target.requests()) {
        if (each.receivedAt >= since && each.receivedAt < until)
            times.push_back(each.receivedAt);
    }
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= span)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// @return the largest number of requests that a target received within one second.
/// @param since earlier requests are left out.
inline std::size_t maxRequestsPerSecond(
    const scripted_target& target, std::chrono::steady_clock::time_point since = {})
{
    return maxRequestsWithin(target, std::chrono::seconds(1), since);
}

} // namespace plumfold::tests
