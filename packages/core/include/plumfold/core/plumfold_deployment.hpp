#pragma once

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

/// What may be repeated of a request on a route.
enum class request_kind : std::uint8_t {
    idempotent, ///< May run more than once.
    once, ///< May run at most once for each attempt of a caller.
    stream, ///< Answers with numbered events; may run once unless its route is resumable.
};

/// One service that a route leads to.
struct route_share {
    std::string service;
    std::uint32_t weight = 1; ///< Share of the route's requests, relative to the other services.
    auto operator<=>(const route_share&) const = default;
};

/// Where requests of one host and path prefix go, and how they are treated.
struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::once;
    milliseconds timeout { 0 }; ///< Longest time that a caller is kept waiting.
    milliseconds latencyTarget { 0 }; ///< Time to the answer, or for streams to the first event.
    milliseconds maxPause { 0 }; ///< Streams: the longest pause between events that is still on time.
    std::uint32_t priority = 0; ///< 0 is the highest.
    std::uint32_t maxAttempts = 1; ///< Targets to which one attempt of a caller may be sent.
    bool isPublic = false; ///< Whether requests need no key.
    bool hasSessions = false; ///< Whether requests carry prompts that share parts.
    bool isResumable = false; ///< Whether a stream may be continued by another target.
    std::vector<route_share> shares;
    auto operator<=>(const route&) const = default;
};

/// The memory and batch of a service's model engines.
struct engine_limits {
    std::uint32_t slots = 1; ///< Requests in one batch.
    std::uint64_t memoryTokens = 0;
    std::uint64_t bytesPerToken = 0;
    double linkMegabitsPerSecond = 0;
    auto operator<=>(const engine_limits&) const = default;
};

/// A store of KV parts.
struct part_store {
    std::string address; ///< ip:port
    std::string failureDomain;
    std::uint64_t capacityTokens = 0;
    double linkMegabitsPerSecond = 0;
    auto operator<=>(const part_store&) const = default;
};

/// What holds for all targets of a service.
struct service_limits {
    std::string name;
    std::uint32_t connectionLimit = 0; ///< Connections that a target accepts from all callers; 0: not told.
    double coldRequestsPerSecond
        = 0; ///< What a cold target bears; 0: targets of this service are never cold.
    milliseconds coldTime { 0 }; ///< How long a target is cold after its start.
    std::optional<engine_limits> engine;
    std::optional<part_store> store;
    auto operator<=>(const service_limits&) const = default;
};

/// What callers may send, and how long they may take.
struct caller_limits {
    std::uint64_t maxHeaderBytes = 16 << 10;
    std::uint64_t maxBodyBytes = 4 << 20;
    milliseconds headerTimeout { 3000 };
    milliseconds idleTimeout { 15000 };
    auto operator<=>(const caller_limits&) const = default;
};

/// A customer whose requests are forwarded.
struct customer_access {
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Takes precedence over the route's.
    bool isIsolated = false; ///< Shares no KV parts with other customers.
    auto operator<=>(const customer_access&) const = default;
};

/// The routes, services, limits and customers that operators put in force together. Immutable.
class deployment {
public:
    deployment() = default;
    deployment(std::uint64_t version, std::vector<route> routes, std::vector<service_limits> services,
        caller_limits limits, std::vector<customer_access> customers);

    /// @return OK, or invalid_argument that names the first fault and its remedy.
    absl::Status check() const;

    std::uint64_t version() const { return m_version; }
    const caller_limits& limits() const { return m_limits; }
    const std::vector<route>& routes() const { return m_routes; }
    const std::vector<service_limits>& services() const { return m_services; }

    /// @return the route of the host whose prefix is the longest that begins the path, or null.
    const route* findRoute(std::string_view host, std::string_view path) const;

    /// @return the customer that holds the key, or null.
    const customer_access* findCustomer(std::string_view key) const;

    /// @return the service, or null.
    const service_limits* findService(std::string_view name) const;

private:
    std::uint64_t m_version = 0;
    std::vector<route> m_routes;
    std::vector<service_limits> m_services;
    caller_limits m_limits;
    std::vector<customer_access> m_customers;
    std::map<std::string, std::map<std::string, std::size_t, std::less<>>, std::less<>> m_routesByHost;
    std::map<std::string, std::size_t, std::less<>> m_customersByKey;
    std::map<std::string, std::size_t, std::less<>> m_servicesByName;
};

/// The least urgent rank that a request can have.
inline constexpr std::uint32_t leastUrgent = 9;

/// Ranks a request among those that compete for a target. The customer's priority goes first; the route's
/// decides between requests of customers with the same one. Load it answers: customers that all have one
/// priority, whose urgent small requests would wait behind large ones.
/// @param customer null for public routes.
/// @return 0 (first) to leastUrgent.
std::uint32_t urgencyOf(const route& requestRoute, const customer_access* customer);

/// Chooses one of a route's services for a request, in proportion to the weights.
/// @param draw a number that is evenly distributed over its range, for instance a hash of the request's id.
/// @return the service, or null when the route has none.
const std::string* chooseService(const route& requestRoute, std::uint64_t draw);

} // namespace plumfold::core
