#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::core {

/// A weight version that operators have made current, and how long ago. Processes exchange ages, since their
/// clocks differ.
struct weight_naming {
    std::string model;
    std::uint64_t version = 0;
    milliseconds age { 0 };
    auto operator<=>(const weight_naming&) const = default;
};

/// When each weight version of a model became current. Observers learn of a version at different times; the
/// earliest time that any of them reports is kept.
class weight_history {
public:
    /// Records that a version was current at a time.
    void observe(const std::string& model, std::uint64_t version, instant at);

    /// Records versions that have become current at the reported ages before a time.
    /// @return those of a later version than was known.
    std::vector<weight_naming> observe(const std::vector<weight_naming>& namings, instant now);

    /// Records the current versions. Those that are not known yet count as current from now on.
    /// @param weights current version by model.
    void observeCurrent(const std::map<std::string, std::uint64_t>& weights, instant now);

    /// @return the latest version of a model; nothing if none is known.
    std::optional<std::uint64_t> currentVersion(const std::string& model) const;

    /// @return when the first version after the given one became current; nothing if none is newer.
    std::optional<instant> supersededAt(const std::string& model, std::uint64_t version) const;

    /// @return the kept versions of all models, with their ages; not below 0.
    std::vector<weight_naming> namings(instant now) const;

private:
    std::map<std::string, std::map<std::uint64_t, instant>> m_models; // by model and version
};

} // namespace plumfold::core
