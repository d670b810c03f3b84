#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace plumfold::core {

/// Requests that may be compared with each other: those of one route and of similar size.
struct rollout_stratum {
    std::string route;
    std::uint8_t sizeClass = 0; ///< Logarithm to base 4 of the prompt tokens, else of the bytes of the body.
    auto operator<=>(const rollout_stratum&) const = default;
};

/// Number of latency classes; class n counts latencies below 1.41^n ms, the last one all above.
inline constexpr std::size_t rolloutLatencyClasses = 36;

/// @return the latency class of a time to the first event, or to the whole answer of a plain service.
std::size_t rolloutLatencyClass(milliseconds latency);

/// Answers of the targets of one cohort in one stratum.
struct rollout_counts {
    std::uint64_t failures = 0; ///< Answers with an error, and answers that were lost or broken off.
    std::array<std::uint64_t, rolloutLatencyClasses> latencies {}; ///< Other answers by latency class.
    bool operator==(const rollout_counts&) const = default;

    /// Adds the counts of other answers.
    rollout_counts& operator+=(const rollout_counts& other);

    /// @return the number of answers.
    std::uint64_t answers() const;
};

/// What one entry has seen of a running rollout since its process started, or since the rollout was ordered.
/// Cumulative, so the newest report of a process replaces the earlier ones.
struct rollout_report {
    struct row {
        rollout_stratum stratum;
        rollout_counts former;
        rollout_counts next;
        bool operator==(const row&) const = default;
    };

    std::string entry;
    std::uint64_t incarnation = 0; ///< Of the entry's process.
    std::string service;
    std::uint64_t rollout = 0; ///< See rollout_record::id.
    std::uint64_t number = 0; ///< Increases with each report of the process.
    std::uint64_t decision = 0; ///< Sequence of the decision that is in force at the entry.
    std::uint64_t formerRequests = 0; ///< Requests sent to targets with other versions.
    std::uint64_t nextRequests = 0; ///< Requests sent to targets of the next version, cold ones included.
    /// Requests of the entry that former targets run. At the full share, at least those that were sent to
    /// them since the previous report.
    std::uint32_t formerInFlight = 0;
    std::vector<row> rows;
    bool operator==(const rollout_report&) const = default;
};

} // namespace plumfold::core
