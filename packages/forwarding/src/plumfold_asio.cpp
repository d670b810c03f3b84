#include "plumfold_asio.hpp"

#include <netinet/tcp.h>

namespace plumfold::forwarding {

void configureTcpSocket(asio::ip::tcp::socket& socket, const keep_alive_times& times)
{
    auto set = [&](int level, int name, int value) {
        // Best effort: without an option, the timeouts of this process still apply.
        (void)::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(times.timeout().count()));
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(times.idle.count()));
    set(IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(times.interval.count()));
    set(IPPROTO_TCP, TCP_KEEPCNT, times.probes);
}

asio::ip::tcp::endpoint endpointOf(const std::string& address)
{
    auto colon = address.rfind(':');
    error_code error;
    auto host = asio::ip::make_address(address.substr(0, colon), error);
    int port = 0;
    if (!error && colon != std::string::npos)
        port = std::atoi(address.c_str() + colon + 1);
    return { host, static_cast<unsigned short>(port) };
}

} // namespace plumfold::forwarding
