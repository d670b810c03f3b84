#include "plumfold/core/plumfold_pause_detector.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

const instant start = instant(std::chrono::hours(1));

/// @return a detector that has ticked every 40 ms for a second up to the start.
pause_detector runningDetector()
{
    pause_detector detector;
    for (auto at = start - milliseconds(1'000); at <= start; at += milliseconds(40))
        detector.tick(at);
    return detector;
}

} // namespace

TEST_CASE("A process that ticks regularly has not stood still", "[pause]")
{
    auto detector = runningDetector();
    CHECK_FALSE(detector.tick(start + milliseconds(300)));
    CHECK(detector.possibleWait(start + milliseconds(340)) == milliseconds(0));
}

TEST_CASE("What is read after a pause may have waited since its start", "[pause]")
{
    auto detector = runningDetector();
    auto end = start + milliseconds(4'000);
    SECTION("before the first tick after it")
    {
        CHECK(detector.possibleWait(end) == milliseconds(4'000));
    }
    SECTION("after the first tick, until the backlog has been read")
    {
        CHECK(detector.tick(end));
        CHECK(detector.possibleWait(end + milliseconds(500)) == milliseconds(4'500));
        CHECK_FALSE(detector.tick(end + milliseconds(500)));
        CHECK(detector.possibleWait(end + milliseconds(1'000)) == milliseconds(0));
    }
    SECTION("when another pause follows before the backlog has been read")
    {
        detector.tick(end);
        auto second = end + milliseconds(2'000);
        CHECK(detector.possibleWait(second) == milliseconds(6'000));
        CHECK(detector.tick(second));
        CHECK(detector.possibleWait(second + milliseconds(500)) == milliseconds(6'500));
    }
}
