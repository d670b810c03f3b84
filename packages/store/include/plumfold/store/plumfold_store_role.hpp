#pragma once

#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include <memory>

namespace plumfold::store {

/// The store role of a process: keeps KV blocks in memory, leases them to entries over RPC, and lets engines
/// read and write them over HTTP.
class store_role {
public:
    /// @throws Poco::Exception when the block address cannot be bound, kj::Exception when the RPC address
    /// cannot.
    store_role(const runtime::settings& settings, wire::rpc_thread& rpc);
    ~store_role();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace plumfold::store
