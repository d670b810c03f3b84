#include "plumfold/core/plumfold_slow_start_window.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

// A first token this many times later than that of a warm target means cold start.
constexpr std::int64_t coldRatio = 4;
// Up to this ratio the target keeps pace.
constexpr std::int64_t goodRatio = 2;
// Differences below this are noise whatever the ratio.
constexpr milliseconds noiseFloor { 50 };
// One slow answer may be chance; this many in a row are not.
constexpr std::uint32_t slowAnswersToClose = 2;
// Where no warm target is known, a target has warmed up when it is this much faster than at first, or after
// so many answers without becoming faster.
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

// When all targets of a model are cold, their answers agree with each other and say nothing about warm ones.
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
