#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace plumfold::core {

/// Rate at which places become free while requests wait, as a mean over about two seconds of such time.
class place_rate {
public:
    /// Accounts for the time since the last call.
    /// @param isWaiting whether requests have waited since then.
    void advance(bool isWaiting, instant now);
    /// Counts a place that became free while requests wait.
    void count() { m_freed += 1; }

    /// @return places per second; nothing until it is known.
    std::optional<double> perSecond() const;

private:
    double m_freed = 0; // fades
    double m_seconds = 0; // fades
    std::optional<instant> m_advancedAt;
};

/// Tells refused callers when to come back, such that they return when places become free that nobody else
/// has taken. Granted requests advance the schedule as well as refused ones: while more requests arrive than
/// there are places, callers that return early would find as little room as before.
class retry_schedule {
public:
    /// Accounts for a request that got a place.
    void onGrant(std::uint8_t level, std::optional<double> perSecond, instant now);

    /// @param waitBefore until the requests that wait now have places.
    /// @param perSecond places that become free per second, if known.
    /// @return when the caller should come back, from now.
    milliseconds next(std::uint8_t level, double waitBefore, std::optional<double> perSecond, instant now);

private:
    void take(std::uint8_t level, instant at, std::optional<double> perSecond, instant now);

    std::map<std::uint8_t, instant> m_next; // first free time by level
};

} // namespace plumfold::core
