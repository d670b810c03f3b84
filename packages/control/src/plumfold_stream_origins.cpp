#include "plumfold_stream_origins.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

namespace plumfold::control {

namespace {

constexpr std::size_t maxStreams = 200'000;
constexpr core::milliseconds versionsInterval { 200 }; // at which the versions of a service are counted

} // namespace

stream_origins::stream_origins(const software_versions& versions, const std::string& folder)
    : m_versions(versions)
    , m_table(maxStreams)
{
    if (folder.empty())
        return;
    m_journal = std::make_unique<stream_journal>(folder);
    for (const auto& each : m_journal->takeRecords())
        m_table.record(each, runtime::now());
}

void stream_origins::record(const std::vector<core::stream_record>& records)
{
    auto now = runtime::now();
    for (const auto& each : records) {
        m_table.record(each, now);
        if (m_journal)
            write(each, now);
    }
}

/// Writes a record of a service with several versions. With the first one, those of streams that began before
/// the second version was known are written.
void stream_origins::write(const core::stream_record& record, core::instant now)
{
    const auto& service = record.origin.service;
    auto& known = m_services[service];
    bool wasWritten = known.isWritten;
    if (now - known.checkedAt >= versionsInterval)
        known = { now, m_versions.versionsOf(service).size() > 1 };
    if (!known.isWritten)
        return;
    if (wasWritten) {
        m_journal->append(record);
        return;
    }
    for (auto& each : m_table.recordsOf(service, now))
        m_journal->append(std::move(each));
}

std::optional<core::stream_origin> stream_origins::find(std::uint64_t stream) const
{
    return m_table.find(stream, runtime::now());
}

} // namespace plumfold::control
