// The part of target_selector that obeys what targets ask of their callers.

#include "plumfold/core/plumfold_hash.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"

#include <algorithm>
#include <limits>

namespace plumfold::core {

namespace {

/// Of a target's limit, for all entries together, while the control VM that grants starts does not answer.
/// Other entries may still reach it and use the whole limit.
constexpr double shareWithoutIssuer = 0.25;
constexpr double minPerSecondWithoutIssuer = 0.1;
constexpr milliseconds maxRetryWithoutIssuer { 1'000 };

} // namespace

std::vector<target_demand> target_selector::applyDemands(
    const std::vector<target_demand>& demands, instant now)
{
    std::vector<target_demand> changed;
    for (const auto& each : demands) {
        if (m_demands.apply(each, now))
            changed.push_back(each);
    }
    return changed;
}

std::optional<target_demand> target_selector::demandOf(const std::string& target) const
{
    auto found = m_targets.find(target);
    return found == m_targets.end() ? std::nullopt : m_demands.find(target, found->second.last.startedAt);
}

bool target_selector::isRateLimited(const std::string& target) const
{
    auto found = m_targets.find(target);
    return found != m_targets.end() && isRateLimited(found->second);
}

bool target_selector::isRateLimited(const tracked_target& target) const
{
    return m_demands.maxRequestsPerSecond(target.last.name, target.last.startedAt).has_value();
}

void target_selector::onRestRequested(const std::string& target, unix_milliseconds startedAt, instant until)
{
    auto found = m_targets.find(target);
    if (found != m_targets.end() && found->second.last.startedAt == startedAt)
        found->second.restsUntil = std::max(found->second.restsUntil, until);
}

bool target_selector::isResting(const std::string& target, instant now) const
{
    auto found = m_targets.find(target);
    return found != m_targets.end() && now < found->second.restsUntil;
}

std::set<std::string> target_selector::restingTargets(const std::string& service, instant now) const
{
    std::set<std::string> names;
    for (const auto& [name, each] : m_targets) {
        if (each.last.service == service && now < each.restsUntil)
            names.insert(name);
    }
    return names;
}

/// @return when the first rest ends of a target that could serve the request; nothing if there is none.
std::optional<instant> target_selector::nextRestEnd(const placement_request& request, instant now) const
{
    std::optional<instant> next;
    for (const auto& [name, each] : m_targets) {
        bool isResting = each.last.service == request.service && now < each.restsUntil;
        if (isResting && isResponsive(each, now) && !request.excluded.contains(name))
            next = std::min(next.value_or(instant::max()), each.restsUntil);
    }
    return next;
}

void target_selector::onRateLimitDecision(
    const std::string& target, const grant_decision& decision, instant now)
{
    auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    found->second.nextStartWithoutIssuer.reset();
    if (!decision.isGranted)
        found->second.limitedStartRefusedUntil = now + decision.retryAfter;
}

grant_decision target_selector::tryStartWithoutIssuer(const std::string& target, instant now)
{
    auto found = m_targets.find(target);
    if (found == m_targets.end())
        return { false, maxRetryWithoutIssuer };
    auto& limited = found->second;
    auto limit = m_demands.maxRequestsPerSecond(target, limited.last.startedAt).value_or(0);
    auto perSecond
        = std::max(limit * shareWithoutIssuer, minPerSecondWithoutIssuer) / std::max(m_entries, 1U);
    std::chrono::duration<double> interval(1 / perSecond);
    // A random part of the interval, so that entries do not start at the same time.
    auto part = static_cast<double>(hashBytes(m_options.entryName, hashBytes(target)))
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    auto& next = limited.nextStartWithoutIssuer;
    if (!next)
        next = now + std::chrono::ceil<milliseconds>(part * interval);
    if (now < *next) {
        auto retryAfter = std::min(std::chrono::ceil<milliseconds>(*next - now), maxRetryWithoutIssuer);
        limited.limitedStartRefusedUntil = now + retryAfter;
        return { false, retryAfter };
    }
    next = now + std::chrono::ceil<milliseconds>(interval);
    return { true, milliseconds(0) };
}

} // namespace plumfold::core
