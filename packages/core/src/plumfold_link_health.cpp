#include "plumfold/core/plumfold_link_health.hpp"

#include <algorithm>

namespace plumfold::core {

std::uint64_t link_health::onSent(const std::string& target, instant now, milliseconds expected)
{
    m_pending[++m_lastAttempt] = { target, now + expected + m_options.silenceTimeout };
    return m_lastAttempt;
}

void link_health::onBytes(instant now)
{
    m_lastBytesAt = now;
    m_failed.clear();
}

std::set<std::string> link_health::silentTargets(instant now) const
{
    std::set<std::string> silent;
    if (now - m_lastBytesAt < m_options.silenceTimeout)
        return silent;
    for (const auto& [number, attempt] : m_pending) {
        if (now >= attempt.silentFrom)
            silent.insert(attempt.target);
    }
    return silent;
}

std::optional<link_change> link_health::update(instant now)
{
    auto silent = silentTargets(now);
    auto failing = silent;
    failing.insert(m_failed.begin(), m_failed.end());
    if (m_isLost) {
        // Only bytes show that the link is back: failed and silent attempts end without them.
        if (!m_failed.empty() || m_lastBytesAt < m_lostAt)
            return std::nullopt;
        m_isLost = false;
        return link_change { false, m_failed.size(), silent.size() };
    }
    auto needed = std::clamp(m_targetCount, m_options.minTargets, m_options.targets);
    if (m_targetCount < m_options.minTargets || failing.size() < needed)
        return std::nullopt;
    m_isLost = true;
    m_lostAt = now;
    m_lastTrialAt = now;
    m_trialInterval = m_options.trialInterval;
    return link_change { true, m_failed.size(), silent.size() };
}

bool link_health::tryTakeTrial(bool isRepeatable, instant now)
{
    auto interval = isRepeatable ? m_trialInterval : m_options.unrepeatableTrialInterval;
    if (!m_isLost || now - m_lastTrialAt < interval)
        return false;
    m_lastTrialAt = now;
    m_trialInterval = std::min(m_trialInterval * 2, m_options.maxTrialInterval);
    return true;
}

} // namespace plumfold::core
