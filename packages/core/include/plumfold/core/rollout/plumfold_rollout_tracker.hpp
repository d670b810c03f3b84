#pragma once

#include "plumfold/core/plumfold_target_directory.hpp"
#include "plumfold/core/rollout/plumfold_rollout_evidence.hpp"
#include "plumfold/core/rollout/plumfold_rollout_judge.hpp"
#include "plumfold/core/rollout/plumfold_rollout_planner.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace plumfold::core {

/// What one control VM learns of a running rollout: evidence and its assessment, the entries, the rate of
/// requests and since when the share is in force. Times are monotonic and passed in.
class rollout_tracker {
public:
    /// @param record the rollout as first seen by this process.
    rollout_tracker(const rollout_record& record, instant now);

    /// Applies an entry's report, received from it or from another control VM.
    void add(const rollout_report& report, instant now);

    /// Follows the record, ends windows of the evidence and assesses it. Call it periodically.
    void update(const rollout_record& record, instant now);

    /// @return whether the processes that know the rollout have had time to report since it was first seen.
    bool isSettled(instant now) const;

    const rollout_assessment& assessment() const { return m_assessment; }

    /// @param directory all announced targets; those of the service that are ready and warm count.
    /// @param elapsed since the order.
    rollout_situation situation(const std::string& service, const rollout_record& record,
        const target_directory& directory, milliseconds elapsed, instant now) const;

private:
    void addEntries(rollout_situation& out, milliseconds recentTime, instant now) const;

    rollout_evidence m_evidence;
    rollout_judge m_judge;
    rollout_assessment m_assessment;
    std::map<std::string, instant> m_reportedAt; // by entry
    std::deque<std::pair<instant, std::uint64_t>> m_requests; // seen at the ends of windows
    instant m_firstSeenAt;
    instant m_windowAt; ///< Start of the open window.
    bool m_isRestored = false;
    std::uint32_t m_share = 0;
    std::uint64_t m_shareNextRequests = 0; ///< To the next version before that decision.
    std::uint64_t m_shareSequence = 0; ///< Of the decision that set the share, as far as known.
    instant m_shareAt;
};

} // namespace plumfold::core
