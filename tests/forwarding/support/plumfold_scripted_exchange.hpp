#pragma once

#include "plumfold_scripted_target.hpp"

#include <chrono>
#include <sstream>
#include <string>
#include <thread>

namespace plumfold::tests {

/// One request on one connection.
struct scripted_target::exchange {
    const scripted_target& target;
    Poco::Net::StreamSocket socket;
    std::string buffer; // received but not yet parsed
    recorded_request request;
    bool keepAlive = true;
    int owner = 0; // process at the other end, see link_cuts; 0: any
    bool isNew = true; // no request was received yet
    std::size_t number = 0; // of the request among all that the target has received
    std::string refused; // id of the request that was refused last and whose refusal was not sent again

    void send(const std::string& bytes)
    {
        target.waitWhileSilent();
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }
    /// Closes the connection with a reset.
    void reset()
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(50)); // a reset discards what was not yet read
        socket.setLinger(true, 0);
        socket.close();
        keepAlive = false;
    }
    bool isResumed() const { return request.headers.contains("last-event-id"); }
    std::string id() { return request.headers["request-id"]; }
    std::string head(const std::string& status, const std::string& extraHeaders)
    {
        return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id() + "\r\n" + target.responseHeaders()
            + extraHeaders + "\r\n";
    }
    void sendResponse(const std::string& status, const std::string& headers, const std::string& body)
    {
        send(head(status, headers + "Content-Length: " + std::to_string(body.size()) + "\r\n") + body);
    }
    void sendChunk(const std::string& bytes)
    {
        std::ostringstream size;
        size << std::hex << bytes.size();
        send(size.str() + "\r\n" + bytes + "\r\n");
    }
};

} // namespace plumfold::tests
