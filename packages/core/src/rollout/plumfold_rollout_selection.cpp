// The part of target_selector that applies rollouts of software versions.

#include "plumfold/core/plumfold_target_selector.hpp"

namespace plumfold::core {

void target_selector::setRollouts(const std::map<std::string, rollout_record>& rollouts, instant now)
{
    m_cohorts.setRollouts(rollouts);
    // Also without any rollout, so that the last one no longer restricts targets.
    for (auto& [name, each] : m_targets)
        each.rollout = {};
    assignCohorts(now);
}

void target_selector::onRolloutsConfirmed(instant at, instant now)
{
    if (!m_cohorts.isActive())
        return;
    auto released = m_cohorts.onPlanConfirmed(at);
    // The part of the next targets that a small share goes to depends on which are warm by now.
    if (!released.empty() || m_cohorts.isRunning())
        assignCohorts(now);
    m_versionHolds.insert(m_versionHolds.end(), released.begin(), released.end());
}

void target_selector::assignCohorts(instant now)
{
    if (!m_cohorts.isActive())
        return;
    std::vector<cohort_member> members;
    members.reserve(m_targets.size());
    for (auto& [name, each] : m_targets)
        members.push_back({ &each.last, now < each.coldUntil, &each.rollout });
    auto changes = m_cohorts.assign(members);
    m_versionHolds.insert(m_versionHolds.end(), changes.begin(), changes.end());
}

rollout_assignment target_selector::rolloutAssignment(const tracked_target& target, instant now) const
{
    return { target.rollout.rollout, cohortOf(target.rollout),
        now >= target.coldUntil && !isCold(target, now) };
}

rollout_standing target_selector::rolloutStanding(const std::string& target) const
{
    auto found = m_targets.find(target);
    return found == m_targets.end() ? rollout_standing {} : found->second.rollout;
}

bool target_selector::mayFallBack(const placement_request& request) const
{
    return m_cohorts.isActive()
        && core::mayFallBack(m_cohorts.standingOf(request.service), cohortRequestOf(request));
}

placement_result target_selector::choose(const placement_request& request, instant now)
{
    auto result = chooseInCohort(request, now);
    if (result.chosen || !mayFallBack(request))
        return result;
    auto other = request;
    other.isCohortFallback = true;
    return chooseInCohort(other, now);
}

bool target_selector::hasWarmTarget(const placement_request& request, instant now) const
{
    if (hasWarmTargetInCohort(request, now))
        return true;
    auto other = request;
    other.isCohortFallback = true;
    return mayFallBack(request) && hasWarmTargetInCohort(other, now);
}

} // namespace plumfold::core
