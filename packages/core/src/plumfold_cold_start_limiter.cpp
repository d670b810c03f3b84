#include "plumfold/core/plumfold_cold_start_limiter.hpp"

#include "plumfold/core/plumfold_domain_rank.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

constexpr milliseconds rateWindow { 1'000 };
constexpr milliseconds retryWithoutPart { 1'000 };

} // namespace

cold_start_limiter::cold_start_limiter(
    std::string failureDomain, std::vector<std::string> allDomains, milliseconds grantLifetime)
    : m_failureDomain(std::move(failureDomain))
    , m_allDomains(std::move(allDomains))
    , m_grantLifetime(grantLifetime)
{
}

/// @return the span of grants whose requests may be sent within one second.
milliseconds cold_start_limiter::window() const
{
    return rateWindow + m_grantLifetime;
}

void cold_start_limiter::restart(instant from)
{
    m_grantsFrom = from + window();
}

std::size_t cold_start_limiter::domainsWithPart(const cold_start_rate& rate) const
{
    auto whole = static_cast<std::size_t>(std::max(1.0, std::floor(rate.maxPerSecond)));
    return std::clamp<std::size_t>(m_allDomains.size(), 1, whole);
}

bool cold_start_limiter::hasPart(const std::string& target, const cold_start_rate& rate) const
{
    return domainRank(m_failureDomain, m_allDomains, target) < domainsWithPart(rate);
}

/// @return the minimum time between two grants of this failure domain for one target.
milliseconds cold_start_limiter::interval(const cold_start_rate& rate) const
{
    auto domains = static_cast<double>(domainsWithPart(rate));
    double average = 1000 * domains / rate.perSecond;
    double perWindow = std::max(1.0, std::floor(rate.maxPerSecond / domains));
    double bounded = static_cast<double>(window().count()) / perWindow;
    return milliseconds(static_cast<std::int64_t>(std::max(average, bounded)) + 1);
}

grant_decision cold_start_limiter::tryStart(
    const std::string& target, const cold_start_rate& rate, instant now)
{
    if (rate.perSecond <= 0 || !hasPart(target, rate))
        return { false, retryWithoutPart };
    auto allowedAt = m_grantsFrom;
    if (auto last = m_lastGrant.find(target); last != m_lastGrant.end())
        allowedAt = std::max(allowedAt, last->second + interval(rate));
    if (now < allowedAt)
        return { false, std::chrono::ceil<milliseconds>(allowedAt - now) };
    m_lastGrant[target] = now;
    return { true, milliseconds(0) };
}

void cold_start_limiter::removeIdle(instant now, milliseconds maxAge)
{
    std::erase_if(m_lastGrant, [&](const auto& each) { return now - each.second > maxAge; });
}

} // namespace plumfold::core
