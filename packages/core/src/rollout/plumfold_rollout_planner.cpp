#include "plumfold/core/rollout/plumfold_rollout_planner.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace plumfold::core {

namespace {

constexpr std::array<std::uint32_t, 3> raisingShares { 150, 350, 650 };
/// Part of the slack that a larger canary of a service with few requests may use.
constexpr double canarySlackPart = 0.6;
/// Part of the duration that a canary lasts at least, if the next targets start soon after the order.
constexpr double canaryTimePart = 0.35;
/// A smaller increase is not worth a step.
constexpr double minIncrease = 1.3;

double secondsOf(milliseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

double shareOf(std::uint32_t thousandths)
{
    return static_cast<double>(thousandths) / rolloutFullShare;
}

std::uint32_t thousandthsOf(double share)
{
    return static_cast<std::uint32_t>(std::clamp(share, 0.0, 1.0) * rolloutFullShare);
}

decide_rollout_command commandOf(const std::string& service, const rollout_record& record,
    const rollout_assessment& assessment, const rollout_situation& situation)
{
    decide_rollout_command out;
    out.service = service;
    out.id = record.id;
    out.sequence = record.sequence;
    out.state = record.state;
    out.stage = record.stage;
    out.share = record.share;
    auto elapsed = std::max<milliseconds::rep>(situation.elapsed.count(), 0);
    out.elapsedMs = std::max(record.elapsedMs, static_cast<std::uint64_t>(elapsed));
    out.totals.formerRequests = std::max(record.totals.formerRequests, situation.totals.formerRequests);
    out.totals.nextRequests = std::max(record.totals.nextRequests, situation.totals.nextRequests);
    out.totals.nextBad = std::max(record.totals.nextBad, assessment.nextBad);
    out.reason = record.reason;
    return out;
}

} // namespace

milliseconds rollout_planner::input::remaining() const
{
    return milliseconds(record.durationMs) - situation.elapsed;
}

double rollout_planner::input::progress() const
{
    return secondsOf(situation.elapsed) / std::max(secondsOf(milliseconds(record.durationMs)), 0.001);
}

std::optional<decide_rollout_command> rollout_planner::decide(const std::string& service,
    const rollout_record& record, const rollout_assessment& assessment,
    const rollout_situation& situation) const
{
    if (record.state != rollout_state::running)
        return std::nullopt;
    auto known = situation;
    known.elapsed = std::max(known.elapsed, milliseconds(record.elapsedMs));
    auto next = plan({ record, assessment, known });
    if (!next || (next->state == record.state && next->stage == record.stage && next->share == record.share))
        return std::nullopt;
    auto out = commandOf(service, record, assessment, known);
    out.state = next->state;
    out.stage = next->stage;
    out.share = next->share;
    out.reason = next->reason;
    return out;
}

milliseconds rollout_planner::recentTime(const rollout_record& record, milliseconds elapsed)
{
    constexpr milliseconds lastPhase { 1'000 };
    // An entry that is in touch reports every 500 ms.
    constexpr milliseconds recentInLastPhase { 1'200 };
    constexpr milliseconds recent { 2'000 };
    return milliseconds(record.durationMs) - elapsed <= lastPhase ? recentInLastPhase : recent;
}

decide_rollout_command rollout_planner::checkpoint(const std::string& service, const rollout_record& record,
    const rollout_assessment& assessment, const rollout_situation& situation)
{
    return commandOf(service, record, assessment, situation);
}

std::optional<rollout_planner::step> rollout_planner::plan(const input& from) const
{
    constexpr std::array<stage_rule, 5> rules { &rollout_planner::prepare, &rollout_planner::observeCanary,
        &rollout_planner::raise, &rollout_planner::shift, &rollout_planner::end };
    if (from.assessment.verdict == rollout_verdict::bad)
        return step { rollout_state::rolled_back, rollout_stage::ended, 0,
            absl::StrCat("the version is bad: ", from.assessment.reason) };
    auto next = (this->*rules.at(static_cast<std::size_t>(from.record.stage)))(from);
    bool hasEnded = next && next->state != rollout_state::running;
    if (hasEnded || from.remaining().count() > 0)
        return next;
    return step { rollout_state::rolled_back, rollout_stage::ended, 0,
        absl::StrCat("not completed by the deadline: ", missing(from)) };
}

std::optional<rollout_planner::step> rollout_planner::prepare(const input& from) const
{
    const auto& situation = from.situation;
    if (from.progress() >= m_options.verdictUntil)
        return step { rollout_state::rolled_back, rollout_stage::ended, 0, missing(from) };
    auto share = std::min(canaryShare(from), fittingShare(from));
    auto neededSlots = shareOf(share) * situation.formerSlots;
    // Without reports of the entries, the rate of requests is not known.
    bool isRateKnown = situation.entries > 0 && situation.elapsed >= m_options.reportDelay;
    if (share == 0 || !isRateKnown || situation.nextTargets == 0 || situation.nextSlots < neededSlots)
        return std::nullopt;
    return step { rollout_state::running, rollout_stage::canary, share, "enough next targets are warm" };
}

std::optional<rollout_planner::step> rollout_planner::observeCanary(const input& from) const
{
    const auto& situation = from.situation;
    if (from.progress() >= m_options.verdictUntil)
        return step { rollout_state::rolled_back, rollout_stage::ended, 0, missing(from) };
    if (situation.nextTargets == 0)
        return step { rollout_state::running, rollout_stage::preparing, 0, "no next target is warm" };
    if (budget(from) < 0)
        return step { rollout_state::running, rollout_stage::preparing, 0, "the exposure bound is reached" };
    bool isJudged = from.progress() >= canaryEnd(from) && from.assessment.verdict == rollout_verdict::good
        && from.assessment.suspicion < m_options.maxSuspicion;
    auto fitting = fittingShare(from);
    if (isJudged && hasCapacity(situation)) {
        if (from.remaining() <= m_options.shiftTime)
            return step { rollout_state::running, rollout_stage::shifting, rolloutFullShare,
                from.assessment.reason };
        auto share = std::max(std::min(raisingShares.front(), fitting), from.record.share);
        return step { rollout_state::running, rollout_stage::raising, share, from.assessment.reason };
    }
    // The first share depends on the requests seen until then, and on their rate.
    auto share = std::min(canaryShare(from), fitting);
    bool isOther = share >= minIncrease * from.record.share || minIncrease * share <= from.record.share;
    if (share == 0 || situation.sinceDecision < m_options.noticeTime || !isOther)
        return std::nullopt;
    return step { rollout_state::running, rollout_stage::canary, share, "the rate of requests has changed" };
}

std::optional<rollout_planner::step> rollout_planner::raise(const input& from) const
{
    const auto& situation = from.situation;
    auto canary = std::min(canaryShare(from), from.record.share);
    if (situation.nextTargets == 0)
        return step { rollout_state::running, rollout_stage::preparing, 0, "no next target is warm" };
    if (from.assessment.suspicion >= m_options.maxSuspicion)
        return step { rollout_state::running, rollout_stage::canary, canary, from.assessment.reason };
    if (!hasCapacity(situation)) {
        if (from.progress() >= m_options.verdictUntil)
            return step { rollout_state::rolled_back, rollout_stage::ended, 0, missing(from) };
        return std::nullopt;
    }
    if (situation.sinceDecision < m_options.stepInterval || from.assessment.verdict != rollout_verdict::good)
        return std::nullopt;
    step shifted { rollout_state::running, rollout_stage::shifting, rolloutFullShare,
        from.assessment.reason };
    if (from.remaining() <= m_options.shiftTime)
        return shifted;
    auto above = std::upper_bound(raisingShares.begin(), raisingShares.end(), from.record.share);
    if (above != raisingShares.end()) {
        auto share = std::min(*above, fittingShare(from));
        if (share >= minIncrease * from.record.share)
            return step { rollout_state::running, rollout_stage::raising, share, from.assessment.reason };
    }
    bool isWatched = situation.sinceDecision >= m_options.watchTime && situation.recentLateEntries == 0
        && situation.nextSinceShare >= m_options.watchRequests;
    if (!isWatched)
        return std::nullopt;
    return shifted;
}

std::optional<rollout_planner::step> rollout_planner::shift(const input& from) const
{
    const auto& situation = from.situation;
    if (situation.nextTargets == 0)
        return step { rollout_state::running, rollout_stage::preparing, 0, "no next target is warm" };
    bool isClear = from.assessment.suspicion < m_options.maxFinalSuspicion;
    // Failures during a disturbance have no former answers to compare with, so they are waited out.
    if (!isClear && !situation.isDisturbed)
        return step { rollout_state::running, rollout_stage::canary, canaryShare(from),
            from.assessment.reason };
    bool isApplied = situation.entries > 0 && situation.silentEntries == 0 && situation.lateEntries == 0
        && situation.formerInFlight == 0;
    bool isForced = from.remaining() <= m_options.forceTime && situation.recentEntries > 0
        && situation.recentLateEntries == 0;
    if (!isClear || (!isApplied && !isForced))
        return std::nullopt;
    return step { rollout_state::completed, rollout_stage::ended, rolloutFullShare,
        isApplied ? "all entries use the next version"
                  : "all entries that report use the next version, shortly before the deadline" };
}

std::optional<rollout_planner::step> rollout_planner::end(const input& /*from*/) const
{
    return std::nullopt;
}

/// @return the requests that may still reach the version, beyond those that entries may not have reported
/// yet; negative if none.
double rollout_planner::budget(const input& from) const
{
    const auto& situation = from.situation;
    const auto& totals = situation.totals;
    auto seen = static_cast<double>(totals.formerRequests + totals.nextRequests);
    auto unreported
        = shareOf(from.record.share) * situation.requestsPerSecond * secondsOf(m_options.reportDelay);
    return m_options.exposureShare * seen + m_options.exposureSlack - static_cast<double>(totals.nextRequests)
        - unreported;
}

/// @return the largest share whose requests fit the exposure bound until a fault is noticed.
std::uint32_t rollout_planner::fittingShare(const input& from) const
{
    auto requests = from.situation.requestsPerSecond * secondsOf(m_options.noticeTime);
    auto left = std::max(budget(from), 0.0);
    return requests <= left ? rolloutFullShare : thousandthsOf(left / requests);
}

/// @return the share that gives enough answers for a verdict, at the usual rate of requests.
std::uint32_t rollout_planner::canaryShare(const input& from) const
{
    // Never above the exposure share itself, so that the bound holds however long the canary lasts.
    auto share = std::min(m_options.canaryShare, m_options.canaryShare / 0.1 * m_options.exposureShare);
    auto canaryTime = secondsOf(milliseconds(from.record.durationMs)) * canaryTimePart;
    auto requests = from.situation.requestsPerSecond * canaryTime;
    if (requests <= 0)
        return thousandthsOf(share);
    auto withSlack = share + canarySlackPart * m_options.exposureSlack / requests;
    auto wanted = std::min(m_options.canaryAnswers / requests, m_options.maxCanaryShare);
    return thousandthsOf(std::max(share, std::min(wanted, withSlack)));
}

/// @return the part of the duration after which the canary may end.
double rollout_planner::canaryEnd(const input& from) const
{
    auto duration = std::max(secondsOf(milliseconds(from.record.durationMs)), 0.001);
    return std::clamp(
        1 - secondsOf(m_options.finishTime) / duration, m_options.minCanaryUntil, m_options.canaryUntil);
}

bool rollout_planner::hasCapacity(const rollout_situation& situation) const
{
    return situation.nextSlots > 0 && situation.nextSlots >= m_options.capacity * situation.formerSlots;
}

std::string rollout_planner::missing(const input& from) const
{
    const auto& situation = from.situation;
    if (situation.nextTargets == 0)
        return "no next target is warm";
    if (!hasCapacity(situation))
        return absl::StrCat(
            "too few next targets are warm: ", situation.nextSlots, " slots, former ", situation.formerSlots);
    if (from.record.stage == rollout_stage::shifting && from.assessment.suspicion < m_options.maxSuspicion)
        return absl::StrCat(situation.recentLateEntries, " entries have not applied the shift");
    if (from.record.stage == rollout_stage::preparing)
        return "the exposure bound allows no canary, or no entry has reported";
    return absl::StrCat("no verdict on the version: ", from.assessment.reason);
}

} // namespace plumfold::core
