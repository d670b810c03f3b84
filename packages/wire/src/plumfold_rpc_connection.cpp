#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include <kj/debug.h>

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>

namespace plumfold::wire {

namespace {

/// Records what a stream receives.
class recording_stream final : public kj::AsyncIoStream {
public:
    recording_stream(
        rpc_thread& thread, std::shared_ptr<received_bytes> received, kj::Own<kj::AsyncIoStream> inner)
        : m_thread(thread)
        , m_received(std::move(received))
        , m_inner(kj::mv(inner))
    {
    }

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t minBytes, std::size_t maxBytes) override
    {
        // Each part of a long message is recorded when it arrives.
        return m_inner->tryRead(buffer, std::min<std::size_t>(minBytes, 1), maxBytes)
            .then([this, buffer, minBytes, maxBytes](std::size_t bytes) -> kj::Promise<std::size_t> {
                m_received->count += bytes;
                m_received->latestAt = m_thread.timer().now();
                if (bytes == 0 || bytes >= minBytes)
                    return bytes;
                auto* rest = static_cast<char*>(buffer) + bytes;
                return tryRead(rest, minBytes - bytes, maxBytes - bytes).then([bytes](std::size_t more) {
                    return bytes + more;
                });
            });
    }
    kj::Promise<void> write(const void* buffer, std::size_t size) override
    {
        return m_inner->write(buffer, size);
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        return m_inner->write(pieces);
    }
    kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
    void shutdownWrite() override { m_inner->shutdownWrite(); }
    void abortRead() override { m_inner->abortRead(); }

private:
    rpc_thread& m_thread;
    std::shared_ptr<received_bytes> m_received;
    kj::Own<kj::AsyncIoStream> m_inner;
};

} // namespace

rpc_connection::rpc_connection(rpc_thread& thread, kj::Own<kj::AsyncIoStream> stream)
    : m_received(std::make_shared<received_bytes>())
    , m_stream(kj::heap<recording_stream>(thread, m_received, kj::mv(stream)))
    , m_client(*m_stream)
{
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

rpc_listener::rpc_listener(
    rpc_thread& thread, const std::string& address, capnp::Capability::Client bootstrap)
    : m_receiver(listenOn(thread, address))
    , m_server(kj::mv(bootstrap))
    , m_listening(m_server.listen(*m_receiver).eagerlyEvaluate([](kj::Exception&&) {}))
{
}

} // namespace plumfold::wire
