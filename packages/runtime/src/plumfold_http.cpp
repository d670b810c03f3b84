#include "plumfold/runtime/plumfold_http.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <algorithm>
#include <cstddef>
#include <istream>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace plumfold::runtime {

namespace {

constexpr int listenBacklog = 256;
constexpr int microsecondsPerMillisecond = 1000;
/// The server wakes only one idle thread when it stops. The others see the stop when this time is over.
constexpr int threadIdleMs = 100;

} // namespace

Poco::Net::SocketAddress socketAddress(const std::string& address)
{
    return Poco::Net::SocketAddress(address);
}

http_listener::http_listener(
    const std::string& address, Poco::Net::HTTPRequestHandlerFactory::Ptr factory, const http_limits& limits)
    : m_threads(std::make_unique<Poco::ThreadPool>(2, limits.maxConnections + 2))
{
    Poco::Net::ServerSocket socket;
    socket.bind(socketAddress(address), true);
    socket.listen(listenBacklog);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(limits.maxConnections);
    params->setMaxQueued(limits.maxConnections);
    params->setThreadIdleTime(Poco::Timespan(0, threadIdleMs * microsecondsPerMillisecond));
    params->setTimeout(Poco::Timespan(0, limits.headerTimeoutMs * microsecondsPerMillisecond));
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan(0, limits.keepAliveMs * microsecondsPerMillisecond));
    m_server = std::make_unique<Poco::Net::HTTPServer>(std::move(factory), *m_threads, socket, params);
    m_server->start();
}

http_listener::~http_listener()
{
    m_server->stopAll(true);
    m_threads->joinAll();
}

void http_listener::stopAccepting()
{
    m_server->stop();
}

int http_listener::connections() const
{
    return m_server->currentConnections();
}

void setIoTimeout(Poco::Net::StreamSocket& socket, core::milliseconds timeout)
{
    Poco::Timespan time(timeout.count() * microsecondsPerMillisecond);
    socket.setReceiveTimeout(time);
    socket.setSendTimeout(time);
}

core::milliseconds sinceLastData(const Poco::Net::StreamSocket& socket)
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    bool isKnown = ::getsockopt(socket.impl()->sockfd(), IPPROTO_TCP, TCP_INFO, &info, &length) == 0
        && length > offsetof(tcp_info, tcpi_last_data_recv);
    return core::milliseconds(isKnown ? info.tcpi_last_data_recv : 0);
}

std::unique_ptr<std::string> readBody(std::istream& in, std::size_t maxBytes)
{
    constexpr std::size_t chunkBytes = 16384;
    auto body = std::make_unique<std::string>();
    std::string chunk(chunkBytes, '\0');
    while (in.good()) {
        in.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
        body->append(chunk, 0, static_cast<std::size_t>(in.gcount()));
        if (body->size() > maxBytes)
            return nullptr;
    }
    return body;
}

} // namespace plumfold::runtime
