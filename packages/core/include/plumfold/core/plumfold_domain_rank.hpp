#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace plumfold::core {

/// Ranks failure domains by rendezvous hashing, so that all agree on a few of them without a message.
/// @param key what is ranked for; the order differs from key to key.
/// @return the number of failure domains that come before the given one.
std::size_t domainRank(
    const std::string& failureDomain, const std::vector<std::string>& allDomains, const std::string& key);

} // namespace plumfold::core
