#include "plumfold_service_flow.hpp"

#include "plumfold_response_writer.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

#include <algorithm>

namespace plumfold::entry {

namespace {

using core::attempt_outcome;

constexpr std::size_t maxResponseBytes = 1 << 20;
constexpr std::size_t maxStoredBytes = 64 << 10;
constexpr std::uint32_t serviceCallCostTokens = 64; // for fair queueing

bool isSafeMethod(const std::string& method)
{
    return method == "GET" || method == "HEAD";
}

} // namespace

service_flow::service_flow(request_flow& flow, const core::service_record& service, std::string path,
    std::string body, Poco::Net::HTTPServerResponse& response)
    : m_flow(flow)
    , m_service(service)
    , m_path(std::move(path))
    , m_body(std::move(body))
    , m_response(response)
    , m_idempotent(flow.headers.idempotent && (service.repeatable || isSafeMethod(flow.caller.getMethod())))
{
}

void service_flow::run()
{
    if (!m_idempotent && !acquireClaim())
        return;
    m_spec.number = m_flow.context.dispatchThread.nextRequest();
    m_spec.customer = m_flow.customer.name;
    m_spec.service = m_service.name;
    m_spec.fingerprint = m_flow.fingerprint;
    m_spec.maxTokens = serviceCallCostTokens;
    m_spec.priority = m_flow.headers.priority;
    m_spec.deadline = m_flow.deadline;
    m_spec.idempotent = m_idempotent;
    auto plan = m_flow.dispatch(m_spec);
    while (plan.ok()) {
        ++m_attempts;
        auto from = runtime::now();
        service_result result
            = m_flow.context.targets.callService({ plan->address, plan->incarnation }, makeCall());
        m_flow.writeSpan("target", from, { { "target", plan->target } });
        // The end of the process, which ends calls, says nothing about the target.
        bool isAborted = m_flow.context.aborting && result.outcome != attempt_outcome::succeeded;
        if (!isAborted && result.outcome == attempt_outcome::lost
            && m_flow.context.targets.probeProcess({ plan->address, plan->incarnation })
                == process_state::ended)
            result.outcome = attempt_outcome::crashed;
        core::attempt_report report;
        report.outcome = result.outcome;
        report.duration = std::chrono::duration_cast<core::milliseconds>(runtime::now() - from);
        if (result.outcome == attempt_outcome::succeeded) {
            m_flow.context.dispatchThread.post(finished_event { m_spec.number, report });
            sendResult(*plan, result);
            return;
        }
        if (result.outcome != attempt_outcome::not_reached && result.outcome != attempt_outcome::refused)
            m_attemptMayHaveRun = true;
        if (isAborted) {
            report.outcome = attempt_outcome::cancelled;
            m_flow.context.dispatchThread.post(finished_event { m_spec.number, report });
            plan = gracePeriodExpiredStatus(core::run_state::not_run);
            break;
        }
        plan = m_flow.dispatchRetry(m_spec, report);
    }
    fail(plan.status());
}

bool service_flow::acquireClaim()
{
    if (m_flow.headers.idempotencyKey.empty()) {
        sendError(m_response,
            { core::error_kind::idempotency_key_missing, core::run_state::not_run,
                "calls to this service may not be repeated: send an Idempotency-Key header", std::nullopt });
        return false;
    }
    auto from = runtime::now();
    m_claim.emplace(m_flow.context, core::claim_key { m_flow.customer.name, m_flow.headers.idempotencyKey },
        m_flow.fingerprint, std::max(m_flow.headers.deadline, core::milliseconds(m_service.timeoutMs)));
    auto acquired = m_claim->acquire();
    m_flow.writeSpan("control", from, { { "call", "claim" } });
    if (acquired.ok() && !*acquired)
        return true;
    m_flow.logEnd("service", acquired.ok() ? "replayed" : "claim_refused", 0);
    if (acquired.ok())
        sendStoredResponse(m_response, **acquired);
    else
        sendError(m_response, core::errorInfoOf(acquired.status()));
    return false;
}

service_call service_flow::makeCall()
{
    service_call call;
    call.service = m_service.name;
    call.method = m_flow.caller.getMethod();
    call.path = m_path;
    call.contentType = m_flow.caller.getContentType();
    call.body = m_body;
    call.idempotencyKey = m_flow.headers.idempotencyKey;
    call.customer = m_flow.customer.name;
    call.traceparent = m_flow.trace.child().toHeader();
    auto remaining = std::chrono::duration_cast<core::milliseconds>(m_flow.deadline - runtime::now());
    call.timeout = std::clamp(remaining, core::milliseconds(1), core::milliseconds(m_service.timeoutMs));
    call.maxResponseBytes = maxResponseBytes;
    return call;
}

void service_flow::sendResult(const core::dispatch_plan& plan, const service_result& result)
{
    core::stored_response stored { result.status, result.contentType, result.body, false };
    if (m_claim) {
        core::stored_response toStore = stored;
        if (toStore.body.size() > maxStoredBytes) {
            toStore.truncated = true;
            toStore.body.clear();
        }
        m_claim->reportCompleted(toStore);
    }
    m_response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(stored.status));
    m_response.setContentType(stored.contentType);
    m_response.set("X-Plumfold-Failure-Domain", plan.failureDomain);
    m_response.setContentLength64(static_cast<Poco::Int64>(stored.body.size()));
    m_response.send() << stored.body;
    recordUsage(false);
    m_flow.logEnd("service", "ok", m_attempts);
}

void service_flow::fail(const absl::Status& status)
{
    if (m_claim) {
        if (m_attemptMayHaveRun)
            m_claim->reportUnknown();
        else
            m_claim->reportNotRun();
    }
    if (m_attemptMayHaveRun)
        recordUsage(true);
    if (absl::IsCancelled(status)) {
        m_flow.logEnd("service", "caller_left", m_attempts);
        return;
    }
    core::error_info error = finalError(status, m_attemptMayHaveRun);
    sendError(m_response, error);
    m_flow.logEnd("service", core::errorKindName(error.kind), m_attempts);
}

void service_flow::recordUsage(bool failed)
{
    core::usage_row row;
    row.customer = m_flow.customer.name;
    row.model = m_service.name;
    row.requests = 1;
    row.failed = failed ? 1 : 0;
    m_flow.context.usage.add(row);
}

} // namespace plumfold::entry
