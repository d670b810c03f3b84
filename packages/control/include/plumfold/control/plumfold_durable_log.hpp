#pragma once

#include "plumfold/core/plumfold_raft_node.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace plumfold::control {

/// The data folder of one control VM: identity, lock file, snapshot and write-ahead log. A write is durable
/// once the function that makes it has returned OK: all of them fsync.
class durable_log {
public:
    /// Opens and locks a data folder, creating it if it does not exist, and loads its state. A torn write at
    /// the end of the log is truncated.
    /// @param maxBytes size of log and snapshot beyond which hasFreeSpace() returns false; 0: no limit.
    /// @return failed_precondition if another process has locked the folder; data_loss if the identity is
    /// missing, or the snapshot or a record before the end of the log is corrupt; unavailable after an I/O
    /// error. The message names the remedy.
    static absl::StatusOr<std::unique_ptr<durable_log>> open(
        const std::string& folder, std::uint64_t maxBytes);

    /// Reads the state of a data folder without locking or changing it.
    /// @return not_found if it is not a data folder; data_loss if the snapshot or a log record is corrupt.
    static absl::StatusOr<core::raft_disk_state> inspect(const std::string& folder);

    ~durable_log();
    durable_log(const durable_log&) = delete;
    durable_log& operator=(const durable_log&) = delete;

    /// Moves out the state that was loaded by open(). To be called once.
    core::raft_disk_state takeState() { return std::move(m_state); }

    /// Bootstraps the group with a fixed list of voters, as each of them does by itself when the whole system
    /// starts for the first time. Does nothing if the folder already holds state.
    /// @param initialMembers addresses of all initial voters, including this VM's; the same list on each.
    /// @return unavailable after an I/O error.
    absl::Status bootstrap(const std::vector<std::string>& initialMembers);

    /// Appends the persistent part of a node's output to the log and syncs it. A snapshot to install replaces
    /// the log instead.
    /// @return unavailable after an I/O error.
    absl::Status persist(const core::raft_output& output);

    /// Writes a snapshot, then rewrites the log without the entries that it covers.
    /// @param hard the current hard state.
    /// @param entries the entries after the snapshot.
    /// @return unavailable after an I/O error.
    absl::Status compact(const core::raft_snapshot& snapshot, const core::hard_state& hard,
        const std::vector<core::log_entry>& entries);

    /// @return whether the size limit and the file system leave space for another command, besides the
    /// reserve for hard states, truncations and the next snapshot.
    bool hasFreeSpace() const;
    /// @return whether the file system, regardless of the size limit, leaves space for a compaction.
    bool hasSpaceToCompact() const;
    std::uint64_t logBytes() const { return m_logBytes; }

private:
    durable_log(std::string folder, std::uint64_t maxBytes);
    std::uint64_t freeDiskBytes() const;

    absl::Status lock();
    absl::Status removePartialFiles();
    absl::Status loadIdentity();
    absl::Status loadSnapshot();
    absl::Status loadLog();
    absl::Status writeAll(int file, const std::string& bytes);
    absl::Status writeFileAtomically(const std::string& name, const std::string& bytes);
    absl::Status openLogForAppend();
    absl::Status rewriteLog(const core::hard_state& hard, const std::vector<core::log_entry>& entries);
    absl::Status ioError(const std::string& operation, const std::string& name) const;
    std::string pathOf(const std::string& name) const { return m_folder + '/' + name; }

    std::string m_folder;
    std::uint64_t m_maxBytes;
    int m_lockFile = -1;
    int m_logFile = -1;
    std::uint64_t m_logBytes = 0;
    std::uint64_t m_snapshotBytes = 0;
    core::raft_disk_state m_state;
    core::hard_state m_hard;
};

} // namespace plumfold::control
