#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plumfold::core {

/// Scope of a cached block. Blocks of different owners never match.
struct chain_owner {
    std::string customer;
    std::string model;
    std::string adapter;
    std::string version; ///< Weight version.
    auto operator<=>(const chain_owner&) const = default;
};

/// One hash per full block of a prompt. Each hash also covers all preceding blocks, so equal hashes mean
/// equal prefixes.
using prompt_chain = std::vector<std::uint64_t>;

/// Prompt bytes per block.
inline constexpr std::size_t promptBlockBytes = 1024;

/// Prompt bytes per token, for estimates where no tokenizer is available.
inline constexpr std::size_t promptBytesPerToken = 4;

/// @param owner included in every hash of the chain.
/// @return the hashes of the prompt's full blocks; an incomplete last block is left out.
prompt_chain chainOf(const chain_owner& owner, std::string_view prompt);

/// @return the estimated number of tokens of a prompt, at least 1.
std::uint32_t estimatePromptTokens(std::size_t promptBytes);

} // namespace plumfold::core
