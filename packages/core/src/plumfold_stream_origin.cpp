#include "plumfold/core/plumfold_stream_origin.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>

namespace plumfold::core {

std::uint64_t streamNumber(const std::string& customer, const std::string& requestId)
{
    return hashBytes(requestId, hashBytes(customer));
}

void stream_origin_table::record(const stream_record& record, instant now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now)
        dropFirst();
    auto keptUntil = now + std::min(record.keepFor, maxStreamKeepTime);
    auto [place, isNew] = m_streams.try_emplace(record.stream, known_stream { record.origin, keptUntil });
    auto& known = place->second;
    if (isNew) {
        m_expiries.emplace(keptUntil, record.stream);
        if (m_streams.size() > m_maxStreams)
            dropFirst();
        return;
    }
    known.isAmbiguous = known.isAmbiguous || known.origin != record.origin;
    if (keptUntil <= known.keptUntil)
        return;
    auto [first, last] = m_expiries.equal_range(known.keptUntil);
    m_expiries.erase(
        std::find_if(first, last, [&](const auto& each) { return each.second == record.stream; }));
    m_expiries.emplace(keptUntil, record.stream);
    known.keptUntil = keptUntil;
}

std::optional<stream_origin> stream_origin_table::find(std::uint64_t stream, instant now) const
{
    auto found = m_streams.find(stream);
    if (found == m_streams.end() || found->second.isAmbiguous || found->second.keptUntil <= now)
        return std::nullopt;
    return found->second.origin;
}

std::vector<stream_record> stream_origin_table::recordsOf(const std::string& service, instant now) const
{
    std::vector<stream_record> records;
    for (const auto& [stream, known] : m_streams) {
        if (known.origin.service == service && !known.isAmbiguous && known.keptUntil > now)
            records.push_back(
                { stream, known.origin, std::chrono::ceil<milliseconds>(known.keptUntil - now) });
    }
    return records;
}

void origin_search::addAnswer(const std::string& from, const origin_answer& answer)
{
    if (!m_known)
        m_known = answer.origin;
    m_answered.insert(from);
    m_members.insert(answer.members.begin(), answer.members.end());
    m_softwareVersions.insert(answer.softwareVersions.begin(), answer.softwareVersions.end());
}

std::optional<stream_origin> origin_search::result() const
{
    if (m_known)
        return m_known;
    bool haveAllAnswered = !m_members.empty()
        && std::includes(m_answered.begin(), m_answered.end(), m_members.begin(), m_members.end());
    bool isOnlyVersion = m_softwareVersions.size() == 1 && !m_softwareVersions.begin()->empty();
    if (m_service.empty() || !haveAllAnswered || !isOnlyVersion)
        return std::nullopt;
    return stream_origin { m_service, *m_softwareVersions.begin() };
}

void stream_origin_table::dropFirst()
{
    m_streams.erase(m_expiries.begin()->second);
    m_expiries.erase(m_expiries.begin());
}

} // namespace plumfold::core
