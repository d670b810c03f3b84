#include "plumfold/core/rollout/plumfold_rollout_judge.hpp"

#include "support/plumfold_rollout_traffic.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace plumfold::core;
using plumfold::core::tests::answer_behavior;
using plumfold::core::tests::rollout_traffic;

namespace {

constexpr double windowSeconds = 0.5;
constexpr double requestsPerSecond = 600;
constexpr double canaryShare = 0.06;

/// The requests of a route, in two size classes.
struct route {
    std::string name;
    double share = 1; ///< Of the service's requests.
};

const std::vector<route> fourRoutes { { "a", 0.45 }, { "b", 0.3 }, { "c", 0.24 }, { "d", 0.01 } };

/// @return the behavior of a cohort in a window on a route.
using behavior_rule = std::function<answer_behavior(int window, const std::string& route, bool isNext)>;

struct run_result {
    /// Bad if it ever was; else good if it was so in one of the last windows, as a planner needs it once.
    rollout_verdict verdict = rollout_verdict::undecided;
    int badAfter = -1; ///< Windows.
    rollout_assessment last;
};

run_result run(unsigned seed, int windows, const behavior_rule& behave, double rate = requestsPerSecond)
{
    rollout_traffic traffic(seed);
    rollout_evidence evidence;
    rollout_judge judge;
    run_result out;
    for (int window = 0; window < windows; ++window) {
        for (const auto& each : fourRoutes) {
            for (std::uint8_t size : { 2, 4 }) {
                auto requests = rate * windowSeconds * each.share / 2;
                rollout_stratum stratum { each.name, size };
                traffic.answer(
                    stratum, false, requests * (1 - canaryShare), behave(window, each.name, false));
                traffic.answer(stratum, true, requests * canaryShare, behave(window, each.name, true));
            }
        }
        traffic.endWindow(evidence);
        out.last = judge.assess(evidence);
        if (out.last.verdict == rollout_verdict::bad) {
            out.badAfter = window + 1;
            out.verdict = rollout_verdict::bad;
            return out;
        }
        bool isLast = window >= windows - 3;
        if (isLast && out.last.verdict == rollout_verdict::good)
            out.verdict = rollout_verdict::good;
    }
    return out;
}

constexpr int canaryWindows = 13; // 6.5 s
constexpr int lateWindows = 24;

int countOf(rollout_verdict verdict, int runs, int windows, const behavior_rule& behave,
    double rate = requestsPerSecond)
{
    int count = 0;
    for (int seed = 0; seed < runs; ++seed)
        count += run(static_cast<unsigned>(seed), windows, behave, rate).verdict == verdict ? 1 : 0;
    return count;
}

answer_behavior failing(double portion)
{
    answer_behavior out;
    out.failures = portion;
    return out;
}

answer_behavior calm(int /*window*/, const std::string& /*route*/, bool /*isNext*/)
{
    return {};
}

} // namespace

// Guards against a good version that is rolled back by chance, and one that stays undecided.
TEST_CASE("A good version is judged good within a canary", "[rollout][judge]")
{
    constexpr int runs = 400;
    CHECK(countOf(rollout_verdict::good, runs, canaryWindows, calm) >= runs - 4);
    CHECK(countOf(rollout_verdict::bad, runs, lateWindows, calm) == 0);
}

// Guards against errors of the test beyond the stated ones: 0.001 false rollbacks for a rollout.
TEST_CASE("False rollbacks are rare also with the largest tolerated portion", "[rollout][judge]")
{
    constexpr int runs = 2'000;
    auto tolerated = [](int, const std::string&, bool) { return failing(0.01); };
    CHECK(countOf(rollout_verdict::bad, runs, lateWindows, tolerated) <= 2);
}

