#include "plumfold/core/plumfold_error.hpp"

#include <array>

namespace plumfold::core {

namespace {

struct kind_row {
    error_kind kind;
    const char* name;
    int httpStatus;
    absl::StatusCode code;
};

constexpr std::array kindRows {
    kind_row { error_kind::bad_request, "bad_request", 400, absl::StatusCode::kInvalidArgument },
    kind_row { error_kind::unauthenticated, "unauthenticated", 401, absl::StatusCode::kUnauthenticated },
    kind_row { error_kind::unknown_model, "unknown_model", 404, absl::StatusCode::kNotFound },
    kind_row { error_kind::unknown_service, "unknown_service", 404, absl::StatusCode::kNotFound },
    kind_row { error_kind::too_large, "too_large", 413, absl::StatusCode::kOutOfRange },
    kind_row { error_kind::idempotency_key_missing, "idempotency_key_missing", 400,
        absl::StatusCode::kInvalidArgument },
    kind_row {
        error_kind::idempotency_conflict, "idempotency_conflict", 422, absl::StatusCode::kAlreadyExists },
    kind_row { error_kind::claim_in_progress, "claim_in_progress", 409, absl::StatusCode::kAborted },
    kind_row { error_kind::outcome_unknown, "outcome_unknown", 409, absl::StatusCode::kUnknown },
    kind_row { error_kind::customer_limit, "customer_limit", 429, absl::StatusCode::kResourceExhausted },
    kind_row { error_kind::overloaded, "overloaded", 503, absl::StatusCode::kResourceExhausted },
    kind_row { error_kind::no_target, "no_target", 503, absl::StatusCode::kUnavailable },
    kind_row {
        error_kind::deadline_unreachable, "deadline_unreachable", 503, absl::StatusCode::kDeadlineExceeded },
    kind_row { error_kind::crashes_targets, "crashes_targets", 422, absl::StatusCode::kFailedPrecondition },
    kind_row { error_kind::control_unavailable, "control_unavailable", 503, absl::StatusCode::kUnavailable },
    kind_row { error_kind::target_failed, "target_failed", 502, absl::StatusCode::kInternal },
    kind_row { error_kind::shutting_down, "shutting_down", 503, absl::StatusCode::kUnavailable },
};

constexpr const char* payloadUrl = "plumfold/error";

const kind_row& rowOf(error_kind kind)
{
    return kindRows[static_cast<std::size_t>(kind)];
}

} // namespace

const char* errorKindName(error_kind kind)
{
    return rowOf(kind).name;
}

int httpStatusOf(error_kind kind)
{
    return rowOf(kind).httpStatus;
}

const char* runStateName(run_state state)
{
    constexpr std::array names { "not_run", "ran", "unknown" };
    return names[static_cast<std::size_t>(state)];
}

absl::Status toStatus(const error_info& error)
{
    absl::Status status(rowOf(error.kind).code, error.message);
    auto retryAfterMs = error.retryAfter ? error.retryAfter->count() : -1;
    std::string payload = std::to_string(static_cast<int>(error.kind)) + ' '
        + std::to_string(static_cast<int>(error.ran)) + ' ' + std::to_string(retryAfterMs);
    status.SetPayload(payloadUrl, absl::Cord(payload));
    return status;
}

error_info errorInfoOf(const absl::Status& status)
{
    error_info error;
    error.message = std::string(status.message());
    auto payload = status.GetPayload(payloadUrl);
    if (!payload)
        return error;
    std::string text(*payload);
    std::size_t first = text.find(' ');
    std::size_t second = text.find(' ', first + 1);
    error.kind = static_cast<error_kind>(std::stoi(text.substr(0, first)));
    error.ran = static_cast<run_state>(std::stoi(text.substr(first + 1, second - first - 1)));
    long long retryAfterMs = std::stoll(text.substr(second + 1));
    if (retryAfterMs >= 0)
        error.retryAfter = milliseconds(retryAfterMs);
    return error;
}

} // namespace plumfold::core
