#pragma once

#include <utility> // Boost 1.74's awaitable.hpp uses std::exchange without including it

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <string>

namespace plumfold::forwarding {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

template <class T> using task = asio::awaitable<T>;
using error_code = boost::system::error_code;

/// Completion token for co_await that stores the error in a variable and does not throw.
inline auto into(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// Disables Nagle's algorithm and lets the kernel close the connection when the peer does not respond: sent
/// data stays unacknowledged, or TCP keep-alive probes fail.
/// @param userTimeout how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
void configureTcpSocket(asio::ip::tcp::socket& socket, std::chrono::milliseconds userTimeout);

/// Parses ip:port.
/// @return the endpoint; one with port 0 when the address is invalid.
asio::ip::tcp::endpoint endpointOf(const std::string& address);

} // namespace plumfold::forwarding
