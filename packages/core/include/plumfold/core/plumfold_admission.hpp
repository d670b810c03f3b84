#pragma once

#include "plumfold/core/plumfold_deployment.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <optional>

namespace plumfold::core {

/// Rejects prompts immediately that would wait beyond their latency target on every target. Guards against
/// overload: if more prompts arrive than the engines can prefill, every admitted one delays all others and
/// most would be late. The least urgent are rejected first, regardless of their size.
class admission {
public:
    /// Records how long a prompt waited for other requests.
    /// @param predictedMs wait that was predicted when its target was selected.
    void record(double predictedMs, double waitedMs);

    /// @param predictedMs predicted wait for other requests on the best target.
    /// @param priority 0 is the most urgent.
    /// @return nothing if the prompt is admitted, otherwise the time after which the caller should retry.
    std::optional<milliseconds> rejection(const route& on, std::uint32_t priority, double predictedMs) const;

    /// @param priority 0 is the most urgent.
    /// @return the share of its route's latency target that a request may wait for others.
    static double maxWaitShare(std::uint32_t priority);

private:
    double m_bias = 1; ///< Ratio of actual to predicted wait, EWMA.
};

} // namespace plumfold::core
