#pragma once

#include "plumfold_entry_context.hpp"

#include <absl/status/statusor.h>

#include <optional>
#include <string>

namespace plumfold::entry {

/// The claim of one call on a request that runs at most once. Acquired before the first byte is sent to a
/// target.
class request_claim {
public:
    /// @param fingerprint hash of the request; a key that was used with another one is a conflict.
    /// @param maxRunTime how long this entry will wait for the target.
    request_claim(entry_context& context, core::claim_key key, std::uint64_t fingerprint,
        core::milliseconds maxRunTime);

    /// Acquires the claim.
    /// @return nothing if it was granted; the stored response of an earlier run; or the error for the caller.
    absl::StatusOr<std::optional<core::stored_response>> acquire();

    /// Reports that nothing was sent to a target, or that the target itself reported that it did not run the
    /// request. Releases the key without waiting.
    void reportNotRun();
    /// Stores the response, which is replayed to retries.
    void reportCompleted(const core::stored_response& response);
    /// Reports that the request may have run and that its outcome is not known.
    void reportUnknown();

private:
    void finish(core::claim_outcome outcome, const core::stored_response& response);

    entry_context& m_context;
    core::claim_command m_claim;
};

} // namespace plumfold::entry
