#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::core {

using node_name = std::string;

/// One member of the replicated log's group.
struct raft_member {
    node_name node;
    std::uint64_t incarnation
        = 0; ///< Identity of the member's disk. A lost disk comes back with another one.
    bool voter = false;
    std::string address;
    bool operator==(const raft_member&) const = default;
};

/// The members of the group, in force from the log entry that carries them.
struct raft_membership {
    std::vector<raft_member> members;
    const raft_member* find(const node_name& node) const;
    std::size_t voters() const;
    bool operator==(const raft_membership&) const = default;
};

enum class entry_kind : std::uint8_t { no_op, command, membership };

struct log_entry {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    entry_kind kind = entry_kind::no_op;
    std::string payload; ///< An encoded command, or for membership entries nothing.
    raft_membership members; ///< Set for membership entries only.
    bool operator==(const log_entry&) const = default;
};

/// State as of a log index, in place of all entries up to it.
struct raft_snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    raft_membership members;
    std::string state;
    bool operator==(const raft_snapshot&) const = default;
};

/// What must be synced before any message that depends on it is sent.
struct hard_state {
    std::uint64_t term = 0;
    node_name votedFor;
    bool operator==(const hard_state&) const = default;
};

/// Everything that a node reads back from its disk.
struct raft_disk_state {
    std::uint64_t incarnation = 0;
    hard_state hard;
    raft_snapshot snapshot;
    std::vector<log_entry> entries; ///< Those after the snapshot.
};

enum class message_kind : std::uint8_t {
    pre_vote,
    pre_vote_response,
    vote,
    vote_response,
    append,
    append_response,
    snapshot,
    timeout_now,
    join, ///< A node that is not a member under its present incarnation asks to become a learner.
};

struct raft_message {
    message_kind kind = message_kind::append;
    node_name from;
    std::uint64_t fromIncarnation = 0;
    node_name to;
    std::uint64_t term = 0;
    std::uint64_t logIndex = 0; ///< append: index before the entries; answers: last index held.
    std::uint64_t logTerm = 0;
    std::uint64_t commitIndex = 0;
    bool accepted = false;
    std::vector<log_entry> entries;
    std::optional<raft_snapshot> snapshot;
    std::string address; ///< join: where the sender listens.
};

enum class raft_role { follower, pre_candidate, candidate, leader };

/// @return the stable name of a role, for example "leader".
const char* raftRoleName(raft_role role);

} // namespace plumfold::core
