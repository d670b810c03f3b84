#pragma once

#include "plumfold_request_claim.hpp"
#include "plumfold_request_flow.hpp"
#include "plumfold_response_writer.hpp"

#include "plumfold/core/plumfold_stream_assembly.hpp"

#include <memory>
#include <optional>

namespace plumfold::entry {

/// Serves one completion request: acquires its claim, leases stored KV blocks, dispatches it, relays the
/// response, retries failed attempts on other targets and records the usage.
class completion_flow {
public:
    completion_flow(
        request_flow& flow, const completion_request& request, Poco::Net::HTTPServerResponse& response);

    /// Serves the request until the caller has its complete response.
    void run();

private:
    class relay;

    /// @return whether the claim was granted; otherwise the caller has its response.
    bool acquireClaim();
    core::request_spec makeSpec();
    /// Leases the prompt's KV blocks on a store for reading and adds them to the spec.
    void leaseFromStore(core::request_spec& spec);
    completion_result runAttempt(const core::dispatch_plan& plan);
    completion_call makeCall(const core::dispatch_plan& plan);
    core::attempt_report makeReport(
        const core::dispatch_plan& plan, const completion_result& result, core::instant started);
    /// Ends a request whose last attempt succeeded or was cancelled.
    void finish(
        const core::dispatch_plan& plan, const completion_result& result, const core::attempt_report& report);
    /// Ends a request that gets no further attempt.
    void fail(const absl::Status& status);
    /// Ends a completion whose attempt was ended because the grace period is nearly over.
    void abort(const core::dispatch_plan& plan, core::attempt_report report);
    /// Asks the target to copy the request's new KV blocks to a store in the background. Called after the
    /// response was sent, so that the caller does not wait for it.
    void exportToStore(const core::dispatch_plan& plan);
    void recordUsage(const completion_summary& summary, bool failed);

    request_flow& m_flow;
    const completion_request& m_request;
    response_writer m_writer;
    core::stream_assembly m_assembly;
    std::optional<request_claim> m_claim;
    std::optional<store_lease> m_lease;
    core::request_spec m_spec;
    core::chain_owner m_chainOwner; // with the weight version that was current when the request started
    int m_attempts = 0;
    bool m_attemptMayHaveRun = false;
    std::optional<core::milliseconds> m_timeToFirstToken; // since the request's arrival
};

} // namespace plumfold::entry
