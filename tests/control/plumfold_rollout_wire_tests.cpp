#include "plumfold/wire/plumfold_convert.hpp"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace plumfold;

namespace {

template <class Enumeration> Enumeration anyOf(int count)
{
    return static_cast<Enumeration>(*rc::gen::inRange(0, count));
}

/// Sets the members that a record and the command that changes it have in common.
template <class Decided> void decideAny(Decided& value)
{
    value.sequence = *rc::gen::arbitrary<std::uint64_t>();
    value.state = anyOf<core::rollout_state>(3);
    value.stage = anyOf<core::rollout_stage>(5);
    value.share = *rc::gen::inRange<std::uint32_t>(0, core::rolloutFullShare + 1);
    value.elapsedMs = *rc::gen::arbitrary<std::uint64_t>();
    value.totals = { *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>(),
        *rc::gen::arbitrary<std::uint64_t>() };
    value.reason = *rc::gen::arbitrary<std::string>();
}

core::rollout_record anyRecord()
{
    core::rollout_record value;
    decideAny(value);
    value.id = *rc::gen::arbitrary<std::uint64_t>();
    value.version = *rc::gen::arbitrary<std::string>();
    value.formerVersions = *rc::gen::arbitrary<std::set<std::string>>();
    value.endedVersions = *rc::gen::arbitrary<std::set<std::string>>();
    value.durationMs = *rc::gen::arbitrary<std::uint64_t>();
    value.orderedAt = *rc::gen::arbitrary<std::uint64_t>();
    return value;
}

core::rollout_counts anyCounts()
{
    core::rollout_counts value;
    value.failures = *rc::gen::arbitrary<std::uint64_t>();
    auto used = *rc::gen::inRange<std::size_t>(0, core::rolloutLatencyClasses + 1);
    for (std::size_t index = 0; index < used; ++index)
        value.latencies.at(index) = *rc::gen::arbitrary<std::uint32_t>();
    return value;
}

} // namespace

TEST_CASE("Rollouts keep all members on the wire", "[wire][rollout]")
{
    rc::prop("in the deployment state", [] {
        core::deployment_state state;
        state.revision = 9;
        state.document = { 3, "text" };
        auto count = *rc::gen::inRange(0, 3);
        for (int number = 0; number < count; ++number)
            state.rollouts["s" + std::to_string(number)] = anyRecord();
        RC_ASSERT(wire::decode<wire::DeploymentState>(wire::encode<wire::DeploymentState>(state)) == state);
    });
    rc::prop("in the snapshot of the control state", [] {
        core::control_snapshot snapshot;
        snapshot.deployment.rollouts["shop"] = anyRecord();
        auto decoded = wire::decode<wire::ControlSnapshot>(wire::encode<wire::ControlSnapshot>(snapshot));
        RC_ASSERT(decoded.deployment == snapshot.deployment);
    });
    rc::prop("in commands", [] {
        core::begin_rollout_command begin { *rc::gen::arbitrary<std::string>(),
            *rc::gen::arbitrary<std::string>(), *rc::gen::arbitrary<std::set<std::string>>(),
            *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>() };
        core::command first { 5, begin };
        auto decoded = wire::decode<wire::Command>(wire::encode<wire::Command>(first));
        const auto& begun = std::get<core::begin_rollout_command>(decoded.payload);
        RC_ASSERT(decoded.at == 5u);
        RC_ASSERT(begun.service == begin.service);
        RC_ASSERT(begun.version == begin.version);
        RC_ASSERT(begun.formerVersions == begin.formerVersions);
        RC_ASSERT(begun.durationMs == begin.durationMs);
        RC_ASSERT(begun.lastKnownRollout == begin.lastKnownRollout);
        core::decide_rollout_command decide;
        decideAny(decide);
        decide.service = "shop";
        decide.id = *rc::gen::arbitrary<std::uint64_t>();
        decoded = wire::decode<wire::Command>(wire::encode<wire::Command>(core::command { 6, decide }));
        const auto& decided = std::get<core::decide_rollout_command>(decoded.payload);
        RC_ASSERT(decided.service == decide.service);
        RC_ASSERT(decided.id == decide.id);
        RC_ASSERT(decided.sequence == decide.sequence);
        RC_ASSERT(decided.state == decide.state);
        RC_ASSERT(decided.stage == decide.stage);
        RC_ASSERT(decided.share == decide.share);
        RC_ASSERT(decided.elapsedMs == decide.elapsedMs);
        RC_ASSERT(decided.totals == decide.totals);
        RC_ASSERT(decided.reason == decide.reason);
    });
    rc::prop("in results", [] {
        core::command_result result
            = core::rollout_result { anyOf<core::rollout_outcome>(6), *rc::gen::arbitrary<std::uint64_t>() };
        RC_ASSERT(wire::decode<wire::CommandResult>(wire::encode<wire::CommandResult>(result)) == result);
    });
    rc::prop("in the reports of entries", [] {
        core::rollout_report report { "n1", *rc::gen::arbitrary<std::uint64_t>(), "shop",
            *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>(),
            *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>(),
            *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint32_t>(), {} };
        auto count = *rc::gen::inRange(0, 3);
        for (int number = 0; number < count; ++number)
            report.rows.push_back(
                { { *rc::gen::arbitrary<std::string>(), *rc::gen::arbitrary<std::uint8_t>() }, anyCounts(),
                    anyCounts() });
        RC_ASSERT(wire::decode<wire::RolloutReport>(wire::encode<wire::RolloutReport>(report)) == report);
    });
}

// Guards against snapshots of former versions, which lack the list of rollouts.
TEST_CASE("A deployment state without rollouts is read as one without any", "[wire][rollout]")
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<wire::DeploymentState>();
    builder.setRevision(4);
    auto state = wire::read(builder.asReader());
    CHECK(state.revision == 4);
    CHECK(state.rollouts.empty());
}

// Guards against a value of a later version that is taken for one of this version.
TEST_CASE("A rollout with an unknown state, stage or outcome is refused", "[wire][rollout]")
{
    capnp::MallocMessageBuilder message;
    auto rollout = message.initRoot<wire::ServiceRollout>();
    rollout.initDecision().setState(3);
    CHECK_THROWS(wire::read(rollout.asReader()));
    rollout.initDecision().setStage(5);
    CHECK_THROWS(wire::read(rollout.asReader()));
    auto result = message.initRoot<wire::RolloutResult>();
    result.setOutcome(6);
    CHECK_THROWS(wire::read(result.asReader()));
}

// Guards against a report of an entry of a later version that writes beyond the latency classes, or for which
// the whole call of the entry fails.
TEST_CASE("Latency classes beyond the known ones count for the last one", "[wire][rollout]")
{
    capnp::MallocMessageBuilder rows;
    auto latencies = rows.initRoot<wire::RolloutRows>().initRows(1)[0].initNext().initLatencies(
        core::rolloutLatencyClasses + 2);
    latencies.set(core::rolloutLatencyClasses - 1, 1);
    latencies.set(core::rolloutLatencyClasses, 2);
    latencies.set(core::rolloutLatencyClasses + 1, 4);
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, rows);
    capnp::MallocMessageBuilder message;
    auto report = message.initRoot<wire::RolloutReport>();
    report.setRows(packed.getArray());
    auto read = wire::read(report.asReader());
    REQUIRE(read.rows.size() == 1);
    CHECK(read.rows.front().next.latencies.back() == 7);
    CHECK(read.rows.front().next.answers() == 7);
}
