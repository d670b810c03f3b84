#include "plumfold/core/rollout/plumfold_rollout_evidence.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace plumfold::core;

namespace {

const rollout_stratum chat { "chat", 3 };

rollout_report reportOf(const std::string& entry, std::uint64_t incarnation, std::uint64_t number)
{
    rollout_report out;
    out.entry = entry;
    out.incarnation = incarnation;
    out.number = number;
    out.decision = number;
    out.formerRequests = 10 * number;
    out.nextRequests = number;
    rollout_report::row row { chat, {}, {} };
    row.former.latencies[4] = 9 * number;
    row.former.failures = number;
    row.next.latencies[5] = number;
    out.rows.push_back(row);
    return out;
}

} // namespace

// Guards against answers that are counted twice or lost, as reports come from several control VMs.
TEST_CASE("The sums do not depend on the order and repetition of reports", "[rollout][evidence]")
{
    rc::prop("sums are those of the newest report of each process", [] {
        std::vector<rollout_report> reports;
        auto numbers = *rc::gen::container<std::vector<std::uint64_t>>(3, rc::gen::inRange(1, 8));
        for (std::uint64_t process = 0; process < numbers.size(); ++process) {
            for (std::uint64_t number = 1; number <= numbers[process]; ++number)
                reports.push_back(reportOf(process < 2 ? "a" : "b", process, number));
        }
        auto sent = reports;
        auto repeated = *rc::gen::container<std::vector<std::size_t>>(
            10, rc::gen::inRange<std::size_t>(0, reports.size()));
        for (auto index : repeated)
            sent.push_back(reports[index]);
        auto keys = *rc::gen::container<std::vector<int>>(sent.size(), rc::gen::arbitrary<int>());
        std::vector<std::size_t> order(sent.size());
        for (std::size_t index = 0; index < order.size(); ++index)
            order[index] = index;
        std::sort(order.begin(), order.end(),
            [&](auto left, auto right) { return std::tie(keys[left], left) < std::tie(keys[right], right); });
        rollout_evidence evidence;
        for (auto index : order)
            evidence.add(sent[index]);
        auto total = numbers[0] + numbers[1] + numbers[2];
        RC_ASSERT(evidence.totals() == (rollout_totals { 10 * total, total, 0 }));
        RC_ASSERT(evidence.sums().at(chat).former.answers() == 10 * total);
        RC_ASSERT(evidence.sums().at(chat).next.answers() == total);
        evidence.closeWindow();
        RC_ASSERT(evidence.windows().back().at(chat) == evidence.sums().at(chat));
    });
}

// Guards against exposure that is forgotten when an entry's process restarts and counts from 0 again.
TEST_CASE("Requests of an entry's ended process stay counted", "[rollout][evidence]")
{
    rollout_evidence evidence;
    CHECK(evidence.add(reportOf("a", 100, 5)));
    CHECK(evidence.add(reportOf("a", 7, 1)));
    CHECK_FALSE(evidence.add(reportOf("a", 100, 4)));
    CHECK(evidence.totals() == rollout_totals { 60, 6, 0 });
    auto current = evidence.currentReports();
    REQUIRE(current.size() == 1);
    CHECK(current.front()->incarnation == 7);
}

// Guards against exposure that is counted from 0 after a loss of power, and against counting that of the
// surviving processes twice after a change of the leader.
TEST_CASE("Recorded totals count only as far as no process reports them", "[rollout][evidence]")
{
    rollout_evidence lost;
    lost.add(reportOf("a", 1, 1));
    lost.restore({ 1'000, 100, 7 });
    CHECK(lost.totals() == rollout_totals { 1'000, 100, 0 });
    lost.add(reportOf("a", 1, 3));
    CHECK(lost.totals() == rollout_totals { 1'020, 102, 0 });

    rollout_evidence survived;
    survived.add(reportOf("a", 1, 20));
    survived.restore({ 190, 19, 0 });
    CHECK(survived.totals() == rollout_totals { 200, 20, 0 });
}

// Guards against memory that grows with the duration of a rollout, which may be days.
TEST_CASE("Windows are bounded", "[rollout][evidence]")
{
    rollout_evidence evidence;
    for (std::size_t index = 0; index < 3 * rollout_evidence::maxWindows; ++index)
        evidence.closeWindow();
    CHECK(evidence.windows().size() == rollout_evidence::maxWindows);
}
