#pragma once

#include "plumfold/core/plumfold_prompt_chain.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plumfold::core {

using ticket_number = std::uint64_t;

/// Capacity and limits of a store.
struct block_store_options {
    std::uint64_t capacityBytes = 0;
    double maxCustomerShare
        = 0.5; ///< Share of the capacity above which a customer evicts only its own blocks.
    std::uint64_t seed = 1; ///< Keeps the ticket numbers of different processes apart.
};

/// A lease on blocks for one reader or writer.
struct block_lease {
    std::uint32_t blocks = 0; ///< Number of leased blocks; for readers from the start of the chain.
    std::uint32_t firstBlock = 0; ///< Writers: index of the first missing block.
    std::uint64_t bytes = 0; ///< Size of the leased blocks.
    ticket_number ticket = 0; ///< 0 when there is nothing to read or write.
};

/// Counters since the store was created.
struct block_store_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t evictions = 0;
};

/// In-memory store of the KV blocks of prompts. Blocks are readable only once sealed and only under a lease,
/// and are freed only after their last lease has ended. The lookup key is the owner and the hash, so blocks
/// are never shared between customers or weight versions.
class block_store {
public:
    explicit block_store(block_store_options options);

    /// Leases the longest sealed prefix of a chain for reading.
    /// @return the lease; its ticket is 0 when not even the first block is sealed.
    block_lease lease(
        const chain_owner& owner, const prompt_chain& chain, milliseconds leaseTime, instant now);

    /// Allocates the missing blocks of a chain for one writer, as far as space can be freed. Allocates
    /// nothing while another writer fills a block of the chain.
    /// @return the lease; its ticket is 0 when no block was allocated.
    block_lease allocate(const chain_owner& owner, const prompt_chain& chain, std::uint32_t blockBytes,
        milliseconds leaseTime, instant now);

    /// @param index position in the chain.
    /// @return the size of an allocated block that is open for writing; nothing if write() would not find it.
    std::optional<std::uint32_t> writableBytes(ticket_number ticket, std::uint32_t index, instant now) const;

    /// Writes and seals one allocated block.
    /// @param index position in the chain; blocks must be written in order.
    /// @return not_found when the lease has ended or the block is not writable; invalid_argument when the
    /// size is not the allocated one or the previous block is not sealed.
    absl::Status write(ticket_number ticket, std::uint32_t index, std::string_view bytes, instant now);

    /// @return the bytes of one leased block; not_found when the lease has ended, data_loss when the checksum
    /// is wrong.
    absl::StatusOr<std::string> read(ticket_number ticket, std::uint32_t index, instant now);

    /// Ends a lease. Blocks that its writer has not sealed are freed.
    void endLease(ticket_number ticket);
    /// Ends all leases whose time is over.
    void expire(instant now);

    /// Frees all blocks of a customer; leased blocks are freed when their leases end.
    /// @return the number of blocks purged.
    std::uint64_t purge(const std::string& customer);

    std::uint64_t usedBytes() const { return m_usedBytes; }
    std::uint64_t capacityBytes() const { return m_options.capacityBytes; }
    std::size_t blocks() const { return m_blocks.size(); }
    const block_store_counts& counts() const { return m_counts; }

private:
    enum class block_state { writing, sealed, freeing };
    using block_number = std::uint64_t; // never reused, so it cannot refer to a later block
    struct block {
        std::uint32_t ownerNumber;
        std::uint64_t hash;
        block_number parent; // 0 for the first block of a chain
        block_state state = block_state::writing;
        std::uint32_t size = 0;
        std::uint32_t leases = 0;
        std::uint32_t children = 0;
        std::uint32_t hits = 0;
        std::uint32_t depth = 0;
        std::uint64_t checksum = 0;
        double score = 0;
        std::string bytes;
    };
    struct ticket {
        std::vector<block_number> blocks;
        std::uint32_t firstBlock = 0;
        bool writes = false;
        instant until {};
    };
    struct owner_blocks {
        chain_owner owner;
        std::unordered_map<std::uint64_t, block_number> byHash;
    };

    std::uint32_t ownerNumber(const chain_owner& owner);
    bool makeRoom(std::uint64_t bytes, const std::string& customer);
    bool evictOne(const std::string* customer);
    void updateScore(block_number number);
    void removeFromEvictable(block_number number);
    void addIfEvictable(block_number number);
    void free(block_number number);
    void dropLease(block_number number, bool wasWriter);

    block_store_options m_options;
    std::uint64_t m_usedBytes = 0;
    double m_age = 0; // aging term of the scores: highest score evicted so far
    block_number m_nextBlock = 1;
    ticket_number m_nextTicket;
    std::map<chain_owner, std::uint32_t> m_ownerNumbers;
    std::vector<owner_blocks> m_owners;
    std::unordered_map<block_number, block> m_blocks;
    std::set<std::pair<double, block_number>>
        m_evictable; // sealed leaf blocks without leases, lowest score first
    std::map<ticket_number, ticket> m_tickets;
    std::map<std::string, std::uint64_t> m_customerBytes;
    block_store_counts m_counts;
};

} // namespace plumfold::core
