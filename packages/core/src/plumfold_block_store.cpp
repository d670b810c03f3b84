#include "plumfold/core/plumfold_block_store.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>

namespace plumfold::core {

block_store::block_store(block_store_options options)
    : m_options(options)
    , m_nextTicket(options.seed << 24 | 1)
{
}

std::uint32_t block_store::ownerNumber(const chain_owner& owner)
{
    auto [place, isNew] = m_ownerNumbers.try_emplace(owner, static_cast<std::uint32_t>(m_owners.size()));
    if (isNew)
        m_owners.push_back({ owner, {} });
    return place->second;
}

// ---------------------------------------------------------------- leases

block_lease block_store::lease(
    const chain_owner& owner, const prompt_chain& chain, milliseconds leaseTime, instant now)
{
    block_lease result;
    const auto& held = m_owners[ownerNumber(owner)].byHash;
    ticket reader;
    reader.until = now + leaseTime;
    for (std::uint64_t hash : chain) {
        auto found = held.find(hash);
        if (found == held.end() || m_blocks.at(found->second).state != block_state::sealed)
            break;
        reader.blocks.push_back(found->second);
    }
    for (block_number number : reader.blocks) {
        block& each = m_blocks.at(number);
        removeFromEvictable(number);
        each.leases += 1;
        each.hits += 1;
        result.bytes += each.size;
    }
    result.blocks = static_cast<std::uint32_t>(reader.blocks.size());
    if (result.blocks == 0)
        return result;
    result.ticket = m_nextTicket++;
    m_tickets[result.ticket] = std::move(reader);
    return result;
}

block_lease block_store::allocate(const chain_owner& owner, const prompt_chain& chain,
    std::uint32_t blockBytes, milliseconds leaseTime, instant now)
{
    block_lease result;
    std::uint32_t number = ownerNumber(owner);
    std::size_t index = 0;
    block_number parent = 0;
    while (index < chain.size()) {
        auto found = m_owners[number].byHash.find(chain[index]);
        if (found == m_owners[number].byHash.end())
            break;
        // A parent that is not sealed is freed when its writer's lease ends.
        if (m_blocks.at(found->second).state != block_state::sealed)
            return result;
        parent = found->second;
        ++index;
    }
    ticket writer;
    writer.firstBlock = static_cast<std::uint32_t>(index);
    writer.writes = true;
    writer.until = now + leaseTime;
    result.firstBlock = writer.firstBlock;
    // Lease the last existing block so that makeRoom() does not evict it.
    if (parent != 0) {
        removeFromEvictable(parent);
        m_blocks.at(parent).leases += 1;
    }
    for (; index < chain.size(); ++index) {
        // On a hash collision the existing block must stay reachable.
        bool collides = m_owners[number].byHash.contains(chain[index]);
        if (collides || !makeRoom(blockBytes, owner.customer))
            break;
        block_number created = m_nextBlock++;
        block next;
        next.ownerNumber = number;
        next.hash = chain[index];
        next.parent = parent;
        next.size = blockBytes;
        next.leases = 1;
        next.depth = static_cast<std::uint32_t>(index);
        if (parent != 0)
            m_blocks.at(parent).children += 1;
        m_blocks.emplace(created, std::move(next));
        m_owners[number].byHash[chain[index]] = created;
        m_usedBytes += blockBytes;
        m_customerBytes[owner.customer] += blockBytes;
        writer.blocks.push_back(created);
        result.bytes += blockBytes;
        parent = created;
    }
    if (!writer.blocks.empty() && m_blocks.at(writer.blocks.front()).parent != 0)
        dropLease(m_blocks.at(writer.blocks.front()).parent, false);
    else if (writer.blocks.empty() && parent != 0)
        dropLease(parent, false);
    result.blocks = static_cast<std::uint32_t>(writer.blocks.size());
    if (writer.blocks.empty())
        return result;
    result.ticket = m_nextTicket++;
    m_tickets[result.ticket] = std::move(writer);
    return result;
}

void block_store::endLease(ticket_number number)
{
    auto found = m_tickets.find(number);
    if (found == m_tickets.end())
        return;
    ticket ended = std::move(found->second);
    m_tickets.erase(found);
    // In reverse order, so that children are freed before their parents.
    for (auto it = ended.blocks.rbegin(); it != ended.blocks.rend(); ++it)
        dropLease(*it, ended.writes);
}

void block_store::expire(instant now)
{
    std::vector<ticket_number> ended;
    for (const auto& [number, each] : m_tickets) {
        if (each.until <= now)
            ended.push_back(number);
    }
    for (ticket_number number : ended)
        endLease(number);
}

void block_store::dropLease(block_number number, bool wasWriter)
{
    block& each = m_blocks.at(number);
    each.leases -= 1;
    bool abandoned = wasWriter && each.state == block_state::writing;
    if (abandoned || (each.state == block_state::freeing && each.leases == 0)) {
        if (each.children == 0 && each.leases == 0)
            free(number);
        else
            each.state = block_state::freeing;
        return;
    }
    addIfEvictable(number);
}

// ---------------------------------------------------------------- reading and writing

std::optional<std::uint32_t> block_store::writableBytes(
    ticket_number number, std::uint32_t index, instant now) const
{
    auto found = m_tickets.find(number);
    bool valid = found != m_tickets.end() && found->second.writes && found->second.until > now
        && index >= found->second.firstBlock
        && index - found->second.firstBlock < found->second.blocks.size();
    if (!valid)
        return std::nullopt;
    const block& target = m_blocks.at(found->second.blocks[index - found->second.firstBlock]);
    if (target.state != block_state::writing)
        return std::nullopt;
    return target.size;
}

absl::Status block_store::write(
    ticket_number number, std::uint32_t index, std::string_view bytes, instant now)
{
    auto found = m_tickets.find(number);
    bool valid = found != m_tickets.end() && found->second.writes && found->second.until > now
        && index >= found->second.firstBlock
        && index - found->second.firstBlock < found->second.blocks.size();
    if (!valid)
        return absl::NotFoundError("no write lease for this block: allocate it again");
    block& target = m_blocks.at(found->second.blocks[index - found->second.firstBlock]);
    if (target.state != block_state::writing)
        return absl::NotFoundError("the block is not open for writing: allocate it again");
    std::uint32_t offset = index - found->second.firstBlock;
    if (offset > 0 && m_blocks.at(found->second.blocks[offset - 1]).state != block_state::sealed)
        return absl::InvalidArgumentError("blocks must be written in the order of the chain");
    if (bytes.size() != target.size)
        return absl::InvalidArgumentError(
            "the block must have the allocated size of " + std::to_string(target.size));
    target.bytes.assign(bytes);
    target.checksum = hashBytes(bytes);
    target.state = block_state::sealed;
    m_counts.writes += 1;
    m_counts.bytesIn += bytes.size();
    return absl::OkStatus();
}

absl::StatusOr<std::string> block_store::read(ticket_number number, std::uint32_t index, instant now)
{
    auto found = m_tickets.find(number);
    bool valid = found != m_tickets.end() && !found->second.writes && found->second.until > now
        && index < found->second.blocks.size();
    if (!valid)
        return absl::NotFoundError("no read lease for this block: lease it again");
    const block& source = m_blocks.at(found->second.blocks[index]);
    if (hashBytes(source.bytes) != source.checksum)
        return absl::DataLossError("the block is damaged: recompute it");
    m_counts.reads += 1;
    m_counts.bytesOut += source.bytes.size();
    return source.bytes;
}

// ---------------------------------------------------------------- eviction

// Greedy-Dual-Size-Frequency eviction: the score is the hits times the recompute cost per byte, plus an aging
// term that grows with evictions. Later blocks cost more to recompute because they attend to all blocks
// before them.
void block_store::updateScore(block_number number)
{
    block& each = m_blocks.at(number);
    double recomputeCost = 1.0 + static_cast<double>(each.depth) / 64;
    each.score = m_age + (each.hits + 1) * recomputeCost;
}

void block_store::removeFromEvictable(block_number number)
{
    m_evictable.erase({ m_blocks.at(number).score, number });
}

void block_store::addIfEvictable(block_number number)
{
    const block& each = m_blocks.at(number);
    if (each.state != block_state::sealed || each.leases > 0 || each.children > 0)
        return;
    updateScore(number);
    m_evictable.insert({ m_blocks.at(number).score, number });
}

bool block_store::makeRoom(std::uint64_t bytes, const std::string& customer)
{
    if (bytes > m_options.capacityBytes)
        return false;
    auto quota = static_cast<std::uint64_t>(
        m_options.maxCustomerShare * static_cast<double>(m_options.capacityBytes));
    while (m_usedBytes + bytes > m_options.capacityBytes) {
        bool overQuota = m_customerBytes[customer] + bytes > quota;
        if (!evictOne(overQuota ? &customer : nullptr))
            return false;
    }
    return true;
}

bool block_store::evictOne(const std::string* customer)
{
    for (const auto& [score, number] : m_evictable) {
        const auto& owner = m_owners[m_blocks.at(number).ownerNumber].owner;
        if (customer && owner.customer != *customer)
            continue;
        m_age = std::max(m_age, score);
        m_counts.evictions += 1;
        free(number);
        return true;
    }
    return false;
}

void block_store::free(block_number number)
{
    removeFromEvictable(number);
    block freed = std::move(m_blocks.at(number));
    m_blocks.erase(number);
    auto& owner = m_owners[freed.ownerNumber];
    auto listed = owner.byHash.find(freed.hash);
    if (listed != owner.byHash.end() && listed->second == number)
        owner.byHash.erase(listed);
    m_usedBytes -= freed.size;
    m_customerBytes[owner.owner.customer] -= freed.size;
    if (freed.parent == 0)
        return;
    block& parent = m_blocks.at(freed.parent);
    parent.children -= 1;
    if (parent.state == block_state::freeing && parent.children == 0 && parent.leases == 0)
        free(freed.parent);
    else
        addIfEvictable(freed.parent);
}

std::uint64_t block_store::purge(const std::string& customer)
{
    std::vector<block_number> purged;
    for (auto& owner : m_owners) {
        if (owner.owner.customer != customer)
            continue;
        for (const auto& [hash, number] : owner.byHash)
            purged.push_back(number);
        owner.byHash.clear();
    }
    for (block_number number : purged) {
        removeFromEvictable(number);
        m_blocks.at(number).state = block_state::freeing;
    }
    // Freeing a leaf also frees its purged parents; leased blocks stay until their leases end.
    for (block_number number : purged) {
        auto found = m_blocks.find(number);
        if (found != m_blocks.end() && found->second.leases == 0 && found->second.children == 0)
            free(number);
    }
    return purged.size();
}

} // namespace plumfold::core
