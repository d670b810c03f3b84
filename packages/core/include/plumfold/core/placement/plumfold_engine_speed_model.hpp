#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace plumfold::core {

/// What determines the time to the first event on the engines of a service.
struct engine_speed {
    double prefillTokensPerMs = 48;
    double runningRequestMs = 3; ///< Delay by each running request.
    double waitingRequestMs = 150; ///< Delay by each waiting request.
    auto operator<=>(const engine_speed&) const = default;
};

/// One first event that an entry has seen.
struct engine_observation {
    std::string service;
    std::string target;
    double readTokens = 0;
    double running = 0; ///< Requests that ran there at the start.
    double waiting = 0; ///< Requests that waited there at the start.
    double slots = 0; ///< Requests that can run at the same time.
    std::size_t fetches = 0; ///< KV parts that the engine fetched first.
    double firstEventMs = 0;
};

/// By how much an engine is slower than its service for a moment. Decays with time.
struct engine_slowness {
    double ms = 0;
    instant at {};
    double msAt(instant now) const;
};

/// Learns how fast the engines of each service are from the first events that one entry sees.
class engine_speed_model {
public:
    /// @param prior used until there are observations; learned figures stay within a factor of 3 of it.
    explicit engine_speed_model(engine_speed prior = {})
        : m_prior(prior)
    {
    }

    /// Records an observation. Its influence is bounded, however far it is from the prediction. One with
    /// fetches has none: a late fetch says nothing about the engine, and an engine that seemed slow for that
    /// reason would be avoided although it is not.
    /// @return whether its figures are possible; those that are not (negative, not finite, more running
    /// requests than slots) are ignored.
    bool record(const engine_observation& observation, instant now);

    /// @return the figures learned for a service.
    engine_speed speedOf(const std::string& service) const;

    /// @return by how much an engine is slower now than its service, in ms; at least 0.
    double slownessMs(const std::string& target, instant now) const { return slownessOf(target).msAt(now); }
    engine_slowness slownessOf(const std::string& target) const;

private:
    static constexpr std::size_t figureCount = 3;
    using figures = std::array<double, figureCount>; // ms per token, running request, waiting request
    figures priorFigures() const;
    static bool isPossible(const engine_observation& observation);
    void recordSlowness(const std::string& target, double residualMs, instant now);

    engine_speed m_prior;
    std::map<std::string, figures> m_services;
    std::unordered_map<std::string, engine_slowness> m_slowness; // by target
    instant m_nextCleanup {};
};

} // namespace plumfold::core
