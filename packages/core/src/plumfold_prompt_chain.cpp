#include "plumfold/core/plumfold_prompt_chain.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>

namespace plumfold::core {

prompt_chain chainOf(const chain_owner& owner, std::string_view prompt)
{
    std::uint64_t hash = hashBytes(owner.customer);
    hash = hashBytes(owner.model, hash);
    hash = hashBytes(owner.adapter, hash);
    hash = hashBytes(owner.version, hash);
    prompt_chain chain;
    chain.reserve(prompt.size() / promptBlockBytes);
    for (std::size_t offset = 0; offset + promptBlockBytes <= prompt.size(); offset += promptBlockBytes) {
        hash = hashBytes(prompt.substr(offset, promptBlockBytes), hash);
        chain.push_back(hash);
    }
    return chain;
}

std::uint32_t estimatePromptTokens(std::size_t promptBytes)
{
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, promptBytes / promptBytesPerToken));
}

} // namespace plumfold::core
