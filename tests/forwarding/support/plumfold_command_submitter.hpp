#pragma once

#include "plumfold_forwarding_system.hpp"

#include "plumfold/core/plumfold_commands.hpp"

namespace plumfold::tests {

/// Submits a command to the replicated log, without the checks of the platform interface.
/// @param controls number of the control VMs that are asked in turn, 1 to this.
/// @return the result of the command.
/// @throws std::runtime_error if no control VM accepts it in time.
core::command_result submitCommand(
    const forwarding_system& system, int controls, const core::command& command);

} // namespace plumfold::tests
