#pragma once

#include "plumfold/core/plumfold_host_name.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <absl/status/status.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plumfold::core {

/// Whether requests of a route may be retried.
enum class request_kind : std::uint8_t {
    idempotent, ///< May run more than once.
    once, ///< May run at most once per attempt of the caller.
    stream, ///< Answered with numbered events; runs at most once unless its route is resumable.
};

/// A service to which a route forwards a share of its requests.
struct route_share {
    std::string service;
    double weight = 1; ///< Share of the route's requests, relative to the other services.
    auto operator<=>(const route_share&) const = default;
};

/// Forwarding rules for the requests of one host and path prefix.
struct route {
    std::string name;
    std::string host; ///< As the operator writes it; with a port, only requests for this port match.
    std::string pathPrefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::once;
    milliseconds timeout { 0 }; ///< Longest time that a caller waits.
    milliseconds latencyTarget { 0 }; ///< For the answer, or for the first event of a stream.
    milliseconds maxPause { 0 }; ///< Streams: target for the longest pause between two events.
    std::uint32_t priority = 0; ///< 0 is the highest.
    std::uint32_t maxAttempts = 1; ///< Targets tried at most per attempt of the caller.
    bool isPublic = false; ///< Whether requests are accepted without an API key.
    bool hasSessions = false; ///< Whether requests carry prompts with shared parts.
    bool isResumable = false; ///< Whether a stream may be continued by another target.
    std::vector<route_share> shares;
    auto operator<=>(const route&) const = default;
};

/// Capacity of each of a service's model engines.
struct engine_limits {
    std::uint32_t slots = 1; ///< Maximum number of requests in a batch.
    std::uint64_t memoryTokens = 0; ///< KV memory in tokens.
    std::uint64_t bytesPerToken = 0; ///< KV data per token.
    double linkMegabitsPerSecond = 0;
    std::vector<std::string> models; ///< That each engine names in its announcements.
    auto operator<=>(const engine_limits&) const = default;
};

/// A store of KV parts.
struct part_store {
    std::string address; ///< ip:port
    std::string failureDomain;
    std::uint64_t capacityTokens = 0;
    double linkMegabitsPerSecond = 0;
    double setupMs = 3; ///< Of each transfer. Stores need 0.5 to 6 ms; this counts for those that state none.
    auto operator<=>(const part_store&) const = default;
};

/// Limits that apply to every target of a service.
struct service_limits {
    std::string name;
    std::uint32_t connectionLimit = 0; ///< Connections that a target accepts in total; 0: unknown.
    double coldRequestsPerSecond
        = 0; ///< Rate limit of a cold target; 0: targets of this service are never cold.
    milliseconds coldTime { 0 }; ///< How long a target is cold after its start.
    std::optional<engine_limits> engine;
    std::optional<part_store> store;
    auto operator<=>(const service_limits&) const = default;
};

/// Size and time limits for the requests of callers.
struct caller_limits {
    std::uint64_t maxHeaderBytes = 16 << 10;
    std::uint64_t maxBodyBytes = 4 << 20;
    milliseconds headerTimeout { 3000 };
    milliseconds idleTimeout { 15000 };
    auto operator<=>(const caller_limits&) const = default;
};

/// A customer with its API keys and forwarding options.
struct customer_access {
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Takes precedence over the priority of the route.
    bool isIsolated = false; ///< Shares no KV parts with other customers.
    auto operator<=>(const customer_access&) const = default;
};

/// The routes, services, limits and customers that operators deploy together. Immutable.
class deployment {
public:
    deployment() = default;
    /// @param customers who may send requests; without a list, requests need no customer.
    deployment(std::uint64_t version, std::vector<route> routes, std::vector<service_limits> services,
        caller_limits limits, std::optional<std::vector<customer_access>> customers);

    /// @return OK, or invalid_argument that names the first error and how to correct it.
    absl::Status check() const;

    std::uint64_t version() const { return m_version; }
    const caller_limits& limits() const { return m_limits; }
    const std::vector<route>& routes() const { return m_routes; }
    const std::vector<service_limits>& services() const { return m_services; }
    /// @return whether there is a list of customers. It may be empty: then nobody has a known key.
    bool hasCustomers() const { return m_customers.has_value(); }

    /// @return the route of the host with the longest matching path prefix, or null. Routes that name the
    /// port of the host precede those that name none. A query is ignored.
    const route* findRoute(const host_name& host, std::string_view path) const;

    /// @return whether only requests of customers may be forwarded by the route.
    bool requiresCustomer(const route& requestRoute) const;

    /// @return the customer that holds the key, or null. Nobody holds an empty key.
    const customer_access* findCustomer(std::string_view key) const;

    /// @return the customer with the name, or null.
    const customer_access* findCustomerNamed(std::string_view name) const;

    /// @return the service, or null.
    const service_limits* findService(std::string_view name) const;

private:
    void addRoute(std::size_t index);
    const route* findRouteOf(const host_name& host, std::string_view path) const;

    std::uint64_t m_version = 0;
    std::vector<route> m_routes;
    std::vector<service_limits> m_services;
    caller_limits m_limits;
    std::optional<std::vector<customer_access>> m_customers { std::in_place };
    std::map<host_name, std::map<std::string, std::size_t, std::less<>>> m_routesByHost;
    std::map<std::string, std::size_t, std::less<>> m_customersByKey;
    std::map<std::string, std::size_t, std::less<>> m_servicesByName;
};

/// Highest value of a request's effective priority, which is served last.
inline constexpr std::uint32_t lowestEffectivePriority = 9;

/// Combines the priorities of customer and route. The customer's priority decides first; the route's decides
/// between customers of equal priority. Without the route's priority, small urgent requests would queue
/// behind large ones when all customers have the same priority.
/// @param customer null for requests of no customer.
/// @return the effective priority, 0 (highest) to lowestEffectivePriority.
std::uint32_t effectivePriorityOf(const route& requestRoute, const customer_access* customer);

/// Chooses one of a route's services for a request, in proportion to their weights.
/// @param draw a uniformly distributed number, such as a hash of the request's id.
/// @return the name of the service, or null when the weights add up to 0.
const std::string* chooseService(const route& requestRoute, std::uint64_t draw);

} // namespace plumfold::core
