#include "plumfold/core/plumfold_crash_registry.hpp"

#include <algorithm>
#include <tuple>

namespace plumfold::core {

bool crash_registry::addReport(const crash_report& report, instant now)
{
    if (isWithdrawn(report, now - report.age))
        return false;
    auto [place, isNew] = m_crashes.try_emplace({ report.target, report.startedAt });
    auto& known = place->second;
    if (isNew) {
        known.target = report.target;
        known.startedAt = report.startedAt;
        known.service = report.service;
        known.reportedAt = now;
        known.endedAt = now - report.age;
        known.change = ++m_latestChange;
    }
    for (const auto& each : report.victims) {
        bool isAdded = known.victims.size() < m_options.maxVictims
            && known.victims.try_emplace(each.fingerprint, victim { each, listTraits(each) }).second;
        if (isAdded)
            known.change = ++m_latestChange;
    }
    if (m_crashes.size() > m_options.maxCrashes)
        dropOldestCrash();
    return isNew;
}

bool crash_registry::isWithdrawn(const crash_report& report, instant endedAt) const
{
    return std::any_of(m_withdrawals.begin(), m_withdrawals.end(), [&](const auto& withdrawal) {
        return endedAt < withdrawal.second
            && std::any_of(report.victims.begin(), report.victims.end(),
                [&](const auto& each) { return hasTraits(listTraits(each), withdrawal.first); });
    });
}

void crash_registry::dropOldestCrash()
{
    m_crashes.erase(std::min_element(m_crashes.begin(), m_crashes.end(),
        [](const auto& left, const auto& right) { return left.second.endedAt < right.second.endedAt; }));
}

void crash_registry::addSuccess(std::uint64_t trait, instant at)
{
    auto [place, isNew] = m_successes[trait].try_emplace(m_options.id);
    auto& latest = place->second;
    if (isNew || latest.numberedAt + m_options.successInterval <= at)
        latest = { latest.number + 1, at, at, ++m_latestChange };
    latest.at = std::max(latest.at, at);
}

/// @return when a request with a trait last succeeded. A part that is sound for one customer is sound for
/// all.
std::optional<instant> crash_registry::latestSuccess(const request_trait& trait) const
{
    std::optional<instant> latest;
    for (auto id : { trait.id, trait.wider }) {
        auto successes = m_successes.find(id);
        if (successes == m_successes.end())
            continue;
        for (const auto& [origin, success] : successes->second)
            latest = std::max(latest.value_or(instant::min()), success.at);
    }
    return latest;
}

/// @return the verdicts by which a request is condemned.
std::vector<const trait_set*> crash_registry::verdictsOn(const victim& victim) const
{
    std::vector<const trait_set*> found;
    if (m_verdicts.empty())
        return found;
    for (const auto& trait : victim.traits) {
        auto verdicts = m_verdicts.find(trait.id);
        if (verdicts == m_verdicts.end())
            continue;
        for (const auto& traits : verdicts->second) {
            if (hasTraits(victim.traits, traits))
                found.push_back(&traits);
        }
    }
    return found;
}

bool crash_registry::isExplained(const crash& crash) const
{
    return std::any_of(crash.victims.begin(), crash.victims.end(),
        [&](const auto& each) { return !verdictsOn(each.second).empty(); });
}

/// @return whether a trait of a victim may still be found to be the cause. A verdict on a request leaves open
/// whether it is one of its parts, one on several parts which of them it is, and one on a part of a customer
/// whether it is the part for all customers.
bool crash_registry::isOpen(
    const victim& victim, const std::vector<const trait_set*>& verdicts, const request_trait& trait)
{
    auto isOpenUnder = [&](const trait_set& traits) {
        auto condemned = *traits.begin();
        if (traits.size() > 1)
            return traits.contains(trait.id);
        if (condemned == victim.traits.front().id)
            return trait.kind != trait_kind::request;
        return std::any_of(victim.traits.begin(), victim.traits.end(),
            [&](const auto& each) { return each.id == condemned && each.wider == trait.id; });
    };
    return std::all_of(
        verdicts.begin(), verdicts.end(), [&](const auto* traits) { return isOpenUnder(*traits); });
}

void crash_registry::addMentions(const crash& crash, std::vector<mention>& all) const
{
    bool isCrashExplained = isExplained(crash);
    for (const auto& [fingerprint, victim] : crash.victims) {
        auto verdicts = verdictsOn(victim);
        if (isCrashExplained && verdicts.empty())
            continue;
        for (const auto& trait : victim.traits) {
            if (isOpen(victim, verdicts, trait))
                all.push_back({ &trait, &crash, fingerprint, victim.request.customer });
        }
    }
}

/// @return the mentions of traits that may have caused the crash, those of one trait together.
std::vector<crash_registry::mention> crash_registry::mentions(instant reportedUntil) const
{
    std::vector<mention> all;
    for (const auto& [key, crash] : m_crashes) {
        if (crash.reportedAt <= reportedUntil)
            addMentions(crash, all);
    }
    std::stable_sort(all.begin(), all.end(),
        [](const auto& left, const auto& right) { return left.trait->id < right.trait->id; });
    const request_trait* latest = nullptr;
    std::optional<instant> success;
    std::erase_if(all, [&](const auto& each) {
        if (!latest || latest->id != each.trait->id) {
            latest = each.trait;
            success = latestSuccess(*latest);
        }
        return success && *success + m_options.maxSuccessAge >= each.involved->endedAt;
    });
    return all;
}

/// @return the traits that were involved in enough crashes to be condemned.
crash_registry::candidate_map crash_registry::candidates(instant reportedUntil) const
{
    auto fewest = std::min(m_options.forRequests.alone, m_options.forParts.alone);
    auto all = mentions(reportedUntil);
    candidate_map found;
    for (auto first = all.begin(); first != all.end();) {
        auto last = std::find_if(
            first, all.end(), [&](const auto& each) { return each.trait->id != first->trait->id; });
        candidate one;
        one.kind = first->trait->kind;
        for (auto each = first; each != last; ++each) {
            if (one.crashes.empty() || one.crashes.back() != each->involved)
                one.crashes.push_back(each->involved);
        }
        if (one.crashes.size() >= fewest) {
            for (auto each = first; each != last; ++each) {
                one.requests.insert(each->request);
                one.customers.insert(each->customer);
            }
            found.emplace(first->trait->id, std::move(one));
        }
        first = last;
    }
    return found;
}

const crash_thresholds& crash_registry::thresholdsOf(const candidate& one) const
{
    return one.kind == trait_kind::request ? m_options.forRequests : m_options.forParts;
}

/// @return whether a candidate was involved in enough crashes with different requests to be a cause at all.
bool crash_registry::isEligible(const candidate& one) const
{
    bool isShared = one.kind == trait_kind::shared_part;
    const auto& thresholds = thresholdsOf(one);
    return one.crashes.size() >= thresholds.alone && one.requests.size() >= thresholds.requests
        && (!isShared || one.customers.size() >= m_options.customersOfSharedParts);
}

/// @return the number of unexplained crashes of the same service, at the time of those of a candidate, that
/// it was not involved in.
std::size_t crash_registry::backgroundCrashes(const candidate& one) const
{
    auto [first, last] = std::minmax_element(one.crashes.begin(), one.crashes.end(),
        [](const auto* left, const auto* right) { return left->endedAt < right->endedAt; });
    auto from = (*first)->endedAt - m_options.backgroundTime;
    auto until = (*last)->endedAt + m_options.backgroundTime;
    return static_cast<std::size_t>(std::count_if(m_crashes.begin(), m_crashes.end(), [&](const auto& each) {
        const auto& crash = each.second;
        return crash.service == one.crashes.front()->service && crash.endedAt >= from
            && crash.endedAt <= until && !isExplained(crash)
            && std::find(one.crashes.begin(), one.crashes.end(), &crash) == one.crashes.end();
    }));
}

/// @return whether a candidate was involved in enough crashes, in view of those that end targets without it.
bool crash_registry::isSufficient(const candidate& one) const
{
    const auto& thresholds = thresholdsOf(one);
    auto crashes = one.crashes.size();
    if (crashes >= thresholds.always)
        return true;
    auto background = backgroundCrashes(one);
    return background == 0 || (crashes >= thresholds.amongOthers && 2 * crashes > background);
}

/// @return whether in each of the crashes one request has all traits.
bool crash_registry::areTogether(const trait_set& traits, const std::vector<const crash*>& crashes)
{
    return std::all_of(crashes.begin(), crashes.end(), [&](const auto* crash) {
        return std::any_of(crash->victims.begin(), crash->victims.end(),
            [&](const auto& each) { return hasTraits(each.second.traits, traits); });
    });
}

/// @return whether another trait may have caused a crash, and at least as many as a candidate.
bool crash_registry::explainsAsWell(
    const candidate_map& all, const request_trait& other, const candidate& one, const crash& crash) const
{
    auto found = all.find(other.id);
    if (found == all.end() || !isEligible(found->second))
        return false;
    // What a part for all customers explains includes what it explains for one of them.
    auto wider = all.find(other.wider);
    bool isWiderEligible = wider != all.end() && isEligible(wider->second);
    if (one.kind == trait_kind::shared_part && isWiderEligible)
        return false;
    const auto& crashes = found->second.crashes;
    return crashes.size() >= one.crashes.size()
        && std::find(crashes.begin(), crashes.end(), &crash) != crashes.end();
}

/// Finds the traits that can't be told apart from a candidate, because they always came together.
/// @return whether no other candidate explains any of the crashes as well.
bool crash_registry::findTogether(const candidate_map& all, std::uint64_t trait, trait_set& together) const
{
    const auto& one = all.at(trait);
    together = { trait };
    for (const auto* crash : one.crashes) {
        for (const auto& [fingerprint, victim] : crash->victims) {
            for (const auto& each : victim.traits) {
                if (together.contains(each.id) || !explainsAsWell(all, each, one, *crash))
                    continue;
                const auto& other = all.at(each.id);
                bool isSame = other.kind == one.kind && other.crashes == one.crashes
                    && areTogether({ trait, each.id }, one.crashes);
                if (!isSame)
                    return false;
                together.insert(each.id);
            }
        }
    }
    return true;
}

std::vector<crash_finding> crash_registry::condemn(instant now)
{
    std::vector<crash_finding> condemned;
    bool isChanged = true;
    while (isChanged) {
        isChanged = false;
        auto all = candidates(now - m_options.settleTime);
        for (const auto& [trait, one] : all) {
            trait_set together;
            if (!isEligible(one) || !findTogether(all, trait, together) || !isSufficient(one))
                continue;
            auto& verdicts = m_verdicts[*together.begin()];
            if (!verdicts.insert(together).second)
                continue;
            condemned.push_back({ together, one.kind, static_cast<std::uint32_t>(one.crashes.size()), {} });
            for (const auto* crash : one.crashes)
                condemned.back().targets.push_back(crash->target);
            isChanged = true;
            break;
        }
    }
    return condemned;
}

void crash_registry::addVerdict(const trait_set& traits)
{
    if (!traits.empty())
        m_verdicts[*traits.begin()].insert(traits);
}

void crash_registry::withdraw(const trait_set& traits, instant at)
{
    if (traits.empty())
        return;
    auto& withdrawnAt = m_withdrawals.try_emplace(traits, at).first->second;
    withdrawnAt = std::max(withdrawnAt, at);
    std::erase_if(m_crashes, [&](const auto& each) {
        const auto& [key, crash] = each;
        return crash.endedAt < withdrawnAt
            && std::any_of(crash.victims.begin(), crash.victims.end(),
                [&](const auto& victim) { return hasTraits(victim.second.traits, traits); });
    });
    auto found = m_verdicts.find(*traits.begin());
    if (found == m_verdicts.end())
        return;
    found->second.erase(traits);
    if (found->second.empty())
        m_verdicts.erase(found);
}

std::vector<crash_suspect> crash_registry::suspects(instant now) const
{
    std::vector<crash_suspect> all;
    const crash* latest = nullptr;
    for (const auto& each : mentions(now)) {
        bool isSameTrait = !all.empty() && all.back().trait == each.trait->id;
        if (!isSameTrait)
            all.push_back({ each.trait->id, 0 });
        if (!isSameTrait || latest != each.involved)
            ++all.back().crashes;
        latest = each.involved;
    }
    std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) {
        return std::tie(right.crashes, left.trait) < std::tie(left.crashes, right.trait);
    });
    if (all.size() > m_options.maxSuspects)
        all.resize(m_options.maxSuspects);
    return all;
}

void crash_registry::expire(instant now)
{
    auto isOld = [&](instant at) { return now - at > m_options.maxCrashAge; };
    std::erase_if(m_crashes, [&](const auto& each) { return isOld(each.second.endedAt); });
    for (auto& [trait, successes] : m_successes)
        std::erase_if(successes, [&](const auto& each) { return isOld(each.second.at); });
    std::erase_if(m_successes, [](const auto& each) { return each.second.empty(); });
    std::erase_if(m_withdrawals, [&](const auto& each) { return isOld(each.second); });
}

} // namespace plumfold::core
