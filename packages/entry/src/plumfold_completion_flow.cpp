#include "plumfold_completion_flow.hpp"

#include "plumfold/core/plumfold_hash.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

namespace plumfold::entry {

namespace {

using core::attempt_outcome;
using core::milliseconds;

// An attempt is abandoned if its first token takes this many times as long as predicted, but not before the
// minimum timeout.
constexpr int firstTokenTimeoutFactor = 10;
constexpr milliseconds minFirstTokenTimeout { 3000 };
constexpr milliseconds tokenTimeout { 2000 };
constexpr milliseconds disconnectCheckInterval { 50 };
constexpr milliseconds readLeaseTime { 5000 };
constexpr milliseconds writeLeaseTime { 20'000 };
constexpr std::uint64_t maxConcurrentExports = 4;

milliseconds since(core::instant start)
{
    return std::chrono::duration_cast<milliseconds>(runtime::now() - start);
}

} // namespace

/// Relays tokens from a target to the caller, across attempts in order and without duplicates.
class completion_flow::relay final : public token_sink {
public:
    explicit relay(completion_flow& owner)
        : m_completion(owner)
    {
    }

    bool onToken(std::uint32_t index, const std::string& text) override
    {
        switch (m_completion.m_assembly.accept(index)) {
        case core::token_verdict::duplicate:
            return true;
        case core::token_verdict::gap:
            m_gap = true;
            return false;
        case core::token_verdict::deliver:
            break;
        }
        if (!m_completion.m_timeToFirstToken)
            m_completion.m_timeToFirstToken = since(m_completion.m_flow.arrivedAt);
        m_isDisconnected = !m_completion.m_writer.writeToken(text);
        return !m_isDisconnected;
    }

    bool onPause() override
    {
        m_isDisconnected = !m_completion.m_writer.flush();
        // Polling the socket costs as much as relaying a token, so it is not done on each pause.
        if (runtime::now() >= m_nextDisconnectCheck) {
            m_nextDisconnectCheck = runtime::now() + disconnectCheckInterval;
            m_isDisconnected = m_isDisconnected || m_completion.m_flow.isCallerDisconnected();
        }
        return !m_isDisconnected && !m_completion.m_flow.context.aborting;
    }

