#include "plumfold/control/plumfold_durable_log.hpp"

#include "plumfold_record_frame.hpp"

#include "plumfold/runtime/plumfold_secrets.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <absl/strings/str_cat.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/file.h>
#include <sys/statvfs.h>
#include <unistd.h>

namespace plumfold::control {

namespace {

constexpr const char* identityName = "identity";
constexpr const char* lockName = "lock";
constexpr const char* snapshotName = "snapshot";
constexpr const char* logName = "log";
/// Appended to the name of a file while its new contents are written.
constexpr const char* partialSuffix = ".new";
constexpr std::uint64_t initialIncarnation = 1; // a replaced data folder gets a random one
constexpr std::uint64_t reservedBytes = 64 << 10; // for hard states and truncations on a full disk

void applyRecord(core::raft_disk_state& state, wire::wal_record record)
{
    auto& entries = state.entries;
    if (auto* hard = std::get_if<core::hard_state>(&record)) {
        state.hard = std::move(*hard);
    } else if (auto* from = std::get_if<std::uint64_t>(&record)) {
        std::erase_if(entries, [&](const core::log_entry& e) { return e.index >= *from; });
    } else {
        auto& entry = std::get<core::log_entry>(record);
        if (entry.index > state.snapshot.index)
            entries.push_back(std::move(entry));
    }
}

struct loaded_log {
    absl::Status status;
    std::size_t validBytes = 0; ///< Size of the log without a torn write at its end.
};

/// Replays the log into a state, up to its end or a torn write.
loaded_log loadRecords(const std::string& path, core::raft_disk_state& state)
{
    loaded_log result;
    std::string bytes = readFile(path);
    while (true) {
        frame_result record = readFrame(bytes, result.validBytes);
        if (record.state == frame_state::end || record.state == frame_state::torn)
            return result;
        if (record.state == frame_state::corrupt) {
            result.status = absl::DataLossError(absl::StrCat(path, ": the record at byte ", result.validBytes,
                " is damaged: move the data folder away and start with an empty one; the other control VMs "
                "will fill it"));
            return result;
        }
        applyRecord(state, wire::decode<wire::WalRecord>(record.payload));
        result.validBytes += frameHeaderBytes + record.payload.size();
    }
}

absl::Status loadSnapshotFile(const std::string& path, core::raft_disk_state& state)
{
    if (!std::filesystem::exists(path))
        return absl::OkStatus();
    std::string bytes = readFile(path);
    frame_result record = readFrame(bytes, 0);
    if (record.state != frame_state::valid)
        return absl::DataLossError(absl::StrCat(path,
            ": the snapshot is damaged: move the data folder away and start with an empty one; the other "
            "control VMs will "
            "fill it"));
    state.snapshot = wire::decode<wire::RaftSnapshot>(record.payload);
    return absl::OkStatus();
}

} // namespace

durable_log::durable_log(std::string folder, std::uint64_t maxBytes)
    : m_folder(std::move(folder))
    , m_maxBytes(maxBytes)
{
}

durable_log::~durable_log()
{
    if (m_logFile >= 0)
        ::close(m_logFile);
    if (m_lockFile >= 0)
        ::close(m_lockFile);
}

absl::Status durable_log::ioError(const std::string& operation, const std::string& name) const
{
    return absl::UnavailableError(absl::StrCat(pathOf(name), ": cannot ", operation, " (",
        std::strerror(errno), "): check the disk and its free space"));
}

absl::StatusOr<std::unique_ptr<durable_log>> durable_log::open(
    const std::string& folder, std::uint64_t maxBytes)
{
    std::unique_ptr<durable_log> log(new durable_log(folder, maxBytes));
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error)
        return absl::UnavailableError(
            absl::StrCat(folder, ": cannot be created: check the path and its rights"));
    using step = absl::Status (durable_log::*)();
    constexpr step steps[]
        = { &durable_log::lock, &durable_log::removePartialFiles, &durable_log::loadIdentity,
              &durable_log::loadSnapshot, &durable_log::loadLog, &durable_log::openLogForAppend };
    for (step next : steps) {
        if (auto status = ((*log).*next)(); !status.ok())
            return status;
    }
    return log;
}

