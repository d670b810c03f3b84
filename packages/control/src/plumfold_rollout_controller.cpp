#include "plumfold_rollout_controller.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <absl/strings/str_cat.h>

namespace plumfold::control {

namespace {

constexpr const char* subjectPrefix = "rollout/"; // followed by the service
constexpr core::milliseconds checkpointInterval { 2'000 };
/// Time after the start in which the other control VMs share all targets that they know.
constexpr core::milliseconds fillTime { 1'600 };

core::rollout_planner_options optionsOf(const runtime::settings& settings)
{
    core::rollout_planner_options out;
    out.exposureShare = settings.control->rolloutExposureShare;
    out.exposureSlack = settings.control->rolloutExposureSlack;
    return out;
}

const char* nameOf(core::rollout_verdict verdict)
{
    constexpr const char* names[] = { "undecided", "good", "bad" };
    return names[static_cast<int>(verdict)];
}

const char* nameOf(core::rollout_stage stage)
{
    constexpr const char* names[] = { "preparing", "canary", "raising", "shifting", "ended" };
    return names[static_cast<int>(stage)];
}

std::string labeled(const char* name, const std::string& service, const std::string& more = {})
{
    return absl::StrCat(name, "{service=\"", service, "\"", more, "}");
}

bool isRunning(const core::rollout_record& record)
{
    return record.state == core::rollout_state::running;
}

} // namespace

rollout_controller::rollout_controller(
    const runtime::settings& settings, deployment_feed& feed, proposer propose)
    : m_settings(settings)
    , m_feed(feed)
    , m_propose(std::move(propose))
    , m_planner(optionsOf(settings))
    , m_startedAt(runtime::now())
{
}

void rollout_controller::addReports(const std::vector<core::rollout_report>& reports, bool isDirect)
{
    for (const auto& report : reports) {
        auto found = m_running.find(report.service);
        // An entry may report on a rollout that has ended, or whose order is not applied here yet.
        if (found == m_running.end() || found->second.id != report.rollout)
            continue;
        found->second.tracker.add(report, runtime::now());
        if (!isDirect)
            continue;
        auto& known = m_direct[{ report.service, report.rollout, report.entry, report.incarnation }];
        if (known.change == 0 || known.report.number < report.number)
            known = { report, ++m_latestChange };
    }
}

void rollout_controller::addAges(const std::vector<core::event_age>& events)
{
    std::vector<core::event_age> orders;
    for (const auto& each : events) {
        if (isSubject(each.subject))
            orders.push_back(each);
    }
    m_orders.observe(orders, runtime::nowWithSuspension());
}

std::vector<core::event_age> rollout_controller::ages() const
{
    if (m_running.empty())
        return {};
    return m_orders.ages(runtime::nowWithSuspension());
}

bool rollout_controller::isSubject(const std::string& subject)
{
    return subject.starts_with(subjectPrefix);
}

std::vector<core::rollout_report> rollout_controller::reportsAfter(std::uint64_t change) const
{
    std::vector<core::rollout_report> out;
    for (const auto& [key, each] : m_direct) {
        if (each.change > change)
            out.push_back(each.report);
    }
    return out;
}

void rollout_controller::tick()
{
    if (m_settings.control->rolloutExposureShare <= 0)
        return;
    auto deployment = m_feed.view().deployment;
    follow(deployment->rollouts);
    for (auto& [service, rollout] : m_running) {
        const auto& record = deployment->rollouts.at(service);
        rollout.tracker.update(record, runtime::now());
        decide(service, record, rollout);
    }
}

void rollout_controller::follow(const std::map<std::string, core::rollout_record>& records)
{
    auto now = runtime::now();
    for (const auto& [service, record] : records) {
        updateMetrics(service, record);
        auto known = m_running.find(service);
        bool isKnown = known != m_running.end() && known->second.id == record.id;
        if (known != m_running.end() && (!isKnown || !isRunning(record)))
            m_running.erase(known);
        if (isKnown || !isRunning(record))
            continue;
        m_running.try_emplace(service, record, now);
        // After a loss of power no process remembers the order, so the recorded time counts.
        m_orders.observe(absl::StrCat(subjectPrefix, service), record.id,
            runtime::nowWithSuspension() - core::milliseconds(record.elapsedMs));
    }
    std::erase_if(m_running, [&](const auto& each) { return !records.contains(each.first); });
    std::erase_if(m_direct, [&](const auto& each) {
        auto found = m_running.find(std::get<0>(each.first));
        return found == m_running.end() || found->second.id != std::get<1>(each.first);
    });
}

core::milliseconds rollout_controller::elapsedOf(const std::string& service) const
{
    auto at = m_orders.latestAt(absl::StrCat(subjectPrefix, service));
    if (!at)
        return core::milliseconds(0);
    return std::chrono::duration_cast<core::milliseconds>(runtime::nowWithSuspension() - *at);
}

void rollout_controller::decide(
    const std::string& service, const core::rollout_record& record, running& rollout)
{
    auto now = runtime::now();
    const auto& assessment = rollout.tracker.assessment();
    auto situation = rollout.tracker.situation(service, record, m_feed.directory(), elapsedOf(service), now);
    count(service, rollout, situation.totals);
    const auto& view = m_feed.view();
    // Until the targets and the entries are known, only a bad verdict is reliable.
    bool isInformed = rollout.tracker.isSettled(now) && now - m_startedAt >= fillTime;
    bool isReady = isInformed || assessment.verdict == core::rollout_verdict::bad;
    bool isPending = rollout.isProposing || record.sequence < rollout.decidedSequence;
    if (!view.isLeader || !view.isCaughtUp || isPending || !isReady)
        return;
    auto next = m_planner.decide(service, record, assessment, situation);
    // A checkpoint changes the decision that entries have to apply before the shift is complete.
    bool mayCheckpoint = record.stage != core::rollout_stage::shifting;
    if (!next && mayCheckpoint && now - rollout.checkpointAt >= checkpointInterval)
        next = core::rollout_planner::checkpoint(service, record, assessment, situation);
    if (!next)
        return;
    rollout.checkpointAt = now;
    propose(service, rollout, std::move(*next), situation);
}

void rollout_controller::propose(const std::string& service, running& rollout,
    core::decide_rollout_command command, const core::rollout_situation& situation)
{
    const auto& assessment = rollout.tracker.assessment();
    runtime::log_event("rollout_assessed")
        .with("service", service)
        .with("rollout", rollout.id)
        .with("sequence", command.sequence)
        .with("stage", nameOf(command.stage))
        .with("share", command.share)
        .with("verdict", nameOf(assessment.verdict))
        .with("suspicion_percent", static_cast<int>(assessment.suspicion * 100))
        .with("elapsed_ms", situation.elapsed.count())
        .with("former_requests", situation.totals.formerRequests)
        .with("next_requests", situation.totals.nextRequests)
        .with("next_answers", assessment.nextAnswers)
        .with("next_bad", assessment.nextBad)
        .with("requests_per_second", static_cast<std::uint64_t>(situation.requestsPerSecond))
        .with("next_slots", situation.nextSlots)
        .with("former_slots", situation.formerSlots)
        .with("entries", situation.entries)
        .with("late_entries", situation.lateEntries)
        .with("recent_late_entries", situation.recentLateEntries)
        .with("former_in_flight", situation.formerInFlight)
        .with("disturbed", situation.isDisturbed ? "true" : "false")
        .with("reason", command.reason);
    rollout.isProposing = true;
    auto finish = [this, service, id = rollout.id](std::uint64_t sequence) {
        auto found = m_running.find(service);
        if (found == m_running.end() || found->second.id != id)
            return;
        found->second.isProposing = false;
        found->second.decidedSequence = sequence;
    };
    auto sequence = command.sequence;
    m_tasks.add(m_propose(core::command { 0, std::move(command) })
                    .then(
                        [finish, sequence](propose_response response) {
                            const auto* result = std::get_if<core::rollout_result>(&response.result);
                            bool isDecided = result && result->outcome == core::rollout_outcome::decided;
                            finish(isDecided ? sequence + 1 : sequence);
                        },
                        [finish, sequence, service, id = rollout.id](kj::Exception&& exception) {
                            finish(sequence);
                            runtime::log_event("rollout_decision_not_recorded", runtime::log_level::warning)
                                .with("service", service)
                                .with("rollout", id)
                                .with("reason", exception.getDescription().cStr());
                        }));
}

void rollout_controller::updateMetrics(const std::string& service, const core::rollout_record& record)
{
    m_metrics.set(labeled("plumfold_rollout_share", service),
        static_cast<double>(record.share) / core::rolloutFullShare);
    m_metrics.set(labeled("plumfold_rollout_state", service), static_cast<double>(record.state));
}

void rollout_controller::count(
    const std::string& service, running& rollout, const core::rollout_totals& totals)
{
    auto countMore = [&](const std::string& name, std::uint64_t next, std::uint64_t& counted) {
        if (next <= counted)
            return;
        m_metrics.count(name, next - counted);
        counted = next;
    };
    auto& counted = rollout.counted;
    countMore(labeled("plumfold_rollout_requests_total", service, ",cohort=\"former\""),
        totals.formerRequests, counted.formerRequests);
    countMore(labeled("plumfold_rollout_requests_total", service, ",cohort=\"next\""), totals.nextRequests,
        counted.nextRequests);
    countMore(labeled("plumfold_rollout_bad_total", service), totals.nextBad, counted.nextBad);
}

} // namespace plumfold::control
