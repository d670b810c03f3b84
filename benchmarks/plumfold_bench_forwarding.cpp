// Benchmarks forwarding: latency that an entry adds to direct requests, measured in pairs, CPU time per
// request and memory. Starts its own system on loopback.

#include "support/plumfold_process_usage.hpp"

#include "support/plumfold_forwarding_system.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <thread>
#include <vector>

namespace {

using namespace plumfold;
using namespace plumfold::tests;
using clock_type = std::chrono::steady_clock;

constexpr int pairs = 400;
constexpr int callers = 4;
constexpr int requestsPerCaller = 500;

double milliseconds(const std::function<void()>& work)
{
    auto start = clock_type::now();
    work();
    return std::chrono::duration<double, std::milli>(clock_type::now() - start).count();
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void reportFailure(const raw_response& answer)
{
    if (answer.status != 200 || !answer.isComplete)
        std::printf("forwarding: a request was not served: %d\n", answer.status);
}

/// Measures the latency that the entry adds. Both requests of a pair use persistent connections, so only the
/// path through the entry differs. The order alternates to cancel its effect.
void measureAddedTime(
    forwarding_system& system, const std::string& target, const char* name, const char* path)
{
    raw_caller direct(system.targetAddress(target));
    raw_caller through(system.callerAddress(1));
    std::vector<double> added;
    auto timeOf = [&](raw_caller& caller) {
        auto bytes = forwarding_system::requestBytes(path, forwarding_system::nextId(), "order");
        return milliseconds([&] {
            caller.send(bytes);
            reportFailure(caller.receive());
        });
    };
    for (int number = 0; number < pairs; ++number) {
        double first = timeOf(number % 2 == 0 ? direct : through);
        double second = timeOf(number % 2 == 0 ? through : direct);
        added.push_back(number % 2 == 0 ? second - first : first - second);
    }
    std::printf("forwarding: %s added_ms_median=%.2f added_ms_95=%.2f (pairs=%d)\n", name,
        quantile(added, 0.5), quantile(added, 0.95), pairs);
}

void measureProcessorTime(forwarding_system& system, const char* name, const char* path)
{
    int entry = system.process("n1").id();
    double before = benchmarks::cpuSeconds(entry);
    auto start = clock_type::now();
    std::vector<std::thread> threads;
    for (int number = 0; number < callers; ++number) {
        threads.emplace_back([&] {
            raw_caller caller(system.callerAddress(1));
            for (int count = 0; count < requestsPerCaller; ++count) {
                caller.send(forwarding_system::requestBytes(path, forwarding_system::nextId(), "order"));
                reportFailure(caller.receive());
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    double seconds = std::chrono::duration<double>(clock_type::now() - start).count();
    double cpu = benchmarks::cpuSeconds(entry) - before;
    double count = callers * requestsPerCaller;
    std::printf("forwarding: %s requests_per_s=%.0f entry_cpu_us_per_request=%.0f resident_mb=%.0f\n", name,
        count / seconds, cpu * 1e6 / count, benchmarks::residentMegabytes(entry));
}

} // namespace

int main()
{
    forwarding_system system;
    for (int number = 1; number <= 3; ++number)
        system.startControl(number);
    if (!system.putDeployment(1, system.deployment(3)))
        return 1;
    system.startEntry(1);
    system.startTarget("t1");
    system.startAnnouncing();
    system.waitForTarget(1);
    int entry = system.process("n1").id();
    constexpr int idleSeconds = 5;
    double before = benchmarks::cpuSeconds(entry);
    std::this_thread::sleep_for(std::chrono::seconds(idleSeconds));
    std::printf("forwarding: idle entry_cpu_percent=%.2f resident_mb=%.0f\n",
        (benchmarks::cpuSeconds(entry) - before) / idleSeconds * 100, benchmarks::residentMegabytes(entry));
    measureAddedTime(system, "t1", "answer", "/shop/whole");
    measureAddedTime(system, "t1", "stream of six events over 120 ms", "/words/events");
    measureProcessorTime(system, "answers", "/shop/whole");
    return 0;
}
