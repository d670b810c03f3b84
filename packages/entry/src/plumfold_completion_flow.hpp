#pragma once

#include "plumfold_request_claim.hpp"
#include "plumfold_request_flow.hpp"
#include "plumfold_response_writer.hpp"

#include "plumfold/core/plumfold_stream_assembly.hpp"

#include <memory>
#include <optional>

namespace plumfold::entry {

/// Serves one completion: claim, store, dispatch, run, go on elsewhere after a failure, usage.
class completion_flow {
public:
    completion_flow(
        request_flow& flow, const completion_request& request, Poco::Net::HTTPServerResponse& response);

    void run();

private:
    class relay;

    bool acquireClaim();
    core::request_spec makeSpec();
    void leaseFromStore(core::request_spec& spec);
    completion_result runAttempt(const core::dispatch_plan& plan);
    completion_call makeCall(const core::dispatch_plan& plan);
    core::attempt_report makeReport(
        const core::dispatch_plan& plan, const completion_result& result, core::instant started);
    void finish(
        const core::dispatch_plan& plan, const completion_result& result, const core::attempt_report& report);
    void fail(const absl::Status& status);
    void exportToStore(const core::dispatch_plan& plan);
    void recordUsage(const completion_summary& summary, bool failed);

    request_flow& m_flow;
    const completion_request& m_request;
    response_writer m_writer;
    core::stream_assembly m_assembly;
    std::optional<request_claim> m_claim;
    std::optional<store_lease> m_lease;
    core::request_spec m_spec;
    core::chain_owner m_chainOwner;
    int m_attempts = 0;
    bool m_attemptMayHaveRun = false; // whether an attempt may have run on a target
    std::optional<core::milliseconds> m_timeToFirstToken; // from the request's arrival
};

} // namespace plumfold::entry
