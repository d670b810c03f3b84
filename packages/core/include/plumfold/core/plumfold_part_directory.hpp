#pragma once

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

/// Names a KV part as its holders do: parts of another cache namespace are never found.
struct part_key {
    std::string cacheNamespace;
    std::string id;
    auto operator<=>(const part_key&) const = default;
};

/// @return the number under which directories know a part; two parts with one number cost a fetch that finds
/// nothing, since holders compare the whole key.
std::uint64_t hashOf(const part_key& key);

/// A KV part that a holder gained or lost.
struct part_change {
    std::uint64_t part = 0; ///< hashOf() its key.
    std::uint32_t tokens = 0; ///< 0: it is no longer held.
    auto operator<=>(const part_change&) const = default;
};

/// News of the parts of one holder, a store or a model engine. Changes are numbered within a generation.
struct part_update {
    std::string holder; ///< ip:port
    std::uint64_t generation = 0; ///< 0: nothing is known of the holder.
    std::uint32_t first = 0; ///< Number of the first change below; 0: all parts held now stand below.
    std::uint32_t count = 0; ///< How many changes are known in all.
    bool confirmed = false; ///< The holder was heard lately; otherwise its parts may be gone.
    std::vector<part_change> changes;
    bool operator==(const part_update&) const = default;
};

/// How far a reader knows a holder's parts.
struct part_cursor {
    std::string holder;
    std::uint64_t generation = 0;
    std::uint32_t count = 0;
    auto operator<=>(const part_cursor&) const = default;
};

/// Which stores and model engines hold which KV parts whole. Every control VM and every entry has one.
class part_directory {
public:
    /// What is known of one holder.
    struct holder_content {
        std::uint64_t generation = 0;
        std::uint32_t count = 0; ///< Changes up to now.
        std::deque<part_change> latest; ///< The last of those changes.
        std::unordered_map<std::uint64_t, std::uint32_t> tokens; ///< Of each part held.
        std::uint64_t usedTokens = 0;
        instant confirmedAt {}; ///< When it was last told that this is still so.
        instant since {}; ///< When this generation was first heard of.
    };

    /// Starts a generation of a holder with no parts; everything known before is dropped.
    void reset(const std::string& holder, std::uint64_t generation, instant now);
    /// Adds a change to a holder's present generation.
    void apply(const std::string& holder, const part_change& change);
    /// Tells that what is known of a holder is still so.
    void confirm(const std::string& holder, instant now);
    /// Drops holders that were not confirmed for so long.
    void expire(instant now, milliseconds maxAge);

    /// Takes news of another directory. News that do not follow what is known are dropped; the next ones
    /// start from the cursor.
    void apply(const part_update& update, instant now);

    /// @return the news after a reader's cursor.
    part_update updateAfter(const part_cursor& cursor, instant now) const;
    std::vector<part_cursor> cursors() const;

    /// What is known of a holder counts no more when it was not confirmed for so long. It is kept, and counts
    /// again once the same generation is confirmed.
    static constexpr milliseconds maxConfirmationAge { 1'500 };

    /// @return what is known of a holder, or null when that is nothing or was not confirmed lately.
    const holder_content* find(const std::string& holder, instant now) const;

    /// @return the addresses of those that hold a part, as far as confirmed lately.
    std::vector<std::string> holdersOf(std::uint64_t part, instant now) const;

    /// @return the holders and what is known of each.
    const std::map<std::string, holder_content>& holders() const { return m_holders; }

private:
    using holder_map = std::map<std::string, holder_content>;

    holder_content& startGeneration(const std::string& holder, std::uint64_t generation, instant now);
    void apply(const std::string& holder, holder_content& content, const part_change& change);
    void removeFromIndex(const std::string& holder, const holder_content& content);
    void erase(holder_map::iterator place);

    holder_map m_holders;
    std::unordered_map<std::uint64_t, std::vector<std::string>> m_holdersByPart; // by part
};

/// Finds a model engine that is thought to answer.
/// @param address ip:port
using engine_finder = std::function<std::optional<part_source>(const std::string& address)>;

/// Where the parts of one prompt are fetched from and saved to: an address for each part, empty for none.
struct part_plan {
    std::vector<std::string> fetchFrom;
    std::vector<std::string> saveTo;
    bool fetches() const;
    bool saves() const;
    bool operator==(const part_plan&) const = default;
};

/// Learns how much longer than predicted callers wait for their first event when their prompt's parts come
/// from a store. Load it answers: a store whose link turns slow or queues, so that reading again is faster.
class store_delays {
public:
    /// Takes a first event.
    /// @param stores those that the prompt named for fetches; none for a prompt that was read.
    /// @param excessMs time beyond the prediction, not below 0.
    void record(const std::vector<std::string>& stores, double excessMs, instant now);

    /// @return the milliseconds that fetches from a store take beyond what other prompts wait.
    double delayMs(const std::string& store, instant now) const;

private:
    struct decaying_average {
        double ms = 0;
        instant at {};
    };
    static double decayedMs(const decaying_average& delay, instant now);
    static void addSample(decaying_average& delay, double sample, instant now);

    decaying_average m_baseline;
    std::map<std::string, decaying_average> m_stores;
};

/// Plans the fetches and saves of prompts on one entry. Load it answers: conversations that return to a
/// target that does not hold them, whose memory comes from a store in a tenth of the time that reading them
/// again takes, or from another engine in a fiftieth.
class part_planner {
public:
    /// Takes the stores of a deployment.
    void setStores(const std::vector<service_limits>& services);

    /// @param readTokensPerMs how fast a target reads a prompt that is not fetched.
    /// @param target the engine that will run the prompt.
    part_plan plan(const std::vector<prompt_part>& parts, const std::string& cacheNamespace,
        const part_source& target, const part_directory& directory, const engine_finder& engines,
        double readTokensPerMs, instant now);

    /// @return the failure domain of a store from which the conversation's part comes faster than it is read.
    std::optional<std::string> storedIn(const std::vector<prompt_part>& parts,
        const std::string& cacheNamespace, const part_directory& directory, double readTokensPerMs,
        instant now) const;

    store_delays& delays() { return m_delays; }

private:
    bool isWorthFetching(
        const std::string& source, std::uint64_t tokens, double readTokensPerMs, instant now) const;
    const part_store* storeAt(const std::string& address) const;
    const part_store* storeOf(std::uint64_t part, const std::string& failureDomain,
        const part_directory& directory, instant now) const;
    std::optional<part_source> sourceOf(std::uint64_t part, const part_source& target,
        const part_directory& directory, const engine_finder& engines, instant now) const;
    const part_store* preferredStore(std::uint64_t part, std::uint64_t tokens,
        const std::string& failureDomain, const part_directory& directory, instant now) const;
    bool mayRequestSave(std::uint64_t part, instant now);

    std::vector<part_store> m_stores;
    store_delays m_delays;
    std::unordered_map<std::uint64_t, instant> m_saveRequests; // saves that were asked for lately
    instant m_nextCleanup {};
};

} // namespace plumfold::core
