// The part of target_selector that predicts a request's time to its first event.

#include "plumfold/core/plumfold_target_selector.hpp"

#include <algorithm>

namespace plumfold::core {

/// @return how long the requests on a target delay another one, in ms.
double target_selector::waitMs(
    const tracked_target& target, const placement_request& request, instant now) const
{
    const auto& latency = latencyOf(target.last.service);
    double slowMs = target.slowness.msAt(now);
    auto limits = m_services.find(target.last.service);
    bool hasEngine = limits != m_services.end() && limits->second.engine.has_value();
    double capacity = hasEngine ? static_cast<double>(limits->second.engine->memoryTokens) : 0;
    double waiting = 0;
    double unreportedAttempts = 0;
    double running = static_cast<double>(target.inFlight) * m_entries;
    double used = static_cast<double>(target.inFlightTokens) * m_entries;
    if (target.load && now - target.loadAt < m_options.maxLoadAge) {
        waiting = target.load->waiting;
        running = target.load->running;
        used = target.load->usedTokens;
        for (const auto& [at, tokens] : target.unreportedAttempts) {
            if (at < target.loadAt)
                continue;
            ++unreportedAttempts;
            used += static_cast<double>(tokens);
        }
        // The own prompts among them count with their remaining prefill time instead.
        if (usesHomes())
            waiting
                = std::max(0.0, waiting - static_cast<double>(target.backlog.unfinishedAt(target.loadAt)));
    }
    double ownMs
        = usesHomes() ? target.backlog.remainingMs(now) : unreportedAttempts * latency.unreportedRequestMs;
    double share = capacity > 0 ? (used + static_cast<double>(expectedTokens(request))) / capacity : 0;
    double memoryOverflowMs = std::max(0.0, share - latency.preemptionMemoryShare) * latency.memoryOverflowMs;
    return waiting * latency.waitingRequestMs + ownMs + running * latency.runningRequestMs + memoryOverflowMs
        + slowMs;
}

/// @return the time that a target needs to read or fetch the prompt, in ms.
double target_selector::prefillMs(
    const tracked_target& target, const placement_request& request, bool isPreferred) const
{
    double own = static_cast<double>(request.promptTokens - request.sharedTokens);
    return own / latencyOf(target.last.service).prefillTokensPerMs
        + cacheMissMs(target, request, isPreferred);
}

bool target_selector::isHolder(const tracked_target& target, const placement_request& request)
{
    const auto& holders = request.holders;
    return std::find(holders.begin(), holders.end(), target.last.address) != holders.end();
}

/// @return the time that a target needs to fetch or recompute the shared part, in ms; 0 if it holds it.
double target_selector::cacheMissMs(
    const tracked_target& target, const placement_request& request, bool isPreferred) const
{
    // If no holder is known, the preferred target may hold it.
    if (isHolder(target, request) || (request.holders.empty() && isPreferred))
        return 0;
    if (request.sharedCost)
        return request.sharedCost->failureDomain == target.last.failureDomain ? request.sharedCost->localMs
                                                                              : request.sharedCost->remoteMs;
    const auto& latency = latencyOf(target.last.service);
    double rate = latency.prefillTokensPerMs;
    if (request.storedIn)
        rate = *request.storedIn == target.last.failureDomain ? latency.localFetchTokensPerMs
                                                              : latency.remoteFetchTokensPerMs;
    else if (!request.holders.empty())
        rate = latency.localFetchTokensPerMs;
    return static_cast<double>(request.sharedTokens) / rate;
}

const engine_latency_model& target_selector::latencyOf(const std::string& service) const
{
    auto learned = m_learnedLatency.find(service);
    return learned == m_learnedLatency.end() ? m_options.latencyModel : learned->second;
}

bool target_selector::recordFirstEvent(const engine_observation& observation, instant now)
{
    if (!m_speed)
        return true;
    if (!m_speed->record(observation, now))
        return false;
    if (auto target = m_targets.find(observation.target); target != m_targets.end())
        target->second.slowness = m_speed->slownessOf(observation.target);
    auto speed = m_speed->speedOf(observation.service);
    auto& latency = m_learnedLatency.try_emplace(observation.service, m_options.latencyModel).first->second;
    latency.prefillTokensPerMs = speed.prefillTokensPerMs;
    latency.runningRequestMs = speed.runningRequestMs;
    latency.waitingRequestMs = speed.waitingRequestMs;
    return true;
}

std::size_t target_selector::targetsOf(const std::string& service) const
{
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(),
        [&](const auto& each) { return each.second.last.service == service; }));
}

} // namespace plumfold::core
