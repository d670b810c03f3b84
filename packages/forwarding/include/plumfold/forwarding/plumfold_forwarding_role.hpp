#pragma once

#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include <memory>

namespace plumfold::forwarding {

/// The forwarding role of a process: forwards requests of callers to announced targets without interpreting
/// their bodies.
class forwarding_role {
public:
    /// @throws boost::system::system_error when an address cannot be bound.
    forwarding_role(const runtime::settings& settings, wire::rpc_thread& rpc);
    ~forwarding_role();

    /// Shuts down gracefully: stops accepting callers and completes requests in progress. Blocks for at most
    /// the grace period.
    void drain();

    /// Replaces the control VMs that the role connects to first.
    /// @param addresses ip:port
    void setControlSeeds(std::vector<std::string> addresses);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace plumfold::forwarding
