#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace plumfold::tests {

/// How a raw_server ends a connection.
enum class raw_end { close, reset, keep };

/// What a raw_server does on one connection.
struct raw_script {
    std::vector<std::string> parts; ///< Sent one after the other, with a moment between them.
    raw_end end = raw_end::close;
    bool readsRequest = true; ///< Waits for the end of the request's head first.
    std::string firstResponse; ///< To a request on the connection before the one that the parts respond to.
};

/// A server that sends scripted bytes: the scripts for the first connections in order, and the last one for
/// all later ones.
class raw_server {
public:
    explicit raw_server(std::vector<raw_script> scripts)
        : m_scripts(std::move(scripts))
        , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this] { serve(); })
    {
    }

    ~raw_server()
    {
        m_isStopping = true;
        m_thread.join();
    }

    std::string address() const { return m_listener.address().toString(); }

private:
    static constexpr long pollMicroseconds = 5'000;

    void serve()
    {
        std::vector<Poco::Net::StreamSocket> kept;
        for (std::size_t number = 0; !m_isStopping;) {
            if (!m_listener.poll(Poco::Timespan(0, pollMicroseconds), Poco::Net::Socket::SELECT_READ))
                continue;
            auto socket = m_listener.acceptConnection();
            try {
                run(socket, m_scripts.at(std::min(number++, m_scripts.size() - 1)));
            } catch (const Poco::Exception&) {
                continue; // the caller has left
            }
            kept.push_back(socket);
        }
    }

    static void readRequest(Poco::Net::StreamSocket& socket)
    {
        std::string request;
        while (request.find("\r\n\r\n") == std::string::npos) {
            char bytes[4096];
            int received = socket.receiveBytes(bytes, sizeof(bytes));
            if (received <= 0)
                return;
            request.append(bytes, static_cast<std::size_t>(received));
        }
    }

    static void run(Poco::Net::StreamSocket& socket, const raw_script& script)
    {
        socket.setNoDelay(true);
        if (!script.firstResponse.empty()) {
            readRequest(socket);
            socket.sendBytes(script.firstResponse.data(), static_cast<int>(script.firstResponse.size()));
        }
        if (script.readsRequest)
            readRequest(socket);
        for (std::size_t index = 0; index < script.parts.size(); ++index) {
            if (index > 0)
                std::this_thread::sleep_for(std::chrono::microseconds(200));
            socket.sendBytes(script.parts[index].data(), static_cast<int>(script.parts[index].size()));
        }
        if (script.end == raw_end::keep)
            return;
        if (script.end == raw_end::reset) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1)); // a reset may overtake what was sent
            socket.setLinger(true, 0);
            socket.close();
            return;
        }
        socket.shutdownSend();
    }

    std::vector<raw_script> m_scripts;
    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace plumfold::tests
