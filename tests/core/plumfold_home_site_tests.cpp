#include "support/plumfold_home_site.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace plumfold;
using namespace plumfold::core;
using namespace plumfold::tests;

namespace {

site_result played(
    const site_options& options, const std::function<void(home_site&)>& prepare = [](home_site&) {})
{
    home_site site(options);
    prepare(site);
    return site.run();
}

site_options withHomes(site_options options)
{
    options.usesHomes = true;
    return options;
}

site_options shortRun()
{
    site_options out;
    out.seconds = 8;
    return out;
}

constexpr double maxLateShare = 0.01;

} // namespace

// Guards against entries that send prompts to the same engines at the same time, as their reports suggest.
TEST_CASE("With homes half as many prompts meet another one's prefill as without", "[homes][home_site]")
{
    for (std::uint64_t seed : { 1u, 2u, 3u }) {
        site_options options;
        options.seed = seed;
        auto today = played(options);
        auto homes = played(withHomes(options));
        CAPTURE(seed, today.clumpedShare(), homes.clumpedShare(), today.busyShare, homes.busyShare);
        CHECK(homes.disturbedShare() <= today.disturbedShare() / 2);
    }
}

TEST_CASE("With homes no kind of prompts has more late first events than without", "[homes][home_site]")
{
    for (std::uint64_t seed : { 1u, 2u, 3u }) {
        site_options options;
        options.seed = seed;
        auto today = played(options);
        auto homes = played(withHomes(options));
        for (std::size_t kind = 0; kind < homes.kinds.size(); ++kind) {
            CAPTURE(seed, kind);
            CHECK(homes.kinds[kind].lateShare() <= today.kinds[kind].lateShare());
        }
    }
}

TEST_CASE(
    "With homes one first event in a hundred is late at a sixth of the engines' rate", "[homes][home_site]")
{
    for (std::uint64_t seed : { 1u, 2u, 3u }) {
        site_options options;
        options.seed = seed;
        options.rate = 1.22;
        auto homes = played(withHomes(options));
        CAPTURE(seed);
        CHECK(homes.busyShare == Approx(1.0 / 6).margin(0.01));
        CHECK(homes.worstLateShare() <= maxLateShare);
    }
}

// Guards against homes that are not divided anew, or whose engines stay without requests.
TEST_CASE("First events stay in time while an entry leaves and joins again", "[homes][home_site]")
{
    auto result = played(withHomes(shortRun()), [](home_site& site) {
        site.at(3, [](home_site& each) { each.setPresent(7, false); });
        site.at(4, [](home_site& each) { each.assignPositions(); });
        site.at(5, [](home_site& each) { each.setPresent(7, true); });
        site.at(6, [](home_site& each) { each.assignPositions(); });
    });
    CHECK(result.worstLateShare() <= maxLateShare);
}

// Guards against an entry that waits for its home engines although they are out of service.
TEST_CASE("The engines of a failure domain that is lost are replaced by foreign ones", "[homes][home_site]")
{
    auto lose = [](home_site& site) { site.at(3, [](home_site& each) { each.loseEngines("fd1"); }); };
    auto homes = played(withHomes(shortRun()), lose);
    CHECK(homes.worstLateShare() <= 2 * maxLateShare);
    CHECK(homes.home < homes.started);
}

// Guards against a control VM that sends an index beyond the entries.
TEST_CASE("With a wrong index prompts are distributed as without homes", "[homes][home_site]")
{
    auto today = played(shortRun());
    auto wrong = played(withHomes(shortRun()), [](home_site& site) { site.setPositions({ 15, 15 }); });
    CHECK(wrong.home == 0);
    CHECK(wrong.disturbedShare() == today.disturbedShare());
    CHECK(wrong.clumpedShare() == today.clumpedShare());
}

TEST_CASE("Without reports homes distribute prompts as well", "[homes][home_site]")
{
    auto options = withHomes(shortRun());
    options.hasReports = false;
    CHECK(played(options).worstLateShare() <= 2 * maxLateShare);
}
