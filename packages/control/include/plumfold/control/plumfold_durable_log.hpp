#pragma once

#include "plumfold/core/plumfold_raft_node.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace plumfold::control {

/// The data folder of one control VM: identity, lock, snapshot and write-ahead log. Nothing counts as written
/// before sync() has returned OK.
class durable_log {
public:
    /// Opens a data folder, creating it when it does not exist. A torn write at the end of the log is cut
    /// off.
    /// @param maxBytes changes are refused beyond; 0 for no limit.
    /// @return failed_precondition when another process uses the folder, data_loss when a record in the
    /// middle is damaged; the message names the remedy.
    static absl::StatusOr<std::unique_ptr<durable_log>> open(
        const std::string& folder, std::uint64_t maxBytes);

    /// Reads a folder without changing it.
    static absl::StatusOr<core::raft_disk_state> inspect(const std::string& folder);

    ~durable_log();
    durable_log(const durable_log&) = delete;
    durable_log& operator=(const durable_log&) = delete;

    /// @return what the folder held when it was opened.
    core::raft_disk_state takeState() { return std::move(m_state); }

    /// Bootstraps the group with a fixed list of voters, as each of them does by itself when the whole system
    /// starts for the first time. Does nothing if the folder already holds state.
    /// @param initialMembers addresses of all initial voters, including this VM's; the same list on each.
    absl::Status bootstrap(const std::vector<std::string>& initialMembers);

    /// Writes the persistent part of a node's work and syncs it.
    absl::Status persist(const core::raft_output& work);

    /// Replaces the log up to the snapshot's index.
    /// @param hard the present hard state.
    /// @param entries the entries after the snapshot.
    absl::Status compact(const core::raft_snapshot& snapshot, const core::hard_state& hard,
        const std::vector<core::log_entry>& entries);

    /// @return whether there is room for a change.
    bool hasFreeSpace() const;
    std::uint64_t logBytes() const { return m_logBytes; }

private:
    durable_log(std::string folder, std::uint64_t maxBytes);

    absl::Status lock();
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
