#pragma once

#include "plumfold/core/rollout/plumfold_rollout_record.hpp"
#include "plumfold/core/rollout/plumfold_rollout_report.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace plumfold::core {

/// Answers of both cohorts in one stratum.
struct rollout_cohort_counts {
    rollout_counts former;
    rollout_counts next;
    bool operator==(const rollout_cohort_counts&) const = default;
};

/// Evidence of all entries on one rollout: the sum of the newest report of each process. Processes that have
/// ended are kept. The answers are also kept by the time window in which their reports were received, so that
/// a short disturbance can be told from a lasting one.
class rollout_evidence {
public:
    using strata = std::map<rollout_stratum, rollout_cohort_counts>;

    /// Windows that are kept; one minute at 500 ms each.
    static constexpr std::size_t maxWindows = 120;

    /// Replaces the earlier report of the same process.
    /// @return whether the report was newer than the known one; otherwise nothing changes.
    bool add(const rollout_report& report);

    /// Ends a time window. Call it at equal intervals, independent of the arrival of reports.
    void closeWindow();

    /// Accounts for requests that only processes that have ended knew of, as after a loss of power. Call it
    /// once, when the processes that still run have reported.
    /// @param recorded totals of the rollout's record.
    void restore(const rollout_totals& recorded);

    /// @return the requests of all processes; without bad answers, which a rollout_judge counts.
    rollout_totals totals() const;

    /// @return the answers in the order of strata, of all processes and times.
    const strata& sums() const { return m_sums; }

    /// @return the answers by window, oldest first; without the window that has not ended.
    const std::deque<strata>& windows() const { return m_windows; }

    /// @return the newest report of the current process of each entry, by entry; valid until the next change.
    /// The current process is the one that reported last.
    std::vector<const rollout_report*> currentReports() const;

private:
    using process = std::pair<std::string, std::uint64_t>; // entry and incarnation

    std::map<process, rollout_report> m_reports;
    std::map<std::string, std::uint64_t> m_current; // incarnation by entry
    strata m_sums;
    strata m_open; // changes since the latest window ended
    std::deque<strata> m_windows;
    rollout_totals m_requests;
    rollout_totals m_restored;
};

} // namespace plumfold::core
