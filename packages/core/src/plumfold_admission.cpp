#include "plumfold/core/plumfold_admission.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace plumfold::core {

namespace {

constexpr double sampleWeight = 0.05;
constexpr double minBias = 0.5;
constexpr double maxBias = 4;
/// Shorter predicted waits do not indicate a queue.
constexpr double minPredictedMs = 30;
/// Share of its latency target that a prompt may wait for others, by priority; the last applies to all lower
/// priorities.
constexpr std::array<double, 3> maxWaitShares { 1.2, 0.9, 0.6 };
constexpr milliseconds minRetryAfter { 1'000 };
constexpr milliseconds maxRetryAfter { 3'000 };

} // namespace

void admission::record(double predictedMs, double waitedMs)
{
    if (predictedMs < minPredictedMs)
        return;
    double ratio = std::clamp(waitedMs / predictedMs, minBias, maxBias);
    m_bias += (ratio - m_bias) * sampleWeight;
}

double admission::maxWaitShare(std::uint32_t priority)
{
    return maxWaitShares[std::min<std::size_t>(priority, maxWaitShares.size() - 1)];
}

std::optional<milliseconds> admission::rejection(
    const route& on, std::uint32_t priority, double predictedMs) const
{
    double limitMs = maxWaitShare(priority) * static_cast<double>(on.latencyTarget.count());
    double expectedMs = m_bias * predictedMs;
    if (predictedMs < minPredictedMs || expectedMs <= limitMs)
        return std::nullopt;
    auto excess = milliseconds(static_cast<std::int64_t>(std::ceil(expectedMs - limitMs)));
    return std::clamp(excess, minRetryAfter, maxRetryAfter);
}

} // namespace plumfold::core
