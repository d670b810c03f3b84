#pragma once

#include "plumfold/core/rollout/plumfold_rollout_record.hpp"

#include <optional>
#include <string_view>

namespace plumfold::core {

/// @return the name of a state in logs and on the platform's interface.
const char* rolloutStateName(rollout_state state);

/// @return the name of a stage in logs and on the platform's interface.
const char* rolloutStageName(rollout_stage stage);

/// @return the state with a name; nothing if there is none.
std::optional<rollout_state> rolloutStateOf(std::string_view name);

/// @return the stage with a name; nothing if there is none.
std::optional<rollout_stage> rolloutStageOf(std::string_view name);

} // namespace plumfold::core
