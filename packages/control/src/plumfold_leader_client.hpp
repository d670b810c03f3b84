#pragma once

#include "plumfold_deployment_feed.hpp"

namespace plumfold::control {

/// Submits commands to the leader from any control VM. Accessed only on the RPC thread.
class leader_client {
public:
    leader_client(
        wire::rpc_thread& rpc, const runtime::settings& settings, control_node& node, deployment_feed& feed);

    /// Submits a command and retries until it is accepted or the timeout expires. It may be applied more than
    /// once, so it has to be idempotent.
    /// @return a promise for the accepting response; it fails if there is none within the timeout, although
    /// the command may have been applied.
    kj::Promise<propose_response> submit(core::command command, kj::Duration timeout);

    /// Does the same with a command that depends on what this control VM knows.
    /// @param makeCommand called for each attempt.
    /// @param deadline in the time of runtime::nowWithSuspension(); no attempt begins after it.
    kj::Promise<propose_response> submit(std::function<core::command()> makeCommand, core::instant deadline);

    /// Commits a barrier and waits until this control VM has applied it, and thereby every command that was
    /// committed before this call.
    /// @param timeout for the commit, and again for applying it.
    /// @return a promise that fails if no quorum commits the barrier, or it is not applied, in time.
    kj::Promise<void> confirm(kj::Duration timeout);

private:
    kj::Promise<propose_response> submitUntil(
        std::function<core::command()> makeCommand, core::instant deadline);
    kj::Promise<propose_response> submitOnce(const core::command& command);
    kj::Promise<propose_response> submitTo(const std::string& address, const core::command& command);

    void close(const std::string& address, std::uint64_t generation);

    struct link {
        kj::Own<wire::rpc_connection> connection;
        kj::Maybe<wire::EntrySession::Client> session;
        std::uint64_t generation = 0; // of the connection
    };

    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    control_node& m_node;
    deployment_feed& m_feed;
    std::map<std::string, link> m_links;
    wire::task_group m_tasks;
};

} // namespace plumfold::control
