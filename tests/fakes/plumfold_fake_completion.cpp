#include "plumfold_fake_completion.hpp"

#include "plumfold/core/plumfold_hash.hpp"

namespace plumfold::fakes {

std::string fakeToken(const std::string& prompt, const std::string& version, std::uint32_t index)
{
    constexpr std::uint64_t words = 100'000;
    std::uint64_t hash = core::hashBytes(prompt, core::hashBytes(version, index));
    return 'w' + std::to_string(hash % words) + ' ';
}

std::string fakeCompletionText(const std::string& prompt, const std::string& version, std::uint32_t tokens)
{
    std::string answer;
    for (std::uint32_t index = 0; index < tokens; ++index)
        answer += fakeToken(prompt, version, index);
    return answer;
}

} // namespace plumfold::fakes
