#include "plumfold_crash_judge.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <absl/strings/str_join.h>

namespace plumfold::control {

namespace {

constexpr auto submitTimeout = 1500 * kj::MILLISECONDS;
constexpr core::milliseconds submitInterval { 1'000 };
/// A verdict on a request that still comes is submitted again at this interval.
constexpr core::milliseconds extendInterval { 600'000 };
/// Until the log has a verdict that was reached here.
constexpr core::unix_milliseconds ownVerdictLifetimeMs = 24ull * 3600 * 1000;
/// Reports are evaluated for this long, since reports of other entries and successes may change the result.
constexpr core::milliseconds evaluationTime { 5'000 };

} // namespace

crash_judge::crash_judge(deployment_feed& feed, leader_client& leader)
    : m_feed(feed)
    , m_leader(leader)
{
}

void crash_judge::addReport(const std::string& entry, const core::crash_report& report)
{
    runtime::log_event("crash_reported")
        .with("target", report.target)
        .with("started_at", report.startedAt)
        .with("service", report.service)
        .with("entry", entry)
        .with("requests", report.victims.size());
    m_lastReportAt = runtime::now();
    m_registry.addReport(report, m_lastReportAt);
}

void crash_judge::addSuccess(const std::string& entry, const core::suspect_success& success)
{
    runtime::log_event("suspect_succeeded")
        .with("fingerprint", success.fingerprint)
        .with("entry", entry)
        .with("age_ms", success.age.count());
    m_registry.addSuccess(success.fingerprint, runtime::now() - success.age);
}

void crash_judge::onRejected(std::uint64_t fingerprint)
{
    auto now = runtime::now();
    auto logged = m_logged.find(fingerprint);
    if (logged == m_logged.end() || logged->second.isWithdrawn)
        return;
    auto [last, isFirst] = m_extendedAt.try_emplace(fingerprint, now);
    if (isFirst || now - last->second < extendInterval)
        return;
    last->second = now;
    submit(fingerprint, logged->second.crashes);
}

void crash_judge::tick()
{
    followLog();
    evaluate();
    auto now = runtime::now();
    for (auto& [fingerprint, verdict] : m_own) {
        if (now - verdict.submittedAt < submitInterval)
            continue;
        verdict.submittedAt = now;
        submit(fingerprint, verdict.crashes);
    }
    publish();
}

/// Takes over what other control VMs or operators have decided.
void crash_judge::followLog()
{
    std::map<std::uint64_t, core::verdict> next;
    for (const auto& verdict : m_feed.view().verdicts)
        next[verdict.fingerprint] = verdict;
    if (next == m_logged)
        return;
    for (const auto& [fingerprint, verdict] : next) {
        if (verdict.isWithdrawn)
            continue;
        m_registry.addVerdict(fingerprint);
        m_own.erase(fingerprint);
    }
    for (const auto& [fingerprint, verdict] : m_logged) {
        auto found = next.find(fingerprint);
        bool isLifted = !verdict.isWithdrawn && (found == next.end() || found->second.isWithdrawn);
        if (!isLifted)
            continue;
        m_registry.withdraw(fingerprint);
        m_own.erase(fingerprint);
        m_extendedAt.erase(fingerprint);
        runtime::log_event("verdict_lifted")
            .with("fingerprint", fingerprint)
            .with("reason", found == next.end() ? "expired" : "withdrawn");
    }
    m_logged = std::move(next);
}

void crash_judge::evaluate()
{
    auto now = runtime::now();
    m_registry.expire(now);
    if (now - m_lastReportAt > evaluationTime)
        return;
    for (const auto& finding : m_registry.condemn(now)) {
        m_own[finding.fingerprint] = { finding.crashes, runtime::unixNow() + ownVerdictLifetimeMs, {} };
        runtime::log_event("request_condemned", runtime::log_level::warning)
            .with("fingerprint", finding.fingerprint)
            .with("crashes", finding.crashes)
            .with("targets", absl::StrJoin(finding.targets, ","));
    }
}

void crash_judge::submit(std::uint64_t fingerprint, std::uint32_t crashes)
{
    core::verdict_command command { fingerprint, crashes, false };
    m_tasks.add(m_leader.submit(core::command { 0, command }, submitTimeout)
                    .then([](propose_response) {},
                        [fingerprint](kj::Exception&& exception) {
                            runtime::log_event("verdict_not_replicated", runtime::log_level::warning)
                                .with("fingerprint", fingerprint)
                                .with("reason", exception.getDescription().cStr());
                        }));
}

void crash_judge::publish()
{
    std::vector<core::verdict> verdicts;
    for (const auto& [fingerprint, verdict] : m_logged)
        verdicts.push_back(verdict);
    for (const auto& [fingerprint, verdict] : m_own)
        verdicts.push_back({ fingerprint, verdict.crashes, verdict.until, false });
    m_feed.setCrashVerdicts(std::move(verdicts), m_registry.suspects(runtime::now()));
}

} // namespace plumfold::control
