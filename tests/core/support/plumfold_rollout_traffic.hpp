#pragma once

#include "plumfold/core/rollout/plumfold_rollout_evidence.hpp"
#include "plumfold/core/rollout/plumfold_rollout_judge.hpp"

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace plumfold::core::tests {

/// How a cohort answers the requests of a stratum.
struct answer_behavior {
    double failures = 0.002; ///< Portion.
    double slow = 0; ///< Portion of answers that take slowMs.
    double medianMs = 200;
    double spread = 0.3; ///< Standard deviation of the logarithm.
    double slowMs = 1'500;
};

/// Requests of a service in one window of 500 ms, answered by both cohorts and reported by one entry.
class rollout_traffic {
public:
    explicit rollout_traffic(unsigned seed)
        : m_random(seed)
    {
    }

    /// Answers requests of a stratum.
    /// @param mean number of answers; the actual one is from a Poisson distribution.
    void answer(const rollout_stratum& stratum, bool isNext, double mean, const answer_behavior& behavior)
    {
        auto& row = m_rows[stratum];
        auto& counts = isNext ? row.next : row.former;
        auto number = std::poisson_distribution<int>(mean)(m_random);
        for (int index = 0; index < number; ++index)
            answerOne(counts, behavior);
        (isNext ? m_report.nextRequests : m_report.formerRequests) += static_cast<std::uint64_t>(number);
    }

    /// Reports the sums and ends the window.
    void endWindow(rollout_evidence& evidence)
    {
        m_report.entry = "entry";
        ++m_report.number;
        m_report.rows.clear();
        for (const auto& [stratum, counts] : m_rows)
            m_report.rows.push_back({ stratum, counts.former, counts.next });
        evidence.add(m_report);
        evidence.closeWindow();
    }

private:
    void answerOne(rollout_counts& counts, const answer_behavior& behavior)
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        if (uniform(m_random) < behavior.failures) {
            ++counts.failures;
            return;
        }
        auto ms = uniform(m_random) < behavior.slow
            ? behavior.slowMs
            : std::lognormal_distribution<double>(std::log(behavior.medianMs), behavior.spread)(m_random);
        ++counts.latencies[rolloutLatencyClass(milliseconds(static_cast<int>(ms)))];
    }

    std::mt19937 m_random;
    rollout_report m_report;
    std::map<rollout_stratum, rollout_cohort_counts> m_rows;
};

} // namespace plumfold::core::tests
