#include "plumfold/core/rollout/plumfold_rollout_planner.hpp"

#include "support/plumfold_rollout_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace plumfold::core;
using plumfold::core::tests::rollout_simulation;

namespace {

rollout_record runningRecord(rollout_stage stage, std::uint32_t share)
{
    rollout_record out;
    out.id = 5;
    out.version = "v2";
    out.durationMs = 10'000;
    out.sequence = 3;
    out.stage = stage;
    out.share = share;
    return out;
}

rollout_assessment assessmentOf(rollout_verdict verdict)
{
    rollout_assessment out;
    out.verdict = verdict;
    out.reason = "figures";
    return out;
}

/// @return a situation in which nothing keeps a good version from being completed.
rollout_situation calmAt(int elapsedMs)
{
    rollout_situation out;
    out.elapsed = milliseconds(elapsedMs);
    out.sinceDecision = milliseconds(5'000);
    out.totals = { 6'000, 100, 0 };
    out.requestsPerSecond = 600;
    out.nextTargets = 10;
    out.nextSlots = 100;
    out.formerSlots = 100;
    out.entries = 70;
    out.recentEntries = 70;
    out.nextSinceShare = 100;
    return out;
}

std::optional<decide_rollout_command> decide(
    const rollout_record& record, rollout_verdict verdict, const rollout_situation& situation)
{
    return rollout_planner(rollout_planner_options {}).decide("s", record, assessmentOf(verdict), situation);
}

rollout_simulation simulate(rollout_simulation::options options)
{
    rollout_simulation out(std::move(options));
    out.run();
    return out;
}

} // namespace

// Guards against exposure above the bound through entries that apply decisions late, restart or are cut off,
// for versions that are bad at once, late, or under the load of a larger share.
TEST_CASE("A bad version never gets more requests than the bound", "[rollout][planner]")
{
    rc::prop("exposure stays within the bound and the version is rolled back", [] {
        rollout_simulation::options options;
        options.seed = *rc::gen::arbitrary<unsigned>();
        options.durationMs = *rc::gen::inRange(8'000, 20'000);
        options.requestsPerSecond = *rc::gen::inRange(100, 1'500);
        auto portion = *rc::gen::inRange(25, 101) / 100.0;
        auto badFrom = *rc::gen::inRange(0, options.durationMs * 55 / 100);
        // Short rollouts leave no time to watch a larger share.
        constexpr int longEnoughMs = 12'000;
        auto badShare = options.durationMs < longEnoughMs ? 0 : *rc::gen::element(0, 0, 100);
        if (badShare > 0)
            badFrom = 0;
        options.badPortion = [=](int at, std::uint32_t share) {
            return at >= badFrom && static_cast<int>(share) >= badShare ? portion : 0.002;
        };
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            options.cutFromMs = *rc::gen::inRange(0, options.durationMs);
            break;
        case 1:
            options.restartAtMs = *rc::gen::inRange(0, options.durationMs);
            break;
        case 2:
            options.leaderDownFromMs = *rc::gen::inRange(0, options.durationMs);
            options.isEvidenceLost = *rc::gen::arbitrary<bool>();
            break;
        default:
            break;
        }
        auto result = simulate(options);
        RC_LOG() << "rate " << options.requestsPerSecond << " duration " << options.durationMs << " portion "
                 << portion << " from " << badFrom << " share " << badShare << " cut " << options.cutFromMs
                 << " restart " << options.restartAtMs << " leader " << options.leaderDownFromMs << " excess "
                 << result.excess() << " reason " << result.record().reason << " ended "
                 << result.endedAtMs();
        RC_ASSERT(result.excess() <= 0);
        RC_ASSERT(result.record().state == rollout_state::rolled_back);
        RC_ASSERT(result.nextAfterEnd() == 0u);
    });
}

// Guards against a good version that is not completed in time, on a calm day or during one disruption.
TEST_CASE("A good version is completed before the deadline", "[rollout][planner]")
{
    for (unsigned seed = 0; seed < 20; ++seed) {
        for (int duration : { 8'000, 12'000, 20'000 }) {
            for (int disruption = 0; disruption < 4; ++disruption) {
                rollout_simulation::options options;
                options.seed = seed;
                options.durationMs = duration;
                options.badPortion = [](int, std::uint32_t) { return 0.002; };
                int at = duration * static_cast<int>(seed) / 20;
                // Without a leader for 1.5 s, 8 s are too short if entries take 0.7 s to apply each decision
                // and as long to report it.
                if (disruption == 3 && duration == 8'000)
                    continue;
                options.cutFromMs = disruption == 1 ? at : -1;
                options.restartAtMs = disruption == 2 ? at : -1;
                options.leaderDownFromMs = disruption == 3 ? at : -1;
                auto result = simulate(options);
                CAPTURE(seed, duration, disruption, at, result.record().reason, result.endedAtMs());
                CHECK(result.record().state == rollout_state::completed);
                CHECK(result.endedAtMs() < duration);
                if (disruption == 0)
                    CHECK(result.endedAtMs() < duration - 500);
            }
        }
    }
}

// Guards against a canary without answers on a service with few requests, which would never be judged.
TEST_CASE("A good version of a service with few requests is completed", "[rollout][planner]")
{
    for (unsigned seed = 0; seed < 20; ++seed) {
        rollout_simulation::options options;
        options.seed = seed;
        options.requestsPerSecond = 60;
        auto result = simulate(options);
        CAPTURE(seed, result.record().reason, result.endedAtMs());
        CHECK(result.record().state == rollout_state::completed);
    }
}

// Guards against requests for a version that is known to be bad.
TEST_CASE("A bad verdict leads to a rollback at once in every stage", "[rollout][planner]")
{
    for (auto stage : { rollout_stage::preparing, rollout_stage::canary, rollout_stage::raising,
             rollout_stage::shifting }) {
        auto next = decide(runningRecord(stage, 60), rollout_verdict::bad, calmAt(4'000));
        REQUIRE(next.has_value());
        CHECK(next->state == rollout_state::rolled_back);
        CHECK(next->share == 0);
        CHECK(next->id == 5);
        CHECK(next->sequence == 3);
        CHECK(next->reason.find("figures") != std::string::npos);
    }
}

// Guards against former targets that were stopped and are used again, and a version that returns.
TEST_CASE("Nothing is decided after a rollout has ended", "[rollout][planner]")
{
    rc::prop("an ended rollout stays as it is", [] {
        auto record = runningRecord(rollout_stage::ended, 1'000);
        record.state = *rc::gen::element(rollout_state::completed, rollout_state::rolled_back);
        auto situation = calmAt(*rc::gen::inRange(0, 100'000));
        situation.nextTargets = *rc::gen::inRange(0, 3);
        auto verdict
            = *rc::gen::element(rollout_verdict::undecided, rollout_verdict::good, rollout_verdict::bad);
        RC_ASSERT(!decide(record, verdict, situation).has_value());
    });
}

// Guards against rollouts that end undecided after the deadline.
TEST_CASE(
    "Without a verdict or targets by 0.85 of the duration the rollout is rolled back", "[rollout][planner]")
{
    auto unclear
        = decide(runningRecord(rollout_stage::canary, 60), rollout_verdict::undecided, calmAt(8'500));
    REQUIRE(unclear.has_value());
    CHECK(unclear->state == rollout_state::rolled_back);
    CHECK(unclear->reason.find("no verdict") != std::string::npos);

    auto without = calmAt(8'500);
    without.nextTargets = 0;
    without.nextSlots = 0;
    auto noTargets = decide(runningRecord(rollout_stage::preparing, 0), rollout_verdict::undecided, without);
    REQUIRE(noTargets.has_value());
    CHECK(noTargets->state == rollout_state::rolled_back);
    CHECK(noTargets->reason == "no next target is warm");

    auto few = calmAt(8'500);
    few.nextSlots = 80;
    auto tooFew = decide(runningRecord(rollout_stage::canary, 60), rollout_verdict::good, few);
    REQUIRE(tooFew.has_value());
    CHECK(tooFew->state == rollout_state::rolled_back);
    CHECK(tooFew->reason.find("too few next targets") != std::string::npos);
}

// Guards against a shift to targets that can't take the load.
TEST_CASE("The share is not raised while warm next targets lack slots", "[rollout][planner]")
{
    auto few = calmAt(6'000);
    few.nextSlots = 89;
    CHECK_FALSE(decide(runningRecord(rollout_stage::canary, 60), rollout_verdict::good, few).has_value());
    few.nextSlots = 90;
    auto next = decide(runningRecord(rollout_stage::canary, 60), rollout_verdict::good, few);
    REQUIRE(next.has_value());
    CHECK(next->stage == rollout_stage::raising);
}

// Guards against a canary that ends before a version that turns bad late has shown it.
TEST_CASE("The canary lasts until 0.55 of the duration, or until 7 s are left but 0.35 at least",
    "[rollout][planner]")
{
    auto [durationMs, endMs]
        = GENERATE(table<int, int>({ { 20'000, 11'000 }, { 12'000, 5'000 }, { 10'000, 3'500 } }));
    auto record = runningRecord(rollout_stage::canary, 60);
    record.durationMs = durationMs;
    CHECK_FALSE(decide(record, rollout_verdict::good, calmAt(endMs - 100)).has_value());
    CHECK(decide(record, rollout_verdict::good, calmAt(endMs + 1)).has_value());
}

// Guards against former targets that are stopped while requests run on them or entries still use them.
TEST_CASE("A rollout is completed only when all entries use the next version", "[rollout][planner]")
{
    auto record = runningRecord(rollout_stage::shifting, 1'000);
    auto running = calmAt(8'000);
    running.formerInFlight = 1;
    CHECK_FALSE(decide(record, rollout_verdict::good, running).has_value());
    auto late = calmAt(8'000);
    late.lateEntries = 1;
    CHECK_FALSE(decide(record, rollout_verdict::good, late).has_value());
    auto silent = calmAt(8'000);
    silent.silentEntries = 1;
    CHECK_FALSE(decide(record, rollout_verdict::good, silent).has_value());
    late.elapsed = milliseconds(8'500);
    auto forced = decide(record, rollout_verdict::good, late);
    REQUIRE(forced.has_value());
    CHECK(forced->state == rollout_state::completed);
    late.recentLateEntries = 1;
    CHECK_FALSE(decide(record, rollout_verdict::good, late).has_value());
    auto done = decide(record, rollout_verdict::good, calmAt(8'000));
    REQUIRE(done.has_value());
    CHECK(done->state == rollout_state::completed);
    CHECK(done->share == 1'000);
}

// Guards against a larger share while signs of a fault are examined.
TEST_CASE("A suspicious version goes back to the canary share", "[rollout][planner]")
{
    auto assessment = assessmentOf(rollout_verdict::undecided);
    assessment.suspicion = 0.3;
    auto next = rollout_planner(rollout_planner_options {})
                    .decide("s", runningRecord(rollout_stage::raising, 350), assessment, calmAt(7'000));
    REQUIRE(next.has_value());
    CHECK(next->stage == rollout_stage::canary);
    CHECK(next->share == 60);
}

// Guards against a rollout that gets its whole time and exposure again after a total loss of power.
TEST_CASE("After a loss of power the rollout goes on from its record", "[rollout][planner]")
{
    auto record = runningRecord(rollout_stage::canary, 60);
    record.elapsedMs = 9'000;
    record.totals = { 3'000, 200, 3 };
    auto restarted = calmAt(100);
    restarted.totals = {};
    auto next = decide(record, rollout_verdict::undecided, restarted);
    REQUIRE(next.has_value());
    CHECK(next->state == rollout_state::rolled_back);
    CHECK(next->elapsedMs == 9'000);
    CHECK(next->totals == rollout_totals { 3'000, 200, 3 });
}

// Guards against a share above what the bound allows, for other bounds than the usual ones.
TEST_CASE("The canary share follows the exposure bound", "[rollout][planner]")
{
    rollout_planner_options options;
    options.exposureShare = 0.03;
    auto next = rollout_planner(options).decide("s", runningRecord(rollout_stage::preparing, 0),
        assessmentOf(rollout_verdict::undecided), calmAt(3'000));
    REQUIRE(next.has_value());
    CHECK(next->stage == rollout_stage::canary);
    constexpr double requestsUntilVerdict = 5'100;
    CHECK(next->share / 1'000.0 * requestsUntilVerdict <= 0.03 * requestsUntilVerdict + 50);
}
