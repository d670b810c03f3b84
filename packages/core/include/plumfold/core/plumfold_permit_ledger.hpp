#pragma once

#include "plumfold/core/plumfold_slow_start_window.hpp"
#include "plumfold/core/plumfold_target_report.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace plumfold::core {

using permit_id = std::uint64_t;

/// A request for a concurrency permit on one target.
struct permit_request {
    std::string holder; ///< Entry that requests the permit.
    std::string target;
    std::uint64_t incarnation = 0; ///< Of the target; the permit is denied when the target has restarted.
    bool alone = false; ///< No other request may run on the target at the same time.
};

/// The answer to a permit_request.
struct permit_answer {
    bool granted = false;
    permit_id permit = 0;
    std::uint32_t limit = 0; ///< The target's concurrency limit; 0 when denied.
    milliseconds retryAfter { 0 }; ///< Back-off after a denied request.
};

/// Grants concurrency permits for the targets that one entry owns. Every entry acquires a permit from the
/// owner before it sends a request to a target, so all entries together never exceed the target's concurrency
/// limit. A permit is a lease: it expires when its holder stops renewing it.
class permit_ledger {
public:
    /// @param lease lifetime of a permit without renewal.
    /// @param seed start of the permit numbers, so that those of different owners differ.
    permit_ledger(milliseconds lease, std::uint64_t seed);

    /// Applies a target's report. A target that is new to this ledger may still run requests under permits of
    /// its previous owner, so its reported load counts against the limit until a lease has passed. A restart
    /// of the target voids its permits and resets the limit to 1.
    void onReport(const target_report& report, instant now);

    /// Grants a permit, or denies it while the target is full or reserved for a request that must run alone.
    permit_answer acquire(const permit_request& request, instant now);
    /// Ends a permit and adjusts the target's limit to the measured attempt. Unknown permits are ignored.
    void release(permit_id permit, const attempt_measurement& measure);
    /// Extends the leases of a holder's permits; permits of other holders are ignored.
    void renew(const std::string& holder, const std::vector<permit_id>& permits, instant now);

    /// Ends permits whose lease has expired and removes targets that have not reported for a minute.
    void expire(instant now);

    /// Removes a target and its permits.
    void remove(const std::string& target);

    /// @return the concurrency limit of a target, or 0 when the target is unknown.
    std::uint32_t limitOf(const std::string& target) const;
    /// @return permits in use on a target, including inherited load, or 0 when the target is unknown.
    std::uint32_t takenOf(const std::string& target) const;

private:
    struct held_permit {
        std::string holder;
        std::string target;
        instant until;
        bool alone;
    };
    struct waiting_holder {
        std::string holder;
        instant until;
    };
    struct owned_target {
        std::uint64_t incarnation = 0;
        slow_start_window window { 1 };
        instant reportedAt {};
        std::uint32_t inherited = 0; // requests running under a previous owner's permits
        instant inheritedUntil {};
        std::uint32_t taken = 0;
        bool aloneHeld = false;
        instant drainUntil {}; // until then only drainFor gets permits, for a request that must run alone
        std::string drainFor;
        std::deque<waiting_holder> waiting; // in the order of their first denial
    };

    std::uint32_t holdersAhead(owned_target& target, const std::string& holder, instant now);
    void erasePermit(std::map<permit_id, held_permit>::iterator permit);

    milliseconds m_lease;
    permit_id m_next;
    std::map<permit_id, held_permit> m_permits;
    std::map<std::string, owned_target> m_targets;
};

} // namespace plumfold::core
