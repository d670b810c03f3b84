#pragma once

#include "plumfold/core/rollout/plumfold_rollout_record.hpp"

namespace plumfold::core {

/// @return the name of a state in logs.
const char* rolloutStateName(rollout_state state);

/// @return the name of a stage in logs.
const char* rolloutStageName(rollout_stage stage);

} // namespace plumfold::core