// Guards against a bad version that is completed: 0.001 missed ones for a portion of 0.2.
TEST_CASE("A version that fails in a fifth of its answers is found", "[rollout][judge]")
{
    constexpr int runs = 1'000;
    auto bad = [](int, const std::string&, bool isNext) { return failing(isNext ? 0.2 : 0.002); };
    CHECK(countOf(rollout_verdict::bad, runs, canaryWindows, bad) >= runs - 1);
    CHECK(countOf(rollout_verdict::good, runs, canaryWindows, bad) == 0);
}

// Guards against a fault that a whole service's few failures hide: one route has a quarter of the requests.
TEST_CASE("A version that is bad on one route only is found", "[rollout][judge]")
{
    constexpr int runs = 500;
    auto bad = [](int, const std::string& route, bool isNext) {
        return failing(isNext && route == "c" ? 0.3 : 0.002);
    };
    CHECK(countOf(rollout_verdict::good, runs, canaryWindows, bad) == 0);
    CHECK(countOf(rollout_verdict::bad, runs, lateWindows, bad) >= runs - 1);
}

// Guards against early good answers that outweigh later bad ones.
TEST_CASE("A version that turns bad late is found within a few seconds", "[rollout][judge]")
{
    constexpr int badFrom = 12;
    constexpr int windowsToFind = 8;
    auto bad = [](int window, const std::string&, bool isNext) {
        return failing(isNext && window >= badFrom ? 0.3 : 0.002);
    };
    for (unsigned seed = 0; seed < 300; ++seed) {
        auto result = run(seed, badFrom + windowsToFind, bad);
        CAPTURE(seed, result.last.reason);
        CHECK(result.verdict == rollout_verdict::bad);
        CHECK(result.badAfter > badFrom);
    }
}

// Guards against slow answers that are taken for good ones, as they don't fail.
TEST_CASE("A version that is three times slower is found", "[rollout][judge]")
{
    constexpr int runs = 200;
    auto allSlow = [](int, const std::string&, bool isNext) {
        answer_behavior out;
        out.medianMs = isNext ? 700 : 200;
        return out;
    };
    CHECK(countOf(rollout_verdict::bad, runs, canaryWindows, allSlow) == runs);
    auto partSlow = [](int, const std::string&, bool isNext) {
        answer_behavior out;
        out.slow = isNext ? 0.25 : 0;
        return out;
    };
    CHECK(countOf(rollout_verdict::bad, runs, canaryWindows, partSlow) >= runs - 1);
}

// Guards against rollbacks because caches of the next targets are empty at first: their answers are as slow
// as the former version's answers to prompts that no cache holds, or below the floor.
TEST_CASE("Empty caches are no reason for a rollback", "[rollout][judge]")
{
    constexpr int runs = 300;
    auto empty = [](int window, const std::string&, bool isNext) {
        answer_behavior out;
        out.medianMs = 60;
        out.slow = isNext ? std::max(0.1, 0.9 - 0.1 * window) : 0.1;
        out.slowMs = 400;
        return out;
    };
    for (unsigned seed = 0; seed < runs; ++seed) {
        auto result = run(seed, lateWindows, empty);
        CAPTURE(seed, result.badAfter, result.last.reason);
        CHECK(result.verdict != rollout_verdict::bad);
    }
    auto belowFloor = [](int, const std::string&, bool isNext) {
        answer_behavior out;
        out.medianMs = isNext ? 15 : 3;
        return out;
    };
    CHECK(countOf(rollout_verdict::bad, runs, lateWindows, belowFloor) == 0);
}

// Guards against rollbacks because a cut-off failure domain, or one without power, hits the next version's
// few targets harder. Entries avoid the targets after some 1.5 s.
TEST_CASE("A failure domain that is cut off is no reason for a rollback", "[rollout][judge]")
{
    constexpr int runs = 400;
    auto cut = [](int window, const std::string&, bool isNext) {
        bool isCut = window >= 5 && window < 8;
        return failing(isCut ? (isNext ? 0.6 : 0.15) : 0.002);
    };
    CHECK(countOf(rollout_verdict::bad, runs, lateWindows, cut) == 0);
    CHECK(countOf(rollout_verdict::good, runs, lateWindows, cut) >= runs - 4);
}

