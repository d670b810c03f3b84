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
    /// @return what is known of crashes and successes; see crash_registry::evidenceAfter().
    core::crash_evidence evidenceAfter(std::uint64_t change) const;
    /// @return the number of the latest change of the evidence.
    std::uint64_t latestChange() const { return m_registry.latestChange(); }
    /// Adds evidence of another control VM.
    void addEvidence(const std::string& peer, const core::crash_evidence& evidence);
    /// Adds the success of a suspect.
    void addSuccess(const core::suspect_success& success);
    /// Keeps a verdict whose requests still come.
    void onRejected(std::uint64_t verdict);

    /// Takes over the verdicts of the log. Call it whenever the feed's view has changed, so that an entry
    /// that starts gets them with its first update.
    void followLog();

    /// Evaluates the reports and replicates verdicts. Call it periodically.
    void tick();

private:
    struct own_verdict {
        core::verdict verdict;
        core::instant submittedAt {};
    };

    void onCrash(const std::string& reporter, const core::crash_report& report);
    void evaluate();
    void submit(const core::verdict& verdict);
    void publish();

    deployment_feed& m_feed;
    leader_client& m_leader;
    core::crash_registry m_registry;
    std::map<std::uint64_t, core::verdict> m_logged; // by id, as last seen in the log
    std::map<std::uint64_t, own_verdict> m_own; // by id; reached here, not seen in the log yet
    core::instant m_lastReportAt {};
    core::instant m_nextEvaluationAt {};
    core::instant m_pauseUntil {}; // after an evaluation that took long
    std::vector<core::crash_suspect> m_suspects; // of the latest evaluation
    wire::task_group m_tasks;
};

} // namespace plumfold::control
