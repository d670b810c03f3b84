#pragma once

#include "plumfold/core/plumfold_target_selector.hpp"
#include "plumfold/core/plumfold_time.hpp"
#include "plumfold/core/rollout/plumfold_rollout_record.hpp"
#include "plumfold/core/rollout/plumfold_rollout_recorder.hpp"
#include "plumfold/core/rollout/plumfold_rollout_report.hpp"
#include "plumfold/runtime/plumfold_metrics.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace plumfold::forwarding {

/// Applies rollouts of software versions at an entry, and reports on them to control VMs. Does nothing unless
/// rollouts are enabled. Used on the event loop thread only.
class entry_rollouts {
public:
    /// Sends reports to a control VM.
    using reporter = std::function<void(std::vector<core::rollout_report>)>;

    entry_rollouts(const runtime::settings& settings, runtime::metrics& metrics,
        core::target_selector& selector, const reporter& report);
    entry_rollouts(const entry_rollouts&) = delete;
    entry_rollouts& operator=(const entry_rollouts&) = delete;

    /// Applies the latest rollouts by service.
    void apply(const std::map<std::string, core::rollout_record>& rollouts);
    /// Applies that a control VM in touch with the quorum has confirmed the rollouts.
    /// @param askedAt when it was asked, with suspensions.
    void onConfirmed(core::instant askedAt);
    /// Logs the versions whose hold began or ended, and the barred ones that joined. Call it after each
    /// update of the targets.
    void logVersions();
    /// Sends reports if they are due. Call it more often than every 500 ms.
    void reportIfDue();

    /// @return whether a control VM has confirmed the rollouts recently, in a time that includes suspensions
    /// of this process.
    bool isPlanFresh() const;

    /// Records that a request is sent to a target, see core::rollout_recorder::onSent().
    void onSent(
        const std::string& service, const std::string& version, const core::rollout_assignment& assignment);
    core::rollout_recorder& recorder() { return m_recorder; }

private:
    bool m_isEnabled;
    runtime::metrics& m_metrics;
    core::target_selector& m_selector;
    const reporter& m_report;
    core::rollout_recorder m_recorder;
    std::map<std::string, core::rollout_record> m_rollouts; // by service
    core::instant m_confirmedAt {}; // with suspensions
    core::instant m_reportedAt {};
    double m_reportBytes = 0; // that may be sent now; below 0 after a large report
    core::instant m_reportBytesAt {}; // when m_reportBytes was updated
    bool m_mustReport = false; // at the next call
};

/// A request that a target runs: recorded from its creation to its destruction.
class rollout_send {
public:
    /// @param version software version of the target.
    rollout_send(entry_rollouts& rollouts, std::string service, std::string version,
        const core::rollout_assignment& assignment)
        : m_rollouts(rollouts)
        , m_service(std::move(service))
        , m_version(std::move(version))
    {
        m_rollouts.onSent(m_service, m_version, assignment);
    }
    ~rollout_send() { m_rollouts.recorder().onEnded(m_service, m_version); }
    rollout_send(const rollout_send&) = delete;
    rollout_send& operator=(const rollout_send&) = delete;

private:
    entry_rollouts& m_rollouts;
    std::string m_service;
    std::string m_version;
};

/// @return the name of a cohort in logs and metrics.
const char* nameOf(core::rollout_cohort cohort);

} // namespace plumfold::forwarding
