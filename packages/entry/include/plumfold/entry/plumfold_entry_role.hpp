#pragma once

#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include <memory>

namespace plumfold::entry {

/// The entry role of a process: serves the callers' API, receives targets' announcements and dispatches
/// requests to targets.
class entry_role {
public:
    entry_role(const runtime::settings& settings, wire::rpc_thread& rpc);
    ~entry_role();

    /// Signals to load balancer and peers that this entry is leaving, then waits until all open requests have
    /// ended or the grace period has expired.
    void drain();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace plumfold::entry
