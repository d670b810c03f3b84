#include "plumfold/core/plumfold_windowed_retry_budget.hpp"

namespace plumfold::core {

void windowed_retry_budget::expire(service_window& window, instant now) const
{
    while (!window.requests.empty() && now - window.requests.front() > m_window)
        window.requests.pop_front();
    while (!window.retries.empty() && now - window.retries.front() > m_window)
        window.retries.pop_front();
}

void windowed_retry_budget::onRequest(const std::string& service, instant now)
{
    auto& window = m_services[service];
    expire(window, now);
    window.requests.push_back(now);
}

bool windowed_retry_budget::tryTake(const std::string& service, instant now)
{
    auto& window = m_services[service];
    expire(window, now);
    double allowed = m_share * static_cast<double>(window.requests.size());
    if (static_cast<double>(window.retries.size()) + 1 > allowed)
        return false;
    window.retries.push_back(now);
    return true;
}

} // namespace plumfold::core
