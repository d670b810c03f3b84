#include "support/plumfold_rollout_system.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace plumfold::tests;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds duration { 14'000 };
constexpr milliseconds warmTime { 4'500 }; // after the order: the next targets have just become warm

/// @return the lines of the control VMs' logs on decisions.
std::string decisionsOf(const rollout_system& system)
{
    std::string out;
    for (const char* name : { "c1", "c2", "c3" }) {
        std::istringstream log(system.logOf(name));
        for (std::string line; std::getline(log, line);)
            out += line.find("rollout_decided") == std::string::npos ? "" : line + "\n";
    }
    return out;
}

/// Checks that a good version is completed before the deadline and that nothing runs on former targets then.
void checkCompletion(rollout_system& system)
{
    auto end = system.waitForEnd();
    INFO(decisionsOf(system));
    CHECK(end == "completed");
    CHECK(system.endedBeforeDeadline());
    std::this_thread::sleep_for(milliseconds(1'000));
    system.stopCallers();
    CHECK(system.formerRequests(system.endedAt()) == 0);
    CHECK(system.nextRequests(system.endedAt()) > 0);
}

} // namespace

// Guards against a good version that is rolled back because one of its targets takes few requests, and
// against requests that fail because of its limit.
TEST_CASE_METHOD(rollout_system,
    "A good version is completed although one of its targets limits its requests", "[forwarding][rollout]")
{
    startCallers();
    REQUIRE(startRollout(duration));
    nextTarget(0).setResponseHeaders("Server-Limit: 2\r\n");
    checkCompletion(*this);
    CHECK(servedShareOf(orderedAt(), endedAt()) > 0.99);
}

// Guards against the same if the canary has gone to this target alone.
TEST_CASE_METHOD(rollout_system,
    "A good version is completed although the target of its canary limits its requests",
    "[forwarding][rollout]")
{
    startCallers();
    REQUIRE(startRollout(duration));
    auto canaryTarget = [&]() -> scripted_target* {
        for (std::size_t index = 0; index < targets; ++index) {
            if (!nextTarget(index).requests().empty())
                return &nextTarget(index);
        }
        return nullptr;
    };
    REQUIRE(eventually([&] { return canaryTarget() != nullptr; }, 6));
    canaryTarget()->setResponseHeaders("Server-Limit: 2\r\n");
    checkCompletion(*this);
    CHECK(servedShareOf(orderedAt(), endedAt()) > 0.99);
}

// Guards against a good version that is taken for a slow one because a burst of requests makes both versions
// slower.
TEST_CASE_METHOD(rollout_system, "A good version is completed during a burst of three times the load",
    "[forwarding][rollout]")
{
    startCallers();
    REQUIRE(startRollout(duration));
    std::this_thread::sleep_until(orderedAt() + warmTime);
    {
        steady_callers burst(*this, { 1, 2 }, 2 * requestsPerSecond, "/stock/whole");
        std::this_thread::sleep_for(milliseconds(4'000));
    }
    checkCompletion(*this);
}

// Guards against a good version that is rolled back for failures of links, which hit both versions.
TEST_CASE_METHOD(rollout_system, "A good version is completed while links of entries break repeatedly",
    "[forwarding][rollout]")
{
    enableLinkCuts();
    startCallers();
    REQUIRE(startRollout(duration));
    std::this_thread::sleep_until(orderedAt() + warmTime);
    for (int count = 0; count < 5; ++count) {
        setLinks(link_state::resetting);
        std::this_thread::sleep_for(milliseconds(100));
        setLinks(link_state::whole);
        std::this_thread::sleep_for(milliseconds(700));
    }
    checkCompletion(*this);
}
