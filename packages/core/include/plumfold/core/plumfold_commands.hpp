#pragma once

#include "plumfold/core/plumfold_deployment_state.hpp"
#include "plumfold/core/plumfold_records.hpp"
#include "plumfold/core/plumfold_request_traits.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace plumfold::core {

/// Identifies a request that is executed at most once.
struct claim_key {
    std::string customer;
    std::string key; ///< Value of the caller's Idempotency-Key header.
    auto operator<=>(const claim_key&) const = default;
};

/// The stored response of an at-most-once request, replayed when the caller retries it.
struct stored_response {
    std::uint16_t status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;
    bool truncated = false; ///< The body was too large to store and was delivered only once.
    bool operator==(const stored_response&) const = default;
};

/// Outcome of the request that a claim covers, as its holder reports it.
enum class claim_outcome : std::uint8_t {
    not_run, ///< No byte reached a target, or the target reported that it did not run. Releases the key.
    completed,
    unknown, ///< Bytes reached a target and no response was received.
};

/// Status of a claim, as returned to the caller that requests it.
enum class claim_status : std::uint8_t {
    granted, ///< The holder that receives this, and no other, may dispatch the request once.
    in_progress,
    completed, ///< The stored response is attached.
    unknown,
    conflict, ///< The key was already used for a different request.
};

/// An operator's change of the configuration, accepted only at the expected revision.
struct change_command {
    std::string operatorName;
    std::string requestId; ///< Deduplicates retries of the same operator.
    std::uint64_t expectedRevision = 0;
    change requestedChange;
};
/// Claims the right to execute a request at most once.
struct claim_command {
    claim_key key;
    std::uint64_t fingerprint = 0; ///< Hash of method, path and body.
    std::string holder; ///< Unique per attempt of a caller.
    unix_milliseconds runUntil = 0; ///< Time after which the holder no longer waits for the target.
};
/// Reports the outcome of a claimed request. Ignored from any other holder and after completion.
struct finish_claim_command {
    claim_key key;
    std::string holder;
    claim_outcome outcome = claim_outcome::not_run;
    stored_response response; ///< Set when the outcome is completed.
};
/// Usage of one customer and model, summed over requests.
struct usage_row {
    std::string customer;
    std::string model;
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t failed = 0;
    auto operator<=>(const usage_row&) const = default;

    /// Adds the counts of a row of the same customer and model.
    usage_row& operator+=(const usage_row& other)
    {
        requests += other.requests;
        promptTokens += other.promptTokens;
        cachedTokens += other.cachedTokens;
        outputTokens += other.outputTokens;
        failed += other.failed;
        return *this;
    }
};
/// One batch of usage. Deduplicated by source, incarnation and sequence, so retries are counted once.
struct usage_command {
    std::string source; ///< Name of the entry that sends the batch.
    std::uint64_t incarnation = 0; ///< Incarnation of the entry's process.
    std::uint64_t sequence = 0; ///< Starts at 1 in each incarnation and increases by 1 per batch.
    std::vector<usage_row> rows;
};
/// Records how many targets poison requests have crashed, or withdraws their verdict.
struct verdict_command {
    std::uint64_t fingerprint = 0; ///< Hash that identifies the request or the traits.
    std::uint32_t crashes = 0;
    bool withdraw = false;
    /// The verdict applies to requests with all of these; empty: to the request with the fingerprint.
    trait_set traits;
};
/// Acquires or renews a lease, for example the one that allows a single process to issue orders to the
/// targets of a failure domain.
struct lease_command {
    std::string name;
    std::string holder;
    std::uint32_t durationMs = 0;
};
/// Changes nothing. Its commit shows that all earlier commands have been applied.
struct barrier_command { };

/// One command of the replicated log.
struct command {
    unix_milliseconds at = 0; ///< Set by the leader; the state machine reads no other clock.
    std::variant<barrier_command, change_command, claim_command, finish_claim_command, usage_command,
        verdict_command, lease_command, adopt_document_command, set_in_service_command,
        set_current_weights_command, begin_rollout_command, decide_rollout_command>
        payload;
};

enum class change_outcome : std::uint8_t { accepted, conflict, invalid };

struct change_result {
    change_outcome outcome = change_outcome::invalid;
    std::uint64_t revision = 0; ///< The new revision if accepted, otherwise the current one.
    std::string message; ///< Why the change was not accepted and how to correct it.
    bool operator==(const change_result&) const = default;
};

struct claim_result {
    claim_status state = claim_status::in_progress;
    stored_response response;
    std::uint32_t retryAfterMs = 0; ///< Set while the claim is in progress.
    bool operator==(const claim_result&) const = default;
};

struct lease_result {
    bool granted = false;
    std::uint64_t fence = 0; ///< Fencing token, increased for each new holder of any lease.
    std::uint64_t takeovers = 0; ///< How often the lease went from one holder to another.
    bool isFirst = false; ///< Nobody had the lease before this request.
    bool operator==(const lease_result&) const = default;
};

using command_result
    = std::variant<std::monostate, change_result, claim_result, lease_result, rollout_result>;

} // namespace plumfold::core
