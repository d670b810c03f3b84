#include "plumfold/core/plumfold_event_history.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

using namespace plumfold::core;

namespace {

const instant start = instant(std::chrono::hours(1));

instant after(int ms)
{
    return start + milliseconds(ms);
}

} // namespace

TEST_CASE("The earliest report of when a weight version became current is kept", "[weights]")
{
    event_history history;
    history.observeLatest({ { "m", 5 } }, after(8'000)); // learned late
    CHECK(history.firstAfter("m", 4) == after(8'000));
    history.observe({ { "m", 5, milliseconds(7'500) } }, after(8'100));
    CHECK(history.firstAfter("m", 4) == after(600));
    history.observeLatest({ { "m", 5 } }, after(9'000));
    history.observe({ { "m", 5, milliseconds(100) } }, after(9'000));
    CHECK(history.firstAfter("m", 4) == after(600));
    CHECK_FALSE(history.firstAfter("m", 5));
    CHECK_FALSE(history.firstAfter("other", 4));
}

TEST_CASE("A version that was missed counts for targets with older weights", "[weights]")
{
    event_history history;
    history.observeLatest({ { "m", 6 } }, after(5'000));
    history.observe({ { "m", 5, milliseconds(4'000) } }, after(5'000));
    CHECK(history.latest("m") == 6);
    CHECK(history.firstAfter("m", 4) == after(1'000));
    CHECK(history.firstAfter("m", 5) == after(5'000));
}

TEST_CASE("Weights do not count as superseded later although old versions are forgotten", "[weights]")
{
    event_history history;
    for (int version = 5; version <= 12; ++version)
        history.observe("m", static_cast<std::uint64_t>(version), after(version * 100));
    CHECK(history.ages(after(1'200)).size() == 4);
    CHECK(*history.firstAfter("m", 4) <= after(500));
    CHECK(*history.firstAfter("m", 11) == after(1'200));
}

TEST_CASE("Observers that exchange ages never count from later than the earliest of them", "[weights]")
{
    rc::prop("observers with clocks of their own", [] {
        auto namedAt = *rc::gen::inRange(0, 10'000);
        auto observers = *rc::gen::inRange(2, 6);
        std::vector<event_history> all(static_cast<std::size_t>(observers));
        // The clocks of the observers differ by an hour each.
        auto clock = [&](int observer, int ms) { return after(ms) + std::chrono::hours(observer); };
        int time = namedAt;
        int earliest = 0;
        for (int observer = 0; observer < observers; ++observer) {
            auto heardAfter = *rc::gen::inRange(0, 8'000);
            earliest = observer == 0 ? heardAfter : std::min(earliest, heardAfter);
            all[static_cast<std::size_t>(observer)].observeLatest(
                { { "m", 5 } }, clock(observer, namedAt + heardAfter));
            time = std::max(time, namedAt + heardAfter);
        }
        for (int from = 0; from < observers; ++from) {
            for (int to = 0; to < observers; ++to)
                all[static_cast<std::size_t>(to)].observe(
                    all[static_cast<std::size_t>(from)].ages(clock(from, time)), clock(to, time));
        }
        for (int observer = 0; observer < observers; ++observer)
            RC_ASSERT(all[static_cast<std::size_t>(observer)].firstAfter("m", 4)
                == clock(observer, namedAt + earliest));
    });
}

TEST_CASE("An entry that starts after weights were named counts from their naming", "[weights]")
{
    target_selector_options options;
    options.failureDomain = "east";
    target_selector selector(options);
    target_announcement target;
    target.name = "t1";
    target.service = "lm";
    target.address = "127.0.0.1:1";
    target.failureDomain = "east";
    target.models = { { "m", "4", {} } };
    selector.applyAnnouncements({ target }, true, start);
    placement_request request;
    request.service = "lm";
    request.model = "m";
    selector.applyWeightNamings({ { "m", 5, milliseconds(5'900) } }, start);
    selector.setWeights({ { "m", 5 } }, start);
    CHECK(selector.choose(request, start).chosen);
    CHECK_FALSE(selector.choose(request, after(100)).chosen);
}

TEST_CASE("A waiting request is recalled before the time for its target's weights ends", "[weights]")
{
    target_selector_options options;
    options.staleWeightsBound = milliseconds(10'000);
    target_selector selector(options);
    CHECK_FALSE(selector.mustRecall("m", "4", after(20'000))); // no version was named
    selector.applyWeightNamings({ { "m", 5, milliseconds(0) } }, start);
    CHECK_FALSE(selector.mustRecall("m", "4", after(8'000)));
    // A target drops a request within half a second of the close of its connection.
    CHECK(selector.mustRecall("m", "4", after(9'500)));
    CHECK_FALSE(selector.mustRecall("m", "5", after(20'000)));
    CHECK_FALSE(selector.mustRecall("", "", after(20'000)));
}
