#include "plumfold/core/plumfold_slow_start_window.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

// A first token that takes this many times longer than on a warm target indicates cold start.
constexpr std::int64_t coldRatio = 4;
// Up to this ratio the target keeps pace with a warm one.
constexpr std::int64_t goodRatio = 2;
// Smaller differences are noise, whatever their ratio.
constexpr milliseconds noiseFloor { 50 };
// A single slow answer may be an outlier.
constexpr std::uint32_t slowAnswersToClose = 2;
// Without a reference, a target counts as warm once its latency has fallen to this ratio of its first
// answer's, or after this many answers.
constexpr double warmedUpRatio = 0.5;
constexpr std::uint32_t maxAnswersWithoutReference = 16;

} // namespace

slow_start_window::slow_start_window(std::uint32_t maxLimit, std::uint32_t initial)
    : m_maxLimit(std::max(1u, maxLimit))
    , m_limit(std::clamp(initial, 1u, m_maxLimit))
{
}

void slow_start_window::setMaxLimit(std::uint32_t maxLimit)
{
    m_maxLimit = std::max(1u, maxLimit);
    m_limit = std::min(m_limit, m_maxLimit);
}

void slow_start_window::record(const attempt_measurement& measure)
{
    switch (measure.outcome) {
    case attempt_outcome::succeeded:
        onSuccess(measure);
        break;
    case attempt_outcome::lost:
    case attempt_outcome::crashed:
    case attempt_outcome::not_reached:
        m_consecutiveGood = 0;
        m_limit = std::max(1u, m_limit / 2);
        break;
    case attempt_outcome::refused:
        m_consecutiveGood = 0;
        m_limit = std::max(1u, m_limit - 1);
        break;
    case attempt_outcome::cancelled:
        break;
    }
}

// While all targets of a model are cold, their latencies resemble each other and give no reference for warm
// ones.
void slow_start_window::openWithoutReference(const attempt_measurement& measure)
{
    double expected = std::max<double>(1, static_cast<double>(measure.expectedFirstToken.count()));
    double ratio = static_cast<double>(measure.firstToken.count()) / expected;
    if (m_answersWithoutReference++ == 0)
        m_firstRatio = ratio;
    bool noticeable = m_firstRatio * expected > static_cast<double>(noiseFloor.count());
    bool warmedUp = noticeable && ratio <= m_firstRatio * warmedUpRatio;
    if (warmedUp || m_answersWithoutReference >= maxAnswersWithoutReference)
        m_limit = std::min(2u, m_maxLimit);
}

void slow_start_window::onSuccess(const attempt_measurement& measure)
{
    if (m_limit == 1 && !measure.referenceKnown) {
        openWithoutReference(measure);
        return;
    }
    auto beyondNoise = measure.firstToken - measure.expectedFirstToken > noiseFloor;
    bool cold = beyondNoise && measure.firstToken > coldRatio * measure.expectedFirstToken;
    bool good = !beyondNoise || measure.firstToken <= goodRatio * measure.expectedFirstToken;
    if (cold) {
        m_consecutiveGood = 0;
        if (++m_consecutiveSlow >= slowAnswersToClose || m_limit < m_maxLimit)
            m_limit = 1;
        return;
    }
    m_consecutiveSlow = 0;
    if (!good) {
        m_consecutiveGood = 0;
        return;
    }
    if (++m_consecutiveGood < m_limit)
        return;
    m_consecutiveGood = 0;
    m_limit = std::min(m_limit * 2, m_maxLimit);
}

} // namespace plumfold::core
