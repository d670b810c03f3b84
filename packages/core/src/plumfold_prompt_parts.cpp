#include "plumfold/core/plumfold_prompt_parts.hpp"

#include "plumfold/core/plumfold_hash.hpp"

namespace plumfold::core {

std::uint64_t conversationOf(const std::vector<prompt_part>& parts)
{
    if (parts.empty())
        return 0;
    const auto& shared = parts.size() > 1 ? parts[parts.size() - 2] : parts.front();
    return hashBytes(shared.id) | 1;
}

std::uint64_t sharedTokensOf(const std::vector<prompt_part>& parts)
{
    std::uint64_t tokens = 0;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index)
        tokens += parts[index].tokens;
    return tokens;
}

} // namespace plumfold::core
