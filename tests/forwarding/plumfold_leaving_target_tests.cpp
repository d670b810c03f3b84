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
constexpr auto drainTime = 2s; // from the first response that says so

/// Control VMs, entries and targets that may say in their responses that they leave.
class leaving_system : public forwarding_system {
public:
    leaving_system()
    {
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        putDeployment(1, deployment(3));
        for (int number = 1; number <= entries; ++number)
            startEntry(number);
        for (std::size_t index = 0; index < targets; ++index)
            m_started.push_back(&startTarget("t" + std::to_string(index + 1)));
        startAnnouncing();
        for (int number = 1; number <= entries; ++number)
            waitForTarget(number, "/stock/whole");
    }

    scripted_target& target(std::size_t index) { return *m_started.at(index); }
    std::size_t requestsSince(std::size_t index, std::chrono::steady_clock::time_point since)
    {
        auto requests = target(index).requests();
        return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(),
            [&](const auto& request) { return request.receivedAt >= since; }));
    }
    std::vector<int> allEntries() const
    {
        std::vector<int> numbers(entries);
        std::iota(numbers.begin(), numbers.end(), 1);
        return numbers;
    }

private:
    std::vector<scripted_target*> m_started;
};

} // namespace

TEST_CASE_METHOD(leaving_system,
    "Targets that say in their responses that they leave get no more requests though they announce "
    "themselves "
    "as ready",
    "[forwarding][leaving]")
{
    steady_callers callers(*this, allEntries(), requestsPerSecond, "/stock/whole");
    auto startedAt = sleepFor(1s);
    for (std::size_t index = 0; index < 2; ++index)
        target(index).setResponseHeaders("Server-Leaving: 1\r\n");
    auto drainedAt = sleepFor(drainTime + 500ms); // until an entry has got such a response
    sleepFor(1s);
    process("n1").kill();
    startEntry(1);
    auto endedAt = sleepFor(3s);
    callers.stop();
    CHECK(requestsSince(0, drainedAt) + requestsSince(1, drainedAt) == 0);
    std::vector<call_record> calls;
    for (const auto& each : callers.callsBetween(startedAt, endedAt)) {
        if (each.entry != 1)
            calls.push_back(each);
    }
    CHECK(servedShare(calls) >= 0.99);
    for (std::size_t index = 0; index < 2; ++index)
        target(index).setResponseHeaders("");
    announceRestarts();
    auto isUsedAgain = [&] {
        for (int number = 1; number <= entries; ++number)
            request(number, "/stock/whole");
        return requestsSince(0, endedAt) > 0 && requestsSince(1, endedAt) > 0;
    };
    CHECK(eventually(isUsedAgain, 10));
}
