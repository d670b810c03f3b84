#pragma once

#include "plumfold_api_response.hpp"
#include "plumfold_deployment_feed.hpp"
#include "plumfold_leader_client.hpp"
#include "plumfold_software_versions.hpp"

#include "plumfold/platform/plumfold_platform_control_calls.hpp"

#include <optional>

namespace plumfold::control {

/// Executes one call about rollouts on a thread of the listener.
class rollout_api {
public:
    /// @param feed, leader, versions used only on the RPC thread.
    /// @param deadline when the caller gives up; in the time of runtime::nowWithSuspension().
    rollout_api(wire::rpc_thread& rpc, deployment_feed& feed, leader_client& leader,
        const software_versions& versions, core::instant deadline)
        : m_rpc(rpc)
        , m_feed(feed)
        , m_leader(leader)
        , m_versions(versions)
        , m_deadline(deadline)
    {
    }

    /// Orders a rollout.
    /// @return 200 once the order is in the replicated log; 400 for a service that the deployment lacks; 409
    /// while a rollout to another version runs; 503 without a deployment or quorum, or behind a later order.
    /// Refusals are logged.
    api_response begin(const platform::begin_rollout_call& call);

    /// Reads the latest rollout of a service.
    /// @return 200, 404 if the service never had one, or 503 if no quorum confirms in time.
    api_response read(const platform::read_rollout_call& call);

private:
    /// Waits until this control VM has applied all that was committed before.
    kj::Promise<void> confirm();
    /// @return why an order is refused before it is proposed, or nothing.
    kj::Promise<std::optional<api_response>> checkBeforeProposal(const platform::begin_rollout_call& call);
    /// The same, as far as this control VM knows.
    std::optional<api_response> check(const platform::begin_rollout_call& call) const;
    bool isServiceKnown(const platform::begin_rollout_call& call) const;
    core::begin_rollout_command makeCommand(const platform::begin_rollout_call& call) const;
    kj::Promise<api_response> order(const platform::begin_rollout_call& call);

    wire::rpc_thread& m_rpc;
    deployment_feed& m_feed;
    leader_client& m_leader;
    const software_versions& m_versions;
    core::instant m_deadline;
};

} // namespace plumfold::control
