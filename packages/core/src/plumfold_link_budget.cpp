#include "plumfold/core/plumfold_link_budget.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

constexpr std::uint64_t microsecondsPerSecond = 1'000'000;
constexpr milliseconds maxBacklogForBackground { 50 };

} // namespace

link_budget::link_budget(std::uint64_t bytesPerSecond)
    : m_bytesPerSecond(std::max<std::uint64_t>(1, bytesPerSecond))
{
}

milliseconds link_budget::estimate(std::uint64_t bytes, instant now) const
{
    auto waiting = std::max(m_busyUntil, now) - now;
    microseconds transfer(bytes * microsecondsPerSecond / m_bytesPerSecond);
    return std::chrono::ceil<milliseconds>(waiting + transfer);
}

void link_budget::reserve(std::uint64_t bytes, instant now)
{
    m_busyUntil = std::max(m_busyUntil, now) + microseconds(bytes * microsecondsPerSecond / m_bytesPerSecond);
    m_bytesReserved += bytes;
}

bool link_budget::allowsBackground(instant now) const
{
    return m_busyUntil - now <= maxBacklogForBackground;
}

} // namespace plumfold::core
