#pragma once

#include "plumfold/core/rollout/plumfold_rollout_evidence.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace plumfold::core {

enum class rollout_verdict : std::uint8_t { undecided, good, bad };

/// What the evidence says of the next version.
struct rollout_assessment {
    rollout_verdict verdict = rollout_verdict::undecided;
    /// Strongest sign of a bad version in any group of strata, from 0 (none) to 1 (bad).
    double suspicion = 0;
    std::uint64_t nextAnswers = 0;
    std::uint64_t nextBad = 0; ///< Answers of the next version that failed or were too slow.
    std::string reason; ///< Figures behind the verdict.
    auto operator<=>(const rollout_assessment&) const = default;
};

/// Figures of the sequential test.
struct rollout_judge_options {
    double badPortion = 0.2; ///< Portion of bad answers of a version that has to be found.
    double goodPortion = 0.01; ///< Portion of bad answers that is always tolerated.
    /// Sum of log-likelihood ratios that makes a version bad. 10 keeps false rollbacks below 0.001 for a
    /// rollout, over all groups and times; see the simulation in the tests.
    double badThreshold = 10;
    /// Sum that makes it good: ln(0.001), for 0.001 missed versions that are bad in badPortion.
    double goodThreshold = -6.9;
    /// Windows with bad answers that a verdict "bad" needs at least.
    std::size_t minBadWindows = 5;
    /// Windows of strong evidence that a verdict "bad" needs. A target that ends, or a failure domain that is
    /// cut off, disturbs fewer until entries avoid it.
    double badWindows = 4.45;
    /// The same where former targets have too few answers in the window to compare with.
    double badWindowsAlone = 6;
    std::uint64_t minAnswers = 30; ///< Of the next version in a group; no verdict "bad" with fewer.
    std::uint64_t minBad = 6; ///< The same for bad answers.
    /// Answers within this time are never too slow; a fraction of the shortest latency targets of routes.
    milliseconds slowFloor { 40 };
};

/// Compares the answers of the next version with those of the former one in the same stratum.
///
/// Bad answers are failures and answers that took over three times the former median and longer than 97 % of
/// the former answers; the latter since caches of the next targets are empty at first. Groups of strata (each
/// stratum, each route, the whole service) are tested by cumulative sums of log-likelihood ratios of a bad
/// portion of 0.2 against the former version's portion in the same time. A window's influence is limited, and
/// the tolerated portion rises with the former failures at the time, since a cut-off failure domain may hit
/// the few targets of a cohort harder.
class rollout_judge {
public:
    explicit rollout_judge(rollout_judge_options options = {})
        : m_options(options)
    {
    }

    /// @param evidence with its windows ended about every 500 ms.
    rollout_assessment assess(const rollout_evidence& evidence) const;

private:
    rollout_judge_options m_options;
};

} // namespace plumfold::core
