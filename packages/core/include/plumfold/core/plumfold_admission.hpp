#pragma once

#include "plumfold/core/plumfold_deployment.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <optional>

namespace plumfold::core {

/// Refuses prompts at once that would wait beyond their latency target on every target. Load it answers: more
/// work than the engines can read, where every admitted prompt delays all others and most would come late;
/// the least urgent are refused first, whatever their size.
class admission {
public:
    /// Takes how long a prompt waited behind others.
    /// @param predictedMs what the choice of its target predicted.
    void record(double predictedMs, double waitedMs);

    /// @param predictedMs time that the prompt is predicted to wait behind others on the best target.
    /// @param priority 0 is the most urgent.
    /// @return nothing when it is admitted, else when it should come back.
    std::optional<milliseconds> refusal(const route& on, std::uint32_t priority, double predictedMs) const;

private:
    double m_bias = 1; // waits were so many times as long as predicted
};

} // namespace plumfold::core
