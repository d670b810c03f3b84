#pragma once

#include "plumfold_forwarding_state.hpp"

#include <functional>
#include <memory>

namespace plumfold::forwarding {

/// One connection of a caller: reads its requests one after another and has each forwarded.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(forwarding_state& state, asio::ip::tcp::socket socket);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Serves the connection to its end.
    task<void> run();

    /// Closes the connection unless a request is being served.
    void closeIfIdle();

    /// Watches for the caller's leaving while a request is served.
    /// @param onDisconnect called once when the caller has closed the connection.
    void watchForDisconnect(std::function<void()> onDisconnect);
    void stopWatchingForDisconnect();

    beast::tcp_stream& stream() { return m_stream; }

private:
    using request_parser = http::request_parser<http::string_body>;

    task<bool> waitForRequest();
    task<bool> readRequest(request_parser& parser);
    void startReadTimer(core::milliseconds time);
    task<void> rejectMalformed(const error_code& error, const request_parser& parser);
    task<void> lingeringClose();

    forwarding_state& m_state;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::function<void()> m_onDisconnect;
    asio::steady_timer m_readTimer; // the stream's own timeout would close it before an answer can be sent
    bool m_readTimedOut = false;
    std::uint64_t m_watchId = 0;
    bool m_isServing = false;
};

} // namespace plumfold::forwarding
