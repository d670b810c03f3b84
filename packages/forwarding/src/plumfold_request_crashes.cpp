// The part of request_forwarder that deals with requests that crash targets.

#include "plumfold_request_forwarder.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <absl/strings/str_join.h>

namespace plumfold::forwarding {

/// Reports the request if the target has ended while it ran it. A retry waits for the result only if the
/// request is a suspect: then its caller decides whether to repeat it.
task<void> request_forwarder::onTargetLost(const core::placement& placement)
{
    if (m_state.targetSelector.isLeaving(placement.target))
        co_return;
    lost_request lost { m_head.id, m_traits, placement.target, placement.startedAt, placement.address,
        m_service };
    if (m_state.crashScreen.isSuspect(m_traitList))
        m_isCrashSuspect = co_await reportIfEnded(m_state, std::move(lost));
    else
        asio::co_spawn(m_state.io, reportIfEnded(m_state, std::move(lost)), asio::detached);
}

/// @return whether the target of a lost request has ended.
task<bool> request_forwarder::reportIfEnded(forwarding_state& state, lost_request lost)
{
    bool hasEnded = co_await state.crashes.hasEnded(lost.target, lost.startedAt, lost.address);
    if (!hasEnded)
        co_return false;
    runtime::log_event("target_ended")
        .with("target", lost.target)
        .with("started_at", lost.startedAt)
        .with("request", lost.id)
        .with("fingerprint", lost.traits.fingerprint)
        .with("parts", absl::StrJoin(lost.traits.parts, ","));
    state.metrics.count("plumfold_requests_lost_with_target_total");
    crash_news news;
    news.successes = state.crashScreen.successesOf(core::listTraits(lost.traits), runtime::now());
    news.crashes.push_back(
        { lost.target, lost.startedAt, lost.service, { std::move(lost.traits) }, core::milliseconds(0) });
    state.crashReports.send(std::move(news));
    co_return true;
}

/// Rejects a request that is known to crash targets. If a target has begun to run it, it ends as lost.
/// @return whether it must not be sent.
bool request_forwarder::rejectCondemned()
{
    auto now = runtime::now();
    auto match = m_state.crashScreen.findVerdict(m_traitList, now);
    if (!match)
        return false;
    m_verdict = match->verdict;
    if (m_state.crashScreen.takeRejection(match->verdict, now))
        m_state.crashReports.send({ {}, {}, { match->verdict } });
    m_reason = "crashes_targets";
    if (m_mayHaveExecuted || m_streamStarted)
        finishUnanswered();
    else
        reject(http::status::service_unavailable, m_reason, match->keepFor);
    return true;
}

} // namespace plumfold::forwarding
