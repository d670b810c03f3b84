#include "plumfold/core/plumfold_part_directory.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

/// Changes kept per holder. A reader that lags further behind gets all parts of the holder.
constexpr std::size_t maxLatestChanges = 2'000;
/// Time before a save of the same part is requested again: the event that reports it arrives late.
constexpr milliseconds saveRetryDelay { 3'000 };
/// A restarted store gets no saves until every entry knows that its previous parts are gone; otherwise an
/// entry could fetch a part that is still being written.
constexpr milliseconds saveDelayAfterReset { 4'500 };
/// Share of a store's capacity that saves may fill.
constexpr double maxFillRatio = 0.96;
/// Weight in rendezvous hashing of a store in the target's failure domain, where a transfer takes half the
/// time.
constexpr double localDomainWeight = 4;
/// Half-life of a store's delay estimate. The decay lets a slow store be retried.
constexpr double delayHalfLifeMs = 1'500;
constexpr double slowSampleWeight = 0.2;
constexpr double quickSampleWeight = 0.5;
constexpr double maxDelaySampleMs = 2'000;
/// By how much a fetch may take longer for its caller than prefill, which would delay all other requests of
/// the target.
constexpr double acceptedDelayMs = 250;
/// Duration of a transfer between failure domains relative to one within a domain.
constexpr double remoteTransferFactor = 2;

/// @return a cost proportional to the duration of a transfer, for comparison only.
double transferCost(bool sameDomain, double linkMegabitsPerSecond)
{
    return (sameDomain ? 1.0 : remoteTransferFactor) / linkMegabitsPerSecond;
}

} // namespace

std::uint64_t hashOf(const part_key& key)
{
    return hashBytes(key.id, hashBytes(key.cacheNamespace));
}

part_directory::holder_content& part_directory::startGeneration(
    const std::string& holder, std::uint64_t generation, instant now)
{
    auto [place, isNew] = m_holders.try_emplace(holder);
    auto& content = place->second;
    if (!isNew)
        removeFromIndex(holder, content);
    bool isSame = !isNew && content.generation == generation;
    // The confirmation of one generation says nothing about another one.
    auto confirmedAt = isSame ? content.confirmedAt : instant {};
    auto since = isSame ? content.since : now;
    content = { generation, 0, {}, {}, 0, confirmedAt, since, {} };
    return content;
}

void part_directory::reset(const std::string& holder, std::uint64_t generation, instant now)
{
    startGeneration(holder, generation, now).confirmedAt = now;
}

void part_directory::removeFromIndex(const std::string& holder, const holder_content& content)
{
    for (const auto& [part, tokens] : content.tokens) {
        auto found = m_holdersByPart.find(part);
        if (found != m_holdersByPart.end() && std::erase(found->second, holder) && found->second.empty())
            m_holdersByPart.erase(found);
    }
}

void part_directory::erase(holder_map::iterator place)
{
    removeFromIndex(place->first, place->second);
    m_holders.erase(place);
}

void part_directory::apply(const std::string& holder, holder_content& content, const part_change& change)
{
    auto known = content.tokens.find(change.part);
    auto before = known == content.tokens.end() ? 0 : known->second;
    content.usedTokens += change.tokens;
    content.usedTokens -= before;
    if (change.tokens == 0 && before != 0) {
        content.tokens.erase(known);
        auto& others = m_holdersByPart[change.part];
        std::erase(others, holder);
        if (others.empty())
            m_holdersByPart.erase(change.part);
    } else if (change.tokens != 0) {
        content.tokens[change.part] = change.tokens;
        if (before == 0)
            m_holdersByPart[change.part].push_back(holder);
    }
}

void part_directory::apply(const std::string& holder, const part_change& change)
{
    auto found = m_holders.find(holder);
    if (found == m_holders.end())
        return;
    auto& content = found->second;
    apply(holder, content, change);
    ++content.count;
    content.latest.push_back(change);
    if (content.latest.size() > maxLatestChanges)
        content.latest.pop_front();
}

void part_directory::confirm(const std::string& holder, instant now)
{
    auto found = m_holders.find(holder);
    if (found == m_holders.end())
        return;
    found->second.confirmedAt = now;
    found->second.source.clear();
}

void part_directory::expire(instant now, milliseconds maxAge)
{
    for (auto place = m_holders.begin(); place != m_holders.end();) {
        auto next = std::next(place);
        if (now - place->second.confirmedAt > maxAge)
            erase(place);
        place = next;
    }
}

part_outcome part_directory::apply(const part_update& update, instant now, const std::string& source)
{
    auto found = m_holders.find(update.holder);
    bool isKnown = found != m_holders.end();
    bool isProtected
        = isKnown && found->second.source != source && now - found->second.confirmedAt <= replacementDelay;
    if (update.generation == 0)
        return applyRemoval(found, isProtected);
    bool isCurrent = isKnown && found->second.generation == update.generation;
    if (!isCurrent && (isProtected || (isKnown && !update.confirmed)))
        return part_outcome::kept;
    if (update.first == 0 && (!isCurrent || update.count > found->second.count)) {
        applyWhole(update, now);
    } else if (!isCurrent || update.first > found->second.count) {
        return update.confirmed ? part_outcome::unknown : part_outcome::kept;
    } else if (update.first != 0) {
        std::size_t known = found->second.count - update.first;
        for (std::size_t index = known; index < update.changes.size(); ++index)
            apply(update.holder, update.changes[index]);
    }
    auto& content = m_holders.at(update.holder);
    content.source = source;
    if (update.confirmed)
        content.confirmedAt = now;
    return part_outcome::applied;
}

part_outcome part_directory::applyRemoval(holder_map::iterator place, bool isProtected)
{
    if (isProtected)
        return part_outcome::kept;
    if (place != m_holders.end())
        erase(place);
    return part_outcome::applied;
}

void part_directory::applyWhole(const part_update& update, instant now)
{
    auto& content = startGeneration(update.holder, update.generation, now);
    for (const auto& each : update.changes)
        apply(update.holder, content, each);
    content.count = update.count;
}

/// @return the number of changes before the first one that is still kept.
std::uint32_t part_directory::oldestKept(const holder_content& content)
{
    return content.count - static_cast<std::uint32_t>(content.latest.size());
}

bool part_directory::follows(const holder_content& content, const part_cursor& cursor)
{
    return cursor.generation == content.generation && cursor.count > 0 && cursor.count >= oldestKept(content);
}

bool part_directory::needsWhole(const part_cursor& cursor) const
{
    auto found = m_holders.find(cursor.holder);
    return found != m_holders.end() && found->second.count > 0 && !follows(found->second, cursor);
}

part_update part_directory::updateAfter(const part_cursor& cursor, instant now) const
{
    part_update update;
    update.holder = cursor.holder;
    auto found = m_holders.find(cursor.holder);
    if (found == m_holders.end())
        return update;
    const auto& content = found->second;
    update.generation = content.generation;
    update.confirmed = now - content.confirmedAt <= maxConfirmationAge;
    update.count = content.count;
    if (follows(content, cursor)) {
        auto oldest = oldestKept(content);
        update.first = std::min(cursor.count, content.count);
        update.changes.assign(content.latest.begin() + (update.first - oldest), content.latest.end());
        return update;
    }
    if (!update.confirmed) {
        // The reader would have to ignore the parts.
        update.first = content.count;
        return update;
    }
    for (const auto& [part, tokens] : content.tokens)
        update.changes.push_back({ part, tokens });
    return update;
}

std::vector<part_cursor> part_directory::cursors() const
{
    std::vector<part_cursor> all;
    for (const auto& [holder, content] : m_holders)
        all.push_back({ holder, content.generation, content.count });
    return all;
}

const part_directory::holder_content* part_directory::find(const std::string& holder, instant now) const
{
    auto found = m_holders.find(holder);
    bool isConfirmed = found != m_holders.end() && now - found->second.confirmedAt <= maxConfirmationAge;
    return isConfirmed ? &found->second : nullptr;
}

bool part_directory::holds(const std::string& holder, std::uint64_t part, instant now) const
{
    const auto* content = find(holder, now);
    return content && content->tokens.contains(part);
}

const std::vector<std::string>& part_directory::knownHoldersOf(std::uint64_t part) const
{
    static const std::vector<std::string> none;
    auto found = m_holdersByPart.find(part);
    return found == m_holdersByPart.end() ? none : found->second;
}

std::vector<std::string> part_directory::holdersOf(std::uint64_t part, instant now) const
{
    std::vector<std::string> holders;
    auto found = m_holdersByPart.find(part);
    if (found == m_holdersByPart.end())
        return holders;
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(holders),
        [&](const auto& holder) { return find(holder, now) != nullptr; });
    return holders;
}

