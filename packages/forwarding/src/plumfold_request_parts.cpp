// The part of request_forwarder that plans the KV parts of a request and compares predictions with what came.

#include "plumfold_request_forwarder.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <algorithm>

namespace plumfold::forwarding {

namespace {

/// An unfinished KV fetch is discarded after this time, and the engine prefills the prompt.
constexpr core::milliseconds fetchTimeout { 2'500 };

} // namespace

/// @return whether the part directory is current. It becomes stale while no control VM responds.
bool request_forwarder::arePartsCurrent() const
{
    return m_state.targetClockMs != 0
        && runtime::now() - m_state.targetClockReadAt <= core::part_directory::maxConfirmationAge;
}

/// @return any engine of the service as the receiver of KV parts; nothing unless placement is adaptive and
/// the service has engines.
std::optional<core::fetch_target> request_forwarder::fetchTarget() const
{
    const auto* service = m_deployment ? m_deployment->findService(m_service) : nullptr;
    if (!m_state.settings.forwarding->adaptivePlacement || !service || !service->engine)
        return std::nullopt;
    auto count = m_state.engineCounts.find(m_service);
    core::fetch_target target;
    target.link = core::receivingLinkOf(*service->engine, {});
    target.bytesPerToken = service->engine->bytesPerToken;
    target.prefillTokensPerMs = m_state.targetSelector.latencyOf(m_service).prefillTokensPerMs;
    target.engines = count == m_state.engineCounts.end() ? 1 : count->second;
    target.service = m_service;
    return target;
}

void request_forwarder::planParts(const core::placement& placement, platform::target_request_head& head)
{
    auto now = runtime::now();
    auto age = std::chrono::duration_cast<core::milliseconds>(now - m_state.targetClockReadAt);
    if (!arePartsCurrent())
        return;
    const auto& latency = m_state.targetSelector.latencyOf(m_service);
    auto findSource
        = [this, now](const std::string& address) { return m_state.targetSelector.findSource(address, now); };
    if (auto target = fetchTarget()) {
        target->address = placement.address;
        target->link.failureDomain = placement.failureDomain;
        target->requestsBehind = placement.waitMs / latency.waitingRequestMs;
        head.parts = m_state.partPlanner.planAdaptively(
            m_head.parts, head.cacheNamespace, *target, m_state.parts, findSource, now);
    } else {
        head.parts = m_state.partPlanner.plan(m_head.parts, head.cacheNamespace,
            { placement.address, placement.failureDomain, 0 }, m_state.parts, findSource,
            latency.prefillTokensPerMs, now);
    }
    if (head.parts.sharedPartsMs && m_predictedMs > 0) {
        auto own = m_head.promptTokens - std::min(core::sharedTokensOf(m_head.parts), m_head.promptTokens);
        m_predictedMs
            = m_waitMs + static_cast<double>(own) / latency.prefillTokensPerMs + *head.parts.sharedPartsMs;
        m_readTokens = static_cast<double>(own) + head.parts.readTokens;
    }
    auto countNonEmpty = [](const auto& addresses) {
        return static_cast<std::size_t>(std::count_if(
            addresses.begin(), addresses.end(), [](const auto& each) { return !each.empty(); }));
    };
    m_saves = countNonEmpty(head.parts.saveTo);
    for (std::size_t index = 0; index < head.parts.fetchFrom.size(); ++index) {
        if (!head.parts.isTransferExpected(index))
            continue;
        const auto& source = head.parts.fetchFrom[index];
        ++m_fetches;
        m_fetchTokens += m_head.parts[index].tokens;
        if (std::find(m_fetchedFrom.begin(), m_fetchedFrom.end(), source) == m_fetchedFrom.end())
            m_fetchedFrom.push_back(source);
    }
    head.fetchDeadlineMs = m_state.targetClockMs + static_cast<std::uint64_t>(age.count())
        + static_cast<std::uint64_t>(fetchTimeout.count());
}

/// Lets the speed model learn from the first event.
void request_forwarder::recordSpeed()
{
    if (m_readTokens <= 0)
        return;
    bool isPossible = m_state.targetSelector.recordFirstEvent(
        { m_service, m_lastTarget, m_readTokens, static_cast<double>(m_startLoad.running),
            static_cast<double>(m_startLoad.waiting), static_cast<double>(m_startLoad.slots), m_fetches,
            m_firstEventMs },
        m_firstByteAt);
    if (!isPossible && m_state.impossibleLoads.insert(m_service).second)
        runtime::log_event("engine_figures_impossible", runtime::log_level::warning)
            .with("service", m_service)
            .with("target", m_lastTarget)
            .with("running", m_startLoad.running)
            .with("waiting", m_startLoad.waiting)
            .with("slots", m_startLoad.slots);
}

/// Counts whether an engine was chosen that is a home of this entry.
void request_forwarder::recordHome(const core::placement& placement)
{
    m_homeShare = placement.homeShare;
    if (!m_homeShare)
        return;
    std::string result = *m_homeShare > 0 ? "home" : "foreign";
    m_state.metrics.count("plumfold_home_choices_total{result=\"" + result + "\"}");
}

/// Compares the time to the first event with its prediction.
void request_forwarder::recordPrediction()
{
    m_firstEventMs = std::chrono::duration<double, std::milli>(m_firstByteAt - m_sentAt).count();
    m_state.targetSelector.onFirstEvent(m_lastTarget, m_prompt, m_firstByteAt);
    if (m_predictedMs <= 0)
        return;
    double excessMs = m_firstEventMs - m_predictedMs;
    m_state.metrics.observe("plumfold_prediction_error_ms", excessMs);
    m_state.admission.record(m_waitMs, m_firstEventMs - (m_predictedMs - m_waitMs));
    recordSpeed();
    if (!m_isPredictionReliable)
        return;
    m_state.partPlanner.delays().record(m_fetchedFrom, excessMs, m_firstByteAt);
    if (m_state.settings.forwarding->adaptivePlacement)
        m_state.partPlanner.fetches().recordDelay(m_fetchedFrom, excessMs, m_firstByteAt);
}

} // namespace plumfold::forwarding
