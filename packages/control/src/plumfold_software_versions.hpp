#pragma once

#include "plumfold_deployment_feed.hpp"
#include "plumfold_leader_client.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace plumfold::control {

/// Remembers which software versions the targets of each service have had recently, also over a restart of
/// all control VMs: as long as targets of a version announce themselves, a lease in the replicated log is
/// renewed. Used only on the RPC thread.
class software_versions {
public:
    software_versions(deployment_feed& feed, leader_client& leader)
        : m_feed(feed)
        , m_leader(leader)
    {
    }

    /// Renews leases that are due. Call it periodically.
    void tick();

    /// @return the software versions of a service that this control VM knows of or the log holds.
    std::set<std::string> versionsOf(const std::string& service) const;

    /// @param next the software version that is rolled out.
    /// @return those and the versions of ready targets, without the next one.
    std::set<std::string> formerVersions(const std::string& service, const std::string& next) const;

private:
    using service_version = std::pair<std::string, std::string>;

    static std::string leaseName(const service_version& version);
    bool isDue(const service_version& version) const;
    void renew(const service_version& version);

    deployment_feed& m_feed;
    leader_client& m_leader;
    std::map<service_version, core::instant> m_renewedAt; // or tried to
    wire::task_group m_tasks;
};

} // namespace plumfold::control
