#include "plumfold_stream_origins.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

#include <map>

namespace plumfold::control {

namespace {

constexpr std::size_t maxStreams = 200'000;

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
    std::map<std::string, bool> isWritten; // by service
    for (const auto& each : records) {
        m_table.record(each, now);
        const auto& service = each.origin.service;
        auto [known, isNew] = isWritten.try_emplace(service, false);
        if (isNew)
            known->second = m_journal && m_versions.versionsOf(service).size() > 1;
        if (!known->second) {
            m_written.erase(service);
        } else if (m_written.insert(service).second) {
            // Streams that began before the second version was known go on beside it.
            for (auto& former : m_table.recordsOf(service, now))
                m_journal->append(std::move(former));
        } else {
            m_journal->append(each);
        }
    }
}

std::optional<core::stream_origin> stream_origins::find(std::uint64_t stream) const
{
    return m_table.find(stream, runtime::now());
}

} // namespace plumfold::control
