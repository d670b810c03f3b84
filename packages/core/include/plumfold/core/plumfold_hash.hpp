#pragma once

#include <cstdint>
#include <string_view>

namespace plumfold::core {

/// Hashes bytes with XXH3 (64 bits).
/// @param seed different seeds give independent hashes; pass a previous hash to chain.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Weighted rendezvous hashing: of the candidates for a key, the one with the highest score is chosen, each
/// with a probability in proportion to its weight.
/// @param hash of the candidate and the key.
/// @param weight above 0.
double rendezvousScore(std::uint64_t hash, double weight);

} // namespace plumfold::core
