#include "plumfold_crash_judge.hpp"

#include "plumfold/core/plumfold_hash.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"

#include <absl/strings/str_join.h>

#include <algorithm>

namespace plumfold::control {

namespace {

constexpr auto submitTimeout = 1500 * kj::MILLISECONDS;
constexpr core::milliseconds submitInterval { 1'000 };
/// A verdict whose requests still come is submitted again when it is this old.
constexpr core::unix_milliseconds extendAgeMs = 600'000;
constexpr core::milliseconds evaluationInterval { 120 };
/// The pause after an evaluation is at least this many times as long as the evaluation.
constexpr int evaluationPauseFactor = 10;
/// While no further target ends, only successes change the result.
constexpr core::milliseconds calmAfterReport { 5'000 };
constexpr core::milliseconds calmEvaluationInterval { 1'000 };
/// For this long after a crash, entries are asked for successes of those that may have caused it.
constexpr core::milliseconds suspicionTime { 60'000 };

const char* kindName(core::trait_kind kind)
{
    constexpr const char* names[] = { "request", "customer_part", "shared_part" };
    return names[static_cast<int>(kind)];
}

core::crash_registry_options registryOptions()
{
    core::crash_registry_options options;
    options.id = runtime::randomNumber();
    return options;
}

/// @return when a verdict of the log was withdrawn.
core::instant withdrawalOf(const core::verdict& verdict)
{
    auto now = runtime::unixNow() + core::verdictRetentionMs;
    auto age = now > verdict.until ? now - verdict.until : 0;
    return runtime::now() - core::milliseconds(age);
}

std::uint64_t idOf(const core::trait_set& traits)
{
    std::uint64_t id = *traits.begin();
    for (auto each = std::next(traits.begin()); each != traits.end(); ++each)
        id = core::hashBytes(std::to_string(*each), id);
    return id;
}

} // namespace

crash_judge::crash_judge(deployment_feed& feed, leader_client& leader)
    : m_feed(feed)
    , m_leader(leader)
    , m_registry(registryOptions())
{
}

void crash_judge::addReport(const std::string& entry, const core::crash_report& report)
{
    m_lastReportAt = runtime::now();
    m_nextEvaluationAt = std::min(m_nextEvaluationAt, m_lastReportAt + evaluationInterval);
    if (m_registry.addReport(report, m_lastReportAt))
        onCrash(entry, report);
}

void crash_judge::onCrash(const std::string& reporter, const core::crash_report& report)
{
    m_nextEvaluationAt = m_lastReportAt; // entries learn of the suspects
    runtime::log_event("crash_reported")
        .with("target", report.target)
        .with("started_at", report.startedAt)
        .with("service", report.service)
        .with("reporter", reporter);
}

core::crash_evidence crash_judge::evidenceAfter(std::uint64_t change) const
{
    return m_registry.evidenceAfter(change, runtime::now());
}

void crash_judge::addEvidence(const std::string& peer, const core::crash_evidence& evidence)
{
    auto now = runtime::now();
    for (const auto& report : m_registry.addEvidence(evidence, now)) {
        m_lastReportAt = now;
        onCrash(peer, report);
    }
}

void crash_judge::addSuccess(const core::suspect_success& success)
{
    m_registry.addSuccess(success.trait, runtime::now() - success.age);
}

void crash_judge::onRejected(std::uint64_t verdict)
{
    auto logged = m_logged.find(verdict);
    if (logged == m_logged.end() || logged->second.isWithdrawn)
        return;
    bool isOld = logged->second.until + extendAgeMs < runtime::unixNow() + core::verdictRetentionMs;
    if (isOld)
        submit(logged->second);
}

void crash_judge::tick()
{
    evaluate();
    auto now = runtime::now();
    for (auto& [id, own] : m_own) {
        if (now - own.submittedAt < submitInterval)
            continue;
        own.submittedAt = now;
        submit(own.verdict);
    }
    publish();
}

void crash_judge::followLog()
{
    std::map<std::uint64_t, core::verdict> next;
    for (const auto& verdict : m_feed.view().verdicts)
        next[verdict.fingerprint] = verdict;
    if (next == m_logged)
        return;
    for (const auto& [id, verdict] : next) {
        if (verdict.isWithdrawn) {
            // Evidence may be shared with a process that starts after the withdrawal.
            if (!m_logged.contains(id))
                m_registry.withdraw(verdict.traits, withdrawalOf(verdict));
            continue;
        }
        m_registry.addVerdict(verdict.traits);
        m_own.erase(id);
    }
    for (const auto& [id, verdict] : m_logged) {
        auto found = next.find(id);
        bool isLifted = !verdict.isWithdrawn && (found == next.end() || found->second.isWithdrawn);
        if (!isLifted)
            continue;
        m_registry.withdraw(verdict.traits, runtime::now());
        m_own.erase(id);
        runtime::log_event("verdict_lifted")
            .with("verdict", id)
            .with("reason", found == next.end() ? "expired" : "withdrawn");
    }
    m_logged = std::move(next);
    publish();
}

void crash_judge::evaluate()
{
    auto now = runtime::now();
    if (now < m_nextEvaluationAt || now < m_pauseUntil)
        return;
    auto sinceReport = now - m_lastReportAt;
    auto interval = sinceReport < calmAfterReport ? evaluationInterval : calmEvaluationInterval;
    m_nextEvaluationAt = now + interval;
    if (sinceReport >= suspicionTime) {
        m_suspects.clear();
        return;
    }
    m_registry.expire(now);
    for (const auto& finding : m_registry.condemn(now)) {
        auto id = idOf(finding.traits);
        m_own[id]
            = { { id, finding.crashes, runtime::unixNow() + core::verdictRetentionMs, false, finding.traits },
                  {} };
        runtime::log_event("requests_condemned", runtime::log_level::warning)
            .with("verdict", id)
            .with("kind", kindName(finding.kind))
            .with("traits", absl::StrJoin(finding.traits, ","))
            .with("crashes", finding.crashes)
            .with("targets", absl::StrJoin(finding.targets, ","));
    }
    m_suspects = m_registry.suspects(now);
    auto finishedAt = runtime::now();
    m_pauseUntil = finishedAt + evaluationPauseFactor * (finishedAt - now);
}

void crash_judge::submit(const core::verdict& verdict)
{
    core::verdict_command command { verdict.fingerprint, verdict.crashes, false, verdict.traits };
    m_tasks.add(m_leader.submit(core::command { 0, std::move(command) }, submitTimeout)
                    .then([](propose_response) {},
                        [id = verdict.fingerprint](kj::Exception&& exception) {
                            runtime::log_event("verdict_not_replicated", runtime::log_level::warning)
                                .with("verdict", id)
                                .with("reason", exception.getDescription().cStr());
                        }));
}

void crash_judge::publish()
{
    std::vector<core::verdict> verdicts;
    for (const auto& [id, verdict] : m_logged) {
        // Those of the own interface have none.
        if (!verdict.traits.empty())
            verdicts.push_back(verdict);
    }
    for (const auto& [id, own] : m_own)
        verdicts.push_back(own.verdict);
    m_feed.setCrashVerdicts(std::move(verdicts), m_suspects);
}

} // namespace plumfold::control
