#pragma once

#include "plumfold_forwarding_state.hpp"

#include <functional>
#include <memory>

namespace plumfold::forwarding {

/// Why an entry closes a caller's connection.
enum class close_reason : std::uint8_t {
    caller_closed, ///< Also when the connection was lost.
    idle,
    stopping, ///< Idle when the entry stopped accepting requests.
    request_rejected, ///< Malformed, or without room for its body.
    after_response, ///< The last response announced it, or was not delivered as a whole.
};

/// A connection of a caller. Reads its requests one at a time and forwards each.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    /// @param isRelay whether the peer is another entry that relays requests; it has to prove that.
    caller_connection(forwarding_state& state, asio::ip::tcp::socket socket, bool isRelay);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Serves requests until the connection is closed.
    task<void> run();

    /// Closes the connection unless a request is being received or served, or the caller has sent one. Waits
    /// a moment for the first request of a new connection.
    void closeIfIdle();

    /// @return whether a request is being received, served or awaited, or a last response is being sent.
    bool isServing() const { return m_isServing; }

    /// @return whether the caller has sent more than the request that is being served.
    bool hasInput();

    /// Watches for a disconnect of the caller while its request is being served.
    /// @param onDisconnect called at most once, when the caller closes the connection.
    void watchForDisconnect(std::function<void()> onDisconnect);
    void stopWatchingForDisconnect();

    beast::tcp_stream& stream() { return m_stream; }

private:
    using request_parser = http::request_parser<http::string_body>;

    task<void> serveRequests();
    void logClose();
    task<bool> waitForRequest();
    task<bool> readRequest(request_parser& parser, core::buffer_share& body);
    task<bool> readBody(request_parser& parser, core::buffer_share& body, error_code& error);
    task<void> rejectForRoom(request_parser& parser, core::buffer_share& body);
    void startReadTimer(core::milliseconds time);
    void stopReadTimer();
    task<void> rejectMalformed(const error_code& error, const request_parser& parser);
    task<void> rejectStranger();
    task<void> closeWith(http::response<http::empty_body> response);
    task<void> lingeringClose();
    core::milliseconds crossingTime() const;

    forwarding_state& m_state;
    bool m_isRelay;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::function<void()> m_onDisconnect;
    asio::steady_timer m_readTimer; // the stream's own timeout would close it before a 408 can be sent
    bool m_readTimedOut = false;
    std::uint64_t m_readTimerId = 0; // of the latest start or stop
    std::uint64_t m_watchId = 0;
    bool m_isServing = false;
    close_reason m_closeReason = close_reason::caller_closed;
    std::size_t m_servedRequests = 0;
    std::size_t m_lingerBytes = 0; // received after the last response
};

} // namespace plumfold::forwarding
