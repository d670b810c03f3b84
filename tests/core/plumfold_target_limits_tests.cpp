#include "plumfold/core/plumfold_target_selector.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

const instant start = instant(std::chrono::hours(1));

instant after(int ms)
{
    return start + milliseconds(ms);
}

target_announcement announcement(
    const std::string& name, unix_milliseconds startedAt = 1, std::uint64_t sequence = 1)
{
    target_announcement out { name, "s", "address", "a", 8 };
    out.startedAt = startedAt;
    out.sequence = sequence;
    return out;
}

placement_request request()
{
    placement_request out;
    out.service = "s";
    return out;
}

/// A selector that knows two targets.
struct selector_of_two {
    selector_of_two()
    {
        selector.applyAnnouncements({ announcement("t1"), announcement("t2") }, true, start);
    }

    target_selector selector { target_selector_options { "a", "n1" } };
};

} // namespace

TEST_CASE_METHOD(selector_of_two, "A target that asks for rest gets no request until the rest ends", "[rest]")
{
    selector.onRestRequested("t1", 1, after(3'000));
    CHECK(selector.restingTargets("s", start) == std::set<std::string> { "t1" });
    for (int count = 0; count < 20; ++count)
        CHECK(selector.choose(request(), start).chosen->target == "t2");
    SECTION("the longest rest applies")
    {
        selector.onRestRequested("t1", 1, after(1'000));
        CHECK(selector.isResting("t1", after(2'999)));
        CHECK_FALSE(selector.isResting("t1", after(3'000)));
    }
    SECTION("if all rest, requests are rejected until the first rest ends")
    {
        selector.onRestRequested("t2", 1, after(2'000));
        auto result = selector.choose(request(), after(500));
        CHECK_FALSE(result.chosen);
        CHECK(result.reason == placement_failure::resting);
        CHECK(result.retryAfter == milliseconds(1'500));
        CHECK(selector.choose(request(), after(2'000)).chosen->target == "t2");
    }
    SECTION("a later incarnation has not asked for it")
    {
        selector.applyAnnouncements({ announcement("t1", 2) }, false, after(100));
        CHECK_FALSE(selector.isResting("t1", after(100)));
        selector.onRestRequested("t1", 1, after(5'000));
        CHECK_FALSE(selector.isResting("t1", after(100)));
    }
}

TEST_CASE_METHOD(selector_of_two, "A limited target gets no request while its start is refused", "[limit]")
{
    selector.onStatement({ "t1", 1, 2.0, 0 }, start);
    CHECK(selector.isRateLimited("t1"));
    CHECK_FALSE(selector.isRateLimited("t2"));
    selector.onRateLimitDecision("t1", { false, milliseconds(400) }, start);
    for (int count = 0; count < 20; ++count)
        CHECK(selector.choose(request(), start).chosen->target == "t2");
    selector.onStatement({ "t2", 1, 2.0, 0 }, start);
    selector.onRateLimitDecision("t2", { false, milliseconds(300) }, start);
    auto result = selector.choose(request(), start);
    CHECK(result.reason == placement_failure::rate_limited);
    CHECK(result.retryAfter == milliseconds(300));
    result = selector.choose(request(), after(300));
    REQUIRE(result.chosen);
    CHECK(result.chosen->target == "t2");
    CHECK(result.chosen->isRateLimited);
    auto unlimitedOnly = request();
    unlimitedOnly.isUnlimitedOnly = true;
    CHECK_FALSE(selector.choose(unlimitedOnly, after(500)).chosen);
    CHECK_FALSE(selector.hasWarmTarget(request(), after(500)));
}

TEST_CASE_METHOD(
    selector_of_two, "Without the control VM that grants starts every entry has a small part", "[limit]")
{
    constexpr int entries = 9;
    constexpr double limit = 1.8;
    int granted = 0;
    for (int number = 0; number < entries; ++number) {
        target_selector each(target_selector_options { "a", "n" + std::to_string(number) });
        each.applyAnnouncements({ announcement("t1") }, true, start);
        each.setEntryCount(entries, start);
        each.onStatement({ "t1", 1, limit, 0 }, start);
        for (int ms = 0; ms < 40'000; ms += 10)
            granted += each.tryStartWithoutIssuer("t1", after(ms)).isGranted;
    }
    CHECK(granted <= limit * 40 / 4 + entries);
    CHECK(granted >= limit * 40 / 4 - entries);
}
