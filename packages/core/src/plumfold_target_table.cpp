#include "plumfold/core/plumfold_target_table.hpp"

namespace plumfold::core {

target_table::target_table(milliseconds expiry)
    : m_expiry(expiry)
{
}

bool target_table::update(const target_report& report, instant sentAt)
{
    auto [place, isNew] = m_targets.try_emplace(report.name);
    known_target& known = place->second;
    bool sameProcess = known.report.incarnation == report.incarnation;
    if (!isNew && sameProcess && report.sequence <= known.report.sequence)
        return false;
    // A relayed report of an earlier incarnation must not replace that of the present one.
    if (!isNew && !sameProcess && sentAt < known.reportedAt)
        return false;
    if (!sameProcess) {
        known.ownRunning = 0;
        known.avoidUntil = {};
    }
    known.report = report;
    known.reportedAt = sentAt;
    known.startedSinceReport = 0;
    return true;
}

void target_table::expire(instant now)
{
    std::erase_if(m_targets, [&](const auto& each) { return now - each.second.reportedAt > m_expiry; });
}

known_target* target_table::find(const std::string& name)
{
    auto found = m_targets.find(name);
    return found == m_targets.end() ? nullptr : &found->second;
}

const known_target* target_table::find(const std::string& name) const
{
    auto found = m_targets.find(name);
    return found == m_targets.end() ? nullptr : &found->second;
}

} // namespace plumfold::core
