#include "plumfold/core/plumfold_retry_reserve.hpp"

#include "plumfold/core/plumfold_domain_rank.hpp"

#include <algorithm>

namespace plumfold::core {

retry_reserve::retry_reserve(
    std::string failureDomain, std::vector<std::string> allDomains, std::uint64_t size, milliseconds window)
    : m_failureDomain(std::move(failureDomain))
    , m_allDomains(std::move(allDomains))
    , m_size(size)
    , m_window(window)
{
}

void retry_reserve::restart(instant from)
{
    m_grantsFrom = from + m_window;
}

std::uint64_t retry_reserve::partOf(const std::string& service) const
{
    auto domains = std::max<std::uint64_t>(m_allDomains.size(), 1);
    bool hasOneMore = domainRank(m_failureDomain, m_allDomains, service) < m_size % domains;
    return m_size / domains + (hasOneMore ? 1 : 0);
}

bool retry_reserve::tryTake(const std::string& service, instant now)
{
    auto& granted = m_granted[service];
    while (!granted.empty() && now - granted.front() > m_window)
        granted.pop_front();
    if (now < m_grantsFrom || granted.size() >= partOf(service))
        return false;
    granted.push_back(now);
    return true;
}

} // namespace plumfold::core
