#pragma once

#include "plumfold/core/plumfold_request_traits.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plumfold::core {

/// The requests of one entry that ran on a target when the target ended without having announced it.
struct crash_report {
    std::string target;
    unix_milliseconds startedAt = 0; ///< Incarnation of the target.
    std::string service;
    std::vector<request_traits> victims;
    milliseconds age { 0 }; ///< Since the target ended.
    auto operator<=>(const crash_report&) const = default;
};

/// The latest success of a trait that entries reported to one registry.
struct recorded_success {
    std::uint64_t trait = 0;
    std::uint64_t origin = 0; ///< Id of the registry.
    std::uint64_t number = 0; ///< Later successes have higher ones; unique in the registry.
    milliseconds age { 0 };
    auto operator<=>(const recorded_success&) const = default;
};

/// What a registry knows of crashes, with all that it knows in favour of the requests that were involved.
struct crash_evidence {
    std::vector<crash_report> crashes;
    std::vector<recorded_success> successes;
    std::uint64_t change = 0; ///< Of the registry; it covers all changes up to this one.
};

/// A trait whose requests may crash targets.
struct crash_suspect {
    std::uint64_t trait = 0;
    std::uint32_t crashes = 0; ///< Targets that ended while they ran such requests.
    auto operator<=>(const crash_suspect&) const = default;
};

/// Traits whose requests were found to crash targets.
struct crash_finding {
    trait_set traits; ///< Requests with all of them crash targets.
    trait_kind kind = trait_kind::request;
    std::uint32_t crashes = 0;
    std::vector<std::string> targets; ///< That they crashed.
    auto operator<=>(const crash_finding&) const = default;
};

