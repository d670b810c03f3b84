#include "plumfold/core/placement/plumfold_engine_speed_model.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

/// Part of a prediction error that one observation corrects.
constexpr double learningRate = 0.05;
/// Prediction errors beyond this count as this much: an engine that pauses says nothing about its service.
constexpr double maxErrorMs = 60;
/// Learned figures stay within this factor of the prior.
constexpr double maxFactor = 3;
/// An engine is slow for about 600 ms at a time.
constexpr double slownessHalfLifeMs = 500;
constexpr double slownessWeight = 0.5;
constexpr double maxSlownessMs = 500;
/// Errors that are usual with random arrivals between the load report and the start.
constexpr double usualErrorMs = 30;
constexpr milliseconds cleanupInterval { 10'000 };

} // namespace

engine_speed_model::figures engine_speed_model::priorFigures() const
{
    return { 1 / m_prior.prefillTokensPerMs, m_prior.runningRequestMs, m_prior.waitingRequestMs };
}

bool engine_speed_model::isPossible(const engine_observation& observation)
{
    const std::array all { observation.readTokens, observation.running, observation.waiting,
        observation.firstEventMs };
    bool isFinite
        = std::all_of(all.begin(), all.end(), [](double each) { return std::isfinite(each) && each >= 0; });
    return isFinite && observation.running <= observation.slots;
}

bool engine_speed_model::record(const engine_observation& observation, instant now)
{
    if (!isPossible(observation))
        return false;
    if (observation.fetches > 0)
        return true;
    const auto prior = priorFigures();
    auto& known = m_services.try_emplace(observation.service, prior).first->second;
    const figures inputs { observation.readTokens, observation.running, observation.waiting };
    double predictedMs = 0;
    double scale = 1;
    for (std::size_t index = 0; index < figureCount; ++index) {
        predictedMs += known[index] * inputs[index];
        scale += prior[index] * inputs[index];
    }
    double errorMs = observation.firstEventMs - predictedMs;
    recordSlowness(observation.target, errorMs, now);
    double step = learningRate * std::clamp(errorMs, -maxErrorMs, maxErrorMs) / scale;
    // Each figure is corrected by its share of the predicted time.
    for (std::size_t index = 0; index < figureCount; ++index) {
        double share = prior[index] * inputs[index] / scale;
        known[index] = std::clamp(
            known[index] + step * share * prior[index], prior[index] / maxFactor, prior[index] * maxFactor);
    }
    return true;
}

engine_speed engine_speed_model::speedOf(const std::string& service) const
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        return m_prior;
    return { 1 / found->second[0], found->second[1], found->second[2] };
}

double engine_slowness::msAt(instant now) const
{
    if (ms <= 0)
        return 0;
    double passedMs = std::max(0.0, std::chrono::duration<double, std::milli>(now - at).count());
    return ms * std::exp2(-passedMs / slownessHalfLifeMs);
}

void engine_speed_model::recordSlowness(const std::string& target, double residualMs, instant now)
{
    if (now >= m_nextCleanup) {
        std::erase_if(m_slowness, [&](const auto& each) { return now - each.second.at > cleanupInterval; });
        m_nextCleanup = now + cleanupInterval;
    }
    auto& known = m_slowness[target];
    double sample = std::clamp(residualMs - usualErrorMs, 0.0, maxSlownessMs);
    known = { known.msAt(now) * (1 - slownessWeight) + sample * slownessWeight, std::max(now, known.at) };
}

engine_slowness engine_speed_model::slownessOf(const std::string& target) const
{
    auto found = m_slowness.find(target);
    return found == m_slowness.end() ? engine_slowness {} : found->second;
}

} // namespace plumfold::core
