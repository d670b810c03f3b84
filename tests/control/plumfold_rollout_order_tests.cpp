#include "support/plumfold_lone_control.hpp"

#include <catch2/catch.hpp>

using namespace plumfold;
using core::rollout_outcome;

namespace {

constexpr std::uint64_t snapshotEveryEntries = 10;

/// A group of one control VM that compacts its log often.
class rollout_control : public tests::lone_control {
public:
    rollout_control()
        : lone_control(snapshotEveryEntries)
    {
        waitForLead();
    }

    core::rollout_result order(const std::string& version, std::uint64_t lastKnown = 0)
    {
        return resultOf(
            propose(core::begin_rollout_command { "shop", version, { "v1" }, 12'000, lastKnown }));
    }

    core::rollout_result decide(std::uint64_t id, std::uint64_t sequence, core::rollout_state state)
    {
        core::decide_rollout_command command { "shop", id, sequence, state };
        command.reason = "test";
        return resultOf(propose(command));
    }

    /// Appends entries until the log was compacted.
    void compact()
    {
        for (std::uint64_t number = 0; number <= 2 * snapshotEveryEntries; ++number)
            propose(core::barrier_command {});
    }

    void restartAndLead()
    {
        restart();
        waitForLead();
    }

private:
    static core::rollout_result resultOf(const control::propose_response& response)
    {
        REQUIRE(response.accepted);
        return std::get<core::rollout_result>(response.result);
    }
};

} // namespace

// Guards against an acknowledged rollout that a power loss undoes, or that begins a second time.
TEST_CASE("An order of a rollout and the decisions on it outlive a restart", "[control][rollout]")
{
    bool isCompacted = GENERATE(false, true);
    CAPTURE(isCompacted);
    rollout_control system;
    auto begun = system.order("v2");
    REQUIRE(begun.outcome == rollout_outcome::begun);
    REQUIRE(system.decide(begun.id, 0, core::rollout_state::running).outcome == rollout_outcome::decided);
    if (isCompacted)
        system.compact();
    system.restartAndLead();
    CHECK(system.order("v2") == core::rollout_result { rollout_outcome::repeated, begun.id });
    CHECK(system.order("v3", begun.id) == core::rollout_result { rollout_outcome::other_running, begun.id });
    CHECK(system.decide(begun.id, 0, core::rollout_state::completed).outcome == rollout_outcome::not_decided);
    CHECK(system.decide(begun.id, 1, core::rollout_state::completed).outcome == rollout_outcome::decided);
    system.restartAndLead();
    CHECK(system.order("v2") == core::rollout_result { rollout_outcome::repeated, begun.id });
    CHECK(
        system.decide(begun.id, 2, core::rollout_state::rolled_back).outcome == rollout_outcome::not_decided);
}

// Guards against an order that reaches the leader behind a later rollout and replaces its record.
TEST_CASE(
    "An order of a rollout is outdated if its receiver did not know the latest one", "[control][rollout]")
{
    rollout_control system;
    auto first = system.order("v2");
    REQUIRE(system.decide(first.id, 0, core::rollout_state::completed).outcome == rollout_outcome::decided);
    CHECK(system.order("v3", 0) == core::rollout_result { rollout_outcome::outdated, first.id });
    auto second = system.order("v3", first.id);
    REQUIRE(second.outcome == rollout_outcome::begun);
    REQUIRE(
        system.decide(second.id, 0, core::rollout_state::rolled_back).outcome == rollout_outcome::decided);
    system.restartAndLead();
    CHECK(system.order("v2", first.id) == core::rollout_result { rollout_outcome::outdated, second.id });
    CHECK(system.order("v2", second.id).outcome == rollout_outcome::begun);
}
