#pragma once

#include "plumfold/core/plumfold_crash_registry.hpp"
#include "plumfold/core/plumfold_request_traits.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plumfold::core {

/// The verdict on requests that crash targets, as control VMs hand it to entries.
struct crash_verdict {
    std::uint64_t id = 0;
    trait_set traits; ///< It applies to requests with all of these.
    std::uint32_t crashes = 0; ///< Targets that they crashed.
    milliseconds keepFor { 0 }; ///< Until the verdict expires.
    bool isWithdrawn = false; ///< An operator has lifted it.
    auto operator<=>(const crash_verdict&) const = default;
};

/// A success of a request with a suspected trait.
struct suspect_success {
    std::uint64_t trait = 0;
    milliseconds age { 0 };
    auto operator<=>(const suspect_success&) const = default;
};

/// Tells an entry which requests must not be sent to targets because they crash them, and which of its
/// requests have recently succeeded and so do not. Performs no I/O and reads no clock.
class crash_screen {
public:
    /// @param maxSuccessAge how long a success is kept, to clear a request that is suspected later.
    explicit crash_screen(
        milliseconds maxSuccessAge = milliseconds(60'000), std::size_t maxSuccesses = 50'000)
        : m_maxSuccessAge(maxSuccessAge)
        , m_maxSuccesses(maxSuccesses)
    {
    }

    /// A verdict that applies to a request.
    struct match {
        std::uint64_t verdict = 0; ///< Its id.
        milliseconds keepFor { 0 }; ///< Until it expires.
        auto operator<=>(const match&) const = default;
    };

    /// Applies verdicts. Those that are missing stay in force until they expire, since the control VM may not
    /// have learned of them yet.
    /// @return the verdicts that were not known.
    std::vector<crash_verdict> applyVerdicts(const std::vector<crash_verdict>& verdicts, instant now);

    /// Replaces the suspects.
    void setSuspects(const std::vector<crash_suspect>& suspects);

    /// Records that a request succeeded.
    void onSuccess(const std::vector<request_trait>& request, instant now);

    /// @return the verdict on a request, or nothing if it has none.
    std::optional<match> findVerdict(const std::vector<request_trait>& request, instant now) const;

    /// @return whether a request is known to have crashed a target, or its parts several.
    bool isSuspect(const std::vector<request_trait>& request) const;

    /// @return the latest successes of traits of a request.
    std::vector<suspect_success> successesOf(const std::vector<request_trait>& request, instant now) const;

    /// @return the successes of suspects that were not returned before.
    std::vector<suspect_success> takeSuccesses(instant now);

    /// Counts a rejection by a verdict.
    /// @return whether control VMs are to be told, so that they keep the verdict.
    bool takeRejection(std::uint64_t verdict, instant now);

    std::size_t verdicts() const { return m_verdicts.size(); }

private:
    struct known_verdict {
        trait_set traits;
        instant until {}; // in force
        std::optional<instant> rejectionTakenAt;
    };
    struct success {
        instant at {};
        instant reported {}; // the success that was last returned
    };

    void dropOldSuccesses(instant now);
    void remove(std::map<std::uint64_t, known_verdict>::iterator verdict);

    milliseconds m_maxSuccessAge;
    std::size_t m_maxSuccesses;
    std::map<std::uint64_t, known_verdict> m_verdicts; // by id
    std::unordered_multimap<std::uint64_t, std::uint64_t> m_verdictsByTrait; // ids by their first trait
    std::unordered_map<std::uint64_t, std::uint32_t> m_suspects; // crashes
    std::unordered_map<std::uint64_t, success> m_successes;
    std::deque<std::pair<instant, std::uint64_t>> m_successOrder; // oldest first
};

} // namespace plumfold::core
