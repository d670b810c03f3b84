#include "plumfold_link_cuts.hpp"

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <string>

namespace plumfold::tests {

namespace {

/// @return an address as /proc/net/tcp shows it.
std::string kernelForm(const Poco::Net::SocketAddress& address)
{
    auto host = address.host();
    const auto* bytes = static_cast<const struct in_addr*>(host.addr());
    std::ostringstream out;
    out << std::hex << std::uppercase << std::setfill('0') << std::setw(8) << bytes->s_addr << ':'
        << std::setw(4) << address.port();
    return out.str();
}

/// @return the inode of a connected socket, from /proc/net/tcp; empty if there is none.
std::string inodeOf(const Poco::Net::SocketAddress& local, const Poco::Net::SocketAddress& remote)
{
    auto localForm = kernelForm(local);
    auto remoteForm = kernelForm(remote);
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream in(line);
        std::string slot, localAddress, remoteAddress, state, queues, timer, retransmits, user, timeout,
            inode;
        in >> slot >> localAddress >> remoteAddress >> state >> queues >> timer >> retransmits >> user
            >> timeout >> inode;
        if (localAddress == localForm && remoteAddress == remoteForm && inode != "0")
            return inode;
    }
    return {};
}

bool hasSocket(int process, const std::string& inode)
{
    std::error_code error;
    auto wanted = "socket:[" + inode + "]";
    std::filesystem::directory_iterator files("/proc/" + std::to_string(process) + "/fd", error);
    for (; !error && files != std::filesystem::directory_iterator(); files.increment(error)) {
        std::error_code closedMeanwhile;
        if (std::filesystem::read_symlink(files->path(), closedMeanwhile) == wanted)
            return true;
    }
    return false;
}

} // namespace

void link_cuts::set(int process, link_state state)
{
    std::lock_guard lock(m_mutex);
    m_states[process] = state;
}

link_state link_cuts::stateOf(int process) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_states.find(process);
    return found == m_states.end() ? link_state::whole : found->second;
}

int link_cuts::ownerOf(const Poco::Net::SocketAddress& peer, const Poco::Net::SocketAddress& own) const
{
    std::set<int> processes;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [process, state] : m_states)
            processes.insert(process);
    }
    auto inode = inodeOf(peer, own);
    if (inode.empty())
        return 0;
    for (int process : processes) {
        if (hasSocket(process, inode))
            return process;
    }
    return 0;
}

} // namespace plumfold::tests
