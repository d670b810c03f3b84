#pragma once

#include "plumfold/core/plumfold_crash_registry.hpp"
#include "plumfold/core/plumfold_request_traits.hpp"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plumfold::tests {

using fingerprints = std::set<std::uint64_t>;

inline constexpr std::uint64_t guilty = 1; ///< Fingerprint of a request that crashes targets.

inline core::request_traits requestOf(std::uint64_t fingerprint, std::vector<std::uint64_t> parts = {},
    std::uint64_t customer = 1, bool isIsolated = false)
{
    return { fingerprint, customer, isIsolated, std::move(parts) };
}

/// A registry with a clock and crashes of its own.
struct crash_history {
    core::crash_registry registry;
    core::instant now { std::chrono::seconds(100) };
    int targets = 0;

    /// Lets another target end while it runs the requests.
    void crash(const std::vector<std::uint64_t>& requests, const std::string& service = "shop")
    {
        std::vector<core::request_traits> victims;
        for (auto each : requests)
            victims.push_back(requestOf(each));
        crashWith(std::move(victims), service);
    }

    void crashWith(std::vector<core::request_traits> victims, const std::string& service = "shop")
    {
        registry.addReport({ "t" + std::to_string(++targets), 1, service, std::move(victims), {} }, now);
        now += std::chrono::milliseconds(100);
    }

    std::set<std::set<std::uint64_t>> condemnedTraits()
    {
        now += std::chrono::seconds(1);
        std::set<std::set<std::uint64_t>> all;
        for (const auto& each : registry.condemn(now))
            all.insert(each.traits);
        return all;
    }

    std::set<std::uint64_t> condemned()
    {
        std::set<std::uint64_t> all;
        for (const auto& each : condemnedTraits())
            all.insert(each.begin(), each.end());
        return all;
    }
};

/// @return the ids of a part's traits, as requests of a customer have them.
inline std::uint64_t customerPart(std::uint64_t part, std::uint64_t customer = 1)
{
    return core::listTraits(requestOf(1, { part }, customer))[1].id;
}

inline std::uint64_t sharedPart(std::uint64_t part)
{
    return core::listTraits(requestOf(1, { part }))[2].id;
}

} // namespace plumfold::tests
