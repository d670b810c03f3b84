#pragma once

#include "plumfold/core/placement/plumfold_kv_links.hpp"
#include "plumfold/core/placement/plumfold_link_delays.hpp"
#include "plumfold/core/placement/plumfold_link_occupancy.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace plumfold::core {

/// The engine that needs a KV part.
struct fetch_target {
    std::string address; ///< ip:port; empty: any engine of the service.
    kv_link link;
    std::uint64_t bytesPerToken = 0;
    double prefillTokensPerMs = 0;
    double requestsBehind = 0; ///< Requests that wait behind a prompt that is read there.
    std::size_t engines = 1; ///< Engines of the service.
    std::string service;
    auto operator<=>(const fetch_target&) const = default;
};

/// Kinds of holders, by which links are grouped.
enum class holder_kind : std::uint8_t { store, engine };

/// A holder of a KV part.
struct fetch_source {
    std::string address; ///< ip:port
    kv_link link;
    holder_kind kind = holder_kind::store;
    auto operator<=>(const fetch_source&) const = default;
};

/// Whether a part is fetched, and how long that takes.
struct fetch_choice {
    std::string source; ///< Address; empty: the target reads the part.
    double expectedMs = 0; ///< Until the target has the part.
    double transferMs = 0; ///< Part of it in which links are occupied; 0 without a transfer of its own.
    auto operator<=>(const fetch_choice&) const = default;
};

/// Decides for each KV part whether an engine fetches it, and from where, or reads it anew. Compares the
/// expected wait for the links and the transfer with the time for reading. Entries decide without each other;
/// what each plans tells it how busy the links are.
class fetch_planner {
public:
    /// @param stores number of stores in the deployment.
    void setStoreCount(std::size_t stores) { m_stores = stores; }
    /// @param count entries that plan fetches from the same holders.
    void setEntryCount(double count, instant now) { m_entries.update(count, now); }

    /// @return the decision; nothing if the figures of the target or of all sources cannot be used. Nothing
    /// is recorded.
    std::optional<fetch_choice> choose(std::uint64_t part, std::uint64_t tokens, const fetch_target& target,
        const std::vector<fetch_source>& sources, instant now) const;

    /// Records that a choice was planned.
    void record(std::uint64_t part, const fetch_choice& choice, const fetch_target& target, holder_kind kind,
        instant now);

    /// Records one request's first event.
    /// @param sources from which its parts were fetched; empty for a prompt that was read.
    /// @param excessMs time to the first event beyond its prediction.
    void recordDelay(const std::vector<std::string>& sources, double excessMs, instant now)
    {
        m_delays.record(sources, excessMs, now);
    }

private:
    /// The links of the engines of one service. Services have different numbers of engines and loads.
    struct engine_links {
        link_occupancy sending;
        link_occupancy receiving;
    };
    struct running_transfer {
        std::string source;
        instant endsAt {};
    };
    static std::uint64_t transferOf(std::uint64_t part, const fetch_target& target);
    const engine_links& engineLinksOf(const std::string& service) const;
    const link_occupancy& sendingLinks(holder_kind kind, const fetch_target& target) const;
    std::size_t linksOf(holder_kind kind, const fetch_target& target) const;
    double waitMs(const fetch_source& source, const fetch_target& target, instant now) const;
    double readingCostMs(
        double readMs, const fetch_source& source, const fetch_target& target, instant now) const;
    std::optional<fetch_choice> running(std::uint64_t part, const fetch_target& target,
        const std::vector<fetch_source>& sources, instant now) const;

    entry_count_filter m_entries;
    std::size_t m_stores = 1;
    link_occupancy m_storeLinks; // all services use the same stores
    std::unordered_map<std::string, engine_links> m_engineLinks; // by service
    link_delays m_delays;
    std::unordered_map<std::uint64_t, running_transfer> m_transfers; // by part and target
    instant m_nextCleanup {};
};

} // namespace plumfold::core
