#include "plumfold/core/rollout/plumfold_rollout_evidence.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

/// @return next - last; 0 where that is negative, which only a faulty entry reports.
std::uint64_t increase(std::uint64_t next, std::uint64_t last)
{
    return next > last ? next - last : 0;
}

rollout_counts increase(const rollout_counts& next, const rollout_counts& last)
{
    rollout_counts out;
    out.failures = increase(next.failures, last.failures);
    for (std::size_t index = 0; index < out.latencies.size(); ++index)
        out.latencies[index] = increase(next.latencies[index], last.latencies[index]);
    return out;
}

} // namespace

bool rollout_evidence::add(const rollout_report& report)
{
    auto [known, isNew] = m_reports.try_emplace({ report.entry, report.incarnation });
    auto& last = known->second;
    if (!isNew && report.number <= last.number)
        return false;
    strata lastRows;
    for (const auto& row : last.rows) {
        auto& counts = lastRows[row.stratum];
        counts.former += row.former;
        counts.next += row.next;
    }
    strata nextRows;
    for (const auto& row : report.rows) {
        auto& counts = nextRows[row.stratum];
        counts.former += row.former;
        counts.next += row.next;
    }
    for (const auto& [stratum, counts] : nextRows) {
        const auto& before = lastRows[stratum];
        auto former = increase(counts.former, before.former);
        auto next = increase(counts.next, before.next);
        for (auto* sums : { &m_sums, &m_open }) {
            (*sums)[stratum].former += former;
            (*sums)[stratum].next += next;
        }
    }
    m_requests.formerRequests += increase(report.formerRequests, last.formerRequests);
    m_requests.nextRequests += increase(report.nextRequests, last.nextRequests);
    m_current[report.entry] = report.incarnation;
    last = report;
    return true;
}

void rollout_evidence::closeWindow()
{
    m_windows.push_back(std::move(m_open));
    m_open.clear();
    if (m_windows.size() > maxWindows)
        m_windows.pop_front();
}

void rollout_evidence::restore(const rollout_totals& recorded)
{
    m_restored.formerRequests = increase(recorded.formerRequests, m_requests.formerRequests);
    m_restored.nextRequests = increase(recorded.nextRequests, m_requests.nextRequests);
}

rollout_totals rollout_evidence::totals() const
{
    return { m_requests.formerRequests + m_restored.formerRequests,
        m_requests.nextRequests + m_restored.nextRequests, 0 };
}

std::vector<const rollout_report*> rollout_evidence::currentReports() const
{
    std::vector<const rollout_report*> out;
    for (const auto& [entry, incarnation] : m_current)
        out.push_back(&m_reports.at({ entry, incarnation }));
    return out;
}

} // namespace plumfold::core
