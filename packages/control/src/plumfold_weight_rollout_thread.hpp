#pragma once

#include "plumfold_deployment_feed.hpp"
#include "plumfold_leader_client.hpp"

#include "plumfold/platform/plumfold_platform_target_calls.hpp"

#include <atomic>
#include <thread>

namespace plumfold::control {

/// The duty that brings targets to the named weight versions. Only the leader's duty gives orders, under a
/// lease that it takes when there is something to order and lets run out afterwards.
class weight_rollout_thread {
public:
    weight_rollout_thread(wire::rpc_thread& rpc, const runtime::settings& settings, deployment_feed& feed,
        leader_client& leader);
    ~weight_rollout_thread();

private:
    /// A target that has other weights than those that are named.
    struct stale_target {
        std::string name;
        std::string address;
        std::string model;
        std::uint64_t currentVersion = 0;
        auto operator<=>(const stale_target&) const = default;
    };
    struct load_in_progress {
        std::string model;
        std::uint64_t version = 0;
        core::instant orderedAt {};
        core::instant nextCheck {};
    };

    void run();
    void step();
    std::vector<stale_target> findStaleTargets();
    bool acquireLease();
    void checkLoad(const stale_target& target, load_in_progress& load);
    void sendOrder(const stale_target& target);

    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    deployment_feed& m_feed;
    leader_client& m_leader;
    platform::target_client m_client;
    std::map<std::string, load_in_progress> m_loads; // by target
    std::map<std::string, core::instant> m_nextAttemptAt; // by target: when it may be asked again
    std::uint64_t m_fencingToken = 0;
    core::instant m_leaseRequestedAt {};
    bool m_hasLease = false;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace plumfold::control
