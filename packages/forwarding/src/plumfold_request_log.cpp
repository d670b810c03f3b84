// The part of request_forwarder that logs the end of a request.

#include "plumfold_request_forwarder.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <array>
#include <charconv>

namespace plumfold::forwarding {

namespace {

std::string joined(const std::vector<std::string>& names)
{
    std::string out;
    for (const auto& name : names)
        out += (out.empty() ? "" : ",") + name;
    return out;
}

std::string shareText(double share)
{
    std::array<char, 8> text {};
    auto end = std::to_chars(text.data(), text.data() + text.size(), share, std::chars_format::fixed, 2).ptr;
    return { text.data(), end };
}

} // namespace

void request_forwarder::log(bool delivered)
{
    auto now = runtime::now();
    auto since = [&](core::instant at) {
        return std::chrono::duration_cast<core::milliseconds>(at - m_receivedAt).count();
    };
    bool broken = m_streamStarted && !m_streamDone && !m_callerDisconnected;
    if (broken)
        m_outcome = "broken_off";
    runtime::log_event event("request_ended");
    event.with("request", m_head.id)
        .with("route", m_route ? m_route->name : std::string("none"))
        .with("customer", m_customer ? m_customer->name : std::string("none"))
        .with("fingerprint", m_traits.fingerprint)
        .with("verdict", m_verdict)
        .with("outcome", m_outcome)
        .with("reason", m_reason.empty() ? std::string("none") : m_reason)
        .with("status", m_response ? m_response->status : (m_streamStarted ? statusOk : 0))
        .with("framing", m_answerFraming)
        .with("partial_event_bytes", m_partialEventBytes)
        .with("relayed", m_relayed ? "true" : "false")
        .with("may_have_run", m_mayHaveExecuted ? "true" : "false")
        .with("sends", m_attemptCount)
        .with("cold_start_requests", m_coldStartRequests)
        .with("limited_start_requests", m_limitedStartRequests)
        .with("place", placeResultName())
        .with("place_wait_ms", m_placeWaitTime.count())
        .with("target", m_lastTarget.empty() ? std::string("none") : m_lastTarget)
        .with("version", m_lastVersion.empty() ? std::string("none") : m_lastVersion)
        .with("cohort", nameOf(m_rollout.cohort))
        .with("rollout", m_rollout.rollout)
        .with("resumes", m_head.resumes.empty() ? std::string("none") : m_head.resumes)
        .with("after_event", m_head.lastEventId.value_or(0))
        .with("last_event", m_events.lastId().value_or(0))
        .with("weights", m_lastWeights.empty() ? std::string("none") : m_lastWeights)
        .with("conversation", core::conversationOf(m_head.parts))
        .with("parts", m_head.parts.size())
        .with("shared_tokens", core::sharedTokensOf(m_head.parts))
        .with("held", m_isTargetHolder ? "true" : "false")
        .with("fetch_tokens", m_fetchTokens)
        .with("fetches", m_fetches)
        .with("saves", m_saves)
        .with("predicted_ms", static_cast<std::int64_t>(m_predictedMs))
        .with("wait_ms", static_cast<std::int64_t>(m_waitMs))
        .with("first_event_ms", static_cast<std::int64_t>(m_firstEventMs))
        .with("sources", m_fetchedFrom.empty() ? std::string("none") : joined(m_fetchedFrom))
        .with("holders_known", m_state.parts.holders().size())
        .with("deployment", m_deployment ? m_deployment->version() : 0)
        .with("first_ms", m_firstByteAt == core::instant {} ? -1 : since(m_firstByteAt))
        .with("total_ms", since(now))
        .with("delivered", delivered ? "true" : "false");
    if (m_homeShare)
        event.with("home_share", shareText(*m_homeShare));
    m_state.metrics.count("plumfold_forwarded_total{outcome=\"" + m_outcome + "\"}");
    m_state.metrics.observe("plumfold_forwarded_ms", static_cast<double>(since(now)));
}

} // namespace plumfold::forwarding
