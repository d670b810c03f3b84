#pragma once

#include "plumfold/control/plumfold_control_node.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace plumfold::control {

/// The control role of a process: its data folder, its Raft node and the RPC interface. With a platform
/// address, also the platform interface and the loading of weights.
class control_role {
public:
    /// Opens the data folder, bootstraps it on the first start of the whole system, and starts serving.
    /// @param onDiskFailure called on the control thread when the data folder cannot be written; the process
    /// must exit.
    /// @return the errors of durable_log::open() and durable_log::bootstrap().
    static absl::StatusOr<std::unique_ptr<control_role>> start(const runtime::settings& settings,
        wire::rpc_thread& rpc, std::function<void(const std::string&)> onDiskFailure);

    ~control_role();

    /// Begins to leave the group before a planned stop: another control VM takes over the lead, and a
    /// successor takes the place of this one. A control VM without a successor stays a member.
    void beginLeaving();
    /// Waits until the group has decided on it, or for three election timeouts.
    void waitUntilLeft();

private:
    class impl;
    explicit control_role(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace plumfold::control
