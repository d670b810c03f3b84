#pragma once

#include "plumfold_deployment_feed.hpp"

namespace plumfold::control {

/// Brings commands to the leader, wherever it is, from any control VM. Lives on the RPC duty.
class leader_client {
public:
    leader_client(
        wire::rpc_thread& rpc, const runtime::settings& settings, control_node& node, deployment_feed& feed);

    /// Submits a command until it is accepted. A command may be applied more than once, so its kind must bear
    /// that.
    /// @return the answer, or a failure when none accepted it in time: it may have been applied all the same.
    kj::Promise<propose_response> submit(core::command command, kj::Duration timeout);

    /// Waits until this control VM holds everything that was in force when the call came.
    /// @return a promise that fails when no quorum confirmed that in time.
    kj::Promise<void> confirm(kj::Duration timeout);

private:
    kj::Promise<propose_response> submitUntil(core::command command, kj::TimePoint deadline);
    kj::Promise<propose_response> submitOnce(const core::command& command);
    kj::Promise<propose_response> submitTo(const std::string& address, const core::command& command);

    struct link {
        kj::Own<wire::rpc_connection> connection;
        kj::Maybe<wire::EntrySession::Client> session;
    };

    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    control_node& m_node;
    deployment_feed& m_feed;
    std::map<std::string, link> m_links;
    wire::task_group m_tasks;
};

} // namespace plumfold::control