double store_delays::decayedMs(const decaying_average& delay, instant now)
{
    double halves = std::chrono::duration<double, std::milli>(now - delay.at).count() / delayHalfLifeMs;
    return delay.ms * std::exp2(-std::max(0.0, halves));
}

void store_delays::addSample(decaying_average& delay, double sample, instant now)
{
    double known = decayedMs(delay, now);
    // A slow store delays every fetch, a loaded target only some, so samples below the average weigh more.
    double weight = sample < known ? quickSampleWeight : slowSampleWeight;
    delay.ms = known * (1 - weight) + sample * weight;
    delay.at = now;
}

void store_delays::record(const std::vector<std::string>& stores, double excessMs, instant now)
{
    double sample = std::min(std::max(excessMs, 0.0), maxDelaySampleMs);
    if (stores.empty())
        addSample(m_baseline, sample, now);
    for (const auto& store : stores)
        addSample(m_stores[store], sample, now);
}

double store_delays::delayMs(const std::string& store, instant now) const
{
    auto found = m_stores.find(store);
    if (found == m_stores.end())
        return 0;
    return std::max(0.0, decayedMs(found->second, now) - decayedMs(m_baseline, now));
}

bool part_planner::isWorthFetching(
    const std::string& source, std::uint64_t tokens, double prefillTokensPerMs, instant now) const
{
    double prefillMs = static_cast<double>(tokens) / prefillTokensPerMs;
    return m_delays.delayMs(source, now) < prefillMs + acceptedDelayMs;
}

