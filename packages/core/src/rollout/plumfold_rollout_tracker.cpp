#include "plumfold/core/rollout/plumfold_rollout_tracker.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

constexpr milliseconds windowTime { 500 };
/// Entries report every 500 ms, and control VMs share reports every 150 ms.
constexpr milliseconds settleTime { 1'000 };
constexpr milliseconds rateTime { 2'000 };
constexpr milliseconds disturbanceTime { 5'000 };
/// An entry that is cut off goes back to former targets 2 s after its latest update, so an older report of it
/// says nothing about the present.
constexpr milliseconds maxReportAge { 1'200 };
/// An entry that has not reported for this long is gone: it was replaced or removed. It is longer than a
/// failure domain is usually cut off.
constexpr milliseconds goneTime { 12'000 };

milliseconds between(instant from, instant to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace

rollout_tracker::rollout_tracker(const rollout_record& record, instant now)
    : m_firstSeenAt(now)
    , m_windowAt(now)
    , m_share(record.share)
    , m_shareSequence(record.sequence)
    , m_shareAt(now)
{
}

void rollout_tracker::add(const rollout_report& report, instant now)
{
    if (m_evidence.add(report))
        m_reportedAt[report.entry] = now;
}

void rollout_tracker::update(const rollout_record& record, instant now)
{
    if (record.share != m_share) {
        m_share = record.share;
        m_shareSequence = record.sequence;
        m_shareNextRequests = m_evidence.totals().nextRequests;
        m_shareAt = now;
    }
    if (!m_isRestored && isSettled(now)) {
        m_evidence.restore(record.totals);
        m_isRestored = true;
    }
    if (now - m_windowAt < windowTime)
        return;
    m_windowAt = now;
    m_evidence.closeWindow();
    m_assessment = m_judge.assess(m_evidence);
    if (!m_isRestored)
        return;
    auto totals = m_evidence.totals();
    m_requests.emplace_back(now, totals.formerRequests + totals.nextRequests);
    while (m_requests.size() > 2 && now - m_requests.front().first > rateTime)
        m_requests.pop_front();
}

bool rollout_tracker::isSettled(instant now) const
{
    return now - m_firstSeenAt >= settleTime;
}

rollout_situation rollout_tracker::situation(const std::string& service, const rollout_record& record,
    const target_directory& directory, milliseconds elapsed, instant now) const
{
    rollout_situation out;
    out.elapsed = elapsed;
    out.sinceDecision = between(m_shareAt, now);
    out.totals = m_evidence.totals();
    out.totals.nextBad = m_assessment.nextBad;
    out.nextSinceShare = out.totals.nextRequests - std::min(out.totals.nextRequests, m_shareNextRequests);
    if (m_requests.size() >= 2) {
        auto span = std::chrono::duration<double>(m_requests.back().first - m_requests.front().first);
        auto requests = static_cast<double>(m_requests.back().second - m_requests.front().second);
        out.requestsPerSecond = requests / span.count();
    }
    for (const auto& [name, target] : directory.entries()) {
        if (target.last.service != service)
            continue;
        bool isSilent = target.last.state == target_state::silent;
        out.isDisturbed = out.isDisturbed || (isSilent && now - target.lastSeenAt < disturbanceTime);
        if (target.last.state != target_state::ready || target.coldUntil > now)
            continue;
        if (target.last.softwareVersion == record.version) {
            ++out.nextTargets;
            out.nextSlots += target.last.slots;
        } else if (!record.endedVersions.contains(target.last.softwareVersion)) {
            out.formerSlots += target.last.slots;
        }
    }
    addEntries(out, rollout_planner::recentTime(record, elapsed), now);
    return out;
}

void rollout_tracker::addEntries(rollout_situation& out, milliseconds recentTime, instant now) const
{
    for (const auto* report : m_evidence.currentReports()) {
        auto age = between(m_reportedAt.at(report->entry), now);
        if (age > goneTime)
            continue;
        bool isLate = report->decision < m_shareSequence;
        bool isRecent = age <= recentTime;
        ++out.entries;
        out.silentEntries += age > maxReportAge ? 1 : 0;
        out.lateEntries += isLate ? 1 : 0;
        out.formerInFlight += report->formerInFlight;
        out.recentEntries += isRecent ? 1 : 0;
        out.recentLateEntries += isLate && isRecent ? 1 : 0;
        out.isDisturbed = out.isDisturbed || (!isRecent && age < recentTime + disturbanceTime);
    }
}

} // namespace plumfold::core
