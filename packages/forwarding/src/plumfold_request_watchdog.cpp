// The part of request_forwarder that ends attempts that take too long.

#include "plumfold_request_forwarder.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

namespace plumfold::forwarding {

namespace {

constexpr core::milliseconds watchdogInterval { 200 };
/// An attempt on a target that the target selector considers silent is abandoned after this time without a
/// byte.
constexpr core::milliseconds unresponsiveTargetTimeout { 500 };

} // namespace

/// Ends an attempt on an unresponsive target early when the request may be retried on another one, and any
/// attempt that would begin on outdated weights.
void request_forwarder::armWatchdog()
{
    if (!isIdempotent() && m_head.model.empty())
        return;
    m_watchdog.expires_after(watchdogInterval);
    m_watchdog.async_wait([this, alive = std::weak_ptr<bool>(m_alive)](const error_code& error) {
        if (!error && !alive.expired())
            onWatchdog();
    });
}

/// The timeout of a stream does not fire while bytes keep arriving, since each read restarts its timer.
void request_forwarder::armDeadline()
{
    m_deadlineTimer.expires_at(m_deadline);
    m_deadlineTimer.async_wait([this, alive = std::weak_ptr<bool>(m_alive)](const error_code& error) {
        if (!error && !alive.expired() && m_connection)
            m_connection->stream.close();
    });
}

bool request_forwarder::isTargetQuiet(core::instant now) const
{
    return now - m_lastByteAt >= unresponsiveTargetTimeout
        && m_state.targetSelector.isSilent(m_lastTarget, now);
}

/// Ends the current attempt because its target may not run it any more.
void request_forwarder::recall(const char* reason)
{
    m_recallReason = reason;
    m_connection->stream.close();
}

void request_forwarder::onWatchdog()
{
    if (!m_connection)
        return;
    auto now = runtime::now();
    if (!m_hasBegun && m_state.targetSelector.mustRecall(m_head.model, m_lastWeights, now)) {
        recall("weights_outdated");
        return;
    }
    if (mustRecallForRollout()) {
        recall("version_ended");
        return;
    }
    if (!isIdempotent()) {
        armWatchdog();
        return;
    }
    bool isBelowLimit = m_attemptedTargets.size() - m_excludedBefore < maxAttempts();
    // While the link of this entry may be lost, a helper replaces any target.
    bool isLinkSuspect = m_isTrial || (m_state.link.isLost() && !m_state.helpers.empty());
    bool isQuiet = now - m_lastByteAt >= unresponsiveTargetTimeout;
    if (isQuiet && isBelowLimit && isLinkSuspect) {
        m_targetUnresponsive = true;
        m_connection->stream.close();
        return;
    }
    // A target may be silent for a second and go on, so an attempt is kept if nothing can replace it.
    bool isReplaceable
        = isTargetQuiet(now) && isBelowLimit && m_state.targetSelector.hasWarmTarget(placementRequest(), now);
    if (isReplaceable)
        asio::co_spawn(m_state.io, replaceUnresponsiveTarget(m_alive), asio::detached);
    else
        armWatchdog();
}

/// Abandons the current attempt if the retry budget allows another one.
/// @param alive expires with this object.
task<void> request_forwarder::replaceUnresponsiveTarget(std::weak_ptr<bool> alive)
{
    auto attempt = m_attemptCount;
    bool isGranted = co_await takeRetryBudget();
    if (alive.expired())
        co_return;
    m_hasRetryGrant = isGranted;
    if (!m_connection || m_attemptCount != attempt)
        co_return;
    if (!isGranted || !isTargetQuiet(runtime::now())) {
        armWatchdog();
        co_return;
    }
    m_targetUnresponsive = true;
    m_connection->stream.close();
}

} // namespace plumfold::forwarding
