#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::core {

using node_name = std::string;

/// One member of the Raft group.
struct raft_member {
    node_name node;
    /// Identity of the member's data folder. A node that lost its disk rejoins with a different one.
    std::uint64_t incarnation = 0;
    bool voter = false; ///< Learners receive the log but do not count towards the quorum.
    std::string address;
    std::string failureDomain; ///< Empty until the member has reported it.
    /// It joined a running group, and no lost voter has been removed in exchange yet.
    bool isAddition = false;
    bool operator==(const raft_member&) const = default;
};

/// The members of the group. Takes effect when its log entry is appended, before it is committed.
struct raft_membership {
    std::vector<raft_member> members;
    /// @return the member, or null.
    const raft_member* find(const node_name& node) const;
    /// @return the number of voters.
    std::size_t voters() const;
    bool operator==(const raft_membership&) const = default;
};

enum class entry_kind : std::uint8_t { no_op, command, membership };

/// One entry of the replicated log.
struct log_entry {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    entry_kind kind = entry_kind::no_op;
    std::string payload; ///< The encoded command; empty for other kinds.
    raft_membership members; ///< Set for membership entries only.
    bool operator==(const log_entry&) const = default;
};

/// The state as of a log index. Replaces all entries up to and including it.
struct raft_snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    raft_membership members;
    std::string state; ///< The encoded state machine.
    bool operator==(const raft_snapshot&) const = default;
};

/// The state that must be synced before any message that depends on it is sent.
struct hard_state {
    std::uint64_t term = 0;
    node_name votedFor; ///< Empty if no vote was cast in the term.
    bool operator==(const hard_state&) const = default;
};

/// The persistent state that a node reads back when it starts.
struct raft_disk_state {
    std::uint64_t incarnation = 0;
    hard_state hard;
    raft_snapshot snapshot;
    std::vector<log_entry> entries; ///< The entries after the snapshot.
};

/// Kinds of messages between nodes. The numbering is part of the wire format.
enum class message_kind : std::uint8_t {
    pre_vote,
    pre_vote_response,
    vote,
    vote_response,
    append,
    append_response,
    snapshot,
    timeout_now, ///< Leadership transfer: the receiver starts an election at once.
    /// Asks to be added as a learner, from a node that is no member under its current incarnation or may have
    /// been removed, or reports the sender's failure domain.
    join,
    /// Asks the leader to remove the sender, which is about to stop, in exchange for its successor.
    leave,
    /// Accepted: the sender of `leave` is no member any more; otherwise it has no successor and stays one.
    leave_response,
};

/// One message between two nodes. Fields that a kind does not use keep their defaults.
struct raft_message {
    message_kind kind = message_kind::append;
    node_name from;
    std::uint64_t fromIncarnation = 0;
    node_name to;
    std::uint64_t term = 0;
    /// append: index of the entry before the entries; votes: the candidate's last index; append_response: the
    /// match index, or if not accepted the last index that may match.
    std::uint64_t logIndex = 0;
    std::uint64_t logTerm = 0; ///< append and votes: term of the entry at logIndex.
    std::uint64_t commitIndex = 0; ///< append: the leader's commit index.
    bool accepted = false; ///< Responses: whether granted; vote: set during a leadership transfer.
    std::vector<log_entry> entries;
    std::optional<raft_snapshot> snapshot;
    std::string address; ///< join: address at which the sender accepts connections.
    std::string failureDomain; ///< join: failure domain of the sender.
    bool isInitial = false; ///< join: the sender starts together with the group, in nobody's place.
};

/// What became of a node's request to be removed from its group.
enum class removal_state : std::uint8_t {
    not_requested,
    requested, ///< The leader has not answered yet.
    removed, ///< The change is committed.
    not_replaced, ///< The node has no successor, so it stays a member.
};

/// Role of a node in its current term.
enum class raft_role { follower, pre_candidate, candidate, leader };

/// @return the stable name of a role, for example "leader".
const char* raftRoleName(raft_role role);

/// @return the stable name of a state, for example "removed".
const char* removalStateName(removal_state state);

} // namespace plumfold::core
