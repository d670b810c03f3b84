#pragma once

#include "plumfold_deployment_feed.hpp"

#include "plumfold/core/plumfold_raft_types.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <map>
#include <string>

namespace plumfold::control {

/// Connections to the other control VMs. Lives on the RPC duty. Messages to a VM that cannot be reached or
/// does not keep up are dropped; the replicated log sends again.
class peer_links {
public:
    peer_links(wire::rpc_thread& rpc, const runtime::settings& settings);

    /// Sends a message to its receiver, or to all peers when it names none.
    void send(const core::raft_message& message);

    /// Adds the members of the group that are not known yet.
    void addMembers(const core::raft_membership& members);

    /// Tells every peer what this control VM heard of targets and was not told to that peer yet.
    void share(const deployment_feed& feed);

private:
    struct link {
        std::string address;
        kj::Own<wire::rpc_connection> connection;
        kj::Maybe<wire::ControlPeer::Client> peer;
        bool connecting = false;
        unsigned inFlight = 0;
        std::uint64_t generation = 0; // of the connection; late failures of an earlier one are ignored
        bool shareInFlight = false;
        std::uint64_t sharedChange = 0; // latest change that the peer was told
        core::instant sharedAllAt {};
        core::instant sharedPartsAt {};
        std::map<std::string, core::part_cursor> sharedParts; // what the peer was told of holders
    };

    void shareWith(link& to, const deployment_feed& feed);
    void sendTo(link& to, const core::raft_message& message);
    void connect(link& to);
    void disconnect(link& to, std::uint64_t generation);

    wire::rpc_thread& m_rpc;
    std::string m_ownAddress;
    std::string m_failureDomain;
    std::string m_secret;
    std::map<std::string, link> m_links;
    wire::task_group m_tasks;
};

} // namespace plumfold::control
