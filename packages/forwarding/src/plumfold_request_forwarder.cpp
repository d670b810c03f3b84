#include "plumfold_request_forwarder.hpp"

#include "plumfold/core/plumfold_hash.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <algorithm>

namespace plumfold::forwarding {

namespace {

constexpr core::milliseconds retryAfterNoDeployment { 400 };
constexpr core::milliseconds retryAfterRejection { 500 };
constexpr core::milliseconds placementPollInterval { 25 };
/// A request waits for the entry's first deployment for at most its deadline divided by this.
constexpr int deploymentWaitDivisor = 2;
constexpr core::milliseconds maxDeploymentWait { 750 };
/// A request without a usable target waits for its latency target divided by this before it is rejected.
constexpr int placementWaitDivisor = 8;
/// A request that asked for starts on this many cold targets goes to warm ones only.
constexpr unsigned maxColdStartRequests = 3;
/// A request that asked for starts on this many targets with a limit goes to targets without one only.
constexpr unsigned maxLimitedStartRequests = 3;

/// How a request without a usable target is rejected, by placement_failure.
struct rejection_kind {
    const char* reason;
    std::uint64_t spreadMs; // callers come back at times that differ by less than this
};
constexpr rejection_kind rejectionKinds[] = { { "no_target", 1 }, { "targets_cold", 1 },
    { "targets_full", 1 }, { "targets_resting", 250 }, { "targets_limited", 1'000 } };
/// With more targets unreachable, a request is not sent to further ones.
constexpr std::size_t maxUnreachableTargets = 3;

std::string_view view(beast::string_view in)
{
    return { in.data(), in.size() };
}

/// Counts a failure against the link of this entry, unless the target has ended.
task<void> countLinkFailure(
    forwarding_state& state, std::string target, core::unix_milliseconds startedAt, std::string address)
{
    bool hasEnded = co_await state.crashes.hasEnded(target, startedAt, address);
    if (hasEnded)
        co_return;
    state.link.onFailure(target);
    state.checkLink(runtime::now());
}

} // namespace

request_forwarder::request_forwarder(forwarding_state& state, caller_connection& caller,
    http::request<http::string_body> request, std::optional<relayed_request> relayed)
    : m_state(state)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_relayed(std::move(relayed))
    , m_head(platform::decodeCallerRequest(m_request.base()))
    , m_deployment(state.deployment)
    , m_receivedAt(runtime::now())
    , m_buffered(state.responseBuffers)
    , m_watchdog(state.io)
    , m_deadlineTimer(state.io)
{
    m_state.openRequests.insert(this);
}

request_forwarder::~request_forwarder()
{
    m_state.openRequests.erase(this);
}

void request_forwarder::stopBy(core::instant at)
{
    dropPlaceWait(place_drop::stopping);
    bool isAdmitted = m_deadline != core::instant {};
    if (!isAdmitted || at >= m_deadline)
        return;
    m_stopAt = m_deadline = at;
    armDeadline();
}

core::milliseconds request_forwarder::timeLeft() const
{
    return std::chrono::duration_cast<core::milliseconds>(m_deadline - runtime::now());
}

task<bool> request_forwarder::run()
{
    if (!m_deployment && !m_relayed)
        co_await waitForDeployment();
    if (m_relayed ? admitRelayed() : admit()) {
        if (m_state.stopAt)
            stopBy(*m_state.stopAt);
        m_caller.watchForDisconnect([this] { onCallerDisconnected(); });
        armDeadline();
        bool mayStart = m_relayed || !isTakeUp();
        if (!mayStart)
            mayStart = co_await findOrigin();
        if (mayStart)
            co_await runAttempts();
        m_deadlineTimer.cancel();
        m_caller.stopWatchingForDisconnect();
    }
    bool delivered = false;
    if (!m_callerDisconnected && m_streamStarted)
        delivered = co_await endStream();
    else if (!m_callerDisconnected)
        delivered = co_await writeResponse();
    log(delivered);
    co_return delivered&& m_isCallerKept;
}

/// After a restart of the whole system, a quorum confirms a deployment within a second. Rejecting requests
/// meanwhile would use up the retry of callers whose first attempt was lost with the previous process.
task<void> request_forwarder::waitForDeployment()
{
    auto part = m_head.deadline.value_or(defaultDeadline) / deploymentWaitDivisor;
    auto until = m_receivedAt + std::min(part, maxDeploymentWait);
    asio::steady_timer timer(m_state.io);
    while (!m_state.deployment && !m_state.stopping && runtime::now() < until) {
        error_code ignored;
        timer.expires_after(placementPollInterval);
        co_await timer.async_wait(into(ignored));
    }
    m_deployment = m_state.deployment;
}

bool request_forwarder::admit()
{
    if (m_head.id.empty() || m_request.count(http::field::host) != 1) {
        reject(http::status::bad_request, "the request has no id or not exactly one host");
        return false;
    }
    if (m_state.refusesRequests) {
        reject(http::status::service_unavailable, "stopping", core::milliseconds(0)); // others serve it
        return false;
    }
    if (!m_deployment) {
        reject(http::status::service_unavailable, "no_deployment", retryAfterNoDeployment);
        return false;
    }
    m_route = m_deployment->findRoute(host(), view(m_request.target()));
    if (!m_route) {
        reject(http::status::not_found, "no_route");
        return false;
    }
    m_customer = m_deployment->findCustomer(m_head.apiKey);
    if (!m_customer && m_deployment->requiresCustomer(*m_route)) {
        reject(http::status::unauthorized, "unknown_key");
        return false;
    }
    identify();
    auto callerTimeout = m_head.deadline.value_or(defaultDeadline);
    m_deadline = m_receivedAt + std::min(callerTimeout, m_route->timeout);
    const auto* service = core::chooseService(*m_route, core::hashBytes(m_head.id));
    m_service = service ? *service : std::string();
    m_state.retryBudget.onRequest(m_service, m_receivedAt);
    return !rejectCondemned();
}

core::host_name request_forwarder::host() const
{
    return core::host_name(view(m_request[http::field::host]));
}

bool request_forwarder::isTakeUp() const
{
    return m_route->kind == core::request_kind::stream
        && (!m_head.resumes.empty() || m_head.lastEventId.value_or(0) > 0);
}

std::string request_forwarder::customerName() const
{
    return m_customer ? m_customer->name : std::string();
}

/// Determines what the request has in common with others.
void request_forwarder::identify()
{
    auto host = this->host();
    auto customer = customerName();
    m_traits = core::traitsOf(
        { customer, m_customer && m_customer->isIsolated, host.name(), view(m_request.method_string()),
            view(m_request.target()), m_head.model, m_request.body(), m_head.parts });
    m_traitList = core::listTraits(m_traits);
}

/// @return whether it is known where the stream began that the caller takes up.
task<bool> request_forwarder::findOrigin()
{
    const auto& shares = m_route->shares;
    auto number = m_head.resumes.empty() ? 0 : core::streamNumber(customerName(), m_head.resumes);
    auto onlyService = shares.size() == 1 ? shares.front().service : std::string();
    auto searchedAt = runtime::now();
    auto search = co_await m_state.streamOrigins.find(number, onlyService);
    m_origin = search.result();
    auto took = std::chrono::duration_cast<core::milliseconds>(runtime::now() - searchedAt);
    runtime::log_event("stream_taken_up")
        .with("request", m_head.id)
        .with("resumes", m_head.resumes.empty() ? std::string("none") : m_head.resumes)
        .with("origin",
            search.known() ? "known"
                : m_origin ? "only_version"
                           : "unknown")
        .with("version", m_origin ? m_origin->softwareVersion : std::string("none"))
        .with("answers", search.answers())
        .with("members", search.members())
        .with("took_ms", took.count());
    bool isOnRoute = m_origin && std::any_of(shares.begin(), shares.end(), [&](const auto& share) {
        return share.service == m_origin->service;
    });
    if (!isOnRoute) {
        // A control VM that did not answer may know the stream.
        bool haveAllAnswered = search.answers() > 0 && search.answers() >= search.members();
        auto retryAfter = haveAllAnswered ? std::nullopt : std::optional(retryAfterRejection);
        reject(http::status::service_unavailable, m_origin ? "stream_not_on_route" : "stream_origin_unknown",
            retryAfter);
        co_return false;
    }
    m_service = m_origin->service;
    co_return true;
}

void request_forwarder::reject(
    http::status status, std::string reason, std::optional<core::milliseconds> retryAfter)
{
    buffered_response response;
    response.status = static_cast<unsigned>(status);
    platform::encodeLocalResponse(m_head.id, retryAfter, response.fields);
    m_response = std::move(response);
    m_outcome = "refused";
    m_reason = std::move(reason);
}

core::placement_request request_forwarder::placementRequest() const
{
    core::placement_request out;
    out.service = m_service;
    out.model = m_head.model;
    out.timeLeft = timeLeft();
    auto cohort = cohortRequest();
    out.rolloutDraw = cohort.draw;
    out.isRolloutPlanFresh = cohort.isPlanFresh;
    out.hasFailedAtNext = cohort.hasFailedAtNext;
    out.excluded = m_attemptedTargets;
    out.excluded.insert(m_unreachableTargets.begin(), m_unreachableTargets.end());
    out.isWarmOnly = m_coldStartRequests >= maxColdStartRequests;
    out.isUnlimitedOnly = m_limitedStartRequests >= maxLimitedStartRequests;
    if (m_origin)
        out.softwareVersion = m_origin->softwareVersion;
    if (!m_route->hasSessions)
        return out;
    out.session = core::conversationOf(m_head.parts);
    out.promptTokens = m_head.promptTokens;
    out.sharedTokens = std::min(core::sharedTokensOf(m_head.parts), out.promptTokens);
    if (arePartsCurrent()) {
        auto cacheNamespace = cacheNamespaceOf(m_state.targetSelector.currentWeightVersion(m_head.model));
        auto now = runtime::now();
        out.storedIn = m_state.partPlanner.storedIn(m_head.parts, cacheNamespace, m_state.parts,
            m_state.targetSelector.latencyModel().prefillTokensPerMs, now);
        if (auto target = fetchTarget())
            out.sharedCost = m_state.partPlanner.sharedPartsCost(
                m_head.parts, cacheNamespace, *target, m_state.parts, now);
        if (m_head.parts.size() > 1)
            out.holders = m_state.parts.holdersOf(
                core::hashOf({ cacheNamespace, m_head.parts[m_head.parts.size() - 2].id }), now);
    }
    out.outputTokens
        = std::min(m_head.expectedOutputTokens.value_or(m_head.maxOutputTokens), m_head.maxOutputTokens);
    return out;
}

bool request_forwarder::mayRetry() const
{
    return !m_callerDisconnected && !m_timedOut && !m_isCrashSuspect && (isIdempotent() || !m_mayHaveExecuted)
        && m_attemptedTargets.size() - m_excludedBefore < maxAttempts();
}

/// Nothing is counted before the first request was sent.
/// @return whether the budget allows another attempt: that of this entry, or else the shared reserve.
task<bool> request_forwarder::takeRetryBudget()
{
    if (std::exchange(m_hasRetryGrant, false))
        co_return true;
    if (m_attemptCount == 0 || m_state.retryBudget.tryTake(m_service, runtime::now()))
        co_return true;
    co_return co_await m_state.sharedLimits.retry(m_service);
}

task<void> request_forwarder::runAttempts()
{
    auto waitUntil = m_receivedAt + m_route->latencyTarget / placementWaitDivisor;
    asio::steady_timer timer(m_state.io);
    while (true) {
        if (rejectCondemned())
            co_return;
        if (mustRelay()) {
            if (!co_await relay())
                m_reason = "link_lost";
            break;
        }
        auto request = placementRequest();
        auto selection = m_state.targetSelector.choose(request, runtime::now());
        if (!selection.chosen) {
            bool isRelayed = false;
            if (mayRelayAfter(selection))
                isRelayed = co_await relay();
            if (isRelayed)
                break;
            bool mayWait = !m_relayed && m_attemptCount == 0 && !m_callerDisconnected;
            if (mayWait && mayWaitFor(selection, waitUntil)) {
                error_code ignored;
                timer.expires_after(placementPollInterval);
                co_await timer.async_wait(into(ignored));
                continue;
            }
            rejectWithoutTarget(selection);
            co_return;
        }
        if (m_attemptCount == 0 && rejectOverload(*selection.chosen)) {
            m_state.targetSelector.onAttemptEnded(selection.chosen->target, core::attempt_result::abandoned,
                core::target_selector::expectedTokens(request), runtime::now());
            co_return;
        }
        place_holder place;
        if (needsPlace()) {
            auto step = co_await acquirePlace(request, selection, place);
            if (step == place_step::repeat)
                continue;
            if (step == place_step::over)
                break;
        }
        if (!co_await requestStart(*selection.chosen)) {
            m_state.targetSelector.onAttemptEnded(selection.chosen->target, core::attempt_result::not_started,
                core::target_selector::expectedTokens(request), runtime::now());
            continue;
        }
        m_lastTarget = selection.chosen->target;
        m_lastWeights = selection.chosen->weights;
        m_lastVersion = selection.chosen->softwareVersion;
        m_lastStart = selection.chosen->startedAt;
        m_rollout = selection.chosen->rollout;
        auto attemptResult = co_await attemptWithPlace(*selection.chosen, place);
        m_connection.reset();
        m_watchdog.cancel();
        m_state.link.onEnded(m_linkAttempt);
        bool isUnanswered = !m_recallReason
            && (attemptResult == core::attempt_result::not_reached
                || (attemptResult == core::attempt_result::lost && !m_hasReceived));
        if (isUnanswered)
            asio::co_spawn(m_state.io,
                countLinkFailure(m_state, selection.chosen->target, selection.chosen->startedAt,
                    selection.chosen->address),
                asio::detached);
        // While the link is lost, a failure says nothing about the target.
        bool isLinkFault = isUnanswered && m_state.link.isLost();
        m_state.targetSelector.onAttemptEnded(selection.chosen->target,
            isLinkFault || m_recallReason ? core::attempt_result::abandoned : attemptResult,
            core::target_selector::expectedTokens(request), runtime::now());
        onRolloutAttemptEnded(attemptResult, isLinkFault);
        if (attemptResult == core::attempt_result::not_started)
            continue;
        if (attemptResult == core::attempt_result::lost && m_mayTargetHaveEnded)
            co_await onTargetLost(*selection.chosen);
        bool hasSurvived = attemptResult == core::attempt_result::answered
            || attemptResult == core::attempt_result::failed;
        if (hasSurvived) {
            m_state.crashScreen.onSuccess(m_traitList, runtime::now());
            m_state.reportSuccesses(runtime::now());
        }
        bool final = attemptResult == core::attempt_result::answered
            || attemptResult == core::attempt_result::abandoned;
        if (final)
            break;
        if (attemptResult == core::attempt_result::not_reached)
            m_unreachableTargets.insert(selection.chosen->target);
        // Another brittle target might have to reject it, too.
        if (m_wasRejectedForRoom && m_state.targetSelector.isBrittle(m_service))
            break;
        if (!mayRetry())
            break;
        bool isWithinBudget = co_await takeRetryBudget();
        if (!isWithinBudget)
            break;
        if (m_unreachableTargets.size() > maxUnreachableTargets) {
            if (!m_relayed)
                co_await relay();
            break;
        }
        m_response.reset();
    }
    if (!m_response && !m_streamStarted)
        finishUnanswered();
}

/// @return whether a target may become usable for a request before it would be rejected.
bool request_forwarder::mayWaitFor(const core::placement_result& selection, core::instant until)
{
    auto now = runtime::now();
    if (selection.reason == core::placement_failure::rate_limited)
        return false;
    return selection.reason == core::placement_failure::resting ? now + selection.retryAfter <= until
                                                                : now < until;
}

std::uint32_t request_forwarder::priority() const
{
    return m_customer ? m_customer->priority.value_or(m_route->priority) : m_route->priority;
}

bool request_forwarder::rejectOverload(const core::placement& placement)
{
    auto retryAfter = m_state.admission.rejection(*m_route, priority(), placement.waitMs);
    if (!retryAfter)
        return false;
    m_waitMs = placement.waitMs;
    reject(http::status::service_unavailable, "overloaded", retryAfter);
    return true;
}

void request_forwarder::rejectWithoutTarget(const core::placement_result& selection)
{
    const auto& kind = rejectionKinds[static_cast<int>(selection.reason)];
    m_reason = kind.reason;
    m_isUnavailable = selection.isBackedOff && selection.reason == core::placement_failure::no_target;
    auto retryAfter = selection.retryAfter + core::milliseconds(core::hashBytes(m_head.id) % kind.spreadMs);
    if (m_mayHaveExecuted || m_streamStarted)
        finishUnanswered();
    else
        reject(http::status::service_unavailable, m_reason, retryAfter);
}

/// Generates the final response to a request that no target responded to.
void request_forwarder::finishUnanswered()
{
    if (m_callerDisconnected)
        return;
    std::string reason = m_reason;
    if (m_streamStarted)
        return;
    if (m_timedOut && m_mayHaveExecuted && !isStopped())
        reject(http::status::gateway_timeout, "timeout");
    else if (m_mayHaveExecuted)
        reject(http::status::bad_gateway, reason.empty() ? "target_lost" : reason);
    else
        reject(http::status::service_unavailable, reason.empty() ? "not_run" : reason, retryAfterRejection);
}

task<bool> request_forwarder::endStream()
{
    if (!m_streamDone) {
        // Without its last chunk, the caller recognizes the response as truncated.
        m_caller.stream().close();
        co_return false;
    }
    error_code error;
    m_caller.stream().expires_after(callerWriteTimeout);
    co_await asio::async_write(m_caller.stream(), http::make_chunk_last(), into(error));
    co_return !error;
}

/// @return whether the response may keep the caller's connection. A stopping entry closes it behind the last
/// request that the caller has sent.
bool request_forwarder::mayKeepCaller() const
{
    return m_request.keep_alive() && (!m_state.stopping || m_caller.hasInput());
}

task<bool> request_forwarder::writeResponse()
{
    if (!m_response)
        finishUnanswered();
    http::response<http::string_body> out;
    out.result(m_response->status);
    out.version(httpVersion);
    for (const auto& field : m_response->fields)
        out.insert(field.name_string(), field.value());
    if (m_relayed)
        encodeRelayResult(relayResult(m_outcome == "answered" || m_outcome == "target_failed"), out);
    out.body() = std::move(m_response->body);
    m_isCallerKept = mayKeepCaller();
    out.keep_alive(m_isCallerKept);
    out.prepare_payload();
    error_code error;
    m_caller.stream().expires_after(callerWriteTimeout);
    co_await http::async_write(m_caller.stream(), out, into(error));
    co_return !error;
}

void request_forwarder::onCallerDisconnected()
{
    m_callerDisconnected = true;
    m_outcome = "caller_gone";
    dropPlaceWait(place_drop::caller_gone);
    // The target cancels the request when its connection is closed.
    if (m_connection)
        m_connection->stream.close();
}

} // namespace plumfold::forwarding
