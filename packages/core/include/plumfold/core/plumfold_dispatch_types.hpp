#pragma once

#include "plumfold/core/plumfold_error.hpp"
#include "plumfold/core/plumfold_fair_queue.hpp"
#include "plumfold/core/plumfold_permit_ledger.hpp"
#include "plumfold/core/plumfold_prompt_chain.hpp"

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace plumfold::core {

/// A request to be dispatched to a target.
struct request_spec {
    request_number number = 0;
    std::string customer;
    std::string model; ///< Empty for a call to a service.
    std::string service; ///< Empty for a call to a model.
    std::string adapter;
    std::string version; ///< Pinned weight version of a partly delivered answer; empty for the current one.
    std::uint64_t fingerprint = 0; ///< Identifies the request across retries, also those of the caller.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    prompt_chain chain;
    std::uint32_t storeBlocks = 0; ///< Leading blocks of the chain that a store holds.
    std::uint64_t storeBytes = 0; ///< Size of those blocks.
    std::uint8_t priority = 1; ///< Lower goes first within its customer.
    instant deadline {};
    bool idempotent = true;
};

/// The target chosen for a request, with its permit and the expected cost.
struct dispatch_plan {
    std::string target;
    std::string address;
    std::string failureDomain; ///< Of the target.
    std::uint64_t incarnation = 0;
    std::string owner; ///< Entry that grants the target's permits; empty when none is known.
    permit_id permit = 0;
    std::uint32_t window = 0; ///< The target's limit when the permit was granted; 1 while it may be cold.
    std::string version;
    std::uint32_t cachedBlocks = 0; ///< Expected in the target's own prefix cache.
    std::uint32_t importBlocks = 0; ///< To be fetched from the store.
    milliseconds expectedFirstToken { 0 }; ///< From the start of the attempt.
    bool alone = false; ///< No other request may run on the target at the same time.
};

/// Outcome and timing of one attempt.
struct attempt_report {
    attempt_outcome outcome = attempt_outcome::succeeded;
    milliseconds firstToken { 0 }; ///< From the start of the attempt.
    milliseconds duration { 0 }; ///< From the start of the attempt to its end.
    std::uint32_t cachedTokens = 0; ///< Prompt tokens that the target reported as cached.
    bool answerStarted = false; ///< Whether a token was delivered to the caller.
};

/// Send the request to the planned target.
struct start_action {
    request_number request;
    dispatch_plan plan;
};
/// Answer the request with an error.
struct reject_action {
    request_number request;
    error_info error;
};
/// Request a permit from another entry.
struct acquire_permit_action {
    request_number request;
    std::string owner;
    permit_request permitRequest;
};
/// Return a permit to the entry that granted it.
struct release_permit_action {
    std::string owner;
    permit_id permit;
    attempt_measurement measure;
};
/// Renew the leases of permits that another entry granted.
struct renew_permits_action {
    std::string owner;
    std::vector<permit_id> permits;
};
/// Report a poison request to control.
struct condemn_action {
    std::uint64_t fingerprint;
    std::uint32_t crashes;
};

using dispatch_action = std::variant<start_action, reject_action, acquire_permit_action,
    release_permit_action, renew_permits_action, condemn_action>;

/// Settings of one entry's dispatcher.
struct dispatch_options {
    std::string entry;
    std::string failureDomain;
    /// Age of the last quorum confirmation above which only the local failure domain is used.
    milliseconds maxViewAge { 3000 };
    milliseconds targetExpiry { 3000 }; ///< Silence after which a target is removed.
    milliseconds entryExpiry { 1500 }; ///< Silence after which another entry counts as dead.
    milliseconds permitLease { 2000 }; ///< Lifetime of a permit without renewal.
    milliseconds maxQueueWait { 2000 }; ///< Requests predicted to wait longer are rejected on arrival.
    /// Model requests that have to wait and are predicted to exceed this are rejected on arrival.
    milliseconds maxTimeToFirstToken { 890 };
    std::size_t maxWaiting = 512; ///< Waiting requests of all customers.
    std::size_t maxKnownBlocks = 1'000'000; ///< Size limit of the prefix index.
    double retryShare = 0.1; ///< Retries that each new request adds to the retry budget.
    double retryReserve = 20; ///< Largest retry budget, and the initial one.
    std::uint64_t linkBytesPerSecond = 125'000'000;
    std::uint64_t seed = 1;
};

} // namespace plumfold::core
