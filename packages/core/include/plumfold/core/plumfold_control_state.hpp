#pragma once

#include "plumfold/core/plumfold_commands.hpp"
#include "plumfold/core/plumfold_configuration.hpp"

#include <deque>
#include <map>

namespace plumfold::core {

/// The claim on an at-most-once request. Its key is released if the request did not run, and expires
/// otherwise.
struct claim_state {
    claim_key key;
    std::uint64_t fingerprint = 0;
    std::string holder;
    claim_status state = claim_status::in_progress; ///< in_progress, completed or unknown.
    unix_milliseconds runUntil = 0; ///< Once this has passed, an unfinished claim is reported as unknown.
    unix_milliseconds keepUntil = 0; ///< When the claim expires and the key may be used again.
    stored_response response; ///< Set when completed.
    bool operator==(const claim_state&) const = default;
};

/// The result of a change request, stored to answer retries of the same request.
struct stored_change_result {
    std::string operatorName;
    std::string requestId;
    change_result result;
};

/// Who made an accepted change, and when.
struct audit_record {
    unix_milliseconds at = 0;
    std::string operatorName;
    std::string requestId;
    delta appliedDelta;
};

/// The last usage batch that was counted from one incarnation of an entry.
struct usage_source {
    std::string source; ///< Name of the entry.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

/// How long a verdict stays in force after it was last recorded.
inline constexpr unix_milliseconds verdictRetentionMs = 24ull * 3600 * 1000;

/// Poison requests: they crash targets and are rejected until the verdict expires.
struct verdict {
    std::uint64_t fingerprint = 0; ///< Hash that identifies the request or the traits.
    std::uint32_t crashes = 0; ///< Number of targets that they crashed.
    unix_milliseconds until = 0; ///< When the verdict expires.
    bool isWithdrawn = false; ///< An operator has lifted it; kept so that all processes learn of it.
    trait_set traits; ///< See verdict_command.
    auto operator<=>(const verdict&) const = default;
};

/// A named lease and its last holder.
struct lease_state {
    std::string name;
    std::string holder;
    unix_milliseconds until = 0; ///< When the lease expires unless it is renewed.
    std::uint64_t fence = 0; ///< Fencing token of the holder.
    std::uint64_t takeovers = 0; ///< How often it went from one holder to another.
    auto operator<=>(const lease_state&) const = default;
};

/// The complete control state, as stored in a snapshot.
struct control_snapshot {
    std::uint64_t revision = 0;
    std::vector<record> records;
    std::vector<delta> deltas; ///< The most recent ones, in order.
    std::vector<stored_change_result> results; ///< Oldest first.
    std::vector<claim_state> claims;
    std::vector<usage_row> usage;
    std::vector<usage_source> usageSources;
    std::vector<verdict> verdicts;
    std::vector<audit_record> audit;
    std::vector<lease_state> leases;
    std::uint64_t lastFence = 0; ///< The last fencing token issued.
    deployment_state deployment;
    std::map<std::string, std::uint64_t> inServiceOrders; ///< See control_state::inServiceOrders().
};

/// The state machine behind the replicated log. It is deterministic: the same commands in the same order give
/// the same state on every node, since it reads no clock but the time in each command.
class control_state {
public:
    control_state() = default;
    explicit control_state(control_snapshot snapshot);

    /// Applies a committed command.
    /// @param logIndex its place in the log.
    /// @return the result for the caller that submitted the command.
    command_result apply(const command& next, std::uint64_t logIndex = 0);

    control_snapshot snapshot() const;

    const configuration& config() const { return m_configuration; }
    const deployment_state& deployment() const { return m_deployment; }
    /// @return the deltas after a revision, or nothing if they are no longer retained.
    std::optional<std::vector<delta>> deltasAfter(std::uint64_t revision) const;
    const std::map<claim_key, claim_state>& claims() const { return m_claims; }
    std::vector<usage_row> usage() const;
    std::vector<verdict> verdicts() const;
    /// @return the latest state of each lease, by its name; the lease may have expired.
    const std::map<std::string, lease_state>& leases() const { return m_leases; }
    /// @return the log index of the last set_in_service_command for each failure domain, whether or not it
    /// changed anything.
    const std::map<std::string, std::uint64_t>& inServiceOrders() const { return m_inServiceOrders; }
    const std::deque<audit_record>& audit() const { return m_audit; }

private:
    command_result applyCommand(const barrier_command&, unix_milliseconds at);
    command_result applyCommand(const change_command& next, unix_milliseconds at);
    command_result applyCommand(const claim_command& next, unix_milliseconds at);
    command_result applyCommand(const finish_claim_command& next, unix_milliseconds at);
    command_result applyCommand(const usage_command& next, unix_milliseconds at);
    command_result applyCommand(const verdict_command& next, unix_milliseconds at);
    command_result applyCommand(const lease_command& next, unix_milliseconds at);
    command_result applyCommand(const adopt_document_command& next, unix_milliseconds at);
    command_result applyCommand(const set_in_service_command& next, unix_milliseconds at);
    command_result applyCommand(const set_current_weights_command& next, unix_milliseconds at);
    command_result applyCommand(const begin_rollout_command& next, unix_milliseconds at);
    command_result applyCommand(const decide_rollout_command& next, unix_milliseconds at);
    // Erases claims and verdicts that have expired.
    void expire(unix_milliseconds at);
    void removeExpiredDepartures(unix_milliseconds at);
    void storeResult(const change_command& next, const change_result& result);

    using request_key = std::pair<std::string, std::string>; // operator, request id

    configuration m_configuration;
    std::deque<delta> m_deltas;
    std::map<request_key, change_result> m_results;
    std::deque<request_key> m_resultOrder; // oldest first, for eviction
    std::map<claim_key, claim_state> m_claims;
    std::multimap<unix_milliseconds, claim_key> m_claimExpiry;
    std::map<std::pair<std::string, std::string>, usage_row> m_usage;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_usageSources;
    std::map<std::uint64_t, verdict> m_verdicts;
    std::deque<audit_record> m_audit;
    std::map<std::string, lease_state> m_leases;
    std::uint64_t m_lastFence = 0;
    deployment_state m_deployment;
    std::map<std::string, std::uint64_t> m_inServiceOrders;
    std::uint64_t m_logIndex = 0; // of the command that is being applied
};

} // namespace plumfold::core
