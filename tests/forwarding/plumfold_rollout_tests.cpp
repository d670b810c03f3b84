#include "support/plumfold_rollout_system.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace plumfold::tests;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds duration { 14'000 };
constexpr milliseconds disruptionDelay { 4'500 }; // after the order: the next targets have just become warm
constexpr milliseconds closingTime { 200 }; // in which a target notices that its caller closed a stream
constexpr milliseconds observation { 2'000 }; // after the end of a rollout

struct bad_version {
    const char* name;
    scripted_version version;
};

std::vector<bad_version> badVersions()
{
    auto with = [](const std::function<void(scripted_version&)>& change) {
        scripted_version version;
        version.failurePortion = 0.25;
        change(version);
        return version;
    };
    return {
        { "a portion of failures", with([](auto&) {}) },
        { "several times slower", with([](auto& each) {
             each.failurePortion = 0;
             each.slowdown = 5;
         }) },
        { "from a time on", with([](auto& each) { each.goodFor = milliseconds(6'000); }) },
        { "above a rate", with([](auto& each) { each.goodUpToRate = 6; }) },
        { "on one path", with([](auto& each) { each.badPath = "/shop/"; }) },
    };
}

/// What happens beside a rollout.
enum class disruption { none, kill_leader, power_loss };

void disrupt(rollout_system& system, disruption what)
{
    if (what == disruption::none)
        return;
    std::this_thread::sleep_until(system.orderedAt() + disruptionDelay);
    if (what == disruption::kill_leader) {
        auto leader = system.leader();
        REQUIRE_FALSE(leader.empty());
        system.process(leader).kill();
        return;
    }
    for (const char* name : { "c1", "c2", "c3" })
        system.process(name).kill();
    system.startControls(false);
}

/// Checks the rollback of a bad version of each kind.
void checkRollback(rollout_system& system, disruption what)
{
    auto bad = GENERATE(from_range(badVersions()));
    CAPTURE(bad.name);
    system.startCallers();
    system.startCallers("/shop/whole", rollout_system::requestsPerSecond / 2);
    REQUIRE(system.startRollout(duration, bad.version));
    disrupt(system, what);
    CHECK(system.waitForEnd() == "rolled_back");
    std::this_thread::sleep_for(observation);
    system.stopCallers();
    CHECK(system.keepsExposure());
    CHECK(system.lateRequests() == 0);
    CHECK(system.nextRequests(system.endedAt() + milliseconds(1'000)) == 0);
}

} // namespace

// Guards against a good version that is rolled back, or that former targets still serve beside.
TEST_CASE_METHOD(rollout_system, "A good version is completed before the deadline", "[forwarding][rollout]")
{
    auto what = GENERATE(disruption::none, disruption::kill_leader);
    CAPTURE(what);
    startCallers();
    REQUIRE(startRollout(duration));
    disrupt(*this, what);
    CHECK(waitForEnd() == "completed");
    CHECK(endedBeforeDeadline());
    std::this_thread::sleep_for(observation);
    stopCallers();
    CHECK(formerRequests(endedAt()) == 0);
    CHECK(nextRequests(endedAt()) > 0);
    CHECK(servedShareOf(orderedAt(), endedAt() + observation) > 0.99);
}

// Guards against a bad version that is completed, or that gets more requests than allowed.
TEST_CASE_METHOD(
    rollout_system, "A bad version is rolled back within the bounds of its exposure", "[forwarding][rollout]")
{
    checkRollback(*this, disruption::none);
}

// Guards against the same while a successor takes the decisions over.
TEST_CASE_METHOD(
    rollout_system, "A bad version is rolled back beside the kill of the leader", "[forwarding][rollout]")
{
    checkRollback(*this, disruption::kill_leader);
}

// Guards against a rollout that a total power loss undoes, or whose exposure is counted anew after it.
TEST_CASE_METHOD(
    rollout_system, "A rollout goes on or is rolled back after a total power loss", "[forwarding][rollout]")
{
    bool isBad = GENERATE(false, true);
    CAPTURE(isBad);
    startCallers();
    REQUIRE(startRollout(duration, isBad ? badVersions().front().version : scripted_version {}));
    disrupt(*this, disruption::power_loss);
    auto end = waitForEnd();
    CHECK((end == "rolled_back" || (!isBad && end == "completed")));
    std::this_thread::sleep_for(observation);
    stopCallers();
    if (end == "completed")
        CHECK(formerRequests(endedAt()) == 0);
    if (isBad)
        CHECK(keepsExposure());
}

// Guards against a former target that still runs a stream when operators stop it.
TEST_CASE_METHOD(
    rollout_system, "When a rollout is completed former targets run no streams", "[forwarding][rollout]")
{
    startCallers();
    startCallers("/words/events-paced", 10);
    REQUIRE(startRollout(duration));
    CHECK(waitForEnd() == "completed");
    std::this_thread::sleep_for(closingTime);
    CHECK(runningAtFormer() == 0);
    std::this_thread::sleep_for(observation);
    stopCallers();
    CHECK(formerRequests(endedAt()) == 0);
    CHECK(servedShareOf(orderedAt(), endedAt() + observation) > 0.99);
}

// Guards against entries that use the next version before the rollout or against its order.
TEST_CASE_METHOD(rollout_system, "The next version gets no requests while too few of its targets are warm",
    "[forwarding][rollout]")
{
    startCallers();
    REQUIRE(startRollout(duration));
    std::this_thread::sleep_for(coldTime / 2);
    CHECK(nextRequests(orderedAt()) == 0);
}
