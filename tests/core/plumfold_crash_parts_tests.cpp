#include "support/plumfold_crash_history.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace plumfold::core;
using namespace plumfold::tests;

using namespace std::chrono_literals;

TEST_CASE(
    "A part that requests on four targets had in common is condemned for its customer", "[crashes][parts]")
{
    crash_history history;
    for (std::uint64_t count = 0; count < 3; ++count)
        history.crashWith(
            { requestOf(100 + count, { 7, 20 + count }), requestOf(200 + count, { 30 + count }) });
    CHECK(history.condemnedTraits().empty());
    history.crashWith({ requestOf(103, { 7, 23 }) });
    CHECK(history.condemned() == fingerprints { customerPart(7) });
    SECTION("and for all once another customer's request with it crashes a target")
    {
        history.crashWith({ requestOf(110, { 7 }, 2) });
        CHECK(history.condemned() == fingerprints { sharedPart(7) });
    }
    SECTION("but not for all because of an isolated customer, whose parts are its own")
    {
        history.crashWith({ requestOf(110, { 7 }, 2, true) });
        CHECK(history.condemned().empty());
    }
}

TEST_CASE("A part that several customers' requests had in common is condemned for all", "[crashes][parts]")
{
    crash_history history;
    for (std::uint64_t count = 0; count < 4; ++count)
        history.crashWith({ requestOf(100 + count, { 7 }, 1 + count % 2) });
    CHECK(history.condemned() == fingerprints { sharedPart(7) });
}

TEST_CASE("A part that requests of several customers had in common on each target is condemned for all",
    "[crashes][parts]")
{
    crash_history history;
    for (std::uint64_t count = 0; count < 6; ++count)
        history.crashWith({ requestOf(100 + count, { 7 }, 1), requestOf(200 + count, { 7 }, 2) });
    CHECK(history.condemned() == fingerprints { sharedPart(7) });
}

TEST_CASE("A part is not condemned for one request that is repeated", "[crashes][parts]")
{
    crash_history history;
    for (int count = 0; count < 8; ++count)
        history.crashWith({ requestOf(guilty, { 7 }) });
    CHECK(history.condemned() == fingerprints { guilty });
    CHECK(history.condemned().empty());
}

TEST_CASE("A part is condemned although one of its requests was condemned before", "[crashes][parts]")
{
    crash_history history;
    for (int count = 0; count < 4; ++count)
        history.crashWith({ requestOf(guilty, { 7 }), requestOf(50, { 8 }) });
    history.crashWith({ requestOf(guilty, { 7 }) });
    REQUIRE(history.condemned() == fingerprints { guilty });
    history.crashWith({ requestOf(2, { 7 }) });
    CHECK(history.condemned().empty());
    history.crashWith({ requestOf(3, { 7 }) });
    CHECK(history.condemned() == fingerprints { customerPart(7) });
}

TEST_CASE("A part that succeeds for any customer is not condemned", "[crashes][parts]")
{
    crash_history history;
    auto crash = [&] {
        for (std::uint64_t count = 0; count < 6; ++count)
            history.crashWith({ requestOf(100 + count, { 7, 8 }) });
    };
    SECTION("shortly before")
    {
        history.registry.addSuccess(sharedPart(8), history.now);
        crash();
    }
    SECTION("afterwards")
    {
        crash();
        history.registry.addSuccess(sharedPart(8), history.now);
    }
    CHECK(history.condemned() == fingerprints { customerPart(7) });
}

TEST_CASE("Parts that always came together are condemned together, until one comes alone", "[crashes][parts]")
{
    crash_history history;
    for (std::uint64_t count = 0; count < 5; ++count)
        history.crashWith({ requestOf(100 + count, { 7, 8 }) });
    CHECK(history.condemnedTraits()
        == std::set<std::set<std::uint64_t>> { { customerPart(7), customerPart(8) } });
    CHECK(history.condemned().empty());
    SECTION("and crashes a target")
    {
        history.crashWith({ requestOf(110, { 7 }) });
    }
    SECTION("and the other one succeeds")
    {
        history.registry.addSuccess(customerPart(8), history.now);
    }
    CHECK(history.condemned() == fingerprints { customerPart(7) });
}

TEST_CASE("A part beside one that crashed more targets is not condemned", "[crashes][parts]")
{
    crash_history history;
    for (std::uint64_t count = 0; count < 12; ++count)
        history.crashWith({ requestOf(100 + count, { 7, 20 + count }), requestOf(200 + count, { 8 }),
            requestOf(300 + count / 4, { 9 }) });
    history.crashWith({ requestOf(120, { 7 }) });
    CHECK(history.condemned() == fingerprints { customerPart(7) });
}

TEST_CASE("Crashes of requests of many conversations condemn no part", "[crashes][parts][property]")
{
    rc::prop("random crashes, whose conversations and first parts succeed in between", [] {
        crash_history history;
        history.crashWith({ requestOf(9, { 9 }) });
        auto crashes = *rc::gen::inRange(1, 40);
        bool hasGuilty = *rc::gen::arbitrary<bool>();
        std::uint64_t next = 1'000;
        fingerprints all;
        for (int count = 0; count < crashes; ++count) {
            std::vector<request_traits> victims;
            auto news = *rc::gen::inRange(0, 5);
            for (int index = 0; index < news; ++index) {
                auto session = 100 + *rc::gen::inRange<std::uint64_t>(0, 30);
                victims.push_back(requestOf(next++, { 10, session }));
            }
            if (hasGuilty)
                victims.push_back(requestOf(next++, { 7, 10 }));
            history.crashWith(std::move(victims));
            // Each conversation is served again between two crashes of its own.
            for (std::uint64_t session = 100; session < 130; ++session)
                if (count % 3 == static_cast<int>(session % 3))
                    history.registry.addSuccess(customerPart(session), history.now);
            history.registry.addSuccess(customerPart(10), history.now);
            for (const auto& each : history.registry.condemn(history.now))
                all.insert(each.traits.begin(), each.traits.end());
        }
        all.merge(history.condemned());
        RC_ASSERT(!hasGuilty || crashes < 8 || all.contains(customerPart(7)));
        all.erase(customerPart(7));
        RC_ASSERT(all.empty());
    });
}
