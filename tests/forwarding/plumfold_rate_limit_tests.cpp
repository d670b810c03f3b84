#include "support/plumfold_disturbances.hpp"
#include "support/plumfold_forwarding_system.hpp"
#include "support/plumfold_request_rates.hpp"
#include "support/plumfold_steady_callers.hpp"

#include <catch2/catch.hpp>

#include <numeric>
#include <string>
#include <vector>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;

constexpr int entries = 9;
constexpr int targets = 4;
constexpr double requestsPerSecond = 60;
constexpr auto limitSpan = 4s;
constexpr auto limitGrace = 3s; // from the first naming of a limit until it binds
constexpr auto measuredTime = 8s;
constexpr auto maxRefusalTime = 250ms;

/// @return the requests that a target which names a limit may get in any `limitSpan`.
double maxRequests(double limit)
{
    return 1.5 * limit * std::chrono::duration<double>(limitSpan).count() + 5;
}

/// Control VMs, entries and targets that may name limits.
class limited_system : public forwarding_system {
public:
    limited_system()
    {
        setFailureDomains({ "east", "north", "south" });
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        putDeployment(1, deployment(3));
        for (int number = 1; number <= entries; ++number)
            startEntry(number);
        for (int number = 1; number <= targets; ++number)
            m_started.push_back(&startTarget("t" + std::to_string(number)));
        startAnnouncing();
        for (int number = 1; number <= entries; ++number)
            waitForTarget(number, "/stock/whole");
        sleepFor(2s); // the leases of the shared limits are taken
    }

    scripted_target& target(std::size_t index) { return *m_started.at(index); }
    std::vector<int> allEntries() const
    {
        std::vector<int> numbers(entries);
        std::iota(numbers.begin(), numbers.end(), 1);
        return numbers;
    }
    void nameLimit(std::size_t index, const std::string& limit)
    {
        target(index).setResponseHeaders("Server-Limit: " + limit + "\r\n");
    }

private:
    std::vector<scripted_target*> m_started;
};

} // namespace

TEST_CASE_METHOD(limited_system,
    "Targets that name a limit get no more requests from all entries than it allows while others are idle",
    "[forwarding][limit]")
{
    steady_callers callers(*this, allEntries(), requestsPerSecond, "/stock/whole");
    sleepFor(1s);
    nameLimit(0, "1.8");
    nameLimit(1, "0.4");
    auto namedAt = std::chrono::steady_clock::now();
    auto bindsAt = sleepFor(limitGrace);
    auto endedAt = sleepFor(measuredTime);
    callers.stop();
    CHECK(static_cast<double>(maxRequestsWithin(target(0), limitSpan, bindsAt)) <= maxRequests(1.8));
    CHECK(static_cast<double>(maxRequestsWithin(target(1), limitSpan, bindsAt)) <= maxRequests(0.4));
    auto calls = callers.callsBetween(namedAt, endedAt);
    CHECK(calls.size() > requestsPerSecond * 8);
    CHECK(servedShare(calls) >= 0.99);
}

TEST_CASE_METHOD(limited_system,
    "Callers beyond the limits of all targets are refused at once and those within them are served",
    "[forwarding][limit]")
{
    constexpr double limit = 6;
    auto used = GENERATE(std::vector<int> { 1, 2, 3, 4, 5, 6, 7, 8, 9 }, std::vector<int> { 4 });
    CAPTURE(used);
    steady_callers callers(*this, used, requestsPerSecond, "/stock/whole");
    sleepFor(1s);
    for (std::size_t index = 0; index < targets; ++index)
        nameLimit(index, "6");
    auto bindsAt = sleepFor(limitGrace);
    auto endedAt = sleepFor(measuredTime);
    for (std::size_t index = 0; index < targets; ++index)
        target(index).setResponseHeaders("");
    auto recoveredAt = sleepFor(2s);
    auto stoppedAt = sleepFor(2s);
    callers.stop();
    for (std::size_t index = 0; index < targets; ++index)
        CHECK(static_cast<double>(maxRequestsWithin(target(index), limitSpan, bindsAt, endedAt))
            <= maxRequests(limit));
    auto calls = callers.callsBetween(bindsAt, endedAt);
    auto served = static_cast<double>(countStatus(calls, 200));
    CHECK(served >= 0.9 * limit * targets * std::chrono::duration<double>(endedAt - bindsAt).count());
    CHECK(countStatus(calls, 200) + countStatus(calls, 503) == calls.size());
    std::size_t withoutRetryAfter = 0;
    std::size_t slow = 0;
    for (const auto& each : calls) {
        withoutRetryAfter += each.status == 503 && !each.hasRetryAfter;
        slow += each.status == 503 && each.took > maxRefusalTime;
    }
    CHECK(withoutRetryAfter == 0);
    CHECK(static_cast<double>(slow) <= 0.01 * static_cast<double>(calls.size()));
    CHECK(servedShare(callers.callsBetween(recoveredAt, stoppedAt)) >= 0.99);
}

TEST_CASE_METHOD(limited_system, "Limits hold while control VMs and entries stop, restart and are suspended",
    "[forwarding][limit][soak]")
{
    constexpr auto disturbedTime = 16s;
    constexpr auto calmTime = 14s; // detection of a lost holder, its lease and that of a successor
    INFO("seed " << soakSeed());
    steady_callers callers(*this, allEntries(), requestsPerSecond, "/stock/whole");
    sleepFor(1s);
    nameLimit(0, "1.8");
    nameLimit(1, "6");
    nameLimit(2, "0.4");
    auto bindsAt = sleepFor(limitGrace);
    disturbances(*this, entries, soakSeed()).runFor(disturbedTime);
    auto calmAt = sleepFor(calmTime - 6s);
    auto endedAt = sleepFor(6s);
    callers.stop();
    CHECK(static_cast<double>(maxRequestsWithin(target(0), limitSpan, bindsAt)) <= maxRequests(1.8));
    CHECK(static_cast<double>(maxRequestsWithin(target(1), limitSpan, bindsAt)) <= maxRequests(6));
    CHECK(static_cast<double>(maxRequestsWithin(target(2), limitSpan, bindsAt)) <= maxRequests(0.4));
    CHECK(servedShare(callers.callsBetween(calmAt, endedAt)) >= 0.99);
}
