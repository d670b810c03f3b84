#pragma once

#include "plumfold/core/placement/plumfold_fetch_planner.hpp"
#include "plumfold/core/plumfold_deployment.hpp"
#include "plumfold/core/plumfold_prompt_parts.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace plumfold::core {

/// Identifies a KV part. Holders compare the whole key, so a lookup never finds a part of another cache
/// namespace.
struct part_key {
    std::string cacheNamespace;
    std::string id;
    auto operator<=>(const part_key&) const = default;
};

/// @return the hash by which directories identify a part. A collision only costs a fetch that finds nothing,
/// since holders compare the whole key.
std::uint64_t hashOf(const part_key& key);

/// A KV part that a holder added or removed.
struct part_change {
    std::uint64_t part = 0; ///< hashOf() of its key.
    std::uint32_t tokens = 0; ///< 0: the part was removed.
    auto operator<=>(const part_change&) const = default;
};

/// Update about the parts of one holder, which is a store or a model engine. Changes are numbered within a
/// generation.
struct part_update {
    std::string holder; ///< ip:port
    std::uint64_t generation = 0; ///< 0: the holder is unknown.
    std::uint32_t first = 0; ///< Number of the first entry of changes; 0: changes lists all parts held now.
    std::uint32_t count = 0; ///< Number of all changes of the generation so far.
    bool confirmed
        = false; ///< Whether the sender's data about the holder are recent; else the parts may be gone.
    std::vector<part_change> changes;
    bool operator==(const part_update&) const = default;
};

/// Position of a reader in the changes of one holder.
struct part_cursor {
    std::string holder; ///< ip:port
    std::uint64_t generation = 0;
    std::uint32_t count = 0; ///< Number of changes of that generation applied so far.
    auto operator<=>(const part_cursor&) const = default;
};

/// What became of an update that a directory received.
enum class part_outcome {
    applied, ///< The directory has the content of the update.
    kept, ///< The directory keeps the content that it has, or the update tells nothing certain.
    unknown, ///< The directory lacks the content that the update continues: it needs the whole content.
};

/// Tracks which stores and model engines hold which complete KV parts. Every control VM and every entry keeps
/// one.
class part_directory {
public:
    /// The parts of one holder as last reported.
    struct holder_content {
        std::uint64_t generation = 0;
        std::uint32_t count = 0; ///< Number of changes in this generation so far.
        std::deque<part_change> latest; ///< The most recent of those changes.
        std::unordered_map<std::uint64_t, std::uint32_t> tokens; ///< Tokens of each part held, by part.
        std::uint64_t usedTokens = 0; ///< Sum over all parts held.
        instant confirmedAt {}; ///< When this content was last confirmed.
        instant since {}; ///< When this generation was first reported.
        std::string source; ///< Who reported it: see part_directory::apply(); empty if polled here.
    };

    /// Starts a generation of a holder without any parts and drops the parts of the previous one.
    void reset(const std::string& holder, std::uint64_t generation, instant now);
    /// Appends a change to a holder's current generation; ignored for an unknown holder.
    void apply(const std::string& holder, const part_change& change);
    /// Confirms that a holder's content is still valid, as polled here.
    void confirm(const std::string& holder, instant now);
    /// Removes holders whose last confirmation is older than a maximum age.
    void expire(instant now, milliseconds maxAge);

    /// Applies an update from another directory; generation 0 removes the holder. While two control VMs poll
    /// one holder, a content that was confirmed within replacementDelay is only replaced or removed by the
    /// source that reported it.
    /// @param source the sender, if there are several; a reader of one directory leaves it empty.
    /// @return what became of the update. After part_outcome::unknown, the sender has to send the whole
    /// content.
    part_outcome apply(const part_update& update, instant now, const std::string& source = {});

    /// @return the changes after a reader's cursor, or all parts when those changes are no longer kept. No
    /// parts of a content that is unconfirmed and that the reader lacks.
    part_update updateAfter(const part_cursor& cursor, instant now) const;
    /// @return whether a reader at a cursor needs all parts of a holder that has any changes.
    bool needsWhole(const part_cursor& cursor) const;
    /// @return the position of this directory for each holder.
    std::vector<part_cursor> cursors() const;

