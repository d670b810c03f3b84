#pragma once

#include "plumfold_caller_request.hpp"
#include "plumfold_entry_context.hpp"

#include <Poco/Net/HTTPServerRequest.h>

#include <string>

namespace plumfold::entry {

/// One request of a caller; common to completions and service calls.
struct request_flow {
    entry_context& context;
    Poco::Net::HTTPServerRequest& caller;
    core::customer_record customer;
    caller_headers headers;
    std::string requestId;
    core::instant arrivedAt {};
    core::instant deadline {};
    runtime::trace_context trace;
    std::uint64_t fingerprint = 0; ///< Hash that identifies the request.

    /// Polls the socket without waiting.
    /// @return whether the caller has closed its connection.
    bool isCallerDisconnected();

    /// Submits a request and waits until it is dispatched or rejected.
    /// @return the plan for the attempt; the error if the request was rejected or the grace period of a
    /// shutdown expired; cancelled if the caller disconnected.
    absl::StatusOr<core::dispatch_plan> dispatch(const core::request_spec& spec);

    /// Reports a failed attempt and waits until the request is dispatched for a retry or rejected.
    /// @param spec the remaining request, with the same number.
    /// @return as dispatch().
    absl::StatusOr<core::dispatch_plan> dispatchRetry(
        const core::request_spec& spec, const core::attempt_report& report);

    /// Writes a child span of the request's span, from the given time until now.
    void writeSpan(
        const std::string& name, core::instant from, std::map<std::string, std::string> attributes);

    /// Logs the end of the request and counts it by kind and outcome.
    void logEnd(const std::string& kind, const std::string& outcome, int attempts);

private:
    absl::StatusOr<core::dispatch_plan> awaitDispatch(core::request_number request, dispatch_ticket& ticket);
};

/// @return the error of a request that is still open when the grace period of a shutdown expires.
absl::Status gracePeriodExpiredStatus(core::run_state ran);

/// @param mayHaveRun whether an attempt may have run the request.
/// @return the error for the caller of a request that gets no further attempt.
core::error_info finalError(const absl::Status& status, bool mayHaveRun);

/// @return a cancelled status, for a request whose caller disconnected.
absl::Status callerDisconnectedStatus();

} // namespace plumfold::entry
