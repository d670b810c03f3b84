#pragma once

#include "plumfold_deployment_feed.hpp"
#include "plumfold_leader_client.hpp"

#include "plumfold/core/plumfold_weight_rollout.hpp"
#include "plumfold/platform/plumfold_platform_target_calls.hpp"

#include <atomic>
#include <thread>

namespace plumfold::control {

/// Thread that rolls out the current weight versions to targets. It sends orders only on the leader, under a
/// lease that it acquires when a target is stale and lets expire afterwards.
class weight_rollout_thread {
public:
    weight_rollout_thread(wire::rpc_thread& rpc, const runtime::settings& settings, deployment_feed& feed,
        leader_client& leader);
    ~weight_rollout_thread();

private:
    /// Progress of the rollouts to the ready targets.
    struct rollout_state {
        std::vector<core::outdated_target> outdatedTargets;
        std::map<std::string, std::size_t> loadLimits; ///< Targets that may load at the same time, by model.
    };
    using target_report = absl::StatusOr<platform::target_state_report>;
    /// The outcome of an attempt to order a target.
    struct order_attempt {
        bool mayLoad = false; ///< It may execute an order, or has the version already.
        bool isFenced = false;
    };

    void run();
    void step();
    /// @return the state of the rollouts; empty unless this control VM leads and has a quorum.
    rollout_state readRollouts();
    /// Acquires the lease, or renews it when a third of its time has passed.
    /// @return whether orders may be sent.
    bool acquireLease();
    /// Checks the progress of the loads that are due.
    void checkLoads(const std::vector<core::outdated_target>& targets);
    void onReport(const core::outdated_target& target, const target_report& report);
    /// Orders the targets that are due to load their current versions.
    void sendOrders(const rollout_state& rollouts);
    /// Orders a target to load its current version, unless it is busy or has loaded it already. May be called
    /// on several threads at once.
    order_attempt sendOrder(const core::outdated_target& target) const;

    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    deployment_feed& m_feed;
    leader_client& m_leader;
    platform::target_client m_client;
    core::weight_rollout m_rollout;
    std::uint64_t m_fencingToken = 0;
    core::instant m_leaseRequestedAt {};
    bool m_hasLease = false;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace plumfold::control
