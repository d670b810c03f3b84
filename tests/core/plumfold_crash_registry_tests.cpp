#include "plumfold/core/plumfold_crash_registry.hpp"
#include "plumfold/core/plumfold_crash_screen.hpp"
#include "plumfold/core/plumfold_request_traits.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace plumfold::core;

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t guilty = 1;

request_traits requestOf(std::uint64_t fingerprint, std::vector<std::uint64_t> parts = {},
    std::uint64_t customer = 1, bool isIsolated = false)
{
    return { fingerprint, customer, isIsolated, std::move(parts) };
}

/// A registry with a clock and crashes of its own.
struct crash_history {
    crash_registry registry;
    instant now { 100s };
    int targets = 0;

    /// Lets another target end while it runs the requests.
    void crash(const std::vector<std::uint64_t>& requests, const std::string& service = "shop")
    {
        std::vector<request_traits> victims;
        for (auto each : requests)
            victims.push_back(requestOf(each));
        crashWith(std::move(victims), service);
    }

    void crashWith(std::vector<request_traits> victims, const std::string& service = "shop")
    {
        registry.addReport({ "t" + std::to_string(++targets), 1, service, std::move(victims), {} }, now);
        now += 100ms;
    }

    std::set<std::set<std::uint64_t>> condemnedTraits()
    {
        now += 1s;
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
std::uint64_t customerPart(std::uint64_t part, std::uint64_t customer = 1)
{
    return listTraits(requestOf(1, { part }, customer))[1].id;
}

std::uint64_t sharedPart(std::uint64_t part)
{
    return listTraits(requestOf(1, { part }))[2].id;
}

using fingerprints = std::set<std::uint64_t>;

} // namespace

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
    history.registry.withdraw({ guilty });
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

TEST_CASE("An entry keeps verdicts that a control VM does not list until they expire", "[crashes]")
{
    crash_screen screen;
    instant now(100s);
    auto request = listTraits(requestOf(guilty));
    crash_verdict verdict { guilty, { guilty }, 3, 60s, false };
    CHECK(screen.applyVerdicts({ verdict }, now).size() == 1);
    CHECK(screen.applyVerdicts({ verdict }, now).empty());
    CHECK(screen.findVerdict(request, now) == crash_screen::match { guilty, 60s });
    screen.applyVerdicts({}, now + 30s);
    CHECK(screen.findVerdict(request, now + 30s) == crash_screen::match { guilty, 30s });
    CHECK_FALSE(screen.findVerdict(request, now + 60s));
    verdict.isWithdrawn = true;
    screen.applyVerdicts({ verdict }, now + 31s);
    CHECK_FALSE(screen.findVerdict(request, now + 31s));
    CHECK(screen.verdicts() == 0);
}

TEST_CASE("A verdict on parts applies to requests that have all of them", "[crashes][parts]")
{
    crash_screen screen;
    instant now(100s);
    screen.applyVerdicts({ { 1, { customerPart(7), customerPart(8) }, 5, 60s, false },
                             { 2, { sharedPart(9) }, 5, 60s, false } },
        now);
    auto isCondemned = [&](const request_traits& request) {
        return screen.findVerdict(listTraits(request), now).has_value();
    };
    CHECK(isCondemned(requestOf(50, { 7, 8, 10 })));
    CHECK_FALSE(isCondemned(requestOf(51, { 7, 10 })));
    CHECK_FALSE(isCondemned(requestOf(51, { 8, 10 })));
    CHECK_FALSE(isCondemned(requestOf(52, { 7, 8 }, 2)));
    CHECK(isCondemned(requestOf(53, { 9 }, 2)));
    CHECK_FALSE(isCondemned(requestOf(54, { 9 }, 2, true)));
}

TEST_CASE("An entry reports the successes of suspects once in a while", "[crashes]")
{
    crash_screen screen;
    instant now(100s);
    auto sound = listTraits(requestOf(10));
    screen.onSuccess(sound, now);
    CHECK(screen.takeSuccesses(now).empty());
    CHECK(screen.successesOf(sound, now + 1s) == std::vector<suspect_success> { { 10, 1s } });
    CHECK(screen.successesOf(listTraits(requestOf(guilty)), now).empty());
    screen.setSuspects({ { 10, 2 }, { guilty, 3 } });
    auto taken = screen.takeSuccesses(now + 2s);
    REQUIRE(taken.size() == 1);
    CHECK(taken.front() == suspect_success { 10, 2s });
    CHECK(screen.takeSuccesses(now + 2s).empty());
    screen.onSuccess(sound, now + 3s);
    CHECK(screen.takeSuccesses(now + 3s).size() == 1);
    CHECK(screen.successesOf(sound, now + 100s).empty());
}

TEST_CASE("A request is a suspect after one crash, or after two of one of its parts", "[crashes][parts]")
{
    crash_screen screen;
    screen.setSuspects({ { 10, 1 }, { customerPart(7), 2 }, { customerPart(8), 1 } });
    CHECK(screen.isSuspect(listTraits(requestOf(10))));
    CHECK(screen.isSuspect(listTraits(requestOf(11, { 7 }))));
    CHECK_FALSE(screen.isSuspect(listTraits(requestOf(11, { 8 }))));
}

TEST_CASE("A rejection is told to control VMs once in a while", "[crashes]")
{
    crash_screen screen;
    instant now(100s);
    screen.applyVerdicts({ { guilty, { guilty }, 3, 24h, false } }, now);
    CHECK(screen.takeRejection(guilty, now));
    CHECK_FALSE(screen.takeRejection(guilty, now + 1s));
    CHECK(screen.takeRejection(guilty, now + 1h));
    CHECK_FALSE(screen.takeRejection(2, now));
}

TEST_CASE("Repeats of a request have one fingerprint, other requests another", "[crashes]")
{
    std::vector<prompt_part> parts { { "a", 1 }, { "b", 2 } };
    std::vector<prompt_part> otherParts { { "a", 1 }, { "c", 2 } };
    request_content content { "espuma", false, "shop.example", "POST", "/shop/1", "m", "body", parts };
    auto traits = traitsOf(content);
    CHECK(traits == traitsOf(content));
    request_content shifted { "espuma", false, "shop.example", "POST", "/shop/1b", "m", "ody", parts };
    request_content customer { "samvinna", false, "shop.example", "POST", "/shop/1", "m", "body", parts };
    request_content prompt { "espuma", false, "shop.example", "POST", "/shop/1", "m", "body", otherParts };
    for (const auto& other : { shifted, customer, prompt })
        CHECK(traits.fingerprint != traitsOf(other).fingerprint);
    // The last part is the request's own.
    CHECK(traits.parts.size() == 1);
    CHECK(traits.parts == traitsOf(prompt).parts);
}
