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

TEST_CASE("A request that ran on three targets when they ended is condemned", "[crashes]")
{
    crash_history history;
    history.crash({ guilty, 10 });
    history.crash({ guilty, 11, 12 });
    CHECK(history.condemned().empty());
    history.crash({ guilty });
    CHECK(history.condemned() == fingerprints { guilty });
    CHECK(history.condemned().empty()); // once
}

TEST_CASE("Reports of several entries about one target count as one crash", "[crashes]")
{
    crash_history history;
    for (int entry = 0; entry < 4; ++entry)
        history.registry.addReport({ "t", 1, "shop", { requestOf(guilty) }, {} }, history.now);
    CHECK(history.condemned().empty());
    history.registry.addReport({ "t", 2, "shop", { requestOf(guilty) }, {} }, history.now);
    history.registry.addReport({ "t", 3, "shop", { requestOf(guilty) }, {} }, history.now);
    CHECK(history.condemned() == fingerprints { guilty });
}

TEST_CASE("A verdict waits until the reports about a crash have settled", "[crashes]")
{
    crash_history history;
    for (int count = 0; count < 3; ++count)
        history.crash({ guilty });
    CHECK(history.registry.condemn(history.now - 50ms).empty());
    CHECK(history.condemned() == fingerprints { guilty });
}

TEST_CASE("A request that ran beside one that crashed more targets is not condemned", "[crashes]")
{
    crash_history history;
    history.crash({ guilty });
    for (int count = 0; count < 5; ++count)
        history.crash({ guilty, 10 });
    CHECK(history.condemned() == fingerprints { guilty });
    CHECK(history.condemned().empty());
}

TEST_CASE("Two requests that always ran together are not condemned before they part", "[crashes]")
{
    crash_history history;
    for (int count = 0; count < 4; ++count)
        history.crash({ guilty, 10 });
    CHECK(history.condemned().empty());
    history.crash({ guilty });
    CHECK(history.condemned() == fingerprints { guilty });
}

TEST_CASE("A request that succeeds after a crash, or shortly before, did not cause it", "[crashes]")
{
    crash_history history;
    SECTION("after it")
    {
        for (int count = 0; count < 3; ++count)
            history.crash({ 10 });
        history.registry.addSuccess(10, history.now);
    }
    SECTION("shortly before it")
    {
        history.registry.addSuccess(10, history.now);
        for (int count = 0; count < 3; ++count)
            history.crash({ 10 });
    }
    CHECK(history.condemned().empty());
    CHECK(history.registry.suspects(history.now).empty());
}

TEST_CASE("A request that succeeded long before it crashes targets is condemned", "[crashes]")
{
    crash_history history;
    history.registry.addSuccess(guilty, history.now);
    history.now += 11s;
    for (int count = 0; count < 3; ++count)
        history.crash({ guilty });
    CHECK(history.condemned() == fingerprints { guilty });
}

TEST_CASE("A request is not condemned for crashes that are mostly without it", "[crashes]")
{
    crash_history history;
    for (std::uint64_t count = 0; count < 9; ++count)
        history.crash({ 100 + count });
    for (int count = 0; count < 3; ++count)
        history.crash({ 10 });
    CHECK(history.condemned().empty());
    SECTION("crashes of another service do not count")
    {
        for (int count = 0; count < 3; ++count)
            history.crash({ guilty }, "words");
        CHECK(history.condemned() == fingerprints { guilty });
    }
    SECTION("crashes long before do not count")
    {
        history.now += 60s;
        for (int count = 0; count < 3; ++count)
            history.crash({ guilty });
        CHECK(history.condemned() == fingerprints { guilty });
    }
    SECTION("many crashes condemn in any case")
    {
        for (int count = 0; count < 6; ++count)
            history.crash({ guilty });
        CHECK(history.condemned() == fingerprints { guilty });
    }
}

TEST_CASE("Two requests that crash targets at the same time are both condemned", "[crashes]")
{
    crash_history history;
    for (int count = 0; count < 5; ++count) {
        history.crash({ guilty });
        history.crash({ 2 });
    }
    CHECK(history.condemned() == fingerprints { guilty, 2 });
}

TEST_CASE("A withdrawn verdict needs new crashes", "[crashes]")
{
    crash_history history;
    for (int count = 0; count < 3; ++count)
        history.crash({ guilty });
    REQUIRE(history.condemned() == fingerprints { guilty });
    history.registry.withdraw({ guilty }, history.now);
    CHECK(history.condemned().empty());
    for (int count = 0; count < 3; ++count)
        history.crash({ guilty });
    CHECK(history.condemned() == fingerprints { guilty });
}

TEST_CASE("Crashes without a guilty request condemn nobody, with one only that one", "[crashes][property]")
{
    rc::prop("random crashes with requests that are tried up to four times", [] {
        crash_history history;
        bool hasGuilty = *rc::gen::arbitrary<bool>();
        auto crashes = *rc::gen::inRange(1, 40);
        history.crash({ 9 });
        std::uint64_t next = 10;
        std::vector<std::pair<std::uint64_t, int>> repeated; // request and its tries so far
        fingerprints all;
        for (int count = 0; count < crashes; ++count) {
            std::vector<std::uint64_t> victims;
            if (hasGuilty)
                victims.push_back(guilty);
            auto news = *rc::gen::inRange(0, 4);
            for (int index = 0; index < news; ++index) {
                victims.push_back(next);
                repeated.emplace_back(next++, 1);
            }
            // One in eight of the requests that were lost before is on this target again.
            for (auto& [request, tries] : repeated) {
                bool isHere = *rc::gen::inRange(0, 8) == 0;
                if (tries >= 4 || !isHere || std::count(victims.begin(), victims.end(), request) > 0)
                    continue;
                ++tries;
                victims.push_back(request);
            }
            history.crash(victims);
            for (const auto& each : history.registry.condemn(history.now))
                all.insert(each.traits.begin(), each.traits.end());
        }
        all.merge(history.condemned());
        RC_ASSERT(!hasGuilty || crashes < 6 || all.contains(guilty));
        all.erase(guilty);
        RC_ASSERT(all.empty());
    });
}

TEST_CASE("The registry keeps a limited number of crashes, of victims and of suspects", "[crashes]")
{
    crash_registry_options options;
    options.maxCrashes = 10;
    options.maxVictims = 4;
    options.maxSuspects = 5;
    crash_registry registry(options);
    for (std::uint64_t count = 0; count < 100; ++count) {
        crash_report report { "t" + std::to_string(count), 1, "shop", {}, {} };
        for (std::uint64_t victim = 0; victim < 20; ++victim)
            report.victims.push_back(requestOf(100 * count + victim));
        registry.addReport(report, instant(count * 1s));
    }
    CHECK(registry.crashes() == 10);
    CHECK(registry.suspects(instant(100s)).size() == 5);
    registry.expire(instant(10'000s));
    CHECK(registry.crashes() == 0);
}
