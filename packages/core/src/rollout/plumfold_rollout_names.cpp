#include "plumfold/core/rollout/plumfold_rollout_names.hpp"

#include <array>

namespace plumfold::core {

namespace {

// By the values of the enumerations.
constexpr std::array stateNames { "running", "completed", "rolled_back" };
constexpr std::array stageNames { "preparing", "canary", "raising", "shifting", "ended" };

} // namespace

const char* rolloutStateName(rollout_state state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

const char* rolloutStageName(rollout_stage stage)
{
    return stageNames.at(static_cast<std::size_t>(stage));
}

} // namespace plumfold::core
