#include "plumfold/core/plumfold_report_relay.hpp"

namespace plumfold::core {

report_relay::report_relay(bool sameDomain, milliseconds refresh)
    : m_sameDomain(sameDomain)
    , m_refresh(refresh)
{
}

bool report_relay::needsImmediateRelay(const target_report& before, const target_report& now) const
{
    bool loadChanged = before.running != now.running || before.queued != now.queued;
    if (m_sameDomain && loadChanged)
        return true;
    target_report sameLoad = before;
    sameLoad.running = now.running;
    sameLoad.queued = now.queued;
    sameLoad.sequence = now.sequence;
    return sameLoad != now;
}

bool report_relay::markSentIfDue(const target_report& report, instant now)
{
    auto [place, isNew] = m_sent.try_emplace(report.name);
    sent_report& sent = place->second;
    bool isSameReport
        = !isNew && sent.report.sequence == report.sequence && sent.report.incarnation == report.incarnation;
    bool due
        = isNew || needsImmediateRelay(sent.report, report) || (!isSameReport && now - sent.at >= m_refresh);
    if (due)
        sent = { report, now };
    return due;
}

} // namespace plumfold::core
