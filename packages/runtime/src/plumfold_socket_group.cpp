#include "plumfold/runtime/plumfold_socket_group.hpp"

#include <Poco/Exception.h>

namespace plumfold::runtime {

socket_group::member::member(socket_group& group, const Poco::Net::StreamSocket& socket)
    : m_group(group)
    , m_socket(socket)
{
    std::lock_guard lock(m_group.m_mutex);
    m_group.m_members.insert(this);
    if (m_group.m_isShutDown)
        m_group.shutdown(*this);
}

socket_group::member::~member()
{
    std::lock_guard lock(m_group.m_mutex);
    m_group.m_members.erase(this);
}

void socket_group::interrupt()
{
    std::lock_guard lock(m_mutex);
    for (auto* each : m_members)
        shutdown(*each);
}

void socket_group::shutdown()
{
    std::lock_guard lock(m_mutex);
    m_isShutDown = true;
    for (auto* each : m_members)
        shutdown(*each);
}

void socket_group::shutdown(member& each) const
{
    try {
        if (m_direction == direction::receive)
            each.m_socket.shutdownReceive();
        else
            each.m_socket.shutdown();
    } catch (const Poco::Exception&) {
        // The peer has closed the connection, so no operation on it waits.
    }
}

} // namespace plumfold::runtime
