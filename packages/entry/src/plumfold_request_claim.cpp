#include "plumfold_request_claim.hpp"

#include "plumfold_caller_request.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"

namespace plumfold::entry {

namespace {

constexpr core::milliseconds claimTimeout { 1500 };
constexpr core::milliseconds finishTimeout { 1000 };
/// While the process stops. Below the time in which the last responses are sent.
constexpr core::milliseconds lastFinishTimeout { 300 };
constexpr core::milliseconds releaseTimeout { 30'000 };
constexpr core::milliseconds retryAfterUnavailable { 1000 };
constexpr std::size_t holderIdBytes = 12;

} // namespace

request_claim::request_claim(
    entry_context& context, core::claim_key key, std::uint64_t fingerprint, core::milliseconds maxRunTime)
    : m_context(context)
{
    m_claim.key = std::move(key);
    m_claim.fingerprint = fingerprint;
    m_claim.holder = context.settings.process.name + '/' + runtime::randomHex(holderIdBytes);
    m_claim.runUntil = runtime::unixNow() + static_cast<std::uint64_t>((claimTimeout + maxRunTime).count());
}

absl::StatusOr<std::optional<core::stored_response>> request_claim::acquire()
{
    auto submitted = m_context.control.submit(core::command { 0, m_claim }, claimTimeout);
    const auto* result = submitted.ok() ? std::get_if<core::claim_result>(&*submitted) : nullptr;
    if (!result) {
        // The command may have been applied nevertheless. The request will not be dispatched, so the claim is
        // released.
        reportNotRun();
        return core::toStatus({ core::error_kind::control_unavailable, core::run_state::not_run,
            "no quorum of control VMs can be reached, so this request cannot be run at most once: come back "
            "later",
            retryAfterUnavailable });
    }
    switch (result->state) {
    case core::claim_status::granted:
        return std::nullopt;
    case core::claim_status::completed:
        if (result->response.truncated)
            return core::toStatus({ core::error_kind::outcome_unknown, core::run_state::ran,
                "the request has run and its answer was delivered once; it was too large to keep",
                std::nullopt });
        return result->response;
    case core::claim_status::in_progress:
        return core::toStatus({ core::error_kind::claim_in_progress, core::run_state::unknown,
            "a request with this Idempotency-Key is in progress: come back later",
            core::milliseconds(result->retryAfterMs) });
    case core::claim_status::unknown:
        return core::toStatus({ core::error_kind::outcome_unknown, core::run_state::unknown,
            "a request with this Idempotency-Key was sent and its outcome is not known: find out what was "
            "done",
            std::nullopt });
    case core::claim_status::conflict:
        return callerError(core::error_kind::idempotency_conflict,
            "this Idempotency-Key was used for another request: use a new key");
    }
    return callerError(core::error_kind::bad_request, "the claim's state is not known");
}

void request_claim::reportNotRun()
{
    core::finish_claim_command command { m_claim.key, m_claim.holder, core::claim_outcome::not_run, {} };
    m_context.control.submitAsync(core::command { 0, std::move(command) }, releaseTimeout);
}

void request_claim::reportCompleted(const core::stored_response& response)
{
    finish(core::claim_outcome::completed, response);
}

void request_claim::reportUnknown()
{
    finish(core::claim_outcome::unknown, {});
}

void request_claim::finish(core::claim_outcome outcome, const core::stored_response& response)
{
    core::command command { 0,
        core::finish_claim_command { m_claim.key, m_claim.holder, outcome, response } };
    // Stored before the response is sent, so that a retry after a lost response finds it. The wait is short:
    // without a quorum, delivering the response matters more than storing it.
    auto timeout = m_context.stopping ? lastFinishTimeout : finishTimeout;
    if (!m_context.aborting && m_context.control.submit(command, timeout).ok())
        return;
    runtime::log_event("claim_not_finished", runtime::log_level::warning).with("holder", m_claim.holder);
    m_context.control.submitAsync(std::move(command), releaseTimeout);
}

} // namespace plumfold::entry
