#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <Poco/Net/StreamSocket.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <optional>
#include <string>

namespace plumfold::runtime {

/// What the request says about the response to it.
struct response_limits {
    std::size_t maxBodyBytes = 0;
    bool hasBody = true; ///< false for the response to a HEAD request.
    /// The request was written as a whole. If not, the peer has reset the connection or stopped reading, and
    /// the end of the connection does not end a body.
    bool isRequestSent = true;
};

/// Reads the response to a request from a blocking socket. Unlike Poco's streams, it tells the end of a body
/// from a connection that was lost, accepts no malformed head, and ends in time however slowly or long the
/// peer sends.
class response_reader {
public:
    using header = boost::beast::http::response_header<>;

    /// @param socket a connection on which nothing was received that belongs to another response.
    response_reader(Poco::Net::StreamSocket& socket, response_limits limits)
        : m_socket(socket)
        , m_limits(limits)
    {
    }

    /// Limits the time for each read; none if it is not called.
    void setMaxPause(core::milliseconds time) { m_maxPause = time; }
    /// Limits the time until the end of the response; none if it is not called.
    void setDeadline(core::instant deadline) { m_deadline = deadline; }

    /// Reads the head of the final response.
    /// @return unavailable if it is malformed, too long or truncated.
    /// @throws Poco::Exception when the connection is reset or a time limit passes.
    absl::Status readHead();

    /// @return the head, once it was read.
    const header& head() const { return m_parser->get(); }

    /// Waits until more of the body has arrived or it is complete.
    /// @return what has arrived; empty at the end of the body; unavailable if the body is truncated,
    /// malformed or too long.
    /// @throws Poco::Exception when the connection is reset or a time limit passes.
    absl::StatusOr<std::string> readSome();

    /// @return whether the whole response was received.
    bool isComplete() const { return m_parser && m_parser->is_done(); }
    /// @return whether readSome() would return without waiting for more of the body.
    bool hasMore();
    /// @return whether another request may be sent on the connection: the response is complete, nothing was
    /// received behind it, and the peer keeps the connection open.
    bool isReusable() const;

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    bool parse();
    bool receive();
    absl::Status advance();

    Poco::Net::StreamSocket& m_socket;
    response_limits m_limits;
    std::optional<core::milliseconds> m_maxPause;
    std::optional<core::instant> m_deadline;
    boost::beast::flat_buffer m_buffer; // received and not parsed
    std::optional<parser> m_parser;
    boost::system::error_code m_error;
};

/// Reads the body of a response line by line.
class line_reader {
public:
    /// @param maxLineBytes limit of a line.
    line_reader(response_reader& response, std::size_t maxLineBytes)
        : m_response(response)
        , m_maxLineBytes(maxLineBytes)
    {
    }

    /// Waits for the next line.
    /// @return the line without its end; out_of_range at the end of the body, behind which a line without an
    /// end is not given; unavailable if the body is truncated or malformed, or a line is too long.
    /// @throws Poco::Exception when the connection is reset or a time limit passes.
    absl::StatusOr<std::string> next();

    /// @return whether bytes behind the last line have been received.
    bool hasMore() const { return !m_rest.empty() || m_response.hasMore(); }

private:
    response_reader& m_response;
    std::size_t m_maxLineBytes;
    std::string m_rest; // received behind the last line
};

/// A response that was received as a whole.
struct received_response {
    boost::beast::http::response<boost::beast::http::string_body> message;
    bool isReusable = false; ///< See response_reader::isReusable().
};

/// Reads a response to its end behind its head, with the limits that are set for the reader.
/// @return the response; unavailable if it is truncated, malformed or beyond the limits.
/// @throws Poco::Exception when the connection is reset or a time limit passes.
absl::StatusOr<received_response> readWhole(response_reader& reader);

/// Reads a response to its end.
/// @param maxPause time limit for each read.
/// @param deadline time limit for the whole response.
/// @return the response; unavailable if it is truncated, malformed or beyond the limits.
/// @throws Poco::Exception when the connection is reset or a time limit passes.
absl::StatusOr<received_response> readResponse(Poco::Net::StreamSocket& socket, response_limits limits,
    core::milliseconds maxPause, core::instant deadline);

} // namespace plumfold::runtime
