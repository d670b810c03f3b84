#pragma once

#include <cstdint>
#include <string_view>

namespace plumfold::core {

/// Hashes bytes with XXH3 (64 bits).
/// @param seed different seeds give independent hashes; pass a previous hash to chain.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

} // namespace plumfold::core
