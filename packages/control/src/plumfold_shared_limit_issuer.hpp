#pragma once

#include "plumfold_deployment_feed.hpp"
#include "plumfold_leader_client.hpp"

#include "plumfold/core/plumfold_cold_start_limiter.hpp"
#include "plumfold/core/plumfold_lease_usage.hpp"
#include "plumfold/core/plumfold_retry_reserve.hpp"
#include "plumfold/core/plumfold_target_rate_limiter.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::control {

/// Grants what the limits that all entries share allow, for the failure domains whose lease this control VM
/// holds. Used only on the RPC thread.
class shared_limit_issuer {
public:
    shared_limit_issuer(const runtime::settings& settings, deployment_feed& feed, leader_client& leader);

    /// @return the failure domains of the system.
    std::vector<std::string> failureDomains() const;

    /// @return whether this control VM holds the lease of the failure domain and may act on it.
    bool holdsLease(const std::string& failureDomain) const;

    /// Renews the leases that this control VM has to hold. Call it periodically.
    void tick();

    /// Decides on the start of one request.
    /// @param failureDomain of the entry.
    /// @return the decision; refused if this control VM does not grant starts for the failure domain.
    core::grant_decision tryStart(
        const std::string& failureDomain, const std::string& service, const std::string& target);

    /// Decides on the start of one request on a target that limits its requests per second.
    /// @param failureDomain of the target.
    /// @param demand what the entry knows of the target; a lower limit that is known here applies.
    /// @return the decision; nothing if this control VM does not grant starts for the failure domain.
    std::optional<core::grant_decision> tryLimitedStart(
        const std::string& failureDomain, const core::target_demand& demand);

    /// Decides on one retry from the reserve.
    /// @param failureDomain of the entry.
    /// @return whether it may be sent; false if this control VM does not grant retries for the failure
    /// domain.
    bool tryRetry(const std::string& failureDomain, const std::string& service);

private:
    struct domain_grants {
        core::lease_usage lease;
        core::cold_start_limiter coldStarts;
        core::retry_reserve retries;
        core::target_rate_limiter limitedStarts;
        core::instant nextRenewalAt {};
        bool isRenewing = false;
    };

    void renew(const std::string& failureDomain, domain_grants& grants);
    void onLeaseResult(const std::string& failureDomain, domain_grants& grants, core::instant requestedAt,
        const core::lease_result& result);

    const runtime::settings& m_settings;
    deployment_feed& m_feed;
    leader_client& m_leader;
    core::instant m_startedAt;
    std::map<std::string, domain_grants> m_domains; // all of the system
    wire::task_group m_tasks;
};

} // namespace plumfold::control
