#pragma once

#include "plumfold_request_claim.hpp"
#include "plumfold_request_flow.hpp"

#include "plumfold/core/plumfold_records.hpp"

#include <Poco/Net/HTTPServerResponse.h>

#include <optional>
#include <string>

namespace plumfold::entry {

/// Serves one call to a plain service. A service whose calls may not be repeated is called at most once per
/// key.
class service_flow {
public:
    service_flow(request_flow& flow, const core::service_record& service, std::string path, std::string body,
        Poco::Net::HTTPServerResponse& response);

    void run();

private:
    bool acquireClaim();
    service_call makeCall();
    void sendResult(const core::dispatch_plan& plan, const service_result& result);
    void fail(const absl::Status& status);
    void recordUsage(bool failed);

    request_flow& m_flow;
    const core::service_record& m_service;
    std::string m_path;
    std::string m_body;
    Poco::Net::HTTPServerResponse& m_response;
    bool m_idempotent;
    bool m_attemptMayHaveRun = false;
    int m_attempts = 0;
    core::request_spec m_spec;
    std::optional<request_claim> m_claim;
};

} // namespace plumfold::entry
