#include "plumfold/core/plumfold_admission.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace plumfold::core {

namespace {

constexpr double sampleWeight = 0.05;
constexpr double smallestBias = 0.5;
constexpr double largestBias = 4;
/// Predictions below this say nothing about queues.
constexpr double smallestPredictionMs = 30;
/// Part of its latency target that a prompt of each priority may wait behind others; the last holds for all
/// lower.
constexpr std::array<double, 3> waitShares { 1.2, 0.9, 0.6 };
constexpr milliseconds earliestReturn { 1'000 };
constexpr milliseconds latestReturn { 3'000 };

} // namespace

void admission::record(double predictedMs, double waitedMs)
{
    if (predictedMs < smallestPredictionMs)
        return;
    double ratio = std::clamp(waitedMs / predictedMs, smallestBias, largestBias);
    m_bias += (ratio - m_bias) * sampleWeight;
}

std::optional<milliseconds> admission::refusal(
    const route& on, std::uint32_t priority, double predictedMs) const
{
    double share = waitShares[std::min<std::size_t>(priority, waitShares.size() - 1)];
    double limitMs = share * static_cast<double>(on.latencyTarget.count());
    double expectedMs = m_bias * predictedMs;
    if (predictedMs < smallestPredictionMs || expectedMs <= limitMs)
        return std::nullopt;
    auto excess = milliseconds(static_cast<std::int64_t>(std::ceil(expectedMs - limitMs)));
    return std::clamp(excess, earliestReturn, latestReturn);
}

} // namespace plumfold::core
