#pragma once

#include "plumfold/core/plumfold_control_state.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::core {

/// A target that has declared that it is about to end, in one of its incarnations. Control VMs keep it as a
/// lease in the replicated log, so that it outlives all of their processes and ends by itself.
struct departure {
    std::string target;
    unix_milliseconds startedAt = 0; ///< Identifies the incarnation.
    auto operator<=>(const departure&) const = default;
};

/// How long a departure is kept: longer than announcements may be on their way and targets go on serving.
inline constexpr std::uint32_t departureLeaseMs = 120'000;

/// @return the name of the lease that stands for a departure.
std::string departureLeaseName(const departure& each);

/// @return the departure that a lease stands for; nothing if it stands for something else.
std::optional<departure> parseDepartureLease(const std::string& leaseName);

/// @param leases leases by name.
/// @return the departures among them.
std::vector<departure> departuresOf(const std::map<std::string, lease_state>& leases);

} // namespace plumfold::core
