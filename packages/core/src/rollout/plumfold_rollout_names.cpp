#include "plumfold/core/rollout/plumfold_rollout_names.hpp"

#include <algorithm>
#include <array>

namespace plumfold::core {

namespace {

// By the values of the enumerations.
constexpr std::array stateNames { "running", "completed", "rolled_back" };
constexpr std::array stageNames { "preparing", "canary", "raising", "shifting", "ended" };

template <class Enumeration, std::size_t Count>
std::optional<Enumeration> valueOf(std::string_view name, const std::array<const char*, Count>& names)
{
    auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<Enumeration>(found - names.begin());
}

} // namespace

const char* rolloutStateName(rollout_state state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

const char* rolloutStageName(rollout_stage stage)
{
    return stageNames.at(static_cast<std::size_t>(stage));
}

std::optional<rollout_state> rolloutStateOf(std::string_view name)
{
    return valueOf<rollout_state>(name, stateNames);
}

std::optional<rollout_stage> rolloutStageOf(std::string_view name)
{
    return valueOf<rollout_stage>(name, stageNames);
}

} // namespace plumfold::core
