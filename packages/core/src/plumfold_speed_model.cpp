#include "plumfold/core/plumfold_speed_model.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

// Fixed part of the time to first token: scheduling on the target and one decoding step.
constexpr double baseMilliseconds = 10;
// Shorter prompts give no accurate time per token.
constexpr std::uint32_t minTokensToLearn = 64;
// EWMA weights. The estimate follows fast samples quickly and slow ones slowly, so that cold targets distort
// it little.
constexpr double weightOfFaster = 0.3;
constexpr double weightOfSlower = 0.02;
constexpr double weightOfHold = 0.1;

} // namespace

milliseconds speed_model::firstToken(const std::string& model, std::uint32_t uncachedTokens) const
{
    auto found = m_speeds.find(model);
    double perToken
        = found == m_speeds.end() ? initialMicrosecondsPerToken : found->second.microsecondsPerToken;
    return milliseconds(static_cast<std::int64_t>(baseMilliseconds + uncachedTokens * perToken / 1000));
}

milliseconds speed_model::holdTime(const std::string& model) const
{
    auto found = m_speeds.find(model);
    double hold = found == m_speeds.end() ? initialHoldMilliseconds : found->second.holdMilliseconds;
    return milliseconds(static_cast<std::int64_t>(hold));
}

bool speed_model::isKnown(const std::string& model) const
{
    auto found = m_speeds.find(model);
    return model.empty() || (found != m_speeds.end() && found->second.hasWarmSample);
}

void speed_model::learn(const std::string& model, std::uint32_t uncachedTokens, milliseconds firstToken,
    milliseconds held, bool warm)
{
    speed& known = m_speeds[model];
    double holdWeight = known.hasHoldTime ? weightOfHold : 1;
    known.hasHoldTime = true;
    known.holdMilliseconds += holdWeight * (static_cast<double>(held.count()) - known.holdMilliseconds);
    if (uncachedTokens < minTokensToLearn) {
        known.hasWarmSample = known.hasWarmSample || warm;
        return;
    }
    double beyondBase = std::max(0.0, static_cast<double>(firstToken.count()) - baseMilliseconds);
    double measured = beyondBase * 1000 / uncachedTokens;
    bool faster = measured < known.microsecondsPerToken;
    if (!warm && !faster)
        return;
    double weight = faster ? weightOfFaster : weightOfSlower;
    if (warm && !known.hasWarmSample)
        weight = 1;
    known.hasWarmSample = known.hasWarmSample || warm;
    known.microsecondsPerToken += weight * (measured - known.microsecondsPerToken);
}

} // namespace plumfold::core
