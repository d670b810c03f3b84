#pragma once

#include "plumfold/core/places/plumfold_place_types.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::core {

/// Decides whether the entries compete for the room of a service's targets, as far as one entry can tell.
/// Without contention, no request needs a place, and none has to wait for the message that grants it. There
/// is one for each service. Performs no I/O and reads no clock.
class contention_detector {
public:
    /// Records that this entry sends a request to the service. Each must be ended by onEnded().
    void onSent(instant now);
    void onEnded(instant now);
    /// Records that a target has rejected a request of this entry for lack of room.
    void onRejection(instant now) { m_evidenceAt = now; }
    /// Records a decision on a request for a place.
    /// @param waited time from the request for the place to its decision.
    void onDecision(const place_decision& decision, milliseconds waited, instant now);

    /// @param slots requests that the usable targets of the service run at the same time.
    /// @param entries that send requests to the service.
    bool isContended(std::uint32_t slots, std::uint32_t entries, instant now);

    /// @return the mean number of this entry's requests in flight.
    double averageInFlight() const { return m_average; }

private:
    void advance(instant now);

    std::uint32_t m_inFlight = 0;
    double m_average = 0; // of m_inFlight, EWMA by time
    std::optional<instant> m_advancedAt;
    std::optional<instant> m_evidenceAt; // of the latest rejection or decision that shows contention
};

/// @return the failure domain whose issuer grants the places of a service: all entries that know the same
/// failure domains choose the same one. Empty if none is known.
std::string placeDomainOf(const std::string& service, const std::vector<std::string>& failureDomains);

/// @return how long a request may wait for a place, so that it is still answered in time if it gets one.
/// @param timeLeft until the caller's deadline.
/// @param latencyTarget of the route; 0: none.
/// @param latencyShare part of the latency target that a request of this priority may wait.
/// @param waited time that the request has already waited for places.
milliseconds maxPlaceWait(
    milliseconds timeLeft, milliseconds latencyTarget, double latencyShare, milliseconds waited);

} // namespace plumfold::core
