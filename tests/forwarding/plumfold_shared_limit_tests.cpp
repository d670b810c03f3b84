#include "support/plumfold_disturbances.hpp"
#include "support/plumfold_forwarding_system.hpp"
#include "support/plumfold_request_rates.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;

constexpr double coldRate = 9; // requests per second that a cold target bears
constexpr double maxColdRequests = coldRate * 1.5 + 5; // in any second
constexpr auto coldTime = 4'000ms;

/// Control VMs and more entries than the limits that they share allow requests.
class system_of_many_entries : public forwarding_system {
public:
    static constexpr int entries = 60;

    system_of_many_entries(
        std::vector<std::string> failureDomains = { "east" }, std::chrono::milliseconds lease = 6s)
    {
        setFailureDomains(std::move(failureDomains));
        setSharedLimitLease(lease);
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        auto body = deployment(3);
        body["services"][0]["cold-per-s"] = coldRate;
        body["services"][0]["cold-start-s"] = 3;
        putDeployment(1, body);
        for (int number = 1; number <= entries; ++number)
            startEntry(number);
        for (int number = 1; number <= entries; ++number)
            eventually([&] { return isReady(number); });
    }

    /// Sends requests to all entries concurrently.
    void sendFor(std::chrono::milliseconds time)
    {
        auto until = std::chrono::steady_clock::now() + time;
        std::vector<std::thread> callers;
        for (int number = 1; number <= entries; ++number)
            callers.emplace_back([this, number, until] {
                while (std::chrono::steady_clock::now() < until) {
                    request(number, "/shop/whole");
                    std::this_thread::sleep_for(50ms);
                }
            });
        for (auto& each : callers)
            each.join();
    }
};

class system_of_three_domains : public system_of_many_entries {
public:
    system_of_three_domains()
        : system_of_many_entries({ "east", "north", "south" }, 1s)
    {
    }
};

} // namespace

TEST_CASE_METHOD(system_of_three_domains,
    "Cold targets are not overloaded while control VMs and entries stop, restart and are suspended",
    "[forwarding][soak]")
{
    constexpr auto disturbedTime = 16s;
    constexpr auto calmTime = 9s; // detection of a lost holder, its lease and that of a successor
    auto& first = startTarget("t1", "shop", 60s);
    auto& second = startTarget("t2", "shop", 60s);
    startAnnouncing();
    INFO("seed " << soakSeed());
    std::thread callers([this, disturbedTime, calmTime] { sendFor(disturbedTime + calmTime); });
    disturbances(*this, entries, soakSeed()).runFor(disturbedTime);
    std::this_thread::sleep_for(calmTime - 3s);
    auto before = first.requests().size();
    callers.join();
    CHECK(maxRequestsPerSecond(first) <= maxColdRequests);
    CHECK(maxRequestsPerSecond(second) <= maxColdRequests);
    CHECK(first.requests().size() - before >= coldRate); // in three seconds: a third of what it bears
}

TEST_CASE_METHOD(system_of_many_entries,
    "A cold target gets no more requests than it bears when each of many entries has some for it",
    "[forwarding]")
{
    std::this_thread::sleep_for(2s); // the lease of the shared limits is taken
    auto& cold = startTarget("t1", "shop", coldTime);
    sendFor(3s);
    CHECK(maxRequestsPerSecond(cold) <= maxColdRequests);
    CHECK(cold.requests().size() >= coldRate); // in three seconds: a third of what it bears
}

TEST_CASE_METHOD(system_of_many_entries,
    "A request is retried although the reserve has fewer retries than there are entries",
    "[forwarding][retry]")
{
    constexpr std::size_t reserve = 50; // default of retryExtra
    constexpr std::size_t requestsPerEntry = 4;
    auto& first = startTarget("t1");
    auto& second = startTarget("t2");
    auto arrivals = [&] { return first.requests().size() + second.requests().size(); };
    waitForTarget(1);
    std::this_thread::sleep_for(2s);
    auto before = arrivals();
    request(2, "/stock/not-run");
    CHECK(arrivals() - before == 2);
    before = arrivals();
    for (std::size_t count = 0; count < requestsPerEntry; ++count) {
        for (int number = 1; number <= entries; ++number)
            request(number, "/stock/not-run");
    }
    constexpr std::size_t sent = entries * requestsPerEntry;
    CHECK(arrivals() - before > sent);
    CHECK(arrivals() - before <= sent + sent / 5 + reserve);
}
