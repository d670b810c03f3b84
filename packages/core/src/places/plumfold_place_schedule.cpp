#include "plumfold_place_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

constexpr double meanSeconds = 2;
/// A shorter time, or fewer places, gives a rate by chance, which would refuse requests in short peaks.
constexpr double minSeconds = 0.2;
constexpr double minFreed = 5;
constexpr milliseconds minRetryAfter { 250 };
constexpr milliseconds maxRetryAfter { 5'000 };
constexpr double assumedPerSecond = 100; // until the rate is known

std::chrono::steady_clock::duration durationOf(double seconds)
{
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

void place_rate::advance(bool isWaiting, instant now)
{
    if (isWaiting && m_advancedAt && now > *m_advancedAt) {
        double elapsed = std::chrono::duration<double>(now - *m_advancedAt).count();
        double kept = std::exp(-elapsed / meanSeconds);
        m_freed *= kept;
        m_seconds = m_seconds * kept + meanSeconds * (1 - kept);
    }
    m_advancedAt = now;
}

std::optional<double> place_rate::perSecond() const
{
    if (m_seconds < minSeconds || m_freed < minFreed)
        return std::nullopt;
    return m_freed / m_seconds;
}

void retry_schedule::take(std::uint8_t level, instant at, std::optional<double> perSecond, instant now)
{
    auto step = durationOf(1 / perSecond.value_or(assumedPerSecond));
    m_next.try_emplace(level, at);
    // Less urgent requests get later times than those that are taken by more urgent ones.
    for (auto& [priority, next] : m_next) {
        if (priority >= level)
            next = std::min(std::max(next, at) + step, now + maxRetryAfter);
    }
}

void retry_schedule::onGrant(std::uint8_t level, std::optional<double> perSecond, instant now)
{
    if (perSecond)
        take(level, now, perSecond, now);
}

milliseconds retry_schedule::next(
    std::uint8_t level, double waitBefore, std::optional<double> perSecond, instant now)
{
    auto at = now + std::max<instant::duration>(durationOf(std::min(waitBefore, 5.0)), minRetryAfter);
    for (const auto& [priority, next] : m_next) {
        if (priority <= level)
            at = std::max(at, next);
    }
    at = std::min(at, now + maxRetryAfter);
    take(level, at, perSecond, now);
    return std::clamp(std::chrono::ceil<milliseconds>(at - now), minRetryAfter, maxRetryAfter);
}

} // namespace plumfold::core
