#pragma once

#include "plumfold_deployment_feed.hpp"
#include "plumfold_leader_client.hpp"

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
    /// A target that has not loaded the current weight version of one of its models.
    struct stale_target {
        std::string name;
        std::string address;
        std::string model;
        std::uint64_t currentVersion = 0;
        auto operator<=>(const stale_target&) const = default;
    };
    /// Progress of the rollouts to the ready targets.
    struct rollout_state {
        std::vector<stale_target> staleTargets;
        std::map<std::string, std::size_t> targetCounts; ///< Ready targets by model.
    };
    /// A load that was ordered, or found in progress or complete before its order.
    struct load_in_progress {
        std::string model;
        std::uint64_t version = 0;
        core::instant orderedAt {};
        core::instant nextCheck {};
    };

    void run();
    void step();
    /// @param targets number of ready targets that have the model.
    /// @return whether one more of them may load weights now.
    bool mayLoad(const std::string& model, std::size_t targets) const;
    /// @return the state of the rollouts; empty unless this control VM leads and has a quorum.
    rollout_state readRollouts();
    /// Acquires the lease, or renews it when a third of its time has passed.
    /// @return whether orders may be sent.
    bool acquireLease();
    /// Checks the progress of a load and removes it when it is complete or lost.
    void checkLoad(const stale_target& target, load_in_progress& load);
    /// Orders a target to load its current version, unless it is busy or has loaded it already.
    void sendOrder(const stale_target& target);

    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    deployment_feed& m_feed;
    leader_client& m_leader;
    platform::target_client m_client;
    std::map<std::string, load_in_progress> m_loads; // by target
    std::map<std::string, core::instant> m_nextAttemptAt; // by target: earliest time of the next order
    std::uint64_t m_fencingToken = 0;
    core::instant m_leaseRequestedAt {};
    bool m_hasLease = false;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace plumfold::control
