#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <thread>

/// HTTP/1.1 for the stand-ins of the review's cases: one thread for each connection, blocking sockets.
namespace plumfold::review {

/// A request or a response, its header names in lower case.
struct http_message {
    std::string method; ///< Of a request.
    std::string path; ///< Of a request.
    int status = 0; ///< Of a response; 0: none came.
    std::map<std::string, std::string> headers;
    std::string body;

    /// @return the value of a header; empty if it is missing.
    std::string header(const std::string& name) const;
};

/// Host and port of a loopback address.
struct endpoint {
    std::string host;
    std::uint16_t port = 0;

    std::string text() const { return host + ':' + std::to_string(port); }
};

/// Sends one request over a connection of its own.
/// @param headers lines of the header beside Content-Length, each name with its value.
/// @return the response; with status 0 if none came in time.
http_message call(const endpoint& to, const std::string& method, const std::string& path,
    const std::map<std::string, std::string>& headers, const std::string& body,
    std::chrono::milliseconds timeout);

/// How a client reads its answers.
struct reading {
    int receiveBuffer = 0; ///< Bytes that the system takes ahead; 0: as it is set up.
    std::size_t bytesPerSecond = 0; ///< 0: as fast as they come.
};

/// What came of an answer over a kept connection.
struct received_answer {
    int status = 0; ///< 0: none came.
    std::size_t bodyBytes = 0;
    bool isComplete = false;
    std::chrono::milliseconds took { 0 };
};

/// A client's connection that is kept for several requests.
class client_connection {
public:
    client_connection(const endpoint& to, const reading& how);
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Sends a request without a body and reads the answer, which has to have a length.
    received_answer ask(const std::string& method, const std::string& path,
        const std::map<std::string, std::string>& headers) const;

private:
    int m_socket;
    reading m_reading;
};

/// Answers requests at an address.
class http_server {
public:
    using handler = std::function<http_message(const http_message&)>;

    /// @param handle called on the thread of each connection; its response's status, headers and body are
    /// sent.
    http_server(const endpoint& address, handler handle);

private:
    void serve(int socket) const;

    handler m_handle;
};

} // namespace plumfold::review
