// Benchmarks an entry's choice of an engine for a prompt, with the plan of its KV parts, without and with
// adaptive placement. Prints the median and the 95th percentile of the time, one line per size.

#include "plumfold/core/plumfold_part_directory.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

namespace {

using namespace plumfold::core;
using clock_type = std::chrono::steady_clock;

constexpr int choices = 4'000;
constexpr int storeCount = 28;
constexpr std::uint64_t bytesPerToken = 163'840;
constexpr double tokensPerMs = 48;
const std::string cacheNamespace = "w1";

std::string domainOf(int number)
{
    return "d" + std::to_string(number % 5);
}

std::vector<service_limits> makeServices()
{
    std::vector<service_limits> services(1);
    services[0].name = "engines";
    services[0].engine = engine_limits { 16, 83'417, bytesPerToken, 180'000 };
    for (int number = 0; number < storeCount; ++number) {
        service_limits store;
        store.name = "store" + std::to_string(number);
        store.store = part_store { "10.1.0.1:" + std::to_string(number), domainOf(number), 900'000, 430'000 };
        services.push_back(store);
    }
    return services;
}

std::vector<prompt_part> promptOf(int conversation)
{
    return { { "system", 650 }, { "c" + std::to_string(conversation), 9'122 }, { "own", 500 } };
}

/// @param isHeldByAll whether all engines hold the first part of all prompts.
void measure(int targets, bool isAdaptive, bool isHeldByAll)
{
    instant now {};
    target_selector selector({ "d0", "entry" });
    part_planner planner;
    part_directory directory;
    auto services = makeServices();
    selector.setServices(services);
    planner.setStores(services);
    std::vector<target_announcement> announcements;
    std::vector<target_load> loads;
    for (int number = 0; number < targets; ++number) {
        target_announcement each;
        each.name = "t" + std::to_string(number);
        each.service = "engines";
        each.address = "10.0.0.1:" + std::to_string(number);
        each.failureDomain = domainOf(number);
        each.state = target_state::ready;
        each.slots = 16;
        announcements.push_back(each);
        loads.push_back({ each.name, static_cast<std::uint32_t>(number % 9), 0, 1'000 });
    }
    selector.applyAnnouncements(announcements, true, now);
    selector.applyLoads(loads, now);
    if (isAdaptive)
        selector.enableSpeedModel();
    selector.setEntryCount(60, now);
    planner.fetches().setEntryCount(60, now - entry_count_filter::rampTime);
    planner.fetches().setEntryCount(60, now);
    for (int number = 0; number < storeCount; ++number) {
        std::string store = "10.1.0.1:" + std::to_string(number);
        directory.reset(store, 1, now);
        directory.apply(store, { hashOf({ cacheNamespace, "system" }), 650 });
    }
    for (int number = 0; isHeldByAll && number < targets; ++number) {
        std::string engine = "10.0.0.1:" + std::to_string(number);
        directory.reset(engine, 1, now);
        directory.apply(engine, { hashOf({ cacheNamespace, "system" }), 650 });
    }
    for (int number = 0; number < choices; ++number)
        directory.apply("10.1.0.1:" + std::to_string(number % storeCount),
            { hashOf({ cacheNamespace, "c" + std::to_string(number) }), 9'122 });
    auto findSource = [&](const std::string& address) { return selector.findSource(address, now); };
    std::vector<double> microseconds;
    for (int number = 0; number < choices; ++number) {
        now += std::chrono::microseconds(300);
        auto parts = promptOf(number);
        auto start = clock_type::now();
        placement_request request;
        request.service = "engines";
        request.session = conversationOf(parts);
        request.promptTokens = 10'272;
        request.sharedTokens = sharedTokensOf(parts);
        request.storedIn = planner.storedIn(parts, cacheNamespace, directory, tokensPerMs, now);
        fetch_target target { {}, receivingLinkOf(*services[0].engine, {}), bytesPerToken, tokensPerMs, 0,
            static_cast<std::size_t>(targets) };
        if (isAdaptive)
            request.sharedCost = planner.sharedPartsCost(parts, cacheNamespace, target, directory, now);
        auto chosen = selector.choose(request, now).chosen;
        target.address = chosen->address;
        target.link.failureDomain = chosen->failureDomain;
        if (isAdaptive)
            planner.planAdaptively(parts, cacheNamespace, target, directory, findSource, now);
        else
            planner.plan(parts, cacheNamespace, { chosen->address, chosen->failureDomain, 0 }, directory,
                findSource, tokensPerMs, now);
        microseconds.push_back(std::chrono::duration<double, std::micro>(clock_type::now() - start).count());
        selector.recordFirstEvent(
            { "engines", chosen->target, 1'150, 3, 0, 16, 0, number % 7 == 0 ? 400.0 : 120.0 }, now);
        selector.onAttemptEnded(
            chosen->target, attempt_result::answered, target_selector::expectedTokens(request), now);
    }
    std::sort(microseconds.begin(), microseconds.end());
    std::printf(
        "placement: targets=%d adaptive=%s held_by_all=%s us_per_choice_median=%.1f us_per_choice_p95=%.1f\n",
        targets, isAdaptive ? "true" : "false", isHeldByAll ? "true" : "false", microseconds[choices / 2],
        microseconds[choices * 95 / 100]);
}

} // namespace

int main()
{
    for (int targets : { 140, 910 }) {
        for (bool isHeldByAll : { false, true }) {
            measure(targets, false, isHeldByAll);
            measure(targets, true, isHeldByAll);
        }
    }
    return 0;
}
