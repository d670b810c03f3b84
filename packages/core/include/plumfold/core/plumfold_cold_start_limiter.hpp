#pragma once

#include "plumfold/core/plumfold_grant.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace plumfold::core {

/// Requests that a cold target bears from all entries together.
struct cold_start_rate {
    double perSecond = 0; ///< On average.
    double maxPerSecond = 0; ///< In any single second.
    auto operator<=>(const cold_start_rate&) const = default;
};

/// Grants the starts of requests on cold targets for one failure domain. Every failure domain has a fixed
/// part of each target's rate, so that no domain depends on what another one does or is believed to do. If
/// the rate is too low for all domains, some of them, selected by rendezvous hashing, have a part.
class cold_start_limiter {
public:
    /// @param allDomains the failure domains of the system, the same list in each of them.
    /// @param grantLifetime how long after a grant the request may still be sent.
    cold_start_limiter(
        std::string failureDomain, std::vector<std::string> allDomains, milliseconds grantLifetime);

    /// Withholds grants until those of a predecessor no longer count.
    /// @param from time of the predecessor's latest possible grant.
    void restart(instant from);

    /// Decides on one start; a grant is counted.
    grant_decision tryStart(const std::string& target, const cold_start_rate& rate, instant now);

    /// Removes targets whose latest grant no longer matters.
    void removeIdle(instant now, milliseconds maxAge);

private:
    milliseconds window() const;
    std::size_t domainsWithPart(const cold_start_rate& rate) const;
    bool hasPart(const std::string& target, const cold_start_rate& rate) const;
    milliseconds interval(const cold_start_rate& rate) const;

    std::string m_failureDomain;
    std::vector<std::string> m_allDomains;
    milliseconds m_grantLifetime;
    instant m_grantsFrom {};
    std::map<std::string, instant> m_lastGrant; // by target
};

} // namespace plumfold::core
