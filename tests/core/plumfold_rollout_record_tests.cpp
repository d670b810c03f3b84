#include "plumfold/core/plumfold_control_state.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <optional>
#include <vector>

using namespace plumfold::core;

namespace {

constexpr const char* service = "shop";
constexpr unix_milliseconds start = 1'000'000;

command beginAt(unix_milliseconds at, const std::string& version, std::uint64_t lastKnown = 0)
{
    return { at, begin_rollout_command { service, version, { "v1", version }, 12'000, lastKnown } };
}

command decideAt(unix_milliseconds at, std::uint64_t id, std::uint64_t sequence,
    rollout_state state = rollout_state::running)
{
    decide_rollout_command decision { service, id, sequence, state, rollout_stage::canary, 60, 500 };
    decision.reason = "test";
    return { at, decision };
}

rollout_result apply(control_state& state, const command& next, std::uint64_t logIndex)
{
    return std::get<rollout_result>(state.apply(next, logIndex));
}

std::optional<rollout_record> latestOf(const control_state& state, const std::string& name = service)
{
    const auto& all = state.deployment().rollouts;
    auto found = all.find(name);
    return found == all.end() ? std::nullopt : std::optional(found->second);
}

/// @return any command about rollouts: based on the latest record, on an older one or on none.
command anyCommand(const control_state& state, unix_milliseconds at)
{
    auto name = *rc::gen::element<std::string>("shop", "stock");
    auto latest = latestOf(state, name).value_or(rollout_record {});
    bool isCurrent = *rc::gen::weightedElement<bool>({ { 3, true }, { 1, false } });
    if (*rc::gen::arbitrary<bool>()) {
        begin_rollout_command order { name, *rc::gen::element<std::string>("v1", "v2", "v3"), { "v1", "v2" },
            *rc::gen::inRange<std::uint64_t>(1, 20'000), latest.id };
        if (!isCurrent)
            order.lastKnownRollout = *rc::gen::inRange<std::uint64_t>(0, latest.id + 1);
        return { at, order };
    }
    decide_rollout_command decision { name, latest.id, latest.sequence };
    if (!isCurrent)
        decision.sequence = *rc::gen::inRange<std::uint64_t>(0, latest.sequence + 2);
    decision.id -= *rc::gen::weightedElement<std::uint64_t>({ { 9, 0 }, { 1, latest.id > 0 ? 1 : 0 } });
    decision.state = *rc::gen::weightedElement<rollout_state>({ { 4, rollout_state::running },
        { 1, rollout_state::completed }, { 1, rollout_state::rolled_back } });
    decision.stage = *rc::gen::element(rollout_stage::canary, rollout_stage::raising, rollout_stage::ended);
    decision.share = *rc::gen::inRange<std::uint32_t>(0, rolloutFullShare + 1);
    decision.elapsedMs = *rc::gen::inRange<std::uint64_t>(0, 20'000);
    decision.totals = { *rc::gen::inRange<std::uint64_t>(0, 1'000), 7, 1 };
    decision.reason = *rc::gen::element<std::string>("", "slow", "failures");
    return { at, decision };
}

/// Checks a change of a record against the rules of rollouts.
void checkOrder(const std::optional<rollout_record>& before, const std::optional<rollout_record>& after,
    const begin_rollout_command& order, unix_milliseconds at, std::uint64_t index,
    const rollout_result& result)
{
    bool isRunning = before && before->state == rollout_state::running;
    if (result.outcome == rollout_outcome::begun) {
        RC_ASSERT(!isRunning);
        RC_ASSERT(order.lastKnownRollout == (before ? before->id : 0));
        RC_ASSERT(!before || before->version != order.version
            || (before->state == rollout_state::rolled_back && at >= before->orderedAt + 10'000));
        rollout_record expected;
        expected.id = index;
        expected.version = order.version;
        for (const auto& version : order.formerVersions) {
            bool isEnded = before
                && (before->endedVersions.contains(version)
                    || (before->state == rollout_state::completed && before->formerVersions.contains(version))
                    || (before->state == rollout_state::rolled_back && before->version == version));
            if (version != order.version)
                (isEnded ? expected.endedVersions : expected.formerVersions).insert(version);
        }
        expected.durationMs = order.durationMs;
        expected.orderedAt = at;
        RC_ASSERT(after == expected);
        RC_ASSERT(result.id == index);
        return;
    }
    RC_ASSERT(after == before);
    RC_ASSERT(before.has_value());
    RC_ASSERT(result.id == before->id);
    if (result.outcome == rollout_outcome::repeated) {
        RC_ASSERT(before->version == order.version);
        RC_ASSERT(before->state != rollout_state::rolled_back || at < before->orderedAt + 10'000);
    } else if (result.outcome == rollout_outcome::other_running) {
        RC_ASSERT(isRunning);
        RC_ASSERT(before->version != order.version);
    } else {
        RC_ASSERT(result.outcome == rollout_outcome::outdated);
        RC_ASSERT(!isRunning);
        RC_ASSERT(order.lastKnownRollout != before->id);
    }
}

void checkDecision(const std::optional<rollout_record>& before, const std::optional<rollout_record>& after,
    const decide_rollout_command& decision, const rollout_result& result)
{
    bool applies = before && before->state == rollout_state::running && before->id == decision.id
        && before->sequence == decision.sequence;
    RC_ASSERT((result.outcome == rollout_outcome::decided) == applies);
    RC_ASSERT(result.id == (before ? before->id : 0));
    if (!applies) {
        RC_ASSERT(result.outcome == rollout_outcome::not_decided);
        RC_ASSERT(after == before);
        return;
    }
    auto expected = *before;
    ++expected.sequence;
    expected.state = decision.state;
    expected.stage = decision.stage;
    expected.share = decision.share;
    expected.elapsedMs = decision.elapsedMs;
    expected.totals = decision.totals;
    expected.reason = decision.reason;
    RC_ASSERT(after == expected);
}

void check(const control_state& before, const control_state& after, const command& next, std::uint64_t index,
    const rollout_result& result)
{
    bool isChanged = result.outcome == rollout_outcome::begun || result.outcome == rollout_outcome::decided;
    RC_ASSERT(after.deployment().revision == before.deployment().revision + isChanged);
    if (const auto* order = std::get_if<begin_rollout_command>(&next.payload))
        checkOrder(latestOf(before, order->service), latestOf(after, order->service), *order, next.at, index,
            result);
    else if (const auto* decision = std::get_if<decide_rollout_command>(&next.payload))
        checkDecision(
            latestOf(before, decision->service), latestOf(after, decision->service), *decision, result);
}

} // namespace

// Guards against control VMs whose records differ, and against rollouts that begin or end twice.
TEST_CASE("Orders and decisions in any order and repetition obey the rules of rollouts", "[rollout]")
{
    rc::prop("also after snapshots", [] {
        control_state state;
        control_state withSnapshots;
        unix_milliseconds at = start;
        std::uint64_t index = 0;
        std::vector<command> earlier;
        auto steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            at += *rc::gen::element<unix_milliseconds>(0, 40, 3'000, 9'999, 10'000);
            auto next = anyCommand(state, at);
            if (!earlier.empty() && *rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } })) {
                next = earlier.at(*rc::gen::inRange<std::size_t>(0, earlier.size()));
                next.at = at;
            }
            earlier.push_back(next);
            if (*rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } }))
                withSnapshots = control_state(withSnapshots.snapshot());
            auto before = state;
            auto result = apply(state, next, ++index);
            check(before, state, next, index, result);
            RC_ASSERT(apply(withSnapshots, next, index) == result);
            RC_ASSERT(withSnapshots.deployment() == state.deployment());
            // The same command once more, as after a lost response, changes nothing.
            auto deployment = state.deployment();
            auto again = apply(state, next, ++index);
            RC_ASSERT(apply(withSnapshots, next, index) == again);
            RC_ASSERT(state.deployment() == deployment);
            if (result.outcome == rollout_outcome::begun)
                RC_ASSERT((again == rollout_result { rollout_outcome::repeated, result.id }));
        }
    });
}

TEST_CASE(
    "An order for the version of a rolled back rollout counts as a repetition for ten seconds", "[rollout]")
{
    control_state state;
    auto first = apply(state, beginAt(start, "v2"), 5);
    REQUIRE(first == rollout_result { rollout_outcome::begun, 5 });
    CHECK(latestOf(state)->formerVersions == std::set<std::string> { "v1" });
    REQUIRE(apply(state, decideAt(start + 20, 5, 0, rollout_state::rolled_back), 6).outcome
        == rollout_outcome::decided);
    CHECK(
        apply(state, beginAt(start + 9'999, "v2", 5), 7) == rollout_result { rollout_outcome::repeated, 5 });
    CHECK(latestOf(state)->state == rollout_state::rolled_back);
    SECTION("and begins a new rollout after them")
    {
        CHECK(apply(state, beginAt(start + 10'000, "v2", 5), 8)
            == rollout_result { rollout_outcome::begun, 8 });
        CHECK(latestOf(state)->state == rollout_state::running);
        CHECK(latestOf(state)->sequence == 0);
    }
    SECTION("and an order whose receiver did not know the rollout begins none after them")
    {
        CHECK(apply(state, beginAt(start + 10'000, "v2"), 8)
            == rollout_result { rollout_outcome::outdated, 5 });
    }
    SECTION("and another version begins at once")
    {
        CHECK(apply(state, beginAt(start + 40, "v3", 5), 8).outcome == rollout_outcome::begun);
    }
}

// Guards against two control VMs that lead one after the other and decide on the same record.
TEST_CASE("Of two decisions on the same record of a rollout the first one counts", "[rollout]")
{
    control_state state;
    REQUIRE(apply(state, beginAt(start, "v2"), 5).outcome == rollout_outcome::begun);
    CHECK(
        apply(state, decideAt(start, 5, 0, rollout_state::completed), 6).outcome == rollout_outcome::decided);
    CHECK(apply(state, decideAt(start, 5, 0, rollout_state::rolled_back), 7).outcome
        == rollout_outcome::not_decided);
    CHECK(apply(state, decideAt(start, 5, 1, rollout_state::rolled_back), 8).outcome
        == rollout_outcome::not_decided);
    CHECK(latestOf(state)->state == rollout_state::completed);
}

TEST_CASE("A decision on a service without a rollout changes nothing", "[rollout]")
{
    control_state state;
    CHECK(apply(state, decideAt(start, 0, 0), 5) == rollout_result { rollout_outcome::not_decided, 0 });
    CHECK_FALSE(latestOf(state));
    CHECK(state.deployment().revision == 0);
}

// Guards against a bad version that gets requests as a former one of the next rollout, while its targets
// still run.
TEST_CASE("A version that was rolled back or replaced is not used by later rollouts", "[rollout]")
{
    control_state state;
    apply(state, beginAt(start, "v2"), 1);
    apply(state, decideAt(start + 1'000, 1, 0, rollout_state::rolled_back), 2);
    command next { start + 2'000, begin_rollout_command { service, "v3", { "v1", "v2" }, 12'000, 1 } };
    REQUIRE(apply(state, next, 3).outcome == rollout_outcome::begun);
    CHECK(latestOf(state)->formerVersions == std::set<std::string> { "v1" });
    CHECK(latestOf(state)->endedVersions == std::set<std::string> { "v2" });

    apply(state, decideAt(start + 3'000, 3, 0, rollout_state::completed), 4);
    command again { start + 60'000, begin_rollout_command { service, "v2", { "v1", "v3" }, 12'000, 3 } };
    REQUIRE(apply(state, again, 5).outcome == rollout_outcome::begun);
    CHECK(latestOf(state)->formerVersions == std::set<std::string> { "v3" });
    CHECK(latestOf(state)->endedVersions == std::set<std::string> { "v1" });
}
