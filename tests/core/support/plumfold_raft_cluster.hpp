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

/// Rates of the injected faults, in percent: per message for drop, duplicate and reorder, per step for the
/// rest.
struct fault_rates {
    int drop = 0;
    int duplicate = 0;
    int reorder = 0;
    int partition = 0; ///< Blocks one direction between two nodes, or clears all such blocks.
    int crash = 0;
    int loseDisk = 0; ///< Restarts a node with an empty disk.
    int replace = 0; ///< Ends a node for good and starts another one in its failure domain.
    int pause = 0; ///< Suspends a node while time advances, as SIGSTOP does.
};

/// Raft nodes with an in-memory network and in-memory disks. Checks the safety properties at every step and
/// throws std::logic_error if one is violated.
class raft_cluster {
public:
    raft_cluster(int nodes, std::uint64_t seed, fault_rates faults);

    /// Injects random faults at their rates and runs one tick.
    void step();
    /// Stops all faults and runs until the cluster is stable.
    void heal();

    /// Proposes a command to a running leader.
    /// @return false if there is none.
    bool proposeToLeader(const std::string& command);
    const std::vector<std::string>& applied() const { return m_applied; }
    std::size_t acknowledged() const { return m_acknowledged.size(); }
    /// @return whether every acknowledged command has been applied.
    bool allAcknowledgedApplied() const;
    int replaced() const { return m_replaced; }
    std::uint64_t elections() const { return m_leaders.size(); }
    /// @return the leader with the highest term, if any.
    std::optional<std::string> leader() const;
    void crash(const std::string& name);
    void restart(const std::string& name, bool diskLost = false);
    /// Starts another node in the failure domain of a node.
    /// @return its name.
    std::string addSuccessor(const std::string& name);
    /// Ends a node for good.
    void retire(const std::string& name);
    /// Stops a node as a process does that is told to end. It may be restarted.
    void stop(const std::string& name);
    /// @return the names of the nodes that have not been retired.
    std::vector<std::string> present() const;
    /// @return the names of the leader's voters in order; empty without a leader.
    std::vector<std::string> voterNames() const;
    void run(int milliseconds);
    /// @return the number of voters under their current incarnation, as known to the leader.
    std::size_t voters() const;
    core::raft_node& node(const std::string& name) { return *m_nodes.at(name).node; }
    bool isUp(const std::string& name) const { return m_nodes.at(name).node != nullptr; }
    void compactAll();
    /// Blocks all messages from and to a node.
    void isolate(const std::string& name);
    void reconnectAll() { m_blockedLinks.clear(); }

private:
    struct simulated_node {
        std::unique_ptr<core::raft_node> node;
        core::raft_disk_state disk;
        std::uint64_t applied = 0;
        core::instant pausedUntil {};
        std::string failureDomain;
        bool isInitial = true;
        bool isRetired = false;
    };

    void startNode(const std::string& name);
    void processOutput(const std::string& name);
    void deliverNext();
    void checkLeader(const std::string& name);
    void apply(const std::string& name, const core::log_entry& entry);
    bool chance(int percent);
    std::string randomNode();
    bool isWhole() const;
    void injectLoss(const std::string& name);
    void injectReplacement(const std::string& name);

    std::mt19937_64 m_random;
    fault_rates m_faults;
    core::instant m_now {};
    std::map<std::string, simulated_node> m_nodes;
    std::deque<core::raft_message> m_network;
    std::set<std::pair<std::string, std::string>> m_blockedLinks; // sender, receiver
    std::map<std::uint64_t, std::string> m_leaders; // by term
    std::map<std::uint64_t, core::log_entry> m_committed;
    std::vector<std::string> m_applied;
    std::set<std::string> m_acknowledged;
    std::map<std::pair<std::string, std::uint64_t>, std::pair<std::uint64_t, std::string>> m_proposed;
    std::uint64_t m_nextIncarnation = 1;
    int m_disksLost = 0;
    int m_replaced = 0;
};

} // namespace plumfold::tests
