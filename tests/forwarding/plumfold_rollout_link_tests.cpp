#include "support/plumfold_rollout_system.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::tests;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds duration { 14'000 };
constexpr milliseconds warmTime { 4'500 }; // after the order: the next targets have just become warm
constexpr milliseconds observation { 2'000 }; // after the end of a rollout

bool isLogged(const rollout_system& system, const std::string& process, const std::string& text)
{
    return system.logOf(process).find(text) != std::string::npos;
}

/// Cuts the first entry from all targets while the canary runs.
void cutDuringCanary(rollout_system& system)
{
    std::this_thread::sleep_until(system.orderedAt() + warmTime);
    system.setLink(1, link_state::resetting);
    std::this_thread::sleep_for(milliseconds(4'000));
    system.setLink(1, link_state::whole);
}

} // namespace

// Guards against a good version that is rolled back because an entry relays its requests, and against
// requests that a helper sends to former targets after they may be stopped.
TEST_CASE_METHOD(
    rollout_system, "A good version is completed while an entry relays its requests", "[forwarding][rollout]")
{
    enableLinkCuts();
    startCallers();
    REQUIRE(startRollout(duration));
    cutDuringCanary(*this);
    CHECK(waitForEnd() == "completed");
    CHECK(endedBeforeDeadline());
    std::this_thread::sleep_for(observation);
    stopCallers();
    CHECK(isLogged(*this, "n1", "event=request_relayed"));
    CHECK(formerRequests(endedAt()) == 0);
    CHECK(nextRequests(endedAt()) > 0);
}

// Guards against a relayed request that reaches a bad version beyond the share, or that is not counted.
TEST_CASE_METHOD(rollout_system, "A bad version is rolled back within its bounds while an entry relays",
    "[forwarding][rollout]")
{
    enableLinkCuts();
    scripted_version bad;
    bad.failurePortion = 0.25;
    bad.goodFor = milliseconds(5'500); // becomes bad while the entry relays
    startCallers();
    REQUIRE(startRollout(duration, bad));
    cutDuringCanary(*this);
    CHECK(waitForEnd() == "rolled_back");
    std::this_thread::sleep_for(observation);
    stopCallers();
    CHECK(isLogged(*this, "n1", "event=request_relayed"));
    CHECK(keepsExposure());
    CHECK(lateRequests() == 0);
    CHECK(nextRequests(endedAt() + milliseconds(1'000)) == 0);
}

// Guards against a good version that is rolled back since one of its targets becomes warm late, and against a
// shift before that.
TEST_CASE_METHOD(rollout_system, "A good version is completed although one of its targets is cold for long",
    "[forwarding][rollout]")
{
    constexpr milliseconds longColdTime { 8'500 };
    setNextColdTime(0, longColdTime);
    startCallers();
    REQUIRE(startRollout(duration));
    auto warmAt = orderedAt() + longColdTime;
    CHECK(waitForEnd() == "completed");
    CHECK(endedAt() > warmAt);
    CHECK(endedBeforeDeadline());
    std::this_thread::sleep_for(observation);
    stopCallers();
    // The share is not raised above the canary's before nine tenths of the former slots are warm.
    auto next = static_cast<double>(nextRequests(orderedAt(), warmAt));
    auto all = next + static_cast<double>(formerRequests(orderedAt(), warmAt));
    CHECK(next <= 0.1 * all);
    CHECK(formerRequests(endedAt()) == 0);
    CHECK(servedShareOf(orderedAt(), endedAt() + observation) > 0.99);
}
