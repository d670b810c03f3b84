#include "plumfold_caller_connection.hpp"

#include "plumfold_relay_protocol.hpp"
#include "plumfold_request_forwarder.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <algorithm>
#include <sys/socket.h>

namespace plumfold::forwarding {

namespace {

constexpr core::milliseconds errorWriteTimeout { 1'000 };
constexpr core::milliseconds lingerTimeout { 500 };
/// A stopping entry waits so long for what callers may have sent without knowing of the stop.
constexpr core::milliseconds crossingTimeout { 200 };
constexpr std::size_t readBufferBytes = 8192;
/// The parser limits neither chunk extensions nor trailers: it waits for their end in the buffer.
constexpr std::size_t maxUnparsedRequestBytes = 64 << 10;
/// Bodies that hold the memory are served or time out meanwhile.
constexpr core::milliseconds retryAfterNoRoom { 500 };
constexpr const char* noRoomReason = "no_room_for_body";

core::caller_limits limitsOf(const forwarding_state& state)
{
    return state.deployment ? state.deployment->limits() : core::caller_limits();
}

/// Guards against request smuggling: any other transfer coding leaves the length of the body ambiguous.
/// @return whether the request has no transfer coding, or chunked as its only one.
bool hasKnownTransferCoding(const http::request_header<>& head)
{
    auto coding = head.find(http::field::transfer_encoding);
    return coding == head.end()
        || (head.count(http::field::transfer_encoding) == 1 && beast::iequals(coding->value(), "chunked"));
}

http::status statusOf(const error_code& error)
{
    if (error == http::error::header_limit)
        return http::status::request_header_fields_too_large;
    if (error == http::error::body_limit)
        return http::status::payload_too_large;
    if (error == beast::error::timeout)
        return http::status::request_timeout;
    return http::status::bad_request;
}

constexpr const char* closeReasonNames[]
    = { "caller_closed", "idle", "stopping", "request_rejected", "after_response" }; // by close_reason

/// @return the id of the request whose header the input begins with; "none" if the header is incomplete.
std::string requestIdIn(const beast::flat_buffer& input)
{
    http::request_parser<http::empty_body> parser;
    error_code error;
    parser.put(input.data(), error);
    return parser.is_header_done() ? platform::decodeCallerRequest(parser.get().base()).id : "none";
}

} // namespace

caller_connection::caller_connection(forwarding_state& state, asio::ip::tcp::socket socket, bool isRelay)
    : m_state(state)
    , m_isRelay(isRelay)
    , m_stream(std::move(socket))
    , m_readTimer(state.io)
{
    configureTcpSocket(m_stream.socket(), callerKeepAlive);
    m_state.callerConnections.insert(this);
}

caller_connection::~caller_connection()
{
    m_state.callerConnections.erase(this);
}

task<void> caller_connection::run()
{
    auto self = shared_from_this();
    co_await serveRequests();
    if (m_closeReason == close_reason::after_response)
        co_await lingeringClose();
    logClose();
    error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

/// Serves requests until the connection is to be closed.
task<void> caller_connection::serveRequests()
{
    bool open = true;
    while (open) {
        bool hasRequest = co_await waitForRequest();
        if (!hasRequest)
            co_return;
        m_isServing = true;
        request_parser parser;
        auto limits = limitsOf(m_state);
        auto headerBytes
            = static_cast<std::uint32_t>(limits.maxHeaderBytes) + (m_isRelay ? maxRelayHeaderBytes : 0);
        parser.header_limit(headerBytes);
        m_buffer.max_size(headerBytes + maxUnparsedRequestBytes);
        // A body that can never have room is too large. A helper tells the relaying entry the outcome
        // instead.
        auto maxBodyBytes = std::uint64_t(limits.maxBodyBytes);
        parser.body_limit(m_isRelay
                ? maxBodyBytes
                : std::min(maxBodyBytes, std::uint64_t(m_state.requestBodies.maxBufferBytes())));
        core::buffer_share body(m_state.requestBodies);
        if (!co_await readRequest(parser, body))
            co_return;
        auto request = parser.release();
        std::optional<relayed_request> relayed;
        if (m_isRelay)
            relayed = takeRelayHeaders(request.base());
        request_forwarder forwarder(m_state, *this, std::move(request), std::move(relayed));
        open = co_await forwarder.run();
        ++m_servedRequests;
    }
    m_closeReason = close_reason::after_response;
}

/// Records the close, and the input of the caller that gets no response because of it.
void caller_connection::logClose()
{
    const char* name = closeReasonNames[static_cast<int>(m_closeReason)];
    auto label = std::string("{reason=\"") + name + "\"}";
    m_state.metrics.count("plumfold_caller_connections_closed_total" + label);
    bool isDropped
        = m_closeReason != close_reason::caller_closed && m_closeReason != close_reason::request_rejected;
    if (!isDropped || m_buffer.size() + m_lingerBytes == 0)
        return;
    m_state.metrics.count("plumfold_caller_input_dropped_total" + label);
    runtime::log_event("caller_input_dropped", runtime::log_level::warning)
        .with("reason", name)
        .with("request", requestIdIn(m_buffer))
        .with("bytes", m_buffer.size() + m_lingerBytes)
        .with("served_requests", m_servedRequests)
        .with("stopping", m_state.stopping ? "true" : "false");
}

/// Reads nothing, so that no input is lost when the connection is closed meanwhile.
task<bool> caller_connection::waitForRequest()
{
    if (hasInput())
        co_return true;
    // Callers that were not told of the stop may be sending a request.
    m_isServing = m_state.refusesRequests;
    error_code error;
    m_stream.expires_never();
    m_closeReason = close_reason::caller_closed;
    startReadTimer(m_state.refusesRequests ? crossingTime() : limitsOf(m_state).idleTimeout);
    co_await m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read, into(error));
    stopReadTimer();
    if (!error || hasInput())
        co_return true;
    if (m_readTimedOut)
        m_closeReason = m_state.refusesRequests ? close_reason::stopping : close_reason::idle;
    co_return false;
}

bool caller_connection::hasInput()
{
    if (m_buffer.size() > 0)
        return true;
    char byte = 0;
    return ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

task<bool> caller_connection::readRequest(request_parser& parser, core::buffer_share& body)
{
    error_code error;
    auto limits = limitsOf(m_state);
    m_stream.expires_never();
    startReadTimer(limits.headerTimeout);
    co_await http::async_read_header(m_stream, m_buffer, parser, into(error));
    if (!error && m_isRelay && !hasRelaySecret(parser.get().base(), m_state.settings.process.clusterSecret)) {
        stopReadTimer();
        co_await rejectStranger();
        co_return false;
    }
    if (!error && !hasKnownTransferCoding(parser.get().base()))
        error = http::error::bad_transfer_encoding;
    if (!error && !parser.is_done()) {
        startReadTimer(limits.idleTimeout);
        bool hasRoom = co_await readBody(parser, body, error);
        if (!hasRoom) {
            stopReadTimer();
            co_await rejectForRoom(parser, body);
            co_return false;
        }
    }
    stopReadTimer();
    if (!error)
        co_return true;
    if (m_readTimedOut)
        error = beast::error::timeout;
    bool isDisconnected = error == http::error::end_of_stream || error == http::error::partial_message
        || error == asio::error::connection_reset || (!m_readTimedOut && !parser.got_some());
    if (!isDisconnected)
        co_await rejectMalformed(error, parser);
    co_return false;
}

/// Reads the body as far as the limit of all bodies allows. An announced length is not set aside, since slow
/// senders could then take the whole limit without sending anything.
/// @return whether the limit allows it.
task<bool> caller_connection::readBody(request_parser& parser, core::buffer_share& body, error_code& error)
{
    bool hasRoom = body.resize(static_cast<std::size_t>(parser.content_length().value_or(0)));
    if (!hasRoom)
        co_return false;
    body.resize(0);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(
            m_stream, asio::buffer(continueResponse.data(), continueResponse.size()), into(error));
    }
    parser.eager(true);
    while (!error && hasRoom && !m_readTimedOut && !parser.is_done()) {
        co_await http::async_read_some(m_stream, m_buffer, parser, into(error));
        hasRoom = body.resize(parser.get().body().size());
    }
    if (!parser.is_done() && m_readTimedOut)
        error = beast::error::timeout;
    co_return hasRoom;
}

void caller_connection::startReadTimer(core::milliseconds time)
{
    m_readTimedOut = false;
    m_readTimer.expires_after(time);
    m_readTimer.async_wait([self = shared_from_this(), id = ++m_readTimerId](const error_code& error) {
        // A timer that has expired is not cancelled any more.
        if (error || id != self->m_readTimerId)
            return;
        self->m_readTimedOut = true;
        self->m_stream.cancel();
    });
}

void caller_connection::stopReadTimer()
{
    ++m_readTimerId;
    m_readTimer.cancel();
}

/// Only entries that know the cluster secret may relay requests.
task<void> caller_connection::rejectStranger()
{
    runtime::log_event("relay_refused", runtime::log_level::warning).with("reason", "no cluster secret");
    http::response<http::empty_body> response(http::status::forbidden, 11);
    co_await closeWith(std::move(response));
}

task<void> caller_connection::rejectMalformed(const error_code& error, const request_parser& parser)
{
    http::response<http::empty_body> response(statusOf(error), 11);
    auto id = platform::decodeCallerRequest(parser.get().base()).id;
    runtime::log_event("request_malformed")
        .with("request", id)
        .with("reason", error.message())
        .with("status", response.result_int());
    m_state.metrics.count("plumfold_forwarded_total{outcome=\"malformed\"}");
    platform::encodeLocalResponse(id, std::nullopt, response);
    co_await closeWith(std::move(response));
}

/// Refuses a request that has not run, because the bodies of others leave no room for its own.
task<void> caller_connection::rejectForRoom(request_parser& parser, core::buffer_share& body)
{
    auto received = parser.get().body().size();
    std::string().swap(parser.get().body());
    body.resize(0);
    http::response<http::empty_body> response(http::status::service_unavailable, 11);
    auto id = platform::decodeCallerRequest(parser.get().base()).id;
    runtime::log_event("request_body_refused", runtime::log_level::warning)
        .with("request", id)
        .with("received_bytes", received)
        .with("announced_bytes", parser.content_length().value_or(0))
        .with("held_bytes", m_state.requestBodies.usedBytes());
    m_state.metrics.count("plumfold_forwarded_total{outcome=\"refused\"}");
    platform::encodeLocalResponse(id, retryAfterNoRoom, response);
    if (m_isRelay)
        encodeRelayResult({ relay_outcome::not_run, false, noRoomReason, {}, {} }, response);
    co_await closeWith(std::move(response));
}

/// Sends a last response and closes the connection.
task<void> caller_connection::closeWith(http::response<http::empty_body> response)
{
    m_closeReason = close_reason::request_rejected;
    response.keep_alive(false);
    response.prepare_payload();
    m_stream.expires_after(errorWriteTimeout);
    error_code ignored;
    co_await http::async_write(m_stream, response, into(ignored));
    co_await lingeringClose();
}

/// Closing a socket with unread input sends a reset, which can discard the response before the caller reads
/// it.
task<void> caller_connection::lingeringClose()
{
    error_code error;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    auto until = runtime::now() + (m_state.stopping ? crossingTime() : lingerTimeout);
    m_stream.expires_at(until);
    std::array<char, readBufferBytes> rest;
    // The stream's timeout does not end reads that complete at once.
    while (!error && runtime::now() < until) {
        auto bytes = co_await m_stream.async_read_some(asio::buffer(rest), into(error));
        m_lingerBytes += bytes;
    }
}

/// @return how long to wait for more of the caller during a stop, at most until all requests are ended.
core::milliseconds caller_connection::crossingTime() const
{
    auto left = std::chrono::duration_cast<core::milliseconds>(*m_state.stopAt - runtime::now());
    return std::clamp(left, core::milliseconds(0), crossingTimeout);
}

void caller_connection::closeIfIdle()
{
    if (m_isServing)
        return;
    if (hasInput()) {
        m_isServing = true;
        return;
    }
    if (m_servedRequests == 0) { // its first request may be on its way
        m_isServing = true;
        startReadTimer(crossingTime());
        return;
    }
    m_closeReason = close_reason::stopping;
    m_stream.cancel();
}

void caller_connection::watchForDisconnect(std::function<void()> onDisconnect)
{
    m_onDisconnect = std::move(onDisconnect);
    auto watchId = ++m_watchId;
    m_stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read, [self = shared_from_this(), watchId](const error_code& error) {
            if (error || watchId != self->m_watchId)
                return;
            char byte = 0;
            auto got = ::recv(self->m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            bool isDisconnected = got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
            if (isDisconnected && self->m_onDisconnect)
                std::exchange(self->m_onDisconnect, nullptr)();
        });
}

void caller_connection::stopWatchingForDisconnect()
{
    ++m_watchId;
    m_onDisconnect = nullptr;
    error_code ignored;
    m_stream.socket().cancel(ignored);
}

} // namespace plumfold::forwarding
