#pragma once

#include "plumfold/core/plumfold_commands.hpp"
#include "plumfold/core/plumfold_error.hpp"
#include "plumfold_caller_request.hpp"

#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <ostream>
#include <string>

namespace plumfold::entry {

/// The end of a whole answer.
struct completion_summary {
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t outputTokens = 0;
};

/// Writes an answer in the shape that the caller asked for: one JSON object, or server-sent events.
class response_writer {
public:
    response_writer(
        Poco::Net::HTTPServerResponse& response, const completion_request& request, std::string requestId);

    /// Names the failure domain that serves the answer; only before the first token.
    void setFailureDomain(const std::string& name);

    /// @return false when the caller has gone.
    bool writeToken(const std::string& text);
    /// Sends what has been written so far to the caller.
    bool flush();
    bool finish(const completion_summary& summary);
    /// Sends the stored answer of an earlier run in the shape that this call asked for.
    void replay(const core::stored_response& stored);
    /// Ends the answer with an error; in the middle of a stream as an event of its own.
    void writeError(const core::error_info& error);

    bool started() const { return m_out != nullptr; }
    const std::string& text() const { return m_text; }

    /// @return the whole answer in the shape of a call without stream, for resends.
    core::stored_response toStoredResponse(const completion_summary& summary) const;

private:
    void startStream();
    std::string chunk(const std::string& text, const std::string* finishReason) const;
    std::string completionJson(const completion_summary& summary) const;

    Poco::Net::HTTPServerResponse& m_response;
    const completion_request& m_request;
    std::string m_requestId;
    std::string m_text;
    std::ostream* m_out = nullptr;
};

/// Sends an error as the whole answer.
void sendError(Poco::Net::HTTPServerResponse& response, const core::error_info& error);

/// Sends a stored answer as the whole answer.
void sendStoredResponse(Poco::Net::HTTPServerResponse& response, const core::stored_response& stored);

} // namespace plumfold::entry
