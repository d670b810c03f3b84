#include "plumfold/core/rollout/plumfold_rollout_recorder.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace plumfold::core {

namespace {

/// Further strata of a rollout are counted together. Keeps reports small if an operator has many
/// routes; a verdict compares the two cohorts in it nevertheless.
constexpr std::size_t maxStrata = 15;
constexpr const char* otherRoutes = "*";

} // namespace

std::uint8_t rolloutSizeClass(std::uint64_t promptTokens, std::uint64_t bodyBytes)
{
    auto size = promptTokens > 0 ? promptTokens : bodyBytes;
    constexpr int bitsPerClass = 2;
    return size == 0 ? 0 : static_cast<std::uint8_t>((std::bit_width(size) - 1) / bitsPerClass);
}

std::size_t encodedBytes(const rollout_report& report)
{
    // Cap'n Proto: the report itself takes words of 8 bytes, texts end with a zero. Its rows are packed: a
    // word takes a byte and those of its bytes that are not 0, a run of zero words two bytes.
    constexpr std::size_t word = 8;
    constexpr std::size_t fixedWords = 12;
    constexpr std::size_t packedFrame = 16; // segment table, root and list of rows
    constexpr std::size_t packedRow = 22; // size class, pointers, failures of both cohorts
    auto textWords = [](const std::string& text) { return text.size() / word + 1; };
    auto significantBytes = [](std::uint64_t number) {
        std::size_t bytes = 0;
        for (; number > 0; number >>= 8)
            bytes += (number & 0xff) != 0;
        return bytes;
    };
    auto packedLatencies = [&](const rollout_counts& counts) {
        auto last
            = std::find_if(counts.latencies.rbegin(), counts.latencies.rend(), [](auto n) { return n > 0; });
        auto used = static_cast<std::size_t>(counts.latencies.rend() - last);
        std::size_t bytes = 0;
        bool wasZero = false;
        for (std::size_t index = 0; index < used; index += 2) {
            auto second = index + 1 < used ? significantBytes(counts.latencies[index + 1]) : 0;
            auto significant = significantBytes(counts.latencies[index]) + second;
            bool isZero = significant == 0;
            bytes += isZero ? (wasZero ? 0 : 2) : 1 + significant;
            wasZero = isZero;
        }
        return bytes;
    };
    std::size_t packed = packedFrame;
    for (const auto& row : report.rows)
        packed += packedRow + textWords(row.stratum.route) + row.stratum.route.size()
            + packedLatencies(row.former) + packedLatencies(row.next);
    std::size_t words = fixedWords + textWords(report.entry) + textWords(report.service);
    return words * word + packed;
}

void rollout_recorder::setRollouts(const std::map<std::string, rollout_record>& rollouts)
{
    std::erase_if(m_rollouts, [&](const auto& each) {
        auto found = rollouts.find(each.first);
        return found == rollouts.end() || found->second.id != each.second.record.id
            || found->second.state != rollout_state::running;
    });
    for (const auto& [service, record] : rollouts) {
        if (record.state == rollout_state::running)
            m_rollouts[service].record = record;
    }
}

rollout_recorder::running_rollout* rollout_recorder::find(const rollout_assignment& assignment)
{
    if (assignment.rollout == 0)
        return nullptr;
    auto found = std::find_if(m_rollouts.begin(), m_rollouts.end(),
        [&](const auto& each) { return each.second.record.id == assignment.rollout; });
    return found == m_rollouts.end() ? nullptr : &found->second;
}

rollout_counts* rollout_recorder::countsOf(
    const rollout_assignment& assignment, const rollout_stratum& stratum)
{
    auto* rollout = find(assignment);
    if (!rollout || !assignment.isWarm || assignment.cohort == rollout_cohort::none)
        return nullptr;
    auto& rows = rollout->rows;
    bool isOther = !rows.contains(stratum) && rows.size() >= maxStrata;
    auto counted = isOther ? rollout_stratum { otherRoutes, 0 } : stratum;
    auto& row = rows[counted];
    row.stratum = counted;
    return assignment.cohort == rollout_cohort::next ? &row.next : &row.former;
}

void rollout_recorder::onSent(
    const std::string& service, const std::string& version, const rollout_assignment& assignment)
{
    ++m_inFlight[service][version];
    auto* rollout = find(assignment);
    if (!rollout)
        return;
    // Requests to a version that the rollout does not name reach the service, too.
    rollout->formerRequests += assignment.cohort != rollout_cohort::next;
    rollout->nextRequests += assignment.cohort == rollout_cohort::next;
    rollout->formerSinceReport
        += assignment.cohort == rollout_cohort::former && rollout->record.share >= rolloutFullShare;
}

void rollout_recorder::onEnded(const std::string& service, const std::string& version)
{
    auto ofService = m_inFlight.find(service);
    if (ofService == m_inFlight.end())
        return;
    auto& versions = ofService->second;
    auto found = versions.find(version);
    if (found != versions.end() && --found->second == 0)
        versions.erase(found);
    if (versions.empty())
        m_inFlight.erase(ofService);
}

void rollout_recorder::onAnswer(
    const rollout_assignment& assignment, const rollout_stratum& stratum, milliseconds latency)
{
    if (auto* counts = countsOf(assignment, stratum))
        ++counts->latencies[rolloutLatencyClass(latency)];
}

void rollout_recorder::onFailure(const rollout_assignment& assignment, const rollout_stratum& stratum)
{
    if (auto* counts = countsOf(assignment, stratum))
        ++counts->failures;
}

void rollout_recorder::onBrokenAnswer(
    const rollout_assignment& assignment, const rollout_stratum& stratum, milliseconds latency)
{
    auto* counts = countsOf(assignment, stratum);
    if (!counts)
        return;
    auto& answers = counts->latencies[rolloutLatencyClass(latency)];
    answers -= answers > 0;
    ++counts->failures;
}

std::vector<rollout_report> rollout_recorder::takeReports()
{
    std::vector<rollout_report> reports;
    for (auto& [service, rollout] : m_rollouts) {
        rollout_report report;
        report.entry = m_entry;
        report.incarnation = m_incarnation;
        report.service = service;
        report.rollout = rollout.record.id;
        report.number = ++rollout.reports;
        report.decision = rollout.record.sequence;
        report.formerRequests = rollout.formerRequests;
        report.nextRequests = rollout.nextRequests;
        if (auto inFlight = m_inFlight.find(service); inFlight != m_inFlight.end()) {
            for (const auto& [version, count] : inFlight->second)
                report.formerInFlight += rollout.record.formerVersions.contains(version) ? count : 0;
        }
        // Former targets that still serve at times must not be stopped, even if they run nothing right now.
        report.formerInFlight = std::max(report.formerInFlight, std::exchange(rollout.formerSinceReport, 0));
        for (const auto& [stratum, row] : rollout.rows)
            report.rows.push_back(row);
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace plumfold::core
