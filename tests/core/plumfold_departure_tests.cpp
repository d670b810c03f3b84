#include "plumfold/core/plumfold_departure.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace plumfold::core;

namespace {

command leave(const departure& each, unix_milliseconds at)
{
    return { at, lease_command { departureLeaseName(each), "targets", departureLeaseMs } };
}

} // namespace

TEST_CASE("A departure is read back from the name of its lease, whatever the target's name", "[departure]")
{
    rc::prop("names and starts", [](const std::string& name, std::uint64_t startedAt) {
        departure each { name, startedAt };
        RC_ASSERT(parseDepartureLease(departureLeaseName(each)) == each);
    });
    for (const char* other : { "", "departure/", "departure/t1", "departure/t1/", "departure/t1/x",
             "departure/t1/-1", "shared-limits/east", "software-version/shop/v1" }) {
        CAPTURE(other);
        CHECK_FALSE(parseDepartureLease(other));
    }
}

TEST_CASE("Departures are kept for their time and then removed, in snapshots, too", "[departure]")
{
    control_state state;
    constexpr unix_milliseconds start = 1'000'000;
    state.apply({ start, lease_command { "shared-limits/east", "c1", 1'000 } });
    state.apply(leave({ "t1", 5 }, start));
    state.apply(leave({ "t2", 6 }, start + departureLeaseMs - 1));
    std::vector<departure> both { { "t1", 5 }, { "t2", 6 } };
    CHECK(departuresOf(state.leases()) == both);
    CHECK(departuresOf(control_state(state.snapshot()).leases()) == both);
    state.apply(leave({ "t3", 7 }, start + departureLeaseMs));
    std::vector<departure> later { { "t2", 6 }, { "t3", 7 } };
    CHECK(departuresOf(state.leases()) == later);
    CHECK(state.leases().contains("shared-limits/east"));
}
