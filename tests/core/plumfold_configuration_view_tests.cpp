#include "plumfold/core/plumfold_configuration_view.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

configuration_update wholeOf(const configuration& config)
{
    return { config.revision(), config.digest(), config.records(), {} };
}

} // namespace

TEST_CASE("A view never reverts to an older revision", "[configuration]")
{
    configuration config;
    config.apply(record(failure_domain_record { "east", true, 1 }));
    auto older = wholeOf(config);
    config.apply(record(failure_domain_record { "east", false, 1 }));
    auto newer = wholeOf(config);
    configuration_view view;
    CHECK(view.apply(newer));
    CHECK(view.apply(older)); // a stale update is accepted without effect
    CHECK(view.config().revision() == 2);
    CHECK_FALSE(view.config().failureDomain("east")->inService);
}

TEST_CASE("An update with a wrong digest is rejected", "[configuration]")
{
    configuration config;
    config.apply(record(failure_domain_record { "east", true, 1 }));
    auto update = wholeOf(config);
    update.digest += 1;
    configuration_view view;
    CHECK_FALSE(view.apply(update));
    CHECK_FALSE(view.isKnown());
    SECTION("so are deltas that leave a gap")
    {
        configuration_update gap { 3, 0, std::nullopt,
            { { 3, record(failure_domain_record { "west", true, 1 }) } } };
        CHECK_FALSE(view.apply(gap));
    }
}

TEST_CASE("A view is fresh only up to its maximum age after a quorum confirmed it", "[configuration]")
{
    configuration_view view;
    instant start {};
    CHECK_FALSE(view.isFresh(start, milliseconds(3000)));
    view.confirmed(start);
    CHECK(view.isFresh(start + milliseconds(3000), milliseconds(3000)));
    CHECK_FALSE(view.isFresh(start + milliseconds(3001), milliseconds(3000)));
}
