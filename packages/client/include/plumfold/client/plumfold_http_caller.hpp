#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plumfold::client {

/// One call as a caller sends it.
struct call_request {
    std::string address; ///< ip:port of an entry or of the balancer.
    std::string method = "POST";
    std::string path;
    std::string apiKey;
    std::string body;
    std::map<std::string, std::string> headers;
    core::milliseconds timeout { 30'000 };
    std::size_t disconnectAfterTokens
        = 0; ///< Closes the connection after so many tokens; 0 stays to the end.
};

/// What came back.
struct call_response {
    int status = 0; ///< HTTP status; 0 when no answer came.
    std::string body; ///< Whole body of an answer that is not a stream.
    std::map<std::string, std::string> headers;
    std::string text; ///< Generated text.
    std::uint32_t tokens = 0; ///< Token events of a stream.
    bool done = false; ///< A stream ended with [DONE], or the body came whole.
    std::string streamError; ///< Type of an error event inside a stream.
    std::string errorType; ///< Type of an error answer.
    std::string errorRan; ///< What an error answer says about the run.
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
    core::milliseconds firstToken { 0 };
    core::milliseconds total { 0 };
    std::string failure; ///< Why no answer came.

    bool ok() const { return status == 200 && done && streamError.empty(); }
};

/// Sends one call over a connection of its own and reads its answer, also a stream of server-sent events.
call_response call(const call_request& request);

/// @return the body of a completion call.
std::string completionBody(
    const std::string& model, const std::string& prompt, std::uint32_t maxTokens, bool stream);

/// Reads a path without authorization.
/// @return the body, or an empty text when it cannot be had.
std::string fetch(const std::string& address, const std::string& path);

} // namespace plumfold::client
