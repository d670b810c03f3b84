#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace plumfold::core {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

double rendezvousScore(std::uint64_t hash, double weight)
{
    constexpr double hashRange = 18446744073709551616.0; // 2^64
    double draw = (static_cast<double>(hash) + 1) / hashRange;
    return -weight / std::log(std::min(draw, 1 - 1e-12));
}

} // namespace plumfold::core
