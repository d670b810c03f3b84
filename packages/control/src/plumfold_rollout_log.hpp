#pragma once

#include "plumfold/core/plumfold_commands.hpp"
#include "plumfold/core/plumfold_deployment_state.hpp"

namespace plumfold::control {

/// Logs what a command of the replicated log changed about a rollout: `rollout_ordered` or `rollout_decided`.
/// Logs nothing if it changed none.
/// @param result of the command.
/// @param state after the command.
void logRollout(
    const core::command& command, const core::command_result& result, const core::deployment_state& state);

} // namespace plumfold::control
