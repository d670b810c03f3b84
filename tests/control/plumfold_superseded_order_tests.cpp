#include "support/plumfold_lone_control.hpp"

#include <catch2/catch.hpp>

using namespace plumfold;
using tests::lone_control;

// Guards against an order that arrives at the leader behind a later one.
TEST_CASE("An order is rejected if its receiver did not know the last one", "[control][waiting_order]")
{
    lone_control system;
    system.waitForLead();
    auto evacuated = system.order(false, 0);
    REQUIRE(evacuated.accepted);
    auto withdrawn = system.order(true, evacuated.logIndex);
    REQUIRE(withdrawn.accepted);
    auto again = system.order(false, withdrawn.logIndex);
    REQUIRE(again.accepted);
    CHECK_FALSE(system.order(true, evacuated.logIndex).accepted);
    CHECK_FALSE(system.order(true, 0).accepted);
    SECTION("after a restart, too")
    {
        system.restart();
        system.waitForLead();
        CHECK_FALSE(system.order(true, evacuated.logIndex).accepted);
        CHECK_FALSE(system.order(true, 0).accepted);
    }
    SECTION("also behind one that changed nothing")
    {
        auto repeated = system.order(false, again.logIndex);
        REQUIRE(repeated.accepted);
        CHECK_FALSE(system.order(true, again.logIndex).accepted);
        CHECK(system.order(true, repeated.logIndex).accepted);
    }
    SECTION("unless it has no condition")
    {
        CHECK(system.order(true, std::nullopt).accepted);
    }
}
