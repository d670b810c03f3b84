#pragma once

#include "plumfold/core/rollout/plumfold_rollout_evidence.hpp"
#include "plumfold/core/rollout/plumfold_rollout_judge.hpp"
#include "plumfold/core/rollout/plumfold_rollout_planner.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace plumfold::core::tests {

/// A rollout with 70 entries that apply decisions 0 to 700 ms late and whose reports are up to 700 ms old.
/// Time passes in ticks of 40 ms.
class rollout_simulation {
public:
    struct options {
        unsigned seed = 1;
        int durationMs = 12'000;
        double requestsPerSecond = 600;
        int warmAtMs = 3'000; ///< The next targets are warm from then on.
        /// @return the portion of bad answers of the next version.
        std::function<double(int atMs, std::uint32_t share)> badPortion
            = [](int, std::uint32_t) { return 0.0; };
        int cutFromMs = -1; ///< 14 entries are cut off from control for 5 s; -1: never.
        int restartAtMs = -1; ///< All entries restart within a second, one after the other.
        int leaderDownFromMs = -1; ///< No decisions for 1.5 s; an election takes about 1 s.
        bool isEvidenceLost = false; ///< With the leader.
        rollout_planner_options planner;
    };

    explicit rollout_simulation(options given)
        : m_options(std::move(given))
        , m_planner(m_options.planner)
        , m_random(m_options.seed)
        , m_entries(entryCount)
    {
        m_record.emplace();
        m_record->id = 1;
        m_record->version = "v2";
        m_record->durationMs = static_cast<std::uint64_t>(m_options.durationMs);
        for (std::size_t index = 0; index < m_entries.size(); ++index) {
            m_entries[index].report.entry = "entry " + std::to_string(index);
            m_entries[index].nextReportMs = uniform(0, reportMs);
            m_entries[index].delayMs = uniform(0, maxDelayMs);
        }
    }

    /// Runs until a second after the deadline.
    void run()
    {
        for (m_nowMs = 0; m_nowMs < m_options.durationMs + 1'000; m_nowMs += tickMs) {
            for (std::size_t index = 0; index < m_entries.size(); ++index)
                tickEntry(m_entries[index], isCut(index));
            deliver();
            decide();
            auto bound = m_options.planner.exposureShare * static_cast<double>(m_total)
                + m_options.planner.exposureSlack;
            if (m_nowMs < m_options.durationMs)
                m_excess = std::max(m_excess, static_cast<double>(m_next) - bound);
        }
    }

    const rollout_record& record() const { return *m_record; }
    double excess() const { return m_excess; } ///< Largest exposure above the bound; negative: within it.
    int endedAtMs() const { return m_endedAtMs; }
    bool hasShifted() const { return m_hasShifted; }
    int decisions() const { return m_decisions; }
    std::uint64_t nextAfterEnd() const
    {
        return m_nextAfterEnd;
    } ///< Over 700 ms after a rollback, of entries in touch.

private:
    static constexpr std::size_t entryCount = 70;
    static constexpr int tickMs = 40;
    static constexpr int reportMs = 500;
    static constexpr int transitMs = 200;
    static constexpr int maxDelayMs = 700;
    static constexpr int windowMs = 500;
    static constexpr int cutEntries = 14;
    static constexpr int cutMs = 5'000;
    static constexpr int planAgeMs = 2'000;
    static constexpr int leaderDownMs = 1'500;
    static constexpr int slots = 100;

    struct entry {
        rollout_report report;
        rollout_counts former, next;
        std::uint32_t share = 0;
        std::uint64_t sequence = 0;
        int delayMs = 0; ///< In which it applies a decision.
        int nextReportMs = 0;
        int lastPlanMs = 0;
    };
    struct decision {
        int atMs = 0;
        std::uint64_t sequence = 0;
        std::uint32_t share = 0;
    };
    struct sent_report {
        int arrivesMs = 0;
        rollout_report report;
    };

    int uniform(int from, int to) { return std::uniform_int_distribution<int>(from, to)(m_random); }

    bool isIn(int fromMs, int forMs) const
    {
        return fromMs >= 0 && m_nowMs >= fromMs && m_nowMs < fromMs + forMs;
    }

    bool isCut(std::size_t index) const { return index < cutEntries && isIn(m_options.cutFromMs, cutMs); }

    void tickEntry(entry& each, bool isCutOff)
    {
        auto index = static_cast<int>(&each - m_entries.data());
        bool restarts
            = m_options.restartAtMs >= 0 && isIn(m_options.restartAtMs + index * tickMs / 3, tickMs);
        if (restarts) {
            auto name = each.report.entry;
            auto incarnation = each.report.incarnation + 1;
            each = {};
            each.report.entry = name;
            each.report.incarnation = incarnation;
            each.delayMs = uniform(0, maxDelayMs);
            each.nextReportMs = m_nowMs + each.delayMs;
        }
        if (!isCutOff) {
            each.lastPlanMs = m_nowMs;
            for (const auto& made : m_decisionLog) {
                if (made.sequence > each.sequence && m_nowMs >= made.atMs + each.delayMs) {
                    each.sequence = made.sequence;
                    each.share = made.share;
                }
            }
        }
        auto mean = m_options.requestsPerSecond * tickMs / 1'000 / entryCount;
        auto requests = std::poisson_distribution<int>(mean)(m_random);
        bool isFresh = m_nowMs - each.lastPlanMs <= planAgeMs;
        for (int request = 0; request < requests; ++request)
            answer(each, isFresh ? each.share : 0);
        if (m_nowMs < each.nextReportMs || isCutOff)
            return;
        each.nextReportMs = m_nowMs + reportMs;
        ++each.report.number;
        each.report.decision = each.sequence;
        each.report.rows = { { { "route", 2 }, each.former, each.next } };
        m_sent.push_back({ m_nowMs + uniform(0, transitMs), each.report });
    }

