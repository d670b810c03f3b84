#pragma once

#include "plumfold/core/plumfold_raft_types.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <set>

namespace plumfold::core {

/// Timing and size limits of one node.
struct raft_options {
    node_name node;
    std::string address;
    milliseconds electionTimeout { 300 }; ///< A timeout is drawn between this and twice this.
    milliseconds heartbeatInterval { 60 };
    std::size_t maxEntriesPerAppend = 256;
    std::size_t maxBytesPerAppend = 1 << 20;
    std::uint64_t seed = 1;
};

/// What the caller must do, in this order: install the snapshot, truncate, append, write the hard state,
/// sync, call raft_node::persisted(), send the messages, apply the committed entries.
struct raft_output {
    std::optional<raft_snapshot> install; ///< A snapshot from the leader that replaces state and log.
    std::optional<std::uint64_t> truncateFrom; ///< Drop the persisted entries from this index on.
    std::vector<log_entry> append;
    std::optional<hard_state> hard;
    std::vector<raft_message> messages;
    std::vector<log_entry> committed;
    bool needsSync() const { return install || truncateFrom || !append.empty() || hard; }
    bool empty() const { return !needsSync() && messages.empty() && committed.empty(); }
};

/// One node of a replicated log, after the Raft paper: pre-vote, check-quorum, learners, one change of
/// membership at a time, snapshots, leadership hand-over. Has no input or output of its own and reads no
/// clock.
class raft_node {
public:
    /// @param state what the node's disk holds; a fresh disk has no members and cannot start an election.
    raft_node(raft_options options, raft_disk_state state, instant now);

    /// Moves time forward: elections, heartbeats, check-quorum.
    void tick(instant now);

    /// Handles a message of another node.
    void step(const raft_message& message, instant now);

    /// Forms a new group with this node as its only voter. Operators call it once for a new installation.
    /// @return false when this node already belongs to a group.
    bool bootstrap(instant now);

    /// Appends a command to the log.
    /// @return the index of its entry, or nothing when this node is not the leader.
    std::optional<std::uint64_t> propose(std::string command, instant now);

    /// Gives leadership to the most advanced voter, for a planned stop.
    /// @return false when there is no other voter or this node does not lead.
    bool transferLeadership(instant now);

    /// @return the work that has come up since the last call.
    raft_output takeOutput();

    /// Tells that everything in the last work has been synced.
    void persisted(instant now);

    /// Drops the log up to the snapshot's index.
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

    /// @return whether the last change of members is not committed yet. A node that was taken in again counts
    /// as repaired only after that.
    bool membershipChangePending() const;

    /// @return whether this node leads and a quorum has answered within the election timeout, or follows a
    /// leader that it has heard from within the election timeout.
    bool hasActiveLeader(instant now) const;

    /// @return whether what this node has applied was all that was committed within the election timeout: it
    /// leads with a quorum, or votes and has just followed an append up to the leader's commit index.
    bool isCaughtUp(instant now) const;

    /// @return the term of the entry at an index, or 0 when it is not held.
    std::uint64_t termAt(std::uint64_t index) const;

private:
    struct progress {
        std::uint64_t matchIndex = 0;
        std::uint64_t nextIndex = 1;
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

    using handler = void (raft_node::*)(const raft_message&, instant);
    static const handler handlers[];

    raft_options m_options;
    std::uint64_t m_incarnation;
    hard_state m_hard;
    raft_snapshot m_snapshot;
    std::vector<log_entry> m_log; // entries after m_snapshot
    raft_membership m_members;
    std::uint64_t m_membershipIndex = 0;
    raft_role m_role = raft_role::follower;
    node_name m_leader;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_lastDelivered = 0; // last committed index given to the caller
    std::uint64_t m_persistedIndex = 0;
    instant m_electionDeadline {};
    instant m_lastLeaderContact {};
    std::optional<instant> m_caughtUpAt; // when an append was last followed up to the leader's commit index
    instant m_nextHeartbeat {};
    instant m_nextJoin {};
    std::set<node_name> m_votes;
    std::map<node_name, progress> m_progress;
    raft_output m_output;
    std::mt19937_64 m_random;
};

} // namespace plumfold::core
