#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>

namespace plumfold::core {

/// How one attempt on a target ended.
enum class attempt_outcome : std::uint8_t {
    succeeded,
    cancelled, ///< The caller left, or the work was not needed any more.
    refused, ///< The target said that it did not run the request.
    not_reached, ///< No byte reached the target.
    lost, ///< The connection broke or time ran out after bytes had reached the target.
    crashed, ///< The target's process ended while the request ran.
};

/// What an attempt tells about the target's speed.
struct attempt_measurement {
    attempt_outcome outcome = attempt_outcome::succeeded;
    milliseconds firstToken { 0 };
    milliseconds expectedFirstToken { 0 }; ///< What a warm target would have needed.
    bool referenceKnown = false; ///< Whether the expectation was learned from warm targets.
};

/// Requests that a target may run at the same time. Opens with measured progress of a target in cold start
/// and closes when the target turns slow without saying so.
class slow_start_window {
public:
    /// @param maxLimit the target's own limit.
    /// @param initial what the target is known to bear already, at least 1.
    explicit slow_start_window(std::uint32_t maxLimit, std::uint32_t initial = 1);

    std::uint32_t limit() const { return m_limit; }
    bool isFullyOpen() const { return m_limit == m_maxLimit; }
    void setMaxLimit(std::uint32_t maxLimit);

    /// Takes in one attempt that has ended.
    void record(const attempt_measurement& measure);

private:
    void onSuccess(const attempt_measurement& measure);
    void openWithoutReference(const attempt_measurement& measure);

    std::uint32_t m_maxLimit;
    std::uint32_t m_limit;
    std::uint32_t m_consecutiveGood = 0;
    std::uint32_t m_consecutiveSlow = 0;
    std::uint32_t m_answersWithoutReference = 0; // answers without a reference
    double m_firstRatio = 0; // of the first of them to its expectation
};

} // namespace plumfold::core
