#pragma once

#include "plumfold_asio.hpp"

#include "plumfold/core/plumfold_time.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace plumfold::forwarding {

/// Limit of the received bytes that are not parsed yet: headers, or the line that begins a chunk.
inline constexpr std::size_t maxUnparsedBytes = 64 << 10;

/// A connection to a target.
struct target_connection {
    explicit target_connection(asio::io_context& io)
        : stream(io)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { maxUnparsedBytes }; ///< Bytes received but not yet parsed.
    std::string key; ///< Key in the pool: target@address.
    core::instant idleSince {};
    core::milliseconds idleTimeout { 0 }; ///< Advertised by the target; 0: unknown.
    bool isReused = false;
};

/// Pool of idle keep-alive connections to targets. Accessed only on the event loop thread.
class target_connection_pool {
public:
    explicit target_connection_pool(asio::io_context& io)
        : m_io(io)
    {
    }

    /// @param address ip:port
    /// @return an idle connection that is still usable, or null.
    std::unique_ptr<target_connection> acquireIdle(const std::string& target, const std::string& address);

    /// @return whether any idle connection to a target is still usable.
    bool hasUsable(const std::string& target, const std::string& address) const;

    /// Opens a connection.
    /// @param address ip:port
    /// @return the connection, or null when connecting fails or times out.
    task<std::unique_ptr<target_connection>> open(
        std::string target, std::string address, core::milliseconds timeout);

    /// Returns a connection whose last response was read completely. Closes it when the pool is full for its
    /// target.
    void release(std::unique_ptr<target_connection> connection);

    /// Closes connections that have been idle for too long.
    void closeExpired();

private:
    asio::io_context& m_io;
    std::map<std::string, std::deque<std::unique_ptr<target_connection>>> m_idle;
};

} // namespace plumfold::forwarding
