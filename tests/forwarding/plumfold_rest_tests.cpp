#include "support/plumfold_forwarding_system.hpp"
#include "support/plumfold_steady_callers.hpp"

#include <catch2/catch.hpp>

#include <numeric>
#include <string>
#include <vector>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;

constexpr int entries = 9;
constexpr std::size_t targets = 4;
constexpr double requestsPerSecond = 60;
constexpr auto restTime = 3'000ms;
constexpr auto restGrace = 500ms; // from the request for rest until it binds
constexpr std::size_t maxRequestsInRest = 2;
constexpr auto maxRefusalTime = 250ms;

/// Control VMs, entries and targets that may ask single entries for rest.
class resting_system : public forwarding_system {
public:
    resting_system()
    {
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        putDeployment(1, deployment(3));
        auto processes = std::make_shared<link_cuts>();
        for (int number = 1; number <= entries; ++number) {
            startEntry(number);
            processes->set(processOf(number), link_state::whole);
        }
        for (std::size_t index = 0; index < targets; ++index) {
            m_started.push_back(&startTarget("t" + std::to_string(index + 1)));
            m_started.back()->setLinkCuts(processes);
        }
        startAnnouncing();
        for (int number = 1; number <= entries; ++number)
            waitForTarget(number, "/stock/whole");
    }

    scripted_target& target(std::size_t index) { return *m_started.at(index); }
    int processOf(int entry) { return process("n" + std::to_string(entry)).id(); }
    std::vector<int> allEntries() const
    {
        std::vector<int> numbers(entries);
        std::iota(numbers.begin(), numbers.end(), 1);
        return numbers;
    }

    /// @return the targets, first those that have got most requests from an entry.
    std::vector<scripted_target*> byRequestsOf(int entry)
    {
        auto count = [&](const scripted_target* each) {
            auto requests = each->requests();
            return std::count_if(requests.begin(), requests.end(),
                [&](const auto& request) { return request.process == processOf(entry); });
        };
        auto sorted = m_started;
        std::stable_sort(sorted.begin(), sorted.end(),
            [&](const auto* left, const auto* right) { return count(left) > count(right); });
        return sorted;
    }

    /// @return the largest number of requests that any target got from an entry in a rest.
    std::size_t maxRequestsInRests()
    {
        std::size_t most = 0;
        for (const auto* each : m_started) {
            auto requests = each->requests();
            for (const auto& rest : each->rests()) {
                auto count = std::count_if(requests.begin(), requests.end(), [&](const auto& request) {
                    return request.process == rest.process && request.receivedAt >= rest.from + restGrace
                        && request.receivedAt < rest.until;
                });
                most = std::max(most, static_cast<std::size_t>(count));
            }
        }
        return most;
    }

private:
    std::vector<scripted_target*> m_started;
};

std::vector<call_record> callsTo(int entry, const std::vector<call_record>& calls)
{
    std::vector<call_record> out;
    std::copy_if(calls.begin(), calls.end(), std::back_inserter(out),
        [&](const auto& each) { return each.entry == entry; });
    return out;
}

} // namespace

TEST_CASE_METHOD(resting_system,
    "An entry sends nothing to targets that ask it for rest and serves its callers at the others",
    "[forwarding][rest]")
{
    std::size_t resting = GENERATE(1U, 3U);
    CAPTURE(resting);
    steady_callers callers(*this, allEntries(), requestsPerSecond, "/stock/whole");
    auto startedAt = sleepFor(1s);
    auto used = byRequestsOf(1);
    for (int turn = 0; turn < 3; ++turn) {
        for (std::size_t index = 0; index < resting; ++index)
            used[index]->askForRest(processOf(1), restTime);
        sleepFor(restTime);
    }
    auto stoppedAt = std::chrono::steady_clock::now();
    callers.stop();
    REQUIRE(used.front()->rests().size() >= 2);
    CHECK(maxRequestsInRests() <= maxRequestsInRest);
    auto calls = callers.callsBetween(startedAt, stoppedAt);
    CHECK(servedShare(callsTo(1, calls)) >= 0.95);
    CHECK(servedShare(calls) >= 0.99);
}

TEST_CASE_METHOD(resting_system,
    "Callers of an entry that all targets ask for rest are refused at once until the first rest ends",
    "[forwarding][rest]")
{
    steady_callers callers(*this, allEntries(), requestsPerSecond, "/stock/whole");
    sleepFor(1s);
    for (std::size_t index = 0; index < targets; ++index)
        target(index).askForRest(processOf(1), restTime);
    auto restsAt = sleepFor(restGrace);
    auto endsAt = sleepFor(restTime - restGrace - 200ms);
    auto recoveredAt = sleepFor(1s);
    auto stoppedAt = sleepFor(2s);
    callers.stop();
    CHECK(maxRequestsInRests() <= maxRequestsInRest);
    auto calls = callsTo(1, callers.callsBetween(restsAt, endsAt));
    std::size_t withoutRetryAfter = 0;
    std::size_t slow = 0;
    for (const auto& each : calls) {
        withoutRetryAfter += each.status == 503 && !each.hasRetryAfter;
        slow += each.took > maxRefusalTime;
    }
    CHECK(withoutRetryAfter == 0);
    CHECK(slow == 0);
    CHECK(servedShare(callsTo(2, callers.callsBetween(restsAt, stoppedAt))) >= 0.99);
    CHECK(servedShare(callers.callsBetween(recoveredAt, stoppedAt)) >= 0.99);
}
