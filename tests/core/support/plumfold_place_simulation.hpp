#pragma once

#include "plumfold/core/places/plumfold_place_ledger.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace plumfold::tests {

/// Requests of one kind, with Poisson arrivals.
struct place_load {
    double perSecond = 0;
    std::uint32_t priority = 0;
    std::string customer;
    core::milliseconds maxWait { 0 };
};

/// What became of a request.
enum class place_result { lost, served, rejected, refused };

struct place_trial {
    std::size_t load = 0; ///< Index of its place_load.
    bool isSecondTry = false;
    core::place_refusal refusal = core::place_refusal::none;
    core::instant arrivedAt {};
    core::instant grantedAt {};
    core::instant endedAt {};
    place_result result = place_result::lost;
};

struct place_simulation_options {
    std::vector<place_load> loads;
    core::milliseconds duration { 10'000 };
    bool usesPlaces = true; ///< Otherwise, entries count only their own requests.
    bool doCallersReturn = false; ///< Once, when they were told.
    std::uint64_t seed = 1;
};

constexpr double simulatedCapacity = 500; ///< Requests per second of 5 targets with 6 slots and 60 ms each.

/// Simulates 60 entries that send to 5 targets with 6 slots and a queue of 24.
/// @return all requests.
std::vector<place_trial> simulatePlaces(const place_simulation_options& options);

} // namespace plumfold::tests
