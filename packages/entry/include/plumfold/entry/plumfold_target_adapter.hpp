#pragma once

#include "plumfold/core/plumfold_prompt_chain.hpp"
#include "plumfold/core/plumfold_slow_start_window.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace plumfold::entry {

/// The process of a target that was chosen. A request must not reach another process at the same address: its
/// permit was given for this one.
struct target_process {
    std::string address; ///< ip:port
    std::uint64_t incarnation = 0;
    auto operator<=>(const target_process&) const = default;
};

/// One run, or the rest of one, on a model engine.
struct completion_call {
    std::string requestId;
    std::string model;
    std::string adapter;
    std::string version;
    std::string prompt;
    std::uint32_t maxTokens = 0; ///< Of the whole answer.
    std::uint32_t resumeFrom = 0; ///< Index of the first token that is wanted.
    std::string resumeText; ///< The answer up to that token.
    std::uint8_t priority = 1;
    std::string importUrl; ///< Where the engine fetches KV blocks; empty for none.
    std::uint32_t importBlocks = 0;
    core::prompt_chain chain;
    std::string traceparent;
    core::milliseconds firstTokenTimeout { 0 };
    core::milliseconds tokenTimeout { 0 };
};

/// Receives the tokens of a run.
class token_sink {
public:
    virtual ~token_sink() = default;

    /// @param index position in the whole answer, from 0.
    /// @return false to cancel the run.
    virtual bool onToken(std::uint32_t index, const std::string& text) = 0;

    /// No more tokens are at hand for now; what was received should reach the caller.
    virtual bool onPause() = 0;
};

/// How a run ended.
struct completion_result {
    core::attempt_outcome outcome = core::attempt_outcome::lost;
    core::milliseconds firstToken { 0 };
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
    std::string finishReason;
    std::string failure; ///< For the log.
};

/// One call to a plain service.
struct service_call {
    std::string service;
    std::string method;
    std::string path; ///< Below the service, with the query.
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    std::string customer;
    std::string traceparent;
    core::milliseconds timeout { 0 };
    std::size_t maxResponseBytes = 0;
};

struct service_result {
    core::attempt_outcome outcome = core::attempt_outcome::lost;
    std::uint16_t status = 0;
    std::string contentType;
    std::string body;
    std::string failure;
};

/// Asks an engine to copy KV blocks of a prompt that it ran to a store.
struct export_call {
    std::string requestId;
    core::prompt_chain chain;
    std::uint32_t firstBlock = 0;
    std::uint32_t blocks = 0;
    std::string url;
};

enum class process_state {
    same, ///< The process that was chosen still answers.
    ended, ///< Nothing listens there any more, or another process does.
    unknown, ///< No answer in time.
};

/// An order to load a weight version.
struct load_call {
    std::string model;
    std::string version;
    std::uint64_t fence = 0; ///< Fencing number; some targets refuse an order with an old one.
};

/// Everything that plumfold says to targets. The targets' real protocol is not known yet; only this
/// interface's implementation depends on it.
class target_adapter {
public:
    virtual ~target_adapter() = default;

    /// Runs a completion and passes its tokens on.
    virtual completion_result complete(
        const target_process& target, const completion_call& call, token_sink& sink)
        = 0;

    virtual service_result callService(const target_process& target, const service_call& call) = 0;

    /// Tells an engine that nobody wants a run any more.
    virtual void cancel(const std::string& address, const std::string& requestId) = 0;

    /// @return whether the engine took the order.
    virtual bool exportBlocks(const std::string& address, const export_call& call) = 0;

    /// Orders a target to load a weight version. Its next reports tell whether it did.
    /// @return whether the target took the order.
    virtual bool loadVersion(const target_process& target, const load_call& call) = 0;

    /// Finds out what became of a target's process after a run was lost.
    virtual process_state probeProcess(const target_process& target) = 0;
};

} // namespace plumfold::entry