    /// A holder's content is unconfirmed, and lookups skip it, when its last confirmation is older than this.
    /// It is kept and becomes valid again once the same generation is confirmed.
    static constexpr milliseconds maxConfirmationAge { 1'500 };
    /// A content that was confirmed within this time is not replaced by that of another source. A poller
    /// confirms every 500 ms, so a content that is older has no poller any more.
    static constexpr milliseconds replacementDelay { 1'000 };

    /// @return the content of a holder, or null when the holder is unknown or its content unconfirmed.
    const holder_content* find(const std::string& holder, instant now) const;

    /// @return the addresses of the holders of a part whose content is confirmed.
    std::vector<std::string> holdersOf(std::uint64_t part, instant now) const;

    /// @return whether a holder whose content is confirmed has a part.
    bool holds(const std::string& holder, std::uint64_t part, instant now) const;

    /// @return the addresses of all holders of a part, including those whose content is unconfirmed.
    const std::vector<std::string>& knownHoldersOf(std::uint64_t part) const;

    /// @return all holders and their content, including unconfirmed ones.
    const std::map<std::string, holder_content>& holders() const { return m_holders; }

private:
    using holder_map = std::map<std::string, holder_content>;

    static std::uint32_t oldestKept(const holder_content& content);
    static bool follows(const holder_content& content, const part_cursor& cursor);
    holder_content& startGeneration(const std::string& holder, std::uint64_t generation, instant now);
    void apply(const std::string& holder, holder_content& content, const part_change& change);
    part_outcome applyRemoval(holder_map::iterator place, bool isProtected);
    void applyWhole(const part_update& update, instant now);
    void removeFromIndex(const std::string& holder, const holder_content& content);
    void erase(holder_map::iterator place);

    holder_map m_holders;
    std::unordered_map<std::uint64_t, std::vector<std::string>> m_holdersByPart;
};

/// Finds a model engine that is considered reachable.
/// @param address ip:port
using engine_finder = std::function<std::optional<part_source>(const std::string& address)>;

/// Where the parts of one prompt are fetched from and saved to: one address per part, empty for none.
struct part_plan {
    std::vector<std::string> fetchFrom;
    std::vector<std::string> saveTo;
    /// Until the target has all shared parts, in ms, as an adaptive plan expects it; nothing: not predicted.
    std::optional<double> sharedPartsMs;
    /// Parts that the target of an adaptive plan is known to hold. Their source is named only in case that
    /// the target has evicted them. Empty: none.
    std::vector<bool> heldByTarget;
    double readTokens = 0; ///< Tokens of shared parts that the target is expected to read.
    bool fetches() const;
    bool saves() const;
    /// @return whether a part is expected to occupy the link of its source.
    bool isTransferExpected(std::size_t index) const;
    bool operator==(const part_plan&) const = default;
};

/// Estimates by how much fetching parts from a store delays the first event beyond its prediction. Detects
/// stores whose link is slow or congested, so that recomputing the prompt is faster than fetching it.
class store_delays {
public:
    /// Records the delay of one request's first event.
    /// @param stores the stores from which the prompt's parts were fetched; empty for a prompt without
    /// fetches.
    /// @param excessMs milliseconds beyond the prediction; negative values count as 0.
    void record(const std::vector<std::string>& stores, double excessMs, instant now);

    /// @return the milliseconds by which fetches from a store exceed the delay of requests without fetches,
    /// at least 0.
    double delayMs(const std::string& store, instant now) const;

private:
    /// Exponentially weighted moving average that decays to 0 with a fixed half-life.
    struct decaying_average {
        double ms = 0;
        instant at {};
    };
    static double decayedMs(const decaying_average& delay, instant now);
    static void addSample(decaying_average& delay, double sample, instant now);

    decaying_average m_baseline; // requests without fetches
    std::map<std::string, decaying_average> m_stores;
};

/// Plans the fetches and saves of prompts on one entry. Serves conversations that return to a target
/// without their KV parts: fetching them from a store takes a tenth of the time of recomputing them, from
/// another engine a fiftieth.
class part_planner {
public:
    /// Replaces the known stores by those of a deployment.
    void setStores(const std::vector<service_limits>& services);

    /// @param cacheNamespace only parts under this namespace are fetched or saved.
    /// @param target the engine that runs the prompt.
    /// @param prefillTokensPerMs prefill speed of a target in tokens per millisecond.
    /// @return the plan; it may be empty. Saves that it contains count as requested.
    part_plan plan(const std::vector<prompt_part>& parts, const std::string& cacheNamespace,
        const part_source& target, const part_directory& directory, const engine_finder& engines,
        double prefillTokensPerMs, instant now);

    /// Plans like plan(), but fetches a part only where that is expected to be faster than reading it, saves
    /// by what the links of stores carry as well as by their room, and records the planned transfers. Parts
    /// for which figures are missing are planned as by plan().
    part_plan planAdaptively(const std::vector<prompt_part>& parts, const std::string& cacheNamespace,
        const fetch_target& target, const part_directory& directory, const engine_finder& engines,
        instant now);

    /// @param target any engine of the service; its address and failure domain do not matter.
    /// @return how long the engines need to have the shared parts of a prompt, or nothing if no store holds
    /// the last one or figures are missing.
    std::optional<shared_parts_cost> sharedPartsCost(const std::vector<prompt_part>& parts,
        const std::string& cacheNamespace, fetch_target target, const part_directory& directory,
        instant now) const;

    /// @return the decisions on fetches of adaptive plans.
    fetch_planner& fetches() { return m_fetches; }

    /// @return the failure domain of a store from which fetching the conversation's last shared part is
    /// faster than prefill, or nothing.
    std::optional<std::string> storedIn(const std::vector<prompt_part>& parts,
        const std::string& cacheNamespace, const part_directory& directory, double prefillTokensPerMs,
        instant now) const;

    store_delays& delays() { return m_delays; }

private:
    /// @return the weight of a store for saves, before that of its failure domain.
    using save_weight = double (part_planner::*)(const part_store& store) const;
    double weightByRoom(const part_store& store) const { return static_cast<double>(store.capacityTokens); }
    double weightByRoomAndLink(const part_store& store) const;
    bool isWorthFetching(
        const std::string& source, std::uint64_t tokens, double prefillTokensPerMs, instant now) const;
    const part_store* storeAt(const std::string& address) const;
    /// @return the store holding the part with the lowest transfer cost to a failure domain, or null.
    const part_store* storeOf(std::uint64_t part, const std::string& failureDomain,
        const part_directory& directory, instant now) const;
    std::optional<part_source> sourceOf(std::uint64_t part, const part_source& target,
        const part_directory& directory, const engine_finder& engines, instant now) const;
    /// @return the store to which a part is saved, or null when none is ready and has space left.
    const part_store* preferredStore(save_weight weight, std::uint64_t part, std::uint64_t tokens,
        const std::string& failureDomain, const part_directory& directory, instant now) const;
    bool mayRequestSave(std::uint64_t part, instant now);

    std::vector<fetch_source> storesOf(
        std::uint64_t part, const part_directory& directory, instant now) const;
    std::vector<fetch_source> sourcesOf(std::uint64_t part, const std::string& target,
        const part_directory& directory, const engine_finder& engines, instant now) const;
    std::string plainSource(std::uint64_t part, std::uint64_t tokens, const part_source& target,
        const part_directory& directory, const engine_finder& engines, double prefillTokensPerMs,
        instant now) const;
    std::string newStore(save_weight weight, std::uint64_t part, std::uint64_t tokens,
        const std::string& failureDomain, const part_directory& directory, instant now);

    std::vector<part_store> m_stores;
    std::unordered_map<std::string, std::size_t> m_storeIndex; // of m_stores, by address
    bool m_areLinksUsable = false; // all stores state a rate
    fetch_planner m_fetches;
    store_delays m_delays;
    std::unordered_map<std::uint64_t, instant> m_saveRequests; // time of the last save request by part
    instant m_nextCleanup {};
};

} // namespace plumfold::core
