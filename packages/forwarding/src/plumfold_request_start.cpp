// The part of request_forwarder that gets starts on cold targets and on those that limit their requests.

#include "plumfold_request_forwarder.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

namespace plumfold::forwarding {

/// @return whether the request may start on a target, as far as that has to be granted.
task<bool> request_forwarder::requestStart(const core::placement& placement)
{
    bool mayStart = true;
    if (placement.isCold)
        mayStart = co_await requestColdStart(placement);
    if (mayStart && placement.isRateLimited)
        mayStart = co_await requestLimitedStart(placement);
    co_return mayStart;
}

/// @return whether the request still may start on a target, now that it is to be sent.
bool request_forwarder::hasStart(const core::placement& placement) const
{
    auto now = runtime::nowWithSuspension();
    const auto& selector = m_state.targetSelector;
    bool hasColdStart = placement.isCold && now < m_coldStartUntil;
    bool hasLimitedStart = placement.isRateLimited && now < m_limitedStartUntil;
    return !selector.isResting(placement.target, runtime::now()) && !selector.isLeaving(placement.target)
        && (hasColdStart || !selector.isCold(placement.target, runtime::now()))
        && (hasLimitedStart || !selector.isRateLimited(placement.target));
}

/// @return whether the request may start on a target that limits its requests per second.
task<bool> request_forwarder::requestLimitedStart(const core::placement& placement)
{
    auto demand = m_state.targetSelector.demandOf(placement.target);
    if (!demand)
        co_return true;
    ++m_limitedStartRequests;
    auto requestedAt = runtime::nowWithSuspension();
    auto answer = co_await m_state.rateLimits.start(placement.failureDomain, *demand);
    auto now = runtime::now();
    if (answer)
        m_state.targetSelector.onRateLimitDecision(placement.target, *answer, now);
    auto decision = answer ? *answer : m_state.targetSelector.tryStartWithoutIssuer(placement.target, now);
    m_limitedStartUntil = requestedAt + core::startGrantLifetime;
    m_state.metrics.count(std::string("plumfold_limited_starts_total{service=\"") + m_service
        + (decision.isGranted ? "\",result=\"granted\"}" : "\",result=\"refused\"}"));
    if (decision.isGranted)
        runtime::log_event("limited_start_granted")
            .with("request", m_head.id)
            .with("target", placement.target)
            .with("max_requests_per_second", core::limitText(*demand))
            .with("by_issuer", answer ? "true" : "false")
            .with("requests", m_limitedStartRequests);
    co_return decision.isGranted;
}

/// @return whether the request may start on a cold target.
task<bool> request_forwarder::requestColdStart(const core::placement& placement)
{
    ++m_coldStartRequests;
    auto requestedAt = runtime::nowWithSuspension();
    auto decision = co_await m_state.sharedLimits.startCold(m_service, placement.target);
    if (!decision.isGranted) {
        m_state.targetSelector.onColdStartRefused(placement.target, runtime::now() + decision.retryAfter);
        co_return false;
    }
    m_coldStartUntil = requestedAt + core::startGrantLifetime;
    auto duration = runtime::nowWithSuspension() - requestedAt;
    runtime::log_event("cold_start_granted")
        .with("request", m_head.id)
        .with("target", placement.target)
        .with("requests", m_coldStartRequests)
        .with("took_ms", std::chrono::duration_cast<core::milliseconds>(duration).count());
    co_return true;
}

} // namespace plumfold::forwarding
