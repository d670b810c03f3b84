// The part of request_forwarder that runs a single attempt on one target.

#include "plumfold_request_forwarder.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_response_rules.hpp"

#include <algorithm>

namespace plumfold::forwarding {

namespace {

constexpr core::milliseconds connectTimeout { 300 };
constexpr std::size_t relayBufferBytes = 16 << 10;
constexpr std::uint64_t maxResponseBytes = 64 << 20;
constexpr unsigned statusServerError = 500;
constexpr unsigned statusUnavailable = 503;
constexpr core::milliseconds streamRecordMargin { 2'000 }; // for a caller that is late at its deadline
/// Interim responses and late responses to earlier requests that may precede the response to a request.
constexpr unsigned maxSkippedResponses = 16;

/// @return what delimits the body of a response, for the log.
template <class Parser> const char* framingOf(const Parser& parser)
{
    if (parser.chunked())
        return "chunked";
    return parser.need_eof() ? "connection" : "length";
}

} // namespace

platform::target_request_head request_forwarder::makeTargetHead(const core::placement& placement)
{
    platform::target_request_head head;
    head.deadline = std::max(timeLeft(), core::milliseconds(1));
    head.target = placement.target;
    if (m_customer)
        head.customer = m_customer->name;
    head.effectivePriority = core::effectivePriorityOf(*m_route, m_customer);
    // Without a namespace all customers share the parts.
    if (!m_head.model.empty() || !m_head.parts.empty())
        head.cacheNamespace = cacheNamespaceOf(placement.weights);
    if (!m_head.model.empty() && !placement.weights.empty()) {
        head.weights = placement.weights;
        planParts(placement, head);
    }
    head.lastEventId = m_events.lastId();
    return head;
}

/// Keeps KV parts apart by weight version, and those of isolated customers from all other customers.
std::string request_forwarder::cacheNamespaceOf(const std::string& weights) const
{
    std::string cacheNamespace = "w" + weights;
    if (m_customer && m_customer->isIsolated)
        cacheNamespace += ":" + m_customer->name;
    return cacheNamespace;
}

task<std::unique_ptr<target_connection>> request_forwarder::connectTo(const core::placement& placement)
{
    auto idle = m_state.connections.acquireIdle(placement.target, placement.address);
    if (idle)
        co_return idle;
    m_state.metrics.count("plumfold_target_connections_total");
    co_return co_await m_state.connections.open(
        placement.target, placement.address, std::min(connectTimeout, timeLeft()));
}

task<core::attempt_result> request_forwarder::attempt(const core::placement& placement)
{
    m_recallReason = nullptr;
    m_isSent = false;
    m_rolloutLatency.reset();
    m_hasBegun = false;
    m_connection = co_await connectTo(placement);
    if (m_callerDisconnected)
        co_return core::attempt_result::abandoned;
    if (!m_connection) {
        m_reason = "connect_failed";
        co_return core::attempt_result::not_reached;
    }
    if (runtime::now() >= m_deadline) {
        m_state.connections.release(std::move(m_connection));
        co_return classifyFailure(beast::error::timeout);
    }
    // While the connection was opened, a verdict may have come in force, the target may have become cold,
    // named a limit or asked for rest, the granted start may have expired, the time for the target's weights
    // may have ended, or the share of its version may have changed.
    bool isCondemned = m_state.crashScreen.findVerdict(m_traitList, runtime::now()).has_value();
    bool mayStart = m_state.targetSelector.mayStart(placement.target, m_head.model, runtime::now());
    if (isCondemned || !mayStart || !hasStart(placement) || !mayBeSentByRollout(placement)) {
        m_state.connections.release(std::move(m_connection));
        co_return core::attempt_result::not_started;
    }
    m_attemptedTargets.insert(placement.target);
    m_hasReceived = false;
    m_linkAttempt = m_state.link.onSent(placement.target, runtime::now(),
        core::milliseconds(static_cast<std::int64_t>(placement.predictedMs)));
    m_fetchedFrom.clear();
    m_fetches = m_saves = m_fetchTokens = 0;
    m_sentAt = runtime::now();
    m_isTargetHolder = placement.isHolder;
    m_predictedMs = placement.predictedMs;
    m_waitMs = placement.waitMs;
    m_startLoad = placement;
    m_readTokens = 0;
    m_isPredictionReliable = placement.predictedMs > 0 && !placement.isTargetUnderLoad;
    m_lastByteAt = m_sentAt;
    m_targetUnresponsive = false;
    m_mayTargetHaveEnded = false;
    m_wasRejectedForRoom = false;
    auto demand = m_state.targetSelector.demandOf(placement.target);
    m_knownEpoch = demand ? demand->epoch : 0;
    rollout_send sent(m_state.rollouts, m_service, placement.softwareVersion, placement.rollout);
    m_isSent = true;
    armWatchdog();
    ++m_attemptCount;
    bool mayHaveExecutedBefore = m_mayHaveExecuted;
    m_mayHaveExecuted = true;
    auto sendError = co_await send(*m_connection, placement);
    auto end = co_await receive(*m_connection, sendError);
    if (end == core::attempt_result::abandoned || end == core::attempt_result::lost)
        m_state.targetSelector.onAttemptCancelled(placement.target, runtime::now());
    if (end == core::attempt_result::refused)
        m_mayHaveExecuted = mayHaveExecutedBefore;
    co_return end;
}

task<error_code> request_forwarder::send(target_connection& connection, const core::placement& placement)
{
    http::request<http::span_body<char>> out;
    out.method_string(m_request.method_string());
    out.target(m_request.target());
    out.version(httpVersion);
    platform::encodeTargetRequest(m_request.base(), makeTargetHead(placement), out);
    out.body() = { m_request.body().data(), m_request.body().size() };
    if (hasBody())
        out.content_length(m_request.body().size());
    error_code error;
    connection.stream.expires_at(m_deadline);
    co_await http::async_write(connection.stream, out, into(error));
    co_return error;
}

/// @return whether a target that did not read a whole request may have responded to it.
bool request_forwarder::mayHaveResponded(const error_code& sendError) const
{
    return sendError != beast::error::timeout && !m_callerDisconnected && !m_recallReason
        && !m_targetUnresponsive;
}

core::attempt_result request_forwarder::classifyFailure(const error_code& error)
{
    if (m_callerDisconnected)
        return core::attempt_result::abandoned;
    if (m_recallReason) {
        m_reason = m_recallReason;
        return core::attempt_result::lost;
    }
    m_mayTargetHaveEnded = true;
    if (m_targetUnresponsive) {
        m_reason = "target_silent";
        return core::attempt_result::lost;
    }
    if (error == beast::error::timeout || runtime::now() >= m_deadline) {
        m_timedOut = true;
        m_reason = isStopped() ? "stopping" : "timeout";
        return core::attempt_result::abandoned;
    }
    m_reason = "connection_lost: " + error.message();
    return core::attempt_result::lost;
}

/// Reads the response to a request, also if the request could not be written as a whole: what has arrived
/// before the connection was lost may be a whole response.
/// @param sendError why the request was not written as a whole, if so.
task<core::attempt_result> request_forwarder::receive(
    target_connection& connection, const error_code& sendError)
{
    if (sendError && !mayHaveResponded(sendError))
        co_return classifyFailure(sendError);
    for (unsigned skipped = 0; skipped <= maxSkippedResponses; ++skipped) {
        target_response_parser parser;
        parser.body_limit(maxResponseBytes);
        error_code error;
        connection.stream.expires_at(m_deadline);
        co_await http::async_read_header(connection.stream, connection.buffer, parser, into(error));
        if (error)
            co_return classifyFailure(sendError ? sendError : error);
        onBytes();
        auto kind = runtime::classifyResponse(parser.get());
        if (kind == runtime::response_kind::malformed) {
            auto failure = classifyFailure(http::error::bad_status);
            m_reason = failure == core::attempt_result::lost ? "malformed_response" : m_reason;
            co_return failure;
        }
        if (kind == runtime::response_kind::interim)
            continue;
        // After a write error, the end of the connection looks the same whether it was closed or reset.
        if (sendError && parser.need_eof())
            co_return classifyFailure(sendError);
        m_answerFraming = framingOf(parser);
        auto head = platform::decodeTargetResponse(parser.get().result_int(), parser.get().base());
        if (head.idleTimeout)
            connection.idleTimeout = *head.idleTimeout;
        std::optional<relay_result> relayed;
        if (!m_helper.empty()) {
            relayed = takeRelayResult(parser.get().base());
            if (!relayed)
                co_return classifyFailure(http::error::partial_message);
            m_lastTarget = relayed->target;
            m_lastVersion = relayed->softwareVersion;
        }
        bool isMismatched = !head.requestId.empty() && head.requestId != m_head.id;
        bool isStream = !isMismatched && !head.isNotExecuted && m_route->kind == core::request_kind::stream
            && parser.get().result_int() == statusOk && !head.isEncoded && head.isSigned;
        // On a connection that carried another request before, it may be a late response to that one.
        bool isAmbiguous = m_helper.empty() && head.requestId.empty() && connection.isReused;
        if (isAmbiguous) {
            auto failure = classifyFailure(http::error::partial_message);
            m_reason = failure == core::attempt_result::lost ? "response_without_id" : m_reason;
            co_return failure;
        }
        if (isMismatched && parser.need_eof())
            co_return classifyFailure(http::error::partial_message);
        if (isMismatched) {
            // A late response to an earlier request; the response to this one follows.
            if (!co_await discardBody(parser))
                co_return classifyFailure(http::error::partial_message);
            continue;
        }
        m_wasRejectedForRoom = m_helper.empty() && head.isNotExecuted && !head.isMisdirected;
        m_isTargetFull = m_wasRejectedForRoom && parser.get().result_int() == statusUnavailable
            && !head.restTime && !head.isLeaving;
        if (m_helper.empty() && !head.isMisdirected) {
            recordRoom(head);
            recordDemands(head);
        }
        bool isRelayFailure = relayed && relayed->outcome != relay_outcome::by_target;
        auto end = core::attempt_result::lost;
        if (isRelayFailure)
            end = co_await receiveRelayFailure(parser, *relayed);
        else if (isStream)
            end = co_await relayStream(parser);
        else
            end = co_await receiveBuffered(parser, head);
        bool isComplete = parser.is_done() && !parser.need_eof();
        bool isReusable
            = isComplete && !sendError && end != core::attempt_result::lost && parser.keep_alive();
        if (isReusable && connection.buffer.size() == 0 && !m_callerDisconnected)
            m_state.connections.release(std::move(m_connection));
        co_return end;
    }
    m_reason = "too_many_responses";
    co_return core::attempt_result::lost;
}

/// Records what a response tells about the room of its target.
void request_forwarder::recordRoom(const platform::target_response_head& head)
{
    bool wasBrittle = m_state.targetSelector.isBrittle(m_service);
    m_state.targetSelector.onResponse(
        m_lastTarget, head.maxRejectionsPerSecond, m_wasRejectedForRoom, runtime::now());
    bool isBrittle = m_state.targetSelector.isBrittle(m_service);
    if (isBrittle != wasBrittle)
        runtime::log_event(isBrittle ? "targets_brittle" : "targets_not_brittle")
            .with("service", m_service)
            .with("target", m_lastTarget)
            .with("max_rejections_per_second", head.maxRejectionsPerSecond.value_or(0));
    if (isBrittle && m_wasRejectedForRoom) {
        m_state.metrics.count("plumfold_brittle_rejections_total");
        runtime::log_event("brittle_target_rejected", runtime::log_level::warning)
            .with("request", m_head.id)
            .with("service", m_service)
            .with("target", m_lastTarget);
    }
}

/// Records what the target of a response asks of its callers.
void request_forwarder::recordDemands(const platform::target_response_head& head)
{
    auto now = runtime::now();
    if (head.restTime) {
        m_state.targetSelector.onRestRequested(m_lastTarget, m_lastStart, now + *head.restTime);
        m_state.metrics.count("plumfold_rests_total{service=\"" + m_service + "\"}");
        runtime::log_event("target_rest_requested")
            .with("request", m_head.id)
            .with("target", m_lastTarget)
            .with("started_at", m_lastStart)
            .with("rest_ms", head.restTime->count());
    }
    auto changed = m_state.targetSelector.onStatement(
        { m_lastTarget, m_lastStart, head.maxRequestsPerSecond, m_knownEpoch, head.isLeaving }, now);
    if (!changed)
        return;
    m_state.logDemand(*changed, "response");
    m_state.reportDemand(*changed);
}

/// Bytes of a helper say nothing about the link to targets.
void request_forwarder::onBytes()
{
    m_lastByteAt = runtime::now();
    m_hasReceived = true;
    if (!m_helper.empty())
        return;
    m_state.link.onBytes(m_lastByteAt);
    m_state.checkLink(m_lastByteAt);
}

task<bool> request_forwarder::discardBody(target_response_parser& parser)
{
    std::string chunk;
    bool isReadable = true;
    while (isReadable && !parser.is_done())
        isReadable = co_await readChunk(parser, chunk);
    co_return isReadable;
}

task<bool> request_forwarder::readChunk(target_response_parser& parser, std::string& chunk)
{
    std::array<char, relayBufferBytes> buffer;
    auto& body = parser.get().body();
    body.data = buffer.data();
    body.size = buffer.size();
    error_code error;
    co_await http::async_read_some(m_connection->stream, m_connection->buffer, parser, into(error));
    if (error == http::error::need_buffer)
        error = {};
    if (body.size < buffer.size()) {
        m_hasBegun = true;
        onBytes();
    }
    chunk.assign(buffer.data(), buffer.size() - body.size);
    if (error)
        m_reason = error.message();
    co_return !error;
}

task<core::attempt_result> request_forwarder::receiveBuffered(
    target_response_parser& parser, const platform::target_response_head& head)
{
    buffered_response response;
    response.status = parser.get().result_int();
    std::string chunk;
    while (!parser.is_done()) {
        if (!co_await readChunk(parser, chunk))
            co_return classifyFailure(http::error::partial_message);
        if (!m_buffered.resize(response.body.size() + chunk.size())) {
            m_reason = "response_too_large";
            co_return core::attempt_result::lost;
        }
        response.body += chunk;
    }
    if (head.isNotExecuted) {
        m_reason = "target_refused_" + std::to_string(response.status);
        if (head.isMisdirected)
            m_state.targetSelector.markWeightsUnconfirmed(m_lastTarget, runtime::now());
        co_return core::attempt_result::refused;
    }
    bool success = response.status / 100 == 2;
    bool usable = !head.isEncoded && (!success || (head.isSigned && head.requestId == m_head.id));
    if (!usable) {
        m_reason = "answer_unusable";
        co_return core::attempt_result::lost;
    }
    if (platform::impliesNotExecuted(response.status)) {
        // This status would tell the caller that the request was not executed, which the target did not
        // declare.
        m_reason = "target_failed_" + std::to_string(response.status);
        co_return core::attempt_result::failed;
    }
    platform::copyResponseHeaders(parser.get().base(), response.fields);
    m_firstByteAt = runtime::now();
    bool failed = response.status >= statusServerError;
    m_outcome = failed ? "target_failed" : "answered";
    m_reason = failed ? "target_failed_" + std::to_string(response.status) : std::string();
    m_response = std::move(response);
    co_return failed ? core::attempt_result::failed : core::attempt_result::answered;
}

task<core::attempt_result> request_forwarder::relayStream(target_response_parser& parser)
{
    m_events.startAttempt();
    if (!m_streamStarted) {
        // An earlier attempt may have set headers without delivering an event.
        m_streamHead.base().clear();
        platform::copyResponseHeaders(parser.get().base(), m_streamHead);
    }
    std::string chunk;
    while (!parser.is_done()) {
        if (!co_await readChunk(parser, chunk))
            co_return classifyFailure(asio::error::connection_reset);
        // A target that was restarted under its name may have another software version.
        bool isSameTarget = !m_helper.empty() || m_events.hasEvents()
            || m_state.targetSelector.isIncarnation(m_lastTarget, m_lastStart);
        if (m_origin && !isSameTarget) {
            m_reason = "target_restarted";
            co_return core::attempt_result::lost;
        }
        auto events = m_events.feed(chunk);
        if (!events.empty())
            onRolloutAnswer(m_lastByteAt);
        if (!m_origin && !events.empty())
            beginStream(isSameTarget ? m_lastVersion : std::string());
        bool isDelivered = true;
        if (!events.empty())
            isDelivered = co_await relayChunk(std::move(events));
        if (!isDelivered) {
            onCallerDisconnected();
            co_return core::attempt_result::abandoned;
        }
        if (!m_buffered.resize(m_events.partialEventBytes())) {
            m_reason = "event_too_large";
            co_return core::attempt_result::lost;
        }
    }
    m_partialEventBytes = m_events.partialEventBytes();
    bool endedWithoutEvents = parser.need_eof() && !m_events.hasEvents();
    if (m_partialEventBytes > 0 || endedWithoutEvents) {
        m_reason = "stream_truncated";
        m_mayTargetHaveEnded = true;
        co_return core::attempt_result::lost;
    }
    bool hasHead = m_streamStarted;
    if (!hasHead)
        hasHead = co_await writeStreamHead();
    if (!hasHead)
        co_return core::attempt_result::abandoned;
    m_streamDone = true;
    m_outcome = "answered";
    m_reason.clear();
    co_return core::attempt_result::answered;
}

/// Records where the stream begins, before its first event is passed on.
/// @param softwareVersion of the target that delivers it; empty: unknown.
void request_forwarder::beginStream(std::string softwareVersion)
{
    m_origin = core::stream_origin { m_service, std::move(softwareVersion) };
    // A helper has recorded it.
    if (!m_route->isResumable || m_origin->softwareVersion.empty() || !m_helper.empty())
        return;
    auto deadline = m_head.deadline.value_or(defaultDeadline);
    auto keepFor = std::min(deadline, core::maxStreamKeepTime) + streamRecordMargin;
    m_state.streamOrigins.record({ core::streamNumber(customerName(), m_head.id), *m_origin, keepFor });
}

task<bool> request_forwarder::writeStreamHead()
{
    m_streamStarted = true;
    m_firstByteAt = runtime::now();
    recordPrediction();
    m_streamHead.result(statusOk);
    m_streamHead.version(httpVersion);
    m_streamHead.chunked(true);
    m_isCallerKept = mayKeepCaller();
    m_streamHead.keep_alive(m_isCallerKept);
    if (m_relayed)
        encodeRelayResult(relayResult(true), m_streamHead);
    http::response_serializer<http::empty_body> serializer(m_streamHead);
    error_code error;
    m_caller.stream().expires_after(callerWriteTimeout);
    co_await http::async_write_header(m_caller.stream(), serializer, into(error));
    co_return !error;
}

task<bool> request_forwarder::relayChunk(std::string chunk)
{
    bool hasHead = m_streamStarted;
    if (!hasHead)
        hasHead = co_await writeStreamHead();
    if (!hasHead)
        co_return false;
    error_code error;
    m_caller.stream().expires_after(callerWriteTimeout);
    co_await asio::async_write(
        m_caller.stream(), http::make_chunk(asio::buffer(chunk.data(), chunk.size())), into(error));
    co_return !error;
}

} // namespace plumfold::forwarding
