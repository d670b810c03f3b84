#pragma once

#include "plumfold_asio.hpp"
#include "plumfold_control_sessions.hpp"

#include "plumfold/core/plumfold_grant.hpp"
#include "plumfold/core/plumfold_target_demands.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace plumfold::forwarding {

/// Asks the control VMs that grant starts on targets that limit their requests per second. Its public methods
/// are called on the event loop thread; the calls are made on the RPC thread.
class rate_limit_client {
public:
    rate_limit_client(asio::io_context& io, wire::rpc_thread& rpc, control_sessions& sessions);
    ~rate_limit_client() { stop(); }

    /// Ends all calls. The sessions are not used afterwards.
    void stop();

    /// Sets the control VMs to ask.
    /// @param issuers their addresses (ip:port of the RPC interface) by failure domain of the target.
    void setIssuers(std::map<std::string, std::string> issuers) { m_issuers = std::move(issuers); }

    /// Asks for the start of one request.
    /// @param failureDomain of the target.
    /// @return the decision; nothing if there is none in time.
    task<std::optional<core::grant_decision>> start(std::string failureDomain, core::target_demand demand);

private:
    struct pending_start {
        explicit pending_start(asio::io_context& io)
            : answered(io)
        {
        }
        asio::steady_timer answered; // cancelled by the answer
        std::optional<core::grant_decision> decision;
    };

    void send(std::shared_ptr<pending_start> pending, std::string address, std::string failureDomain,
        core::target_demand demand);
    void answer(const std::shared_ptr<pending_start>& pending, std::optional<core::grant_decision> decision);

    asio::io_context& m_io;
    wire::rpc_thread& m_rpc;
    control_sessions& m_sessions; // used on the RPC thread only
    std::map<std::string, std::string> m_issuers;
    kj::Own<wire::task_group> m_tasks; // used on the RPC thread only
};

} // namespace plumfold::forwarding
