#include "plumfold_asio.hpp"
#include "plumfold_target_connection_pool.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <kj/async-io.h>

#include <chrono>
#include <memory>
#include <netinet/tcp.h>

using namespace plumfold::forwarding;
using namespace std::chrono_literals;

namespace {

/// What the kernel has in force for a socket.
struct peer_timeouts {
    std::chrono::milliseconds userTimeout {};
    std::chrono::seconds idle {};
    std::chrono::seconds interval {};
    int probes = 0;
    bool hasKeepAlive = false;
};

template <class Read> peer_timeouts readTimeouts(const Read& read)
{
    return { std::chrono::milliseconds(read(IPPROTO_TCP, TCP_USER_TIMEOUT)),
        std::chrono::seconds(read(IPPROTO_TCP, TCP_KEEPIDLE)),
        std::chrono::seconds(read(IPPROTO_TCP, TCP_KEEPINTVL)), read(IPPROTO_TCP, TCP_KEEPCNT),
        read(SOL_SOCKET, SO_KEEPALIVE) != 0 };
}

peer_timeouts timeoutsOf(int socket)
{
    return readTimeouts([socket](int level, int name) {
        int value = -1;
        socklen_t length = sizeof(value);
        REQUIRE(::getsockopt(socket, level, name, &value, &length) == 0);
        return value;
    });
}

/// A peer whose VM is unreachable for this time goes on.
constexpr auto longestPause = 1'500ms;

void checkConsistent(const peer_timeouts& timeouts, std::chrono::milliseconds bound)
{
    CHECK(timeouts.hasKeepAlive);
    CHECK(timeouts.userTimeout >= timeouts.idle + timeouts.interval * timeouts.probes);
    CHECK(timeouts.userTimeout <= bound);
    // The last probe before the end is sent one interval earlier. A pause that begins just before the first
    // probe must have ended by then.
    CHECK(timeouts.userTimeout - timeouts.interval >= timeouts.idle + longestPause);
}

} // namespace

TEST_CASE("The user timeout of connections to targets leaves time for all keep-alive probes",
    "[forwarding][peer_timeout]")
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:0"));
    boost::asio::io_context io;
    target_connection_pool pool(io);
    std::unique_ptr<target_connection> connection;
    auto open = [&]() -> task<void> {
        connection = co_await pool.open("t1", listener.address().toString(), 1'000ms);
    };
    boost::asio::co_spawn(io, open, boost::asio::detached);
    io.run();
    REQUIRE(connection);
    checkConsistent(timeoutsOf(connection->stream.socket().native_handle()), 4s);
}

TEST_CASE("The user timeout of connections of callers leaves time for all keep-alive probes",
    "[forwarding][peer_timeout]")
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io, boost::asio::ip::tcp::v4());
    configureTcpSocket(socket, callerKeepAlive);
    checkConsistent(timeoutsOf(socket.native_handle()), 5s);
}

TEST_CASE(
    "Libraries set neither a user timeout nor keep-alive probes of their own", "[forwarding][peer_timeout]")
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:0"));
    SECTION("POCO")
    {
        Poco::Net::HTTPClientSession session(listener.address());
        Poco::Net::HTTPRequest request("GET", "/report", Poco::Net::HTTPMessage::HTTP_1_1);
        session.sendRequest(request) << std::flush;
        auto timeouts = timeoutsOf(session.socket().impl()->sockfd());
        CHECK_FALSE(timeouts.hasKeepAlive);
        CHECK(timeouts.userTimeout == 0ms);
    }
    SECTION("KJ")
    {
        auto io = kj::setupAsyncIo();
        auto address
            = io.provider->getNetwork().parseAddress(listener.address().toString()).wait(io.waitScope);
        auto stream = address->connect().wait(io.waitScope);
        auto timeouts = readTimeouts([&](int level, int name) {
            int value = -1;
            kj::uint length = sizeof(value);
            stream->getsockopt(level, name, &value, &length);
            return value;
        });
        CHECK_FALSE(timeouts.hasKeepAlive);
        CHECK(timeouts.userTimeout == 0ms);
    }
}
