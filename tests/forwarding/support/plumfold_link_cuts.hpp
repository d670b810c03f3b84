#pragma once

#include <Poco/Net/SocketAddress.h>

#include <map>
#include <mutex>
#include <set>

namespace plumfold::tests {

/// What happens to the connections between a process and all targets.
enum class link_state {
    whole,
    resetting, ///< Open connections and new ones are reset.
    hanging, ///< Connections are accepted, but nothing is read or sent; they are reset when the cut ends.
    refusing, ///< Open connections go on, new ones are reset.
};

/// Simulates the partition of processes from all targets. All processes share the loopback interface, so a
/// connection is attributed to the process that has its socket open.
class link_cuts {
public:
    /// Sets the state of the link of a process.
    void set(int process, link_state state);

    /// @return the state of the link of a process; 0 stands for any other process.
    link_state stateOf(int process) const;

    /// @param peer the remote address of an accepted connection.
    /// @param own its local address.
    /// @return the process of those set before that has the peer's socket open; 0: none.
    int ownerOf(const Poco::Net::SocketAddress& peer, const Poco::Net::SocketAddress& own) const;

private:
    mutable std::mutex m_mutex;
    std::map<int, link_state> m_states; // by process id
};

} // namespace plumfold::tests
