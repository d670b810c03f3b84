#pragma once

#include <Poco/Net/StreamSocket.h>

#include <mutex>
#include <set>

namespace plumfold::runtime {

/// Sockets that threads are using, so that another thread can end the operations on all of them.
class socket_group {
public:
    /// Which operations end.
    enum class direction { receive, both };

    explicit socket_group(direction which)
        : m_direction(which)
    {
    }

    /// Ends pending and later operations on the sockets.
    void interrupt();

    /// Ends pending and later operations on the sockets, and on sockets that are added later.
    void shutdown();

    /// Keeps a socket in a group until destruction. Must be destroyed before the socket is closed.
    class member {
    public:
        member(socket_group& group, const Poco::Net::StreamSocket& socket);
        ~member();
        member(const member&) = delete;
        member& operator=(const member&) = delete;

    private:
        friend class socket_group;

        socket_group& m_group;
        Poco::Net::StreamSocket m_socket;
    };

private:
    void shutdown(member& each) const;

    direction m_direction;
    std::mutex m_mutex;
    bool m_isShutDown = false;
    std::set<member*> m_members;
};

} // namespace plumfold::runtime
