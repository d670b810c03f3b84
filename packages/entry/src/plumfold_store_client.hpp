#pragma once

#include "plumfold/core/plumfold_block_store.hpp"
#include "plumfold/core/plumfold_prompt_chain.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::entry {

/// A lease on blocks of a store.
struct store_lease {
    std::string store; ///< RPC address of the store.
    core::block_lease lease;
    std::string blockAddress; ///< HTTP address at which engines read and write the blocks.

    /// @return the URL at which an engine reads or writes the leased blocks.
    std::string url() const
    {
        return "http://" + blockAddress + "/v1/blocks/" + std::to_string(lease.ticket);
    }
};

/// Finds and leases KV blocks on the stores. The store for a prompt is chosen by rendezvous hashing of the
/// customer and the prompt's first block. The public functions may be called from any thread except the RPC
/// thread.
class store_client {
public:
    store_client(wire::rpc_thread& rpc, std::vector<std::string> addresses, std::string secret);
    ~store_client();

    /// Leases the blocks of a prompt for reading.
    /// @return the lease; nothing if the store holds none of the blocks or does not respond in time.
    std::optional<store_lease> lease(
        const core::chain_owner& owner, const core::prompt_chain& chain, core::milliseconds leaseTime);

    /// Leases space for the blocks of a prompt that the store does not hold.
    /// @param blockBytes size of one block.
    /// @return the lease; nothing if no block is missing, the store is full or it does not respond in time.
    std::optional<store_lease> allocate(const core::chain_owner& owner, const core::prompt_chain& chain,
        std::uint32_t blockBytes, core::milliseconds leaseTime);

    /// Ends a lease without waiting.
    void endLease(const store_lease& lease);

private:
    struct link {
        kj::Own<wire::rpc_connection> connection;
        kj::Maybe<wire::Store::Client> store;
        kj::TimePoint notBefore = kj::origin<kj::TimePoint>();
    };

    using lease_call = std::function<kj::Promise<void>(wire::Store::Client&, store_lease&)>;

    std::optional<store_lease> call(
        const std::string& address, core::milliseconds timeout, const lease_call& send);
    std::string preferredStore(const core::chain_owner& owner, const core::prompt_chain& chain) const;
    kj::Promise<wire::Store::Client> storeAt(const std::string& address);
    void drop(const std::string& address);

    wire::rpc_thread& m_rpc;
    std::vector<std::string> m_addresses;
    std::string m_secret;
    std::map<std::string, link> m_links;
    kj::Own<wire::task_group> m_tasks;
};

} // namespace plumfold::entry
