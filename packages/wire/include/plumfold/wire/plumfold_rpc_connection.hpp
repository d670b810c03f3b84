#pragma once

#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include <capnp/rpc-twoparty.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace plumfold::wire {

/// What a connection has received so far.
struct received_bytes {
    std::uint64_t count = 0;
    kj::TimePoint latestAt = kj::origin<kj::TimePoint>(); ///< When the latest of them arrived.
};

/// A Cap'n Proto RPC connection to another process. All messages together that a process receives and handles
/// take limited memory (core::message_budget_options); the connection is closed when it announces a message
/// that is too large, or for which there is no room in time. Use and destroy it on the event loop of its
/// rpc_thread.
class rpc_connection {
public:
    /// @param address ip:port
    /// @param timeout for resolving the address and connecting.
    /// @return the connection; rejected when it is not established within the timeout.
    static kj::Promise<kj::Own<rpc_connection>> connect(
        rpc_thread& thread, const std::string& address, std::chrono::milliseconds timeout);

    rpc_connection(rpc_thread& thread, kj::Own<kj::AsyncIoStream> stream);

    /// @return the interface that the other process serves.
    template <class Interface> typename Interface::Client bootstrap()
    {
        return bootstrapCapability().castAs<Interface>();
    }

    /// @return what the connection has received; valid beyond the life of the connection.
    std::shared_ptr<const received_bytes> received() const { return m_received; }

private:
    capnp::Capability::Client bootstrapCapability();

    std::shared_ptr<received_bytes> m_received;
    kj::Own<capnp::MessageStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_system;
};

/// Rejects a promise that is not fulfilled within the timeout; Cap'n Proto calls have no timeout of their
/// own.
template <class T>
kj::Promise<T> withTimeout(rpc_thread& thread, kj::Promise<T> promise, std::chrono::milliseconds timeout)
{
    return thread.timer().timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(promise));
}

/// @return a promise that is rejected once nothing has been received for a time, counted from now on.
kj::Promise<void> rejectOnSilence(
    rpc_thread& thread, std::shared_ptr<const received_bytes> received, std::chrono::milliseconds timeout);

/// Rejects the promise of a call once the connection has received nothing for the timeout. Unlike
/// withTimeout(), it does not limit the size of what is transferred.
template <class T>
kj::Promise<T> withSilenceTimeout(rpc_thread& thread, const rpc_connection& connection,
    kj::Promise<T> promise, std::chrono::milliseconds timeout)
{
    auto silence = rejectOnSilence(thread, connection.received(), timeout).then([]() -> kj::Promise<T> {
        return kj::NEVER_DONE; // not reached
    });
    return promise.exclusiveJoin(kj::mv(silence));
}

/// Background promises of one owner, cancelled when it is destroyed. Use it on the event loop of an
/// rpc_thread.
class task_group : private kj::TaskSet::ErrorHandler {
public:
    task_group()
        : m_tasks(*this)
    {
    }

    /// Runs a promise in the background and ignores its failure.
    void add(kj::Promise<void> promise) { m_tasks.add(kj::mv(promise)); }

private:
    void taskFailed(kj::Exception&&) override { }

    kj::TaskSet m_tasks;
};

/// Serves an interface on an address until destroyed, within the limits that rpc_connection has. Use and
/// destroy it on the event loop of an rpc_thread.
class rpc_listener {
public:
    /// @param address ip:port to listen on.
    /// @param bootstrap the interface that each connection gets.
    /// @throws kj::Exception when the IP address is malformed or the address cannot be bound.
    /// @throws std::logic_error when the port is not a number.
    rpc_listener(rpc_thread& thread, const std::string& address, capnp::Capability::Client bootstrap);

private:
    struct accepted_connection;

    kj::Promise<void> acceptLoop();
    void serve(kj::Own<kj::AsyncIoStream> stream);

    rpc_thread& m_thread;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    capnp::Capability::Client m_bootstrap;
    task_group m_connections;
    kj::Promise<void> m_accepting;
};

} // namespace plumfold::wire
