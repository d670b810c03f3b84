#pragma once

#include "plumfold/core/plumfold_target_report.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plumfold::core {

/// Whether a target takes new work, as far as its announcements tell.
enum class target_state : std::uint8_t {
    ready,
    leaving, ///< It said that it stops soon, or that it has left.
    silent, ///< Nothing was heard from it for too long.
};

/// What a target announced of itself. A later life of the same name has a later start.
struct target_announcement {
    std::string name; ///< Identity; a restarted target mostly has a new one.
    std::string service;
    std::string address; ///< ip:port
    std::string failureDomain;
    std::uint32_t slots = 1; ///< Requests that run at the same time.
    target_state state = target_state::ready;
    milliseconds coldFor { 0 }; ///< How much longer it stays cold.
    unix_milliseconds startedAt = 0;
    std::uint64_t sequence = 0; ///< Grows with each announcement of one life.
    std::vector<loaded_model> models;
    auto operator<=>(const target_announcement&) const = default;
};

/// All targets that announce themselves, kept by the latest announcement of each.
class target_directory {
public:
    /// An announcement with the place that it has among the changes.
    struct entry {
        target_announcement last;
        instant lastSeenAt {};
        std::uint64_t change = 0; ///< The directory's change at which it last differed.
        bool isDirect = false; ///< Whether the target itself told this control VM last.
    };

    /// Takes an announcement, from the target itself or relayed.
    /// @param isDirect whether it came from the target itself.
    /// @return whether it is newer than what was known.
    bool apply(const target_announcement& next, bool isDirect, instant now);

    /// Takes that a target has left. Its latest announcement stays, as leaving.
    /// @return whether the target was known and had not left.
    bool markLeaving(const std::string& name, instant now);

    /// Takes that a target has loaded a weight version.
    /// @return whether that was news.
    bool setWeights(const std::string& name, const std::string& model, const std::string& version);

    /// Marks targets silent that were not heard for longer than a bound.
    /// @return the names of those that became silent.
    std::vector<std::string> detectSilent(instant now, milliseconds timeout);

    /// Takes that a target does not answer.
    /// @return whether it counted as ready until now.
    bool markSilent(const std::string& name);

    /// Starts the silence of all targets anew, after this control VM itself could hear nothing for a while.
    void restartAnnouncementTimeouts(instant now);

    /// Forgets targets that left or fell silent a long time ago.
    void removeStale(instant now, milliseconds maxAge);

    /// @return the number of the latest change.
    std::uint64_t latestChange() const { return m_latestChange; }

    /// @return the entries that changed after a change, those of all targets for 0.
    std::vector<entry> changedAfter(std::uint64_t change) const;

    const std::map<std::string, entry>& entries() const { return m_entries; }

private:
    std::map<std::string, entry> m_entries;
    std::uint64_t m_latestChange = 0;
};

} // namespace plumfold::core
