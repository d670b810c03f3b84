#pragma once

#include "plumfold/core/plumfold_target_directory.hpp"
#include "plumfold/core/plumfold_time.hpp"
#include "plumfold/core/rollout/plumfold_rollout_record.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace plumfold::core {

/// Side of a rollout that a target is on.
enum class rollout_cohort : std::uint8_t { none, former, next };

/// How the rollout of its service restricts the use of a target.
enum class rollout_role : std::uint8_t {
    unrestricted, ///< No rollout of the service is running.
    former,
    next,
    spare, ///< Runs the next version, but is not in the part that gets a small share.
    other, ///< Runs a third version while a rollout is running; used like a former target.
    barred, ///< Gets no request: its version was rolled back, replaced, or is on hold.
};

/// Use of a target according to the rollout of its service.
struct rollout_standing {
    rollout_role role = rollout_role::unrestricted;
    bool isHeld = false; ///< Barred only until its version is released.
    bool hasReadyNext = false; ///< Any target of the next version is ready.
    std::uint32_t share = 0; ///< See rollout_record::share.
    std::uint64_t rollout = 0; ///< See rollout_record::id; 0: none is running.
    auto operator<=>(const rollout_standing&) const = default;
};

/// Properties of a request that its cohort depends on.
struct cohort_request {
    std::uint32_t draw = rolloutFullShare - 1; ///< Below the share: goes to the next version.
    bool isPlanFresh = false; ///< A control VM in touch with the quorum has confirmed the plan recently.
    bool hasFailedAtNext = false;
    bool needsVersion = false; ///< A stream that may go on at one version only.
    bool isFallback = false; ///< The cohort that it belongs to has no usable target.
};

/// A plan that was confirmed longer ago is old.
inline constexpr milliseconds maxRolloutPlanAge { 2'000 };

/// @return the cohort of a target.
rollout_cohort cohortOf(const rollout_standing& standing);

/// @param key different for each request, the same for all attempts at it.
/// @return the draw of a request, 0 to 999.
std::uint32_t rolloutDrawOf(const std::string& key);

/// @return whether a request may be placed on a target.
bool isSelectable(const rollout_standing& standing, const cohort_request& request);

/// @return whether a request that was placed on a target may still be sent to it.
bool mayBeSent(const rollout_standing& standing, const cohort_request& request);

/// @param standing of the service, see rollout_cohorts::standingOf().
/// @return whether a request may be placed on the other cohort if its own has no usable target.
bool mayFallBack(const rollout_standing& standing, const cohort_request& request);

/// Where rollout_cohorts keeps what it knows of a target's software version. Saves the search by name.
struct version_slot {
    std::uint32_t index = 0;
    std::uint64_t generation = 0; ///< In which the index is valid; 0: never.
};

/// A target whose standing is determined.
struct cohort_member {
    const target_announcement* target = nullptr;
    bool isCold = false;
    rollout_standing* standing = nullptr; ///< Receives the result.
    /// Kept with the target as long as its service and version stay the same; nothing: it is not kept.
    version_slot* slot = nullptr;
};

/// A software version whose hold began or ended.
struct version_hold {
    std::string service;
    std::string version;
    bool isHeld = false;
    auto operator<=>(const version_hold&) const = default;
};

/// A software version that joined a service although a rollout had ended its use.
struct barred_version {
    std::string service;
    std::string version;
    std::uint64_t rollout = 0; ///< The service's latest, see rollout_record::id.
    rollout_state state = rollout_state::running; ///< Of that rollout.
    auto operator<=>(const barred_version&) const = default;
};

/// Determines by the rollouts of services and by the versions on hold which targets requests may go to.
class rollout_cohorts {
public:
    /// @param holdsNewVersions versions that join a service are not used until it is known that no rollout
    /// was ordered for them.
    explicit rollout_cohorts(bool holdsNewVersions = false)
        : m_holdsNewVersions(holdsNewVersions)
    {
    }

    /// @return whether any target may be restricted.
    bool isActive() const { return m_holdsNewVersions || !m_rollouts.empty(); }
    /// @return whether any rollout is running.
    bool isRunning() const;

    /// Replaces the latest rollouts by service.
    void setRollouts(const std::map<std::string, rollout_record>& rollouts) { m_rollouts = rollouts; }

    /// Applies that a control VM in touch with the quorum has confirmed the rollouts. Targets that it knows
    /// were passed to assign() before.
    /// @param at when it was asked, by a clock that counts suspensions.
    /// @return the versions that are no longer on hold.
    std::vector<version_hold> onPlanConfirmed(instant at);

    /// Determines the standing of all targets.
    /// @return the versions whose hold began or ended.
    std::vector<version_hold> assign(const std::vector<cohort_member>& members);

    /// @return the barred versions that have joined since the last call. Each is returned once for each
    /// rollout. A version whose targets have run since it was last used has not joined.
    std::vector<barred_version> takeBarredVersions() { return std::exchange(m_barred, {}); }

    /// @return the standing that the targets of a service have in common; without a role.
    rollout_standing standingOf(const std::string& service) const;

private:
    /// What is known of a software version of a service.
    struct known_version {
        bool isHeld = false;
        std::optional<instant> heldSince; ///< The first confirmation after it was seen.
        bool isPresent = false; ///< A target has it.
        bool wasUsed = false; ///< Since it joined.
        unsigned confirmationsAbsent = 0;
        bool isReady = false; ///< A target of it is ready.
        unix_milliseconds earliestStart = 0; ///< Of its targets that aren't leaving; 0: there is none.
        std::uint32_t index = 0; ///< Different for each version of any service.
        rollout_standing standing; ///< Of its targets, before a part of them is chosen for a small share.
    };
    using versions = std::map<std::string, known_version>;

    std::vector<known_version*> versionsOf(
        const std::vector<cohort_member>& members, std::vector<version_hold>& joined);
    std::vector<version_hold> updateVersions(const std::vector<cohort_member>& members,
        const std::vector<known_version*>& known, std::vector<version_hold> joined);
    void updateStandings();
    void forgetAbsentVersions();
    void noteBarredVersions();
    bool isGoverned(const std::string& service, const std::string& version) const;
    rollout_role roleOf(const std::string& service, const std::string& version) const;
    void choosePart(const std::vector<cohort_member>& members) const;

    bool m_holdsNewVersions;
    bool m_isConfirmed = false;
    std::map<std::string, rollout_record> m_rollouts; // by service
    std::map<std::string, bool> m_hasReadyNext; // by service with a running rollout
    std::map<std::string, versions> m_versions; // by service
    std::uint32_t m_nextIndex = 0; // see known_version
    std::uint64_t m_generation = 1; // of the indices, see version_slot
    std::set<std::tuple<std::string, std::string, std::uint64_t>> m_noted; // service, version and rollout
    std::vector<barred_version> m_barred; // not taken yet
};

} // namespace plumfold::core
