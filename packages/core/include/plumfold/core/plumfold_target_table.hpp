#pragma once

#include "plumfold/core/plumfold_target_report.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <map>
#include <string>

namespace plumfold::core {

/// State of a target as known to one entry.
struct known_target {
    target_report report;
    instant reportedAt {}; ///< When the target sent the report.
    std::uint32_t startedSinceReport = 0; ///< Own requests sent since the report.
    std::uint32_t ownRunning = 0; ///< Own requests in flight.
    instant avoidUntil {}; ///< End of the back-off after a failure.
};

/// The targets that have announced themselves. Targets are removed if their reports stop.
class target_table {
public:
    /// @param expiry maximum age of a target's latest report.
    explicit target_table(milliseconds expiry);

    /// Applies a report, received from the target or relayed by another entry.
    /// @param sentAt when the target sent it.
    /// @return whether it was applied; reports older than the known one are dropped.
    bool update(const target_report& report, instant sentAt);

    /// Removes targets whose latest report has expired.
    void expire(instant now);
    void remove(const std::string& name) { m_targets.erase(name); }

    known_target* find(const std::string& name);
    const known_target* find(const std::string& name) const;
    const std::map<std::string, known_target>& all() const { return m_targets; }

private:
    milliseconds m_expiry;
    std::map<std::string, known_target> m_targets;
};

} // namespace plumfold::core
