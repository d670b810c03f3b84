#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace plumfold::core {

/// Grants retries from the reserve that each service has in a sliding window, for one failure domain. Every
/// failure domain has a fixed part of the reserve; the parts add up to it exactly.
class retry_reserve {
public:
    /// @param allDomains the failure domains of the system, the same list in each of them.
    /// @param size retries to each service per window, of all failure domains together.
    retry_reserve(std::string failureDomain, std::vector<std::string> allDomains, std::uint64_t size,
        milliseconds window);

    /// Withholds grants until those of a predecessor no longer count.
    /// @param from time of the predecessor's latest possible grant.
    void restart(instant from);

    /// @return whether a retry may be sent; if so, it is counted.
    bool tryTake(const std::string& service, instant now);

private:
    std::uint64_t partOf(const std::string& service) const;

    std::string m_failureDomain;
    std::vector<std::string> m_allDomains;
    std::uint64_t m_size;
    milliseconds m_window;
    instant m_grantsFrom {};
    std::map<std::string, std::deque<instant>> m_granted; // times in the window, by service
};

} // namespace plumfold::core