    /// @return whether the attempt was stopped because a token was missing.
    bool gap() const { return m_gap; }

private:
    completion_flow& m_completion;
    bool m_gap = false;
    bool m_isDisconnected = false;
    core::instant m_nextDisconnectCheck {};
};

completion_flow::completion_flow(
    request_flow& flow, const completion_request& request, Poco::Net::HTTPServerResponse& response)
    : m_flow(flow)
    , m_request(request)
    , m_writer(response, request, flow.requestId)
{
}

void completion_flow::run()
{
    if (!m_flow.headers.idempotent && !acquireClaim())
        return;
    m_spec = makeSpec();
    leaseFromStore(m_spec);
    auto plan = m_flow.dispatch(m_spec);
    while (plan.ok()) {
        ++m_attempts;
        auto started = runtime::now();
        completion_result result = runAttempt(*plan);
        core::attempt_report report = makeReport(*plan, result, started);
        bool isAborted = m_flow.context.aborting && result.outcome != attempt_outcome::succeeded;
        bool ended
            = result.outcome == attempt_outcome::succeeded || result.outcome == attempt_outcome::cancelled;
        if (ended && !isAborted) {
            finish(*plan, result, report);
            break;
        }
        // Once tokens were delivered, later attempts have to use the same weight version.
        if (report.answerStarted)
            m_spec.version = plan->version;
        if (result.outcome != attempt_outcome::not_reached && result.outcome != attempt_outcome::refused)
            m_attemptMayHaveRun = true;
        if (isAborted) {
            abort(*plan, report);
            break;
        }
        plan = m_flow.dispatchRetry(m_spec, report);
    }
    if (!plan.ok())
        fail(plan.status());
    if (m_lease)
        m_flow.context.stores.endLease(*m_lease);
}

bool completion_flow::acquireClaim()
{
    if (m_flow.headers.idempotencyKey.empty()) {
        m_writer.writeError({ core::error_kind::idempotency_key_missing, core::run_state::not_run,
            "a call marked as not idempotent needs an Idempotency-Key header", std::nullopt });
        return false;
    }
    auto from = runtime::now();
    m_claim.emplace(m_flow.context, core::claim_key { m_flow.customer.name, m_flow.headers.idempotencyKey },
        m_flow.fingerprint, m_flow.headers.deadline);
    auto acquired = m_claim->acquire();
    m_flow.writeSpan("control", from, { { "call", "claim" } });
    if (acquired.ok() && !*acquired)
        return true;
    m_flow.logEnd("completion", acquired.ok() ? "replayed" : "claim_refused", 0);
    if (acquired.ok())
        m_writer.replay(**acquired);
    else
        m_writer.writeError(core::errorInfoOf(acquired.status()));
    return false;
}

core::request_spec completion_flow::makeSpec()
{
    auto config = m_flow.context.dispatchThread.snapshot().config;
    const auto* version = config->weightVersion(m_request.model);
    m_chainOwner
        = { m_flow.customer.name, m_request.model, m_request.adapter, version ? version->version : "" };
    core::request_spec spec;
    spec.number = m_flow.context.dispatchThread.nextRequest();
    spec.customer = m_flow.customer.name;
    spec.model = m_request.model;
    spec.adapter = m_request.adapter;
    spec.fingerprint = m_flow.fingerprint;
    spec.promptTokens = core::estimatePromptTokens(m_request.prompt.size());
    spec.maxTokens = m_request.maxTokens;
    spec.chain = core::chainOf(m_chainOwner, m_request.prompt);
    spec.priority = m_flow.headers.priority;
    spec.deadline = m_flow.deadline;
    spec.idempotent = m_flow.headers.idempotent;
    return spec;
}

void completion_flow::leaseFromStore(core::request_spec& spec)
{
    if (spec.chain.size() < m_flow.context.settings.entry->minStoreBlocks)
        return;
    auto from = runtime::now();
    m_lease = m_flow.context.stores.lease(m_chainOwner, spec.chain, readLeaseTime);
    m_flow.writeSpan("store", from, { { "blocks", std::to_string(m_lease ? m_lease->lease.blocks : 0) } });
    if (!m_lease)
        return;
    spec.storeBlocks = m_lease->lease.blocks;
    spec.storeBytes = m_lease->lease.bytes;
}

completion_call completion_flow::makeCall(const core::dispatch_plan& plan)
{
    completion_call call;
    call.requestId = m_flow.requestId;
    call.model = m_request.model;
    call.adapter = m_request.adapter;
    call.version = plan.version;
    call.prompt = m_request.prompt;
    call.maxTokens = m_request.maxTokens;
    call.resumeFrom = m_assembly.next();
    call.resumeText = m_writer.text();
    call.priority = m_flow.headers.priority;
    call.traceparent = m_flow.trace.child().toHeader();
    call.firstTokenTimeout
        = std::max(minFirstTokenTimeout, firstTokenTimeoutFactor * plan.expectedFirstToken);
    call.tokenTimeout = tokenTimeout;
    // The KV blocks belong to the weight version that was current when the request started; an attempt on
    // another version must not use them.
    bool sameVersion = plan.version == m_chainOwner.version;
    if (sameVersion)
        call.chain = m_spec.chain;
    if (sameVersion && m_lease && plan.importBlocks > 0) {
        call.importUrl = m_lease->url();
        call.importBlocks = plan.importBlocks;
        std::uint64_t bytes
            = m_lease->lease.bytes * (plan.importBlocks - plan.cachedBlocks) / m_lease->lease.blocks;
        m_flow.context.dispatchThread.tryPost(transfer_event { bytes });
        m_flow.context.metrics.count("plumfold_import_bytes_total", bytes);
    }
    return call;
}

completion_result completion_flow::runAttempt(const core::dispatch_plan& plan)
{
    auto from = runtime::now();
    relay sink(*this);
    m_writer.setFailureDomain(plan.failureDomain);
    completion_result result
        = m_flow.context.targets.complete({ plan.address, plan.incarnation }, makeCall(plan), sink);
    if (sink.gap())
        result.outcome = attempt_outcome::lost;
    m_flow.writeSpan("target", from,
        { { "target", plan.target }, { "outcome", std::to_string(static_cast<int>(result.outcome)) } });
    // The end of the process, which ends calls, says nothing about the target.
    bool isAborted = m_flow.context.aborting;
    if (!isAborted && result.outcome == attempt_outcome::lost) {
        auto state = m_flow.context.targets.probeProcess({ plan.address, plan.incarnation });
        if (state == process_state::ended)
            result.outcome = attempt_outcome::crashed;
        else
            m_flow.context.targets.cancel(plan.address, m_flow.requestId);
    }
    if (!isAborted && result.outcome == attempt_outcome::cancelled)
        m_flow.context.targets.cancel(plan.address, m_flow.requestId);
    if (result.outcome != attempt_outcome::succeeded) {
        runtime::log_event("attempt_failed", runtime::log_level::warning)
            .with("request", m_flow.requestId)
            .with("target", plan.target)
            .with("outcome", static_cast<int>(result.outcome))
            .with("failure", result.failure);
    }
    return result;
}

core::attempt_report completion_flow::makeReport(
    const core::dispatch_plan& plan, const completion_result& result, core::instant started)
{
    core::attempt_report report;
    report.outcome = result.outcome;
    report.firstToken = result.firstToken;
    report.duration = since(started);
    report.cachedTokens = result.cachedTokens;
    report.answerStarted = m_assembly.next() > 0;
    if (plan.alone)
        m_flow.context.metrics.count("plumfold_runs_alone_total");
    return report;
}

void completion_flow::finish(
    const core::dispatch_plan& plan, const completion_result& result, const core::attempt_report& report)
{
    // Release the permit first, so that a slow caller does not occupy a slot of the target.
    m_flow.context.dispatchThread.post(finished_event { m_spec.number, report });
    completion_summary summary { result.finishReason, result.promptTokens, result.cachedTokens,
        m_assembly.next() };
    if (result.outcome == attempt_outcome::cancelled) {
        if (m_claim)
            m_claim->reportUnknown();
        recordUsage(summary, true);
        m_flow.logEnd("completion", "caller_left", m_attempts);
        return;
    }
    if (m_claim)
        m_claim->reportCompleted(m_writer.toStoredResponse(summary));
    m_writer.finish(summary);
    recordUsage(summary, false);
    if (m_timeToFirstToken)
        m_flow.context.metrics.observe(
            "plumfold_first_token_ms", static_cast<double>(m_timeToFirstToken->count()));
    m_flow.context.metrics.count("plumfold_prompt_tokens_total", summary.promptTokens);
    m_flow.context.metrics.count("plumfold_cached_tokens_total", summary.cachedTokens);
    m_flow.logEnd("completion", "ok", m_attempts);
    exportToStore(plan);
}

void completion_flow::abort(const core::dispatch_plan& plan, core::attempt_report report)
{
    report.outcome = attempt_outcome::cancelled;
    m_flow.context.dispatchThread.post(finished_event { m_spec.number, report });
    fail(gracePeriodExpiredStatus(core::run_state::not_run));
    // After the response, since the process ends soon.
    if (m_attemptMayHaveRun)
        m_flow.context.targets.cancel(plan.address, m_flow.requestId);
}

void completion_flow::fail(const absl::Status& status)
{
    bool mayHaveRun = m_attemptMayHaveRun || m_assembly.next() > 0;
    if (m_claim) {
        if (mayHaveRun)
            m_claim->reportUnknown();
        else
            m_claim->reportNotRun();
    }
    if (mayHaveRun)
        recordUsage({ "error", m_spec.promptTokens, 0, m_assembly.next() }, true);
    if (absl::IsCancelled(status)) {
        m_flow.logEnd("completion", "caller_left", m_attempts);
        return;
    }
    core::error_info error = finalError(status, mayHaveRun);
    // Shared before the response is sent, so that a retry through another entry is rejected there as well.
    if (error.kind == core::error_kind::crashes_targets && m_attempts > 0)
        m_flow.context.mesh.broadcastSuspect({ m_flow.fingerprint, core::crashesToCondemn });
    m_writer.writeError(error);
    m_flow.logEnd("completion", core::errorKindName(error.kind), m_attempts);
}

void completion_flow::recordUsage(const completion_summary& summary, bool failed)
{
    core::usage_row row;
    row.customer = m_flow.customer.name;
    row.model = m_request.model;
    row.requests = 1;
    row.promptTokens = summary.promptTokens;
    row.cachedTokens = summary.cachedTokens;
    row.outputTokens = summary.outputTokens;
    row.failed = failed ? 1 : 0;
    m_flow.context.usage.add(row);
}

void completion_flow::exportToStore(const core::dispatch_plan& plan)
{
    auto& context = m_flow.context;
    // The end of the process does not wait for stores and engines.
    bool worthwhile = !context.stopping && m_spec.chain.size() >= context.settings.entry->minStoreBlocks
        && m_spec.chain.size() > m_spec.storeBlocks && plan.version == m_chainOwner.version;
    if (!worthwhile || !context.dispatchThread.snapshot().backgroundTransferAllowed)
        return;
    if (context.activeExports.fetch_add(1) >= maxConcurrentExports) {
        context.activeExports.fetch_sub(1);
        return;
    }
    auto blockBytes = static_cast<std::uint32_t>(context.settings.entry->kvBlockBytes);
    auto lease = context.stores.allocate(m_chainOwner, m_spec.chain, blockBytes, writeLeaseTime);
    if (lease) {
        export_call call { m_flow.requestId, m_spec.chain, lease->lease.firstBlock, lease->lease.blocks,
            lease->url() };
        std::uint64_t bytes = std::uint64_t(blockBytes) * lease->lease.blocks;
        if (context.targets.exportBlocks(plan.address, call)) {
            context.dispatchThread.tryPost(transfer_event { bytes });
            context.metrics.count("plumfold_export_bytes_total", bytes);
        } else {
            context.stores.endLease(*lease);
        }
    }
    context.activeExports.fetch_sub(1);
}

} // namespace plumfold::entry
