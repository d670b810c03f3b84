#include "plumfold/core/plumfold_domain_rank.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>

namespace plumfold::core {

std::size_t domainRank(
    const std::string& failureDomain, const std::vector<std::string>& allDomains, const std::string& key)
{
    auto seed = hashBytes(key, 0);
    auto scored = [&](const std::string& domain) { return std::pair(hashBytes(domain, seed), domain); };
    auto own = scored(failureDomain);
    return static_cast<std::size_t>(std::count_if(
        allDomains.begin(), allDomains.end(), [&](const auto& domain) { return scored(domain) < own; }));
}

} // namespace plumfold::core
