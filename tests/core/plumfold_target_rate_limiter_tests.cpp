#include "plumfold/core/plumfold_target_rate_limiter.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>

using namespace plumfold::core;

namespace {

const instant start = instant(std::chrono::hours(1));

} // namespace

TEST_CASE("Starts on a limited target stay within its limit in any four seconds and use nearly all of it",
    "[limit]")
{
    rc::prop("for any limit and any times of the requests", [] {
        double perSecond = *rc::gen::inRange(1, 200) / 10.0;
        std::mt19937 random(*rc::gen::arbitrary<unsigned>());
        target_rate_limiter limiter;
        std::vector<instant> granted;
        constexpr milliseconds duration { 40'000 };
        auto pause = *rc::gen::inRange(1, 60);
        for (auto now = start; now < start + duration;) {
            if (limiter.tryStart("t", 1, perSecond, now).isGranted)
                granted.push_back(now);
            now += milliseconds(1 + random() % static_cast<unsigned>(pause));
        }
        // A grant may be used until its lifetime ends, so starts in 4 s come from grants in a longer span.
        auto span = milliseconds(4'000) + startGrantLifetime;
        for (auto first = granted.begin(); first != granted.end(); ++first) {
            auto count = std::count_if(first, granted.end(), [&](instant at) { return at - *first < span; });
            RC_ASSERT(static_cast<double>(count) <= 1.5 * 4 * perSecond + 5);
        }
        RC_ASSERT(static_cast<double>(granted.size()) >= 0.9 * perSecond * 40 - 2);
    });
}

TEST_CASE("Starts are granted as they accumulate", "[limit]")
{
    target_rate_limiter limiter;
    auto refused = limiter.tryStart("t", 1, 2, start);
    CHECK_FALSE(refused.isGranted);
    CHECK(refused.retryAfter == milliseconds(500));
    CHECK(limiter.tryStart("t", 1, 2, start + milliseconds(500)).isGranted);
    CHECK_FALSE(limiter.tryStart("t", 1, 2, start + milliseconds(501)).isGranted);
    SECTION("not to more than one after a long time at a low limit")
    {
        CHECK(limiter.tryStart("t", 1, 2, start + milliseconds(60'000)).isGranted);
        CHECK_FALSE(limiter.tryStart("t", 1, 2, start + milliseconds(60'000)).isGranted);
    }
    SECTION("anew for another incarnation")
    {
        CHECK_FALSE(limiter.tryStart("t", 2, 2, start + milliseconds(10'000)).isGranted);
    }
    SECTION("from the time at which a predecessor has ended")
    {
        limiter.restart(start + milliseconds(10'000));
        CHECK_FALSE(limiter.tryStart("t", 1, 2, start + milliseconds(1'000)).isGranted);
        CHECK_FALSE(limiter.tryStart("t", 1, 2, start + milliseconds(10'499)).isGranted);
        CHECK(limiter.tryStart("t", 1, 2, start + milliseconds(10'500)).isGranted);
    }
    SECTION("now and then to a target that takes none, so that the end of its limit is noticed")
    {
        CHECK(limiter.tryStart("none", 1, 0, start).retryAfter == milliseconds(10'000));
        CHECK(limiter.tryStart("none", 1, 0, start + milliseconds(10'000)).isGranted);
    }
}
