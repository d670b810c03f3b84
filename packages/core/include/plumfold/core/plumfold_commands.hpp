#pragma once

#include "plumfold/core/plumfold_deployment_state.hpp"
#include "plumfold/core/plumfold_records.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace plumfold::core {

/// Names a request that runs at most once.
struct claim_key {
    std::string customer;
    std::string key; ///< The caller's Idempotency-Key.
    auto operator<=>(const claim_key&) const = default;
};

/// The answer of a request that runs at most once, kept for resends.
struct stored_answer {
    std::uint16_t status = 0; ///< HTTP status.
    std::string contentType;
    std::string body;
    bool truncated = false; ///< The body was too large to keep; it was delivered once.
    bool operator==(const stored_answer&) const = default;
};

/// How the work behind a claim ended.
enum class claim_outcome : std::uint8_t {
    not_run, ///< No byte reached a target, or the target itself said that it did not run. Frees the key.
    completed,
    unknown, ///< Bytes reached a target and no answer came back.
};

/// What a caller of claim() is told.
enum class claim_answer : std::uint8_t {
    granted, ///< Only the holder that is told this may dispatch the request, once.
    in_progress,
    completed, ///< The stored answer is attached.
    unknown,
    conflict, ///< The key was used for another request.
};

struct change_command {
    std::string operatorName;
    std::string requestId;
    std::uint64_t expectedRevision = 0;
    change what;
};
struct claim_command {
    claim_key key;
    std::uint64_t fingerprint = 0; ///< Hash of method, path and body.
    std::string holder; ///< Unique for one attempt of one caller.
    unix_milliseconds runUntil = 0; ///< After this the holder has stopped waiting for the target.
};
struct finish_claim_command {
    claim_key key;
    std::string holder;
    claim_outcome outcome = claim_outcome::not_run;
    stored_answer answer;
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
/// One batch of usage. A batch that is sent again is counted once.
struct usage_command {
    std::string source; ///< Entry that sends it.
    std::uint64_t incarnation = 0; ///< Of the entry's process.
    std::uint64_t sequence = 0; ///< 1, 2, 3, ... within the incarnation.
    std::vector<usage_row> rows;
};
/// Tells how many targets a request has crashed, or withdraws the verdict.
struct verdict_command {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
    bool withdraw = false;
};
/// Takes or renews a lease, for instance that of the only process that may give orders in a failure domain.
struct lease_command {
    std::string name;
    std::string holder;
    std::uint32_t durationMs = 0;
};
struct barrier_command { };

/// One command of the replicated log. The leader sets the time.
struct command {
    unix_milliseconds at = 0;
    std::variant<barrier_command, change_command, claim_command, finish_claim_command, usage_command,
        verdict_command, lease_command, adopt_document_command, set_in_service_command,
        set_current_weights_command>
        what;
};

enum class change_outcome : std::uint8_t { accepted, conflict, invalid };

struct change_result {
    change_outcome outcome = change_outcome::invalid;
    std::uint64_t revision = 0; ///< accepted: the new revision; conflict: the present one.
    std::string message;
    bool operator==(const change_result&) const = default;
};

struct claim_result {
    claim_answer state = claim_answer::in_progress;
    stored_answer answer;
    std::uint32_t retryAfterMs = 0;
    bool operator==(const claim_result&) const = default;
};

struct lease_result {
    bool granted = false;
    std::uint64_t fence = 0; ///< Fencing number: grows with every new holder of any lease.
    bool operator==(const lease_result&) const = default;
};

using command_result = std::variant<std::monostate, change_result, claim_result, lease_result>;

} // namespace plumfold::core
