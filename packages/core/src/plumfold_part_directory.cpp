#include "plumfold/core/plumfold_part_directory.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

/// A save that was asked for is not asked for again so soon: its event comes late.
constexpr milliseconds saveAgainAfter { 3'000 };
/// A store that has just started anew gets no saves until every entry knows that its former parts are gone;
/// otherwise one could fetch a part that is being written.
constexpr milliseconds quietAfterReset { 4'500 };
/// Part of a store's memory that saves may fill.
constexpr double fillShare = 0.96;
/// Preference of a store in the target's own failure domain, where a transfer takes half the time.
constexpr double nearPreference = 4;
/// The learned delay of a store halves in this time, so that it is tried again.
constexpr double delayHalfLifeMs = 1'500;
constexpr double slowSampleWeight = 0.2;
constexpr double quickSampleWeight = 0.5;
constexpr double longestDelayMs = 2'000;
/// A fetch may delay its own caller by this much, since reading takes the target's time from all its
/// requests.
constexpr double acceptedDelayMs = 250;
constexpr double hashRange = 18446744073709551616.0; // 2^64

} // namespace

void part_directory::reset(const std::string& store, std::uint64_t generation, instant now)
{
    m_stores[store] = { generation, {}, {}, 0, now, now };
}

void part_directory::add(const std::string& store, const stored_part& part)
{
    auto& content = m_stores[store];
    auto [place, isNew] = content.tokens.emplace(part.key, part.tokens);
    if (!isNew)
        return;
    content.parts.push_back(part);
    content.usedTokens += part.tokens;
}

void part_directory::refresh(const std::string& store, instant now)
{
    auto found = m_stores.find(store);
    if (found != m_stores.end())
        found->second.refreshedAt = now;
}

void part_directory::take(const store_news& news, instant now)
{
    auto found = m_stores.find(news.store);
    if (news.generation == 0) {
        if (found != m_stores.end())
            m_stores.erase(found);
        return;
    }
    bool isNew = found == m_stores.end() || found->second.generation != news.generation;
    if (isNew) {
        if (news.first != 0)
            return;
        reset(news.store, news.generation, now);
    }
    if (news.first > m_stores[news.store].parts.size())
        return;
    for (const auto& part : news.parts)
        add(news.store, part);
    if (news.confirmed)
        refresh(news.store, now);
}

store_news part_directory::newsAfter(const store_cursor& cursor, instant now) const
{
    store_news news;
    news.store = cursor.store;
    auto found = m_stores.find(cursor.store);
    if (found == m_stores.end())
        return news;
    const auto& content = found->second;
    news.generation = content.generation;
    news.confirmed = now - content.refreshedAt <= silenceBound;
    news.count = static_cast<std::uint32_t>(content.parts.size());
    news.first = cursor.generation == content.generation ? std::min(cursor.count, news.count) : 0;
    news.parts.assign(content.parts.begin() + news.first, content.parts.end());
    return news;
}

std::vector<store_cursor> part_directory::cursors() const
{
    std::vector<store_cursor> all;
    for (const auto& [store, content] : m_stores)
        all.push_back({ store, content.generation, static_cast<std::uint32_t>(content.parts.size()) });
    return all;
}

const part_directory::store_content* part_directory::find(const std::string& store, instant now) const
{
    auto found = m_stores.find(store);
    bool counts = found != m_stores.end() && now - found->second.refreshedAt <= silenceBound;
    return counts ? &found->second : nullptr;
}

double store_delays::faded(const moving_delay& delay, instant now)
{
    double halves = std::chrono::duration<double, std::milli>(now - delay.at).count() / delayHalfLifeMs;
    return delay.ms * std::exp2(-std::max(0.0, halves));
}

void store_delays::mix(moving_delay& delay, double sample, instant now)
{
    double known = faded(delay, now);
    // A slow store delays every fetch, a loaded target only some: quick answers count for more.
    double weight = sample < known ? quickSampleWeight : slowSampleWeight;
    delay.ms = known * (1 - weight) + sample * weight;
    delay.at = now;
}

void store_delays::record(const std::vector<std::string>& stores, double excessMs, instant now)
{
    double sample = std::min(std::max(excessMs, 0.0), longestDelayMs);
    if (stores.empty())
        mix(m_others, sample, now);
    for (const auto& store : stores)
        mix(m_stores[store], sample, now);
}

double store_delays::delayMs(const std::string& store, instant now) const
{
    auto found = m_stores.find(store);
    if (found == m_stores.end())
        return 0;
    return std::max(0.0, faded(found->second, now) - faded(m_others, now));
}

bool part_planner::isWorthFetching(
    const part_store& store, std::uint64_t tokens, double readTokensPerMs, instant now) const
{
    double readMs = static_cast<double>(tokens) / readTokensPerMs;
    return m_delays.delayMs(store.address, now) < readMs + acceptedDelayMs;
}

bool part_planner::canFetch(const std::vector<prompt_part>& parts, const std::string& partition,
    const part_directory& directory, double readTokensPerMs, instant now) const
{
    if (parts.size() < 2)
        return false;
    const auto& shared = parts[parts.size() - 2];
    const auto* source = sourceOf({ partition, shared.id }, {}, directory, now);
    return source && isWorthFetching(*source, shared.tokens, readTokensPerMs, now);
}

bool part_plan::fetches() const
{
    return std::any_of(fetchFrom.begin(), fetchFrom.end(), [](const auto& each) { return !each.empty(); });
}

bool part_plan::saves() const
{
    return std::any_of(saveTo.begin(), saveTo.end(), [](const auto& each) { return !each.empty(); });
}

void part_planner::setStores(const std::vector<service_limits>& services)
{
    m_stores.clear();
    for (const auto& service : services) {
        if (service.store)
            m_stores.push_back(*service.store);
    }
}

const part_store* part_planner::sourceOf(
    const part_key& key, const std::string& failureDomain, const part_directory& directory, instant now) const
{
    const part_store* best = nullptr;
    double bestCost = 0;
    for (const auto& store : m_stores) {
        const auto* known = directory.find(store.address, now);
        if (!known || !known->tokens.contains(key))
            continue;
        double cost = (store.failureDomain == failureDomain ? 1.0 : 2.0) / store.linkMegabitsPerSecond;
        if (best && cost >= bestCost)
            continue;
        best = &store;
        bestCost = cost;
    }
    return best;
}

const part_store* part_planner::homeOf(const part_key& key, std::uint64_t tokens,
    const std::string& failureDomain, const part_directory& directory, instant now) const
{
    const part_store* best = nullptr;
    double bestScore = 0;
    for (const auto& store : m_stores) {
        const auto* known = directory.find(store.address, now);
        bool ready = known && now - known->since >= quietAfterReset;
        auto room = static_cast<std::uint64_t>(static_cast<double>(store.capacityTokens) * fillShare);
        if (!ready || known->usedTokens + tokens > room)
            continue;
        // Weighted rendezvous: every entry comes to the same store without a message.
        double draw = (static_cast<double>(hashBytes(store.address + key.id)) + 1) / hashRange;
        double weight = static_cast<double>(store.capacityTokens)
            * (store.failureDomain == failureDomain ? nearPreference : 1.0);
        double score = -weight / std::log(std::min(draw, 1 - 1e-12));
        if (best && score <= bestScore)
            continue;
        best = &store;
        bestScore = score;
    }
    return best;
}

bool part_planner::mayAskAgain(const part_key& key, instant now)
{
    if (now >= m_nextClean) {
        std::erase_if(m_asked, [&](const auto& each) { return now - each.second >= saveAgainAfter; });
        m_nextClean = now + saveAgainAfter;
    }
    auto [place, isNew] = m_asked.emplace(key, now);
    if (isNew)
        return true;
    if (now - place->second < saveAgainAfter)
        return false;
    place->second = now;
    return true;
}

part_plan part_planner::plan(const std::vector<prompt_part>& parts, const std::string& partition,
    const std::string& failureDomain, const part_directory& directory, double readTokensPerMs, instant now)
{
    part_plan out;
    out.fetchFrom.resize(parts.size());
    out.saveTo.resize(parts.size());
    // The last part is the request's own and does not return.
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        part_key key { partition, parts[index].id };
        if (const auto* source = sourceOf(key, failureDomain, directory, now)) {
            if (isWorthFetching(*source, parts[index].tokens, readTokensPerMs, now))
                out.fetchFrom[index] = source->address;
            continue;
        }
        const auto* home = homeOf(key, parts[index].tokens, failureDomain, directory, now);
        if (home && mayAskAgain(key, now))
            out.saveTo[index] = home->address;
    }
    return out;
}

} // namespace plumfold::core
