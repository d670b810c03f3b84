// Compares adaptive fetches with two simple rules at a site with slow engines, for each kind of prompt.

#include "support/plumfold_fetch_site.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace plumfold::core::testing;

namespace {

constexpr std::uint64_t seeds = 6;

struct site_means {
    std::array<double, 3> late {}; ///< Share of the first events beyond the target, by kind.
    double readTokens = 0; ///< Per prompt.
    double busyStores = 0;
};

site_means meansWith(fetch_policy policy, double load)
{
    site_means out;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto options = slowEngineSite();
        options.seed = seed;
        options.policy = policy;
        options.load = load;
        auto result = play(options);
        for (std::size_t kind = 0; kind < out.late.size(); ++kind)
            out.late[kind] += (1 - result.inTime[kind]) / seeds;
        out.readTokens += result.readTokens / seeds;
        out.busyStores += result.busyStores / seeds;
    }
    return out;
}

} // namespace

// Guards against fetching short parts from stores that are full, and against reading long ones.
TEST_CASE(
    "At a site with slow engines adaptive fetches are no later than the better simple rule", "[placement]")
{
    auto always = meansWith(fetch_policy::always, 1);
    auto longOnly = meansWith(fetch_policy::long_only, 1);
    auto adaptive = meansWith(fetch_policy::adaptive, 1);
    // The model has the site's load.
    CHECK(always.busyStores == Approx(22).margin(1.5));
    for (std::size_t kind = 0; kind < adaptive.late.size(); ++kind) {
        CAPTURE(kind, always.late[kind], longOnly.late[kind], adaptive.late[kind]);
        CHECK(adaptive.late[kind] <= std::min(always.late[kind], longOnly.late[kind]));
    }
    CHECK(adaptive.readTokens < longOnly.readTokens);
}

// Reading short parts while links are idle takes time of engines for nothing.
TEST_CASE("At a site with slow engines short parts are fetched while stores are idle", "[placement]")
{
    auto always = meansWith(fetch_policy::always, 0.2);
    auto adaptive = meansWith(fetch_policy::adaptive, 0.2);
    CHECK(adaptive.readTokens <= 1.25 * always.readTokens);
}
