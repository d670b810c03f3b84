#pragma once

#include "plumfold/core/plumfold_crash_registry.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace plumfold::core {

/// The verdict on a request that crashes targets, as control VMs hand it to entries.
struct crash_verdict {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0; ///< Targets that it crashed.
    milliseconds keepFor { 0 }; ///< Until the verdict expires.
    bool isWithdrawn = false; ///< An operator has lifted it.
    auto operator<=>(const crash_verdict&) const = default;
};

/// A success of a suspect.
struct suspect_success {
    std::uint64_t fingerprint = 0;
    milliseconds age { 0 };
    auto operator<=>(const suspect_success&) const = default;
};

/// Tells an entry which requests must not be sent to targets because they crash them, and which of its
/// requests have recently succeeded and so do not. Performs no I/O and reads no clock.
class crash_screen {
public:
    /// @param maxSuccessAge how long a success counts.
    explicit crash_screen(
        milliseconds maxSuccessAge = maxClearingSuccessAge, std::size_t maxSuccesses = 50'000)
        : m_maxSuccessAge(maxSuccessAge)
        , m_maxSuccesses(maxSuccesses)
    {
    }

    /// Applies verdicts. Those that are missing stay in force until they expire, since the control VM may not
    /// have learned of them yet.
    /// @return the verdicts that were not known.
    std::vector<crash_verdict> applyVerdicts(const std::vector<crash_verdict>& verdicts, instant now);

    /// Replaces the suspects.
    void setSuspects(const std::vector<crash_suspect>& suspects);

    /// Records that a request succeeded.
    void onSuccess(std::uint64_t fingerprint, instant now);

    /// @return the time for which the verdict on a request stays in force, or nothing if it has none.
    std::optional<milliseconds> condemnedFor(std::uint64_t fingerprint, instant now) const;

    /// @return the number of targets that are known to have crashed while they ran a suspect.
    std::uint32_t crashesOf(std::uint64_t fingerprint) const;

    /// @return whether a request may have caused a crash: it has not succeeded recently.
    bool mayHaveCrashed(std::uint64_t fingerprint, instant now) const;

    /// @return the successes of suspects that were not returned before.
    std::vector<suspect_success> takeSuccesses(instant now);

    /// Counts the rejection of a condemned request.
    /// @return whether control VMs are to be told, so that they keep the verdict.
    bool takeRejection(std::uint64_t fingerprint, instant now);

    std::size_t verdicts() const { return m_verdicts.size(); }

private:
    struct known_verdict {
        instant until {}; // in force
        std::optional<instant> rejectionTakenAt;
    };
    struct success {
        instant at {};
        instant reported {}; // the success that was last returned
    };

    void dropOldSuccesses(instant now);

    milliseconds m_maxSuccessAge;
    std::size_t m_maxSuccesses;
    std::map<std::uint64_t, known_verdict> m_verdicts;
    std::map<std::uint64_t, std::uint32_t> m_suspects; // crashes
    std::unordered_map<std::uint64_t, success> m_successes;
    std::deque<std::pair<instant, std::uint64_t>> m_successOrder; // oldest first
};

} // namespace plumfold::core
