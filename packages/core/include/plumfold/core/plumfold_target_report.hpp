#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace plumfold::core {

/// A model that a target has loaded.
struct loaded_model {
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    auto operator<=>(const loaded_model&) const = default;
};

/// State that a target reports of itself. It lags behind the target's actual state.
struct target_report {
    std::string name;
    std::uint64_t incarnation = 0; ///< Changes when the target's process restarts.
    std::string address; ///< ip:port
    std::string failureDomain;
    bool isService = false; ///< A plain service, not a model engine.
    std::vector<std::string> services;
    std::vector<loaded_model> models;
    std::uint32_t maxBatch = 1; ///< Requests that run at the same time.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    bool leaving = false;
    std::uint64_t sequence = 0; ///< Increases with every report of an incarnation.
    auto operator<=>(const target_report&) const = default;
};

/// Blocks added to and removed from a target's own prefix cache. Events arrive late and with gaps.
struct cache_events {
    std::string target;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Of the first event.
    bool complete = false; ///< The list replaces all known blocks of this target.
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> removed;
};

} // namespace plumfold::core
