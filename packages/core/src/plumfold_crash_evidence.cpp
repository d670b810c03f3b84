// The part of crash_registry that exchanges evidence with other registries.

#include "plumfold/core/plumfold_crash_registry.hpp"

#include <algorithm>
#include <unordered_set>

namespace plumfold::core {

namespace {

milliseconds ageOf(instant at, instant now)
{
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - at));
}

} // namespace

crash_evidence crash_registry::evidenceAfter(std::uint64_t change, instant now) const
{
    std::vector<const crash*> changed;
    for (const auto& [key, crash] : m_crashes) {
        if (crash.change > change)
            changed.push_back(&crash);
    }
    std::sort(changed.begin(), changed.end(),
        [](const auto* left, const auto* right) { return left->change < right->change; });
    crash_evidence evidence;
    evidence.change = m_latestChange;
    if (changed.size() > m_options.maxCrashesOfEvidence) {
        changed.resize(m_options.maxCrashesOfEvidence);
        evidence.change = changed.back()->change;
    }
    std::unordered_set<std::uint64_t> involved;
    for (const auto* crash : changed) {
        crash_report report { crash->target, crash->startedAt, crash->service, {},
            ageOf(crash->endedAt, now) };
        for (const auto& [fingerprint, victim] : crash->victims) {
            report.victims.push_back(victim.request);
            for (const auto& trait : victim.traits)
                involved.insert({ trait.id, trait.wider }); // 0 is no trait
        }
        evidence.crashes.push_back(std::move(report));
    }
    for (const auto& [trait, successes] : m_successes) {
        for (const auto& [origin, success] : successes) {
            bool isChanged = success.change > change && success.change <= evidence.change;
            if (isChanged || involved.contains(trait))
                evidence.successes.push_back({ trait, origin, success.number, ageOf(success.at, now) });
        }
    }
    return evidence;
}

std::vector<crash_report> crash_registry::addEvidence(const crash_evidence& evidence, instant now)
{
    std::vector<crash_report> added;
    for (const auto& report : evidence.crashes) {
        if (addReport(report, now))
            added.push_back(report);
    }
    for (const auto& each : evidence.successes) {
        auto [place, isNew] = m_successes[each.trait].try_emplace(each.origin);
        auto& known = place->second;
        auto at = now - each.age;
        if (isNew || known.number < each.number)
            known = { each.number, at, at, ++m_latestChange };
        // Evidence that arrives late makes crashes seem later. Successes beside them must not seem earlier.
        else if (known.number == each.number && !added.empty())
            known.at = std::max(known.at, at);
    }
    return added;
}

} // namespace plumfold::core
