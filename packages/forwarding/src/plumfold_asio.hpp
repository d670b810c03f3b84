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

/// When the kernel probes an idle connection, and closes it because the peer's kernel does not respond.
struct keep_alive_times {
    std::chrono::seconds idle; ///< Until the first probe.
    std::chrono::seconds interval; ///< Between probes.
    int probes; ///< Unanswered ones after which the connection is closed.

    /// @return the time from the last sign of the peer until the connection is closed.
    std::chrono::milliseconds timeout() const { return idle + interval * probes; }
};

inline constexpr keep_alive_times callerKeepAlive { std::chrono::seconds(2), std::chrono::seconds(1), 3 };
/// The interval and the count let a target's VM be unreachable for a second or two.
inline constexpr keep_alive_times targetKeepAlive { std::chrono::seconds(1), std::chrono::seconds(1), 3 };

/// Disables Nagle's algorithm and lets the kernel close the connection when the peer does not respond: sent
/// data stays unacknowledged, or TCP keep-alive probes fail. On Linux, TCP_USER_TIMEOUT decides for both, so
/// it is set to the time in which all probes fail.
void configureTcpSocket(asio::ip::tcp::socket& socket, const keep_alive_times& times);

/// Parses ip:port.
/// @return the endpoint; one with port 0 when the address is invalid.
asio::ip::tcp::endpoint endpointOf(const std::string& address);

} // namespace plumfold::forwarding
