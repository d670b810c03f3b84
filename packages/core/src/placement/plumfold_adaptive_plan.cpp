// The part of part_planner that decides on fetches by the expected time for links.

#include "plumfold/core/plumfold_hash.hpp"
#include "plumfold/core/plumfold_part_directory.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

/// Engines that are compared as sources of a part. Parts that all prompts share are held by hundreds, and
/// their links differ little.
constexpr std::size_t maxEngineSources = 8;

} // namespace

/// @return the stores that hold a part.
std::vector<fetch_source> part_planner::storesOf(
    std::uint64_t part, const part_directory& directory, instant now) const
{
    std::vector<fetch_source> sources;
    const auto& holders = directory.knownHoldersOf(part);
    auto add = [&](const part_store& store) {
        if (directory.holds(store.address, part, now))
            sources.push_back({ store.address, linkOf(store), holder_kind::store });
    };
    if (holders.size() > m_stores.size()) {
        std::for_each(m_stores.begin(), m_stores.end(), add);
        return sources;
    }
    for (const auto& holder : holders) {
        if (const auto* store = storeAt(holder))
            add(*store);
    }
    return sources;
}

/// @return the stores that are known to hold a part and some of the engines that do, without the target.
std::vector<fetch_source> part_planner::sourcesOf(std::uint64_t part, const std::string& target,
    const part_directory& directory, const engine_finder& engines, instant now) const
{
    auto sources = storesOf(part, directory, now);
    auto missing = maxEngineSources;
    const auto& holders = directory.knownHoldersOf(part);
    // Targets begin at different holders, so that not all fetch from the same ones. As many are looked at as
    // could be unusable: all stores, the target, and as many again as are needed.
    auto looks = std::min(holders.size(), m_stores.size() + 1 + 2 * maxEngineSources);
    std::size_t first = holders.empty() ? 0 : hashBytes(target, part) % holders.size();
    for (std::size_t look = 0; look < looks && missing > 0; ++look) {
        const auto& holder = holders[(first + look) % holders.size()];
        if (holder == target || storeAt(holder) || !directory.holds(holder, part, now))
            continue;
        auto engine = engines(holder);
        if (!engine)
            continue;
        sources.push_back({ holder, sendingLinkOf(engine->linkMegabitsPerSecond, engine->failureDomain),
            holder_kind::engine });
        --missing;
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
    part_plan out;
    out.fetchFrom.resize(parts.size());
    out.saveTo.resize(parts.size());
    const part_source receiver { target.address, target.link.failureDomain, 0 };
    double fetchMs = 0;
    double readTokens = 0;
    bool isPredicted = false;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        auto part = hashOf({ cacheNamespace, parts[index].id });
        auto tokens = parts[index].tokens;
        auto sources = sourcesOf(part, target.address, directory, engines, now);
        bool isStored = std::any_of(
            sources.begin(), sources.end(), [](const auto& each) { return each.kind == holder_kind::store; });
        if (!isStored)
            out.saveTo[index] = newStore(
                &part_planner::weightByRoomAndLink, part, tokens, receiver.failureDomain, directory, now);
        auto choice = sources.empty() ? std::nullopt : m_fetches.choose(part, tokens, target, sources, now);
        if (choice)
            out.fetchFrom[index] = choice->source;
        else if (!sources.empty())
            out.fetchFrom[index]
                = plainSource(part, tokens, receiver, directory, engines, target.prefillTokensPerMs, now);
        if (directory.holds(target.address, part, now)) {
            out.heldByTarget.resize(parts.size());
            out.heldByTarget[index] = true;
            isPredicted = true;
            continue;
        }
        isPredicted = isPredicted || choice;
        if (!choice || choice->source.empty()) {
            readTokens += static_cast<double>(tokens);
            continue;
        }
        fetchMs += choice->expectedMs;
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
    struct shared_part {
        std::uint64_t part;
        std::uint64_t tokens;
        std::vector<fetch_source> sources;
    };
    std::vector<shared_part> shared;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        auto part = hashOf({ cacheNamespace, parts[index].id });
        shared.push_back({ part, parts[index].tokens, storesOf(part, directory, now) });
    }
    const auto& last = shared.back().sources;
    if (last.empty())
        return std::nullopt;
    auto fastest = std::max_element(last.begin(), last.end(), [](const auto& left, const auto& right) {
        return left.link.megabitsPerSecond < right.link.megabitsPerSecond;
    });
    const auto& failureDomain = fastest->link.failureDomain;
    target.address.clear();
    auto costIn = [&](const std::string& domain) -> std::optional<double> {
        target.link.failureDomain = domain;
        double sum = 0;
        for (const auto& each : shared) {
            auto choice = m_fetches.choose(each.part, each.tokens, target, each.sources, now);
            if (!choice && !each.sources.empty())
                return std::nullopt;
            sum += choice ? choice->expectedMs : static_cast<double>(each.tokens) / target.prefillTokensPerMs;
        }
        return sum;
    };
    auto local = costIn(failureDomain);
    auto remote = costIn({});
    if (!local || !remote)
        return std::nullopt;
    return shared_parts_cost { failureDomain, *local, *remote };
}

} // namespace plumfold::core
