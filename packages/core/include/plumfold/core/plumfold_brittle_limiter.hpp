#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace plumfold::core {

/// Limits the requests that one entry has in flight at brittle targets: a target that declares itself brittle
/// ends if all entries together cause too many rejections for want of room in one second. Every entry uses an
/// equal part of a target's slots and none of its room for waiting requests, whose size may shrink unnoticed.
/// Brittleness is known by service, so that it holds for targets that have not responded yet. Performs no I/O
/// and reads no clock.
class brittle_limiter {
public:
    /// @param entry name of this entry, different from those of all others.
    explicit brittle_limiter(std::string entry)
        : m_entry(std::move(entry))
    {
    }

    /// @param count entries that send requests to the same targets. The largest of the last five seconds
    /// applies, since an entry that is not counted any more may still be sending.
    void setEntryCount(std::uint32_t count, instant now);

    /// Records what a target's response declares.
    /// @param maxRejections rejections per second that the target bears; nothing: it is not brittle.
    void onResponse(const std::string& service, std::optional<std::uint32_t> maxRejections, instant now);

    /// Records that a target rejected a request for want of room: its limit is halved and rises again.
    void onRejection(const std::string& service, const std::string& target, instant now);

    /// Limits a target that has just started to one request at first.
    void onTargetStarted(const std::string& service, const std::string& target, instant now);

    /// Records that a target may still run a request whose attempt has ended.
    void onAttemptCancelled(const std::string& service, const std::string& target, instant now);

    void removeTarget(const std::string& target) { m_targets.erase(target); }

    bool isBrittle(const std::string& service) const { return m_services.contains(service); }

    /// @param slots requests that the target runs at the same time.
    /// @return requests that this entry may have in flight at a target; nothing: no limit.
    std::optional<std::uint32_t> limit(
        const std::string& service, const std::string& target, std::uint32_t slots, instant now) const;

    /// @param memoryTokens tokens that the memory of a brittle target has room for.
    /// @param inFlightTokens tokens that this entry's requests on the target are expected to occupy.
    /// @param tokens those of the next request.
    /// @return whether the next request fits into this entry's part of the memory. The requests that are too
    /// large for a part are drawn, one at a time.
    bool fitsMemory(const std::string& target, std::uint64_t memoryTokens, std::uint64_t inFlightTokens,
        std::uint64_t tokens, instant now) const;

private:
    struct brittle_service {
        std::uint32_t maxRejections = 0;
        instant declaredAt {}; ///< Latest response that declared it.
        instant knownSince {}; ///< First of those responses without a break.
    };
    struct limited_target {
        double startShare = 1; ///< Share of the entry's part of the slots at `risesFrom`.
        instant risesFrom {};
        instant pausedUntil {}; ///< No request starts before.
        std::deque<instant> cancelledAt; ///< Attempts that the target may still run.
    };

    std::uint32_t entries() const;
    milliseconds rejectionInterval(const std::string& service) const;
    milliseconds pauseAfterRejection(const std::string& service, instant now) const;
    bool isDrawn(const std::string& target, double probability, instant now) const;
    static double riseOf(const limited_target& target, instant now);

    std::string m_entry;
    std::deque<std::pair<instant, std::uint32_t>>
        m_entryCounts; ///< Decreasing counts of the last five seconds.
    std::map<std::string, brittle_service> m_services; ///< Brittle ones.
    std::map<std::string, limited_target> m_targets;
};

} // namespace plumfold::core
