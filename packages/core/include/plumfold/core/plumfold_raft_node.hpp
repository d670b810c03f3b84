#pragma once

#include "plumfold/core/plumfold_raft_types.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <set>

namespace plumfold::core {

/// Identity, timeouts and size limits of one node.
struct raft_options {
    node_name node;
    std::string address;
    std::string failureDomain;
    /// The node starts together with the group. One that joins a running group may take the place of a lost
    /// voter of its failure domain.
    bool isInitialMember = false;
    /// Silence after which a voter is removed in exchange for its successor, which has a shorter time than
    /// other members: the group has a voter more than before, so it loses nothing if the voter returns.
    milliseconds exchangeTimeout { 2'000 };
    /// Silence after which a member that is no voter counts as lost.
    milliseconds memberTimeout { 4'000 };
    milliseconds electionTimeout { 300 }; ///< Minimum; each timeout is drawn at random up to twice this.
    milliseconds heartbeatInterval { 60 };
    std::size_t maxEntriesPerAppend = 256;
    std::size_t maxBytesPerAppend = 1 << 20;
    std::uint64_t seed = 1; ///< Of the random election timeouts.
};

/// Output of a node that its caller must process in this order: install the snapshot, truncate the log,
/// append the entries, write the hard state, sync, call raft_node::persisted(), send the messages, apply the
/// committed entries.
struct raft_output {
    std::optional<raft_snapshot> install; ///< Snapshot from the leader that replaces the state and the log.
    std::optional<std::uint64_t> truncateFrom; ///< Remove the persisted entries from this index on.
    std::vector<log_entry> append; ///< Entries to persist.
    std::optional<hard_state> hard; ///< Hard state to persist, if it changed.
    std::vector<raft_message> messages; ///< A join message without a receiver goes to all known control VMs.
    std::vector<log_entry> committed; ///< Newly committed entries to apply.
    bool needsSync() const { return install || truncateFrom || !append.empty() || hard; }
    bool empty() const { return !needsSync() && messages.empty() && committed.empty(); }
};

/// One node of a Raft group, with pre-vote, check-quorum, learners, single-server membership changes,
/// exchange of lost voters, snapshots and leadership transfer. It performs no I/O and reads no clock: time
/// and messages are passed in, and takeOutput() returns what to persist, send and apply.
class raft_node {
public:
    /// @param state the persisted state. Without members, as in an empty data folder, the node cannot start
    /// an election.
    raft_node(raft_options options, raft_disk_state state, instant now);

    /// Advances the time: starts elections, sends heartbeats and join messages, checks the quorum.
    void tick(instant now);

    /// Handles a message from another node.
    void step(const raft_message& message, instant now);

    /// Creates a group with this node as its only voter; to be called once per installation.
    /// @return false if this node already belongs to a group.
    bool bootstrap(instant now);

    /// Appends a command to the log and replicates it.
    /// @return the index of its entry, or nothing if this node is not the leader.
    std::optional<std::uint64_t> propose(std::string command, instant now);

    /// Transfers leadership to the voter with the highest match index, for a planned stop.
    /// @return false if this node is not the leader or is the only voter.
    bool transferLeadership(instant now);

    /// Asks the group to remove this node in exchange for its successor, for a planned stop. A leader
    /// transfers its leadership first. The node does not join again in this life.
    void requestRemoval(instant now);
    removal_state removalState() const { return m_removal; }

    /// @return the output accumulated since the last call.
    raft_output takeOutput();

    /// Reports that all of the last output has been synced, so that it counts towards the commit.
    void persisted(instant now);

    /// Compacts the log: removes the entries up to the snapshot's index.
    void compact(const raft_snapshot& snapshot);

    raft_role role() const { return m_role; }
    std::uint64_t term() const { return m_hard.term; }
    std::uint64_t commitIndex() const { return m_commitIndex; }
    std::uint64_t lastIndex() const;
    std::uint64_t firstIndex() const { return m_snapshot.index + 1; }
    const node_name& leader() const { return m_leader; }
    std::string leaderAddress() const;
    const hard_state& hardState() const { return m_hard; }
    /// @return the entries after the snapshot.
    const std::vector<log_entry>& entries() const { return m_log; }
    const raft_membership& members() const { return m_members; }
    std::uint64_t incarnation() const { return m_incarnation; }
    bool isMember() const;

    /// @return whether the last membership change is not committed yet. A node that replaces a lost disk
    /// counts as repaired only once it is.
    bool membershipChangePending() const;

    /// @return whether this node leads and a quorum has responded within the election timeout, or follows a
    /// leader from which it has received a message within the election timeout.
    bool hasActiveLeader(instant now) const;

    /// @return whether this node's commit index was that of the leader within the last election timeout: it
    /// leads with an active quorum, or is a voter whose log reached the leader's commit index by an append
    /// within that time.
    bool isCaughtUp(instant now) const;

    /// @return the term of the entry at an index, or 0 if the entry is not in the log.
    std::uint64_t termAt(std::uint64_t index) const;

private:
    // The leader's view of one member's log.
    struct progress {
        std::uint64_t matchIndex = 0; // highest index known to be replicated
        std::uint64_t nextIndex = 1; // index of the next entry to send
        instant lastResponse {};
        instant lastSent {};
        bool snapshotInFlight = false;
    };

    void becomeFollower(std::uint64_t term, const node_name& leader, instant now);
    void campaign(bool preVote, instant now);
    void becomeLeader(instant now);
    void resetElectionTimer(instant now);
    void append(log_entry entry);
    void truncateFrom(std::uint64_t index);
    void recomputeMembers();
    void advanceCommit();
    void broadcastAppend(instant now);
    void sendAppend(const raft_member& to, instant now);
    void sendSnapshot(const raft_member& to, progress& state, instant now);
    void send(raft_message message);
    void sendAppendResponse(const raft_message& message, bool accepted, std::uint64_t index);
    void collectCommitted();
    void checkQuorum(instant now);
    void promoteCaughtUpLearner(instant now);
    void maintainMembership(instant now);
    void sendJoin(instant now);
    bool isRegistered() const;
    bool isActive(const node_name& node, instant now) const;
    milliseconds silenceOf(const node_name& node, instant now) const;
    const raft_member* findSuccessor(const raft_member& lost, instant now) const;
    std::optional<raft_membership> withoutLostMember(instant now) const;
    raft_membership exchange(const raft_member& lost, const raft_member* successor) const;
    void continueRemoval(instant now);
    bool mayChangeMembership() const;
    bool changeMembership(raft_membership next, instant now);
    bool isQuorum(const std::set<node_name>& nodes) const;
    bool isCandidateLogUpToDate(const raft_message& message) const;
    bool isFromCurrentVoter(const raft_message& message) const;
    bool isVoter() const;

    void onPreVote(const raft_message& message, instant now);
    void onPreVoteResponse(const raft_message& message, instant now);
    void onVote(const raft_message& message, instant now);
    void onVoteResponse(const raft_message& message, instant now);
    void onAppend(const raft_message& message, instant now);
    void onAppendResponse(const raft_message& message, instant now);
    void onSnapshot(const raft_message& message, instant now);
    void onTimeoutNow(const raft_message& message, instant now);
    void onJoin(const raft_message& message, instant now);
    void onLeave(const raft_message& message, instant now);
    void onLeaveResponse(const raft_message& message, instant now);

    using handler = void (raft_node::*)(const raft_message&, instant);
    static const handler handlers[];

    raft_options m_options;
    std::uint64_t m_incarnation;
    hard_state m_hard;
    raft_snapshot m_snapshot;
    std::vector<log_entry> m_log; // entries after m_snapshot
    raft_membership m_members;
    std::uint64_t m_membershipIndex = 0; // index of the entry that m_members came from
    raft_role m_role = raft_role::follower;
    node_name m_leader;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_lastDelivered = 0; // last committed index returned to the caller
    std::uint64_t m_persistedIndex = 0; // last index synced to disk
    instant m_electionDeadline {};
    instant m_lastLeaderContact {};
    std::optional<instant> m_caughtUpAt; // last append that brought the log to the leader's commit index
    instant m_nextHeartbeat {};
    instant m_nextJoin {};
    removal_state m_removal = removal_state::not_requested;
    instant m_nextRemovalRequest {};
    std::set<node_name> m_votes;
    std::map<node_name, progress> m_progress;
    raft_output m_output;
    std::mt19937_64 m_random;
};

} // namespace plumfold::core
