#pragma once

#include "plumfold/core/plumfold_commands.hpp"
#include "plumfold/core/plumfold_error.hpp"
#include "plumfold_caller_request.hpp"

#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <ostream>
#include <string>

namespace plumfold::entry {

/// Finish reason and token usage of a completed response.
struct completion_summary {
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0; ///< Prompt tokens that the target did not have to recompute.
    std::uint32_t outputTokens = 0;
};

/// Writes the response to a completion request in the format that the caller asked for: one JSON object, or
/// server-sent events.
class response_writer {
public:
    /// @param response,request must outlive the writer.
    response_writer(
        Poco::Net::HTTPServerResponse& response, const completion_request& request, std::string requestId);

    /// Sets the header with the failure domain that serves the request. Has no effect once the stream has
    /// started.
    void setFailureDomain(const std::string& name);

    /// Appends a token to the response; a stream buffers it until flush().
    /// @return false if the connection to the caller is broken.
    bool writeToken(const std::string& text);
    /// Sends buffered tokens to the caller.
    /// @return false if the connection to the caller is broken.
    bool flush();
    /// Completes the response.
    /// @return false if the connection to the caller is broken.
    bool finish(const completion_summary& summary);
    /// Sends the stored response of an earlier call in the format that this call asked for.
    void replay(const core::stored_response& stored);
    /// Ends the response with an error; in a started stream as a separate event.
    void writeError(const core::error_info& error);

    /// @return whether the stream has started, so that the headers were sent.
    bool started() const { return m_out != nullptr; }
    /// @return the text of all tokens so far.
    const std::string& text() const { return m_text; }

    /// @return the response in the format of a call without streaming, to be replayed to retries; truncated
    /// if it is too large.
    core::stored_response toStoredResponse(const completion_summary& summary) const;

private:
    void startStream();
    /// @param finishReason null except in the last chunk.
    /// @return a server-sent event without its end, so that usage can be appended.
    std::string chunk(const std::string& text, const std::string* finishReason) const;
    std::string completionJson(const completion_summary& summary) const;

    Poco::Net::HTTPServerResponse& m_response;
    const completion_request& m_request;
    std::string m_requestId;
    std::string m_text;
    std::ostream* m_out = nullptr;
};

/// Sends an error as the complete response.
void sendError(Poco::Net::HTTPServerResponse& response, const core::error_info& error);

/// Replays a stored response as the complete response.
void sendStoredResponse(Poco::Net::HTTPServerResponse& response, const core::stored_response& stored);

} // namespace plumfold::entry