std::optional<std::string> part_planner::storedIn(const std::vector<prompt_part>& parts,
    const std::string& cacheNamespace, const part_directory& directory, double prefillTokensPerMs,
    instant now) const
{
    if (parts.size() < 2)
        return std::nullopt;
    const auto& shared = parts[parts.size() - 2];
    const auto* source = storeOf(hashOf({ cacheNamespace, shared.id }), {}, directory, now);
    if (!source || !isWorthFetching(source->address, shared.tokens, prefillTokensPerMs, now))
        return std::nullopt;
    return source->failureDomain;
}

bool part_plan::fetches() const
{
    return std::any_of(fetchFrom.begin(), fetchFrom.end(), [](const auto& each) { return !each.empty(); });
}

bool part_plan::saves() const
{
    return std::any_of(saveTo.begin(), saveTo.end(), [](const auto& each) { return !each.empty(); });
}

bool part_plan::isTransferExpected(std::size_t index) const
{
    return !fetchFrom[index].empty() && !(index < heldByTarget.size() && heldByTarget[index]);
}

void part_planner::setStores(const std::vector<service_limits>& services)
{
    m_stores.clear();
    m_storeIndex.clear();
    for (const auto& service : services) {
        if (service.store)
            m_stores.push_back(*service.store);
    }
    for (std::size_t index = 0; index < m_stores.size(); ++index)
        m_storeIndex.emplace(m_stores[index].address, index);
    m_areLinksUsable = std::all_of(m_stores.begin(), m_stores.end(), [](const auto& store) {
        return std::isfinite(store.linkMegabitsPerSecond) && store.linkMegabitsPerSecond > 0;
    });
    m_fetches.setStoreCount(m_stores.size());
}

const part_store* part_planner::storeAt(const std::string& address) const
{
    auto found = m_storeIndex.find(address);
    return found == m_storeIndex.end() ? nullptr : &m_stores[found->second];
}

const part_store* part_planner::storeOf(
    std::uint64_t part, const std::string& failureDomain, const part_directory& directory, instant now) const
{
    const part_store* best = nullptr;
    double bestCost = 0;
    for (const auto& holder : directory.holdersOf(part, now)) {
        const auto* store = storeAt(holder);
        if (!store)
            continue;
        double cost = transferCost(store->failureDomain == failureDomain, store->linkMegabitsPerSecond);
        if (best && cost >= bestCost)
            continue;
        best = store;
        bestCost = cost;
    }
    return best;
}

