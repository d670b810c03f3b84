#include "plumfold/core/rollout/plumfold_rollout_report.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace plumfold::core {

std::size_t rolloutLatencyClass(milliseconds latency)
{
    constexpr double classesPerDoubling = 2;
    auto ms = std::max<double>(static_cast<double>(latency.count()), 0);
    auto number = static_cast<std::size_t>(std::ceil(classesPerDoubling * std::log2(ms + 1)));
    return std::min(number, rolloutLatencyClasses - 1);
}

rollout_counts& rollout_counts::operator+=(const rollout_counts& other)
{
    failures += other.failures;
    for (std::size_t index = 0; index < latencies.size(); ++index)
        latencies[index] += other.latencies[index];
    return *this;
}

std::uint64_t rollout_counts::answers() const
{
    return std::accumulate(latencies.begin(), latencies.end(), failures);
}

} // namespace plumfold::core
