#include "support/plumfold_forwarding_system.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <mutex>

using namespace plumfold::tests;

namespace {

constexpr int callers = 8;
constexpr int requestsPerCaller = 30;

struct caller_outcome {
    std::string id;
    int status = 0;
};

/// Sends requests to an entry with several callers at once.
std::vector<caller_outcome> sendRequests(forwarding_system& system, const std::string& path)
{
    std::mutex mutex;
    std::vector<caller_outcome> outcomes;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller)
        threads.emplace_back([&] {
            for (int number = 0; number < requestsPerCaller; ++number) {
                raw_caller connection(system.callerAddress(1));
                caller_outcome outcome { forwarding_system::nextId(), 0 };
                connection.send(forwarding_system::requestBytes(path, outcome.id, "order"));
                outcome.status = connection.receive().status;
                std::lock_guard lock(mutex);
                outcomes.push_back(outcome);
            }
        });
    for (auto& each : threads)
        each.join();
    return outcomes;
}

bool saysNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

TEST_CASE("A refusal that a target sends once more is not taken for the response to the next request",
    "[forwarding][late_refusal]")
{
    const auto* name = GENERATE("refusal-again", "refusal-again-named");
    CAPTURE(name);
    forwarding_system system;
    for (int number = 1; number <= 3; ++number)
        system.startControl(number);
    system.putDeployment(1, system.deployment(3));
    system.startEntry(1);
    auto& first = system.startTarget("t1");
    auto& second = system.startTarget("t2");
    system.startAnnouncing();
    system.waitForTarget(1);
    auto outcomes = sendRequests(system, std::string("/shop/") + name);
    auto executed = first.executed();
    auto more = second.executed();
    executed.insert(executed.end(), more.begin(), more.end());
    int falselyRefused = 0;
    int executedTwice = 0;
    int served = 0;
    for (const auto& each : outcomes) {
        auto runs = std::count(executed.begin(), executed.end(), each.id);
        falselyRefused += runs > 0 && saysNotRun(each.status);
        executedTwice += runs > 1;
        served += each.status == 200;
    }
    CAPTURE(served, executed.size());
    CHECK(falselyRefused == 0);
    CHECK(executedTwice == 0);
    CHECK_FALSE(executed.empty());
}
