#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plumfold::core {

/// What a cached block belongs to. Blocks of different owners never match.
struct chain_owner {
    std::string customer;
    std::string model;
    std::string adapter;
    std::string version; ///< Weight version.
    auto operator<=>(const chain_owner&) const = default;
};

/// One hash per full block of a prompt; each covers all blocks before it, so equal hashes mean equal
/// prefixes.
using prompt_chain = std::vector<std::uint64_t>;

/// Prompt bytes that one block covers.
inline constexpr std::size_t promptBlockBytes = 1024;

/// Prompt bytes that count as one token where no tokenizer is at hand.
inline constexpr std::size_t promptBytesPerToken = 4;

/// @param owner goes into every hash of the chain.
/// @return the hashes of the prompt's full blocks.
prompt_chain chainOf(const chain_owner& owner, std::string_view prompt);

/// @return an estimate of a prompt's tokens, at least 1.
std::uint32_t estimatePromptTokens(std::size_t promptBytes);

} // namespace plumfold::core
