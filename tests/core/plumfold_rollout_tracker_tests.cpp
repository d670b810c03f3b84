#include "plumfold/core/rollout/plumfold_rollout_tracker.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

const instant start {};

rollout_record recordOf(std::uint32_t share, std::uint64_t sequence)
{
    rollout_record out;
    out.id = 5;
    out.version = "v2";
    out.formerVersions = { "v1" };
    out.durationMs = 12'000;
    out.share = share;
    out.sequence = sequence;
    return out;
}

rollout_report reportOf(const std::string& entry, std::uint64_t number, std::uint64_t decision)
{
    rollout_report out;
    out.entry = entry;
    out.number = number;
    out.decision = decision;
    out.formerRequests = 100 * number;
    out.formerInFlight = 2;
    return out;
}

target_announcement targetOf(const std::string& name, const std::string& version, milliseconds coldFor)
{
    target_announcement out;
    out.name = name;
    out.service = "s";
    out.address = name;
    out.slots = 8;
    out.softwareVersion = version;
    out.coldFor = coldFor;
    return out;
}

} // namespace

// Guards against a share that is raised for targets that are cold, silent, of another service or version.
TEST_CASE("Only warm targets that are not silent count as capacity", "[rollout][tracker]")
{
    target_directory directory;
    directory.apply(targetOf("a", "v1", {}), true, start);
    directory.apply(targetOf("b", "v2", {}), true, start);
    directory.apply(targetOf("c", "v2", milliseconds(3'000)), true, start);
    directory.apply(targetOf("d", "v2", {}), true, start);
    directory.apply(targetOf("e", "v3", {}), true, start);
    auto other = targetOf("f", "v2", {});
    other.service = "other";
    directory.apply(other, true, start);
    rollout_tracker tracker(recordOf(0, 0), start);
    auto before = tracker.situation("s", recordOf(0, 0), directory, {}, start);
    CHECK(before.nextTargets == 2);
    CHECK(before.nextSlots == 16);
    CHECK(before.formerSlots == 16); // v3 is in use beside the rollout
    auto withEnded = recordOf(0, 0);
    withEnded.endedVersions = { "v3" };
    CHECK(tracker.situation("s", withEnded, directory, {}, start).formerSlots == 8);
    CHECK_FALSE(before.isDisturbed);
    directory.markSilent("d");
    auto after = tracker.situation("s", recordOf(0, 0), directory, {}, start + milliseconds(3'001));
    CHECK(after.nextTargets == 2);
    CHECK(after.isDisturbed);
}

// Guards against a completion that a checkpoint delays or that an entry with the former share allows.
TEST_CASE("Entries are late until they have applied the decision that set the share", "[rollout][tracker]")
{
    rollout_tracker tracker(recordOf(60, 3), start);
    auto now = start + milliseconds(40);
    tracker.update(recordOf(1'000, 4), now);
    tracker.add(reportOf("a", 1, 4), now);
    tracker.add(reportOf("b", 1, 3), now);
    tracker.update(recordOf(1'000, 5), now);
    auto situation = tracker.situation("s", recordOf(1'000, 5), {}, {}, now);
    CHECK(situation.entries == 2);
    CHECK(situation.lateEntries == 1);
    CHECK(situation.recentLateEntries == 1);
    CHECK(situation.formerInFlight == 4);
    auto later = now + milliseconds(2'100);
    tracker.add(reportOf("a", 2, 5), later);
    situation = tracker.situation("s", recordOf(1'000, 5), {}, {}, later);
    CHECK(situation.lateEntries == 1);
    CHECK(situation.recentEntries == 1);
    CHECK(situation.recentLateEntries == 0);
    CHECK(situation.isDisturbed);
    CHECK(situation.silentEntries == 1);
    // An entry that was replaced must not hold up the rollout.
    auto muchLater = now + milliseconds(12'100);
    tracker.add(reportOf("a", 3, 5), muchLater);
    situation = tracker.situation("s", recordOf(1'000, 5), {}, {}, muchLater);
    CHECK(situation.entries == 1);
    CHECK(situation.lateEntries == 0);
    CHECK(situation.silentEntries == 0);
    CHECK_FALSE(situation.isDisturbed);
}

// Guards against exposure that is forgotten, or a rate that jumps, when a process takes over a rollout.
TEST_CASE("Totals of the record are taken over and do not count as a rate", "[rollout][tracker]")
{
    auto record = recordOf(60, 3);
    record.totals = { 5'000, 300, 2 };
    rollout_tracker tracker(record, start);
    CHECK_FALSE(tracker.isSettled(start + milliseconds(900)));
    for (int ms = 40; ms <= 4'000; ms += 40) {
        auto now = start + milliseconds(ms);
        if (ms % 400 == 0)
            tracker.add(reportOf("a", static_cast<std::uint64_t>(ms) / 400, 3), now);
        tracker.update(record, now);
    }
    auto situation = tracker.situation("s", record, {}, {}, start + milliseconds(4'000));
    CHECK(situation.totals.formerRequests >= 5'000);
    CHECK(situation.totals.nextRequests == 300);
    CHECK(situation.requestsPerSecond == Approx(250).margin(60));
}
