#pragma once

#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include <memory>

namespace plumfold::forwarding {

/// The forwarding role of a process: callers' opaque requests go to announced targets.
class forwarding_role {
public:
    /// @throws boost::system::system_error when an address cannot be bound.
    forwarding_role(const runtime::settings& settings, wire::rpc_thread& rpc);
    ~forwarding_role();

    /// Ends within the grace period: no new callers, what was read is answered.
    void drain();

    /// Takes other control VMs to start from.
    void setControlSeeds(std::vector<std::string> addresses);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace plumfold::forwarding
