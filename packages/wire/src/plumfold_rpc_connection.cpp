#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold_limited_message_stream.hpp"

#include <kj/debug.h>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace plumfold::wire {

rpc_connection::rpc_connection(rpc_thread& thread, kj::Own<kj::AsyncIoStream> stream)
    : m_received(std::make_shared<received_bytes>())
    , m_stream(kj::heap<limited_message_stream>(thread, m_received, kj::mv(stream)))
    , m_network(*m_stream, capnp::rpc::twoparty::Side::CLIENT)
    , m_system(capnp::makeRpcClient(m_network))
{
}

capnp::Capability::Client rpc_connection::bootstrapCapability()
{
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    return m_system.bootstrap(server);
}

namespace {

kj::Promise<void> rejectOnSilenceSince(rpc_thread& thread, std::shared_ptr<const received_bytes> received,
    kj::Duration timeout, kj::TimePoint since)
{
    return thread.timer()
        .atTime(kj::max(received->latestAt, since) + timeout)
        .then([&thread, received, timeout, since]() -> kj::Promise<void> {
            if (kj::max(received->latestAt, since) + timeout <= thread.timer().now())
                return KJ_EXCEPTION(OVERLOADED, "nothing was received in time");
            return rejectOnSilenceSince(thread, received, timeout, since);
        });
}

} // namespace

kj::Promise<void> rejectOnSilence(
    rpc_thread& thread, std::shared_ptr<const received_bytes> received, std::chrono::milliseconds timeout)
{
    return rejectOnSilenceSince(
        thread, std::move(received), timeout.count() * kj::MILLISECONDS, thread.timer().now());
}

kj::Promise<kj::Own<rpc_connection>> rpc_connection::connect(
    rpc_thread& thread, const std::string& address, std::chrono::milliseconds timeout)
{
    auto connecting = thread.network()
                          .parseAddress(address)
                          .then([](kj::Own<kj::NetworkAddress> parsed) {
                              auto* raw = parsed.get();
                              return raw->connect().attach(kj::mv(parsed));
                          })
                          .then([&thread](kj::Own<kj::AsyncIoStream> stream) {
                              return kj::heap<rpc_connection>(thread, kj::mv(stream));
                          });
    return withTimeout(thread, kj::mv(connecting), timeout);
}

namespace {

constexpr auto acceptRetryDelay = 100 * kj::MILLISECONDS;

kj::Own<kj::ConnectionReceiver> listenOn(rpc_thread& thread, const std::string& address)
{
    auto colon = address.rfind(':');
    sockaddr_in where {};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    KJ_REQUIRE(inet_pton(AF_INET, address.substr(0, colon).c_str(), &where.sin_addr) == 1,
        "the address must be an IP number and a port", address);
    return thread.network().getSockaddr(&where, sizeof(where))->listen();
}

} // namespace

/// A connection that another process has opened.
struct rpc_listener::accepted_connection {
    accepted_connection(
        rpc_thread& thread, kj::Own<kj::AsyncIoStream> socket, capnp::Capability::Client bootstrap)
        : stream(thread, std::make_shared<received_bytes>(), kj::mv(socket))
        , network(stream, capnp::rpc::twoparty::Side::SERVER)
        , system(capnp::makeRpcServer(network, kj::mv(bootstrap)))
    {
    }

    limited_message_stream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

rpc_listener::rpc_listener(
    rpc_thread& thread, const std::string& address, capnp::Capability::Client bootstrap)
    : m_thread(thread)
    , m_receiver(listenOn(thread, address))
    , m_bootstrap(kj::mv(bootstrap))
    , m_accepting(acceptLoop().eagerlyEvaluate([](kj::Exception&&) {}))
{
}

kj::Promise<void> rpc_listener::acceptLoop()
{
    return m_receiver->accept().then(
        [this](kj::Own<kj::AsyncIoStream> stream) {
            serve(kj::mv(stream));
            return acceptLoop();
        },
        [this](kj::Exception&&) {
            // For example, no file descriptor is free for now.
            return m_thread.timer().afterDelay(acceptRetryDelay).then([this] { return acceptLoop(); });
        });
}

void rpc_listener::serve(kj::Own<kj::AsyncIoStream> stream)
{
    auto connection = kj::heap<accepted_connection>(m_thread, kj::mv(stream), m_bootstrap);
    auto ended = connection->network.onDisconnect();
    m_connections.add(ended.attach(kj::mv(connection)));
}

} // namespace plumfold::wire
