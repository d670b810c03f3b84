// The part of target_selector that applies rollouts of software versions.

#include "plumfold/core/plumfold_target_selector.hpp"

#include <algorithm>

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
    bool isRunning = m_cohorts.isRunning();
    std::vector<cohort_member> members;
    members.reserve(m_targets.size());
    for (auto& [name, each] : m_targets) {
        // A target that limits its requests is chosen for a small share like a cold one, only if there is no
        // other: at two requests per second it alone gives too few answers for a verdict by the deadline.
        bool isSlow = now < each.coldUntil || (isRunning && isRateLimited(each));
        members.push_back({ &each.last, isSlow, &each.rollout, &each.versionSlot });
    }
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

/// @return whether a next target could get a request like this one that has not been tried at any.
bool target_selector::isAnyNextUsable(const placement_request& request, instant now) const
{
    auto untried = request;
    untried.excluded.clear();
    untried.onlyTarget.clear();
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& each) {
        const auto& target = each.second;
        return cohortOf(target.rollout) == rollout_cohort::next && isUsable(target, untried, now)
            && mayStartNow(target, untried, now);
    });
}

/// @return whether the demands and limits of a usable target permit the request's start.
bool target_selector::mayStartNow(
    const tracked_target& target, const placement_request& request, instant now) const
{
    bool isColdExcluded = request.isWarmOnly || now < target.coldStartRefusedUntil;
    bool isLimitedExcluded = request.isUnlimitedOnly || now < target.limitedStartRefusedUntil;
    return !(isCold(target, now) && isColdExcluded) && !(isRateLimited(target) && isLimitedExcluded)
        && mayStart(target, request.model, now) && !isAtLimit(target, request, now);
}

/// @return whether the request may be placed on the other cohort, its own having no target for it. At the
/// full share, requests that were tried at a next target stay with these while any is usable, since the end
/// of the rollout stops the former ones.
bool target_selector::mayFallBack(const placement_request& request, instant now) const
{
    if (!m_cohorts.isActive())
        return false;
    auto standing = m_cohorts.standingOf(request.service);
    if (!core::mayFallBack(standing, cohortRequestOf(request)))
        return false;
    return standing.share < rolloutFullShare || !request.isRolloutPlanFresh || !standing.hasReadyNext
        || !isAnyNextUsable(request, now);
}

placement_result target_selector::choose(const placement_request& request, instant now)
{
    auto result = chooseInCohort(request, now);
    if (result.chosen || !mayFallBack(request, now))
        return result;
    auto other = request;
    other.isCohortFallback = true;
    auto fallback = chooseInCohort(other, now);
    if (!fallback.chosen)
        return fallback.reason == placement_failure::no_target ? result : fallback;
    bool isFull = m_cohorts.standingOf(request.service).share >= rolloutFullShare;
    fallback.chosen->isFullShareFallback = isFull && fallback.chosen->rollout.cohort != rollout_cohort::next;
    return fallback;
}

bool target_selector::hasWarmTarget(const placement_request& request, instant now) const
{
    if (hasWarmTargetInCohort(request, now))
        return true;
    auto other = request;
    other.isCohortFallback = true;
    return mayFallBack(request, now) && hasWarmTargetInCohort(other, now);
}

} // namespace plumfold::core