    void answer(entry& each, std::uint32_t share)
    {
        constexpr std::size_t usualClass = 12;
        bool isNext = uniform(0, 999) < static_cast<int>(share);
        ++m_total;
        if (!isNext) {
            ++each.report.formerRequests;
            ++each.former.latencies[usualClass];
            return;
        }
        ++m_next;
        ++each.report.nextRequests;
        if (m_endedAtMs >= 0 && m_record->state == rollout_state::rolled_back
            && m_nowMs > m_endedAtMs + maxDelayMs + tickMs && each.lastPlanMs == m_nowMs)
            ++m_nextAfterEnd;
        bool isBad = std::uniform_real_distribution<double>(0, 1)(m_random)
            < m_options.badPortion(m_nowMs, m_record->share);
        ++(isBad ? each.next.failures : each.next.latencies[usualClass]);
    }

    void deliver()
    {
        if (m_options.isEvidenceLost && m_options.leaderDownFromMs >= 0
            && m_nowMs / tickMs == m_options.leaderDownFromMs / tickMs) {
            m_evidence = {};
            m_samples.clear();
            m_restoreAtMs = m_nowMs + leaderDownMs;
        }
        std::erase_if(m_sent, [&](const sent_report& each) {
            if (each.arrivesMs > m_nowMs)
                return false;
            if (m_evidence.add(each.report))
                m_reportedAt[each.report.entry] = m_nowMs;
            return true;
        });
        if (m_nowMs == 0 || m_nowMs / windowMs == (m_nowMs - tickMs) / windowMs)
            return;
        m_evidence.closeWindow();
        m_assessment = m_judge.assess(m_evidence);
    }

    void decide()
    {
        if (isIn(m_options.leaderDownFromMs, leaderDownMs))
            return;
        if (m_restoreAtMs >= 0) {
            m_evidence.restore(m_record->totals);
            m_restoreAtMs = -1;
        }
        auto now = situation();
        auto next = m_planner.decide("s", *m_record, m_assessment, now);
        bool isCheckpoint = !next && m_record->state == rollout_state::running
            && m_record->stage != rollout_stage::shifting && m_nowMs - m_checkpointMs >= 2'000;
        if (isCheckpoint)
            next = rollout_planner::checkpoint("s", *m_record, m_assessment, now);
        if (!next)
            return;
        auto oldShare = m_record->share;
        decideRollout(m_record, *next);
        ++m_decisions;
        m_checkpointMs = m_nowMs;
        m_decisionLog.push_back({ m_nowMs, m_record->sequence, m_record->share });
        if (oldShare != m_record->share) {
            m_shareSequence = m_record->sequence;
            m_shareNext = m_evidence.totals().nextRequests;
            m_shareMs = m_nowMs;
        }
        m_hasShifted = m_hasShifted || m_record->stage == rollout_stage::shifting;
        if (m_record->state != rollout_state::running)
            m_endedAtMs = m_nowMs;
    }

    rollout_situation situation()
    {
        rollout_situation out;
        out.elapsed = milliseconds(m_nowMs);
        out.sinceDecision = milliseconds(m_nowMs - m_shareMs);
        out.totals = m_evidence.totals();
        auto seen = out.totals.formerRequests + out.totals.nextRequests;
        m_samples.push_back({ m_nowMs, seen });
        while (m_samples.front().first < m_nowMs - 2'000)
            m_samples.pop_front();
        auto spanMs = std::max(m_nowMs - m_samples.front().first, 500);
        out.requestsPerSecond = 1'000.0 * static_cast<double>(seen - m_samples.front().second) / spanMs;
        out.formerSlots = slots;
        out.nextTargets = m_nowMs >= m_options.warmAtMs ? 10 : 0;
        out.nextSlots = m_nowMs >= m_options.warmAtMs ? slots : 0;
        out.isDisturbed = isIn(m_options.cutFromMs, cutMs);
        out.nextSinceShare = out.totals.nextRequests - std::min(out.totals.nextRequests, m_shareNext);
        for (const auto* report : m_evidence.currentReports()) {
            bool isLate = report->decision < m_shareSequence;
            milliseconds age(m_nowMs - m_reportedAt[report->entry]);
            bool isRecent = age <= rollout_planner::recentTime(*m_record, out.elapsed);
            out.silentEntries += age > milliseconds(1'200) ? 1 : 0;
            ++out.entries;
            out.lateEntries += isLate ? 1 : 0;
            out.recentEntries += isRecent ? 1 : 0;
            out.recentLateEntries += isLate && isRecent ? 1 : 0;
        }
        return out;
    }

    options m_options;
    rollout_planner m_planner;
    rollout_judge m_judge;
    std::mt19937 m_random;
    std::vector<entry> m_entries;
    std::optional<rollout_record> m_record;
    rollout_evidence m_evidence;
    rollout_assessment m_assessment;
    std::vector<sent_report> m_sent;
    std::vector<decision> m_decisionLog;
    std::map<std::string, int> m_reportedAt;
    std::deque<std::pair<int, std::uint64_t>> m_samples;
    std::uint64_t m_shareSequence = 0;
    std::uint64_t m_shareNext = 0;
    std::uint64_t m_total = 0;
    std::uint64_t m_next = 0;
    std::uint64_t m_nextAfterEnd = 0;
    double m_excess = -1e9;
    int m_nowMs = 0;
    int m_shareMs = 0;
    int m_checkpointMs = 0;
    int m_restoreAtMs = -1;
    int m_endedAtMs = -1;
    int m_decisions = 0;
    bool m_hasShifted = false;
};

} // namespace plumfold::core::tests
