#pragma once

#include "plumfold/core/rollout/plumfold_rollout_cohorts.hpp"
#include "plumfold/core/rollout/plumfold_rollout_record.hpp"
#include "plumfold/core/rollout/plumfold_rollout_report.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plumfold::core {

/// Cohort of the target of an attempt, as of its placement.
struct rollout_assignment {
    std::uint64_t rollout = 0; ///< See rollout_record::id; 0: none is running.
    rollout_cohort cohort = rollout_cohort::none;
    bool isWarm = true; ///< Answers of cold targets are no evidence.
    auto operator<=>(const rollout_assignment&) const = default;
};

/// @return the size class of a request: the logarithm to base 4 of its prompt tokens, else of its bytes.
std::uint8_t rolloutSizeClass(std::uint64_t promptTokens, std::uint64_t bodyBytes);

/// @return the bytes of a report on the wire, within a tenth.
std::size_t encodedBytes(const rollout_report& report);

/// Counts the requests and answers of one entry by cohort for each running rollout.
class rollout_recorder {
public:
    /// @param entry name of the entry.
    /// @param incarnation of its process.
    rollout_recorder(std::string entry, std::uint64_t incarnation)
        : m_entry(std::move(entry))
        , m_incarnation(incarnation)
    {
    }

    /// Replaces the rollouts. What was counted of others than the running ones is dropped.
    void setRollouts(const std::map<std::string, rollout_record>& rollouts);

    /// @return whether any rollout is running.
    bool isRunning() const { return !m_rollouts.empty(); }

    /// Records that a request was sent to a target, which now runs it. Targets also run requests that were
    /// sent before the rollout was ordered, so all requests are recorded.
    /// @param version software version of the target.
    void onSent(const std::string& service, const std::string& version, const rollout_assignment& assignment);
    /// Records that a target no longer runs a request, see onSent().
    void onEnded(const std::string& service, const std::string& version);

    /// Counts an answer, at its first event or at its end.
    void onAnswer(const rollout_assignment& assignment, const rollout_stratum& stratum, milliseconds latency);
    /// Counts a failure.
    void onFailure(const rollout_assignment& assignment, const rollout_stratum& stratum);
    /// Counts an answer as a failure that was recorded by onAnswer(), because its rest was lost.
    void onBrokenAnswer(
        const rollout_assignment& assignment, const rollout_stratum& stratum, milliseconds latency);

    /// @return what is known of the running rollouts, with the next numbers.
    std::vector<rollout_report> takeReports();

private:
    struct running_rollout {
        rollout_record record;
        std::uint64_t reports = 0;
        std::uint64_t formerRequests = 0;
        std::uint64_t nextRequests = 0;
        std::uint32_t formerSinceReport = 0; ///< Requests sent to former targets at the full share.
        std::map<rollout_stratum, rollout_report::row> rows;
    };

    running_rollout* find(const rollout_assignment& assignment);
    rollout_counts* countsOf(const rollout_assignment& assignment, const rollout_stratum& stratum);

    std::string m_entry;
    std::uint64_t m_incarnation;
    std::map<std::string, running_rollout> m_rollouts; // by service
    std::map<std::string, std::map<std::string, std::uint32_t>> m_inFlight; // by service and version
};

} // namespace plumfold::core
