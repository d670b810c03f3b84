#pragma once

#include "plumfold_deployment_feed.hpp"
#include "plumfold_leader_client.hpp"

#include "plumfold/platform/plumfold_platform_target_calls.hpp"

#include <atomic>
#include <thread>

namespace plumfold::control {

/// The duty that brings targets to the named weight versions. Only the leader's duty gives orders, under a
/// lease that it takes when there is something to order and lets run out afterwards.
class weights_duty {
public:
    weights_duty(wire::rpc_thread& rpc, const runtime::settings& settings, deployment_feed& feed,
        leader_client& leader);
    ~weights_duty();

private:
    /// A target that has other weights than those that are named.
    struct outdated_target {
        std::string name;
        std::string address;
        std::string model;
        std::uint64_t named = 0;
        auto operator<=>(const outdated_target&) const = default;
    };
    struct load_in_progress {
        std::string model;
        std::uint64_t version = 0;
        core::instant orderedAt {};
        core::instant nextLook {};
    };

    void run();
    void step();
    std::vector<outdated_target> outdatedTargets();
    bool holdLease();
    void look(const outdated_target& target, load_in_progress& load);
    void order(const outdated_target& target);

    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    deployment_feed& m_feed;
    leader_client& m_leader;
    platform::target_client m_client;
    std::map<std::string, load_in_progress> m_loads; // by target
    std::map<std::string, core::instant> m_notBefore; // by target: when it may be asked again
    std::uint64_t m_fence = 0;
    core::instant m_leaseAskedAt {};
    bool m_hasLease = false;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace plumfold::control
