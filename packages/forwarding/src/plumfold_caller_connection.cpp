#include "plumfold_caller_connection.hpp"

#include "plumfold_request_forwarder.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <sys/socket.h>

namespace plumfold::forwarding {

namespace {

constexpr core::milliseconds silenceBound { 5'000 };
constexpr core::milliseconds writeBound { 1'000 };
constexpr core::milliseconds lingerBound { 500 };
constexpr std::size_t readBytes = 8192;

core::caller_limits limitsOf(const forwarding_state& state)
{
    return state.deployment ? state.deployment->limits() : core::caller_limits();
}

/// @return whether the only transfer coding is chunked, or there is none.
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

} // namespace

caller_connection::caller_connection(forwarding_state& state, asio::ip::tcp::socket socket)
    : m_state(state)
    , m_stream(std::move(socket))
    , m_readTimer(state.io)
{
    limitSilence(m_stream.socket(), silenceBound);
    m_state.callers.insert(this);
}

caller_connection::~caller_connection()
{
    m_state.callers.erase(this);
}

task<void> caller_connection::run()
{
    auto self = shared_from_this();
    bool open = true;
    while (open && co_await waitForRequest()) {
        m_busy = true;
        request_parser parser;
        auto limits = limitsOf(m_state);
        parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        parser.body_limit(limits.maxBodyBytes);
        if (!co_await readRequest(parser))
            co_return;
        ++m_state.openRequests;
        request_forwarder forwarder(m_state, *this, parser.release());
        open = co_await forwarder.run();
        --m_state.openRequests;
        m_busy = false;
    }
    error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

task<bool> caller_connection::waitForRequest()
{
    if (m_buffer.size() > 0)
        co_return true;
    error_code error;
    m_stream.expires_after(limitsOf(m_state).idleTimeout);
    auto bytes = co_await m_stream.async_read_some(m_buffer.prepare(readBytes), into(error));
    m_buffer.commit(bytes);
    co_return !error;
}

task<bool> caller_connection::readRequest(request_parser& parser)
{
    error_code error;
    auto limits = limitsOf(m_state);
    m_stream.expires_never();
    limitRead(limits.headerTimeout);
    co_await http::async_read_header(m_stream, m_buffer, parser, into(error));
    if (!error && !hasKnownTransferCoding(parser.get().base()))
        error = http::error::bad_transfer_encoding;
    if (!error && !parser.is_done()) {
        if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            static constexpr std::string_view goOn = "HTTP/1.1 100 Continue\r\n\r\n";
            co_await asio::async_write(m_stream, asio::buffer(goOn.data(), goOn.size()), into(error));
        }
        limitRead(limits.idleTimeout);
        co_await http::async_read(m_stream, m_buffer, parser, into(error));
    }
    m_readTimer.cancel();
    if (!error)
        co_return true;
    if (m_readTimedOut)
        error = beast::error::timeout;
    bool gone = error == http::error::end_of_stream || error == http::error::partial_message
        || error == asio::error::connection_reset;
    if (!gone)
        co_await refuseMalformed(error, parser);
    co_return false;
}

void caller_connection::limitRead(core::milliseconds time)
{
    m_readTimer.expires_after(time);
    m_readTimer.async_wait([self = shared_from_this()](const error_code& error) {
        if (error)
            return;
        self->m_readTimedOut = true;
        self->m_stream.cancel();
    });
}

task<void> caller_connection::refuseMalformed(const error_code& error, const request_parser& parser)
{
    http::response<http::empty_body> answer(statusOf(error), 11);
    auto id = platform::decodeCallerRequest(parser.get().base()).id;
    runtime::log_event("request_malformed")
        .with("request", id)
        .with("reason", error.message())
        .with("status", answer.result_int());
    m_state.metrics.count("plumfold_forwarded_total{outcome=\"malformed\"}");
    platform::encodeOwnAnswer(id, std::nullopt, answer);
    answer.keep_alive(false);
    answer.prepare_payload();
    m_stream.expires_after(writeBound);
    error_code ignored;
    co_await http::async_write(m_stream, answer, into(ignored));
    co_await linger();
}

/// Closing with unread bytes would reset the connection and could destroy the answer on its way.
task<void> caller_connection::linger()
{
    error_code error;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    m_stream.expires_after(lingerBound);
    std::array<char, readBytes> rest;
    while (!error)
        co_await m_stream.async_read_some(asio::buffer(rest), into(error));
}

void caller_connection::closeIfIdle()
{
    if (!m_busy)
        m_stream.close();
}

void caller_connection::watch(std::function<void()> onGone)
{
    m_onGone = std::move(onGone);
    auto round = ++m_watchRound;
    m_stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read, [self = shared_from_this(), round](const error_code& error) {
            if (error || round != self->m_watchRound)
                return;
            char byte = 0;
            auto got = ::recv(self->m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            bool gone = got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
            if (gone && self->m_onGone)
                std::exchange(self->m_onGone, nullptr)();
        });
}

void caller_connection::stopWatching()
{
    ++m_watchRound;
    m_onGone = nullptr;
    error_code ignored;
    m_stream.socket().cancel(ignored);
}

} // namespace plumfold::forwarding
