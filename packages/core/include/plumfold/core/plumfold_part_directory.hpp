#pragma once

#include "plumfold/core/plumfold_deployment.hpp"
#include "plumfold/core/plumfold_target_board.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::core {

/// Names KV parts: parts of another partition are never found.
struct part_key {
    std::string partition;
    std::string id;
    auto operator<=>(const part_key&) const = default;
};

/// A KV part that a store holds whole.
struct stored_part {
    part_key key;
    std::uint32_t tokens = 0;
    auto operator<=>(const stored_part&) const = default;
};

/// News of one store's parts. Within a generation parts are only added, in a fixed order.
struct store_news {
    std::string store; ///< ip:port
    std::uint64_t generation = 0; ///< 0: nothing is known of the store.
    std::uint32_t first = 0; ///< Number of the first of the parts below.
    std::uint32_t count = 0; ///< How many parts are known in all.
    bool confirmed = false; ///< The store was heard lately; otherwise its parts may be gone.
    std::vector<stored_part> parts;
    bool operator==(const store_news&) const = default;
};

/// How far a reader knows a store's parts.
struct store_cursor {
    std::string store;
    std::uint64_t generation = 0;
    std::uint32_t count = 0;
    auto operator<=>(const store_cursor&) const = default;
};

/// Which stores hold which KV parts whole. Every control VM and every entry has one.
class part_directory {
public:
    /// What is known of one store.
    struct store_content {
        std::uint64_t generation = 0;
        std::vector<stored_part> parts;
        std::map<part_key, std::uint32_t> tokens;
        std::uint64_t usedTokens = 0;
        instant refreshedAt {}; ///< When it was last told that this is still so.
        instant since {}; ///< When this generation was first heard of.
    };

    /// Starts a generation of a store with no parts; everything known before is dropped.
    void reset(const std::string& store, std::uint64_t generation, instant now);
    /// Adds a part to a store's present generation.
    void add(const std::string& store, const stored_part& part);
    /// Tells that what is known of a store is still so.
    void refresh(const std::string& store, instant now);

    /// Takes news of another directory. News that do not follow what is known are dropped; the next ones
    /// start from the cursor.
    void take(const store_news& news, instant now);

    /// @return the news after a reader's cursor.
    store_news newsAfter(const store_cursor& cursor, instant now) const;
    std::vector<store_cursor> cursors() const;

    /// What is known of a store counts no more when it was not confirmed for so long. It is kept, and counts
    /// again once the same generation is confirmed.
    static constexpr milliseconds silenceBound { 1'500 };

    /// @return what is known of a store, or null when that is nothing or was not confirmed lately.
    const store_content* find(const std::string& store, instant now) const;

    /// @return the stores and what is known of each.
    const std::map<std::string, store_content>& stores() const { return m_stores; }

private:
    std::map<std::string, store_content> m_stores;
};

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
    struct moving_delay {
        double ms = 0;
        instant at {};
    };
    static double faded(const moving_delay& delay, instant now);
    static void mix(moving_delay& delay, double sample, instant now);

    moving_delay m_others;
    std::map<std::string, moving_delay> m_stores;
};

/// Plans the fetches and saves of prompts on one entry. Load it answers: conversations that return after
/// their target has evicted them, whose memory comes from a store in a tenth of the time that reading them
/// again takes.
class part_planner {
public:
    /// Takes the stores of a deployment.
    void setStores(const std::vector<service_limits>& services);

    /// @param readTokensPerMs how fast a target reads a prompt that is not fetched.
    /// @param failureDomain of the target that will run the prompt.
    part_plan plan(const std::vector<prompt_part>& parts, const std::string& partition,
        const std::string& failureDomain, const part_directory& directory, double readTokensPerMs,
        instant now);

    /// @return whether the conversation's part can be fetched faster than it is read.
    bool canFetch(const std::vector<prompt_part>& parts, const std::string& partition,
        const part_directory& directory, double readTokensPerMs, instant now) const;

    store_delays& delays() { return m_delays; }

private:
    bool isWorthFetching(
        const part_store& store, std::uint64_t tokens, double readTokensPerMs, instant now) const;
    const part_store* sourceOf(const part_key& key, const std::string& failureDomain,
        const part_directory& directory, instant now) const;
    const part_store* homeOf(const part_key& key, std::uint64_t tokens, const std::string& failureDomain,
        const part_directory& directory, instant now) const;
    bool mayAskAgain(const part_key& key, instant now);

    std::vector<part_store> m_stores;
    store_delays m_delays;
    std::map<part_key, instant> m_asked; // saves that were asked for lately
    instant m_nextClean {};
};

} // namespace plumfold::core
