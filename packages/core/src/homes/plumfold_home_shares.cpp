#include "plumfold/core/homes/plumfold_home_shares.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace plumfold::core {

entry_position positionOf(
    const std::string& entry, const std::string& failureDomain, const std::vector<entry_address>& known)
{
    std::set<std::string> names;
    for (const auto& each : known) {
        if (each.failureDomain == failureDomain)
            names.insert(each.name);
    }
    auto found = names.find(entry);
    if (found == names.end())
        return {};
    return { static_cast<std::uint32_t>(std::distance(names.begin(), found)),
        static_cast<std::uint32_t>(names.size()) };
}

double homeShare(const entry_position& position, std::size_t engine, std::size_t engines)
{
    if (!position.isKnown() || engine >= engines)
        return 0;
    // In units of 1 / (entries * engines), so that bounds of equal fractions are equal numbers.
    auto entries = static_cast<std::uint64_t>(position.entries);
    std::uint64_t entryBegin = position.index * static_cast<std::uint64_t>(engines);
    std::uint64_t engineBegin = engine * entries;
    auto begin = std::max(entryBegin, engineBegin);
    auto end = std::min(entryBegin + engines, engineBegin + entries);
    return end <= begin ? 0 : static_cast<double>(end - begin) / static_cast<double>(entries);
}

std::vector<double> homeShares(const entry_position& position, const std::vector<std::string>& names)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(names.size());
    for (std::size_t index = 0; index < names.size(); ++index)
        order.emplace_back(hashBytes(names[index]), index);
    std::sort(order.begin(), order.end(), [&](const auto& left, const auto& right) {
        return std::tie(left.first, names[left.second]) < std::tie(right.first, names[right.second]);
    });
    std::vector<double> shares(names.size());
    for (std::size_t rank = 0; rank < order.size(); ++rank)
        shares[order[rank].second] = homeShare(position, rank, order.size());
    return shares;
}

} // namespace plumfold::core
