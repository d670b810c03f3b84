#include "plumfold/core/plumfold_load_leveling.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <numeric>
#include <random>
#include <vector>

using namespace plumfold::core;

namespace {

constexpr std::uint64_t promptTokens = 1'920;
constexpr double serviceMs = 40; // to read the prompt

/// Reads prompts one after another.
struct simulated_engine {
    double freeAtMs = 0;
    std::deque<double> ends; // of the requests in progress, in ms
    int arrivals = 0;
};

struct fleet_result {
    double busiestToMean = 0;
    double medianWaitMs = 0;
    double percentile99WaitMs = 0;
};

struct fleet {
    std::size_t entries = 0;
    std::size_t engines = 0;
    double load = 0; ///< Share of the engines' capacity.
    milliseconds reportInterval { 250 };
    milliseconds reportAge { 150 }; ///< When a report reaches the entries.
};

std::vector<target_announcement> announcements(std::size_t count)
{
    std::vector<target_announcement> out;
    for (std::size_t number = 0; number < count; ++number) {
        target_announcement each;
        each.name = "t" + std::to_string(number);
        each.service = "pool";
        each.address = "10.0.0.1:" + std::to_string(8000 + number);
        each.failureDomain = "a";
        each.slots = 64;
        each.models = { { "m", "1", {} } };
        out.push_back(std::move(each));
    }
    return out;
}

std::vector<target_load> reports(std::vector<simulated_engine>& engines, double nowMs)
{
    std::vector<target_load> out;
    for (std::size_t number = 0; number < engines.size(); ++number) {
        auto& ends = engines[number].ends;
        while (!ends.empty() && ends.front() <= nowMs)
            ends.pop_front();
        target_load load;
        load.target = "t" + std::to_string(number);
        load.running = static_cast<std::uint32_t>(ends.size());
        out.push_back(load);
    }
    return out;
}

/// Lets entries distribute requests of different conversations by load reports that are out of date.
fleet_result play(const fleet& setup)
{
    constexpr double durationMs = 20'000;
    const instant start { std::chrono::hours(1) };
    std::mt19937_64 random(7);
    std::vector<target_selector> selectors;
    auto targets = announcements(setup.engines);
    for (std::size_t number = 0; number < setup.entries; ++number) {
        target_selector_options options;
        options.failureDomain = "a";
        options.entryName = "n" + std::to_string(number);
        selectors.emplace_back(options);
        selectors.back().applyAnnouncements(targets, true, start);
        selectors.back().setEntryCount(static_cast<std::uint32_t>(setup.entries), start);
    }
    std::vector<simulated_engine> engines(setup.engines);
    std::vector<double> waits;
    std::vector<target_load> report;
    auto nextReport = setup.reportInterval;
    auto nextDelivery = milliseconds::max();
    std::exponential_distribution<double> gap(
        setup.load * static_cast<double>(setup.engines) / serviceMs); // requests per ms
    for (double nowMs = gap(random); nowMs < durationMs; nowMs += gap(random)) {
        auto now = start + milliseconds(static_cast<std::int64_t>(nowMs));
        if (now - start >= nextReport) {
            report = reports(engines, nowMs);
            nextReport += setup.reportInterval;
            nextDelivery = std::chrono::duration_cast<milliseconds>(now - start) + setup.reportAge;
        }
        if (now - start >= nextDelivery) {
            for (auto& load : report)
                load.age = setup.reportAge;
            for (auto& each : selectors)
                each.applyLoads(report, now);
            nextDelivery = milliseconds::max();
        }
        placement_request request;
        request.service = "pool";
        request.model = "m";
        request.session = random() | 1;
        request.promptTokens = promptTokens;
        auto& selector = selectors[random() % selectors.size()];
        auto chosen = selector.choose(request, now).chosen;
        REQUIRE(chosen);
        selector.onAttemptEnded(
            chosen->target, attempt_result::answered, target_selector::expectedTokens(request), now);
        auto& engine = engines[std::stoul(chosen->target.substr(1))];
        ++engine.arrivals;
        double begin = std::max(engine.freeAtMs, nowMs);
        engine.freeAtMs = begin + serviceMs;
        engine.ends.push_back(engine.freeAtMs);
        waits.push_back(begin - nowMs);
    }
    std::sort(waits.begin(), waits.end());
    auto busiest = std::max_element(engines.begin(), engines.end(), [](const auto& left, const auto& right) {
        return left.arrivals < right.arrivals;
    })->arrivals;
    double mean = static_cast<double>(waits.size()) / static_cast<double>(setup.engines);
    return { busiest / mean, waits[waits.size() / 2], waits[waits.size() * 99 / 100] };
}

} // namespace

TEST_CASE(
    "The level is where the arriving work fills the targets with the shortest waits", "[selector][leveling]")
{
    CHECK(levelAfterArrivals({ 30, 10, 20 }, 0) == 10);
    CHECK(levelAfterArrivals({ 30, 10, 20 }, 10) == 20);
    CHECK(levelAfterArrivals({ 30, 10, 20 }, 30) == 30);
    CHECK(levelAfterArrivals({ 30, 10, 20 }, 60) == 40);
    CHECK(std::isinf(levelAfterArrivals({}, 5)));
}

TEST_CASE("The work below the level is the work that arrives", "[selector][leveling][property]")
{
    rc::prop("any waits", [] {
        auto waits = *rc::gen::nonEmpty(rc::gen::container<std::vector<double>>(
            rc::gen::map(rc::gen::inRange(0, 10'000), [](int ms) { return static_cast<double>(ms); })));
        double arriving = *rc::gen::inRange(0, 1'000'000);
        double level = levelAfterArrivals(waits, arriving);
        double below = 0;
        for (double wait : waits)
            below += std::max(level - wait, 0.0);
        RC_ASSERT(std::abs(below - arriving) < 1e-6 * (arriving + 1));
    });
}

TEST_CASE("Work is expected at the rate at which it has arrived", "[selector][leveling]")
{
    work_rate rate;
    const instant start { std::chrono::hours(1) };
    for (int number = 0; number < 10'000; ++number)
        rate.add(40, start + milliseconds(number));
    auto end = start + milliseconds(10'000);
    CHECK(rate.expected(milliseconds(100), end) == Approx(4'000).epsilon(0.02));
    CHECK(rate.expected(milliseconds(100), end + milliseconds(20'000)) < 1);
}

TEST_CASE("Entries that choose by the same old reports load all engines alike", "[selector][leveling]")
{
    auto [entries, engines] = GENERATE(table<std::size_t, std::size_t>({ { 18, 10 }, { 194, 117 } }));
    auto load = GENERATE(0.5, 0.9);
    auto result = play({ entries, engines, load });
    CAPTURE(entries, engines, load, result.medianWaitMs, result.percentile99WaitMs);
    CHECK(result.busiestToMean <= 1.15);
}

TEST_CASE("Near full load the slowest of a hundred requests takes no longer than three medians",
    "[selector][leveling]")
{
    auto result = play({ 194, 117, 0.9 });
    CHECK(result.percentile99WaitMs + serviceMs <= 3 * (result.medianWaitMs + serviceMs));
}
