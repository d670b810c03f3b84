// Benchmarks target_selector::choose(): CPU time per choice with 910 targets, without rollouts and while one
// is running. Prints one line per case.

#include "plumfold/core/plumfold_target_selector.hpp"

#include <cstdio>
#include <ctime>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace plumfold::core;

/// @return the CPU time of this process in µs, so that other processes on the machine don't matter.
double cpuMicroseconds()
{
    return 1e6 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

constexpr int targetCount = 910;
constexpr int serviceCount = 4;
constexpr int failureDomainCount = 5;
constexpr int choices = 10'000;

std::vector<target_announcement> makeTargets()
{
    std::vector<target_announcement> out;
    for (int number = 0; number < targetCount; ++number) {
        target_announcement target;
        target.name = "target-" + std::to_string(number);
        target.service = "service-" + std::to_string(number % serviceCount);
        target.address = "10.0.0.1:" + std::to_string(number);
        target.failureDomain = "d" + std::to_string(number % failureDomainCount);
        target.slots = 64;
        target.models = { { "m", "1", {} } };
        target.startedAt = 1;
        target.softwareVersion = number / serviceCount % 2 == 0 ? "v1" : "v2";
        out.push_back(std::move(target));
    }
    return out;
}

struct bench_case {
    const char* name;
    bool hasRollout;
    bool hasSessions;
};

void measure(const bench_case& each)
{
    target_selector_options options;
    options.failureDomain = "d0";
    options.holdsNewVersions = each.hasRollout;
    target_selector selector(options);
    instant now {};
    selector.applyAnnouncements(makeTargets(), true, now);
    if (each.hasRollout) {
        rollout_record record;
        record.id = 1;
        record.version = "v2";
        record.formerVersions = { "v1" };
        record.share = 650;
        selector.setRollouts({ { "service-0", record }, { "service-1", record }, { "service-2", record },
                                 { "service-3", record } },
            now);
        selector.onRolloutsConfirmed(now, now);
    }
    auto start = cpuMicroseconds();
    for (int index = 0; index < choices; ++index) {
        placement_request request;
        request.service = "service-" + std::to_string(index % serviceCount);
        request.model = "m";
        request.session = each.hasSessions ? static_cast<std::uint64_t>(index + 1) : 0;
        request.promptTokens = 2'048;
        request.isRolloutPlanFresh = true;
        request.rolloutDraw = static_cast<std::uint32_t>(index % rolloutFullShare);
        auto result = selector.choose(request, now);
        if (result.chosen)
            selector.onAttemptEnded(result.chosen->target, attempt_result::answered, 2'048, now);
    }
    double took = cpuMicroseconds() - start;
    start = cpuMicroseconds();
    constexpr int updates = 100;
    for (int index = 0; index < updates; ++index)
        selector.applyAnnouncements({}, false, now);
    double tookUpdates = cpuMicroseconds() - start;
    std::printf("selection: targets=%d case=%s us_per_choice=%.1f us_per_update=%.1f\n", targetCount,
        each.name, took / choices, tookUpdates / updates);
}

} // namespace

int main()
{
    for (const auto& each : { bench_case { "plain", false, false }, bench_case { "sessions", false, true },
             bench_case { "plain_rollout", true, false }, bench_case { "sessions_rollout", true, true } })
        measure(each);
    return 0;
}