std::optional<part_source> part_planner::sourceOf(std::uint64_t part, const part_source& target,
    const part_directory& directory, const engine_finder& engines, instant now) const
{
    // Prefer stores: an engine may have evicted the part already, and then the target has to recompute it.
    if (const auto* store = storeOf(part, target.failureDomain, directory, now))
        return part_source { store->address, store->failureDomain, store->linkMegabitsPerSecond };
    std::optional<part_source> best;
    double bestCost = 0;
    for (const auto& holder : directory.holdersOf(part, now)) {
        auto engine = holder == target.address ? std::nullopt : engines(holder);
        if (!engine)
            continue;
        double cost
            = transferCost(engine->failureDomain == target.failureDomain, engine->linkMegabitsPerSecond);
        if (best && cost >= bestCost)
            continue;
        best = std::move(engine);
        bestCost = cost;
    }
    return best;
}

const part_store* part_planner::preferredStore(save_weight weightOf, std::uint64_t part, std::uint64_t tokens,
    const std::string& failureDomain, const part_directory& directory, instant now) const
{
    const part_store* best = nullptr;
    double bestScore = 0;
    for (const auto& store : m_stores) {
        const auto* known = directory.find(store.address, now);
        bool ready = known && now - known->since >= saveDelayAfterReset;
        auto usableTokens
            = static_cast<std::uint64_t>(static_cast<double>(store.capacityTokens) * maxFillRatio);
        if (!ready || known->usedTokens + tokens > usableTokens)
            continue;
        double weight
            = (this->*weightOf)(store) * (store.failureDomain == failureDomain ? localDomainWeight : 1.0);
        // All entries choose the same store without coordination.
        double score = rendezvousScore(hashBytes(store.address, part), weight);
        if (best && score <= bestScore)
            continue;
        best = &store;
        bestScore = score;
    }
    return best;
}

bool part_planner::mayRequestSave(std::uint64_t part, instant now)
{
    if (now >= m_nextCleanup) {
        std::erase_if(m_saveRequests, [&](const auto& each) { return now - each.second >= saveRetryDelay; });
        m_nextCleanup = now + saveRetryDelay;
    }
    auto [place, isNew] = m_saveRequests.emplace(part, now);
    if (isNew)
        return true;
    if (now - place->second < saveRetryDelay)
        return false;
    place->second = now;
    return true;
}

part_plan part_planner::plan(const std::vector<prompt_part>& parts, const std::string& cacheNamespace,
    const part_source& target, const part_directory& directory, const engine_finder& engines,
    double prefillTokensPerMs, instant now)
{
    part_plan out;
    out.fetchFrom.resize(parts.size());
    out.saveTo.resize(parts.size());
    // The last part is specific to the request and not reused.
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        auto part = hashOf({ cacheNamespace, parts[index].id });
        out.fetchFrom[index]
            = plainSource(part, parts[index].tokens, target, directory, engines, prefillTokensPerMs, now);
        if (!storeOf(part, target.failureDomain, directory, now))
            out.saveTo[index] = newStore(
                &part_planner::weightByRoom, part, parts[index].tokens, target.failureDomain, directory, now);
    }
    return out;
}

/// @return the source of a part without regard to the occupancy of links; empty: the part is read.
std::string part_planner::plainSource(std::uint64_t part, std::uint64_t tokens, const part_source& target,
    const part_directory& directory, const engine_finder& engines, double prefillTokensPerMs,
    instant now) const
{
    auto source = sourceOf(part, target, directory, engines, now);
    bool isFetched = source && isWorthFetching(source->address, tokens, prefillTokensPerMs, now);
    return isFetched ? source->address : std::string();
}

/// @return the store to which a part that no store holds is saved; empty: none, or its save was requested.
std::string part_planner::newStore(save_weight weightOf, std::uint64_t part, std::uint64_t tokens,
    const std::string& failureDomain, const part_directory& directory, instant now)
{
    const auto* preferred = preferredStore(weightOf, part, tokens, failureDomain, directory, now);
    return preferred && mayRequestSave(part, now) ? preferred->address : std::string();
}

} // namespace plumfold::core
