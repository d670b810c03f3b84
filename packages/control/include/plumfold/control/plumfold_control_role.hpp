#pragma once

#include "plumfold/control/plumfold_control_node.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace plumfold::control {

/// The control role of a process: the control duty, its data folder and its calls.
class control_role {
public:
    /// @param failed called when the disk fails; the process must end.
    static absl::StatusOr<std::unique_ptr<control_role>> start(const runtime::settings& settings,
        wire::rpc_thread& rpc, std::function<void(const std::string&)> onDiskFailure);

    ~control_role();

    /// Gives leadership away for a planned stop.
    void transferLeadership();

private:
    class impl;
    explicit control_role(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace plumfold::control
