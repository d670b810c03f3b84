#pragma once

#include "plumfold_asio.hpp"

#include "plumfold/core/plumfold_time.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace plumfold::forwarding {

/// One connection to a target.
struct target_connection {
    explicit target_connection(asio::io_context& io)
        : stream(io)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer; ///< Bytes that were read and belong to no answer yet.
    std::string key; ///< Target and address.
    core::instant idleSince {};
    core::milliseconds idleTimeout { 0 }; ///< How long the target keeps it, as far as it told.
    bool isReused = false;
};

/// Kept connections to targets. Lives on the forwarding duty.
class target_connection_pool {
public:
    explicit target_connection_pool(asio::io_context& io)
        : m_io(io)
    {
    }

    /// @return a kept connection that is still usable, or null.
    std::unique_ptr<target_connection> acquireIdle(const std::string& target, const std::string& address);

    /// Opens a connection.
    /// @return the connection, or null when it did not come about in time.
    task<std::unique_ptr<target_connection>> open(
        std::string target, std::string address, core::milliseconds timeout);

    /// Keeps a connection whose last answer was read whole.
    void release(std::unique_ptr<target_connection> connection);

    /// Closes connections that were idle too long.
    void closeExpired();

private:
    asio::io_context& m_io;
    std::map<std::string, std::deque<std::unique_ptr<target_connection>>> m_idle;
};

} // namespace plumfold::forwarding
