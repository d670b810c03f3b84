#include "support/plumfold_place_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace plumfold;
using namespace plumfold::core;
using namespace plumfold::tests;

namespace {

constexpr milliseconds latencyTarget { 300 };

/// @return a load with the longest wait that entries state for a route with the latency target.
place_load loadOf(double ofCapacity, std::uint32_t priority, const std::string& customer = "acme")
{
    constexpr std::array<double, 3> waitFactors { 1.2, 0.9, 0.6 };
    auto wait = static_cast<std::int64_t>(
        static_cast<double>(latencyTarget.count()) * waitFactors[std::min(priority, 2u)]);
    return { ofCapacity * simulatedCapacity, priority, customer, milliseconds(wait) };
}

/// @return a third of the load for each of three priorities.
std::vector<place_load> threePriorities(double ofCapacity)
{
    return { loadOf(ofCapacity / 3, 0), loadOf(ofCapacity / 3, 1), loadOf(ofCapacity / 3, 2) };
}

template <class Condition> double countOf(const std::vector<place_trial>& trials, Condition condition)
{
    return static_cast<double>(std::count_if(trials.begin(), trials.end(), condition));
}

double countOf(const std::vector<place_trial>& trials, place_result result)
{
    return countOf(trials, [&](const auto& each) { return each.result == result; });
}

bool isServedInTime(const place_trial& trial)
{
    return trial.result == place_result::served && trial.endedAt - trial.arrivedAt <= latencyTarget;
}

} // namespace

// Guards against requests that a target rejects because each entry counts only its own.
TEST_CASE("With places, targets reject a tenth at most of what they reject without", "[places][load]")
{
    double load = GENERATE(0.6, 1.0, 1.5, 3.0);
    auto seed = GENERATE(1, 2, 3);
    place_simulation_options options { threePriorities(load) };
    options.seed = static_cast<std::uint64_t>(seed);
    auto with = countOf(simulatePlaces(options), place_result::rejected);
    options.usesPlaces = false;
    auto without = countOf(simulatePlaces(options), place_result::rejected);
    CAPTURE(load, seed, with, without);
    CHECK(with <= without / 10);
}

// Guards against targets that idle while requests wait or are refused.
TEST_CASE("Under overload, the targets' capacity is used", "[places][load]")
{
    double load = GENERATE(1.5, 3.0);
    auto seed = GENERATE(1, 2, 3);
    place_simulation_options options { threePriorities(load) };
    options.seed = static_cast<std::uint64_t>(seed);
    auto trials = simulatePlaces(options);
    // Requests that end after the load do not count.
    auto end = trials.front().arrivedAt + options.duration;
    auto served = countOf(
        trials, [&](const auto& each) { return each.result == place_result::served && each.endedAt <= end; });
    CAPTURE(load, seed, served);
    CHECK(served >= 0.9 * simulatedCapacity * 10);
    CHECK(countOf(trials, place_result::lost) == 0);
}

// Guards against urgent requests that queue behind others.
TEST_CASE("Under overload, urgent requests are served in time", "[places][load]")
{
    auto seed = GENERATE(1, 2, 3);
    place_simulation_options options { threePriorities(1.5) };
    options.seed = static_cast<std::uint64_t>(seed);
    auto trials = simulatePlaces(options);
    auto urgent = countOf(trials, [](const auto& each) { return each.load == 0; });
    auto inTime = countOf(trials, [](const auto& each) { return each.load == 0 && isServedInTime(each); });
    CAPTURE(seed, urgent, inTime);
    CHECK(inTime >= 0.95 * urgent);
}

// Guards against a customer's excess load that takes the capacity from the others.
TEST_CASE("A customer gets what it asks beside one that asks ten times as much", "[places][load]")
{
    double small = GENERATE(0.15, 0.3, 0.5);
    auto seed = GENERATE(1, 2, 3);
    place_simulation_options options { { loadOf(small, 1, "small"), loadOf(10 * small, 1, "large") } };
    options.seed = static_cast<std::uint64_t>(seed);
    auto trials = simulatePlaces(options);
    auto asked = countOf(trials, [](const auto& each) { return each.load == 0; });
    auto served = countOf(
        trials, [](const auto& each) { return each.load == 0 && each.result == place_result::served; });
    CAPTURE(small, seed, asked, served);
    CHECK(served >= 0.9 * asked);
}

// Guards against less urgent requests that get no place while more urgent ones fill all of them.
TEST_CASE("Under overload, the least urgent requests are not starved", "[places][load]")
{
    double load = GENERATE(1.5, 3.0, 6.0);
    auto seed = GENERATE(1, 2, 3);
    place_simulation_options options { threePriorities(load) };
    options.seed = static_cast<std::uint64_t>(seed);
    std::vector<instant> granted { instant {}, instant {} + options.duration };
    for (const auto& each : simulatePlaces(options)) {
        if (each.load == 2 && each.grantedAt != instant {})
            granted.push_back(each.grantedAt);
    }
    std::sort(granted.begin(), granted.end());
    auto longestGap = milliseconds(0);
    for (std::size_t index = 1; index < granted.size(); ++index)
        longestGap = std::max(
            longestGap, std::chrono::duration_cast<milliseconds>(granted[index] - granted[index - 1]));
    CAPTURE(load, seed, granted.size());
    CHECK(longestGap <= milliseconds(2'000));
}

// Guards against refused callers that all return at once, or while there is still no room. At three times the
// capacity for 10 s, half of them cannot be served at all: callers return within 5 s, so that 15 s of
// capacity are asked to serve 30 s of requests.
TEST_CASE("Callers that return when told are mostly served", "[places][load]")
{
    auto [load, durationMs] = GENERATE(table<double, int>({ { 1.5, 10'000 }, { 3.0, 2'000 } }));
    auto seed = GENERATE(1, 2, 3);
    place_simulation_options options { threePriorities(load) };
    options.seed = static_cast<std::uint64_t>(seed);
    options.duration = milliseconds(durationMs);
    options.doCallersReturn = true;
    auto trials = simulatePlaces(options);
    auto returned = countOf(trials, [](const auto& each) { return each.isSecondTry; });
    auto served = countOf(
        trials, [](const auto& each) { return each.isSecondTry && each.result == place_result::served; });
    CAPTURE(load, durationMs, seed, returned, served);
    CHECK(served >= 0.5 * returned);
}

// Guards against refusals because of short peaks.
TEST_CASE("At 0.6 of the capacity, no request is refused", "[places][load]")
{
    auto seed = GENERATE(range(1, 11));
    place_simulation_options options { threePriorities(0.6) };
    options.seed = static_cast<std::uint64_t>(seed);
    auto trials = simulatePlaces(options);
    CAPTURE(seed);
    CHECK(countOf(trials, place_result::refused) == 0);
    CHECK(countOf(trials, place_result::served) == static_cast<double>(trials.size()));
}
