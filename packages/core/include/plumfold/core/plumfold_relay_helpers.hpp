#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plumfold::core {

/// Where an entry accepts requests that other entries relay.
struct entry_address {
    std::string name;
    std::string address; ///< ip:port
    std::string failureDomain;
    auto operator<=>(const entry_address&) const = default;
};

/// Selects the entries to which an entry may relay requests: a few of its own failure domain, which may be
/// cut off as a whole, and others. Rendezvous hashing spreads the entries over their helpers.
/// @param entry the entry that gets the helpers; it is not among them.
/// @param all all known entries.
std::vector<entry_address> selectHelpers(
    const std::string& entry, const std::string& failureDomain, std::vector<entry_address> all);

/// @return a number that differs for different helpers; 0 for none.
std::uint64_t digestOf(const std::vector<entry_address>& helpers);

/// Selects a helper for each request that an entry relays. Performs no I/O and reads no clock.
class relay_helpers {
public:
    /// @param failureDomain of this entry; helpers in it are preferred.
    explicit relay_helpers(std::string failureDomain)
        : m_failureDomain(std::move(failureDomain))
    {
    }

    /// Replaces the helpers.
    void setHelpers(const std::vector<entry_address>& helpers);

    /// Selects the helper with the fewest own requests and records the start of a request. Each must be ended
    /// by onEnded().
    /// @param excluded names of helpers that were already tried.
    /// @return nothing if none may take another request.
    std::optional<entry_address> choose(const std::set<std::string>& excluded, instant now);

    /// @param isUnavailable whether the helper took no requests; it gets none for a time.
    void onEnded(const std::string& name, bool isUnavailable, instant now);

    bool empty() const { return m_helpers.empty(); }

private:
    struct tracked_helper {
        entry_address address;
        std::uint32_t inFlight = 0;
        instant unavailableUntil {};
        bool isKnown = true; // false: removed while it had requests
    };

    std::string m_failureDomain;
    std::map<std::string, tracked_helper> m_helpers; // by name
};

} // namespace plumfold::core
