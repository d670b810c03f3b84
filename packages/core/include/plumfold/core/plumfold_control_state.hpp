#pragma once

#include "plumfold/core/plumfold_commands.hpp"
#include "plumfold/core/plumfold_configuration.hpp"

#include <deque>
#include <map>

namespace plumfold::core {

/// One claim on a request that runs at most once.
struct claim_state {
    claim_key key;
    std::uint64_t fingerprint = 0;
    std::string holder;
    claim_answer state = claim_answer::in_progress; ///< in_progress, completed or unknown.
    unix_milliseconds runUntil = 0;
    unix_milliseconds keepUntil = 0;
    stored_answer answer;
    bool operator==(const claim_state&) const = default;
};

struct remembered_result {
    std::string operatorName;
    std::string requestId;
    change_result result;
};

struct audit_record {
    unix_milliseconds at = 0;
    std::string operatorName;
    std::string requestId;
    delta what;
};

struct usage_source {
    std::string source;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

/// A request that crashes targets, and until when it is refused.
struct verdict {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
    unix_milliseconds until = 0;
    auto operator<=>(const verdict&) const = default;
};

struct lease_state {
    std::string name;
    std::string holder;
    unix_milliseconds until = 0;
    std::uint64_t fence = 0;
    auto operator<=>(const lease_state&) const = default;
};

/// Everything that a snapshot holds.
struct control_snapshot {
    std::uint64_t revision = 0;
    std::vector<record> records;
    std::vector<delta> deltas;
    std::vector<remembered_result> results;
    std::vector<claim_state> claims;
    std::vector<usage_row> usage;
    std::vector<usage_source> usageSources;
    std::vector<verdict> verdicts;
    std::vector<audit_record> audit;
    std::vector<lease_state> leases;
    std::uint64_t lastFence = 0;
    deployment_state deployment;
};

/// The state machine behind the replicated log. The same commands in the same order give the same state
/// everywhere; the only time is that of the commands.
class control_state {
public:
    control_state() = default;
    explicit control_state(control_snapshot snapshot);

    command_result apply(const command& next);
    control_snapshot snapshot() const;

    const configuration& config() const { return m_configuration; }
    const deployment_state& deployment() const { return m_deployment; }
    /// @return the deltas after a revision, or nothing when they are no longer kept.
    std::optional<std::vector<delta>> deltasAfter(std::uint64_t revision) const;
    const std::map<claim_key, claim_state>& claims() const { return m_claims; }
    std::vector<usage_row> usage() const;
    std::vector<verdict> verdicts() const;
    const std::deque<audit_record>& audit() const { return m_audit; }

private:
    command_result applyOne(const barrier_command&, unix_milliseconds at);
    command_result applyOne(const change_command& next, unix_milliseconds at);
    command_result applyOne(const claim_command& next, unix_milliseconds at);
    command_result applyOne(const finish_claim_command& next, unix_milliseconds at);
    command_result applyOne(const usage_command& next, unix_milliseconds at);
    command_result applyOne(const verdict_command& next, unix_milliseconds at);
    command_result applyOne(const lease_command& next, unix_milliseconds at);
    command_result applyOne(const adopt_document_command& next, unix_milliseconds at);
    command_result applyOne(const set_in_service_command& next, unix_milliseconds at);
    command_result applyOne(const set_current_weights_command& next, unix_milliseconds at);
    void expire(unix_milliseconds at);
    void remember(const change_command& next, const change_result& result);

    using request_key = std::pair<std::string, std::string>; // operator, request id

    configuration m_configuration;
    std::deque<delta> m_deltas;
    std::map<request_key, change_result> m_results;
    std::deque<request_key> m_resultOrder;
    std::map<claim_key, claim_state> m_claims;
    std::multimap<unix_milliseconds, claim_key> m_claimExpiry;
    std::map<std::pair<std::string, std::string>, usage_row> m_usage;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_usageSources;
    std::map<std::uint64_t, verdict> m_verdicts;
    std::deque<audit_record> m_audit;
    std::map<std::string, lease_state> m_leases;
    std::uint64_t m_lastFence = 0;
    deployment_state m_deployment;
};

} // namespace plumfold::core
