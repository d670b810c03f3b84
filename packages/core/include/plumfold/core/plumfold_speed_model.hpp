#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace plumfold::core {

/// Estimates, per model, the time to first token of warm targets and the time that a request occupies a slot.
/// Learned from answers.
class speed_model {
public:
    /// @return the time to first token on a warm and otherwise idle target.
    milliseconds firstToken(const std::string& model, std::uint32_t uncachedTokens) const;

    /// @return the mean time that a request of the model occupies a slot on a target.
    milliseconds holdTime(const std::string& model) const;

    /// Updates the estimates with an answer.
    /// @param held time that the request occupied its slot.
    /// @param warm whether the target is known to be warm; samples of other targets only lower the time per
    /// token.
    void learn(const std::string& model, std::uint32_t uncachedTokens, milliseconds firstToken,
        milliseconds held, bool warm);

    /// @return whether a warm target has been measured; always true for plain services, which have no
    /// model.
    bool isKnown(const std::string& model) const;

private:
    struct speed {
        double microsecondsPerToken = initialMicrosecondsPerToken;
        double holdMilliseconds = initialHoldMilliseconds;
        bool hasWarmSample = false;
        bool hasHoldTime = false;
    };
    static constexpr double initialMicrosecondsPerToken = 200;
    static constexpr double initialHoldMilliseconds = 1000;

    std::map<std::string, speed> m_speeds;
};

} // namespace plumfold::core
