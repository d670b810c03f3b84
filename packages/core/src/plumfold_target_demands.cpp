#include "plumfold/core/plumfold_target_demands.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace plumfold::core {

namespace {

/// Combines two demands of the same incarnation.
target_demand combine(const target_demand& left, const target_demand& right)
{
    auto combined = left.epoch >= right.epoch ? left : right;
    combined.isLeaving = left.isLeaving || right.isLeaving;
    if (left.epoch != right.epoch)
        return combined;
    // The end of a limit in its own epoch is later than each naming.
    if (!left.maxRequestsPerSecond || !right.maxRequestsPerSecond)
        combined.maxRequestsPerSecond.reset();
    else
        combined.maxRequestsPerSecond = std::min(*left.maxRequestsPerSecond, *right.maxRequestsPerSecond);
    return combined;
}

} // namespace

std::string limitText(const target_demand& demand)
{
    return demand.maxRequestsPerSecond ? absl::StrCat(*demand.maxRequestsPerSecond) : "none";
}

void target_demands::set(target_demand demand, instant now)
{
    auto& known = m_entries[demand.target];
    known.demand = std::move(demand);
    known.change = ++m_latestChange;
    known.changedAt = now;
}

bool target_demands::apply(const target_demand& demand, instant now)
{
    auto found = m_entries.find(demand.target);
    if (found != m_entries.end()) {
        const auto& known = found->second.demand;
        if (demand.startedAt < known.startedAt)
            return false;
        auto combined = demand.startedAt == known.startedAt ? combine(known, demand) : demand;
        if (combined == known)
            return false;
        set(std::move(combined), now);
        return true;
    }
    set(demand, now);
    return true;
}

/// Applies the limit that a response names, or that it names none.
void target_demands::updateLimit(target_demand& demand, const target_statement& statement)
{
    const auto& named = statement.maxRequestsPerSecond;
    const auto& known = demand.maxRequestsPerSecond;
    bool isLater = statement.knownEpoch >= demand.epoch;
    bool isLower = named && (!known || *named < *known);
    if (named == known || (!isLower && !isLater))
        return;
    if (named)
        ++demand.epoch;
    demand.maxRequestsPerSecond = named;
}

std::optional<target_demand> target_demands::onResponse(const target_statement& statement, instant now)
{
    auto newest = m_entries.find(statement.target);
    if (newest != m_entries.end() && newest->second.demand.startedAt > statement.startedAt)
        return std::nullopt;
    auto known = find(statement.target, statement.startedAt)
                     .value_or(target_demand { statement.target, statement.startedAt, 0, {} });
    auto demand = known;
    demand.isLeaving = known.isLeaving || statement.isLeaving;
    updateLimit(demand, statement);
    if (demand == known)
        return std::nullopt;
    set(demand, now);
    return demand;
}

const target_demand* target_demands::lookup(const std::string& target, unix_milliseconds startedAt) const
{
    auto found = m_entries.find(target);
    bool isKnown = found != m_entries.end() && found->second.demand.startedAt == startedAt;
    return isKnown ? &found->second.demand : nullptr;
}

std::optional<target_demand> target_demands::find(
    const std::string& target, unix_milliseconds startedAt) const
{
    const auto* demand = lookup(target, startedAt);
    return demand ? std::optional(*demand) : std::nullopt;
}

std::optional<double> target_demands::maxRequestsPerSecond(
    const std::string& target, unix_milliseconds startedAt) const
{
    const auto* demand = lookup(target, startedAt);
    return demand ? demand->maxRequestsPerSecond : std::nullopt;
}

bool target_demands::isLeaving(const std::string& target, unix_milliseconds startedAt) const
{
    const auto* demand = lookup(target, startedAt);
    return demand && demand->isLeaving;
}

std::vector<target_demand> target_demands::changedAfter(std::uint64_t change) const
{
    std::vector<target_demand> changed;
    for (const auto& [target, each] : m_entries) {
        if (each.change > change)
            changed.push_back(each.demand);
    }
    return changed;
}

void target_demands::removeStale(
    const std::function<bool(const std::string&)>& isKnown, instant now, milliseconds maxAge)
{
    std::erase_if(m_entries,
        [&](const auto& each) { return now - each.second.changedAt > maxAge && !isKnown(each.first); });
}

std::size_t target_demands::limitedTargets() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [](const auto& each) { return each.second.demand.maxRequestsPerSecond.has_value(); }));
}

} // namespace plumfold::core
