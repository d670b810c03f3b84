#pragma once

#include "plumfold/core/rollout/plumfold_rollout_judge.hpp"
#include "plumfold/core/rollout/plumfold_rollout_record.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace plumfold::core {

/// What a control VM knows of a running rollout.
struct rollout_situation {
    milliseconds elapsed { 0 }; ///< Since the order.
    milliseconds sinceDecision { 0 }; ///< Since the share in force was decided, as far as known.
    rollout_totals totals; ///< Requests as reported by the entries.
    std::uint64_t nextSinceShare = 0; ///< Requests to the next version since the share in force was decided.
    double requestsPerSecond = 0; ///< Of the service, over all entries.
    std::uint32_t nextTargets = 0; ///< Warm targets of the next version that are not silent.
    std::uint32_t nextSlots = 0; ///< Of these targets.
    /// Of the warm targets with other versions that are in use and not silent.
    std::uint32_t formerSlots = 0;
    /// Entries that have reported on the rollout; without those that are gone for good.
    std::uint32_t entries = 0;
    /// Those whose latest report may be outdated: they may have gone back to former targets since.
    std::uint32_t silentEntries = 0;
    std::uint32_t lateEntries = 0; ///< Those that have not applied the share in force.
    std::uint32_t recentEntries = 0; ///< Entries that have reported within rollout_planner::recentTime().
    std::uint32_t recentLateEntries = 0; ///< Those that have not applied the share in force.
    std::uint64_t formerInFlight = 0; ///< Requests that former targets run, over all entries.
    bool isDisturbed = false; ///< Targets of the service or entries fell silent in the last seconds.
    auto operator<=>(const rollout_situation&) const = default;
};

/// Bounds and steps of rollouts. Portions of the duration are given as fractions.
struct rollout_planner_options {
    double exposureShare = 0.1; ///< Of the service's requests that a bad version may get.
    double exposureSlack = 50; ///< Requests beyond that share.
    double canaryShare = 0.06;
    double maxCanaryShare = 0.25; ///< For services with few requests.
    /// Answers that a canary needs; the canary share is larger for services with too few requests.
    double canaryAnswers = 120;
    double canaryUntil = 0.55; ///< A version may turn bad late, so that a verdict is final only then.
    double minCanaryUntil = 0.35; ///< For rollouts so short that finishTime would not be left.
    /// After the canary: the steps take some 2 s, and requests that former targets run have some 4 s to end.
    milliseconds finishTime { 7'000 };
    double verdictUntil = 0.85; ///< Without a verdict by then, the rollout is rolled back.
    double capacity = 0.9; ///< Of the former slots that warm next targets need.
    milliseconds reportDelay { 700 }; ///< Age of reports, and time in which entries apply a decision.
    milliseconds noticeTime { 800 }; ///< In which a bad version is noticed after a change of the share.
    milliseconds stepInterval { 400 };
    /// Between the largest share that the exposure bound allows and all requests: in this time all entries
    /// apply the share and report on it.
    milliseconds watchTime { 1'200 };
    std::uint64_t watchRequests = 60; ///< Requests that the version gets in this time at least.
    /// Time that the shift needs before the deadline. Entries take up to 0.7 s to apply it and as long to
    /// report it.
    milliseconds shiftTime { 2'500 };
    milliseconds forceTime { 1'500 }; ///< Before the deadline, entries that are silent are not waited for.
    double maxSuspicion = 0.25; ///< With more, the share is not increased.
    double maxFinalSuspicion = 0.5; ///< With more, the rollout is not completed.
};

/// Computes the decisions on a running rollout.
///
/// While the version is not judged, and in the steps that follow, the share is increased only if the requests
/// that can reach the version until a fault is noticed fit the exposure bound. The last step, to all
/// requests, can't fit it (0.8 s of all requests are usually more than a tenth of all before it); it is taken
/// only after the largest share that fits has been watched.
class rollout_planner {
public:
    explicit rollout_planner(rollout_planner_options options)
        : m_options(options)
    {
    }

    /// @param service of the rollout.
    /// @return the next decision; nothing while the one in force stays, or once the rollout has ended.
    std::optional<decide_rollout_command> decide(const std::string& service, const rollout_record& record,
        const rollout_assessment& assessment, const rollout_situation& situation) const;

    /// @return the age of an entry's latest report up to which it counts as one that has reported recently: 2
    /// s; less in the last second before the deadline, as an entry that was cut off shortly before it would
    /// otherwise prevent the completion.
    static milliseconds recentTime(const rollout_record& record, milliseconds elapsed);

    /// @return a decision that keeps share and stage and records totals and elapsed time.
    static decide_rollout_command checkpoint(const std::string& service, const rollout_record& record,
        const rollout_assessment& assessment, const rollout_situation& situation);

private:
    struct step {
        rollout_state state = rollout_state::running;
        rollout_stage stage = rollout_stage::preparing;
        std::uint32_t share = 0;
        std::string reason;
    };
    struct input {
        const rollout_record& record;
        const rollout_assessment& assessment;
        const rollout_situation& situation;

        milliseconds remaining() const;
        double progress() const;
    };
    using stage_rule = std::optional<step> (rollout_planner::*)(const input&) const;

    std::optional<step> plan(const input& from) const;
    std::optional<step> prepare(const input& from) const;
    std::optional<step> observeCanary(const input& from) const;
    std::optional<step> raise(const input& from) const;
    std::optional<step> shift(const input& from) const;
    std::optional<step> end(const input& from) const;

    double budget(const input& from) const;
    std::uint32_t fittingShare(const input& from) const;
    std::uint32_t canaryShare(const input& from) const;
    double canaryEnd(const input& from) const;
    bool hasCapacity(const rollout_situation& situation) const;
    std::string missing(const input& from) const;

    rollout_planner_options m_options;
};

} // namespace plumfold::core
