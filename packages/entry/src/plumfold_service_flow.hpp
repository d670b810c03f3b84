#pragma once

#include "plumfold_request_claim.hpp"
#include "plumfold_request_flow.hpp"

#include "plumfold/core/plumfold_records.hpp"

#include <Poco/Net/HTTPServerResponse.h>

#include <optional>
#include <string>

namespace plumfold::entry {

/// Serves one call to a plain service. Calls that may not be repeated run at most once per idempotency key.
class service_flow {
public:
    /// @param path below the service, with the query.
    service_flow(request_flow& flow, const core::service_record& service, std::string path, std::string body,
        Poco::Net::HTTPServerResponse& response);

    /// Serves the call until the caller has its complete response.
    void run();

private:
    /// @return whether the claim was granted; otherwise the caller has its response.
    bool acquireClaim();
    service_call makeCall();
    /// Completes the claim and sends the target's response.
    void sendResult(const core::dispatch_plan& plan, const service_result& result);
    /// Ends a call that gets no further attempt.
    void fail(const absl::Status& status);
    void recordUsage(bool failed);

    request_flow& m_flow;
    const core::service_record& m_service;
    std::string m_path;
    std::string m_body;
    Poco::Net::HTTPServerResponse& m_response;
    bool m_idempotent; // whether the call may run more than once
    bool m_attemptMayHaveRun = false;
    int m_attempts = 0;
    core::request_spec m_spec;
    std::optional<request_claim> m_claim;
};

} // namespace plumfold::entry