absl::StatusOr<core::raft_disk_state> durable_log::inspect(const std::string& folder)
{
    core::raft_disk_state state;
    std::string identity = readFile(folder + '/' + identityName);
    if (identity.empty())
        return absl::NotFoundError(
            absl::StrCat(folder, ": is not a data folder: give the dataFolder of a control VM"));
    state.incarnation = std::stoull(identity);
    if (auto status = loadSnapshotFile(folder + '/' + snapshotName, state); !status.ok())
        return status;
    if (auto loaded = loadRecords(folder + '/' + logName, state); !loaded.status.ok())
        return loaded.status;
    return state;
}

absl::Status durable_log::lock()
{
    m_lockFile = ::open(pathOf(lockName).c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (m_lockFile < 0)
        return ioError("open", lockName);
    if (::flock(m_lockFile, LOCK_EX | LOCK_NB) != 0)
        return absl::FailedPreconditionError(absl::StrCat(
            m_folder, ": another process uses this data folder: stop it or give another folder"));
    return absl::OkStatus();
}

/// Removes what a process left that ended while it replaced a file. It would keep space that the log needs.
absl::Status durable_log::removePartialFiles()
{
    for (const char* name : { identityName, snapshotName, logName }) {
        if (::unlink(pathOf(std::string(name) + partialSuffix).c_str()) != 0 && errno != ENOENT)
            return ioError("remove", std::string(name) + partialSuffix);
    }
    return absl::OkStatus();
}

absl::Status durable_log::loadIdentity()
{
    std::string identity = readFile(pathOf(identityName));
    if (identity.empty()) {
        // A log without an identity means that files were lost; creating a new identity would hide the loss.
        if (std::filesystem::exists(pathOf(logName)))
            return absl::DataLossError(absl::StrCat(m_folder,
                ": the identity is missing: move the data folder away and start with an empty one"));
        identity = std::to_string(runtime::randomNumber() | 1);
        if (auto status = writeFileAtomically(identityName, identity); !status.ok())
            return status;
    }
    m_state.incarnation = std::stoull(identity);
    return absl::OkStatus();
}

absl::Status durable_log::bootstrap(const std::vector<std::string>& initialMembers)
{
    bool isEmpty = m_state.snapshot.index == 0 && m_state.entries.empty() && m_state.hard.term == 0;
    if (!isEmpty)
        return absl::OkStatus();
    core::raft_snapshot first;
    first.index = 1;
    first.term = 1;
    for (const auto& address : initialMembers)
        first.members.members.push_back({ address, initialIncarnation, true, address });
    first.state = wire::encode<wire::ControlSnapshot>(core::control_snapshot());
    if (auto status = writeFileAtomically(identityName, std::to_string(initialIncarnation)); !status.ok())
        return status;
    if (auto status = compact(first, core::hard_state { 1, {} }, {}); !status.ok())
        return status;
    m_state.incarnation = initialIncarnation;
    m_state.snapshot = std::move(first);
    m_state.hard.term = 1;
    return absl::OkStatus();
}

absl::Status durable_log::loadSnapshot()
{
    std::error_code error;
    m_snapshotBytes = std::filesystem::file_size(pathOf(snapshotName), error);
    if (error)
        m_snapshotBytes = 0;
    return loadSnapshotFile(pathOf(snapshotName), m_state);
}

absl::Status durable_log::loadLog()
{
    loaded_log loaded = loadRecords(pathOf(logName), m_state);
    if (!loaded.status.ok())
        return loaded.status;
    m_logBytes = loaded.validBytes;
    m_hard = m_state.hard;
    if (std::filesystem::exists(pathOf(logName))
        && ::truncate(pathOf(logName).c_str(), static_cast<off_t>(m_logBytes)) != 0)
        return ioError("truncate", logName);
    return absl::OkStatus();
}

absl::Status durable_log::openLogForAppend()
{
    if (m_logFile >= 0)
        ::close(m_logFile);
    m_logFile = ::open(pathOf(logName).c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    if (m_logFile < 0)
        return ioError("open", logName);
    if (::fsync(m_logFile) != 0)
        return ioError("sync", logName);
    return absl::OkStatus();
}

absl::Status durable_log::writeAll(int file, const std::string& bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        ssize_t count = ::write(file, bytes.data() + written, bytes.size() - written);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return ioError("write", logName);
        written += static_cast<std::size_t>(count);
    }
    return absl::OkStatus();
}

absl::Status durable_log::writeFileAtomically(const std::string& name, const std::string& bytes)
{
    std::string temporary = name + partialSuffix;
    int file = ::open(pathOf(temporary).c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
    if (file < 0)
        return ioError("open", temporary);
    absl::Status status = writeAll(file, bytes);
    if (status.ok() && ::fsync(file) != 0)
        status = ioError("sync", temporary);
    ::close(file);
    if (status.ok() && ::rename(pathOf(temporary).c_str(), pathOf(name).c_str()) != 0)
        status = ioError("rename", temporary);
    if (!status.ok()) {
        // On a full disk, the part that was written would take the space that the log needs.
        ::unlink(pathOf(temporary).c_str());
        return status;
    }
    int folder = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0)
        return ioError("open", "");
    bool synced = ::fsync(folder) == 0;
    ::close(folder);
    return synced ? absl::OkStatus() : ioError("sync", "");
}

absl::Status durable_log::persist(const core::raft_output& output)
{
    if (output.install) {
        core::hard_state hard = output.hard.value_or(m_hard);
        if (auto status = compact(*output.install, hard, output.append); !status.ok())
            return status;
        return absl::OkStatus();
    }
    std::string bytes;
    if (output.truncateFrom)
        bytes += frame(wire::encode<wire::WalRecord>(wire::wal_record(*output.truncateFrom)));
    for (const auto& entry : output.append)
        bytes += frame(wire::encode<wire::WalRecord>(wire::wal_record(entry)));
    if (output.hard) {
        bytes += frame(wire::encode<wire::WalRecord>(wire::wal_record(*output.hard)));
        m_hard = *output.hard;
    }
    if (auto status = writeAll(m_logFile, bytes); !status.ok())
        return status;
    if (::fdatasync(m_logFile) != 0)
        return ioError("sync", logName);
    m_logBytes += bytes.size();
    return absl::OkStatus();
}

absl::Status durable_log::compact(const core::raft_snapshot& snapshot, const core::hard_state& hard,
    const std::vector<core::log_entry>& entries)
{
    std::string bytes = frame(wire::encode<wire::RaftSnapshot>(snapshot));
    if (auto status = writeFileAtomically(snapshotName, bytes); !status.ok())
        return status;
    m_snapshotBytes = bytes.size();
    m_hard = hard;
    return rewriteLog(hard, entries);
}

absl::Status durable_log::rewriteLog(
    const core::hard_state& hard, const std::vector<core::log_entry>& entries)
{
    std::string bytes = frame(wire::encode<wire::WalRecord>(wire::wal_record(hard)));
    for (const auto& entry : entries)
        bytes += frame(wire::encode<wire::WalRecord>(wire::wal_record(entry)));
    if (auto status = writeFileAtomically(logName, bytes); !status.ok())
        return status;
    m_logBytes = bytes.size();
    return openLogForAppend();
}

std::uint64_t durable_log::freeDiskBytes() const
{
    struct statvfs disk { };
    if (::statvfs(m_folder.c_str(), &disk) != 0)
        return 0;
    return static_cast<std::uint64_t>(disk.f_bavail) * disk.f_frsize;
}

bool durable_log::hasFreeSpace() const
{
    if (m_maxBytes > 0 && m_logBytes + m_snapshotBytes + reservedBytes > m_maxBytes)
        return false;
    return freeDiskBytes() > reservedBytes + m_snapshotBytes;
}

bool durable_log::hasSpaceToCompact() const
{
    // The new snapshot holds at most the old one and the entries; the new log holds a part of them.
    return freeDiskBytes() > reservedBytes + m_snapshotBytes + 2 * m_logBytes;
}

} // namespace plumfold::control
