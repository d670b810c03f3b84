// The part of part_planner that decides on fetches by the expected time for links.

#include "plumfold/core/plumfold_part_directory.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

/// @return the stores and engines that are known to hold a part, without the target.
std::vector<fetch_source> part_planner::sourcesOf(std::uint64_t part, const std::string& target,
    const part_directory& directory, const engine_finder& engines, instant now) const
{
    std::vector<fetch_source> sources;
    for (const auto& holder : directory.holdersOf(part, now)) {
        if (holder == target)
            continue;
        if (const auto* store = storeAt(holder)) {
            sources.push_back({ holder, linkOf(*store), holder_kind::store });
        } else if (auto engine = engines(holder)) {
            sources.push_back({ holder, sendingLinkOf(engine->linkMegabitsPerSecond, engine->failureDomain),
                holder_kind::engine });
        }
    }
    return sources;
}

/// The geometric mean: by room alone the largest stores serve most fetches, by links alone the smallest are
/// full first, and a full store takes no more.
double part_planner::weightByRoomAndLink(const part_store& store) const
{
    double room = weightByRoom(store);
    return m_areLinksUsable ? std::sqrt(room * store.linkMegabitsPerSecond) : room;
}

part_plan part_planner::planAdaptively(const std::vector<prompt_part>& parts,
    const std::string& cacheNamespace, const fetch_target& target, const part_directory& directory,
    const engine_finder& engines, instant now)
{
    // Without fetches it is the plan for saves; with them it is what parts without figures get.
    auto out = planWith(&part_planner::weightByRoomAndLink, parts, cacheNamespace,
        { target.address, target.link.failureDomain, 0 }, directory, engines, target.prefillTokensPerMs, now);
    double fetchMs = 0;
    double readTokens = 0;
    bool isPredicted = false;
    const auto* held = directory.find(target.address, now);
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        auto part = hashOf({ cacheNamespace, parts[index].id });
        if (held && held->tokens.contains(part)) {
            out.heldByTarget.resize(parts.size());
            out.heldByTarget[index] = true;
            isPredicted = true;
            continue;
        }
        auto sources = sourcesOf(part, target.address, directory, engines, now);
        if (sources.empty()) {
            readTokens += static_cast<double>(parts[index].tokens);
            continue;
        }
        auto choice = m_fetches.choose(part, parts[index].tokens, target, sources, now);
        if (!choice) {
            readTokens += static_cast<double>(parts[index].tokens);
            continue;
        }
        isPredicted = true;
        if (choice->source.empty())
            readTokens += static_cast<double>(parts[index].tokens);
        else
            fetchMs += choice->expectedMs;
        out.fetchFrom[index] = choice->source;
        auto source = std::find_if(
            sources.begin(), sources.end(), [&](const auto& each) { return each.address == choice->source; });
        if (source != sources.end())
            m_fetches.record(part, *choice, target, source->kind, now);
    }
    if (isPredicted) {
        out.sharedPartsMs = fetchMs + readTokens / target.prefillTokensPerMs;
        out.readTokens = readTokens;
    }
    return out;
}

std::optional<shared_parts_cost> part_planner::sharedPartsCost(const std::vector<prompt_part>& parts,
    const std::string& cacheNamespace, fetch_target target, const part_directory& directory,
    instant now) const
{
    if (parts.size() < 2)
        return std::nullopt;
    const auto* last = storeOf(hashOf({ cacheNamespace, parts[parts.size() - 2].id }), {}, directory, now);
    if (!last)
        return std::nullopt;
    auto noEngines = [](const std::string&) { return std::optional<part_source>(); };
    struct shared_part {
        std::uint64_t part;
        std::uint64_t tokens;
        std::vector<fetch_source> sources;
    };
    std::vector<shared_part> shared;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        auto part = hashOf({ cacheNamespace, parts[index].id });
        shared.push_back({ part, parts[index].tokens, sourcesOf(part, {}, directory, noEngines, now) });
    }
    target.address.clear();
    auto costIn = [&](const std::string& failureDomain) -> std::optional<double> {
        target.link.failureDomain = failureDomain;
        double sum = 0;
        for (const auto& each : shared) {
            auto choice = m_fetches.choose(each.part, each.tokens, target, each.sources, now);
            if (!choice && !each.sources.empty())
                return std::nullopt;
            sum += choice ? choice->expectedMs : static_cast<double>(each.tokens) / target.prefillTokensPerMs;
        }
        return sum;
    };
    auto local = costIn(last->failureDomain);
    auto remote = costIn({});
    if (!local || !remote)
        return std::nullopt;
    return shared_parts_cost { last->failureDomain, *local, *remote };
}

} // namespace plumfold::core
