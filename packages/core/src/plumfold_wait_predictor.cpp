#include "plumfold/core/plumfold_wait_predictor.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

// Time constant of the rate's exponential decay.
constexpr double rateSeconds = 5;
constexpr double minRate = 1; // tokens per second
constexpr milliseconds minBusyToPredict { 1000 };
constexpr double meanWeight = 0.1; // of a new sample in the EWMA

} // namespace

void wait_predictor::decay(instant now)
{
    double passed = std::chrono::duration<double>(now - m_decayedAt).count();
    m_startedCost *= std::exp(-passed / rateSeconds);
    m_decayedAt = now;
}

void wait_predictor::onBusy(instant now)
{
    m_busySince = now;
    m_decayedAt = now;
    m_startedCost = 0;
}

void wait_predictor::onStarted(std::uint32_t cost, instant now)
{
    decay(now);
    m_startedCost += cost;
}

void wait_predictor::onFirstToken(milliseconds firstToken)
{
    m_meanFirstTokenMs += meanWeight * (static_cast<double>(firstToken.count()) - m_meanFirstTokenMs);
}

milliseconds wait_predictor::wait(std::uint64_t waitingCost, instant now)
{
    auto busy = now - m_busySince;
    if (waitingCost == 0 || busy < minBusyToPredict)
        return milliseconds(0);
    decay(now);
    double measuredSeconds
        = rateSeconds * (1 - std::exp(-std::chrono::duration<double>(busy).count() / rateSeconds));
    double rate = std::max(m_startedCost / measuredSeconds, minRate); // tokens per second
    return milliseconds(static_cast<std::int64_t>(1000.0 * static_cast<double>(waitingCost) / rate));
}

milliseconds wait_predictor::firstTokenAfterStart() const
{
    return milliseconds(static_cast<std::int64_t>(m_meanFirstTokenMs));
}

} // namespace plumfold::core
