#pragma once

#include "plumfold/core/plumfold_records.hpp"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <string>

namespace plumfold::cli {

/// Exit codes of the command line; docs/cli.md documents them.
enum exit_code {
    exit_ok = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_invalid = 3,
    exit_conflict = 4,
    exit_unavailable = 5,
    exit_refused = 6,
};

/// @return the exit code for a status.
int exitCodeOf(const absl::Status& status);

/// Prints a result to standard output.
/// @param asJson true for one JSON document, false for lines of key=value pairs.
void print(const nlohmann::json& result, bool asJson);

/// Prints an error to standard error.
/// @return the exit code for its status.
int printFailure(const absl::Status& status, bool asJson);

nlohmann::json toJson(const core::record& value);

} // namespace plumfold::cli
