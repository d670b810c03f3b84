#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace plumfold::core {

/// What warm targets need for a model's prompt tokens and how long a request holds its place, learned from
/// answers.
class speed_model {
public:
    /// @return the time to the first token of a warm target that is otherwise idle.
    milliseconds firstToken(const std::string& model, std::uint32_t uncachedTokens) const;

    /// @return the mean time that a request of the model holds a place on a target.
    milliseconds holdTime(const std::string& model) const;

    /// @param warm whether the target is known to be warm; others only teach what is faster.
    void learn(const std::string& model, std::uint32_t uncachedTokens, milliseconds firstToken,
        milliseconds held, bool warm);

    /// @return whether a warm target has been measured, or the target is no model.
    bool isKnown(const std::string& model) const;

private:
    struct speed {
        double microsecondsPerToken = initialMicrosecondsPerToken;
        double holdMilliseconds = initialHoldMilliseconds;
        bool hasWarmSample = false; // whether a warm target has been measured
        bool hasHoldTime = false;
    };
    static constexpr double initialMicrosecondsPerToken = 200;
    static constexpr double initialHoldMilliseconds = 1000;

    std::map<std::string, speed> m_speeds;
};

} // namespace plumfold::core
