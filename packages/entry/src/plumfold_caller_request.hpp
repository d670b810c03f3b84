#pragma once

#include "plumfold/core/plumfold_configuration.hpp"
#include "plumfold/core/plumfold_error.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <absl/status/statusor.h>

#include <Poco/Net/HTTPServerRequest.h>

#include <cstdint>
#include <string>

namespace plumfold::entry {

/// Parsed headers of a call.
struct caller_headers {
    std::string idempotencyKey; ///< Empty if the caller sends none.
    bool idempotent = true; ///< Whether the request may run more than once.
    core::milliseconds deadline { 0 }; ///< Time allowed for the complete response, from its arrival.
    std::uint8_t priority = 1; ///< 0 to 2; 0 is the most urgent.
    std::string traceparent; ///< W3C trace context.
};

/// A validated completion request.
struct completion_request {
    std::string model;
    std::string adapter; ///< Empty for the model itself.
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool stream = false;
    bool chat = false; ///< Received through /v1/chat/completions.
};

/// Parses the headers that plumfold defines, and traceparent.
/// @param defaultDeadline used if the caller sets none.
/// @return the headers, or bad_request.
absl::StatusOr<caller_headers> readHeaders(
    const Poco::Net::HTTPServerRequest& request, core::milliseconds defaultDeadline);

/// Parses and validates the body of a completion request.
/// @param chat whether the request was received through /v1/chat/completions.
/// @return the request, or the error for the caller.
absl::StatusOr<completion_request> readCompletion(const std::string& body, bool chat,
    const core::customer_record& customer, const core::configuration& config);

/// Authenticates a call by its bearer token.
/// @return the customer, or unauthenticated.
absl::StatusOr<core::customer_record> authenticate(
    const Poco::Net::HTTPServerRequest& request, const core::configuration& config);

/// @return the error status of a request that did not run.
absl::Status callerError(core::error_kind kind, std::string message);

} // namespace plumfold::entry
