#include "plumfold/core/plumfold_crash_registry.hpp"

#include <algorithm>

namespace plumfold::core {

void crash_registry::addReport(const crash_report& report, instant now)
{
    auto [place, isNew] = m_crashes.try_emplace({ report.target, report.startedAt });
    auto& known = place->second;
    if (isNew) {
        known.target = report.target;
        known.service = report.service;
        known.reportedAt = now;
        known.endedAt = now - report.age;
    }
    for (const auto& victim : report.victims) {
        if (known.victims.size() < m_options.maxVictims)
            known.victims.insert(victim);
    }
    if (m_crashes.size() <= m_options.maxCrashes)
        return;
    m_crashes.erase(
        std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto& left, const auto& right) {
            return left.second.reportedAt < right.second.reportedAt;
        }));
}

void crash_registry::addSuccess(std::uint64_t fingerprint, instant at)
{
    auto& latest = m_successes[fingerprint];
    latest = std::max(latest, at);
}

bool crash_registry::isCandidate(const crash& crash, std::uint64_t fingerprint) const
{
    auto success = m_successes.find(fingerprint);
    return success == m_successes.end() || success->second + m_options.maxSuccessAge < crash.endedAt;
}

bool crash_registry::isExplained(const crash& crash) const
{
    return std::any_of(crash.victims.begin(), crash.victims.end(),
        [&](const auto& victim) { return m_condemned.contains(victim.fingerprint); });
}

crash_registry::candidate_map crash_registry::candidates(instant reportedUntil) const
{
    candidate_map all;
    for (const auto& [key, crash] : m_crashes) {
        if (crash.reportedAt > reportedUntil || isExplained(crash))
            continue;
        for (const auto& victim : crash.victims) {
            if (isCandidate(crash, victim.fingerprint))
                all[victim.fingerprint].push_back(&crash);
        }
    }
    return all;
}

/// @return whether no other candidate explains any of the crashes of one as well as it does.
bool crash_registry::standsOut(const candidate_map& all, candidate_map::const_iterator one) const
{
    for (const auto* crash : one->second) {
        for (const auto& victim : crash->victims) {
            auto other = all.find(victim.fingerprint);
            if (other == all.end() || other == one)
                continue;
            bool isInvolved
                = std::find(other->second.begin(), other->second.end(), crash) != other->second.end();
            if (isInvolved && other->second.size() >= one->second.size())
                return false;
        }
    }
    return true;
}

/// @return the number of unexplained crashes of the same service, at the time of those of a candidate, that
/// it was not involved in.
std::size_t crash_registry::backgroundCrashes(candidate_map::const_iterator one) const
{
    const auto& own = one->second;
    auto [first, last] = std::minmax_element(own.begin(), own.end(),
        [](const auto* left, const auto* right) { return left->endedAt < right->endedAt; });
    auto from = (*first)->endedAt - m_options.backgroundTime;
    auto until = (*last)->endedAt + m_options.backgroundTime;
    return static_cast<std::size_t>(std::count_if(m_crashes.begin(), m_crashes.end(), [&](const auto& each) {
        const auto& crash = each.second;
        return crash.service == own.front()->service && crash.endedAt >= from && crash.endedAt <= until
            && !isExplained(crash) && std::find(own.begin(), own.end(), &crash) == own.end();
    }));
}

/// @return whether a candidate was involved in enough crashes, in view of those that end targets without it.
bool crash_registry::isSufficient(candidate_map::const_iterator one) const
{
    auto crashes = one->second.size();
    if (crashes < m_options.crashesToCondemn || crashes >= m_options.crashesToCondemnAlways)
        return crashes >= m_options.crashesToCondemnAlways;
    auto background = backgroundCrashes(one);
    return background == 0 || (crashes >= m_options.crashesToCondemnAmongOthers && 2 * crashes > background);
}

std::vector<crash_finding> crash_registry::condemn(instant now)
{
    std::vector<crash_finding> condemned;
    bool isChanged = true;
    while (isChanged) {
        isChanged = false;
        auto all = candidates(now - m_options.settleTime);
        for (auto one = all.begin(); one != all.end(); ++one) {
            if (!standsOut(all, one) || !isSufficient(one))
                continue;
            auto crashes = one->second.size();
            condemned.push_back({ one->first, static_cast<std::uint32_t>(crashes), {} });
            for (const auto* crash : one->second)
                condemned.back().targets.push_back(crash->target);
            m_condemned.insert(one->first);
            isChanged = true;
            break;
        }
    }
    return condemned;
}

void crash_registry::withdraw(std::uint64_t fingerprint)
{
    m_condemned.erase(fingerprint);
    std::erase_if(m_crashes,
        [&](const auto& each) { return each.second.victims.contains(crash_victim { fingerprint }); });
}

std::vector<crash_suspect> crash_registry::suspects(instant now) const
{
    std::vector<crash_suspect> all;
    for (const auto& [fingerprint, crashes] : candidates(now))
        all.push_back({ fingerprint, static_cast<std::uint32_t>(crashes.size()) });
    std::stable_sort(all.begin(), all.end(),
        [](const auto& left, const auto& right) { return left.crashes > right.crashes; });
    if (all.size() > m_options.maxSuspects)
        all.resize(m_options.maxSuspects);
    return all;
}

void crash_registry::expire(instant now)
{
    std::erase_if(
        m_crashes, [&](const auto& each) { return now - each.second.reportedAt > m_options.maxCrashAge; });
    std::erase_if(m_successes, [&](const auto& each) { return now - each.second > m_options.maxCrashAge; });
}

} // namespace plumfold::core
