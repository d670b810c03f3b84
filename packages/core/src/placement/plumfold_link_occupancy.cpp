#include "plumfold/core/placement/plumfold_link_occupancy.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

/// Time constant of the memory of transfers. Bursts last a few seconds.
constexpr double memoryMs = 1'000;
/// Transfers that the mean of the group counts for against those of a single link: links' shares differ by
/// about a half.
constexpr double priorTransfers = 4;
/// Limits the expected wait on a link that is planned to be full.
constexpr double maxUtilisation = 0.99;
/// Links without transfers for this long are forgotten.
constexpr milliseconds forgetTime { 10'000 };
/// Share by which the used number of entries may change per second.
constexpr double maxCountChangePerSecond = 0.05;

double msBetween(instant from, instant to)
{
    return std::max(0.0, std::chrono::duration<double, std::milli>(to - from).count());
}

} // namespace

void entry_count_filter::update(double count, instant now)
{
    if (!std::isfinite(count) || count < 1)
        return;
    if (!m_isKnown) {
        m_isKnown = true;
        m_updatedAt = now;
        m_rampEndsAt = now + rampTime;
        return;
    }
    // A report counts for the time since the one before it, at most for the rest of the ramp.
    double rampMs = msBetween(m_updatedAt, m_rampEndsAt);
    double passedMs = msBetween(m_updatedAt, now);
    if (rampMs > 0) {
        m_count *= std::pow(count / m_count, std::min(passedMs / rampMs, 1.0));
        passedMs = std::max(0.0, passedMs - rampMs);
    }
    double factor = std::exp(maxCountChangePerSecond * passedMs / 1'000);
    m_count = std::clamp(count, std::max(1.0, m_count / factor), m_count * factor);
    m_updatedAt = std::max(m_updatedAt, now);
}

link_occupancy::decaying_work link_occupancy::decaying_work::decayed(instant now) const
{
    double factor = std::exp(-msBetween(at, now) / memoryMs);
    return { count * factor, holdMs * factor, squaredHoldMs * factor, std::max(now, at) };
}

void link_occupancy::decaying_work::add(double ms, instant now)
{
    *this = decayed(now);
    count += 1;
    holdMs += ms;
    squaredHoldMs += ms * ms;
}

void link_occupancy::record(const std::string& link, double holdMs, instant now)
{
    if (!std::isfinite(holdMs) || holdMs <= 0)
        return;
    if (now >= m_nextCleanup) {
        std::erase_if(m_links, [&](const auto& each) { return now - each.second.at > forgetTime; });
        m_nextCleanup = now + forgetTime;
    }
    m_total.add(holdMs, now);
    m_links[link].add(holdMs, now);
}

bool link_occupancy::isUnused(instant now) const
{
    return m_total.count <= 0 || now - m_total.at > forgetTime;
}

double link_occupancy::utilisation(
    const std::string& link, double entries, std::size_t links, instant now) const
{
    auto total = m_total.decayed(now);
    if (total.count <= 0)
        return 0;
    double meanWork = total.holdMs / static_cast<double>(std::max<std::size_t>(links, 1));
    double prior = priorTransfers * total.holdMs / total.count;
    auto found = m_links.find(link);
    double own = found == m_links.end() ? 0 : found->second.decayed(now).holdMs;
    return entries * meanWork / memoryMs * (prior + own) / (prior + meanWork);
}

double link_occupancy::waitMs(const std::string& link, double entries, std::size_t links, instant now) const
{
    auto total = m_total.decayed(now);
    if (total.holdMs <= 0)
        return 0;
    // Mean wait in a queue with one server and random arrivals (Pollaczek and Khinchine).
    double remainingMs = total.squaredHoldMs / (2 * total.holdMs);
    double busy = std::min(utilisation(link, entries, links, now), maxUtilisation);
    return std::min(remainingMs * busy / (1 - busy), maxWaitMs);
}

} // namespace plumfold::core
