#include "plumfold/core/rollout/plumfold_rollout_recorder.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

const std::string service = "s";
const rollout_stratum stratum { "route", 3 };
const rollout_assignment former { 7, rollout_cohort::former, true };
const rollout_assignment next { 7, rollout_cohort::next, true };

rollout_record rolloutOf(std::uint64_t id, rollout_state state = rollout_state::running)
{
    rollout_record out;
    out.id = id;
    out.version = "v2";
    out.formerVersions = { "v1" };
    out.sequence = 4;
    out.state = state;
    return out;
}

rollout_recorder recorderOf()
{
    rollout_recorder recorder("n1", 42);
    recorder.setRollouts({ { service, rolloutOf(7) } });
    return recorder;
}

rollout_report reportOf(rollout_recorder& recorder)
{
    auto reports = recorder.takeReports();
    REQUIRE(reports.size() == 1);
    return reports.front();
}

} // namespace

// Guards against evidence of one cohort that is counted for the other, or lost between reports.
TEST_CASE("Answers are summed up by stratum and cohort over all reports", "[rollout]")
{
    auto recorder = recorderOf();
    recorder.onSent(service, "v1", former);
    recorder.onSent(service, "v2", next);
    recorder.onSent(service, "v3", { 7, rollout_cohort::none, true }); // reaches the service, too
    recorder.onAnswer(former, stratum, milliseconds(100));
    recorder.onAnswer(next, stratum, milliseconds(400));
    recorder.onFailure(next, stratum);
    reportOf(recorder);
    recorder.onAnswer(former, stratum, milliseconds(100));
    recorder.onAnswer(former, { "other", 3 }, milliseconds(1));
    auto report = reportOf(recorder);
    CHECK(report.entry == "n1");
    CHECK(report.incarnation == 42);
    CHECK(report.service == service);
    CHECK(report.rollout == 7);
    CHECK(report.number == 2);
    CHECK(report.decision == 4);
    CHECK(report.formerRequests == 2);
    CHECK(report.nextRequests == 1);
    REQUIRE(report.rows.size() == 2);
    CHECK(report.rows[0].stratum.route == "other");
    CHECK(report.rows[1].former.latencies[rolloutLatencyClass(milliseconds(100))] == 2);
    CHECK(report.rows[1].former.failures == 0);
    CHECK(report.rows[1].next.latencies[rolloutLatencyClass(milliseconds(400))] == 1);
    CHECK(report.rows[1].next.failures == 1);
}

// Guards against an answer that counts twice, as an answer and as a failure.
TEST_CASE("An answer that breaks off after its first event counts as one failure", "[rollout]")
{
    auto recorder = recorderOf();
    recorder.onAnswer(next, stratum, milliseconds(50));
    recorder.onBrokenAnswer(next, stratum, milliseconds(50));
    auto report = reportOf(recorder);
    CHECK(report.rows.front().next.failures == 1);
    CHECK(report.rows.front().next.answers() == 1);
}

