#pragma once

#include "plumfold_caller_request.hpp"
#include "plumfold_entry_context.hpp"

#include <Poco/Net/HTTPServerRequest.h>

#include <string>

namespace plumfold::entry {

/// What the flows of completions and of service calls share about one caller's request.
struct request_flow {
    entry_context& context;
    Poco::Net::HTTPServerRequest& caller;
    core::customer_record customer;
    caller_headers headers;
    std::string requestId;
    core::instant arrivedAt {};
    core::instant deadline {};
    runtime::trace_context trace;
    std::uint64_t fingerprint = 0;

    /// @return whether the caller has closed its connection.
    bool isCallerDisconnected();

    /// Submits a request and waits for the verdict.
    /// @return the plan to run it by; the error of a refusal; cancelled when the caller left.
    absl::StatusOr<core::dispatch_plan> dispatch(const core::request_spec& spec);

    /// Reports a failed attempt and waits for the verdict on the next one.
    absl::StatusOr<core::dispatch_plan> dispatchRetry(
        const core::request_spec& next, const core::attempt_report& report);

    /// Writes a span below the request's own.
    void writeSpan(
        const std::string& name, core::instant from, std::map<std::string, std::string> attributes);

    void logEnd(const std::string& kind, const std::string& outcome, int attempts);

private:
    absl::StatusOr<core::dispatch_plan> awaitDispatch(core::request_number request, dispatch_ticket& ticket);
};

/// The process stops and its grace period is over.
absl::Status gracePeriodExpiredStatus(core::run_state ran);

/// A request that nobody waits for any more.
absl::Status callerDisconnectedStatus();

} // namespace plumfold::entry
