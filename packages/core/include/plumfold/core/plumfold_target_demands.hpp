#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::core {

/// What a target asks of all its callers together, according to its responses.
struct target_demand {
    std::string target;
    unix_milliseconds startedAt = 0; ///< Incarnation of the target.
    /// Orders the statements about the limit: higher for one that is known to be later or has to be assumed.
    std::uint64_t epoch = 0;
    std::optional<double> maxRequestsPerSecond; ///< From all callers; nothing: no limit.
    bool isLeaving = false; ///< The target is about to end, whatever it announces; never taken back.
    bool operator==(const target_demand&) const = default;
};

/// @return the limit for a log: requests per second, or "none".
std::string limitText(const target_demand& demand);

/// What one response of a target states.
struct target_statement {
    std::string target;
    unix_milliseconds startedAt = 0; ///< Incarnation of the target.
    std::optional<double> maxRequestsPerSecond; ///< Nothing: the response names no limit.
    std::uint64_t knownEpoch = 0; ///< Epoch that was known here when the request was sent.
    bool isLeaving = false;
};

/// The demands of all targets, as far as known to one process. Processes exchange them; whatever the order in
/// which they arrive, all processes come to the same result. A limit is in force from the first response that
/// names it. Only the response to a request that was sent with the limit known ends or raises it, since
/// responses may overtake each other. Performs no I/O and reads no clock.
class target_demands {
public:
    /// A demand and its place among the changes.
    struct entry {
        target_demand demand;
        std::uint64_t change = 0; ///< Number of the latest change.
        instant changedAt {};
    };

    /// Applies a demand that another process knows.
    /// @return whether anything changed.
    bool apply(const target_demand& demand, instant now);

    /// Applies a response.
    /// @return the demand if it has changed.
    std::optional<target_demand> onResponse(const target_statement& statement, instant now);

    /// @return the demand of a target; nothing if it has made none in this incarnation.
    std::optional<target_demand> find(const std::string& target, unix_milliseconds startedAt) const;

    /// @return whether a target has declared that it is about to end.
    bool isLeaving(const std::string& target, unix_milliseconds startedAt) const;

    /// @return the limit of a target, in requests per second from all callers; nothing: none.
    std::optional<double> maxRequestsPerSecond(const std::string& target, unix_milliseconds startedAt) const;

    /// @return the number of the latest change.
    std::uint64_t latestChange() const { return m_latestChange; }

    /// @param change a number of latestChange(); 0 for all demands.
    /// @return the demands that changed after it.
    std::vector<target_demand> changedAfter(std::uint64_t change) const;

    const std::map<std::string, entry>& entries() const { return m_entries; }

    /// Removes demands of targets that are not known any more and last changed longer ago than maxAge.
    void removeStale(
        const std::function<bool(const std::string&)>& isKnown, instant now, milliseconds maxAge);

    /// @return the number of targets that limit their requests.
    std::size_t limitedTargets() const;

private:
    const target_demand* lookup(const std::string& target, unix_milliseconds startedAt) const;
    static void updateLimit(target_demand& demand, const target_statement& statement);
    void set(target_demand demand, instant now);

    std::map<std::string, entry> m_entries; // by target
    std::uint64_t m_latestChange = 0;
};

} // namespace plumfold::core
