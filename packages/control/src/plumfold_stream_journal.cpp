#include "plumfold_stream_journal.hpp"

#include "plumfold_record_frame.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <absl/strings/str_cat.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/statvfs.h>
#include <unistd.h>

namespace plumfold::control {

namespace {

/// Records of this time share a sync. Those that were appended last are lost with the power.
constexpr core::milliseconds syncInterval { 100 };
constexpr std::chrono::hours idleWait { 1 };
constexpr std::size_t maxWaiting = 8'192;
/// Left to the replicated log, which a control VM cannot do without.
constexpr std::uint64_t reservedBytes = 32 << 20;

} // namespace

stream_journal::stream_journal(std::string folder)
    : m_folder(std::move(folder))
    , m_ring(maxWaiting)
{
    for (std::size_t segment = 0; segment < segments; ++segment)
        load(segment);
    if (!m_records.empty())
        runtime::log_event("stream_journal_read").with("records", m_records.size());
    m_thread = std::thread([this] { run(); });
}

stream_journal::~stream_journal()
{
    m_ring.close();
    m_thread.join();
    for (int file : m_files) {
        if (file >= 0)
            ::close(file);
    }
}

std::string stream_journal::pathOf(std::size_t segment) const
{
    return absl::StrCat(m_folder, "/streams-", segment);
}

/// Reads a segment up to its end, or to a record that was torn or damaged.
void stream_journal::load(std::size_t segment)
{
    auto bytes = readFile(pathOf(segment));
    auto now = runtime::now();
    while (true) {
        auto record = readFrame(bytes, m_bytes[segment]);
        if (record.state != frame_state::valid)
            return;
        try {
            m_records.push_back(wire::decode<wire::StreamRecord>(record.payload));
        } catch (const kj::Exception&) {
            return; // written by a later version
        }
        auto size = frameHeaderBytes + record.payload.size();
        m_bytes[segment] += size;
        m_rotation.onAppended(segment, size, now + m_records.back().keepFor);
    }
}

/// Opens a segment, and creates it if it does not exist.
absl::Status stream_journal::open(std::size_t segment)
{
    m_files[segment] = ::open(pathOf(segment).c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    if (m_files[segment] < 0)
        return absl::UnavailableError(
            absl::StrCat(pathOf(segment), ": cannot be opened (", std::strerror(errno), ")"));
    int folder = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0)
        return absl::UnavailableError(absl::StrCat(m_folder, ": cannot be opened"));
    bool isSynced = ::fsync(folder) == 0;
    ::close(folder);
    return isSynced ? absl::OkStatus() : absl::UnavailableError(absl::StrCat(m_folder, ": cannot be synced"));
}

void stream_journal::append(core::stream_record record)
{
    bool isDropped = !m_ring.tryPush(std::move(record));
    if (std::exchange(m_isDropping, isDropped) != isDropped)
        runtime::log_event(isDropped ? "stream_records_dropped" : "stream_records_kept",
            isDropped ? runtime::log_level::warning : runtime::log_level::info);
}

void stream_journal::run()
{
    while (auto first = m_ring.pop(idleWait)) {
        auto flushAt = runtime::now() + syncInterval;
        std::vector<core::stream_record> batch { std::move(*first) };
        while (auto next = m_ring.pop(std::max(flushAt - runtime::now(), core::instant::duration(0)))) {
            batch.push_back(std::move(*next));
            if (batch.size() >= maxWaiting)
                break;
        }
        write(std::move(batch));
    }
}

void stream_journal::write(std::vector<core::stream_record> batch)
{
    auto now = runtime::now();
    std::string bytes;
    core::milliseconds longest { 0 };
    for (const auto& each : batch) {
        bytes += frame(wire::encode<wire::StreamRecord>(each));
        longest = std::max(longest, each.keepFor);
    }
    if (m_rotation.isDue(now)) {
        m_rotation.rotate();
        m_bytes[m_rotation.current()] = 0;
    }
    auto status = hasFreeSpace() ? writeBytes(bytes) : absl::ResourceExhaustedError("no room on the disk");
    if (status.ok())
        m_rotation.onAppended(m_rotation.current(), bytes.size(), now + longest);
    if (std::exchange(m_isFailing, !status.ok()) != !status.ok())
        runtime::log_event(status.ok() ? "stream_journal_regained" : "stream_journal_failed",
            status.ok() ? runtime::log_level::info : runtime::log_level::warning)
            .with("reason", std::string(status.message()));
}

/// Appends bytes to the current segment behind those that are known to be whole, and syncs them.
absl::Status stream_journal::writeBytes(const std::string& bytes)
{
    auto segment = m_rotation.current();
    if (m_files[segment] < 0) {
        if (auto status = open(segment); !status.ok())
            return status;
    }
    int file = m_files[segment];
    bool isWritten = ::ftruncate(file, static_cast<off_t>(m_bytes[segment])) == 0;
    for (std::size_t written = 0; isWritten && written < bytes.size();) {
        auto count = ::write(file, bytes.data() + written, bytes.size() - written);
        isWritten = count > 0 || (count < 0 && errno == EINTR);
        written += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    if (!isWritten || ::fdatasync(file) != 0)
        return absl::UnavailableError(
            absl::StrCat(pathOf(segment), ": cannot be written (", std::strerror(errno), ")"));
    m_bytes[segment] += bytes.size();
    return absl::OkStatus();
}

bool stream_journal::hasFreeSpace() const
{
    struct statvfs disk { };
    return ::statvfs(m_folder.c_str(), &disk) == 0
        && static_cast<std::uint64_t>(disk.f_bavail) * disk.f_frsize > reservedBytes;
}

} // namespace plumfold::control
