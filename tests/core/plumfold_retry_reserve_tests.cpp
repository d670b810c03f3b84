#include "plumfold/core/plumfold_retry_reserve.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace plumfold::core;

namespace {

const instant start {};
constexpr milliseconds window { 10'000 };

std::vector<retry_reserve> reservesOf(std::size_t domains, std::uint64_t size)
{
    std::vector<std::string> names;
    for (std::size_t number = 0; number < domains; ++number)
        names.push_back("zone-" + std::to_string(number));
    std::vector<retry_reserve> reserves;
    for (const auto& name : names)
        reserves.emplace_back(name, names, size, window);
    return reserves;
}

std::uint64_t takeAll(std::vector<retry_reserve>& reserves, instant now)
{
    std::uint64_t taken = 0;
    for (auto& each : reserves) {
        while (each.tryTake("pool", now))
            ++taken;
    }
    return taken;
}

} // namespace

TEST_CASE("The parts of all failure domains add up to the reserve of retries", "[retry]")
{
    rc::prop("any size and number of failure domains", [] {
        auto size = *rc::gen::inRange<std::uint64_t>(0, 300);
        auto reserves = reservesOf(*rc::gen::inRange<std::size_t>(1, 40), size);
        RC_ASSERT(takeAll(reserves, start) == size);
        RC_ASSERT(takeAll(reserves, start + window) == 0u);
        RC_ASSERT(takeAll(reserves, start + window + milliseconds(1)) == size);
    });
}

TEST_CASE("A restarted process grants no retry while those of its predecessor count", "[retry]")
{
    auto reserves = reservesOf(1, 5);
    reserves.front().restart(start);
    CHECK(takeAll(reserves, start + window - milliseconds(1)) == 0);
    CHECK(takeAll(reserves, start + window) == 5);
}
