#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <absl/status/status.h>

#include <optional>
#include <string>
#include <utility>

namespace plumfold::core {

/// Error kinds that callers and operators see; documented in docs/errors.md.
enum class error_kind {
    bad_request,
    unauthenticated,
    unknown_model,
    unknown_service,
    too_large,
    idempotency_key_missing,
    idempotency_conflict,
    claim_in_progress,
    outcome_unknown,
    customer_limit,
    overloaded,
    no_target,
    deadline_unreachable,
    crashes_targets,
    control_unavailable,
    target_failed,
    shutting_down,
};

/// Whether a failed request ran on a target.
enum class run_state { not_run, ran, unknown };

/// An error that ends a request.
struct error_info {
    error_kind kind = error_kind::bad_request;
    run_state ran = run_state::not_run;
    std::string message; ///< States the problem and its remedy.
    std::optional<milliseconds> retryAfter; ///< Set when a later retry can succeed.
};

inline error_info makeError(error_kind kind, run_state ran, std::string message,
    std::optional<milliseconds> retryAfter = std::nullopt)
{
    return error_info { kind, ran, std::move(message), retryAfter };
}

/// @return the stable name of a kind, for example "overloaded".
const char* errorKindName(error_kind kind);

/// @return the HTTP status code for a kind.
int httpStatusOf(error_kind kind);

/// @return the stable name of a run state: "not_run", "ran" or "unknown".
const char* runStateName(run_state state);

/// Converts an error to a status; the payload keeps the kind, the run state and the retry delay.
/// @return a status that errorInfoOf() converts back to the same error.
absl::Status toStatus(const error_info& error);

/// @return the error that toStatus() stored in the status; a bad_request with the status message when there
/// is none.
error_info errorInfoOf(const absl::Status& status);

} // namespace plumfold::core
