#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>

namespace plumfold::core {

/// Outcome of one attempt on a target.
enum class attempt_outcome : std::uint8_t {
    succeeded,
    cancelled, ///< The caller disconnected, or the result was no longer needed.
    refused, ///< The target reported that it did not run the request.
    not_reached, ///< No byte of the request reached the target.
    lost, ///< The connection broke or the request timed out after bytes had reached the target.
    crashed, ///< The target's process terminated while the request ran.
};

/// Measured and expected latency of an attempt.
struct attempt_measurement {
    attempt_outcome outcome = attempt_outcome::succeeded;
    milliseconds firstToken { 0 };
    milliseconds expectedFirstToken { 0 }; ///< Expected of a warm target.
    bool referenceKnown = false; ///< The expectation is based on samples of warm targets.
};

/// Adaptive limit of a target's concurrent requests. Doubles while a target in cold start keeps pace, and
/// shrinks when the target fails or becomes slow without reporting it.
class slow_start_window {
public:
    /// @param maxLimit the target's own limit, at least 1.
    /// @param initial concurrency that the target is known to sustain, at least 1.
    explicit slow_start_window(std::uint32_t maxLimit, std::uint32_t initial = 1);

    std::uint32_t limit() const { return m_limit; }
    bool isFullyOpen() const { return m_limit == m_maxLimit; }
    void setMaxLimit(std::uint32_t maxLimit);

    /// Updates the limit with the measurement of an ended attempt.
    void record(const attempt_measurement& measure);

private:
    void onSuccess(const attempt_measurement& measure);
    void openWithoutReference(const attempt_measurement& measure);

    std::uint32_t m_maxLimit;
    std::uint32_t m_limit;
    std::uint32_t m_consecutiveGood = 0;
    std::uint32_t m_consecutiveSlow = 0;
    std::uint32_t m_answersWithoutReference = 0;
    double m_firstRatio = 0; ///< Measured to expected first token of the first answer without a reference.
};

} // namespace plumfold::core
