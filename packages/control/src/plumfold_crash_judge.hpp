#pragma once

#include "plumfold_deployment_feed.hpp"
#include "plumfold_leader_client.hpp"

#include "plumfold/core/plumfold_crash_registry.hpp"
#include "plumfold/core/plumfold_crash_screen.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plumfold::control {

/// Collects the entries' reports about targets that ended and decides which requests crash targets. Its
/// verdicts are handed to the entries at once, and replicated so that they outlast this process and reach the
/// other control VMs. Used only on the RPC thread.
class crash_judge {
public:
    crash_judge(deployment_feed& feed, leader_client& leader);

    /// Adds the report of an entry about one target.
    void addReport(const std::string& entry, const core::crash_report& report);
    /// Adds the success of a suspect.
    void addSuccess(const std::string& entry, const core::suspect_success& success);
    /// Keeps the verdict on a request that still comes.
    void onRejected(std::uint64_t fingerprint);

    /// Evaluates the reports and replicates verdicts. Call it periodically.
    void tick();

private:
    struct own_verdict {
        std::uint32_t crashes = 0;
        core::unix_milliseconds until = 0;
        core::instant submittedAt {};
    };

    void followLog();
    void evaluate();
    void submit(std::uint64_t fingerprint, std::uint32_t crashes);
    void publish();

    deployment_feed& m_feed;
    leader_client& m_leader;
    core::crash_registry m_registry;
    std::map<std::uint64_t, core::verdict> m_logged; // as last seen in the log
    std::map<std::uint64_t, own_verdict> m_own; // reached here, not seen in the log yet
    std::map<std::uint64_t, core::instant> m_extendedAt; // when a verdict was last submitted to keep it
    core::instant m_lastReportAt {};
    wire::task_group m_tasks;
};

} // namespace plumfold::control
