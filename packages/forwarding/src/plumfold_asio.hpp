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

/// Completion token: the coroutine continues with the result, the error goes to a variable.
inline auto into(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// Makes a connection that falls silent fail: unacknowledged data and idle peers are noticed by the kernel.
void configureTcpSocket(asio::ip::tcp::socket& socket, std::chrono::milliseconds bound);

/// Splits ip:port.
asio::ip::tcp::endpoint endpointOf(const std::string& address);

} // namespace plumfold::forwarding
