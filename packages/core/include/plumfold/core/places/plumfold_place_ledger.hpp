#pragma once

#include "plumfold/core/places/plumfold_place_types.hpp"

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace plumfold::core {

/// A place that an entry still uses.
struct held_place {
    place_id id;
    place_candidate target;
    auto operator<=>(const held_place&) const = default;
};

/// Figures of a place_ledger for metrics and logs.
struct place_ledger_figures {
    std::size_t held = 0; ///< Places in use.
    std::size_t waiting = 0; ///< Requests that wait for a place.
    std::uint64_t granted = 0; ///< Since the start.
    std::uint64_t refused = 0; ///< Since the start.
    std::uint64_t rejected = 0; ///< Places whose target had no room after all, since the start.
    std::uint64_t expired = 0; ///< Places that were not renewed, since the start.
    double freedPerSecond = 0; ///< Places that became free while requests waited; 0 if not known.
    auto operator<=>(const place_ledger_figures&) const = default;
};

/// Grants places on the targets of one service to all entries and orders the requests that wait for one.
/// Answers overload of a service whose targets run few requests at once: without it, entries that decide
/// without each other send more requests to a target than it has room for, and who is served is decided by
/// chance. Performs no I/O and reads no clock.
class place_ledger {
public:
    place_ledger();
    ~place_ledger();
    place_ledger(place_ledger&&) noexcept;
    place_ledger& operator=(place_ledger&&) noexcept;

    /// Grants only half of each target's room for a while, since places that another control VM granted are
    /// known only from their renewal.
    /// @param from when this control VM became the issuer.
    void onTakeover(instant from);

    /// Adds a request. Its decision is among those that the next takeDecisions() returns, or a later one
    /// while it waits. A request that is repeated gets the same place.
    void submit(const place_request& request, instant now);

    /// Removes a waiting request, or ends its place as unused if it was granted meanwhile.
    void cancel(place_id id, instant now);

    /// Ends the use of a place. Unknown places are ignored.
    void end(const place_end& ended, instant now);

    /// Extends places. Those that are not known are added: this control VM may have become the issuer after
    /// they were granted.
    void renew(const std::vector<held_place>& held, instant now);

    /// Expires places that were not renewed and requests that have waited too long, and grants free places.
    /// @return the decisions since the last call.
    std::vector<std::pair<place_id, place_decision>> takeDecisions(instant now);

    /// @return whether nothing is held and nothing waits.
    bool isIdle() const;
    place_ledger_figures figures() const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace plumfold::core
