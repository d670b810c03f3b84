#pragma once

#include "plumfold/core/plumfold_prompt_chain.hpp"
#include "plumfold/core/plumfold_slow_start_window.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace plumfold::entry {

/// The target process that a request is dispatched to. The request must not reach a different process at the
/// same address, since its permit was granted for this incarnation.
struct target_process {
    std::string address; ///< ip:port
    std::uint64_t incarnation = 0;
    auto operator<=>(const target_process&) const = default;
};

/// A completion to run on a model engine, or the remainder of one that was interrupted.
struct completion_call {
    std::string requestId;
    std::string model;
    std::string adapter;
    std::string version;
    std::string prompt;
    std::uint32_t maxTokens = 0; ///< Limit for the whole completion, including resumeText.
    std::uint32_t resumeFrom = 0; ///< Index of the first token to return; 0 for a new completion.
    std::string resumeText; ///< The text of the tokens before resumeFrom.
    std::uint8_t priority = 1;
    std::string importUrl; ///< URL from which the engine imports KV blocks; empty for none.
    std::uint32_t importBlocks = 0;
    core::prompt_chain chain;
    std::string traceparent;
    core::milliseconds firstTokenTimeout { 0 };
    core::milliseconds tokenTimeout { 0 };
};

/// Receives the tokens of a completion.
class token_sink {
public:
    virtual ~token_sink() = default;

    /// @param index position in the whole completion, from 0.
    /// @return false to cancel the completion.
    virtual bool onToken(std::uint32_t index, const std::string& text) = 0;

    /// Called when no further token is buffered, so that the received ones are flushed to the caller.
    /// @return false to cancel the completion.
    virtual bool onPause() = 0;
};

/// The outcome of a completion.
struct completion_result {
    core::attempt_outcome outcome = core::attempt_outcome::lost;
    core::milliseconds firstToken { 0 }; ///< Time to the first token.
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
    std::string finishReason;
    std::string failure; ///< Description of the failure for the log.
};

/// A plain request to a service target.
struct service_call {
    std::string service;
    std::string method;
    std::string path; ///< Path below the service, with the query.
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    std::string customer;
    std::string traceparent;
    core::milliseconds timeout { 0 };
    std::size_t maxResponseBytes = 0;
};

/// The outcome of a service call.
struct service_result {
    core::attempt_outcome outcome = core::attempt_outcome::lost;
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    std::string failure;
};

/// A request to an engine to export the KV blocks of a prompt to a store.
struct export_call {
    std::string requestId;
    core::prompt_chain chain;
    std::uint32_t firstBlock = 0;
    std::uint32_t blocks = 0; ///< Number of blocks from firstBlock on.
    std::string url; ///< URL that the engine writes the blocks to.
};

/// State of the process that a request was dispatched to.
enum class process_state {
    same, ///< The process still responds.
    ended, ///< Nothing listens at its address, or a different process does.
    unknown, ///< No valid response within the timeout.
};

/// An order to load a weight version.
struct load_call {
    std::string model;
    std::string version;
    std::uint64_t fence = 0; ///< Fencing token; some targets reject orders with a stale one.
};

/// Interface for all requests to targets. Only its implementation depends on the targets' protocol, which is
/// not specified yet.
class target_adapter {
public:
    virtual ~target_adapter() = default;

    /// Runs a completion and passes its tokens to the sink. Blocks until the completion has ended.
    virtual completion_result complete(
        const target_process& target, const completion_call& call, token_sink& sink)
        = 0;

    /// Calls a service target and waits for the whole response.
    virtual service_result callService(const target_process& target, const service_call& call) = 0;

    /// Cancels a completion on an engine. Failures are ignored.
    virtual void cancel(const std::string& address, const std::string& requestId) = 0;

    /// Requests an export of KV blocks to a store.
    /// @return whether the engine accepted the request.
    virtual bool exportBlocks(const std::string& address, const export_call& call) = 0;

    /// Orders a target to load a weight version. The target's later reports show whether it has.
    /// @return whether the target accepted the order.
    virtual bool loadVersion(const target_process& target, const load_call& call) = 0;

    /// Ends all completions and calls to services. Those that were sent, and later ones, end as lost or as
    /// not reached.
    virtual void endCalls() = 0;

    /// Checks whether a target process still runs, after the connection to it was lost.
    virtual process_state probeProcess(const target_process& target) = 0;
};

} // namespace plumfold::entry
