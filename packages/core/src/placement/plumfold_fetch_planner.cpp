#include "plumfold/core/placement/plumfold_fetch_planner.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

/// By how much a fetch from an idle link may take longer than reading, since reading takes engine time and
/// an idle link costs nobody anything. Falls to 0 for a link that is busy for half the time.
constexpr double idlePreferenceMs = 10;
constexpr double noPreferenceUtilisation = 0.5;
/// What reading costs relative to its own time, since every request behind it waits as well. Between 1.25 and
/// 2.5 tests/core/placement gives nearly the same, with 1 more is read and callers wait longer.
constexpr double readingWeight = 1.5;
/// Share of the fetches from engines that find the part evicted: what is known of an engine is up to half a
/// second old, and its memory turns over in about 5 s.
constexpr double engineMissShare = 0.1;
constexpr double missMs = 1;
/// Reading counts at most for this many requests behind it: a longer queue is a reason to choose another
/// engine, not to fill the links.
constexpr double maxRequestsBehind = 2;
constexpr milliseconds cleanupInterval { 2'000 };

} // namespace

std::uint64_t fetch_planner::transferOf(std::uint64_t part, const fetch_target& target)
{
    return hashBytes(target.address, part);
}

const fetch_planner::engine_links& fetch_planner::engineLinksOf(const std::string& service) const
{
    static const engine_links unused;
    auto found = m_engineLinks.find(service);
    return found == m_engineLinks.end() ? unused : found->second;
}

/// @return the links of the holders of a kind from which the target can fetch. Engines that hold its parts
/// count as engines of its service.
const link_occupancy& fetch_planner::sendingLinks(holder_kind kind, const fetch_target& target) const
{
    return kind == holder_kind::store ? m_storeLinks : engineLinksOf(target.service).sending;
}

std::size_t fetch_planner::linksOf(holder_kind kind, const fetch_target& target) const
{
    return kind == holder_kind::store ? m_stores : target.engines;
}

/// @return the expected wait for both links, in ms.
double fetch_planner::waitMs(const fetch_source& source, const fetch_target& target, instant now) const
{
    double sending = sendingLinks(source.kind, target)
                         .waitMs(source.address, m_entries.count(), linksOf(source.kind, target), now);
    double receiving = target.address.empty()
        ? 0
        : engineLinksOf(target.service)
              .receiving.waitMs(target.address, m_entries.count(), target.engines, now);
    double corrected = sending + receiving + m_delays.correctionMs(source.address, now);
    return std::clamp(corrected, 0.0, link_occupancy::maxWaitMs);
}

/// @return the cost of reading a part instead of fetching it from a source, in ms.
double fetch_planner::readingCostMs(
    double readMs, const fetch_source& source, const fetch_target& target, instant now) const
{
    double behind = std::isfinite(target.requestsBehind)
        ? std::clamp(target.requestsBehind, 0.0, maxRequestsBehind)
        : 0;
    double busy = sendingLinks(source.kind, target)
                      .utilisation(source.address, m_entries.count(), linksOf(source.kind, target), now);
    return readMs * (readingWeight + behind)
        + idlePreferenceMs * std::max(0.0, 1 - busy / noPreferenceUtilisation);
}

/// @return a transfer of the part to the target that is planned and has not ended; nothing if there is none
/// or its source is gone.
std::optional<fetch_choice> fetch_planner::running(std::uint64_t part, const fetch_target& target,
    const std::vector<fetch_source>& sources, instant now) const
{
    auto found = m_transfers.find(transferOf(part, target));
    if (target.address.empty() || found == m_transfers.end() || found->second.endsAt <= now)
        return std::nullopt;
    bool isKnown = std::any_of(sources.begin(), sources.end(),
        [&](const auto& each) { return each.address == found->second.source; });
    if (!isKnown)
        return std::nullopt;
    auto left = std::chrono::duration<double, std::milli>(found->second.endsAt - now).count();
    return fetch_choice { found->second.source, left, 0 };
}

std::optional<fetch_choice> fetch_planner::choose(std::uint64_t part, std::uint64_t tokens,
    const fetch_target& target, const std::vector<fetch_source>& sources, instant now) const
{
    if (!std::isfinite(target.prefillTokensPerMs) || target.prefillTokensPerMs <= 0)
        return std::nullopt;
    double readMs = static_cast<double>(tokens) / target.prefillTokensPerMs;
    if (auto transfer = running(part, target, sources, now))
        return transfer;
    const fetch_source* best = nullptr;
    fetch_choice fetch;
    double bestCost = 0;
    bool isAnyUsable = false;
    for (const auto& source : sources) {
        auto transfer = transferMs(tokens, target.bytesPerToken, source.link, target.link);
        if (!transfer)
            continue;
        isAnyUsable = true;
        // The tokens of a part are what the caller says.
        if (*transfer >= link_occupancy::maxWaitMs)
            continue;
        double expected = waitMs(source, target, now) + *transfer;
        double cost
            = expected + (source.kind == holder_kind::engine ? engineMissShare * (readMs + missMs) : 0);
        if (best && cost >= bestCost)
            continue;
        best = &source;
        bestCost = cost;
        fetch = { source.address, expected, *transfer };
    }
    if (!isAnyUsable)
        return std::nullopt;
    if (!best)
        return fetch_choice { {}, readMs, 0 };
    bool isStarted = fetch.expectedMs - fetch.transferMs < link_occupancy::maxWaitMs;
    if (isStarted && bestCost < readingCostMs(readMs, *best, target, now))
        return fetch;
    return fetch_choice { {}, readMs, 0 };
}

void fetch_planner::record(
    std::uint64_t part, const fetch_choice& choice, const fetch_target& target, holder_kind kind, instant now)
{
    if (now >= m_nextCleanup) {
        std::erase_if(m_transfers, [&](const auto& each) { return each.second.endsAt <= now; });
        std::erase_if(m_engineLinks, [&](const auto& each) {
            return each.second.sending.isUnused(now) && each.second.receiving.isUnused(now);
        });
        m_nextCleanup = now + cleanupInterval;
    }
    if (choice.source.empty() || choice.transferMs <= 0)
        return;
    auto& engines = m_engineLinks[target.service];
    auto& sending = kind == holder_kind::store ? m_storeLinks : engines.sending;
    sending.record(choice.source, choice.transferMs, now);
    engines.receiving.record(target.address, choice.transferMs, now);
    auto duration = std::chrono::duration<double, std::milli>(choice.expectedMs);
    m_transfers[transferOf(part, target)]
        = { choice.source, now + std::chrono::duration_cast<instant::duration>(duration) };
}

} // namespace plumfold::core
