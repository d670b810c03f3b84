#include "plumfold_entry_rollouts.hpp"

#include "plumfold/core/rollout/plumfold_rollout_names.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"

#include <algorithm>
#include <numeric>

namespace plumfold::forwarding {

namespace {

constexpr core::milliseconds reportInterval { 500 };
/// Large reports are sent less often, so that they stay below this rate.
constexpr double maxReportBytesPerMs = 2;
/// Sent at once after a time without reports.
constexpr double maxReportBurstBytes = 2'000;
constexpr const char* cohortNames[] = { "none", "former", "next" };

} // namespace

const char* nameOf(core::rollout_cohort cohort)
{
    return cohortNames[static_cast<int>(cohort)];
}

entry_rollouts::entry_rollouts(const runtime::settings& settings, runtime::metrics& metrics,
    core::target_selector& selector, const reporter& report)
    : m_isEnabled(settings.forwarding->rollouts)
    , m_metrics(metrics)
    , m_selector(selector)
    , m_report(report)
    , m_recorder(settings.process.name, runtime::randomNumber())
{
}

void entry_rollouts::apply(const std::map<std::string, core::rollout_record>& rollouts)
{
    if (!m_isEnabled || rollouts == m_rollouts)
        return;
    for (const auto& [service, next] : rollouts) {
        const auto& known = m_rollouts[service];
        bool isNew = known.id != next.id;
        if (!isNew && known.sequence == next.sequence)
            continue;
        // Checkpoints change the totals only.
        if (!isNew && known.share == next.share && known.state == next.state && known.stage == next.stage)
            continue;
        runtime::log_event("rollout_in_force")
            .with("service", service)
            .with("rollout", next.id)
            .with("version", next.version)
            .with("state", core::rolloutStateName(next.state))
            .with("stage", core::rolloutStageName(next.stage))
            .with("share", next.share)
            .with("sequence", next.sequence)
            .with("reason", next.reason.empty() ? std::string("none") : next.reason);
        m_metrics.set("plumfold_entry_rollout_share{service=\"" + service + "\"}",
            static_cast<double>(next.share) / core::rolloutFullShare);
        m_mustReport = true;
    }
    m_rollouts = rollouts;
    m_recorder.setRollouts(rollouts);
    m_selector.setRollouts(rollouts, runtime::now());
    logVersions();
    reportIfDue();
}

void entry_rollouts::onConfirmed(core::instant askedAt)
{
    if (!m_isEnabled)
        return;
    m_confirmedAt = std::max(m_confirmedAt, askedAt);
    m_selector.onRolloutsConfirmed(askedAt, runtime::now());
    logVersions();
}

void entry_rollouts::logVersions()
{
    for (const auto& each : m_selector.takeVersionHolds())
        runtime::log_event(each.isHeld ? "version_held" : "version_released")
            .with("service", each.service)
            .with("version", each.version.empty() ? std::string("none") : each.version);
    for (const auto& each : m_selector.takeBarredVersions())
        runtime::log_event("version_barred")
            .with("service", each.service)
            .with("version", each.version.empty() ? std::string("none") : each.version)
            .with("rollout", each.rollout)
            .with("state", core::rolloutStateName(each.state));
}

bool entry_rollouts::isPlanFresh() const
{
    return m_isEnabled && m_confirmedAt != core::instant {}
    && runtime::nowWithSuspension() - m_confirmedAt <= core::maxRolloutPlanAge;
}

void entry_rollouts::reportIfDue()
{
    if (!m_recorder.isRunning())
        return;
    auto now = runtime::now();
    double elapsedMs = std::chrono::duration<double, std::milli>(now - m_reportBytesAt).count();
    m_reportBytes = std::min(maxReportBurstBytes, m_reportBytes + elapsedMs * maxReportBytesPerMs);
    m_reportBytesAt = now;
    bool isDue = m_mustReport || now - m_reportedAt >= reportInterval;
    if (!isDue || m_reportBytes < 0)
        return;
    m_mustReport = false;
    m_reportedAt = now;
    auto reports = m_recorder.takeReports();
    m_reportBytes = std::accumulate(reports.begin(), reports.end(), m_reportBytes,
        [](double left, const auto& each) { return left - static_cast<double>(core::encodedBytes(each)); });
    m_report(std::move(reports));
}

void entry_rollouts::onSent(
    const std::string& service, const std::string& version, const core::rollout_assignment& assignment)
{
    if (!m_isEnabled)
        return;
    m_recorder.onSent(service, version, assignment);
    if (assignment.cohort != core::rollout_cohort::none)
        m_metrics.count(
            std::string("plumfold_rollout_sends_total{cohort=\"") + nameOf(assignment.cohort) + "\"}");
}

} // namespace plumfold::forwarding
