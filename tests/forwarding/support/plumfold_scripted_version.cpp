#include "plumfold_scripted_version.hpp"

#include "plumfold_scripted_exchange.hpp"

#include <functional>
#include <thread>

namespace plumfold::tests {

scripted_version_run::scripted_version_run(scripted_version version, const std::string& seed)
    : m_version(std::move(version))
    , m_random(static_cast<std::mt19937::result_type>(std::hash<std::string>()(seed)))
{
}

bool scripted_version_run::hasFault(const std::string& path, time_point now)
{
    bool isOverloaded
        = m_version.goodUpToRate <= 0 || static_cast<double>(m_recent.size()) > m_version.goodUpToRate;
    return now >= m_startedAt + m_version.goodFor && isOverloaded && path.starts_with(m_version.badPath);
}

scripted_response_plan scripted_version_run::plan(const std::string& path)
{
    auto now = std::chrono::steady_clock::now();
    std::lock_guard lock(m_mutex);
    m_recent.push_back(now);
    while (m_recent.front() <= now - std::chrono::seconds(1))
        m_recent.pop_front();
    scripted_response_plan plan { m_version.workTime, false, false };
    if (!hasFault(path, now))
        return plan;
    plan.fails = std::bernoulli_distribution(m_version.failurePortion)(m_random);
    bool isSlow = m_version.slowdown > 1;
    if (isSlow)
        plan.workTime = std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(plan.workTime.count()) * m_version.slowdown));
    plan.isBad = plan.fails || isSlow;
    return plan;
}

void scripted_version_run::onBadResponse()
{
    std::lock_guard lock(m_mutex);
    m_badResponses.push_back(std::chrono::steady_clock::now());
}

std::vector<scripted_version_run::time_point> scripted_version_run::badResponses() const
{
    std::lock_guard lock(m_mutex);
    return m_badResponses;
}

void scripted_target::serveAsVersion(exchange& current)
{
    auto plan = m_versionBehaviour->plan(current.request.path);
    std::this_thread::sleep_for(plan.workTime);
    if (plan.isBad)
        m_versionBehaviour->onBadResponse();
    auto signature = "Response-Signature: " + m_name + "\r\n";
    if (plan.fails)
        current.sendResponse("500 Internal Server Error", signature, "failed");
    else
        current.sendResponse("200 OK", signature, "served by " + m_version);
}

} // namespace plumfold::tests