// Guards against a rollback because next targets are slow just after their start.
TEST_CASE("Answers of cold targets are no evidence, but their requests count as sent", "[rollout]")
{
    auto recorder = recorderOf();
    auto cold = next;
    cold.isWarm = false;
    recorder.onSent(service, "v2", cold);
    recorder.onAnswer(cold, stratum, milliseconds(9'000));
    recorder.onFailure(cold, stratum);
    auto report = reportOf(recorder);
    CHECK(report.nextRequests == 1);
    CHECK(report.rows.empty());
}

// Guards against evidence of targets outside the rollout, or of an earlier rollout.
TEST_CASE("Answers outside the running rollout are not counted", "[rollout]")
{
    auto recorder = recorderOf();
    recorder.onAnswer({}, stratum, milliseconds(50));
    recorder.onAnswer({ 7, rollout_cohort::none, true }, stratum, milliseconds(50));
    recorder.onAnswer({ 6, rollout_cohort::next, true }, stratum, milliseconds(50));
    recorder.onSent(service, "v2", { 6, rollout_cohort::next, true });
    auto report = reportOf(recorder);
    CHECK(report.rows.empty());
    CHECK(report.nextRequests == 0);
}

// Guards against a rollout that is completed while former targets run requests from before the order.
TEST_CASE("Requests that former targets run are reported, also those sent before the order", "[rollout]")
{
    rollout_recorder recorder("n1", 42);
    recorder.onSent(service, "v1", {});
    recorder.onSent(service, "v9", {});
    recorder.onSent("other", "v1", {});
    recorder.setRollouts({ { service, rolloutOf(7) } });
    recorder.onSent(service, "v1", former);
    recorder.onSent(service, "v2", next);
    CHECK(reportOf(recorder).formerInFlight == 2);
    recorder.onEnded(service, "v1");
    recorder.onEnded(service, "v2");
    CHECK(reportOf(recorder).formerInFlight == 1);
    recorder.onEnded(service, "v1");
    CHECK(reportOf(recorder).formerInFlight == 0);
}

// Guards against sums of one rollout that go on in the next one of the service.
TEST_CASE("A rollout starts with no evidence, and an ended one is not reported", "[rollout]")
{
    auto recorder = recorderOf();
    recorder.onAnswer(next, stratum, milliseconds(50));
    recorder.onSent(service, "v2", next);
    SECTION("ended")
    {
        recorder.setRollouts({ { service, rolloutOf(7, rollout_state::rolled_back) } });
        CHECK_FALSE(recorder.isRunning());
        CHECK(recorder.takeReports().empty());
    }
    SECTION("replaced")
    {
        recorder.setRollouts({ { service, rolloutOf(9) } });
        auto report = reportOf(recorder);
        CHECK(report.rollout == 9);
        CHECK(report.rows.empty());
        CHECK(report.nextRequests == 0);
    }
    SECTION("decided further")
    {
        auto decided = rolloutOf(7);
        decided.sequence = 5;
        recorder.setRollouts({ { service, decided } });
        auto report = reportOf(recorder);
        CHECK(report.decision == 5);
        CHECK(report.rows.size() == 1);
    }
}

// Guards against former targets that are stopped while requests go to them at times because no next target is
// usable: most of these requests end before the next report.
TEST_CASE("At the full share, requests to former targets are reported also if they have ended", "[rollout]")
{
    rollout_recorder recorder("n1", 42);
    auto rollout = rolloutOf(7);
    bool isFull = GENERATE(true, false);
    rollout.share = isFull ? rolloutFullShare : 650;
    recorder.setRollouts({ { service, rollout } });
    for (int number = 0; number < 3; ++number) {
        recorder.onSent(service, "v1", former);
        recorder.onEnded(service, "v1");
    }
    recorder.onSent(service, "v2", next);
    CHECK(reportOf(recorder).formerInFlight == (isFull ? 3 : 0));
    CHECK(reportOf(recorder).formerInFlight == 0);
}

// Guards against comparisons of requests of different sizes.
TEST_CASE("The size class is the logarithm to base 4 of the tokens, else of the bytes", "[rollout]")
{
    CHECK(rolloutSizeClass(0, 0) == 0);
    CHECK(rolloutSizeClass(3, 1'000'000) == 0);
    CHECK(rolloutSizeClass(4, 0) == 1);
    CHECK(rolloutSizeClass(15, 0) == 1);
    CHECK(rolloutSizeClass(16, 0) == 2);
    CHECK(rolloutSizeClass(0, 1'024) == 5);
}

// Guards against reports that grow with the routes and sizes of an operator.
TEST_CASE("The rows of a report are limited", "[rollout]")
{
    auto recorder = recorderOf();
    for (int route = 0; route < 50; ++route) {
        recorder.onAnswer(former, { "route-" + std::to_string(route), 1 }, milliseconds(40));
        recorder.onFailure(next, { "route-" + std::to_string(route), 1 });
    }
    auto report = reportOf(recorder);
    CHECK(report.rows.size() <= 16);
    std::uint64_t formerAnswers = 0;
    std::uint64_t nextFailures = 0;
    for (const auto& row : report.rows) {
        formerAnswers += row.former.answers();
        nextFailures += row.next.failures;
    }
    CHECK(formerAnswers == 50);
    CHECK(nextFailures == 50);
}
