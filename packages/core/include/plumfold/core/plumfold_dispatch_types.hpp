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

/// A request that asks for a target.
struct request_spec {
    request_number number = 0;
    std::string customer;
    std::string model; ///< Empty for a call to a service.
    std::string service; ///< Empty for a call to a model.
    std::string adapter;
    std::string version; ///< Pins the weight version of a run under way; empty for the one in force.
    std::uint64_t fingerprint = 0; ///< The same for every resend of the request.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    prompt_chain chain;
    std::uint32_t storeBlocks = 0; ///< Blocks at the start of the chain that a store holds.
    std::uint64_t storeBytes = 0; ///< Size of those blocks.
    std::uint8_t priority = 1;
    instant deadline {};
    bool idempotent = true;
};

/// Where a request goes and what is expected there.
struct dispatch_plan {
    std::string target;
    std::string address;
    std::string failureDomain; ///< Of the target.
    std::uint64_t incarnation = 0;
    std::string owner; ///< Entry that gave the permit.
    permit_id permit = 0;
    std::uint32_t window = 0; ///< Of the target when the permit was given; 1 while it may be cold.
    std::string version;
    std::uint32_t cachedBlocks = 0; ///< Probably in the target's own cache.
    std::uint32_t importBlocks = 0; ///< To be imported from the store.
    milliseconds expectedFirstToken { 0 };
    bool alone = false;
};

/// How an attempt ended, as the relay saw it.
struct attempt_report {
    attempt_outcome outcome = attempt_outcome::succeeded;
    milliseconds firstToken { 0 };
    milliseconds held { 0 };
    std::uint32_t cachedTokens = 0; ///< As the target reported them.
    bool answerStarted = false; ///< Whether the caller has been sent a token.
};

struct start_action {
    request_number request;
    dispatch_plan plan;
};
struct refuse_action {
    request_number request;
    error_info error;
};
struct ask_permit_action {
    request_number request;
    std::string owner;
    permit_request ask;
};
struct release_permit_action {
    std::string owner;
    permit_id permit;
    attempt_measurement measure;
};
struct renew_permits_action {
    std::string owner;
    std::vector<permit_id> permits;
};
/// A request has been found to crash targets; control must know.
struct condemn_action {
    std::uint64_t fingerprint;
    std::uint32_t crashes;
};

using dispatch_action = std::variant<start_action, refuse_action, ask_permit_action, release_permit_action,
    renew_permits_action, condemn_action>;

/// Limits of one entry.
struct dispatch_options {
    std::string entry;
    std::string failureDomain;
    milliseconds viewBound {
        3000
    }; ///< Age of the configuration up to which other failure domains may be used.
    milliseconds targetExpiry { 3000 };
    milliseconds entryExpiry { 1500 };
    milliseconds permitLease { 2000 };
    milliseconds maxQueueWait { 2000 }; ///< Requests that would wait longer are refused at once.
    milliseconds firstTokenBound { 890 }; ///< Requests that would wait and then miss it are refused at once.
    std::size_t maxWaiting = 512;
    std::size_t maxKnownBlocks = 1'000'000;
    double retryShare = 0.1;
    double retryReserve = 20;
    std::uint64_t linkBytesPerSecond = 125'000'000;
    std::uint64_t seed = 1;
};

} // namespace plumfold::core
