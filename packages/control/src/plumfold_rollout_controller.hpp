#pragma once

#include "plumfold_deployment_feed.hpp"
#include "plumfold_leader_client.hpp"

#include "plumfold/core/plumfold_event_history.hpp"
#include "plumfold/core/rollout/plumfold_rollout_planner.hpp"
#include "plumfold/core/rollout/plumfold_rollout_tracker.hpp"
#include "plumfold/runtime/plumfold_metrics.hpp"

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace plumfold::control {

/// Decides on the running rollouts of software versions. All control VMs collect evidence; the leader
/// proposes decisions while it is caught up. Inactive unless `/control/rolloutExposureShare` is above 0. Used
/// only on the RPC thread.
class rollout_controller {
public:
    /// Submits a command; see leader_client::submit().
    using proposer = std::function<kj::Promise<propose_response>(core::command)>;

    rollout_controller(const runtime::settings& settings, deployment_feed& feed, proposer propose);

    /// Applies reports.
    /// @param isDirect whether an entry sent them to this control VM; otherwise another one shared them.
    void addReports(const std::vector<core::rollout_report>& reports, bool isDirect);

    /// Applies the ages of orders from the events that another control VM shared. Events of other subjects
    /// are ignored.
    void addAges(const std::vector<core::event_age>& events);

    /// Follows the records and decides. Call it periodically.
    void tick();

    /// @return the ages of the orders of running rollouts, with subjects that are no models.
    std::vector<core::event_age> ages() const;
    /// @return whether a subject of ages() is that of a rollout.
    static bool isSubject(const std::string& subject);

    /// @return the newest reports that entries sent to this control VM since a change; 0: all.
    std::vector<core::rollout_report> reportsAfter(std::uint64_t change) const;
    /// @return the number of the latest such report.
    std::uint64_t latestChange() const { return m_latestChange; }

    const runtime::metrics& metrics() const { return m_metrics; }

private:
    /// A running rollout.
    struct running {
        running(const core::rollout_record& record, core::instant now)
            : id(record.id)
            , tracker(record, now)
            , checkpointAt(now)
        {
        }

        std::uint64_t id;
        core::rollout_tracker tracker;
        core::instant checkpointAt; ///< Of the latest decision or checkpoint.
        bool isProposing = false;
        std::uint64_t decidedSequence = 0; ///< That the record has when it includes the latest decision.
        core::rollout_totals counted; ///< In the metrics.
    };
    struct direct_report {
        core::rollout_report report;
        std::uint64_t change = 0;
    };
    /// Service, rollout, entry and incarnation.
    using report_key = std::tuple<std::string, std::uint64_t, std::string, std::uint64_t>;

    void follow(const std::map<std::string, core::rollout_record>& records);
    void decide(const std::string& service, const core::rollout_record& record, running& rollout);
    void propose(const std::string& service, running& rollout, core::decide_rollout_command command,
        const core::rollout_situation& situation);
    void updateMetrics(const std::string& service, const core::rollout_record& record);
    void count(const std::string& service, running& rollout, const core::rollout_totals& totals);
    core::milliseconds elapsedOf(const std::string& service) const;

    const runtime::settings& m_settings;
    deployment_feed& m_feed;
    proposer m_propose;
    core::rollout_planner m_planner;
    core::event_history m_orders; // in times of runtime::nowWithSuspension()
    std::map<std::string, running> m_running; // by service
    std::map<report_key, direct_report> m_direct;
    std::uint64_t m_latestChange = 0;
    core::instant m_startedAt;
    runtime::metrics m_metrics;
    wire::task_group m_tasks;
};

} // namespace plumfold::control
