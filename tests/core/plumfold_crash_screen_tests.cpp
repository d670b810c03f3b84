#include "plumfold/core/plumfold_crash_screen.hpp"

#include "support/plumfold_crash_history.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace plumfold::core;
using namespace plumfold::tests;

using namespace std::chrono_literals;

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