/// A trait whose requests succeeded this long before a crash, or later, did not cause it.
inline constexpr milliseconds maxClearingSuccessAge { 10'000 };

/// Crashes that are needed for a verdict on a trait.
struct crash_thresholds {
    std::uint32_t alone = 0; ///< If all crashes at that time involve the trait.
    std::uint32_t amongOthers = 0; ///< If some do not.
    std::uint32_t always = 0; ///< Even if most do not.
    std::uint32_t requests = 1; ///< Different requests that were involved.
    auto operator<=>(const crash_thresholds&) const = default;
};

/// Parameters of a crash_registry.
struct crash_registry_options {
    /// Time after the first report of a crash in which the other entries report what they ran on the target.
    milliseconds settleTime { 400 };
    milliseconds maxSuccessAge = maxClearingSuccessAge;
    milliseconds maxCrashAge { 900'000 }; ///< Older crashes are no evidence.
    /// A sound request that is retried, and repeated by its caller, is lost four times at most.
    crash_thresholds forRequests { 3, 5, 6, 1 };
    crash_thresholds forParts { 4, 6, 8, 3 };
    std::size_t customersOfSharedParts = 2; ///< Customers involved, before a part is condemned for all.
    /// Crashes this long before the first and after the last one of a trait show how often targets of its
    /// service end without it.
    milliseconds backgroundTime { 2'000 };
    std::size_t maxCrashes = 1'024; ///< Limit of the crashes kept; the oldest are dropped.
    std::size_t maxVictims = 512; ///< Limit of the victims kept of one crash.
    std::size_t maxSuspects = 256; ///< Limit of suspects().
    std::size_t maxCrashesOfEvidence = 32; ///< Limit of the crashes that evidenceAfter() returns.
    /// A trait that keeps succeeding changes the evidence again after this time; small beside maxSuccessAge.
    milliseconds successInterval { 1'000 };
    std::uint64_t id = 0; ///< Differs between registries that exchange evidence.
};

/// Finds what the requests that crash targets have in common, from the reports of all entries about targets
/// that ended: either it is one request that is repeated, or a part of their prompts. Each crash is blamed on
/// the trait that was involved in most of the unexplained ones; the requests beside it are cleared of that
/// crash. Performs no I/O and reads no clock.
class crash_registry {
public:
    explicit crash_registry(crash_registry_options options = {})
        : m_options(options)
    {
    }

    /// Adds a report. Reports about the same incarnation of a target are merged.
    /// @return whether it is the first one about the crash.
    bool addReport(const crash_report& report, instant now);

    /// Records that a request with a trait succeeded.
    void addSuccess(std::uint64_t trait, instant at);

    /// Evaluates the crashes that have settled.
    /// @return what is condemned from now on.
    std::vector<crash_finding> condemn(instant now);

    /// Records a verdict that was reached elsewhere.
    void addVerdict(const trait_set& traits);

    /// Removes a verdict, and the crashes until then of requests that it applies to. Reports of such crashes
    /// that arrive later are ignored.
    void withdraw(const trait_set& traits, instant at);

    /// @return the number of the latest change of crashes or successes.
    std::uint64_t latestChange() const { return m_latestChange; }

    /// @param change 0 for everything.
    /// @return the crashes that have changed since, or the first of them, and the successes that have, and
    /// all successes of requests that were involved in these crashes.
    crash_evidence evidenceAfter(std::uint64_t change, instant now) const;

    /// Merges the evidence of another registry. Crashes and successes that are known count once.
    /// @return the crashes that were not known.
    std::vector<crash_report> addEvidence(const crash_evidence& evidence, instant now);

    /// @return the traits that a success would clear, those with most crashes first.
    std::vector<crash_suspect> suspects(instant now) const;

    /// Drops evidence that is too old.
    void expire(instant now);

    std::size_t crashes() const { return m_crashes.size(); }

private:
    using crash_key = std::pair<std::string, unix_milliseconds>; // target and its start
    struct victim {
        request_traits request;
        std::vector<request_trait> traits; // the fingerprint first
    };
    struct crash {
        std::string target;
        unix_milliseconds startedAt = 0;
        std::string service;
        instant reportedAt {}; // first report
        instant endedAt {};
        std::map<std::uint64_t, victim> victims; // by fingerprint
        std::uint64_t change = 0;
    };
    struct success {
        std::uint64_t number = 0;
        instant at {};
        instant numberedAt {}; // when the success with this number was; later ones share it for a time
        std::uint64_t change = 0;
    };
    using success_map = std::map<std::uint64_t, success>; // by origin, the latest of each
    /// A trait and the crashes that it may have caused.
    struct candidate {
        trait_kind kind = trait_kind::request;
        std::vector<const crash*> crashes; // in order of their keys
        std::set<std::uint64_t> requests;
        std::set<std::uint64_t> customers;
    };
    using candidate_map = std::unordered_map<std::uint64_t, candidate>;

    /// One of a crash's victims has a trait.
    struct mention {
        const request_trait* trait = nullptr;
        const crash* involved = nullptr;
        std::uint64_t request = 0;
        std::uint64_t customer = 0;
    };

    bool isWithdrawn(const crash_report& report, instant endedAt) const;
    void dropOldestCrash();
    std::optional<instant> latestSuccess(const request_trait& trait) const;
    std::vector<const trait_set*> verdictsOn(const victim& victim) const;
    bool isExplained(const crash& crash) const;
    static bool isOpen(
        const victim& victim, const std::vector<const trait_set*>& verdicts, const request_trait& trait);
    void addMentions(const crash& crash, std::vector<mention>& all) const;
    std::vector<mention> mentions(instant reportedUntil) const;
    candidate_map candidates(instant reportedUntil) const;
    const crash_thresholds& thresholdsOf(const candidate& one) const;
    bool isEligible(const candidate& one) const;
    bool isSufficient(const candidate& one) const;
    std::size_t backgroundCrashes(const candidate& one) const;
    static bool areTogether(const trait_set& traits, const std::vector<const crash*>& crashes);
    bool explainsAsWell(
        const candidate_map& all, const request_trait& other, const candidate& one, const crash& crash) const;
    bool findTogether(const candidate_map& all, std::uint64_t trait, trait_set& together) const;

    crash_registry_options m_options;
    std::map<crash_key, crash> m_crashes;
    std::unordered_map<std::uint64_t, success_map> m_successes; // by trait
    std::map<trait_set, instant> m_withdrawals;
    std::uint64_t m_latestChange = 0;
    std::map<std::uint64_t, std::set<trait_set>> m_verdicts; // by the first trait
};

} // namespace plumfold::core
