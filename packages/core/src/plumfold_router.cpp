#include "plumfold/core/plumfold_router.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

// A target in a remote failure domain adds a round trip to every token.
constexpr milliseconds otherDomainCost { 3 };
// Relative slowdown of the first token by a full batch.
constexpr double batchInterference = 0.5;
// Targets with a cost up to this ratio plus margin above the lowest count as equal; a random choice among
// them spreads the load of several entries.
constexpr double equalCostRatio = 1.1;
constexpr milliseconds equalCostMargin { 2 };

bool hasModel(const request_spec& spec, const std::string& version, const target_report& report)
{
    return std::any_of(report.models.begin(), report.models.end(), [&](const loaded_model& loaded) {
        if (loaded.model != spec.model || loaded.version != version)
            return false;
        return spec.adapter.empty()
            || std::find(loaded.adapters.begin(), loaded.adapters.end(), spec.adapter)
            != loaded.adapters.end();
    });
}

bool hasService(const std::string& service, const target_report& report)
{
    return std::find(report.services.begin(), report.services.end(), service) != report.services.end();
}

std::string versionFor(const request_spec& spec, const configuration& config)
{
    if (!spec.version.empty())
        return spec.version;
    const auto* current = config.weightVersion(spec.model);
    return current ? current->version : std::string();
}

std::uint32_t inFlight(const known_target& target)
{
    std::uint32_t reported = target.report.running + target.report.queued + target.startedSinceReport;
    return std::max(reported, target.ownRunning);
}

} // namespace

router::router(const dispatch_options& options)
    : m_maxViewAge(options.maxViewAge)
    , m_failureDomain(options.failureDomain)
    , m_random(options.seed)
{
}

bool router::isAllowed(const request_spec& spec, const std::string& version, const known_target& target,
    const routing_view& view, instant now) const
{
    const target_report& report = target.report;
    bool able = spec.service.empty() ? !report.isService && hasModel(spec, version, report)
                                     : report.isService && hasService(spec.service, report);
    if (!able || report.leaving || now < target.avoidUntil)
        return false;
    const auto* setting = view.config.config().target(report.name);
    if (setting && !setting->inService)
        return false;
    const auto* domain = view.config.config().failureDomain(report.failureDomain);
    if (!domain || !domain->inService)
        return false;
    // With a stale view of the configuration this entry may be partitioned from the quorum and miss that a
    // remote failure domain was taken out of service.
    bool local = report.failureDomain == m_failureDomain;
    return local || view.config.isFresh(now, m_maxViewAge);
}

router::estimate router::estimateFor(
    const request_spec& spec, std::uint32_t cachedBlocks, const routing_view& view, instant now)
{
    estimate result;
    if (!spec.service.empty())
        return result;
    result.cachedBlocks = cachedBlocks;
    auto uncachedAfter = [&](std::uint32_t blocks) {
        return spec.promptTokens
            - std::min(spec.promptTokens, estimatePromptTokens(blocks * promptBlockBytes));
    };
    std::uint32_t uncached = cachedBlocks == 0 ? spec.promptTokens : uncachedAfter(cachedBlocks);
    result.firstToken = view.speeds.firstToken(spec.model, uncached);
    if (spec.storeBlocks <= cachedBlocks)
        return result;
    std::uint64_t bytes = spec.storeBytes * (spec.storeBlocks - cachedBlocks) / spec.storeBlocks;
    milliseconds imported = view.link.estimate(bytes, now)
        + view.speeds.firstToken(spec.model, uncachedAfter(spec.storeBlocks));
    if (imported < result.firstToken) {
        result.importBlocks = spec.storeBlocks;
        result.firstToken = imported;
    }
    return result;
}

milliseconds router::costOf(const known_target& target, const estimate& expected) const
{
    double fill = static_cast<double>(inFlight(target)) / std::max(1u, target.report.maxBatch);
    double slowed = static_cast<double>(expected.firstToken.count()) * (1 + batchInterference * fill);
    milliseconds cost(static_cast<std::int64_t>(slowed));
    if (target.report.failureDomain != m_failureDomain)
        cost += otherDomainCost;
    return cost;
}

dispatch_plan router::makePlan(const known_target& target, const estimate& expected,
    const std::string& version, const routing_view& view)
{
    dispatch_plan plan;
    plan.target = target.report.name;
    plan.address = target.report.address;
    plan.failureDomain = target.report.failureDomain;
    plan.incarnation = target.report.incarnation;
    plan.owner = view.entries.ownerOf(plan.target, plan.failureDomain);
    plan.version = version;
    plan.cachedBlocks = expected.cachedBlocks;
    plan.importBlocks = expected.importBlocks;
    plan.expectedFirstToken = expected.firstToken;
    return plan;
}

routing_choice router::choose(
    const request_spec& spec, const std::set<std::string>& excluded, const routing_view& view, instant now)
{
    struct candidate {
        const known_target* target;
        estimate expected;
        milliseconds cost;
    };
    routing_choice choice;
    std::vector<candidate> candidates;
    auto cached = view.prefixes.match(spec.chain);
    std::string version = versionFor(spec, view.config.config());
    // Most targets have no blocks of a prompt cached and share one estimate.
    const estimate withoutBlocks = estimateFor(spec, 0, view, now);
    for (const auto& [name, target] : view.targets.all()) {
        if (!isAllowed(spec, version, target, view, now) || excluded.contains(name))
            continue;
        choice.anyEligible = true;
        auto full = view.fullUntil.find(name);
        if (full != view.fullUntil.end() && now < full->second)
            continue;
        auto held = cached.find(name);
        estimate expected = held == cached.end() ? withoutBlocks : estimateFor(spec, held->second, view, now);
        candidates.push_back({ &target, expected, costOf(target, expected) });
    }
    if (candidates.empty())
        return choice;
    auto cheapest = std::min_element(
        candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.cost < b.cost; });
    double maxCostMs = static_cast<double>(cheapest->cost.count()) * equalCostRatio
        + static_cast<double>(equalCostMargin.count());
    std::erase_if(
        candidates, [&](const auto& each) { return static_cast<double>(each.cost.count()) > maxCostMs; });
    // Power of two choices: of two random candidates, the less loaded one is selected.
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    candidate* first = &candidates[draw(m_random)];
    candidate* second = &candidates[draw(m_random)];
    auto fill = [](const candidate& each) {
        return static_cast<double>(inFlight(*each.target)) / std::max(1u, each.target->report.maxBatch);
    };
    const candidate& chosen = fill(*second) < fill(*first) ? *second : *first;
    choice.plan = makePlan(*chosen.target, chosen.expected, version, view);
    return choice;
}

} // namespace plumfold::core
