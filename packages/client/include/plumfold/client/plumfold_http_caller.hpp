#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plumfold::client {

/// One HTTP request of a caller.
struct call_request {
    std::string address; ///< ip:port of an entry or the load balancer.
    std::string method = "POST";
    std::string path;
    std::string apiKey;
    std::string body;
    std::map<std::string, std::string> headers;
    core::milliseconds timeout { 30'000 }; ///< For each read and write.
    /// Closes the connection after this many tokens; 0 reads the whole response.
    std::size_t disconnectAfterTokens = 0;
};

/// The response to a call, with its timing.
struct call_response {
    int status = 0; ///< HTTP status; 0 when no response was received.
    std::string body; ///< Body of a response that is not a stream.
    std::map<std::string, std::string> headers;
    std::string text; ///< Generated text.
    std::uint32_t tokens = 0; ///< Number of token events of a stream.
    bool done = false; ///< Whether a stream ended with [DONE] or the body was complete.
    std::string streamError; ///< Type of an error event in a stream.
    std::string errorType; ///< Type of an error response.
    std::string errorRan; ///< Whether the request has run, according to an error response.
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
    core::milliseconds firstToken { 0 }; ///< Time to first token.
    core::milliseconds total { 0 }; ///< Time to the end of the response.
    std::string failure; ///< Connection, HTTP or JSON error; empty for none.

    /// @return whether the response is complete and without an error.
    bool ok() const { return status == 200 && done && streamError.empty(); }
};

/// Sends a request over a new connection and reads the response, which may be a stream of server-sent events.
/// Connection, HTTP and JSON errors are returned in the response.
call_response call(const call_request& request);

/// @return the JSON body of a completion request.
std::string completionBody(
    const std::string& model, const std::string& prompt, std::uint32_t maxTokens, bool stream);

/// Sends a GET request without authorization.
/// @return the body, or an empty string when the request fails.
std::string fetch(const std::string& address, const std::string& path);

} // namespace plumfold::client
