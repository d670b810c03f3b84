#pragma once

#include "plumfold/core/plumfold_grant.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <map>
#include <string>

namespace plumfold::core {

/// Grants the starts of requests on targets that limit the requests per second of all callers together.
/// Performs no I/O and reads no clock.
class target_rate_limiter {
public:
    /// Forgets all grants and accumulates new ones from a time on.
    /// @param from when this limiter may grant starts at the earliest; a predecessor granted none later.
    void restart(instant from);

    /// Decides on one start; a grant is counted.
    /// @param perSecond limit of the target. Below a minimum, that applies: without any request, the end of
    /// the limit would not be noticed.
    grant_decision tryStart(
        const std::string& target, unix_milliseconds startedAt, double perSecond, instant now);

    /// Removes targets whose latest request for a start no longer matters.
    void removeIdle(instant now, milliseconds maxAge);

private:
    struct bucket {
        unix_milliseconds startedAt = 0; // incarnation of the target
        double grants = 0; // that are available
        instant filledAt {};
    };

    std::map<std::string, bucket> m_buckets; // by target
    instant m_from {};
};

} // namespace plumfold::core
