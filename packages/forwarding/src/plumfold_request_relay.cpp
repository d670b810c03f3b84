// The part of request_forwarder that relays a request to another entry, and that serves relayed ones.

#include "plumfold_request_forwarder.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <algorithm>

namespace plumfold::forwarding {

namespace {

constexpr core::milliseconds connectTimeout { 300 };
/// The helper's own deadline is earlier by this, so that its last response arrives in time.
constexpr core::milliseconds responseMargin { 20 };
constexpr std::size_t maxHelpersTried = 3;
constexpr unsigned statusGatewayTimeout = 504;

constexpr const char* resultNames[]
    = { "answered", "refused", "not_reached", "lost", "failed", "abandoned", "not_started" };

} // namespace

bool request_forwarder::hasBody() const
{
    return !m_request.body().empty() || m_request.find(http::field::content_length) != m_request.end()
        || m_request.chunked();
}

bool request_forwarder::isIdempotent() const
{
    return m_route->kind == core::request_kind::idempotent
        || (m_route->kind == core::request_kind::stream && m_route->isResumable);
}

std::size_t request_forwarder::maxAttempts() const
{
    std::size_t all = m_route->maxAttempts;
    return m_relayed ? std::min(all, m_relayed->attemptsLeft) : all;
}

/// Admits a request that another entry has admitted before.
bool request_forwarder::admitRelayed()
{
    bool isRouteLost = m_state.link.isLost();
    if (isRouteLost || m_state.stopping || !m_deployment) {
        m_isUnavailable = true;
        reject(http::status::service_unavailable,
            isRouteLost            ? "link_lost"
                : m_state.stopping ? "draining"
                                   : "no_deployment");
        return false;
    }
    m_route = m_deployment->findRoute(host(), { m_request.target().data(), m_request.target().size() });
    m_customer = m_relayed->customer.empty() ? nullptr : m_deployment->findCustomerNamed(m_relayed->customer);
    bool isCustomerKnown = m_customer != nullptr || m_relayed->customer.empty();
    bool isOnRoute = m_route
        && std::any_of(m_route->shares.begin(), m_route->shares.end(),
            [&](const auto& share) { return share.service == m_relayed->service; });
    // Another deployment may be in force here than at the entry that admitted the request.
    bool mayForward = isOnRoute && isCustomerKnown
        && (m_customer != nullptr || !m_deployment->requiresCustomer(*m_route));
    if (m_head.id.empty() || !mayForward) {
        m_isUnavailable = true;
        reject(http::status::service_unavailable, "other_deployment");
        return false;
    }
    identify();
    m_deadline = m_receivedAt + std::min(m_relayed->timeLeft, m_route->timeout);
    m_service = m_relayed->service;
    m_attemptedTargets = m_relayed->excluded;
    m_excludedBefore = m_attemptedTargets.size();
    if (m_relayed->softwareVersion)
        m_origin = core::stream_origin { m_service, *m_relayed->softwareVersion };
    return !rejectCondemned();
}

/// @return what is told of a response to a relayed request.
relay_result request_forwarder::relayResult(bool isFromTarget) const
{
    relay_result out;
    out.outcome = isFromTarget ? relay_outcome::by_target
        : m_mayHaveExecuted    ? relay_outcome::may_have_run
                               : relay_outcome::not_run;
    // Another helper may reach the targets that this entry does not reach.
    bool reachedNone = m_attemptCount == 0 && !m_unreachableTargets.empty();
    out.isUnavailable = m_isUnavailable || reachedNone;
    out.reason = m_reason;
    out.target = m_lastTarget;
    if (m_origin)
        out.softwareVersion = m_origin->softwareVersion;
    return out;
}

/// @return whether the request goes to another entry because this one reaches no target.
bool request_forwarder::mustRelay()
{
    m_isTrial = false;
    if (m_relayed || !m_state.link.isLost() || m_state.helpers.empty())
        return false;
    bool isRepeatable = isIdempotent() && maxAttempts() > 1;
    m_isTrial = m_attemptCount == 0 && m_state.link.tryTakeTrial(isRepeatable, runtime::now());
    return !m_isTrial;
}

/// Targets in back-off here may be in reach of other entries.
bool request_forwarder::mayRelayAfter(const core::placement_result& selection) const
{
    return !m_relayed && (selection.isBackedOff || !m_unreachableTargets.empty())
        && (m_attemptCount == 0 || mayRetry());
}

/// Relays the request to helpers until one has answered it.
/// @return whether the request has ended; false if no helper took it.
task<bool> request_forwarder::relay()
{
    std::set<std::string> tried;
    while (tried.size() < maxHelpersTried && !m_callerDisconnected && timeLeft() > responseMargin) {
        auto helper = m_state.helpers.choose(tried, runtime::now());
        if (!helper)
            break;
        tried.insert(helper->name);
        m_helper = helper->name;
        m_isHelperUnavailable = false;
        m_helperRetryAfter.reset();
        auto result = co_await relayOnce(*helper);
        m_connection.reset();
        m_watchdog.cancel();
        bool isUnavailable = m_isHelperUnavailable || result == core::attempt_result::not_reached
            || (result == core::attempt_result::lost && !m_hasReceived);
        m_state.helpers.onEnded(helper->name, isUnavailable, runtime::now());
        runtime::log_event("request_relayed")
            .with("request", m_head.id)
            .with("helper", helper->name)
            .with("address", helper->address)
            .with("result", resultNames[static_cast<int>(result)])
            .with("reason", m_reason.empty() ? std::string("none") : m_reason)
            .with("target", m_lastTarget.empty() ? std::string("none") : m_lastTarget)
            .with("link_lost", m_state.link.isLost() ? "true" : "false");
        m_helper.clear();
        if (result == core::attempt_result::refused && !m_isHelperUnavailable) {
            // The helper reaches targets, but none takes the request.
            if (!m_mayHaveExecuted && !m_streamStarted)
                reject(http::status::service_unavailable, m_reason,
                    m_helperRetryAfter.value_or(relayRetryAfter));
            co_return true;
        }
        bool isOver = result == core::attempt_result::answered || result == core::attempt_result::failed
            || result == core::attempt_result::abandoned;
        if (isOver)
            co_return true;
        bool mayTryNext = result != core::attempt_result::lost || mayRetry();
        if (!mayTryNext)
            co_return true;
        bool isWithinBudget = true;
        if (result == core::attempt_result::lost)
            isWithinBudget = co_await takeRetryBudget();
        if (!isWithinBudget)
            co_return true;
        m_response.reset();
    }
    co_return false;
}

task<core::attempt_result> request_forwarder::relayOnce(const core::entry_address& helper)
{
    auto key = "entry " + helper.name;
    m_connection = m_state.connections.acquireIdle(key, helper.address);
    if (!m_connection)
        m_connection
            = co_await m_state.connections.open(key, helper.address, std::min(connectTimeout, timeLeft()));
    if (m_callerDisconnected)
        co_return core::attempt_result::abandoned;
    if (!m_connection) {
        m_reason = "helper_not_reached";
        co_return core::attempt_result::not_reached;
    }
    m_fetchedFrom.clear();
    m_rollout = {}; // the helper records the attempt
    m_predictedMs = m_waitMs = 0;
    m_isPredictionReliable = false;
    m_sentAt = m_lastByteAt = runtime::now();
    m_targetUnresponsive = false;
    m_mayTargetHaveEnded = false;
    m_hasReceived = false;
    bool mayHaveExecutedBefore = std::exchange(m_mayHaveExecuted, true);
    http::request<http::span_body<char>> out;
    out.method_string(m_request.method_string());
    out.target(m_request.target());
    out.version(httpVersion);
    platform::copyCallerHeaders(m_request.base(), m_events.lastId(), out);
    encodeRelayedRequest(makeRelayedRequest(), m_state.settings.process.clusterSecret, out);
    out.body() = { m_request.body().data(), m_request.body().size() };
    if (hasBody())
        out.content_length(m_request.body().size());
    error_code error;
    m_connection->stream.expires_at(m_deadline);
    co_await http::async_write(m_connection->stream, out, into(error));
    auto result = co_await receive(*m_connection, error);
    if (result == core::attempt_result::refused)
        m_mayHaveExecuted = mayHaveExecutedBefore;
    else
        ++m_attemptCount;
    if (result == core::attempt_result::lost)
        m_attemptedTargets.insert("entry " + helper.name); // counts as an attempt
    co_return result;
}

relayed_request request_forwarder::makeRelayedRequest() const
{
    relayed_request out;
    out.customer = customerName();
    out.service = m_service;
    out.timeLeft = timeLeft() - responseMargin;
    out.attemptsLeft = maxAttempts() - std::min(maxAttempts(), m_attemptedTargets.size());
    out.excluded = m_attemptedTargets;
    // A helper must not be a way around what a target has asked of this entry.
    out.excluded.merge(m_state.targetSelector.restingTargets(m_service, runtime::now()));
    if (m_origin)
        out.softwareVersion = m_origin->softwareVersion;
    return out;
}

/// Reads the response of a helper that no target has given.
task<core::attempt_result> request_forwarder::receiveRelayFailure(
    target_response_parser& parser, const relay_result& relayed)
{
    auto status = parser.get().result_int();
    m_helperRetryAfter = platform::decodeRetryAfter(parser.get().base());
    if (!co_await discardBody(parser))
        co_return classifyFailure(http::error::partial_message);
    m_isHelperUnavailable = relayed.isUnavailable;
    m_reason = relayed.reason.empty() ? "helper_gave_no_reason" : relayed.reason;
    if (relayed.outcome == relay_outcome::not_run)
        co_return core::attempt_result::refused;
    if (status == statusGatewayTimeout) {
        // A helper ends a request a moment before this entry, whose stop has limited its time.
        m_timedOut = true;
        m_reason = isStopped() ? "stopping" : m_reason;
        co_return core::attempt_result::abandoned;
    }
    co_return core::attempt_result::lost;
}

} // namespace plumfold::forwarding
