#pragma once

#include "plumfold/core/plumfold_relay_helpers.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace plumfold::core {

/// The position of an entry among the entries of its failure domain, in order of their names.
struct entry_position {
    std::uint32_t index = 0;
    std::uint32_t entries = 0; ///< 0: not known.
    /// @return whether the entry has a position; an index beyond the entries is none.
    bool isKnown() const { return index < entries; }
    auto operator<=>(const entry_position&) const = default;
};

/// @param entry name of the entry.
/// @param known the known entries of all failure domains, in any order, possibly repeated.
/// @return the position of the entry; not known if it is not listed.
entry_position positionOf(
    const std::string& entry, const std::string& failureDomain, const std::vector<entry_address>& known);

/// Entry i of n covers [i/n, (i+1)/n), engine j of m covers [j/m, (j+1)/m).
/// @param engine the engine's index, less than engines.
/// @return the share of the engine's interval that the entry covers, 0 to 1; 0 if the position is not known.
double homeShare(const entry_position& position, std::size_t engine, std::size_t engines);

/// Orders engines by the hash of their names and computes the home share of each.
/// @param names of the engines, without repetition.
/// @return the home shares, in the order of the names.
std::vector<double> homeShares(const entry_position& position, const std::vector<std::string>& names);

} // namespace plumfold::core