// Guards against rollbacks because one of the next version's few targets ends: failures until entries notice.
TEST_CASE("A next target that ends is no reason for a rollback", "[rollout][judge]")
{
    constexpr int runs = 1'000;
    auto ended = [](int window, const std::string&, bool isNext) {
        return failing(isNext && window >= 6 && window < 9 ? 0.3 : 0.002);
    };
    CHECK(countOf(rollout_verdict::bad, runs, lateWindows, ended) <= 1);
}

// Guards against rollbacks in bursts and with lossy links, which slow both cohorts, though not equally.
TEST_CASE("A burst of callers and lossy links are no reason for a rollback", "[rollout][judge]")
{
    constexpr int runs = 300;
    auto burst = [](int window, const std::string&, bool isNext) {
        answer_behavior out;
        bool isBurst = window >= 4 && window < 10;
        out.slow = isBurst ? (isNext ? 0.4 : 0.3) : 0;
        return out;
    };
    CHECK(countOf(rollout_verdict::bad, runs, lateWindows, burst) == 0);
    auto lossy = [](int, const std::string&, bool isNext) {
        answer_behavior out;
        out.slow = isNext ? 0.08 : 0.06;
        out.failures = 0.01;
        return out;
    };
    CHECK(countOf(rollout_verdict::bad, runs, lateWindows, lossy) == 0);
    CHECK(countOf(rollout_verdict::good, runs, lateWindows, lossy) >= runs - 4);
}

// Guards against a verdict from chance in a stratum that has hardly any requests.
TEST_CASE("A handful of failures in a stratum with few answers is no reason", "[rollout][judge]")
{
    rollout_traffic traffic(1);
    rollout_evidence evidence;
    rollout_judge judge;
    for (int window = 0; window < canaryWindows; ++window) {
        traffic.answer({ "a", 2 }, false, 280, {});
        traffic.answer({ "a", 2 }, true, 17, {});
        traffic.answer({ "rare", 2 }, false, 3, {});
        if (window % 3 == 0)
            traffic.answer({ "rare", 2 }, true, 1, failing(1));
        traffic.endWindow(evidence);
    }
    CHECK(judge.assess(evidence).verdict == rollout_verdict::good);
}

// Guards against verdicts from less evidence than the stated error rates need.
TEST_CASE("A good verdict needs some 33 answers without a bad one", "[rollout][judge]")
{
    for (std::uint64_t answers : { 20, 30, 34, 40 }) {
        rollout_report report;
        report.entry = "entry";
        report.number = 1;
        rollout_report::row row { { "a", 2 }, {}, {} };
        row.former.latencies[10] = 500;
        row.next.latencies[10] = answers;
        report.rows.push_back(row);
        rollout_evidence evidence;
        evidence.add(report);
        evidence.closeWindow();
        auto expected = answers >= 34 ? rollout_verdict::good : rollout_verdict::undecided;
        CAPTURE(answers);
        CHECK(rollout_judge().assess(evidence).verdict == expected);
    }
}

// Guards against a test that needs more answers than a small route gives: 0.2 bad ones of 30.
TEST_CASE("Six bad answers of thirty in one stratum are enough for a rollback", "[rollout][judge]")
{
    rollout_evidence evidence;
    rollout_report report;
    report.entry = "entry";
    rollout_report::row row { { "a", 2 }, {}, {} };
    for (int window = 0; window < 12; ++window) {
        row.former.latencies[10] += 40;
        row.next.failures += static_cast<std::uint64_t>(window % 2);
        row.next.latencies[10] += 2;
        report.rows = { row };
        ++report.number;
        evidence.add(report);
        evidence.closeWindow();
    }
    auto result = rollout_judge().assess(evidence);
    CAPTURE(result.reason, result.suspicion);
    CHECK(row.next.answers() == 30);
    CHECK(result.verdict == rollout_verdict::bad);
}
