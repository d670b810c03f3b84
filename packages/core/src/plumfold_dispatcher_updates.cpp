// Updates from targets, control and other entries, and periodic work of the dispatcher.

#include "plumfold/core/plumfold_dispatcher.hpp"

namespace plumfold::core {

namespace {

constexpr milliseconds retryAfterShort { 500 };
constexpr milliseconds ownerUnreachableBackOff { 200 };

} // namespace

dispatcher::actions dispatcher::onReport(const target_report& report, instant sentAt, instant now)
{
    actions out;
    const known_target* before = m_targets.find(report.name);
    bool restarted = before && before->report.incarnation != report.incarnation;
    if (!m_targets.update(report, sentAt))
        return out;
    m_permitBackOffUntil.erase(report.name);
    if (restarted)
        m_prefixes.remove(report.name);
    if (m_entries.ownerOf(report.name, report.failureDomain) == m_options.entry)
        m_ledger.onReport(report, now);
    dispatchWaiting(now, out);
    return out;
}

dispatcher::actions dispatcher::onConfiguration(
    const configuration_update& update, bool& applied, instant now)
{
    actions out;
    applied = m_view.apply(update);
    dispatchWaiting(now, out);
    return out;
}

dispatcher::actions dispatcher::tick(instant now)
{
    actions out;
    m_targets.expire(now);
    m_entries.expire(now);
    m_ledger.expire(now);
    m_suspects.expire(now);
    std::erase_if(m_permitBackOffUntil, [&](const auto& each) { return each.second <= now; });
    rejectExpired(now, out);
    if (now >= m_nextRenewal) {
        m_nextRenewal = now + m_options.permitLease / 4;
        renewPermits(now, out);
    }
    dispatchWaiting(now, out);
    std::erase_if(m_classes, [&](const auto& each) {
        return each.second.queue.size() == 0
            && now - each.second.predictor.lastUsed() > std::chrono::minutes(1);
    });
    return out;
}

void dispatcher::rejectExpired(instant now, actions& out)
{
    for (auto& [name, requestClass] : m_classes) {
        for (request_number request : requestClass.queue.expire(now)) {
            reject(request,
                makeError(error_kind::deadline_unreachable, run_state::not_run,
                    "the deadline passed before a target was free: come back later or allow more time",
                    retryAfterShort),
                out);
        }
    }
}

void dispatcher::renewPermits(instant now, actions& out)
{
    std::map<std::string, std::vector<permit_id>> held;
    for (const auto& [number, request] : m_requests) {
        if (request.stage == request_stage::running)
            held[request.plan.owner].push_back(request.plan.permit);
    }
    for (auto& [owner, permits] : held) {
        if (owner == m_options.entry)
            m_ledger.renew(m_options.entry, permits, now);
        else
            out.push_back(renew_permits_action { owner, std::move(permits) });
    }
}

// ---------------------------------------------------------------- permits for other entries

permit_answer dispatcher::acquireForPeer(const permit_request& request, instant now)
{
    const known_target* target = m_targets.find(request.target);
    if (!target || m_entries.ownerOf(request.target, target->report.failureDomain) != m_options.entry)
        return permit_answer { false, 0, 0, ownerUnreachableBackOff };
    return m_ledger.acquire(request, now);
}

dispatcher::actions dispatcher::releaseForPeer(
    permit_id permit, const attempt_measurement& measure, instant now)
{
    actions out;
    m_ledger.release(permit, measure);
    dispatchWaiting(now, out);
    return out;
}

void dispatcher::renewForPeer(const std::string& holder, const std::vector<permit_id>& permits, instant now)
{
    m_ledger.renew(holder, permits, now);
}

} // namespace plumfold::core
