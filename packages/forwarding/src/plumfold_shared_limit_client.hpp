#pragma once

#include "plumfold_asio.hpp"

#include "plumfold/core/plumfold_cold_start_limiter.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <functional>
#include <memory>
#include <string>

namespace plumfold::forwarding {

/// Asks the control VM that grants what the limits that all entries share allow. Its methods are called on
/// the event loop thread; the connection belongs to the RPC thread.
class shared_limit_client {
public:
    shared_limit_client(asio::io_context& io, wire::rpc_thread& rpc, const runtime::settings& settings);
    ~shared_limit_client();

    /// Sets the control VM to ask.
    /// @param address ip:port of its RPC interface.
    void setIssuer(const std::string& address);

    /// Asks for the start of one request on a cold target.
    /// @return the decision; refused if no answer comes in time.
    task<core::grant_decision> startCold(std::string service, std::string target);

    /// Asks for one retry beyond the share of this entry's own requests.
    /// @return whether it may be sent; false if no answer comes in time.
    task<bool> retry(std::string service);

private:
    using call = std::function<kj::Promise<core::grant_decision>(wire::EntrySession::Client&)>;
    struct pending_request {
        explicit pending_request(asio::io_context& io)
            : answered(io)
        {
        }
        asio::steady_timer answered; // cancelled by the answer
        core::grant_decision decision;
    };

    void connect();
    void disconnect();
    task<core::grant_decision> ask(call request);
    void send(std::shared_ptr<pending_request> pending, const call& request);
    void answer(const std::shared_ptr<pending_request>& pending, core::grant_decision decision);

    asio::io_context& m_io;
    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    std::string m_issuer; // as last set
    std::string m_address; // of the connection
    kj::Own<wire::rpc_connection> m_connection;
    kj::Maybe<wire::EntrySession::Client> m_session;
    std::uint64_t m_generation = 0; // of the connection
    kj::Own<wire::task_group> m_tasks;
};

} // namespace plumfold::forwarding
