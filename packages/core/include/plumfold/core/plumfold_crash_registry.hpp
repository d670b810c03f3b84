#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plumfold::core {

/// A request that ran on a target when the target ended.
struct crash_victim {
    std::uint64_t fingerprint = 0; ///< The same for all repeats of a request.
    auto operator<=>(const crash_victim&) const = default;
};

/// The requests of one entry that ran on a target when the target ended without having announced it.
struct crash_report {
    std::string target;
    unix_milliseconds startedAt = 0; ///< Incarnation of the target.
    std::string service;
    std::vector<crash_victim> victims;
    milliseconds age { 0 }; ///< Since the target ended.
    auto operator<=>(const crash_report&) const = default;
};

/// A request that may crash targets.
struct crash_suspect {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0; ///< Targets that ended while they ran it.
    auto operator<=>(const crash_suspect&) const = default;
};

/// A request that was found to crash targets.
struct crash_finding {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
    std::vector<std::string> targets; ///< That it crashed.
    auto operator<=>(const crash_finding&) const = default;
};

/// A request that succeeded this long before a crash, or later, did not cause it.
inline constexpr milliseconds maxClearingSuccessAge { 10'000 };

/// Parameters of a crash_registry.
struct crash_registry_options {
    /// Time after the first report of a crash in which the other entries report what they ran on the target.
    milliseconds settleTime { 400 };
    milliseconds maxSuccessAge = maxClearingSuccessAge;
    milliseconds maxCrashAge { 900'000 }; ///< Older crashes are no evidence.
    std::uint32_t crashesToCondemn = 3; ///< If all crashes at that time involve the request.
    /// If some do not. A sound request that is retried, and repeated by its caller, is lost four times at
    /// most.
    std::uint32_t crashesToCondemnAmongOthers = 5;
    std::uint32_t crashesToCondemnAlways = 6; ///< Even if most do not involve it.
    /// Crashes this long before the first and after the last one of a request show how often targets of its
    /// service end without it.
    milliseconds backgroundTime { 2'000 };
    std::size_t maxCrashes = 1'024; ///< Limit of the crashes kept; the oldest are dropped.
    std::size_t maxVictims = 512; ///< Limit of the victims kept of one crash.
    std::size_t maxSuspects = 256; ///< Limit of suspects().
};

/// Finds the requests that crash targets, from the reports of all entries about targets that ended. Each
/// crash is blamed on the request that ran in most of the unexplained ones; the others that ran beside it are
/// cleared of that crash. Performs no I/O and reads no clock.
class crash_registry {
public:
    explicit crash_registry(crash_registry_options options = {})
        : m_options(options)
    {
    }

    /// Adds a report. Reports about the same incarnation of a target are merged.
    void addReport(const crash_report& report, instant now);

    /// Records that a request succeeded.
    void addSuccess(std::uint64_t fingerprint, instant at);

    /// Evaluates the crashes that have settled.
    /// @return the requests that are condemned from now on.
    std::vector<crash_finding> condemn(instant now);

    /// Records a verdict that was reached elsewhere.
    void addVerdict(std::uint64_t fingerprint) { m_condemned.insert(fingerprint); }

    /// Removes the verdict on a request, and the crashes that it was based on.
    void withdraw(std::uint64_t fingerprint);

    /// @return the requests whose success would clear them, those with most crashes first.
    std::vector<crash_suspect> suspects(instant now) const;

    /// Drops evidence that is too old.
    void expire(instant now);

    std::size_t crashes() const { return m_crashes.size(); }

private:
    using crash_key = std::pair<std::string, unix_milliseconds>; // target and its start
    struct crash {
        std::string target;
        std::string service;
        instant reportedAt {}; // first report
        instant endedAt {};
        std::set<crash_victim> victims;
    };
    /// A candidate and the unexplained crashes that it was involved in, in order of their keys.
    using candidate_map = std::map<std::uint64_t, std::vector<const crash*>>;

    bool isCandidate(const crash& crash, std::uint64_t fingerprint) const;
    bool isExplained(const crash& crash) const;
    candidate_map candidates(instant reportedUntil) const;
    bool standsOut(const candidate_map& all, candidate_map::const_iterator one) const;
    std::size_t backgroundCrashes(candidate_map::const_iterator one) const;
    bool isSufficient(candidate_map::const_iterator one) const;

    crash_registry_options m_options;
    std::map<crash_key, crash> m_crashes;
    std::map<std::uint64_t, instant> m_successes; // latest one
    std::set<std::uint64_t> m_condemned;
};

} // namespace plumfold::core
