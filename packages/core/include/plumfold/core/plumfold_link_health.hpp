#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace plumfold::core {

/// Settings of a link_health.
struct link_health_options {
    /// Distinct targets that have to fail in a row; fewer if fewer are known, but at least minTargets.
    std::size_t targets = 3;
    std::size_t minTargets = 2;
    /// Requests without a byte from any target for this long, beyond the predicted time, count as failures.
    milliseconds silenceTimeout { 1'500 };
    /// Interval of attempts on targets while the link is lost; it doubles up to maxTrialInterval.
    milliseconds trialInterval { 300 };
    milliseconds maxTrialInterval { 1'000 };
    /// Interval of attempts with requests that cannot be repeated, if there are no others.
    milliseconds unrepeatableTrialInterval { 2'000 };
};

/// A change of an entry's link to all targets.
struct link_change {
    bool isLost = false;
    std::size_t failedTargets = 0; ///< Targets that failed since the last byte from any target.
    std::size_t silentTargets = 0; ///< Targets with unanswered requests.
    bool operator==(const link_change&) const = default;
};

/// Judges whether an entry can reach targets at all. One target that fails is its own fault; several distinct
/// ones that fail without a byte from any other mean that the link of the entry is lost. Performs no I/O and
/// reads no clock.
class link_health {
public:
    explicit link_health(link_health_options options = {})
        : m_options(options)
    {
    }

    /// @param count targets that announce themselves as ready.
    void setTargetCount(std::size_t count) { m_targetCount = count; }

    /// Records that a request was sent to a target.
    /// @param expected predicted time to the first byte; 0: unknown.
    /// @return the number of the attempt, for onEnded().
    std::uint64_t onSent(const std::string& target, instant now, milliseconds expected = milliseconds(0));
    void onEnded(std::uint64_t attempt) { m_pending.erase(attempt); }
    /// Records that a target could not be reached, or was lost before it sent a byte.
    void onFailure(const std::string& target) { m_failed.insert(target); }
    /// Records bytes from any target.
    void onBytes(instant now);

    /// Judges the link anew. Call it after failures and bytes, and periodically.
    /// @return the change, or nothing if there is none.
    std::optional<link_change> update(instant now);

    bool isLost() const { return m_isLost; }

    /// @param isRepeatable whether the request may be repeated elsewhere if it is lost.
    /// @return whether a request shall try a target although the link is lost; if so, it is counted.
    bool tryTakeTrial(bool isRepeatable, instant now);

private:
    struct pending_attempt {
        std::string target;
        instant silentFrom {}; // without a byte until then, the target counts as silent
    };

    std::set<std::string> silentTargets(instant now) const;

    link_health_options m_options;
    std::size_t m_targetCount = 0;
    std::uint64_t m_lastAttempt = 0;
    std::map<std::uint64_t, pending_attempt> m_pending; // by number of the attempt
    std::set<std::string> m_failed; // since the last byte
    instant m_lastBytesAt {};
    bool m_isLost = false;
    instant m_lostAt {};
    instant m_lastTrialAt {};
    milliseconds m_trialInterval { 0 };
};

} // namespace plumfold::core
