#pragma once

#include "plumfold/core/plumfold_raft_node.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plumfold::tests {

/// How often the network and the disks of a cluster fail, in percent of the steps.
struct fault_rates {
    int drop = 0;
    int duplicate = 0;
    int reorder = 0;
    int partition = 0; ///< One-way cuts between two nodes.
    int crash = 0;
    int loseDisk = 0;
    int pause = 0; ///< A node stands still while time goes on, as under SIGSTOP.
};

/// Raft nodes over a network and disks in memory. Checks the safety properties at every step and throws
/// std::logic_error when one is broken.
class raft_cluster {
public:
    raft_cluster(int nodes, std::uint64_t seed, fault_rates faults);

    /// Lets one random thing happen.
    void step();
    /// Ends all faults and lets the cluster settle.
    void heal();

    /// Proposes a command on a node that leads, if any.
    bool proposeToLeader(const std::string& command);
    const std::vector<std::string>& applied() const { return m_applied; }
    std::size_t acknowledged() const { return m_acknowledged.size(); }
    /// @return whether every acknowledged command has been applied.
    bool allAcknowledgedApplied() const;
    std::uint64_t elections() const { return m_leaders.size(); }
    std::optional<std::string> leader() const;
    void crash(const std::string& name);
    void restart(const std::string& name, bool diskLost = false);
    void run(int milliseconds);
    /// @return the voters under their present identity, as the leader sees them.
    std::size_t voters() const;
    core::raft_node& node(const std::string& name) { return *m_nodes.at(name).node; }
    bool isUp(const std::string& name) const { return m_nodes.at(name).node != nullptr; }
    void compactAll();
    void isolate(const std::string& name);
    void reconnectAll() { m_blockedLinks.clear(); }

private:
    struct simulated_node {
        std::unique_ptr<core::raft_node> node;
        core::raft_disk_state disk;
        std::uint64_t applied = 0;
        core::instant pausedUntil {};
    };

    void startNode(const std::string& name);
    void processOutput(const std::string& name);
    void deliverNext();
    void checkLeader(const std::string& name);
    void apply(const std::string& name, const core::log_entry& entry);
    bool chance(int percent);
    std::string randomNode();

    std::mt19937_64 m_random;
    fault_rates m_faults;
    core::instant m_now {};
    std::map<std::string, simulated_node> m_nodes;
    std::deque<core::raft_message> m_network;
    std::set<std::pair<std::string, std::string>> m_blockedLinks;
    std::map<std::uint64_t, std::string> m_leaders; // by term
    std::map<std::uint64_t, core::log_entry> m_committed;
    std::vector<std::string> m_applied;
    std::set<std::string> m_acknowledged;
    std::map<std::pair<std::string, std::uint64_t>, std::pair<std::uint64_t, std::string>> m_proposed;
    std::uint64_t m_nextIncarnation = 1;
    int m_disksLost = 0;
};

} // namespace plumfold::tests
