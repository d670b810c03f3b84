#pragma once

#include "plumfold_link_cuts.hpp"

#include <utility> // Boost 1.74's awaitable.hpp uses std::exchange without including it

#include <boost/asio.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace plumfold::tests {

/// Proxies on loopback that limit the bytes a second of the processes that connect through them. All
/// connections of a process share its link, which carries as much in each direction.
class narrow_links {
public:
    narrow_links();
    ~narrow_links();

    /// Carries connections to one address on to another one. Both are ip:port.
    void carry(const std::string& from, const std::string& to);
    /// Sets the bytes a second of a process in each direction. Others are not limited.
    void setRate(int process, double bytesPerSecond);
    /// Resets all connections of a process.
    void reset(int process);
    /// Holds up what a process and others send each other, as a partition does, until release(). What is held
    /// up arrives then.
    /// @param process id of the isolated process.
    /// @param address where the others connect to it: ip:port.
    /// @param others ids of the processes that it is isolated from.
    void isolate(int process, const std::string& address, const std::set<int>& others);
    void release();

    /// @return the bytes that a process has received.
    std::size_t bytesTo(int process) const;
    /// @return the connections that a process has opened.
    std::size_t connectionsOf(int process) const;

private:
    using tcp = boost::asio::ip::tcp;

    /// One direction of a link.
    struct lane {
        double bytesPerSecond = 0; ///< 0: no limit.
        std::chrono::steady_clock::time_point freeAt {};
        std::size_t bytes = 0;
    };
    struct link {
        lane toProcess;
        lane fromProcess;
        std::size_t connections = 0;
    };
    struct connection {
        explicit connection(boost::asio::io_context& io)
            : near(io)
            , far(io)
        {
        }
        void close();
        tcp::socket near; ///< To the process that has connected.
        tcp::socket far;
        tcp::endpoint peer; ///< Of the process that has connected.
        tcp::endpoint listener; ///< The address that it has connected to.
        int process = 0;
    };
    /// The process that is isolated; used on the thread only.
    struct isolation {
        int process = 0;
        tcp::endpoint address;
        std::set<int> others;
    };
    using connection_pointer = std::shared_ptr<connection>;

    boost::asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor, tcp::endpoint to);
    boost::asio::awaitable<void> serve(connection_pointer each, tcp::endpoint to);
    boost::asio::awaitable<void> pump(
        connection_pointer each, tcp::socket& from, tcp::socket& to, lane link::*direction);
    std::chrono::steady_clock::time_point reserve(int process, lane link::*direction, std::size_t bytes);
    int ownerOf(const connection& each) const;
    bool isHeld(const connection& each) const;

    mutable std::mutex m_mutex;
    std::map<int, link> m_links; // by process; 0: all others
    link_cuts m_owners;
    boost::asio::io_context m_io { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::list<std::weak_ptr<connection>> m_connections; // used on the thread only
    std::optional<isolation> m_isolation; // used on the thread only
    std::thread m_thread;
};

} // namespace plumfold::tests
