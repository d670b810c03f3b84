#pragma once

#include "plumfold_crash_judge.hpp"
#include "plumfold_deployment_feed.hpp"
#include "plumfold_rollout_controller.hpp"

#include "plumfold/core/plumfold_part_sharing.hpp"
#include "plumfold/core/plumfold_raft_types.hpp"
#include "plumfold/runtime/plumfold_metrics.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <map>
#include <string>

namespace plumfold::control {

/// Connections to the other control VMs. Accessed only on the RPC thread. Messages to a VM that is
/// unreachable or does not keep up are dropped, which Raft tolerates: it retries.
class peer_links {
public:
    peer_links(wire::rpc_thread& rpc, const runtime::settings& settings);

    /// Sends a message to its receiver, or to all peers if it names none.
    void send(const core::raft_message& message);

    /// Replaces the members of the group. Only members are shared with, once any are known: the address of a
    /// former one may belong to another process.
    void setMembers(const core::raft_membership& members);

    /// Sends each peer the changes of targets and KV parts that it has not received yet, and the loads of
    /// targets. Covers only what this control VM has received directly, not from peers; but all of what it
    /// knows of crashes, since the others may have restarted. To be called regularly.
    void share(const deployment_feed& feed, const crash_judge& crashes, const rollout_controller& rollouts);

    /// @return the counter of KV parts' contents that were sent again.
    const runtime::metrics& metrics() const { return m_metrics; }

private:
    struct link {
        std::string address;
        kj::Own<wire::rpc_connection> connection;
        kj::Maybe<wire::ControlPeer::Client> peer;
        bool connecting = false;
        bool isMember = false;
        unsigned inFlight = 0;
        std::uint64_t generation = 0; // of the connection; late failures of a previous one are ignored
        bool shareInFlight = false;
        std::uint64_t sharedChange = 0; // latest change of the directory that the peer has received
        std::uint64_t sharedEvidence
            = 0; // latest change of the evidence of crashes that the peer has received
        std::uint64_t sharedDemand = 0; // change of target_demands that the peer has
        std::uint64_t sharedReport = 0; // change of the reports on rollouts that the peer has received
        core::instant sharedAllAt {};
        core::instant sharedNewsAt {}; // parts, loads and ages of events
        core::part_sharing parts;
    };

    void shareWith(link& to, const deployment_feed& feed, const crash_judge& crashes,
        const rollout_controller& rollouts);
    void logResent(const link& to, const std::vector<std::string>& holders);
    void sendTo(link& to, const core::raft_message& message);
    void connect(link& to);
    void disconnect(link& to, std::uint64_t generation);

    wire::rpc_thread& m_rpc;
    std::string m_ownAddress;
    std::string m_failureDomain;
    std::string m_secret;
    std::map<std::string, link> m_links;
    bool m_hasMembers = false;
    runtime::metrics m_metrics;
    wire::task_group m_tasks;
};

} // namespace plumfold::control
