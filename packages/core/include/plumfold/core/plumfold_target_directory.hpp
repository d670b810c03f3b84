#pragma once

#include "plumfold/core/plumfold_target_report.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plumfold::core {

/// Whether a target accepts new work, according to its announcements.
enum class target_state : std::uint8_t {
    ready,
    leaving, ///< It announced that it is stopping or has stopped.
    silent, ///< No announcement came within the timeout, or it did not answer.
};

/// A target's announcement of itself. A later incarnation of the same name has a later start.
struct target_announcement {
    std::string name; ///< Identity; a restarted target usually has a new one.
    std::string service;
    std::string address; ///< ip:port
    std::string failureDomain;
    std::uint32_t slots = 1; ///< Requests that run at the same time.
    target_state state = target_state::ready;
    milliseconds coldFor { 0 }; ///< Remaining time in cold start.
    unix_milliseconds startedAt = 0; ///< Identifies the incarnation.
    std::uint64_t sequence = 0; ///< Increases with each announcement of an incarnation.
    std::vector<loaded_model> models;
    std::string softwareVersion; ///< Of the target's program, not of its weights; empty: unknown.
    auto operator<=>(const target_announcement&) const = default;
};

/// The latest announcement of each target.
class target_directory {
public:
    /// The latest announcement of a target and the number of its latest change.
    struct entry {
        target_announcement last;
        instant lastSeenAt {};
        instant coldUntil {};
        std::uint64_t change = 0; ///< Number of the directory's change that last altered the announcement.
        /// The latest state was learned from the target itself, not relayed by a peer.
        bool isDirect = false;

        /// @return the latest announcement with the cold time that remains.
        target_announcement announcementAt(instant now) const;
    };

    /// Applies an announcement. A target at whose address another one has started later has ended, even if an
    /// announcement of it arrives late.
    /// @param isDirect whether it came from the target itself; otherwise it was relayed.
    /// @return whether it was applied; false if it is stale.
    bool apply(const target_announcement& next, bool isDirect, instant now);

    /// Marks a target as leaving; its latest announcement is kept.
    /// @return whether the target is known and was not already leaving.
    bool markLeaving(const std::string& name, instant now);

    /// Records that a target has loaded a weight version.
    /// @return whether the known version changed.
    bool setWeights(const std::string& name, const std::string& model, const std::string& version);

    /// Marks ready targets as silent whose latest announcement is older than the timeout.
    /// @return the names of the targets that became silent.
    std::vector<std::string> detectSilent(instant now, milliseconds timeout);

    /// Marks a target as silent because it does not answer.
    /// @return whether the target is known and was ready.
    bool markSilent(const std::string& name);

    /// Restarts the announcement timeouts of all targets, after this control VM was unable to receive for
    /// some time.
    void restartAnnouncementTimeouts(instant now);

    /// Removes leaving and silent targets, and software versions, that were last seen longer ago than maxAge.
    void removeStale(instant now, milliseconds maxAge);

    /// @return the number of the latest change.
    std::uint64_t latestChange() const { return m_latestChange; }

    /// @param change a number of latestChange(); 0 for all entries.
    /// @return the entries that changed after it.
    std::vector<entry> changedAfter(std::uint64_t change) const;

    /// @return the software versions that targets of a service have announced; each until removeStale() finds
    /// that it was last announced too long ago.
    std::set<std::string> softwareVersions(const std::string& service) const;

    const std::map<std::string, entry>& entries() const { return m_entries; }

private:
    void endReplaced(const std::string& address, instant now);

    std::map<std::string, entry> m_entries;
    /// When a target of a service last announced a software version.
    std::map<std::pair<std::string, std::string>, instant> m_versionsSeenAt;
    std::uint64_t m_latestChange = 0;
};

} // namespace plumfold::core
