#pragma once

#include "plumfold/core/plumfold_prompt_chain.hpp"
#include "plumfold/core/plumfold_target_report.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace plumfold::core {

/// Tracks which targets probably hold which prompt blocks in their KV cache. Entries are hints: a wrong one
/// costs time, never correctness. Memory is bounded: the older half is dropped when the index is full.
class prefix_index {
public:
    /// @param maxBlocks upper limit of the blocks indexed.
    explicit prefix_index(std::size_t maxBlocks);

    /// Records that a target ran a prompt and therefore holds its blocks.
    void add(const std::string& target, const prompt_chain& chain);

    /// Applies a target's cache events. After a gap in their sequence all entries of the target are dropped.
    void apply(const cache_events& events);

    /// Drops all entries of a target.
    void remove(const std::string& target);

    /// @return for each target, how many blocks at the start of the chain it probably holds. Targets without
    /// any are omitted.
    std::map<std::string, std::uint32_t> match(const prompt_chain& chain) const;

    std::size_t size() const { return m_current.size() + m_previous.size(); }

private:
    using target_number = std::uint16_t;
    static constexpr std::size_t holdersPerBlock = 4;
    static constexpr target_number noTarget = 0;
    struct holders {
        std::array<target_number, holdersPerBlock> targets {};
    };
    struct stream_position {
        std::uint64_t incarnation = 0;
        std::uint64_t next = 0;
    };
    using block_map = std::unordered_map<std::uint64_t, holders>;

    target_number numberOf(const std::string& target);
    void addBlock(target_number target, std::uint64_t block);
    void removeBlock(target_number target, std::uint64_t block);
    const holders* find(std::uint64_t block) const;

    std::size_t m_maxBlocks;
    block_map m_current; // recently used
    block_map m_previous; // dropped as a whole when m_current is full
    std::vector<std::string> m_names { "" }; // by target number; empty for removed targets
    std::unordered_map<std::string, target_number> m_numbers;
    std::map<std::string, stream_position> m_positions;
};

} // namespace plumfold::core
