#include "plumfold/core/plumfold_command_clock.hpp"
#include "plumfold/core/plumfold_control_state.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace plumfold::core;

namespace {

constexpr unix_milliseconds noon = 1'700'000'000'000;
constexpr unix_milliseconds step = 2'400'000;
constexpr std::uint32_t leaseMs = 6'000;
const instant start = instant(std::chrono::hours(1));

instant after(unix_milliseconds ms)
{
    return start + milliseconds(ms);
}

bool isGranted(control_state& state, const std::string& holder, unix_milliseconds at)
{
    return std::get<lease_result>(state.apply({ at, lease_command { "orders", holder, leaseMs } })).granted;
}

} // namespace

TEST_CASE("A lease of a holder that is gone ends although the clock of a leader was ahead for a while",
    "[control][clock]")
{
    control_state state;
    command_clock first;
    REQUIRE(isGranted(state, "c1", first.next(noon, after(0))));
    auto ahead = first.next(noon + step + 1'000, after(1'000));
    REQUIRE(isGranted(state, "c1", ahead));
    SECTION("at the same leader")
    {
        CHECK_FALSE(isGranted(state, "c2", first.next(noon + 6'900, after(6'900))));
        CHECK(isGranted(state, "c2", first.next(noon + 7'000, after(7'000))));
    }
    SECTION("at another leader")
    {
        command_clock second;
        second.observe(ahead, after(1'050));
        CHECK_FALSE(isGranted(state, "c2", second.next(noon + 6'900, after(6'900))));
        CHECK(isGranted(state, "c2", second.next(noon + 7'050, after(7'050))));
    }
    SECTION("at another leader that has restarted")
    {
        command_clock second;
        second.observe(ahead, after(3'000));
        CHECK_FALSE(isGranted(state, "c2", second.next(noon + 8'900, after(8'900))));
        CHECK(isGranted(state, "c2", second.next(noon + 9'000, after(9'000))));
    }
}

TEST_CASE("Times of commands do not fall behind when many commands are on their way", "[control][clock]")
{
    command_clock clock;
    auto first = clock.next(noon + step, after(0));
    for (unix_milliseconds ms = 0; ms < 10'000; ms += 5) {
        auto at = clock.next(noon + ms, after(ms));
        clock.observe(at, after(ms + 4)); // committed
    }
    CHECK(clock.next(noon + 10'000, after(10'000)) == first + 10'000);
}

TEST_CASE("Times of commands never decrease and follow the time of day forwards", "[control][clock]")
{
    rc::prop("whatever the clocks of leaders do", [] {
        std::vector<command_clock> clocks(3);
        unix_milliseconds latest = 0;
        unix_milliseconds elapsed = 0;
        for (int count = 0; count < 50; ++count) {
            elapsed += *rc::gen::inRange<unix_milliseconds>(0, 500);
            auto leader = *rc::gen::inRange<std::size_t>(0, 3);
            auto wallClock = noon + *rc::gen::inRange<unix_milliseconds>(0, step);
            auto at = clocks[leader].next(wallClock, after(elapsed));
            RC_ASSERT(at >= latest);
            RC_ASSERT(at >= wallClock);
            latest = at;
            for (auto& each : clocks)
                each.observe(at, after(elapsed));
        }
    });
}
