#include "plumfold/runtime/plumfold_response_reader.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_response_rules.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <utility>

namespace plumfold::runtime {

namespace {

namespace http = boost::beast::http;

constexpr int microsecondsPerMillisecond = 1000;
constexpr std::size_t readBytes = 16 << 10;
/// Limit of the received bytes that are not parsed yet.
constexpr std::size_t maxUnparsedBytes = 64 << 10;
constexpr int maxInterimResponses = 16;

} // namespace

/// Waits for bytes.
/// @return false at the end of the connection.
bool response_reader::receive()
{
    std::optional<core::milliseconds> wait = m_maxPause;
    if (m_deadline) {
        auto timeLeft = std::chrono::ceil<core::milliseconds>(*m_deadline - now());
        if (timeLeft.count() <= 0)
            throw Poco::TimeoutException("the response did not end in time");
        wait = std::min(timeLeft, m_maxPause.value_or(timeLeft));
    }
    if (wait)
        m_socket.setReceiveTimeout(Poco::Timespan(wait->count() * microsecondsPerMillisecond));
    auto space = m_buffer.prepare(readBytes);
    int received = m_socket.receiveBytes(space.data(), static_cast<int>(space.size()));
    m_buffer.commit(static_cast<std::size_t>(std::max(received, 0)));
    return received > 0;
}

/// Parses what was received.
/// @return whether the parser needs more for its next step.
bool response_reader::parse()
{
    auto parsed = m_parser->put(m_buffer.data(), m_error);
    m_buffer.consume(parsed);
    bool needsMore = m_error == http::error::need_more;
    if (needsMore)
        m_error = {};
    if (needsMore && m_buffer.size() > maxUnparsedBytes)
        m_error = http::error::buffer_overflow;
    return needsMore || parsed == 0;
}

/// Parses the next part of the response, and waits for it if it has not arrived.
absl::Status response_reader::advance()
{
    bool needsMore = m_buffer.size() == 0 || parse();
    if (needsMore && !m_error && !receive()) {
        bool mayEndHere = m_parser->got_some() && m_limits.isRequestSent;
        if (mayEndHere)
            m_parser->put_eof(m_error);
        else
            m_error = http::error::end_of_stream;
    }
    return m_error ? absl::UnavailableError(m_error.message()) : absl::OkStatus();
}

absl::Status response_reader::readHead()
{
    for (int interim = 0; interim <= maxInterimResponses; ++interim) {
        m_parser.emplace();
        m_parser->body_limit(m_limits.maxBodyBytes);
        m_parser->skip(!m_limits.hasBody);
        while (!m_parser->is_header_done()) {
            if (auto status = advance(); !status.ok())
                return status;
        }
        auto kind = classifyResponse(m_parser->get());
        if (kind == response_kind::final)
            return absl::OkStatus();
        if (kind == response_kind::malformed)
            break;
    }
    m_error = http::error::bad_status;
    return absl::UnavailableError("the response is malformed");
}

bool response_reader::hasMore()
{
    const auto& body = m_parser->get().body();
    bool needsMore = false;
    // What is buffered may be framing alone.
    while (body.empty() && !m_parser->is_done() && !m_error && !needsMore && m_buffer.size() > 0)
        needsMore = parse();
    return !body.empty() || m_error;
}

absl::StatusOr<std::string> response_reader::readSome()
{
    if (m_error)
        return absl::UnavailableError(m_error.message());
    auto& body = m_parser->get().body();
    while (body.empty() && !m_parser->is_done()) {
        if (auto status = advance(); !status.ok())
            return status;
    }
    return std::exchange(body, {});
}

bool response_reader::isReusable() const
{
    return isComplete() && !m_error && m_buffer.size() == 0 && m_limits.isRequestSent
        && m_parser->keep_alive();
}

absl::StatusOr<std::string> line_reader::next()
{
    std::size_t searched = 0;
    while (true) {
        auto end = m_rest.find('\n', searched);
        if (end != std::string::npos) {
            auto line = m_rest.substr(0, end);
            m_rest.erase(0, end + 1);
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            return line;
        }
        if (m_rest.size() > m_maxLineBytes)
            return absl::UnavailableError("a line of the response is too long");
        searched = m_rest.size();
        auto part = m_response.readSome();
        if (!part.ok())
            return part.status();
        if (part->empty())
            return absl::OutOfRangeError("the response has ended");
        m_rest += *part;
    }
}

absl::StatusOr<received_response> readResponse(Poco::Net::StreamSocket& socket, response_limits limits,
    core::milliseconds maxPause, core::instant deadline)
{
    response_reader reader(socket, limits);
    reader.setMaxPause(maxPause);
    reader.setDeadline(deadline);
    if (auto status = reader.readHead(); !status.ok())
        return status;
    return readWhole(reader);
}

absl::StatusOr<received_response> readWhole(response_reader& reader)
{
    received_response out;
    out.message.base() = reader.head();
    while (!reader.isComplete()) {
        auto part = reader.readSome();
        if (!part.ok())
            return part.status();
        out.message.body() += *part;
    }
    // The last step may have completed the body with its last bytes.
    auto rest = reader.readSome();
    if (!rest.ok())
        return rest.status();
    out.message.body() += *rest;
    out.isReusable = reader.isReusable();
    return out;
}

} // namespace plumfold::runtime
