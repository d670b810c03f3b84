// Plays the load of a site with 28 stores, 140 engines and 60 entries, and checks what callers get.

#include "support/plumfold_fetch_site.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core::testing;

namespace {

/// Share of the prompts whose first event must be in time (docs/developers.md: 95 in 100).
constexpr double neededInTime = 0.95;

fetch_site_options siteWith(std::uint64_t seed, fetch_policy policy = fetch_policy::adaptive)
{
    fetch_site_options options;
    options.seed = seed;
    options.policy = policy;
    return options;
}

} // namespace

TEST_CASE("At the mean load first events are in time, unlike with always or never fetching", "[placement]")
{
    auto seed = GENERATE(1u, 2u, 3u);
    CHECK(play(siteWith(seed)).lowestInTime() >= neededInTime);
    CHECK(play(siteWith(seed, fetch_policy::always)).lowestInTime() < neededInTime);
    CHECK(play(siteWith(seed, fetch_policy::never)).lowestInTime() < neededInTime);
}

TEST_CASE("At 1.4 times the mean load first events are in time", "[placement]")
{
    auto options = siteWith(GENERATE(1u, 2u, 3u));
    options.load = 1.4;
    CHECK(play(options).overall >= neededInTime);
}

// When both links and engines are full for some seconds nobody can be in time, but the queues must not
// outlast the burst.
TEST_CASE(
    "During a burst of twice the load more callers are served in time, and all soon after it", "[placement]")
{
    auto options = siteWith(GENERATE(1u, 2u, 3u));
    options.burstFrom = 4;
    options.burstUntil = 8;
    auto during = [&](fetch_policy policy) {
        auto copy = options;
        copy.policy = policy;
        copy.measureFrom = 4;
        copy.seconds = 8;
        return play(copy).overall;
    };
    CHECK(during(fetch_policy::adaptive) > during(fetch_policy::always));
    CHECK(during(fetch_policy::adaptive) > during(fetch_policy::never));
    options.measureFrom = 10;
    options.seconds = 16;
    CHECK(play(options).lowestInTime() >= neededInTime);
}

TEST_CASE("Entries that know nothing yet serve in time", "[placement]")
{
    auto options = siteWith(GENERATE(1u, 2u, 3u));
    options.measureFrom = 0;
    options.seconds = 2;
    CHECK(play(options).lowestInTime() >= neededInTime);
}

TEST_CASE("At an idle site with fast links nearly all is fetched", "[placement]")
{
    auto options = siteWith(GENERATE(1u, 2u));
    options.load = 0.2;
    options.rateFactor = 4;
    CHECK(play(options).fetchedTokens >= 0.98);
}

TEST_CASE("A wrong number of entries for some seconds delays nobody", "[placement]")
{
    auto options = siteWith(GENERATE(1u, 2u));
    options.countFactor = GENERATE(0.02, 0.25, 2.0, 4.0);
    options.countFrom = 4;
    options.countUntil = 8;
    CHECK(play(options).lowestInTime() >= neededInTime);
}

TEST_CASE("One store whose link is ten times slower than stated does not delay the others", "[placement]")
{
    auto options = siteWith(GENERATE(1u, 2u, 3u));
    options.slowStoreFactor = 10;
    CHECK(play(options).overall >= neededInTime);
}

// What is read when the links are of little use is bounded by the engines: never fetching is the best known.
TEST_CASE("Links that are three times slower than stated are found by measuring", "[placement]")
{
    auto options = siteWith(GENERATE(1u, 2u, 3u));
    options.linkFactor = 3;
    auto withPolicy = [&](fetch_policy policy) {
        auto copy = options;
        copy.policy = policy;
        return play(copy).overall;
    };
    double adaptive = withPolicy(fetch_policy::adaptive);
    CHECK(adaptive > withPolicy(fetch_policy::always));
    CHECK(adaptive >= withPolicy(fetch_policy::never) - 0.05);
}

TEST_CASE("A store that fails takes the time of no other prompts", "[placement]")
{
    auto options = siteWith(GENERATE(1u, 2u, 3u));
    options.failedStoreFrom = 4;
    CHECK(play(options).lowestInTime() >= neededInTime);
}
