#pragma once

#include "plumfold_asio.hpp"

#include "plumfold/core/plumfold_time.hpp"

#include <optional>
#include <set>
#include <string>

namespace plumfold::forwarding {

/// Limit of the headers that relaying adds to a request.
inline constexpr std::uint32_t maxRelayHeaderBytes = 8 << 10;

/// What the entry that received a request tells the entry to which it relays it.
struct relayed_request {
    std::string customer; ///< Name of the customer that the first entry found by the API key; empty: none.
    std::string service;
    core::milliseconds timeLeft { 0 }; ///< Until the request's deadline.
    std::size_t attemptsLeft = 0; ///< Targets that the request may still be sent to.
    std::set<std::string> excluded; ///< Targets that it was sent to.
    /// Software version on which a stream has to go on; empty: unknown. Nothing: any.
    std::optional<std::string> softwareVersion;
    bool operator==(const relayed_request&) const = default;
};

/// What has become of a relayed request.
enum class relay_outcome {
    by_target, ///< The response is that of a target.
    not_run, ///< No target has run the request, and none will.
    may_have_run, ///< No target has answered, but one may have run the request.
};

/// What a helper adds to its response to a relayed request.
struct relay_result {
    relay_outcome outcome = relay_outcome::may_have_run;
    bool isUnavailable = false; ///< The helper takes no requests now.
    std::string reason; ///< For the log.
    std::string target;
    std::string softwareVersion; ///< Of the target; empty: unknown.
    bool operator==(const relay_result&) const = default;
};

/// @return whether a request carries the cluster secret.
bool hasRelaySecret(const http::fields& in, const std::string& secret);

/// Decodes the relay headers of a request and removes them.
relayed_request takeRelayHeaders(http::fields& in);

/// Sets the relay headers of a request; those that the caller has sent are dropped.
void encodeRelayedRequest(const relayed_request& request, const std::string& secret, http::fields& out);

/// Decodes the relay headers of a response and removes them.
/// @return nothing if the response has none.
std::optional<relay_result> takeRelayResult(http::fields& in);

/// Sets the relay headers of a response.
void encodeRelayResult(const relay_result& result, http::fields& out);

} // namespace plumfold::forwarding
