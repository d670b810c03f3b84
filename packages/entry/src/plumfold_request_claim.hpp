#pragma once

#include "plumfold_entry_context.hpp"

#include <absl/status/statusor.h>

#include <optional>
#include <string>

namespace plumfold::entry {

/// The claim of one caller on a request that runs at most once. Taken before the first byte goes to a target.
class request_claim {
public:
    /// @param maxRunTime how long the caller will wait for the target.
    request_claim(entry_context& context, core::claim_key key, std::uint64_t fingerprint,
        core::milliseconds maxRunTime);

    /// Takes the claim.
    /// @return nothing when it was granted; the stored answer of an earlier run; or the error for the caller.
    absl::StatusOr<std::optional<core::stored_response>> acquire();

    /// Nothing was sent to a target, or the target itself said that it did not run: the key is free again.
    void reportNotRun();
    /// The answer is kept for resends.
    void reportCompleted(const core::stored_response& response);
    void reportUnknown();

private:
    void finish(core::claim_outcome outcome, const core::stored_response& response);

    entry_context& m_context;
    core::claim_command m_claim;
};

} // namespace plumfold::entry
