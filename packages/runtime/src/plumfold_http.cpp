#include "plumfold/runtime/plumfold_http.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

#include <boost/beast/core/flat_buffer.hpp>

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

constexpr std::size_t responseReadBytes = 16 << 10;
/// Limit of the received bytes that are not parsed yet.
constexpr std::size_t maxUnparsedBytes = 64 << 10;

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

boost::system::error_code readResponse(Poco::Net::StreamSocket& socket, response_parser& parser,
    core::milliseconds maxPause, core::instant deadline)
{
    namespace http = boost::beast::http;
    boost::system::error_code error;
    boost::beast::flat_buffer buffer;
    parser.eager(true);
    while (!parser.is_done() && !error) {
        auto timeLeft = std::chrono::ceil<core::milliseconds>(deadline - now());
        if (timeLeft.count() <= 0)
            throw Poco::TimeoutException("the response did not end in time");
        auto wait = std::min(timeLeft, maxPause);
        socket.setReceiveTimeout(Poco::Timespan(wait.count() * microsecondsPerMillisecond));
        auto space = buffer.prepare(responseReadBytes);
        int received = socket.receiveBytes(space.data(), static_cast<int>(space.size()));
        if (received <= 0) {
            if (parser.got_some())
                parser.put_eof(error);
            else
                error = http::error::end_of_stream;
            break;
        }
        buffer.commit(static_cast<std::size_t>(received));
        buffer.consume(parser.put(buffer.data(), error));
        if (error == http::error::need_more)
            error = {};
        if (!error && buffer.size() > maxUnparsedBytes)
            error = http::error::buffer_overflow;
    }
    if (!error && buffer.size() > 0)
        error = http::error::unexpected_body;
    return error;
}

} // namespace plumfold::runtime
