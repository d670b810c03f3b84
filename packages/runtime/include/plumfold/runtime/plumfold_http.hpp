#pragma once

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/StreamSocket.h>

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace plumfold::runtime {

/// Connection limits and timeouts of an HTTP server.
struct http_limits {
    int maxConnections = 64;
    int headerTimeoutMs = 5'000; ///< For each read from the socket.
    int keepAliveMs = 30'000; ///< Idle time after which a connection is closed.
};

/// An HTTP server on one address with one thread per connection.
class http_listener {
public:
    /// @param address ip:port
    /// @throws Poco::Exception when the address cannot be bound.
    http_listener(const std::string& address, Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
        const http_limits& limits);
    ~http_listener();

    /// Stops accepting connections; open ones are still served.
    void stopAccepting();

    /// @return the number of open connections.
    int connections() const;

private:
    std::unique_ptr<Poco::ThreadPool> m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

/// Reads a body to its end.
/// @return the body, or nullptr when it is longer than maxBytes.
std::unique_ptr<std::string> readBody(std::istream& in, std::size_t maxBytes);

/// Sets the timeout of each read and write on a socket. Needed because a Poco session that is constructed
/// from a connected socket does not apply its own timeouts to it.
void setIoTimeout(Poco::Net::StreamSocket& socket, core::milliseconds timeout);

/// @return the time since a connected socket last received data, as its kernel knows it; 0 if the kernel
/// does not tell. It goes on while this process stands still.
core::milliseconds sinceLastData(const Poco::Net::StreamSocket& socket);

/// Parses ip:port.
/// @throws Poco::Exception when it is malformed.
Poco::Net::SocketAddress socketAddress(const std::string& address);

} // namespace plumfold::runtime
