#include "plumfold_target_connection_pool.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

#include <algorithm>
#include <sys/socket.h>

namespace plumfold::forwarding {

namespace {

/// Applies to targets that do not advertise a keep-alive timeout.
constexpr core::milliseconds defaultIdleTimeout { 2'000 };
/// Share of the advertised timeout that is used: the target measures from the last byte that it sent.
constexpr int idleTimeoutPercent = 60;
constexpr std::size_t maxIdlePerTarget = 16;

core::milliseconds maxIdleTime(const target_connection& connection)
{
    auto advertised = connection.idleTimeout.count() > 0 ? connection.idleTimeout : defaultIdleTimeout;
    return advertised * idleTimeoutPercent / 100;
}

/// @return whether neither bytes nor a close arrived on an idle connection.
bool isReusable(target_connection& connection)
{
    char byte = 0;
    auto got = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::unique_ptr<target_connection> target_connection_pool::acquireIdle(
    const std::string& target, const std::string& address)
{
    auto found = m_idle.find(target + '@' + address);
    if (found == m_idle.end())
        return nullptr;
    auto now = runtime::now();
    while (!found->second.empty()) {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        if (now - connection->idleSince < maxIdleTime(*connection) && isReusable(*connection)) {
            connection->isReused = true;
            return connection;
        }
    }
    return nullptr;
}

bool target_connection_pool::hasUsable(const std::string& target, const std::string& address) const
{
    auto found = m_idle.find(target + '@' + address);
    return found != m_idle.end()
        && std::any_of(
            found->second.begin(), found->second.end(), [](const auto& each) { return isReusable(*each); });
}

task<std::unique_ptr<target_connection>> target_connection_pool::open(
    std::string target, std::string address, core::milliseconds timeout)
{
    auto connection = std::make_unique<target_connection>(m_io);
    connection->key = target + '@' + address;
    error_code error;
    connection->stream.expires_after(timeout);
    co_await connection->stream.async_connect(endpointOf(address), into(error));
    if (error)
        co_return nullptr;
    configureTcpSocket(connection->stream.socket(), targetKeepAlive);
    co_return connection;
}

void target_connection_pool::release(std::unique_ptr<target_connection> connection)
{
    auto& idle = m_idle[connection->key];
    if (idle.size() >= maxIdlePerTarget)
        return;
    connection->stream.expires_never();
    connection->idleSince = runtime::now();
    idle.push_back(std::move(connection));
}

void target_connection_pool::closeExpired()
{
    auto now = runtime::now();
    for (auto& [key, idle] : m_idle) {
        std::erase_if(idle, [&](const auto& each) { return now - each->idleSince > maxIdleTime(*each); });
    }
    std::erase_if(m_idle, [](const auto& each) { return each.second.empty(); });
}

} // namespace plumfold::forwarding
