#include "standin_http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace plumfold::review {

namespace {

constexpr int backlog = 256;
constexpr std::size_t readBytes = 16 << 10;
constexpr std::size_t versionBytes = 9; // of "HTTP/1.1 " before a status
constexpr std::chrono::milliseconds keptConnectionTimeout { 20'000 }; // without a byte

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

sockaddr_in socketAddress(const endpoint& address)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
    return out;
}

void setTimeout(int socket, std::chrono::milliseconds time)
{
    timeval value { time.count() / 1000, (time.count() % 1000) * 1000 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
}

bool sendAll(int socket, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Reads the messages of one connection.
class reader {
public:
    explicit reader(int socket)
        : m_socket(socket)
    {
    }

    /// @return the head of the next message; nothing when the connection has ended.
    std::optional<http_message> nextHead()
    {
        auto head = take("\r\n\r\n");
        if (!head)
            return std::nullopt;
        http_message out;
        parseHead(*head + "\r\n", out);
        return out;
    }

    /// @return bytes that were received behind what was returned.
    std::size_t buffered() const { return m_buffer.size(); }

    /// @return the next message; nothing when the connection has ended.
    std::optional<http_message> next()
    {
        auto head = nextHead();
        if (!head)
            return std::nullopt;
        auto& out = *head;
        if (out.header("transfer-encoding") == "chunked")
            return readChunks(out) ? head : std::nullopt;
        auto length = out.header("content-length");
        auto body = takeBytes(length.empty() ? 0 : std::stoul(length));
        if (!body)
            return std::nullopt;
        out.body = *body;
        return head;
    }

private:
    static void parseHead(const std::string& head, http_message& out)
    {
        auto end = head.find("\r\n");
        auto first = head.substr(0, end);
        if (first.starts_with("HTTP/")) {
            out.status = std::stoi(first.substr(versionBytes));
        } else {
            auto space = first.find(' ');
            out.method = first.substr(0, space);
            out.path = first.substr(space + 1, first.rfind(' ') - space - 1);
        }
        for (auto at = end + 2; at < head.size();) {
            end = head.find("\r\n", at);
            auto line = head.substr(at, end - at);
            auto colon = line.find(':');
            auto value = line.find_first_not_of(' ', colon + 1);
            out.headers[lowerCase(line.substr(0, colon))]
                = value == std::string::npos ? std::string() : line.substr(value);
            at = end + 2;
        }
    }

    bool readChunks(http_message& out)
    {
        while (true) {
            auto size = take("\r\n");
            if (!size)
                return false;
            auto length = std::stoul(*size, nullptr, 16);
            auto chunk = takeBytes(length + 2);
            if (!chunk)
                return false;
            out.body += chunk->substr(0, length);
            if (length == 0)
                return true;
        }
    }

    std::optional<std::string> take(const std::string& delimiter)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find(delimiter)) == std::string::npos) {
            if (!receive())
                return std::nullopt;
        }
        auto out = m_buffer.substr(0, end);
        m_buffer.erase(0, end + delimiter.size());
        return out;
    }

    std::optional<std::string> takeBytes(std::size_t count)
    {
        while (m_buffer.size() < count) {
            if (!receive())
                return std::nullopt;
        }
        auto out = m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return out;
    }

    bool receive()
    {
        std::string bytes(readBytes, '\0');
        auto count = ::recv(m_socket, bytes.data(), bytes.size(), 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, 0, static_cast<std::size_t>(count));
        return true;
    }

    int m_socket;
    std::string m_buffer;
};

std::string encode(const std::string& first, const http_message& message)
{
    auto out = first + "\r\n";
    for (const auto& [name, value] : message.headers)
        out += name + ": " + value + "\r\n";
    return out + "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n" + message.body;
}

} // namespace

std::string http_message::header(const std::string& name) const
{
    auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

http_message call(const endpoint& to, const std::string& method, const std::string& path,
    const std::map<std::string, std::string>& headers, const std::string& body,
    std::chrono::milliseconds timeout)
{
    http_message none;
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    if (socket < 0)
        return none;
    setTimeout(socket, timeout);
    http_message request;
    request.headers = headers;
    request.body = body;
    auto address = socketAddress(to);
    bool isSent = ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0
        && sendAll(socket, encode(method + ' ' + path + " HTTP/1.1", request));
    auto response = isSent ? reader(socket).next() : std::nullopt;
    ::close(socket);
    return response.value_or(none);
}

client_connection::client_connection(const endpoint& to, const reading& how)
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    , m_reading(how)
{
    setTimeout(m_socket, keptConnectionTimeout);
    if (how.receiveBuffer > 0)
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &how.receiveBuffer, sizeof(how.receiveBuffer));
    auto address = socketAddress(to);
    if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
        throw std::runtime_error("cannot connect to " + to.text());
}

client_connection::~client_connection()
{
    ::close(m_socket);
}

received_answer client_connection::ask(const std::string& method, const std::string& path,
    const std::map<std::string, std::string>& headers) const
{
    auto sentAt = std::chrono::steady_clock::now();
    received_answer out;
    http_message request;
    request.headers = headers;
    bool isSent = sendAll(m_socket, encode(method + ' ' + path + " HTTP/1.1", request));
    reader incoming(m_socket);
    auto head = isSent ? incoming.nextHead() : std::nullopt;
    auto length = head ? std::stoul("0" + head->header("content-length")) : 0;
    out.status = head ? head->status : 0;
    out.bodyBytes = incoming.buffered();
    std::string bytes(readBytes, '\0');
    ssize_t count = 1;
    while (out.bodyBytes < length && count > 0) {
        if (m_reading.bytesPerSecond > 0)
            std::this_thread::sleep_for(
                std::chrono::duration<double>(static_cast<double>(readBytes) / m_reading.bytesPerSecond));
        count = ::recv(m_socket, bytes.data(), bytes.size(), 0);
        out.bodyBytes += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    out.isComplete = head && out.bodyBytes == length;
    out.took
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - sentAt);
    return out;
}

http_server::http_server(const endpoint& address, handler handle)
    : m_handle(std::move(handle))
{
    int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto bound = socketAddress(address);
    bool isListening = ::bind(listener, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) == 0
        && ::listen(listener, backlog) == 0;
    if (!isListening)
        throw std::runtime_error("cannot listen at " + address.text());
    // The stand-ins live until the process of the case ends.
    std::thread([this, listener] {
        while (true) {
            int socket = ::accept(listener, nullptr, nullptr);
            if (socket < 0)
                continue;
            int noDelay = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }).detach();
}

void http_server::serve(int socket) const
{
    reader incoming(socket);
    while (auto request = incoming.next()) {
        auto response = m_handle(*request);
        if (!sendAll(socket, encode("HTTP/1.1 " + std::to_string(response.status) + " Status", response)))
            break;
    }
    ::close(socket);
}

} // namespace plumfold::review
