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
