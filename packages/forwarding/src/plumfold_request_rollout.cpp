// The part of request_forwarder that applies rollouts of software versions and records their evidence.

#include "plumfold_request_forwarder.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

#include <algorithm>

namespace plumfold::forwarding {

core::cohort_request request_forwarder::cohortRequest() const
{
    core::cohort_request out;
    out.draw = core::rolloutDrawOf(m_head.id);
    out.isPlanFresh = m_state.rollouts.isPlanFresh();
    // The entry that relayed the request names the targets that it was sent to.
    bool hasFailedBefore = m_relayed
        && std::any_of(m_relayed->excluded.begin(), m_relayed->excluded.end(), [&](const auto& target) {
               return core::cohortOf(m_state.targetSelector.rolloutStanding(target))
                   == core::rollout_cohort::next;
           });
    out.hasFailedAtNext = m_hasFailedAtNext || hasFailedBefore;
    out.needsVersion = m_origin.has_value();
    return out;
}

/// @return what the request's answers may be compared with.
core::rollout_stratum request_forwarder::rolloutStratum() const
{
    return { m_route->name, core::rolloutSizeClass(m_head.promptTokens, m_request.body().size()) };
}

/// @return whether the request still may be sent to a target, now that it is to be sent.
bool request_forwarder::mayBeSentByRollout(const core::placement& placement) const
{
    auto request = cohortRequest();
    request.isFallback = placement.isFullShareFallback;
    return core::mayBeSent(m_state.targetSelector.rolloutStanding(placement.target), request);
}

/// @return whether the current attempt waits on a target whose version was rolled back or replaced, and the
/// request may be sent elsewhere.
bool request_forwarder::mustRecallForRollout() const
{
    if (!isIdempotent() || m_hasBegun || m_origin || !m_helper.empty())
        return false;
    auto standing = m_state.targetSelector.rolloutStanding(m_lastTarget);
    bool hasVersionEnded = standing.role == core::rollout_role::barred && !standing.isHeld;
    return hasVersionEnded && m_attemptedTargets.size() - m_excludedBefore < maxAttempts();
}

/// Records the answer of the current attempt, at its first event or at its end.
void request_forwarder::onRolloutAnswer(core::instant now)
{
    if (m_rollout.rollout == 0 || m_rolloutLatency || !m_helper.empty())
        return;
    m_rolloutLatency = std::chrono::duration_cast<core::milliseconds>(now - m_sentAt);
    m_state.rollouts.recorder().onAnswer(m_rollout, rolloutStratum(), *m_rolloutLatency);
}

/// Records the end of an attempt. Requests that the target did not run, or that ended for another reason than
/// the target, are no evidence.
void request_forwarder::onRolloutAttemptEnded(core::attempt_result result, bool isLinkFault)
{
    bool isNext = m_rollout.cohort == core::rollout_cohort::next;
    bool isRefused = result == core::attempt_result::refused || result == core::attempt_result::not_reached;
    bool isFailure = result == core::attempt_result::lost || result == core::attempt_result::failed;
    m_hasFailedAtNext = m_hasFailedAtNext || (isNext && (isFailure || isRefused));
    auto now = runtime::now();
    bool hasTimedOut = result == core::attempt_result::abandoned && m_timedOut && !isStopped();
    bool isEvidence
        = m_rollout.rollout != 0 && m_isSent && !m_recallReason && !isLinkFault && !m_callerDisconnected;
    if (!isEvidence)
        return;
    if (result == core::attempt_result::answered)
        onRolloutAnswer(now);
    if (!isFailure && !hasTimedOut)
        return;
    auto& recorder = m_state.rollouts.recorder();
    if (m_rolloutLatency)
        recorder.onBrokenAnswer(m_rollout, rolloutStratum(), *m_rolloutLatency);
    else
        recorder.onFailure(m_rollout, rolloutStratum());
    if (m_rollout.cohort != core::rollout_cohort::none)
        m_state.metrics.count(
            std::string("plumfold_rollout_failures_total{cohort=\"") + nameOf(m_rollout.cohort) + "\"}");
}

} // namespace plumfold::forwarding
