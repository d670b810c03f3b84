#pragma once

#include "plumfold/core/plumfold_slow_start_window.hpp"
#include "plumfold/core/plumfold_target_report.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace plumfold::core {

using permit_id = std::uint64_t;

struct permit_request {
    std::string holder; ///< Entry that asks.
    std::string target;
    std::uint64_t incarnation = 0; ///< Of the target.
    bool alone = false; ///< No other request may run beside it.
};

struct permit_answer {
    bool granted = false;
    permit_id permit = 0;
    std::uint32_t limit = 0; ///< The target's window.
    milliseconds retryAfter { 0 };
};

/// Permits for the targets that one entry owns. All entries ask the owner before they send a request to a
/// target, so the sum over entries never exceeds the target's window. A permit is a lease: it ends when its
/// holder stops renewing.
class permit_ledger {
public:
    /// @param lease how long a permit lives without renewal.
    /// @param seed makes permit numbers of different owners differ.
    permit_ledger(milliseconds lease, std::uint64_t seed);

    /// Takes in what a target reports. A target that this ledger meets for the first time may still run
    /// requests under permits of a former owner: its reported load counts as taken until a lease has passed.
    void onReport(const target_report& report, instant now);

    permit_answer acquire(const permit_request& request, instant now);
    void release(permit_id permit, const attempt_measurement& measure);
    void renew(const std::string& holder, const std::vector<permit_id>& permits, instant now);

    /// Ends the permits that were not renewed and forgets the targets that have been silent for long.
    void expire(instant now);

    void forget(const std::string& target);

    /// @return the present limit of a target, or 0 when the target is unknown.
    std::uint32_t limitOf(const std::string& target) const;
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
        std::uint32_t inherited = 0; // requests of a former owner's permits
        instant inheritedUntil {};
        std::uint32_t taken = 0;
        bool aloneHeld = false;
        instant drainUntil {}; // no new permits before, for a request that must run alone
        std::string drainFor;
        std::deque<waiting_holder> waiting; // in the order of their first refusal
    };

    std::uint32_t waitingBefore(owned_target& target, const std::string& holder, instant now);
    void drop(std::map<permit_id, held_permit>::iterator permit);

    milliseconds m_lease;
    permit_id m_next;
    std::map<permit_id, held_permit> m_permits;
    std::map<std::string, owned_target> m_targets;
};

} // namespace plumfold::core
